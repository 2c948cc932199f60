//! A caller's request while it is being served.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{Refusal, ServiceName};
use chestnut_edge::{Call, Declarations, Engine, GenerationSize, Route, RouteKind};
use chestnut_pool::{Attempts, DemandCounts, GenerationRequest};
use http::request;
use slog::info;

use crate::metrics::Span;
use crate::shared::{Active, Shared};

/// The mean length of answers against callers' guesses, which are right at the median.
const MEAN_TO_MEDIAN_OUTPUT: f64 = 1.5;

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// How, in a word or two.
    pub outcome: &'a str,
    /// The server that answered last; empty if none did.
    pub server: &'a str,
    /// Why, or the status of the answer.
    pub reason: &'a str,
    /// The pace of a stream.
    pub timing: Option<&'a StreamTiming>,
}

/// How a stream went.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTiming {
    /// Events that were passed on.
    pub events: u64,
    /// From the sending to the first event.
    pub first_after_send: Option<Duration>,
    /// From the arrival of the request to the first event.
    pub first_after_arrival: Option<Duration>,
    /// The longest pause between events.
    pub max_event_gap: Duration,
}

/// A caller's request while it is being served.
pub struct Job {
    /// The daemon.
    pub shared: Arc<Shared>,
    /// The request as the caller sent it.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// The request as far as the system reads it.
    pub call: Call,
    /// The declarations that it is served by.
    pub declarations: Arc<Declarations>,
    /// The index of its route in `declared`.
    pub route: usize,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Counts the request among those that are being served.
    pub active: Active,
    /// When its head was read.
    pub arrived_at: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// When it was last sent.
    pub sent_at: Instant,
    /// Where it may have run so far, and what may follow.
    pub attempts: Attempts,
    /// Whether its caller has a part of the answer.
    pub response_started: bool,
    /// Whether its end was recorded.
    pub end_recorded: AtomicBool,
}

impl Job {
    /// How long ago its head was read.
    pub fn age(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.arrived_at)
    }

    /// The route.
    pub fn route(&self) -> &Route {
        &self.declarations.routes[self.route]
    }

    /// The caller's name for the attempt, for logs.
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }

    /// What the request needs of a runner, if it is a generation.
    pub fn generation_request(&self) -> Option<GenerationRequest> {
        let now = self.shared.now();
        let on_time = self.arrived_at + self.route().objective;
        Some(GenerationRequest {
            target: self.call.target.clone()?,
            size: self.estimated_size(),
            parts: self.call.parts.clone(),
            urgency: self.route().priority,
            target_time: on_time.saturating_duration_since(now),
            wait_limit: self.wait_deadline().saturating_duration_since(now),
        })
    }

    /// Until when the caller waits for the first event, or for the next one.
    pub fn wait_deadline(&self) -> Instant {
        match self.response_started {
            true => self.deadline,
            false => self.deadline.min(self.arrived_at + self.route().wait_limit),
        }
    }

    /// What the request asks of its model's runners.
    pub fn demand(&self) -> DemandCounts {
        let size = self.call.size;
        let guess = self.call.estimated_output.map_or(f64::from(size.output), f64::from);
        let output = (guess * MEAN_TO_MEDIAN_OUTPUT).min(size.output.into());
        let prompt = f64::from(size.prompt);
        DemandCounts {
            requests: 1.0,
            prompt_tokens: prompt,
            kv_tokens: prompt + output,
            ..DemandCounts::default()
        }
    }

    /// The size to plan with: callers' guesses are right at the median.
    pub fn estimated_size(&self) -> GenerationSize {
        let size = self.call.size;
        let guess = self
            .call
            .estimated_output
            .map_or(size.output, |guess| guess.saturating_mul(2));
        GenerationSize { output: size.output.min(guess), ..size }
    }

    /// What requests have in common that are better served by the same runner: the
    /// adapter, or the beginning of the prompt.
    pub fn affinity(&self) -> String {
        let target = self.call.target.as_ref();
        let target = target.map(|target| target.to_string()).unwrap_or_default();
        let with_adapter = self.call.target.as_ref().is_some_and(|t| t.adapter.is_some());
        match self.call.parts.first() {
            Some(part) if !with_adapter => format!("{target}:{:x}", part.id),
            _ => target,
        }
    }

    /// The engine of the service, if it runs models.
    pub fn engine(&self) -> Option<Arc<Engine>> {
        self.declarations.services.get(&self.service)?.engine.clone()
    }

    /// Records how the request ended.
    pub fn record_end(&self, end: RequestEnd) {
        self.end_recorded.store(true, Ordering::Relaxed);
        let time = self.age();
        let route = self.route();
        self.shared.metrics.record_end(&route.name, end.outcome);
        self.shared.metrics.observe(Span::WholeAnswer, time);
        let millis = |time: Duration| time.as_millis() as u64;
        let timing = end.timing;
        info!(self.shared.log, "request ended"; "id" => self.id(), "end" => end.outcome,
            "why" => end.reason, "route" => &route.name, "server" => end.server,
            "revision" => self.declarations.revision.0, "ms" => millis(time),
            "prompt" => self.call.size.prompt, "output" => self.call.size.output,
            "events" => timing.map(|timing| timing.events),
            "first_ms" => timing.and_then(|timing| timing.first_after_send).map(millis),
            "begun_ms" => timing.and_then(|timing| timing.first_after_arrival).map(millis),
            "objective_ms" => millis(self.route().objective),
            "gap_ms" => self.max_event_gap().map(millis),
            "pause_ms" => timing.map(|timing| millis(timing.max_event_gap)));
    }

    /// The longest pause between events for which the answer is on time.
    fn max_event_gap(&self) -> Option<Duration> {
        match self.route().kind {
            RouteKind::Stream { event_gap: pause, .. } => pause,
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        }
    }

    /// Records that the request is refused.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let outcome = format!("{:?}", refusal.code);
        let reason = format!("{:?}: {}", refusal.outcome, refusal.message);
        self.record_end(RequestEnd {
            outcome: &outcome,
            server: "",
            reason: &reason,
            timing: None,
        });
    }
}

impl Drop for Job {
    /// Records that the caller left, if nothing else ended the request: its connection
    /// and all that waits for an answer end together.
    fn drop(&mut self) {
        if !self.end_recorded.load(Ordering::Relaxed) {
            let reason = "before the answer began";
            self.record_end(RequestEnd {
                outcome: "caller left",
                server: "",
                reason,
                timing: None,
            });
        }
    }
}
