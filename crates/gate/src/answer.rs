//! Passes a backend server's answer on to the caller.
//!
//! An answer that breaks off on its way must not look complete: the connection to
//! the caller is cut then, unless another server can go on where the answer broke.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use chestnut_base::{Refusal, RefusalCode, ServerName};
use chestnut_pool::{AttemptOutcome, RetryDecision};
use futures::stream::unfold;
use http::header::CONTENT_TYPE;
use http::{Response, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use slog::info;
use tokio::time::timeout_at;

use crate::attempt::{Answered, Missed, attempt};
use crate::events::{Event, Events, Repeated, Sequence};
use crate::job::{End, Job, StreamPace};
use crate::metrics::{Span, Step};
use crate::pick::pick;
use crate::serve::whole;

/// The body of an answer to a caller.
pub type OutBody = UnsyncBoxBody<Bytes, Cut>;

/// An answer that breaks off: the connection to the caller is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off; send the request again if it may run twice")
    }
}

impl std::error::Error for Cut {}

/// Plain answers up to this size are read whole before the caller gets any of them,
/// so that one that breaks off can still be replaced by a clear failure.
const WHOLE_LIMIT: usize = 256 * 1024;

/// Passes an answer on.
pub async fn forward(
    job: Box<Job>,
    answered: Answered,
) -> Result<Response<OutBody>, (Refusal, Box<Job>)> {
    job.shared.metrics.observe(Span::FirstByte, job.age());
    if is_event_stream(&answered.head) {
        let head = answered.head.clone();
        let relay = Relay::new(job, answered);
        let headers = relay.job.shared.dialect.write_response_headers(&head);
        let body = StreamBody::new(unfold(relay, Relay::step));
        return Ok(respond(&head, headers, BodyExt::boxed_unsync(body)));
    }
    forward_plain(job, answered).await
}

async fn forward_plain(
    job: Box<Job>,
    mut answered: Answered,
) -> Result<Response<OutBody>, (Refusal, Box<Job>)> {
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let read = timeout_at(deadline, read_whole(&mut answered.body)).await;
    let fault = match read {
        Ok(Ok(bytes)) => {
            let server = answered.place.name.to_string();
            let why = answered.head.status.as_str();
            job.ended(End { how: "answered", server: &server, why, pace: None });
            let headers = job.shared.dialect.write_response_headers(&answered.head);
            let (addr, hold) = (answered.place.addr, answered.reply.keep_alive);
            job.shared.client.keep(addr, answered.connection, hold);
            return Ok(respond(&answered.head, headers, whole(bytes)));
        }
        Ok(Err(why)) => {
            answered.flight.broke();
            let now = job.shared.now();
            if let Some(server) = job.shared.fleet().get_mut(answered.place.key) {
                server.health.record_failure(now);
            }
            let message = format!("the server's answer broke off ({why})");
            Refusal::in_doubt(RefusalCode::Broken, message)
        }
        Err(_) => {
            let message = "the time ran out before the answer was whole; allow more time";
            Refusal::in_doubt(RefusalCode::Late, message)
        }
    };
    Err((fault, job))
}

async fn read_whole(body: &mut Incoming) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > WHOLE_LIMIT {
            return Err(format!("over {WHOLE_LIMIT} bytes"));
        }
    }
    Ok(bytes.freeze())
}

fn respond(
    head: &response::Parts,
    headers: http::HeaderMap,
    body: OutBody,
) -> Response<OutBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}

fn is_event_stream(head: &response::Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    head.status.is_success()
        && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// A stream on its way from a server to a caller.
struct Relay {
    job: Box<Job>,
    /// The server's answer; nothing once it has ended.
    source: Option<Answered>,
    /// The server that answered last.
    server: ServerName,
    events: Events,
    /// What the caller has of it.
    sequence: Sequence,
    pace: StreamPace,
    /// The tokens of an event, if an engine makes them.
    event_tokens: Option<u32>,
    /// When the last event was passed on.
    at: Instant,
    ended: bool,
}

/// What the server's answer brings next.
enum Next {
    Event(Bytes),
    End,
    Broken(String),
    Late,
}

impl Relay {
    fn new(job: Box<Job>, answered: Answered) -> Self {
        let sequence = Sequence::after(job.call.resume_after);
        let at = job.shared.now();
        let events = Events::default();
        let event_tokens = job.engine().map(|engine| engine.event_tokens);
        Self {
            job,
            server: answered.place.name.clone(),
            source: Some(answered),
            events,
            sequence,
            pace: StreamPace::default(),
            event_tokens,
            at,
            ended: false,
        }
    }

    async fn step(mut self) -> Option<(Result<Frame<Bytes>, Cut>, Self)> {
        loop {
            match self.next().await {
                Next::Event(bytes) => return Some((Ok(Frame::data(bytes)), self)),
                Next::End => {
                    self.finish("answered", "");
                    self.keep();
                    return None;
                }
                Next::Late => {
                    self.finish("late", "");
                    return Some((Err(Cut), self));
                }
                Next::Broken(why) => {
                    if self.ended {
                        return None;
                    }
                    if self.resume(&why).await {
                        continue;
                    }
                    self.finish("broken", &why);
                    return Some((Err(Cut), self));
                }
            }
        }
    }

    async fn next(&mut self) -> Next {
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        loop {
            if let Some(event) = self.events.take_next() {
                return self.take(event);
            }
            let Some(source) = &mut self.source else {
                return Next::Broken("no source".into());
            };
            let frame = match timeout_at(deadline, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Next::Late,
            };
            match frame {
                None if self.events.is_partial() => {
                    return Next::Broken("it ended within an event".into());
                }
                None => return Next::End,
                Some(Err(error)) => return Next::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    source.flight.begun(source.place.number);
                    if self.events.push(data).is_err() {
                        return Next::Broken("an event is too large".into());
                    }
                }
            }
        }
    }

    /// Passes an event on unless the caller has it.
    fn take(&mut self, event: Event) -> Next {
        if let Err(Repeated { id, last }) = self.sequence.pass(&event) {
            return Next::Broken(format!("event {id} after event {last}"));
        }
        let now = self.job.shared.now();
        match self.pace.first {
            None => {
                self.pace.first = Some(now.saturating_duration_since(self.job.sent));
                self.pace.begun = Some(self.job.age());
            }
            Some(_) => {
                let pause = now.saturating_duration_since(self.at);
                self.pace.pause = self.pace.pause.max(pause);
                if let Some(tokens) = self.event_tokens {
                    self.job.shared.engine_timings().record_event_gap(pause, tokens);
                }
            }
        }
        self.at = now;
        self.pace.events += 1;
        Next::Event(event.bytes)
    }

    /// Lets another server go on after the last event that was passed on.
    async fn resume(&mut self, why: &str) -> bool {
        let old = self.source.take();
        if let Some(old) = &old {
            let now = self.job.shared.now();
            if let Some(server) = self.job.shared.fleet().get_mut(old.place.key) {
                server.health.record_failure(now);
            }
        }
        self.job.begun = true;
        self.events.reset();
        let run = old.as_ref().map(|old| old.place.run());
        // The old run ends with its connection, before the new one begins.
        drop(old);
        let follow =
            run.map(|run| self.job.attempts.record(run, AttemptOutcome::Interrupted));
        if follow != Some(RetryDecision::RetryWithinBudget) {
            return false;
        }
        info!(self.job.shared.log, "stream resumes elsewhere"; "id" => self.job.id(),
            "server" => self.server.to_string(), "why" => why, "after" => self.sequence.last());
        while self.job.shared.try_take_retry(&self.job.service) {
            self.job.shared.metrics.count(Step::Repeat, "resumed");
            let Ok(place) = pick(&self.job, None, &[]).await else { return false };
            match attempt(&self.job, &place, self.sequence.last()).await {
                Ok(answered) if is_event_stream(&answered.head) => {
                    self.server = answered.place.name.clone();
                    self.source = Some(answered);
                    return true;
                }
                Ok(_) | Err(Missed::Late) => return false,
                Err(error) => drop(self.job.attempts.record(place.run(), error.ended())),
            }
        }
        false
    }

    fn keep(&mut self) {
        if let Some(source) = self.source.take() {
            let (addr, hold) = (source.place.addr, source.reply.keep_alive);
            self.job.shared.client.keep(addr, source.connection, hold);
        }
    }

    fn finish(&mut self, end: &str, why: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let pace = Some(&self.pace);
        self.job.ended(End { how: end, server: self.server.as_str(), why, pace });
    }
}

impl Drop for Relay {
    /// The caller has left, unless the stream has ended.
    fn drop(&mut self) {
        self.finish("caller left", "");
    }
}
