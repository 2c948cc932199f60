//! Calls to backend servers.
//!
//! Model engines speak the OpenAI form and always stream to this daemon, so that
//! a broken answer can be resumed from the tokens that arrived. Plain services
//! get the caller's call as it is.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{RequestSpec, Target, Urgency};
use chestnut_wire::{AttemptRequest, PeerResponse, ResumePoint};
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt, pin_mut};
use reqwest::{Client, Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::mpsc;

/// How long a connection to a backend server may take to come up.
const CONNECT: Duration = Duration::from_secs(1);

/// How long an engine may send nothing before it is asked whether it lives.
///
/// Steps take some 10 ms, and 95 in 100 tokens come within 58 ms; only a long
/// prompt in the batch keeps all streams waiting for about a second.
const STALL: Duration = Duration::from_secs(1);

/// How long an engine may take to tell its load when it is asked whether it lives.
const PROBE: Duration = Duration::from_secs(1);

/// The mark that ends a whole stream of an engine.
const DONE: &str = "[DONE]";

/// How a call to a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer is whole; the engine's reason for stopping.
    Completed(String),
    /// The connection was never made, so that the request did not run.
    NotSent(String),
    /// The backend server refused the request before running it.
    Refused(String),
    /// The request was handed over and its answer broke off.
    Interrupted {
        /// Why.
        reason: String,
        /// Whether the connection itself was cut, as when the server dies.
        connection_lost: bool,
    },
    /// The one who waited for the answer went away.
    Cancelled,
}

/// Creates the client for all backend servers.
///
/// Every call gets a connection of its own. A kept one may belong to a server that
/// has died since: the call on it would count as handed over, so that a letter
/// would be in doubt, and a request that did nothing would be blamed for the crash.
/// Connecting to a dead server fails before anything is sent.
pub fn client() -> reqwest::Result<Client> {
    let builder = Client::builder().no_proxy().connect_timeout(CONNECT);
    builder.pool_max_idle_per_host(0).build()
}

/// Calls a backend server and sends the frames of its answer.
///
/// [`PeerResponse::Dispatched`] is sent just before the request may reach the server.
pub async fn call(
    http: &Client,
    address: SocketAddr,
    run: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
    seen: impl FnMut(u32),
) -> CallOutcome {
    match &run.request.target {
        Target::Model { .. } => call_model(http, address, run, out, seen).await,
        Target::Service { .. } => call_service(http, address, run, out).await,
    }
}

/// Asks an engine to stop a request whose answer nobody waits for.
pub async fn cancel(http: &Client, address: SocketAddr, run: &AttemptRequest) {
    let url = format!("http://{address}/v1/requests/{}", run.attempt);
    // An engine that can't be told stops by itself when it finds the stream closed.
    drop(http.delete(url).timeout(CONNECT).send().await);
}

async fn call_model(
    http: &Client,
    address: SocketAddr,
    run: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
    seen: impl FnMut(u32),
) -> CallOutcome {
    let body = match engine_body(&run.request, &run.call.body, run.resume.as_ref()) {
        Ok(body) => body,
        Err(why) => return CallOutcome::Refused(why),
    };
    let send = http
        .post(format!("http://{address}{}", run.call.path))
        .header("x-request-id", run.attempt.to_string())
        .header("x-priority", priority(run.request.urgency))
        .json(&body)
        .send();
    let pulse = LivenessProbe { http, address };
    let answer = match dispatch(send, out, Some(&pulse)).await {
        Ok(answer) => answer,
        Err(end) => return end,
    };
    if answer.status() != StatusCode::OK {
        return refused(answer).await;
    }
    let from = run.resume.as_ref().map_or(0, |resume| resume.tokens);
    read_tokens(answer.bytes_stream(), from, out, &pulse, seen).await
}

async fn call_service(
    http: &Client,
    address: SocketAddr,
    run: &AttemptRequest,
    out: &mpsc::Sender<PeerResponse>,
) -> CallOutcome {
    let Ok(method) = Method::from_bytes(run.call.method.as_bytes()) else {
        return CallOutcome::Refused(format!("{} is no method", run.call.method));
    };
    let mut call = http
        .request(method, format!("http://{address}{}", run.call.path))
        .header("x-request-id", run.attempt.to_string())
        .header("x-caller", run.request.caller.as_str())
        .body(run.call.body.clone());
    if !run.call.content_type.is_empty() {
        call = call.header("content-type", &run.call.content_type);
    }
    if let Some(id) = &run.request.id {
        call = call.header("idempotency-key", &id.key);
    }
    match dispatch(call.send(), out, None).await {
        Ok(answer) => copy_answer(answer, out).await,
        Err(end) => end,
    }
}

/// Sends a request, announcing first that it may reach the backend server.
async fn dispatch(
    send: impl Future<Output = reqwest::Result<Response>>,
    out: &mpsc::Sender<PeerResponse>,
    pulse: Option<&LivenessProbe<'_>>,
) -> Result<Response, CallOutcome> {
    if out.send(PeerResponse::Dispatched).await.is_err() {
        return Err(CallOutcome::Cancelled);
    }
    let answer = tokio::select! {
        answer = send => answer,
        () = stopped(pulse) => return Err(stalled()),
        () = out.closed() => return Err(CallOutcome::Cancelled),
    };
    answer.map_err(|error| {
        if error.is_connect() {
            CallOutcome::NotSent(error.to_string())
        } else {
            CallOutcome::Interrupted { reason: error.to_string(), connection_lost: true }
        }
    })
}

/// Whether an engine lives, asked when it sends nothing.
///
/// An engine that stands still keeps its connections open, so that nothing else
/// shows it: its callers would wait for their whole deadline while another runner
/// has room. A busy one answers the question and is waited for.
pub struct LivenessProbe<'a> {
    /// The client.
    pub http: &'a Client,
    /// Where the engine listens.
    pub address: SocketAddr,
}

impl LivenessProbe<'_> {
    async fn beats(&self) -> bool {
        let url = format!("http://{}/v1/report", self.address);
        let answer = self.http.get(url).timeout(PROBE).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Ends when the engine has been silent and is found not to live.
async fn stopped(pulse: Option<&LivenessProbe<'_>>) {
    let Some(pulse) = pulse else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(STALL).await;
        if !pulse.beats().await {
            return;
        }
    }
}

fn stalled() -> CallOutcome {
    CallOutcome::Interrupted {
        reason: "the engine stands still".into(),
        connection_lost: true,
    }
}

/// Reads why an engine refused a request before running it.
async fn refused(answer: Response) -> CallOutcome {
    let status = answer.status();
    let text = answer.text().await.unwrap_or_default();
    let why = format!("status {status}: {text}");
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        CallOutcome::Refused(why)
    } else {
        CallOutcome::Interrupted { reason: why, connection_lost: false }
    }
}

async fn copy_answer(answer: Response, out: &mpsc::Sender<PeerResponse>) -> CallOutcome {
    let content_type = answer
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let head = PeerResponse::Head { status: answer.status().as_u16(), content_type };
    if out.send(head).await.is_err() {
        return CallOutcome::Cancelled;
    }
    let body = answer.bytes_stream();
    pin_mut!(body);
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
        if out.send(PeerResponse::Chunk(bytes)).await.is_err() {
            return CallOutcome::Cancelled;
        }
    }
}

/// An event of an engine's stream.
#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    /// How many tokens the whole answer has with this event; engines that don't
    /// say send one token an event.
    tokens: Option<u32>,
}

/// The only choice that is asked for.
#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

/// A piece of a chat's answer.
#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Reads an engine's stream until its end mark.
///
/// A stream that merely closes is broken: without the mark an answer cut by a
/// dying engine would look like a short one.
pub async fn read_tokens(
    body: impl Stream<Item = reqwest::Result<Bytes>>,
    from: u32,
    out: &mpsc::Sender<PeerResponse>,
    pulse: &LivenessProbe<'_>,
    mut seen: impl FnMut(u32),
) -> CallOutcome {
    let events = body.eventsource();
    pin_mut!(events);
    let mut next = from;
    let mut reason = None;
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            () = stopped(Some(pulse)) => return stalled(),
            () = out.closed() => return CallOutcome::Cancelled,
        };
        let data = match event {
            Some(Ok(event)) => event.data,
            Some(Err(error)) => {
                return CallOutcome::Interrupted {
                    reason: error.to_string(),
                    connection_lost: true,
                };
            }
            None => {
                return CallOutcome::Interrupted {
                    reason: "no end mark".into(),
                    connection_lost: true,
                };
            }
        };
        if data == DONE {
            return match reason {
                Some(reason) => CallOutcome::Completed(reason),
                None => CallOutcome::Interrupted {
                    reason: "ended without a reason".into(),
                    connection_lost: false,
                },
            };
        }
        let Ok(event) = serde_json::from_str::<Event>(&data) else {
            return CallOutcome::Interrupted {
                reason: format!("unreadable: {data}"),
                connection_lost: false,
            };
        };
        let Some(choice) = event.choices.into_iter().next() else {
            continue;
        };
        let text = choice.text.or(choice.delta.and_then(|delta| delta.content));
        reason = choice.finish_reason.or(reason);
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            let total = event.tokens.unwrap_or(next + 1);
            let Some(count) = total.checked_sub(next).filter(|&count| count > 0) else {
                let why = format!("token {total} came after {next}");
                return CallOutcome::Interrupted { reason: why, connection_lost: false };
            };
            seen(count);
            if out.send(PeerResponse::Tokens { first: next, count, text }).await.is_err()
            {
                return CallOutcome::Cancelled;
            }
            next += count;
        }
    }
}

/// The caller's body with what the engine needs to know besides.
fn engine_body(
    work: &RequestSpec,
    body: &Bytes,
    resume: Option<&ResumePoint>,
) -> Result<Value, String> {
    let mut value: Value =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let fields = value.as_object_mut().ok_or("the body is no JSON object")?;
    fields.insert("model".into(), engine_model_name(&work.target).into());
    fields.insert("stream".into(), true.into());
    fields.insert("max_tokens".into(), work.max_output_tokens.into());
    if let Some(resume) = resume {
        fields.insert("resume_from".into(), resume.tokens.into());
        fields.insert("resume_text".into(), resume.text.clone().into());
    }
    Ok(value)
}

/// The name by which an engine knows a model or adapter.
pub fn engine_model_name(target: &Target) -> String {
    match target {
        Target::Model { adapter: Some(adapter), .. } => adapter.to_string(),
        Target::Model { model, version, adapter: None } => format!("{model}@{version}"),
        Target::Service { name } => name.to_string(),
    }
}

fn priority(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Urgent => "0",
        Urgency::Normal => "1",
        Urgency::Slow => "2",
    }
}
