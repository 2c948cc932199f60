//! Relays a backend server's response to the caller.
//!
//! An interrupted response must not look complete. The connection to the caller is closed
//! then, unless another server can resume the response where it was interrupted.

use std::time::Instant;

use bytes::Bytes;
use chestnut_base::{Refusal, RefusalCode, ServerName};
use chestnut_intake::Connection;
use chestnut_pool::{AttemptOutcome, RetryDecision};
use futures::stream::unfold;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Response, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use slog::info;
use tokio::time::timeout_at;

use crate::attempt::{AttemptError, ServerResponse, attempt};
use crate::events::{DuplicateEvent, Event, EventDecoder, Sequence};
use crate::framing::ends_with_connection;
use crate::job::{Job, RequestEnd, StreamTiming};
use crate::metrics::Span;
use crate::pick::pick_to_resume;
use crate::serve::full_body;
use crate::server_speeds::RelayedStream;
use crate::yielding::{self, StopDecision, StreamRegistration};
use crate::{resumption, retries};

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, Interrupted>;

/// The response was interrupted; the connection to the caller is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interrupted;

impl std::fmt::Display for Interrupted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was interrupted; retry the request if it may run twice")
    }
}

impl std::error::Error for Interrupted {}

/// The largest plain response, in bytes.
///
/// Plain responses are buffered before the caller gets any part of them, so that an
/// interrupted one can still be replaced by a refusal.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Relays a response; returns a refusal if it was interrupted before the caller got any of it.
pub async fn forward(
    job: Box<Job>,
    response: ServerResponse,
) -> Result<Response<ResponseBody>, (Refusal, Box<Job>)> {
    job.shared.metrics.observe(Span::FirstByte, job.age());
    if is_event_stream(&response.head) {
        let head = response.head.clone();
        let relay = StreamRelay::new(job, response);
        let mut headers = relay.job.shared.dialect.write_response_headers(&head);
        // The caller may get more than this server sends, or an interrupted stream.
        headers.remove(CONTENT_LENGTH);
        let body = StreamBody::new(unfold(relay, StreamRelay::next_frame));
        return Ok(build_response(&head, headers, BodyExt::boxed_unsync(body)));
    }
    forward_plain(job, response).await
}

async fn forward_plain(
    job: Box<Job>,
    mut response: ServerResponse,
) -> Result<Response<ResponseBody>, (Refusal, Box<Job>)> {
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let body = timeout_at(deadline, read_full_body(&mut response, &job.connection)).await;
    let refusal = match body {
        Ok(Ok(bytes)) => {
            response.in_flight.record_completion();
            let server = response.target.name.to_string();
            let reason = response.head.status.as_str();
            job.record_end(RequestEnd {
                outcome: "answered",
                server: &server,
                reason,
                timing: None,
            });
            let headers = job.shared.dialect.write_response_headers(&response.head);
            let (addr, keep_alive) = (response.addr, response.metadata.keep_alive);
            job.shared.client.release(addr, response.connection, keep_alive);
            return Ok(build_response(&response.head, headers, full_body(bytes)));
        }
        Ok(Err(why)) => {
            response.in_flight.record_interruption().await;
            let now = job.shared.now();
            if let Some(server) = job.shared.fleet().get_mut(response.target.key) {
                server.health.record_failure(now);
            }
            let message = format!(
                "the server's response was interrupted ({why}); retry the request \
                 if it may run twice"
            );
            Refusal::in_doubt(RefusalCode::Broken, message)
        }
        Err(_) => {
            let message = "timed out before the response was complete; allow more time";
            Refusal::in_doubt(RefusalCode::Late, message)
        }
    };
    Err((refusal, job))
}

async fn read_full_body(
    response: &mut ServerResponse,
    connection: &Connection,
) -> Result<Bytes, String> {
    let too_large = || format!("larger than {MAX_BUFFERED_BYTES} bytes");
    let size = response.body.size_hint();
    if size.lower() > MAX_BUFFERED_BYTES as u64 {
        return Err(too_large());
    }
    // Responses of known sizes get all their memory at once, so that none waits with a part.
    let expected = size.exact().map_or(0, |size| size as usize);
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = response.body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        response.check_end(data)?;
        let needed = bytes.len() + data.len();
        if needed > MAX_BUFFERED_BYTES {
            return Err(too_large());
        }
        if needed > bytes.capacity() {
            let capacity = (2 * bytes.capacity()).min(MAX_BUFFERED_BYTES);
            let capacity = capacity.max(needed).max(expected);
            connection.reserve_response(capacity - bytes.capacity()).await;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.into())
}

fn build_response(
    head: &response::Parts,
    headers: http::HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}

/// Whether a response is a stream of events.
pub fn is_event_stream(head: &response::Parts) -> bool {
    let content_type =
        head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    head.status.is_success()
        && content_type
            .is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

/// Relays an event stream to a caller and resumes it at another server if interrupted.
struct StreamRelay {
    job: Box<Job>,
    /// The response of the current server; `None` after it ended or was interrupted.
    source: Option<ServerResponse>,
    /// The server that responded last.
    server: ServerName,
    decoder: EventDecoder,
    /// The caller's position in the stream.
    sequence: Sequence,
    timing: StreamTiming,
    /// The tokens per event; `None` for a plain service.
    event_tokens: Option<u32>,
    /// The gaps at the current server; `None` if they are not reported.
    relayed: Option<RelayedStream>,
    /// When the last event was sent to the caller.
    last_event_at: Instant,
    end_recorded: bool,
    /// Whether the stream may be stopped for more urgent requests.
    may_yield: bool,
    /// Lists the stream among those that may be stopped; `None` before its first event.
    registration: Option<StreamRegistration>,
    /// Whether the next event is the first one after a pause.
    after_pause: bool,
}

/// The next item of the server's response.
enum StreamItem {
    /// A complete event that the caller does not have.
    Event(Bytes),
    End,
    Interrupted(String),
    TimedOut,
    /// The stream is to be stopped for more urgent requests, as of this time.
    YieldRequested(Instant),
}

impl StreamRelay {
    fn new(job: Box<Job>, response: ServerResponse) -> Self {
        let sequence = Sequence::after(job.call.resume_after);
        let last_event_at = job.shared.now();
        let decoder = EventDecoder::default();
        let event_tokens = job.engine().map(|engine| engine.event_tokens);
        let relayed = RelayedStream::start(&job, &response.target);
        let may_yield = yielding::is_eligible(&job);
        Self {
            job,
            server: response.target.name.clone(),
            source: Some(response),
            decoder,
            sequence,
            timing: StreamTiming::default(),
            event_tokens,
            relayed,
            last_event_at,
            end_recorded: false,
            may_yield,
            registration: None,
            after_pause: false,
        }
    }

    /// The next frame for the caller; `None` at the end of the stream.
    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, Interrupted>, Self)> {
        loop {
            self.register();
            match self.next_item().await {
                StreamItem::Event(bytes) => return Some((Ok(Frame::data(bytes)), self)),
                StreamItem::End => {
                    if let Some(source) = &mut self.source {
                        source.in_flight.record_completion();
                    }
                    self.record_end("answered", "");
                    self.release_connection();
                    return None;
                }
                StreamItem::TimedOut => {
                    self.record_end("late", "");
                    return Some((Err(Interrupted), self));
                }
                StreamItem::YieldRequested(at) => {
                    if self.give_way(at).await {
                        continue;
                    }
                    self.record_end("broken", "no runner had capacity for the resume");
                    return Some((Err(Interrupted), self));
                }
                StreamItem::Interrupted(why) => {
                    self.registration = None;
                    if self.end_recorded {
                        return None;
                    }
                    if self.resume(&why).await {
                        continue;
                    }
                    self.record_end("broken", &why);
                    return Some((Err(Interrupted), self));
                }
            }
        }
    }

    async fn next_item(&mut self) -> StreamItem {
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        loop {
            let event = self.decoder.next_event();
            let has_events = self.has_events();
            let Some(source) = &mut self.source else {
                return match event {
                    Some(event) => self.accept_event(event),
                    None => StreamItem::Interrupted("no server is connected".into()),
                };
            };
            if let Some(event) = event {
                // A server may crash within its first event.
                source.in_flight.record_first_event(source.target.number);
                return self.accept_event(event);
            }
            let frame = tokio::select! {
                // A stream that has ended is not stopped.
                biased;
                frame = timeout_at(deadline, source.body.frame()) => frame,
                at = yielding::requested(&mut self.registration) => {
                    return StreamItem::YieldRequested(at);
                }
            };
            let Ok(frame) = frame else { return StreamItem::TimedOut };
            match frame {
                None if self.decoder.has_partial_event() => {
                    return StreamItem::Interrupted(
                        "the stream ended within an event".into(),
                    );
                }
                // A response without a length ends like this when its server crashes.
                None if !source.in_flight.has_first_event()
                    && (ends_with_connection(&source.head) || !has_events) =>
                {
                    return StreamItem::Interrupted(
                        "the stream ended before its first event".into(),
                    );
                }
                None => return StreamItem::End,
                Some(Err(error)) => return StreamItem::Interrupted(error.to_string()),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    if let Err(why) = source.check_end(data) {
                        return StreamItem::Interrupted(why.into());
                    }
                    if self.decoder.push(data).is_err() {
                        return StreamItem::Interrupted("an event is too large".into());
                    }
                }
            }
        }
    }

    /// Whether the caller has a part of the stream.
    fn has_events(&self) -> bool {
        self.sequence.last().is_some() || self.timing.events > 0
    }

    /// Accepts an event for the caller, unless the caller already has it, and records its
    /// time.
    fn accept_event(&mut self, event: Event) -> StreamItem {
        if let Err(DuplicateEvent { id, last }) = self.sequence.accept(&event) {
            return StreamItem::Interrupted(format!("event {id} after event {last}"));
        }
        if let Some(source) = self.source.as_ref().filter(|_| self.timing.events == 0) {
            self.job.software.bind(source.target.software.as_ref());
            resumption::record_origin(&self.job);
        }
        let now = self.job.shared.now();
        match self.timing.first_after_send {
            None => {
                self.timing.first_after_send =
                    Some(now.saturating_duration_since(self.job.sent_at));
                self.timing.first_after_arrival = Some(self.job.age());
            }
            Some(_) => {
                let gap = now.saturating_duration_since(self.last_event_at);
                self.timing.max_event_gap = self.timing.max_event_gap.max(gap);
                // A pause says nothing about the engine.
                let after_pause = std::mem::take(&mut self.after_pause);
                if let Some(tokens) = self.event_tokens.filter(|_| !after_pause) {
                    let relayed = self.relayed.as_mut();
                    let gap = relayed.map_or(gap, |relayed| relayed.record_gap(gap));
                    self.job.shared.engine_timings().record_event_gap(gap, tokens);
                }
            }
        }
        self.last_event_at = now;
        self.timing.events += 1;
        StreamItem::Event(event.bytes)
    }

    /// Resumes the stream at another server after the last event that the caller has.
    async fn resume(&mut self, why: &str) -> bool {
        let mut interrupted = self.source.take();
        if let Some(interrupted) = &mut interrupted {
            interrupted.in_flight.record_interruption().await;
            let now = self.job.shared.now();
            if let Some(server) = self.job.shared.fleet().get_mut(interrupted.target.key)
            {
                server.health.record_failure(now);
            }
        }
        self.job.response_started = true;
        self.decoder.discard_partial();
        let incarnation =
            interrupted.as_ref().map(|response| response.target.incarnation());
        // Closing the connection stops the interrupted run before the next one starts.
        drop(interrupted);
        let decision = incarnation.map(|incarnation| {
            self.job.attempts.record(incarnation, AttemptOutcome::Interrupted)
        });
        if decision != Some(RetryDecision::RetryWithinBudget) {
            return false;
        }
        info!(self.job.shared.log, "resuming the stream at another server";
            "id" => self.job.id(), "server" => self.server.to_string(),
            "software" => self.job.software.name(), "why" => why,
            "after" => self.sequence.last());
        while retries::try_take(&mut self.job, "resumed") {
            let Ok(target) = pick_to_resume(&self.job).await else { return false };
            match attempt(&mut self.job, &target, self.sequence.last()).await {
                Ok(response) if is_event_stream(&response.head) => {
                    self.server = response.target.name.clone();
                    self.report_gaps();
                    self.relayed = RelayedStream::start(&self.job, &response.target);
                    self.source = Some(response);
                    return true;
                }
                Ok(_)
                | Err(
                    AttemptError::Late
                    | AttemptError::Blocked
                    | AttemptError::Quarantined
                    | AttemptError::Exhausted,
                ) => return false,
                Err(error) => {
                    let _ =
                        self.job.attempts.record(target.incarnation(), error.outcome());
                }
            }
        }
        false
    }

    /// Lists the stream among those that may be stopped, once its caller has an event.
    fn register(&mut self) {
        let has_events = self.timing.events > 0 && self.sequence.is_resumable();
        if !self.may_yield || !has_events || self.registration.is_some() {
            return;
        }
        let Some(source) = &self.source else { return };
        let streams = &self.job.shared.patient_streams;
        let server = source.target.incarnation();
        self.registration = Some(streams.register(server, self.job.deadline));
    }

    /// Stops the stream for more urgent requests, and resumes it when there is capacity.
    /// Returns whether the stream continues; without a grant it was not stopped.
    async fn give_way(&mut self, requested_at: Instant) -> bool {
        self.registration = None;
        let Some(source) = &self.source else { return true };
        let server = source.target.incarnation();
        let is_leaving = *self.job.shared.shutting_down.borrow();
        let is_current = yielding::is_current(requested_at, self.job.shared.now());
        if is_leaving || !is_current || !self.sequence.is_resumable() {
            return true;
        }
        let decision = yielding::try_stop(&mut self.job, &server, self.sequence.last());
        // Without a retry, it may be asked for again; once stopped, never.
        self.may_yield = decision == StopDecision::NoBudget;
        if decision != StopDecision::Stopped {
            return true;
        }
        // Closing the connection stops the run at the server and frees its slot.
        drop(self.source.take());
        self.decoder.discard_partial();
        let last_event = (self.sequence.last(), self.last_event_at);
        let Some(response) = yielding::resume(&mut self.job, last_event).await else {
            return false;
        };
        self.server = response.target.name.clone();
        self.report_gaps();
        self.relayed = RelayedStream::start(&self.job, &response.target);
        self.source = Some(response);
        self.after_pause = true;
        true
    }

    /// Returns the connection to the client for reuse.
    fn release_connection(&mut self) {
        if let Some(source) = self.source.take() {
            let (addr, keep_alive) = (source.addr, source.metadata.keep_alive);
            self.job.shared.client.release(addr, source.connection, keep_alive);
        }
    }

    /// Reports the gaps at the current server to its holder.
    fn report_gaps(&mut self) {
        if let Some(relayed) = self.relayed.take() {
            relayed.report(&self.job.shared);
        }
    }

    /// Records the end of the request; only the first call has an effect.
    fn record_end(&mut self, outcome: &str, reason: &str) {
        if std::mem::replace(&mut self.end_recorded, true) {
            return;
        }
        self.report_gaps();
        let timing = Some(&self.timing);
        self.job.record_end(RequestEnd {
            outcome,
            server: self.server.as_str(),
            reason,
            timing,
        });
    }
}

impl Drop for StreamRelay {
    /// Records that the caller left, unless the stream has ended.
    fn drop(&mut self) {
        self.record_end("caller left", "");
    }
}
