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
use crate::shared::{ActiveRequests, Shared};

/// The mean length of answers against callers' guesses, which are right at the median.
const GUESS_MEAN: f64 = 1.5;

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub struct End<'a> {
    /// How, in a word or two.
    pub how: &'a str,
    /// The server that answered last; empty if none did.
    pub server: &'a str,
    /// Why, or the status of the answer.
    pub why: &'a str,
    /// The pace of a stream.
    pub pace: Option<&'a StreamPace>,
}

/// How a stream went.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamPace {
    /// Events that were passed on.
    pub events: u64,
    /// From the sending to the first event.
    pub first: Option<Duration>,
    /// From the arrival of the request to the first event.
    pub begun: Option<Duration>,
    /// The longest pause between events.
    pub pause: Duration,
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
    pub declared: Arc<Declarations>,
    /// The index of its route in `declared`.
    pub route: usize,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Counts the request among those that are being served.
    pub active: ActiveRequests,
    /// When its head was read.
    pub arrived: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// When it was last sent.
    pub sent: Instant,
    /// Where it may have run so far, and what may follow.
    pub attempts: Attempts,
    /// Whether its caller has a part of the answer.
    pub begun: bool,
    /// Whether its end was recorded.
    pub done: AtomicBool,
}

impl Job {
    /// How long ago its head was read.
    pub fn age(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.arrived)
    }

    /// The route.
    pub fn route(&self) -> &Route {
        &self.declared.routes[self.route]
    }

    /// The caller's name for the attempt, for logs.
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }

    /// What the request needs of a runner, if it is a generation.
    pub fn want(&self) -> Option<GenerationRequest> {
        let now = self.shared.now();
        let on_time = self.arrived + self.route().objective;
        Some(GenerationRequest {
            target: self.call.target.clone()?,
            size: self.size(),
            parts: self.call.parts.clone(),
            urgency: self.route().priority,
            target_time: on_time.saturating_duration_since(now),
            wait_limit: self.patience().saturating_duration_since(now),
        })
    }

    /// Until when the caller waits for the first event, or for the next one.
    pub fn patience(&self) -> Instant {
        match self.begun {
            true => self.deadline,
            false => self.deadline.min(self.arrived + self.route().wait_limit),
        }
    }

    /// What the request asks of its model's runners.
    pub fn asked(&self) -> DemandCounts {
        let size = self.call.size;
        let guess = self.call.estimated_output.map_or(f64::from(size.output), f64::from);
        let output = (guess * GUESS_MEAN).min(size.output.into());
        let prompt = f64::from(size.prompt);
        DemandCounts {
            requests: 1.0,
            prompt_tokens: prompt,
            kv_tokens: prompt + output,
            ..DemandCounts::default()
        }
    }

    /// The size to plan with: callers' guesses are right at the median.
    pub fn size(&self) -> GenerationSize {
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
        self.declared.services.get(&self.service)?.engine.clone()
    }

    /// Records how the request ended.
    pub fn ended(&self, end: End) {
        self.done.store(true, Ordering::Relaxed);
        let time = self.age();
        let route = self.route();
        self.shared.metrics.ended(&route.name, end.how);
        self.shared.metrics.observe(Span::WholeAnswer, time);
        let millis = |time: Duration| time.as_millis() as u64;
        let pace = end.pace;
        info!(self.shared.log, "request ended"; "id" => self.id(), "end" => end.how,
            "why" => end.why, "route" => &route.name, "server" => end.server,
            "revision" => self.declared.revision.0, "ms" => millis(time),
            "prompt" => self.call.size.prompt, "output" => self.call.size.output,
            "events" => pace.map(|pace| pace.events),
            "first_ms" => pace.and_then(|pace| pace.first).map(millis),
            "begun_ms" => pace.and_then(|pace| pace.begun).map(millis),
            "objective_ms" => millis(self.route().objective),
            "gap_ms" => self.gap().map(millis),
            "pause_ms" => pace.map(|pace| millis(pace.pause)));
    }

    /// The longest pause between events for which the answer is on time.
    fn gap(&self) -> Option<Duration> {
        match self.route().kind {
            RouteKind::Stream { event_gap: pause, .. } => pause,
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        }
    }

    /// Records that the request is refused.
    pub fn refused(&self, refusal: &Refusal) {
        let how = format!("{:?}", refusal.code);
        let why = format!("{:?}: {}", refusal.outcome, refusal.message);
        self.ended(End { how: &how, server: "", why: &why, pace: None });
    }
}

impl Drop for Job {
    /// Records that the caller left, if nothing else ended the request: its connection
    /// and all that waits for an answer end together.
    fn drop(&mut self) {
        if !self.done.load(Ordering::Relaxed) {
            let why = "before the answer began";
            self.ended(End { how: "caller left", server: "", why, pace: None });
        }
    }
}
