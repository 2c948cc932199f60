//! Calls to backend servers.
//!
//! Model engines speak the OpenAI API and always stream to this daemon, so that an
//! interrupted response can be resumed after the tokens that arrived. Plain services get
//! the caller's call unchanged.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{RequestSpec, Target, Urgency};
use chestnut_reply::{ReadError, check_head, read_response};
use chestnut_wire::{AttemptRequest, PeerResponse, ResumePoint};
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt, pin_mut};
use reqwest::redirect::Policy;
use reqwest::{Client, Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::mpsc;

/// The timeout for connecting to a backend server, and for the call that cancels a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an engine may send nothing before its liveness is probed.
///
/// A decoding step takes some 10 ms, and 95 % of tokens arrive within 58 ms; only a long
/// prompt in the batch delays all streams, by about a second.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of a plain service's response, in bytes.
///
/// Eight times what is kept for retries. A body that has begun has no deadline, so that one
/// without an end would occupy its server and its caller for ever.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// The most bytes of a stream without an event of use.
///
/// Bounds the memory that an event without an end can take.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The event that ends a complete stream of an engine.
const END_MARK: &str = "[DONE]";

/// How a call to a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response is complete; the engine's finish reason, empty for a plain service.
    Completed(String),
    /// The connection failed, so that the request did not run.
    NotSent(String),
    /// The backend server refused the request before running it.
    Refused(String),
    /// The request was sent, and its response was interrupted.
    Interrupted {
        /// What went wrong.
        reason: String,
        /// Whether the connection was lost, as when the server crashes.
        connection_lost: bool,
    },
    /// The receiver of the response was dropped.
    Cancelled,
}

/// Creates the client for all backend servers.
///
/// Each call opens a connection of its own. A pooled one may belong to a server that has
/// crashed since: a call on it would count as sent, so that the outcome of a non-idempotent
/// request would be in doubt, and a harmless request would be blamed for the crash.
/// Connecting to a crashed server fails before anything is sent.
///
/// Redirects are not followed: the request would run at a server that nobody chose, and
/// perhaps a second time.
pub fn client() -> reqwest::Result<Client> {
    let builder = Client::builder().no_proxy().connect_timeout(CONNECT_TIMEOUT);
    builder.redirect(Policy::none()).pool_max_idle_per_host(0).build()
}

/// Calls a backend server and sends the frames of its response to `out`.
///
/// [`PeerResponse::Dispatched`] is sent just before the request may reach the server.
/// `on_tokens` is called with the number of tokens of each event.
pub async fn call(
    http: &Client,
    address: SocketAddr,
    attempt: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
    on_tokens: impl FnMut(u32),
) -> CallOutcome {
    match &attempt.request.target {
        Target::Model { .. } => call_model(http, address, attempt, out, on_tokens).await,
        Target::Service { .. } => call_service(http, address, attempt, out).await,
    }
}

/// Cancels a request at its engine.
pub async fn cancel(http: &Client, address: SocketAddr, attempt: &AttemptRequest) {
    let url = format!("http://{address}/v1/requests/{}", attempt.attempt);
    // If this fails, the engine stops by itself when it finds the stream closed.
    drop(http.delete(url).timeout(CONNECT_TIMEOUT).send().await);
}

async fn call_model(
    http: &Client,
    address: SocketAddr,
    attempt: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
    on_tokens: impl FnMut(u32),
) -> CallOutcome {
    let body = match engine_request_body(
        &attempt.request,
        &attempt.call.body,
        attempt.resume.as_ref(),
    ) {
        Ok(body) => body,
        Err(reason) => return CallOutcome::Refused(reason),
    };
    let send = http
        .post(format!("http://{address}{}", attempt.call.path))
        .header("x-request-id", attempt.attempt.to_string())
        .header("x-priority", priority_value(attempt.request.urgency))
        .json(&body)
        .send();
    let probe = LivenessProbe { http, address };
    let response = match dispatch(send, out, Some(&probe)).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    if response.status() != StatusCode::OK {
        return read_refusal(response).await;
    }
    let tokens = TokenRange {
        first: attempt.resume.as_ref().map_or(0, |resume| resume.tokens),
        max: attempt.request.max_output_tokens,
    };
    read_tokens(response.bytes_stream(), tokens, out, &probe, on_tokens).await
}

async fn call_service(
    http: &Client,
    address: SocketAddr,
    attempt: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
) -> CallOutcome {
    let Ok(method) = Method::from_bytes(attempt.call.method.as_bytes()) else {
        return CallOutcome::Refused(format!(
            "{} is not an HTTP method",
            attempt.call.method
        ));
    };
    let mut call = http
        .request(method, format!("http://{address}{}", attempt.call.path))
        .header("x-request-id", attempt.attempt.to_string())
        .header("x-caller", attempt.request.caller.as_str())
        .body(attempt.call.body.clone());
    if !attempt.call.content_type.is_empty() {
        call = call.header("content-type", &attempt.call.content_type);
    }
    if let Some(id) = &attempt.request.id {
        call = call.header("idempotency-key", &id.key);
    }
    match dispatch(call.send(), out, None).await {
        Ok(response) => forward_response(response, out).await,
        Err(end) => end,
    }
}

/// Sends a request, preceded by [`PeerResponse::Dispatched`] since it may reach the server
/// from then on.
async fn dispatch(
    send: impl Future<Output = reqwest::Result<Response>>,
    out: &mpsc::Sender<PeerResponse>,
    probe: Option<&LivenessProbe<'_>>,
) -> Result<Response, CallOutcome> {
    if out.send(PeerResponse::Dispatched).await.is_err() {
        return Err(CallOutcome::Cancelled);
    }
    let response = tokio::select! {
        response = send => response,
        () = until_unresponsive(probe) => return Err(unresponsive()),
        () = out.closed() => return Err(CallOutcome::Cancelled),
    };
    let response = response.map_err(|error| {
        if error.is_connect() {
            CallOutcome::NotSent(error.to_string())
        } else {
            CallOutcome::Interrupted { reason: error.to_string(), connection_lost: true }
        }
    })?;
    match check_head(response.status(), response.headers()) {
        Ok(()) => Ok(response),
        Err(error) => Err(CallOutcome::Interrupted {
            reason: error.to_string(),
            connection_lost: false,
        }),
    }
}

/// Probes the liveness of an engine that sends nothing.
///
/// A frozen engine keeps its connections open, so that only a probe detects it; otherwise
/// callers would wait for their whole deadline while another runner has capacity. A busy
/// engine responds to the probe, and the call continues.
pub struct LivenessProbe<'a> {
    /// The client for backend servers.
    pub http: &'a Client,
    /// The address of the engine.
    pub address: SocketAddr,
}

impl LivenessProbe<'_> {
    async fn is_alive(&self) -> bool {
        let url = format!("http://{}/v1/report", self.address);
        let response = self.http.get(url).timeout(PROBE_TIMEOUT).send().await;
        response.is_ok_and(|response| {
            response.status().is_success()
                && check_head(response.status(), response.headers()).is_ok()
        })
    }
}

/// Probes at intervals of [`STALL_TIMEOUT`] and completes when a probe fails; never
/// completes without a probe.
async fn until_unresponsive(probe: Option<&LivenessProbe<'_>>) {
    let Some(probe) = probe else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(STALL_TIMEOUT).await;
        if !probe.is_alive().await {
            return;
        }
    }
}

fn unresponsive() -> CallOutcome {
    CallOutcome::Interrupted {
        reason: "the engine is unresponsive".into(),
        connection_lost: true,
    }
}

/// Reads the body of an engine's response with a status other than 200.
///
/// A whole response with a client error or status 503 means that the engine didn't run the
/// request.
async fn read_refusal(response: Response) -> CallOutcome {
    let response = match read_response(response, MAX_REFUSAL_BYTES).await {
        Ok(response) => response,
        Err(error) => {
            return CallOutcome::Interrupted {
                reason: error.to_string(),
                connection_lost: matches!(error, ReadError::Interrupted(_)),
            };
        }
    };
    let status = response.status();
    let text = String::from_utf8_lossy(response.body());
    let reason = format!("status {status}: {text}");
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        CallOutcome::Refused(reason)
    } else {
        CallOutcome::Interrupted { reason, connection_lost: false }
    }
}

async fn forward_response(
    response: Response,
    out: &mpsc::Sender<PeerResponse>,
) -> CallOutcome {
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let head = PeerResponse::Head { status: response.status().as_u16(), content_type };
    if out.send(head).await.is_err() {
        return CallOutcome::Cancelled;
    }
    let body = response.bytes_stream();
    pin_mut!(body);
    let mut received = 0;
    loop {
        let chunk = tokio::select! {
            chunk = body.next() => chunk,
            () = out.closed() => return CallOutcome::Cancelled,
        };
        let bytes = match chunk {
            None => return CallOutcome::Completed(String::new()),
            Some(Ok(bytes)) => bytes,
            Some(Err(error)) => {
                return CallOutcome::Interrupted {
                    reason: error.to_string(),
                    connection_lost: true,
                };
            }
        };
        received += bytes.len();
        if received > MAX_BODY_BYTES {
            return CallOutcome::Interrupted {
                reason: format!("the response is larger than {MAX_BODY_BYTES} bytes"),
                connection_lost: false,
            };
        }
        if out.send(PeerResponse::Chunk(bytes)).await.is_err() {
            return CallOutcome::Cancelled;
        }
    }
}

/// An event of an engine's stream; the fields that are read here.
#[derive(Deserialize)]
struct CompletionEvent {
    #[serde(default)]
    choices: Vec<EventChoice>,
    /// Tokens of the response up to and including this event; engines that omit it send
    /// one token per event.
    tokens: Option<u32>,
}

#[derive(Deserialize)]
struct EventChoice {
    text: Option<String>,
    delta: Option<ChatDelta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ChatDelta {
    content: Option<String>,
}

/// Why an engine's stream ended early.
#[derive(Debug)]
enum StreamError {
    /// The connection failed.
    Lost(reqwest::Error),
    /// [`MAX_EVENT_BYTES`] arrived without an event of use.
    NoEvent,
}

impl Display for StreamError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => error.fmt(f),
            Self::NoEvent => write!(
                f,
                "{MAX_EVENT_BYTES} bytes of the stream hold no token; check the engine"
            ),
        }
    }
}

impl std::error::Error for StreamError {}

/// The tokens of a response that are yet to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRange {
    /// The number of tokens that earlier attempts delivered.
    pub first: u32,
    /// The most tokens that the response may have, those included.
    pub max: u32,
}

/// Reads an engine's stream up to its end mark and sends its tokens to `out`.
///
/// A stream that closes
/// without the end mark counts as interrupted; otherwise a response cut off by a crash would
/// pass for a short one.
pub async fn read_tokens(
    body: impl Stream<Item = reqwest::Result<Bytes>>,
    TokenRange { first, max }: TokenRange,
    out: &mpsc::Sender<PeerResponse>,
    probe: &LivenessProbe<'_>,
    mut on_tokens: impl FnMut(u32),
) -> CallOutcome {
    // The decoder keeps an event until it ends.
    let unused_bytes = AtomicUsize::new(0);
    let body = body.map(|bytes| match bytes {
        Ok(bytes) => {
            let unused = unused_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
            match unused + bytes.len() > MAX_EVENT_BYTES {
                true => Err(StreamError::NoEvent),
                false => Ok(bytes),
            }
        }
        Err(error) => Err(StreamError::Lost(error)),
    });
    let events = body.eventsource();
    pin_mut!(events);
    let mut next_token = first;
    let mut reason = None;
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            () = until_unresponsive(Some(probe)) => return unresponsive(),
            () = out.closed() => return CallOutcome::Cancelled,
        };
        let data = match event {
            Some(Ok(event)) => event.data,
            Some(Err(error)) => {
                let is_endless =
                    matches!(error, EventStreamError::Transport(StreamError::NoEvent));
                return CallOutcome::Interrupted {
                    reason: error.to_string(),
                    connection_lost: !is_endless,
                };
            }
            None => {
                return CallOutcome::Interrupted {
                    reason: "the stream closed without an end mark".into(),
                    connection_lost: true,
                };
            }
        };
        if data == END_MARK {
            return match reason {
                Some(reason) => CallOutcome::Completed(reason),
                None => CallOutcome::Interrupted {
                    reason: "the stream ended without a finish reason".into(),
                    connection_lost: false,
                },
            };
        }
        let Ok(event) = serde_json::from_str::<CompletionEvent>(&data) else {
            return CallOutcome::Interrupted {
                reason: format!("invalid event: {data}"),
                connection_lost: false,
            };
        };
        let Some(choice) = event.choices.into_iter().next() else {
            continue;
        };
        let text = choice.text.or(choice.delta.and_then(|delta| delta.content));
        reason = choice.finish_reason.or(reason);
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            let total = event.tokens.unwrap_or(next_token + 1);
            if total > max {
                let reason = format!("the response exceeds its limit of {max} tokens");
                return CallOutcome::Interrupted { reason, connection_lost: false };
            }
            let Some(count) = total.checked_sub(next_token).filter(|&count| count > 0)
            else {
                let reason = format!(
                    "the token count {total} does not exceed the previous {next_token}"
                );
                return CallOutcome::Interrupted { reason, connection_lost: false };
            };
            unused_bytes.store(0, Ordering::Relaxed);
            on_tokens(count);
            if out
                .send(PeerResponse::Tokens { first: next_token, count, text })
                .await
                .is_err()
            {
                return CallOutcome::Cancelled;
            }
            next_token += count;
        }
    }
}

/// The caller's body with the engine's model name, streaming, the output limit, and the
/// tokens to resume after.
fn engine_request_body(
    request: &RequestSpec,
    body: &Bytes,
    resume: Option<&ResumePoint>,
) -> Result<Value, String> {
    let mut value: Value =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let fields = value.as_object_mut().ok_or("the body is not a JSON object")?;
    fields.insert("model".into(), engine_model_name(&request.target).into());
    fields.insert("stream".into(), true.into());
    fields.insert("max_tokens".into(), request.max_output_tokens.into());
    if let Some(resume) = resume {
        fields.insert("resume_from".into(), resume.tokens.into());
        fields.insert("resume_text".into(), resume.text.clone().into());
    }
    Ok(value)
}

/// The name of a model or adapter at engines: the adapter's name, else `MODEL@VERSION`.
pub fn engine_model_name(target: &Target) -> String {
    match target {
        Target::Model { adapter: Some(adapter), .. } => adapter.to_string(),
        Target::Model { model, version, adapter: None } => format!("{model}@{version}"),
        Target::Service { name } => name.to_string(),
    }
}

fn priority_value(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Urgent => "0",
        Urgency::Normal => "1",
        Urgency::Slow => "2",
    }
}
