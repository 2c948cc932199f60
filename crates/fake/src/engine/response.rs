//! Responses to generation requests, streamed or whole.

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
use crate::listener::Connection;

/// One response to a request; a request has several if it is read again by its id.
pub(super) struct GenerationResponse {
    engine: Arc<Engine>,
    connection: Connection,
    id: String,
    request: GenerationRequest,
    next_token: u32,
    format: ResponseFormat,
    progress: watch::Receiver<Progress>,
    /// The number of tokens after which the connection is reset.
    reset_after: Option<u32>,
    /// The number of tokens after which the body ends without an end marker.
    end_after: Option<u32>,
    /// Whether the end marker was sent.
    ended: bool,
}

/// The next part of a response.
enum Part {
    Token(String),
    Done,
    /// The response ends without an end marker.
    Interrupted,
}

impl GenerationResponse {
    /// Creates the response to `request` from token `next_token`; faults that apply to
    /// the next response apply to this one.
    pub(super) fn new(
        engine: Arc<Engine>,
        connection: Connection,
        id: String,
        request: GenerationRequest,
        next_token: u32,
        format: ResponseFormat,
        progress: watch::Receiver<Progress>,
    ) -> Self {
        let (reset_after, end_after) = {
            let mut faults = engine.faults.lock();
            (faults.cut_after.take(), faults.end_after.take())
        };
        let ended = false;
        Self {
            engine,
            connection,
            id,
            request,
            next_token,
            format,
            progress,
            reset_after,
            end_after,
            ended,
        }
    }

    /// Responds with one event per token.
    pub(super) fn into_stream(self) -> Response {
        let events = stream::unfold(self, |mut response| async move {
            if response.ended {
                return None;
            }
            let event = match response.advance().await {
                Part::Token(text) => response.token_event(&text),
                Part::Done => {
                    response.ended = true;
                    response.end_events()
                }
                Part::Interrupted => return None,
            };
            Some((Ok::<_, Infallible>(event), response))
        });
        let headers = [(header::CONTENT_TYPE, "text/event-stream")];
        (headers, Body::from_stream(events)).into_response()
    }

    /// Responds when all tokens are generated.
    pub(super) async fn into_whole(mut self) -> Response {
        let mut text_so_far = String::new();
        loop {
            match self.advance().await {
                Part::Token(text) => text_so_far.push_str(&text),
                Part::Done => break,
                Part::Interrupted => {
                    return self.connection.reset_and_never_respond().await;
                }
            }
        }
        let choice = match self.format {
            ResponseFormat::Completion => {
                json!({"index": 0, "text": text_so_far, "finish_reason": "length"})
            }
            ResponseFormat::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text_so_far},
                "finish_reason": "length",
            }),
        };
        Json(json!({
            "id": self.id,
            "object": self.object(),
            "model": self.request.model,
            "choices": [choice],
            "usage": self.usage(),
        }))
        .into_response()
    }

    /// Waits for the next token or the end.
    async fn advance(&mut self) -> Part {
        let sent = self.next_token.saturating_sub(self.request.start_token);
        if self.reset_after.is_some_and(|count| sent >= count) {
            self.connection.reset();
            return Part::Interrupted;
        }
        if self.end_after.is_some_and(|count| sent >= count) {
            return Part::Interrupted;
        }
        let awaited = self.next_token;
        let ready = |progress: &Progress| {
            progress.next_token > awaited || progress.finish.is_some()
        };
        // The sender is dropped when the engine crashes.
        let Ok(progress) = self.progress.wait_for(ready).await.map(|p| *p) else {
            return Part::Interrupted;
        };
        if progress.next_token > awaited {
            self.next_token += 1;
            self.engine.update_counts(|counts| {
                let generated = counts.runs.entry(self.id.clone()).or_default();
                *generated = (*generated).max(self.next_token);
            });
            return Part::Token(token_text(
                &self.request.model,
                &self.request.prompt,
                awaited,
            ));
        }
        match progress.finish {
            Some(FinishReason::Length) => Part::Done,
            Some(FinishReason::Abort) | None => Part::Interrupted,
        }
    }

    fn token_event(&self, text: &str) -> String {
        self.event(self.choice(text, Value::Null), None)
    }

    fn end_events(&self) -> String {
        let last = self.event(self.choice("", json!("length")), Some(self.usage()));
        format!("{last}data: [DONE]\n\n")
    }

    fn choice(&self, text: &str, finish_reason: Value) -> Value {
        match self.format {
            ResponseFormat::Completion => {
                json!({"index": 0, "text": text, "finish_reason": finish_reason})
            }
            ResponseFormat::Chat => json!({
                "index": 0,
                "delta": {"content": text},
                "finish_reason": finish_reason,
            }),
        }
    }

    fn event(&self, choice: Value, usage: Option<Value>) -> String {
        let mut data = json!({
            "id": self.id,
            "object": self.object(),
            "model": self.request.model,
            "choices": [choice],
            "tokens": self.next_token,
        });
        if let Some(usage) = usage {
            data["usage"] = usage;
        }
        format!("data: {data}\n\n")
    }

    fn object(&self) -> &'static str {
        match self.format {
            ResponseFormat::Completion => "text_completion",
            ResponseFormat::Chat => "chat.completion",
        }
    }

    fn usage(&self) -> Value {
        let (prompt_tokens, completion_tokens) =
            (self.request.prompt_tokens, self.next_token);
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        })
    }
}

/// The format of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseFormat {
    /// A completion.
    Completion,
    /// A chat completion.
    Chat,
}
