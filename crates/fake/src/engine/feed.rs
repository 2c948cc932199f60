//! The answer to one request on its way to one reader.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use futures::stream;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::Engine;
use super::batch::{FinishReason, GenerationRequest, Progress};
use super::text::token_text;
use crate::port::Peer;

/// The answer to one request on its way to one reader.
pub(super) struct Feed {
    engine: Arc<Engine>,
    peer: Peer,
    id: String,
    question: GenerationRequest,
    next: u32,
    shape: Shape,
    progress: watch::Receiver<Progress>,
    /// After how many tokens the connection is cut.
    cut: Option<u32>,
    /// After how many tokens the answer ends with no end mark.
    short: Option<u32>,
    ended: bool,
}

/// What a feed brings next.
enum Piece {
    Token(String),
    Done,
    Broken,
}

impl Feed {
    /// The answer to `question` from token `next` on.
    pub(super) fn new(
        engine: Arc<Engine>,
        peer: Peer,
        id: String,
        question: GenerationRequest,
        next: u32,
        shape: Shape,
        progress: watch::Receiver<Progress>,
    ) -> Self {
        let (cut, short) = {
            let mut faults = engine.faults.lock();
            (faults.cut_after.take(), faults.end_after.take())
        };
        let ended = false;
        Self { engine, peer, id, question, next, shape, progress, cut, short, ended }
    }

    /// Answers with one event for each token.
    pub(super) fn stream(self) -> Response {
        let events = stream::unfold(self, |mut feed| async move {
            if feed.ended {
                return None;
            }
            let event = match feed.advance().await {
                Piece::Token(text) => feed.token_event(&text),
                Piece::Done => {
                    feed.ended = true;
                    feed.end_events()
                }
                Piece::Broken => return None,
            };
            Some((Ok::<_, Infallible>(event), feed))
        });
        let kind = [(header::CONTENT_TYPE, "text/event-stream")];
        (kind, Body::from_stream(events)).into_response()
    }

    /// Answers when all tokens are there.
    pub(super) async fn whole(mut self) -> Response {
        let mut answer = String::new();
        loop {
            match self.advance().await {
                Piece::Token(text) => answer.push_str(&text),
                Piece::Done => break,
                Piece::Broken => {
                    return self.peer.hang_up().await;
                }
            }
        }
        let choice = match self.shape {
            Shape::Completion => {
                json!({"index": 0, "text": answer, "finish_reason": "length"})
            }
            Shape::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": answer},
                "finish_reason": "length",
            }),
        };
        Json(json!({
            "id": self.id,
            "object": self.object(),
            "model": self.question.model,
            "choices": [choice],
            "usage": self.usage(),
        }))
        .into_response()
    }

    /// Waits for the next token or the end.
    async fn advance(&mut self) -> Piece {
        let sent = self.next.saturating_sub(self.question.start_token);
        if self.cut.is_some_and(|cut| sent >= cut) {
            self.peer.cut();
            return Piece::Broken;
        }
        if self.short.is_some_and(|short| sent >= short) {
            return Piece::Broken;
        }
        let wanted = self.next;
        let ready = |progress: &Progress| {
            progress.next_token > wanted || progress.finish.is_some()
        };
        // The sender goes away when the engine crashes.
        let Ok(progress) = self.progress.wait_for(ready).await.map(|p| *p) else {
            return Piece::Broken;
        };
        if progress.next_token > wanted {
            self.next += 1;
            self.engine.count(|counts| {
                let run = counts.runs.entry(self.id.clone()).or_default();
                *run = (*run).max(self.next);
            });
            return Piece::Token(token_text(
                &self.question.model,
                &self.question.prompt,
                wanted,
            ));
        }
        match progress.finish {
            Some(FinishReason::Length) => Piece::Done,
            Some(FinishReason::Abort) | None => Piece::Broken,
        }
    }

    fn token_event(&self, text: &str) -> String {
        self.event(self.choice(text, Value::Null), None)
    }

    fn end_events(&self) -> String {
        let last = self.event(self.choice("", json!("length")), Some(self.usage()));
        format!("{last}data: [DONE]\n\n")
    }

    fn choice(&self, text: &str, finish: Value) -> Value {
        match self.shape {
            Shape::Completion => {
                json!({"index": 0, "text": text, "finish_reason": finish})
            }
            Shape::Chat => json!({
                "index": 0,
                "delta": {"content": text},
                "finish_reason": finish,
            }),
        }
    }

    fn event(&self, choice: Value, usage: Option<Value>) -> String {
        let mut data = json!({
            "id": self.id,
            "object": self.object(),
            "model": self.question.model,
            "choices": [choice],
            "tokens": self.next,
        });
        if let Some(usage) = usage {
            data["usage"] = usage;
        }
        format!("data: {data}\n\n")
    }

    fn object(&self) -> &'static str {
        match self.shape {
            Shape::Completion => "text_completion",
            Shape::Chat => "chat.completion",
        }
    }

    fn usage(&self) -> Value {
        let (prompt, answer) = (self.question.prompt_tokens, self.next);
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": answer,
            "total_tokens": prompt + answer,
        })
    }
}

/// The shape of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// A completion.
    Completion,
    /// A chat completion.
    Chat,
}
