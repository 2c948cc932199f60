//! The single run of a non-idempotent request.
//!
//! The run continues when its caller disconnects: a request that was dispatched to a
//! backend server is not cancelled, and its response is stored for retries with the
//! same id.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{AttemptId, Outcome, Refusal, RefusalCode, RequestId};
use chestnut_once::{Event, Response};
use chestnut_wire::{
    AttemptRequest, FrameDecoder, OnceRequest, OnceState, PeerResponse, ServerLoad,
    encode,
};
use tokio::sync::mpsc::{self, UnboundedSender};

use crate::journal;
use crate::node::Node;
use crate::relay::{self, DispatchMode};

/// Frames of a run that may be buffered ahead of their receiver.
const FRAME_BUFFER: usize = 64;

/// The largest response body that is stored for retries, in bytes.
///
/// Twice the largest frame between daemons; a larger body is only streamed to the caller
/// whose request started the run.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Builds a response from its frames.
#[derive(Debug, Default)]
pub struct ResponseBuilder {
    status: u16,
    content_type: String,
    tokens: Option<u32>,
    body: Vec<u8>,
    /// Whether the body exceeded [`MAX_RESPONSE_BYTES`] and was dropped.
    too_large: bool,
}

impl ResponseBuilder {
    /// Starts a response with status 200, an empty body and content type `text/plain`.
    pub fn new() -> Self {
        Self { status: 200, content_type: "text/plain".into(), ..Self::default() }
    }

    /// Adds a frame; those without status or content change nothing.
    pub fn push(&mut self, frame: &PeerResponse) {
        match frame {
            PeerResponse::Head { status, content_type } => {
                self.status = *status;
                self.content_type.clone_from(content_type);
            }
            PeerResponse::Tokens { count, text, .. } => {
                self.tokens = Some(self.tokens.unwrap_or(0) + count);
                self.append(text.as_bytes());
            }
            PeerResponse::Chunk(bytes) => self.append(bytes),
            _ => {}
        }
    }

    /// Builds the response; `reason` is the finish reason of its end frame.
    pub fn finish(self, reason: String) -> Response {
        Response {
            status: self.status,
            content_type: self.content_type,
            tokens: self.tokens,
            finish_reason: reason,
            body: Bytes::from(self.body),
        }
    }

    /// Builds the response; `None` if its body was dropped, which would pass for an empty one.
    pub fn finish_whole(self, reason: String) -> Option<Response> {
        (!self.too_large).then(|| self.finish(reason))
    }

    fn append(&mut self, bytes: &[u8]) {
        self.too_large |= self.body.len() + bytes.len() > MAX_RESPONSE_BYTES;
        if self.too_large {
            self.body = Vec::new();
        } else {
            self.body.extend_from_slice(bytes);
        }
    }
}

/// Runs the request, streams its frames to the caller and returns the outcome for the
/// journal.
///
/// The end frame is not streamed: it is sent once the response is recorded.
pub async fn run(
    node: Arc<Node>,
    once: OnceRequest,
    attempt: AttemptId,
    caller: Option<UnboundedSender<PeerResponse>>,
) -> Event {
    let id = once.request.id.clone().expect("the journal runs only requests with an id");
    let (out, mut frames) = mpsc::channel(FRAME_BUFFER);
    let relay_node = node.clone();
    let relay = tokio::spawn(async move {
        relay::run(
            &relay_node,
            once.request,
            once.call,
            DispatchMode::AtMostOnce(attempt),
            out,
        )
        .await;
    });
    let mut builder = ResponseBuilder::new();
    while let Some(frame) = frames.recv().await {
        match frame {
            PeerResponse::End { reason, .. } => {
                return finish_run(&node, id, attempt, builder, reason).await;
            }
            PeerResponse::Refused { refusal, .. }
                if refusal.outcome == Outcome::NotRun =>
            {
                return Event::RunRefused { id, attempt, refusal };
            }
            PeerResponse::Refused { refusal, .. } => {
                return Event::RunInterrupted { id, attempt, refusal };
            }
            frame => {
                builder.push(&frame);
                if let Some(caller) = &caller {
                    // The caller may have disconnected; the run continues.
                    drop(caller.send(frame));
                }
            }
        }
    }
    // Without a final frame it is unknown whether the request was dispatched.
    let why = relay.await.err().map_or_else(String::new, |error| error.to_string());
    let text = format!("the run ended without a response {why}; look up its state");
    let refusal = Refusal::in_doubt(RefusalCode::Internal, text);
    Event::RunInterrupted { id, attempt, refusal }
}

async fn finish_run(
    node: &Node,
    id: RequestId,
    attempt: AttemptId,
    builder: ResponseBuilder,
    reason: String,
) -> Event {
    let too_large = builder.too_large;
    let response = builder.finish(reason);
    let body = match too_large {
        true => chestnut_once::BodyLocation::NotStored,
        false => journal::store_body(node, attempt, &response).await,
    };
    Event::RunFinished { id, attempt, response: Arc::new(response), body }
}

/// The frames of a stored response.
pub fn response_frames(response: &Response) -> Vec<PeerResponse> {
    let mut frames = Vec::new();
    match response.tokens {
        Some(count) => {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            frames.push(PeerResponse::Tokens { first: 0, count, text });
        }
        None => {
            let content_type = response.content_type.clone();
            frames.push(PeerResponse::Head { status: response.status, content_type });
            frames.push(PeerResponse::Chunk(response.body.clone()));
        }
    }
    frames.push(end_frame(response));
    frames
}

/// The end frame of a stored response; its load report is empty.
pub fn end_frame(response: &Response) -> PeerResponse {
    PeerResponse::End {
        reason: response.finish_reason.clone(),
        load: ServerLoad::default(),
    }
}

/// The state of a request with a stored response.
pub fn response_state(response: &Response) -> OnceState {
    OnceState::Done {
        status: response.status,
        content_type: response.content_type.clone(),
        body: response.body.clone(),
    }
}

/// Lets a non-idempotent run at a backend server outlive the daemon that requested it.
///
/// If the lead of the slot dies, the frames that the lead of the server sends can't be
/// delivered. If the call were cancelled then, it could take effect, such as a booking,
/// and its response be lost. Instead all frames that are sent to the returned sender are
/// read, and the whole response is stored under the attempt.
pub fn detach_run(
    node: &Arc<Node>,
    run: &AttemptRequest,
    out: mpsc::Sender<PeerResponse>,
) -> mpsc::Sender<PeerResponse> {
    if run.request.idempotent {
        return out;
    }
    let (sender, frames) = mpsc::channel(FRAME_BUFFER);
    tokio::spawn(forward_detached(node.clone(), run.attempt, frames, out));
    sender
}

async fn forward_detached(
    node: Arc<Node>,
    attempt: AttemptId,
    mut frames: mpsc::Receiver<PeerResponse>,
    out: mpsc::Sender<PeerResponse>,
) {
    let _job = node.start_job();
    let mut builder = ResponseBuilder::new();
    let mut dispatched = false;
    while let Some(frame) = frames.recv().await {
        builder.push(&frame);
        dispatched |= frame == PeerResponse::Dispatched;
        let finish_reason = match &frame {
            PeerResponse::End { reason, .. } => Some(reason.clone()),
            _ => None,
        };
        let disconnected = out.send(frame).await.is_err();
        if disconnected && !dispatched {
            // Not dispatched yet: dropping the receiver cancels the request.
            return;
        }
        if disconnected && let Some(reason) = finish_reason {
            // Without a stored response the request correctly stays in doubt.
            let Some(response) = builder.finish_whole(reason) else { return };
            return store_detached_response(&node, attempt, &response).await;
        }
    }
}

async fn store_detached_response(node: &Node, attempt: AttemptId, response: &Response) {
    let mut bytes = Vec::new();
    for frame in response_frames(response) {
        let Ok(encoded) = encode(&frame) else { return };
        bytes.extend(encoded);
    }
    // If the object store is down, the request correctly stays in doubt.
    drop(node.shared.objects.put(&detached_key(attempt), bytes.into(), false).await);
}

/// Reads the response of an attempt whose requester had disconnected when it ended.
pub async fn read_detached_response(node: &Node, attempt: AttemptId) -> Option<Response> {
    let bytes = node.shared.objects.get(&detached_key(attempt)).await.ok().flatten()?;
    let mut frames = FrameDecoder::new();
    frames.push(&bytes);
    let mut builder = ResponseBuilder::new();
    while let Some(frame) = frames.decode::<PeerResponse>().ok().flatten() {
        if let PeerResponse::End { reason, .. } = frame {
            return Some(builder.finish(reason));
        }
        builder.push(&frame);
    }
    None
}

fn detached_key(attempt: AttemptId) -> String {
    format!("once/late/{attempt}")
}
