//! Answers in the form that callers expect.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use chestnut_base::{Refusal, RefusalCode, RequestSpec};
use chestnut_wire::{OnceState, PeerResponse};
use futures::stream;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::entry::RequestPermit;
use crate::node::Node;
use crate::parse::ResponseFormat;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("answers hold no foreign types");
    with_type(status, JSON, Body::from(text))
}

/// The answer to a request that was refused or failed.
pub fn refusal(refusal: &Refusal) -> Response {
    let mut answer = json(refusal.code.status(), refusal);
    if let Some(wait) = refusal.retry_after {
        let secs = wait.as_millis().div_ceil(1000) as u64;
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(secs));
    }
    answer
}

/// The answer to the question what became of a request.
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
            let kind = HeaderValue::from_str(content_type)
                .unwrap_or(HeaderValue::from_static("application/octet-stream"));
            with_type(*status, kind, Body::from(body.clone()))
        }
        OnceState::Unreadable(why) => {
            let text = format!("the journal can't be read ({why}); ask again");
            let unreadable = Refusal::in_doubt(RefusalCode::JournalDown, text);
            refusal(&unreadable.with_retry_after(Duration::from_secs(1)))
        }
    }
}

/// Turns the frames of an answer into the caller's response.
pub async fn respond(
    node: Arc<Node>,
    work: RequestSpec,
    form: ResponseFormat,
    mut frames: mpsc::Receiver<PeerResponse>,
    place: RequestPermit,
) -> Response {
    let first = loop {
        match frames.recv().await {
            Some(
                PeerResponse::Heartbeat | PeerResponse::Queued | PeerResponse::Dispatched,
            ) => {}
            Some(say) => break say,
            None => break cut_off(),
        }
    };
    if let PeerResponse::Refused { refusal: why, .. } = &first {
        node.shared.metrics.record_refused(why);
        return refusal(why);
    }
    let frames = Frames { first: Some(first), rest: frames, node, _place: place };
    match form {
        ResponseFormat::Passthrough => plain(frames).await,
        _ if work.stream => with_type(200, EVENTS, events(frames, form)),
        _ => whole(frames, form, &work).await,
    }
}

/// The frames of an answer, with the place that the request takes.
struct Frames {
    first: Option<PeerResponse>,
    rest: mpsc::Receiver<PeerResponse>,
    node: Arc<Node>,
    _place: RequestPermit,
}

impl Frames {
    /// The next frame that matters to the caller; the last one is final.
    async fn next(&mut self) -> PeerResponse {
        if let Some(say) = self.first.take() {
            return say;
        }
        loop {
            match self.rest.recv().await {
                Some(
                    PeerResponse::Heartbeat
                    | PeerResponse::Queued
                    | PeerResponse::Dispatched,
                ) => {}
                Some(say) => return say,
                None => return cut_off(),
            }
        }
    }
}

/// Collects a whole completion, so that the caller never gets half an answer.
async fn whole(mut frames: Frames, form: ResponseFormat, work: &RequestSpec) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    loop {
        match frames.next().await {
            PeerResponse::Tokens { count, text: more, .. } => {
                text.push_str(&more);
                tokens += count;
            }
            PeerResponse::End { reason, .. } => {
                frames.node.shared.metrics.record_served();
                let mut body = head(&form, false);
                body["choices"] =
                    json!([choice(&form, false, Some(&text), Some(&reason))]);
                body["usage"] = json!({
                    "prompt_tokens": work.prompt_tokens,
                    "completion_tokens": tokens,
                    "total_tokens": work.prompt_tokens + tokens,
                });
                return json(200, &body);
            }
            PeerResponse::Refused { refusal: why, .. } => {
                frames.node.shared.metrics.record_refused(&why);
                return refusal(&why);
            }
            _ => return refusal(&internal()),
        }
    }
}

/// Streams a completion as events; only a whole one ends with `[DONE]`.
fn events(frames: Frames, form: ResponseFormat) -> Body {
    let state = Some((frames, form));
    Body::from_stream(stream::unfold(state, |state| async move {
        let (mut frames, form) = state?;
        let say = frames.next().await;
        let (text, more) = match say {
            PeerResponse::Tokens { first, count, text } => {
                let mut body = head(&form, true);
                body["choices"] = json!([choice(&form, true, Some(&text), None)]);
                body["tokens"] = (first + count).into();
                (format!("data: {body}\n\n"), true)
            }
            PeerResponse::End { reason, .. } => {
                frames.node.shared.metrics.record_served();
                let mut body = head(&form, true);
                body["choices"] = json!([choice(&form, true, None, Some(&reason))]);
                (format!("data: {body}\n\ndata: [DONE]\n\n"), false)
            }
            PeerResponse::Refused { refusal, .. } => {
                frames.node.shared.metrics.record_refused(&refusal);
                (format!("data: {}\n\n", json!({ "error": refusal })), false)
            }
            _ => (format!("data: {}\n\n", json!({ "error": internal() })), false),
        };
        let state = more.then_some((frames, form));
        Some((Ok::<_, Infallible>(Bytes::from(text)), state))
    }))
}

/// Passes a plain service's answer on; a broken one is cut, never completed.
async fn plain(mut frames: Frames) -> Response {
    let PeerResponse::Head { status, content_type } = frames.next().await else {
        return refusal(&internal());
    };
    let kind = HeaderValue::from_str(&content_type)
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
            _ => Some((Err(internal()), None)),
        }
    }));
    with_type(status, kind, body)
}

fn head(form: &ResponseFormat, chunk: bool) -> Value {
    let (object, model) = match form {
        ResponseFormat::Chat(model) if chunk => ("chat.completion.chunk", model.as_str()),
        ResponseFormat::Chat(model) => ("chat.completion", model.as_str()),
        ResponseFormat::Completion(model) => ("text_completion", model.as_str()),
        ResponseFormat::Passthrough => ("", ""),
    };
    json!({ "object": object, "model": model })
}

fn choice(
    form: &ResponseFormat,
    chunk: bool,
    text: Option<&str>,
    reason: Option<&str>,
) -> Value {
    let mut choice = json!({ "index": 0, "finish_reason": reason });
    let text = text.unwrap_or("");
    match form {
        ResponseFormat::Chat(_) if chunk => choice["delta"] = json!({ "content": text }),
        ResponseFormat::Chat(_) => {
            choice["message"] = json!({ "role": "assistant", "content": text });
        }
        _ => choice["text"] = text.into(),
    }
    choice
}

fn with_type(status: u16, kind: HeaderValue, body: Body) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn cut_off() -> PeerResponse {
    PeerResponse::Refused { refusal: internal(), hint: Default::default() }
}

fn internal() -> Refusal {
    let text = "the request was lost inside the system; ask for its outcome by its id";
    Refusal::in_doubt(RefusalCode::Internal, text)
}
