//! A caller's request while it is being served.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_account::AccountKey;
use chestnut_base::{Digest, Refusal, ServiceName};
use chestnut_crash::part_digest;
use chestnut_edge::{Call, Declarations, Engine, GenerationSize, Route, RouteKind};
use chestnut_intake::Connection;
use chestnut_pool::{
    Attempts, DemandCounts, GenerationRequest, RequestClass, RetryGrant, SoftwareBinding,
};
use http::request;
use slog::info;

use crate::accounts;
use crate::metrics::Span;
use crate::shared::{ActiveRequests, Shared};

/// The ratio of the mean output length to callers' estimates, which match the median.
const MEAN_TO_MEDIAN_OUTPUT: f64 = 1.5;

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// The outcome in a word or two, as logged and counted in metrics.
    pub outcome: &'a str,
    /// The server that responded last; empty if none did.
    pub server: &'a str,
    /// The cause, or the HTTP status of the response; may be empty.
    pub reason: &'a str,
    /// `None` unless the response was a stream.
    pub timing: Option<&'a StreamTiming>,
}

/// Event times of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTiming {
    /// Events sent to the caller.
    pub events: u64,
    /// From sending the request to its server to the first event.
    pub first_after_send: Option<Duration>,
    /// From the arrival of the request to the first event.
    pub first_after_arrival: Option<Duration>,
    /// The longest time between two events.
    pub max_event_gap: Duration,
}

/// A caller's request while it is being served.
pub struct Job {
    /// The state of the daemon that serves it.
    pub shared: Arc<Shared>,
    /// The head as the caller sent it.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// What the deployment's adapter reads from the head.
    pub call: Call,
    /// Identifies the request: copies that callers send again under other ids have the same.
    pub digest: Digest,
    /// The connection that it came on, whose share has memory for the response.
    pub connection: Arc<Connection>,
    /// The declarations in force when it arrived; they apply until its end.
    pub declarations: Arc<Declarations>,
    /// The index of its route in `declarations`.
    pub route: usize,
    /// The client account that sent it; `None` if the route needs no key.
    pub account: Option<AccountKey>,
    /// The service, chosen from those of the route.
    pub service: ServiceName,
    /// Counts the request as active until dropped.
    pub active: ActiveRequests,
    /// When its head was read; its objective and limits count from then.
    pub arrived_at: Instant,
    /// When the time budget of the caller or the timeout of the route ends.
    pub deadline: Instant,
    /// When it was last sent to a server; its arrival before that.
    pub sent_at: Instant,
    /// The attempts so far and which retries are safe.
    pub attempts: Attempts,
    /// The retry that the current attempt uses; `None` if that is no retry.
    pub retry: Option<RetryGrant>,
    /// The software versions that may run it.
    pub software: SoftwareBinding,
    /// Whether its caller has part of the response.
    pub response_started: bool,
    /// When its caller got the last event; `None` unless the stream is stopped for more
    /// urgent requests.
    pub paused_since: Option<Instant>,
    /// Whether its end has been logged and counted; set once.
    pub end_recorded: AtomicBool,
}

impl Job {
    /// The time since its head was read.
    pub fn age(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.arrived_at)
    }

    /// Its route in the declarations that it arrived under.
    pub fn route(&self) -> &Route {
        &self.declarations.routes[self.route]
    }

    /// Whether its caller resumes a stream.
    pub fn resumes(&self) -> bool {
        self.call.resuming
    }

    /// Whether its route's responses are streams that may be resumed.
    pub fn is_resumable_stream(&self) -> bool {
        matches!(self.route().kind, RouteKind::Stream { resumable: true, .. })
    }

    /// The rank in queues; 0 is the first. The account's priority goes before the route's.
    pub fn priority(&self) -> u8 {
        let accounts = self.declarations.accounts.as_ref();
        let account = accounts.zip(self.account).map(|(all, key)| all.get(key).1);
        let priority = account.and_then(|account| account.priority);
        self.shared.settings.policy.priority.rank(priority, self.route().priority)
    }

    /// Whether it goes before other requests: the daemon is shutting down, and the caller has
    /// part of the response, which no other daemon can continue.
    pub fn must_continue(&self) -> bool {
        self.response_started && *self.shared.shutting_down.borrow()
    }

    /// The caller's id for the request, for logs; "-" if it sent none.
    pub fn id(&self) -> &str {
        self.call.id.as_deref().unwrap_or("-")
    }

    /// What the request needs from a runner; `None` if it goes to a plain service.
    pub fn generation_request(&self) -> Option<GenerationRequest> {
        let now = self.shared.now();
        // A stream that was on time is not late because it was stopped.
        let started_at = self.paused_since.unwrap_or(self.arrived_at);
        let target_time = started_at + self.route().objective;
        // Holders of older versions know no precedence.
        let urgency = if self.must_continue() { 0 } else { self.priority() };
        Some(GenerationRequest {
            target: self.call.target.clone()?,
            size: self.estimated_size(),
            parts: self.call.parts.clone(),
            urgency,
            target_time: target_time.saturating_duration_since(now),
            wait_limit: self.wait_deadline().saturating_duration_since(now),
        })
    }

    /// What distinguishes it from others of the same urgency.
    pub fn class(&self) -> RequestClass {
        // It has been charged to its account, and is not to be stopped once more.
        if self.must_continue() {
            return RequestClass { must_continue: true, ..RequestClass::default() };
        }
        let name = || accounts::account_name(&self.declarations, self.account).to_owned();
        let profile = self.shared.profile(&self.service);
        RequestClass {
            account: self.account.map(|_| name()),
            patient: profile.is_patient(self.route()),
            must_continue: false,
        }
    }

    /// Until when the caller waits for the first event, or for the next one of a stream that
    /// is stopped; the deadline once it has part of the response.
    pub fn wait_deadline(&self) -> Instant {
        match (self.paused_since, self.response_started) {
            (Some(at), _) => self.deadline.min(at + self.route().wait_limit),
            (None, true) => self.deadline,
            (None, false) => self.deadline.min(self.arrived_at + self.route().wait_limit),
        }
    }

    /// The demand that the request adds for its model.
    pub fn demand(&self) -> DemandCounts {
        let size = self.call.size;
        let estimate = self
            .call
            .estimated_output_tokens
            .map_or(f64::from(size.max_output_tokens), f64::from);
        let output =
            (estimate * MEAN_TO_MEDIAN_OUTPUT).min(size.max_output_tokens.into());
        let prompt = f64::from(size.prompt_tokens);
        DemandCounts {
            requests: 1.0,
            prompt_tokens: prompt,
            kv_tokens: prompt + output,
            ..DemandCounts::default()
        }
    }

    /// The size to schedule with: twice the caller's estimate of the output, which matches
    /// only the median, limited by the declared size.
    pub fn estimated_size(&self) -> GenerationSize {
        let size = self.call.size;
        let estimate = self
            .call
            .estimated_output_tokens
            .map_or(size.max_output_tokens, |estimate| estimate.saturating_mul(2));
        GenerationSize { max_output_tokens: size.max_output_tokens.min(estimate), ..size }
    }

    /// A key shared by requests that benefit from the same runner: those with the same adapter,
    /// or without an adapter and with the same first part of the prompt.
    pub fn affinity(&self) -> String {
        let target = self.call.target.as_ref();
        let target = target.map(|target| target.to_string()).unwrap_or_default();
        let has_adapter = self.call.target.as_ref().is_some_and(|t| t.adapter.is_some());
        match self.call.parts.first() {
            Some(part) if !has_adapter => format!("{target}:{:x}", part.id),
            _ => target,
        }
    }

    /// The digests of the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> Vec<Digest> {
        let shared = self.call.parts.split_last().map(|(_, shared)| shared);
        shared.unwrap_or_default().iter().map(|part| part_digest(part.id)).collect()
    }

    /// The engine of the service; `None` if it is a plain service.
    pub fn engine(&self) -> Option<Arc<Engine>> {
        self.declarations.services.get(&self.service)?.engine.clone()
    }

    /// Logs the end of the request and counts it in metrics.
    pub fn record_end(&self, end: RequestEnd) {
        self.end_recorded.store(true, Ordering::Relaxed);
        let time = self.age();
        let route = self.route();
        self.shared.metrics.record_end(&route.name, end.outcome);
        self.shared.metrics.observe(Span::WholeAnswer, time);
        let millis = |time: Duration| time.as_millis() as u64;
        let timing = end.timing;
        info!(self.shared.log, "request ended"; "id" => self.id(), "end" => end.outcome,
            "why" => end.reason, "route" => &route.name,
            "account" => accounts::account_name(&self.declarations, self.account),
            "priority" => self.priority(), "server" => end.server,
            "software" => self.software.name(),
            "resumes" => self.call.resumed_id.as_deref(), "after" => self.call.resume_after,
            "digest" => self.digest.to_string(), "parts" => self.part_list(),
            "body_bytes" => self.body.len(),
            "revision" => self.declarations.revision.0, "ms" => millis(time),
            "prompt" => self.call.size.prompt_tokens, "output" => self.call.size.max_output_tokens,
            "events" => timing.map(|timing| timing.events),
            "first_ms" => timing.and_then(|timing| timing.first_after_send).map(millis),
            "begun_ms" => timing.and_then(|timing| timing.first_after_arrival).map(millis),
            "objective_ms" => millis(self.route().objective),
            "gap_ms" => self.max_event_gap().map(millis),
            "pause_ms" => timing.map(|timing| millis(timing.max_event_gap)));
    }

    /// The parts of the prompt, for logs; `None` if it names none.
    fn part_list(&self) -> Option<String> {
        let parts: Vec<String> =
            self.call.parts.iter().map(|part| format!("{:x}", part.id)).collect();
        (!parts.is_empty()).then(|| parts.join(" "))
    }

    /// The declared bound on the time between events; `None` if there is none.
    fn max_event_gap(&self) -> Option<Duration> {
        match self.route().kind {
            RouteKind::Stream { event_gap, .. } => event_gap,
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        }
    }

    /// Records a refusal as the end of the request.
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
    /// Records that the caller left, unless another end was recorded. When the caller closes
    /// the connection, the future that serves the request is dropped.
    fn drop(&mut self) {
        if !self.end_recorded.load(Ordering::Relaxed) {
            let reason = "before the response started";
            self.record_end(RequestEnd {
                outcome: "caller left",
                server: "",
                reason,
                timing: None,
            });
        }
    }
}
