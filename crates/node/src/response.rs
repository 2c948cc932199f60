//! HTTP responses in the format that callers expect.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use chestnut_base::{Outcome, Refusal, RefusalCode, RequestSpec};
use chestnut_wire::{OnceState, PeerResponse};
use futures::stream;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::account_limits::{self, Charge};
use crate::entry::RequestPermit;
use crate::node::Node;
use crate::parse::ResponseFormat;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");

/// A response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("response bodies serialise to JSON");
    with_content_type(status, JSON, Body::from(text))
}

/// The response to a request that was refused or failed, with `Retry-After` in whole
/// seconds, rounded up.
pub fn refusal(refusal: &Refusal) -> Response {
    let mut response = json(refusal.code.status(), refusal);
    if let Some(retry_after) = refusal.retry_after {
        let secs = retry_after.as_millis().div_ceil(1000) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(secs));
    }
    response
}

/// The response to a lookup of a non-idempotent request: its stored response once it is
/// complete, else its state.
pub fn once_state(state: &OnceState) -> Response {
    match state {
        OnceState::Unknown => {
            json(404, &json!({ "state": "unknown", "outcome": "not_run" }))
        }
        OnceState::Running => json(202, &json!({ "state": "running" })),
        OnceState::InDoubt => {
            json(409, &json!({ "state": "ended", "outcome": "in_doubt" }))
        }
        OnceState::Done { status, content_type, body } => {
            let content_type = HeaderValue::from_str(content_type)
                .unwrap_or(HeaderValue::from_static("application/octet-stream"));
            with_content_type(*status, content_type, Body::from(body.clone()))
        }
        OnceState::Unreadable(error) => {
            let text = format!("the journal can't be read ({error}); try again");
            let unreadable = Refusal::in_doubt(RefusalCode::JournalDown, text);
            refusal(&unreadable.with_retry_after(Duration::from_secs(1)))
        }
    }
}

/// Turns the frames of a response into the HTTP response to the caller.
///
/// The permit is held until the response has been collected or its stream has ended. The
/// charge is given back if the request was not run.
pub async fn respond(
    node: Arc<Node>,
    request: RequestSpec,
    format: ResponseFormat,
    mut frames: mpsc::Receiver<PeerResponse>,
    permit: RequestPermit,
    charge: Option<Charge>,
) -> Response {
    let first = loop {
        match frames.recv().await {
            Some(
                PeerResponse::Heartbeat | PeerResponse::Queued | PeerResponse::Dispatched,
            ) => {}
            Some(frame) => break frame,
            None => break response_lost(),
        }
    };
    if let PeerResponse::Refused { refusal: error, .. } = &first {
        node.shared.metrics.record_refused(error);
        if let Some(charge) = charge.filter(|_| error.outcome == Outcome::NotRun) {
            account_limits::refund(&node, charge);
        }
        return refusal(error);
    }
    let frames = Frames { first: Some(first), rest: frames, node, _permit: permit };
    match format {
        ResponseFormat::Passthrough => stream_passthrough(frames).await,
        _ if request.stream => {
            with_content_type(200, EVENT_STREAM, event_stream(frames, format))
        }
        _ => collect_completion(frames, format, &request).await,
    }
}

/// The frames of a response, with the permit of its request.
struct Frames {
    first: Option<PeerResponse>,
    rest: mpsc::Receiver<PeerResponse>,
    node: Arc<Node>,
    _permit: RequestPermit,
}

impl Frames {
    /// The next frame with content for the caller; a lost stream ends in a refusal.
    async fn next(&mut self) -> PeerResponse {
        if let Some(frame) = self.first.take() {
            return frame;
        }
        loop {
            match self.rest.recv().await {
                Some(
                    PeerResponse::Heartbeat
                    | PeerResponse::Queued
                    | PeerResponse::Dispatched,
                ) => {}
                Some(frame) => return frame,
                None => return response_lost(),
            }
        }
    }
}

/// Collects a completion, so that the caller gets a complete response or an error.
async fn collect_completion(
    mut frames: Frames,
    format: ResponseFormat,
    request: &RequestSpec,
) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    loop {
        match frames.next().await {
            PeerResponse::Tokens { count, text: text_part, .. } => {
                text.push_str(&text_part);
                tokens += count;
            }
            PeerResponse::End { reason, .. } => {
                frames.node.shared.metrics.record_served();
                let mut body = completion_object(&format, false);
                body["choices"] = json!([completion_choice(
                    &format,
                    false,
                    Some(&text),
                    Some(&reason)
                )]);
                body["usage"] = json!({
                    "prompt_tokens": request.prompt_tokens,
                    "completion_tokens": tokens,
                    "total_tokens": request.prompt_tokens + tokens,
                });
                return json(200, &body);
            }
            PeerResponse::Refused { refusal: error, .. } => {
                frames.node.shared.metrics.record_refused(&error);
                return refusal(&error);
            }
            _ => return refusal(&response_lost_refusal()),
        }
    }
}

/// Streams a completion as events; only a complete one ends with `[DONE]`.
fn event_stream(frames: Frames, format: ResponseFormat) -> Body {
    let state = Some((frames, format));
    Body::from_stream(stream::unfold(state, |state| async move {
        let (mut frames, format) = state?;
        let frame = frames.next().await;
        let (text, continues) = match frame {
            PeerResponse::Tokens { first, count, text } => {
                let mut body = completion_object(&format, true);
                body["choices"] =
                    json!([completion_choice(&format, true, Some(&text), None)]);
                body["tokens"] = (first + count).into();
                (format!("data: {body}\n\n"), true)
            }
            PeerResponse::End { reason, .. } => {
                frames.node.shared.metrics.record_served();
                let mut body = completion_object(&format, true);
                body["choices"] =
                    json!([completion_choice(&format, true, None, Some(&reason))]);
                (format!("data: {body}\n\ndata: [DONE]\n\n"), false)
            }
            PeerResponse::Refused { refusal, .. } => {
                frames.node.shared.metrics.record_refused(&refusal);
                (format!("data: {}\n\n", json!({ "error": refusal })), false)
            }
            _ => (
                format!("data: {}\n\n", json!({ "error": response_lost_refusal() })),
                false,
            ),
        };
        let state = continues.then_some((frames, format));
        Some((Ok::<_, Infallible>(Bytes::from(text)), state))
    }))
}

/// Forwards a plain service's response; after a failure the body is aborted, so that
/// the caller doesn't take it for complete.
async fn stream_passthrough(mut frames: Frames) -> Response {
    let PeerResponse::Head { status, content_type } = frames.next().await else {
        return refusal(&response_lost_refusal());
    };
    let content_type = HeaderValue::from_str(&content_type)
        .unwrap_or(HeaderValue::from_static("application/octet-stream"));
    let body = Body::from_stream(stream::unfold(Some(frames), |state| async move {
        let mut frames = state?;
        match frames.next().await {
            PeerResponse::Chunk(bytes) => Some((Ok(bytes), Some(frames))),
            PeerResponse::End { .. } => {
                frames.node.shared.metrics.record_served();
                None
            }
            PeerResponse::Refused { refusal, .. } => {
                frames.node.shared.metrics.record_refused(&refusal);
                Some((Err(refusal), None))
            }
            _ => Some((Err(response_lost_refusal()), None)),
        }
    }));
    with_content_type(status, content_type, body)
}

fn completion_object(format: &ResponseFormat, chunk: bool) -> Value {
    let (object, model) = match format {
        ResponseFormat::Chat(model) if chunk => ("chat.completion.chunk", model.as_str()),
        ResponseFormat::Chat(model) => ("chat.completion", model.as_str()),
        ResponseFormat::Completion(model) => ("text_completion", model.as_str()),
        ResponseFormat::Passthrough => ("", ""),
    };
    json!({ "object": object, "model": model })
}

fn completion_choice(
    format: &ResponseFormat,
    chunk: bool,
    text: Option<&str>,
    reason: Option<&str>,
) -> Value {
    let mut choice = json!({ "index": 0, "finish_reason": reason });
    let text = text.unwrap_or("");
    match format {
        ResponseFormat::Chat(_) if chunk => choice["delta"] = json!({ "content": text }),
        ResponseFormat::Chat(_) => {
            choice["message"] = json!({ "role": "assistant", "content": text });
        }
        _ => choice["text"] = text.into(),
    }
    choice
}

fn with_content_type(status: u16, content_type: HeaderValue, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn response_lost() -> PeerResponse {
    PeerResponse::Refused { refusal: response_lost_refusal(), hint: Default::default() }
}

fn response_lost_refusal() -> Refusal {
    let text = "an internal error interrupted the request; look up its outcome by its id";
    Refusal::in_doubt(RefusalCode::Internal, text)
}
