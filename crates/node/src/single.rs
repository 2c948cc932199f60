//! The one run of a non-idempotent request.
//!
//! The run goes on when those who asked for it are gone: what was handed to a
//! backend server is not taken back, and its answer is kept for whoever asks
//! again under the same id.

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

const FRAMES_AHEAD: usize = 64;

/// The largest answer that is kept for those who ask again, in bytes.
///
/// As much as two frames between daemons; a larger one is streamed to the first
/// asker only.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Collects the frames of an answer.
#[derive(Debug, Default)]
pub struct Gather {
    status: u16,
    content_type: String,
    tokens: Option<u32>,
    body: Vec<u8>,
    /// Whether the answer is larger than is kept.
    over: bool,
}

impl Gather {
    /// Creates an empty answer.
    pub fn new() -> Self {
        Self { status: 200, content_type: "text/plain".into(), ..Self::default() }
    }

    /// Adds a frame.
    pub fn push(&mut self, say: &PeerResponse) {
        match say {
            PeerResponse::Head { status, content_type } => {
                self.status = *status;
                self.content_type.clone_from(content_type);
            }
            PeerResponse::Tokens { count, text, .. } => {
                self.tokens = Some(self.tokens.unwrap_or(0) + count);
                self.add(text.as_bytes());
            }
            PeerResponse::Chunk(bytes) => self.add(bytes),
            _ => {}
        }
    }

    /// The whole answer.
    pub fn finish(self, reason: String) -> Response {
        Response {
            status: self.status,
            content_type: self.content_type,
            tokens: self.tokens,
            finish_reason: reason,
            body: Bytes::from(self.body),
        }
    }

    fn add(&mut self, bytes: &[u8]) {
        self.over |= self.body.len() + bytes.len() > ANSWER_LIMIT;
        if self.over {
            self.body = Vec::new();
        } else {
            self.body.extend_from_slice(bytes);
        }
    }
}

/// Makes the run, streams it to the asker and tells the journal how it ended.
///
/// The end mark is not streamed: it follows when the answer is recorded.
pub async fn run(
    node: Arc<Node>,
    once: OnceRequest,
    attempt: AttemptId,
    asker: Option<UnboundedSender<PeerResponse>>,
) -> Event {
    let id = once.request.id.clone().expect("the journal runs only requests with an id");
    let (out, mut frames) = mpsc::channel(FRAMES_AHEAD);
    let job = node.clone();
    let relay = tokio::spawn(async move {
        relay::run(&job, once.request, once.call, DispatchMode::AtMostOnce(attempt), out)
            .await;
    });
    let mut gather = Gather::new();
    while let Some(say) = frames.recv().await {
        match say {
            PeerResponse::End { reason, .. } => {
                return ended(&node, id, attempt, gather, reason).await;
            }
            PeerResponse::Refused { refusal, .. }
                if refusal.outcome == Outcome::NotRun =>
            {
                return Event::RunRefused { id, attempt, refusal };
            }
            PeerResponse::Refused { refusal, .. } => {
                return Event::RunInterrupted { id, attempt, refusal };
            }
            say => {
                gather.push(&say);
                if let Some(asker) = &asker {
                    // The asker may be gone; the run goes on without it.
                    drop(asker.send(say));
                }
            }
        }
    }
    // Without a last frame nobody knows whether the request was handed over.
    let why = relay.await.err().map_or_else(String::new, |error| error.to_string());
    let text = format!("the run ended without an answer {why}; ask for its outcome");
    let refusal = Refusal::in_doubt(RefusalCode::Internal, text);
    Event::RunInterrupted { id, attempt, refusal }
}

async fn ended(
    node: &Node,
    id: RequestId,
    attempt: AttemptId,
    gather: Gather,
    reason: String,
) -> Event {
    let over = gather.over;
    let answer = gather.finish(reason);
    let kept = match over {
        true => chestnut_once::BodyLocation::NotStored,
        false => journal::keep(node, attempt, &answer).await,
    };
    Event::RunFinished { id, attempt, response: Arc::new(answer), body: kept }
}

/// The frames that give a stored answer again.
pub fn frames(answer: &Response) -> Vec<PeerResponse> {
    let mut frames = Vec::new();
    match answer.tokens {
        Some(count) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            frames.push(PeerResponse::Tokens { first: 0, count, text });
        }
        None => {
            let content_type = answer.content_type.clone();
            frames.push(PeerResponse::Head { status: answer.status, content_type });
            frames.push(PeerResponse::Chunk(answer.body.clone()));
        }
    }
    frames.push(end(answer));
    frames
}

/// The end mark of an answer.
pub fn end(answer: &Response) -> PeerResponse {
    PeerResponse::End {
        reason: answer.finish_reason.clone(),
        load: ServerLoad::default(),
    }
}

/// A stored answer as the state of its request.
pub fn state(answer: &Response) -> OnceState {
    OnceState::Done {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

/// Lets a non-idempotent run at a backend server outlive the daemon that asked.
///
/// The lead of the server learns that the lead of the slot died by its frames
/// going nowhere. If it broke the call off then, a booking could be made and its
/// answer lost. So it reads on and keeps the whole answer under the attempt.
pub fn outlive(
    node: &Arc<Node>,
    run: &AttemptRequest,
    out: mpsc::Sender<PeerResponse>,
) -> mpsc::Sender<PeerResponse> {
    if run.request.idempotent {
        return out;
    }
    let (inner, frames) = mpsc::channel(FRAMES_AHEAD);
    tokio::spawn(forward(node.clone(), run.attempt, frames, out));
    inner
}

async fn forward(
    node: Arc<Node>,
    attempt: AttemptId,
    mut frames: mpsc::Receiver<PeerResponse>,
    out: mpsc::Sender<PeerResponse>,
) {
    let _busy = node.busy();
    let mut gather = Gather::new();
    let mut sent = false;
    while let Some(say) = frames.recv().await {
        gather.push(&say);
        sent |= say == PeerResponse::Dispatched;
        let end = match &say {
            PeerResponse::End { reason, .. } => Some(reason.clone()),
            _ => None,
        };
        let gone = out.send(say).await.is_err();
        if gone && !sent {
            // Nothing was handed over: dropping the frames takes the request back.
            return;
        }
        if gone && let Some(reason) = end {
            return keep_late(&node, attempt, &gather.finish(reason)).await;
        }
    }
}

async fn keep_late(node: &Node, attempt: AttemptId, answer: &Response) {
    let mut bytes = Vec::new();
    for say in frames(answer) {
        let Ok(frame) = encode(&say) else { return };
        bytes.extend(frame);
    }
    // If the store is down the request stays in doubt, which is true.
    drop(node.shared.objects.put(&late_key(attempt), bytes.into(), false).await);
}

/// The answer of an attempt whose asker was gone when it ended, if it was kept.
pub async fn late_answer(node: &Node, attempt: AttemptId) -> Option<Response> {
    let bytes = node.shared.objects.get(&late_key(attempt)).await.ok().flatten()?;
    let mut frames = FrameDecoder::new();
    frames.push(&bytes);
    let mut gather = Gather::new();
    while let Some(say) = frames.decode::<PeerResponse>().ok().flatten() {
        if let PeerResponse::End { reason, .. } = say {
            return Some(gather.finish(reason));
        }
        gather.push(&say);
    }
    None
}

fn late_key(attempt: AttemptId) -> String {
    format!("once/late/{attempt}")
}
