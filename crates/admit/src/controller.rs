//! The admission controller of one backend server; [`overload`] handles lateness.
//!
//! Load pattern: a burst of urgent requests arrives while all streams run slow requests
//! whose deadlines are minutes away. Waiting for a stream to end costs an urgent request
//! its deadline, and streams reserved for urgent requests are idle the rest of the day.
//! So a slow stream is preempted if its remainder can still be in time. By the figures in
//! `docs/POLICY.md`, without preemption another 4 to 15 in 100 requests of a burst are
//! late; a reserve of a tenth of the streams does not make up for that, and letting
//! requests of normal urgency preempt, or be preempted, gains nothing.

mod overload;

use std::time::{Duration, Instant};

use chestnut_base::Urgency;
use slotmap::SlotMap;

use crate::forecast::{Capacity, Demand, Reservation, estimate_starts};
use crate::job::{Effect, Job, RejectReason, Rejection, Ticket};
use crate::latency::LatencyModel;
use crate::limits::{AdmissionPolicy, Limits, SheddingPolicy};
use crate::queue::QueueKey;
use crate::usage::UsageTracker;

/// The shortest and the longest retry delay of a refusal.
///
/// With a shorter minimum, callers of an overloaded system would retry about as often as
/// network latency allows, and their offers would be most of its traffic.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(30));

/// The most retries that a caller is allowed in the time until its deadline.
///
/// A refused request is often late by only a little. With this lateness as the retry
/// delay and a load of five times the capacity, callers with much time left would retry
/// 22 times each and get no more responses.
const MAX_RETRIES_BEFORE_DEADLINE: u32 = 10;

/// The multiple of the declared step time from which a server counts as slow.
///
/// A burst of prompts alone makes steps up to twice as long on every server, so another
/// server would be no better.
const SLOW_STEP_FACTOR: u32 = 3;

/// How often decayed usage accounts are removed.
const USAGE_PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Completed,
    /// The backend server failed.
    Failed,
    /// The caller or the daemon cancelled it, or the stream was preempted.
    Cancelled,
}

/// The load of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The most tokens of KV cache that running and waiting requests can occupy.
    pub cache_tokens: u64,
    /// The estimated wait of a new request that is dispatched after all others.
    pub estimated_wait: Duration,
    /// The estimated time of an engine step.
    pub step_time: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running(Progress),
    /// Preempted; holds its stream until its end is reported.
    Stopping(Progress),
}

/// The progress of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Progress {
    dispatched_at: Instant,
    /// The run time as estimated at dispatch.
    estimated_run_time: Duration,
    /// The arrival of the last token, or the dispatch before the first one.
    last_token_at: Instant,
    /// [`AdmissionController::prefilled_tokens`] at `last_token_at`.
    prefilled_tokens: u64,
    /// Tokens received so far.
    generated: u32,
}

#[derive(Debug, Clone)]
struct TrackedRequest {
    job: Job,
    queue_key: QueueKey,
    state: RequestState,
    /// Seconds of stream time charged to the caller.
    charged: f64,
}

/// Admission, queueing and preemption for one backend server.
///
/// Every request that does not wait holds a stream. At most [`Limits::max_streams`] do,
/// and together they occupy at most [`Limits::max_cache_tokens`], unless there is only
/// one.
#[derive(Debug)]
pub struct AdmissionController {
    limits: Limits,
    policy: AdmissionPolicy,
    latency: LatencyModel,
    usage: UsageTracker,
    requests: SlotMap<Ticket, TrackedRequest>,
    /// In dispatch order as of the last change.
    waiting: Vec<Ticket>,
    /// Dispatched and not ended.
    running: Vec<Ticket>,
    effects: Vec<Effect>,
    /// The sequence number of the newest request.
    last_sequence: u64,
    /// Prompt tokens prefilled so far by all requests.
    prefilled_tokens: u64,
    /// The estimated time of a step as of the last event.
    step_time: Duration,
    closed: bool,
    last_prune: Instant,
}

impl AdmissionController {
    /// Starts without requests, and with the declared step time as estimate.
    pub fn new(limits: Limits, policy: AdmissionPolicy, now: Instant) -> Self {
        Self {
            limits,
            policy,
            latency: LatencyModel::new(&limits),
            usage: UsageTracker::new(now),
            requests: SlotMap::with_key(),
            waiting: Vec::new(),
            running: Vec::new(),
            effects: Vec::new(),
            last_sequence: 0,
            prefilled_tokens: 0,
            step_time: limits.step_time,
            closed: false,
            last_prune: now,
        }
    }

    /// Replaces the limits; requests already running beyond them continue.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Offers a request; an effect with its ticket follows, now or later.
    pub fn offer(&mut self, job: Job, now: Instant) -> Ticket {
        self.last_sequence += 1;
        let queue_key = QueueKey {
            urgency: job.urgency,
            enqueued_at: now,
            deadline: job.deadline,
            sequence: self.last_sequence,
        };
        let (resumed, request) = (
            job.resumed,
            TrackedRequest { job, queue_key, state: RequestState::Waiting, charged: 0.0 },
        );
        let ticket = self.requests.insert(request);
        self.enqueue(ticket, now);
        self.step_time = self.estimate_step_time();
        self.charge(ticket, self.cost(ticket), now);
        if self.closed {
            self.refuse(ticket, RejectReason::Closed, Some(RETRY_AFTER_RANGE.0), now);
        } else if !resumed && self.is_infeasible(ticket, now) {
            self.refuse(ticket, RejectReason::Infeasible, None, now);
        } else {
            self.dispatch(now);
            self.resolve_lateness(now);
            self.enforce_queue_limit(now);
        }
        ticket
    }

    /// Records tokens of a dispatched request; the time to the first ones includes the
    /// prefill.
    pub fn record_tokens(&mut self, ticket: Ticket, count: u32, now: Instant) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let (RequestState::Running(progress) | RequestState::Stopping(progress)) =
            &mut request.state
        else {
            return;
        };
        let elapsed = now.saturating_duration_since(progress.last_token_at);
        if progress.generated == 0 {
            self.latency.record_first_token(request.job.prompt_tokens, elapsed);
            self.prefilled_tokens += u64::from(request.job.prompt_tokens);
        } else {
            self.latency.record_tokens(
                self.prefilled_tokens - progress.prefilled_tokens,
                count,
                elapsed,
            );
        }
        progress.generated += count;
        progress.last_token_at = now;
        progress.prefilled_tokens = self.prefilled_tokens;
    }

    /// Records the end of a request, whether it was dispatched or not; later events about
    /// it are ignored.
    pub fn finish(&mut self, ticket: Ticket, end: AttemptEnd, now: Instant) {
        let Some(request) = self.remove(ticket) else { return };
        let (stream_time, generated) = match request.state {
            RequestState::Waiting => (0.0, 0),
            RequestState::Running(progress) | RequestState::Stopping(progress) => (
                now.saturating_duration_since(progress.dispatched_at).as_secs_f64(),
                progress.generated,
            ),
        };
        if let (AttemptEnd::Completed, RequestState::Running(progress)) =
            (end, request.state)
        {
            self.latency.record_run_time(
                progress.estimated_run_time,
                now.saturating_duration_since(progress.dispatched_at),
            );
            self.latency.record_length(
                request.job.urgency,
                generated,
                request.job.max_output_tokens,
            );
        }
        self.charge_usage(&request.job, stream_time - request.charged, now);
        self.step_time = self.estimate_step_time();
        self.dispatch(now);
    }

    /// Refuses requests that can no longer be in time, and preempts streams where that
    /// helps. To be called a few times a second.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_prune) >= USAGE_PRUNE_INTERVAL {
            self.usage.prune(now);
            self.last_prune = now;
        }
        self.step_time = self.estimate_step_time();
        self.sort_queue(now);
        self.evacuate_slow_server(now);
        self.dispatch(now);
        self.resolve_lateness(now);
    }

    /// Refuses all waiting requests and all offers from now on.
    pub fn close(&mut self, now: Instant) {
        self.closed = true;
        for ticket in self.waiting.clone() {
            self.refuse(ticket, RejectReason::Closed, Some(RETRY_AFTER_RANGE.0), now);
        }
    }

    /// Accepts offers again after [`AdmissionController::close`].
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// Returns the effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The current load, with an estimate of the wait as of `now`.
    pub fn snapshot(&self, now: Instant) -> LoadSnapshot {
        let cache_tokens =
            self.requests.values().map(|request| request.job.cache_tokens()).sum();
        LoadSnapshot {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            cache_tokens,
            estimated_wait: self.estimate_wait(now),
            step_time: self.step_time,
        }
    }

    /// The speed of the backend server as measured so far.
    pub fn latency_model(&self) -> &LatencyModel {
        &self.latency
    }

    /// The number of requests that hold a stream, and the tokens of KV cache that they
    /// occupy.
    pub fn in_flight(&self) -> (usize, u64) {
        let cache_tokens =
            self.running.iter().map(|&ticket| self.requests[ticket].job.cache_tokens());
        (self.running.len(), cache_tokens.sum())
    }

    /// The number of requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Inserts a request into the queue in order.
    fn enqueue(&mut self, ticket: Ticket, now: Instant) {
        let (requests, order) = (&self.requests, self.policy.queue_order);
        let queue_key = &requests[ticket].queue_key;
        let index = self.waiting.partition_point(|&other| {
            requests[other].queue_key.compare(queue_key, order, now).is_lt()
        });
        self.waiting.insert(index, ticket);
    }

    /// Restores the order of the queue, which ageing changes over time.
    fn sort_queue(&mut self, now: Instant) {
        let (requests, order) = (&self.requests, self.policy.queue_order);
        self.waiting.sort_by(|&a, &b| {
            requests[a].queue_key.compare(&requests[b].queue_key, order, now)
        });
    }

    /// Dispatches waiting requests in order while there is capacity.
    fn dispatch(&mut self, now: Instant) {
        let capacity = self.capacity();
        let (mut running, mut used_tokens) = self.in_flight();
        let mut index = 0;
        while let Some(&ticket) = self.waiting.get(index) {
            let demand = self.demand(ticket);
            if let Some(lateness) = self.lateness(ticket, demand.run_time, now) {
                self.refuse(ticket, RejectReason::DeadlineMissed, Some(lateness), now);
            } else if capacity.fits(
                running,
                used_tokens,
                demand.cache_tokens,
                demand.urgent,
            ) {
                self.waiting.remove(index);
                self.running.push(ticket);
                let progress = Progress {
                    dispatched_at: now,
                    estimated_run_time: demand.run_time,
                    last_token_at: now,
                    prefilled_tokens: self.prefilled_tokens,
                    generated: 0,
                };
                self.requests[ticket].state = RequestState::Running(progress);
                self.effects.push(Effect::Dispatch(ticket));
                running += 1;
                used_tokens += demand.cache_tokens;
            } else if running < capacity.streams
                && capacity.urgent_reserve > 0
                && !demand.urgent
            {
                // Only the reserve is left: an urgent request further back may use it.
                index += 1;
            } else {
                break;
            }
        }
    }

    /// By how much a request would miss its deadline if it were dispatched now.
    ///
    /// `None` if it would be in time or must not be refused for lateness.
    fn lateness(
        &self,
        ticket: Ticket,
        run_time: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let job = &self.requests[ticket].job;
        let lateness = (now + run_time).checked_duration_since(job.deadline)?;
        (self.policy.shedding != SheddingPolicy::QueueFull && !job.resumed)
            .then_some(lateness)
    }

    /// Refuses requests until the queue is within its limit.
    fn enforce_queue_limit(&mut self, now: Instant) {
        while self.waiting.len() > self.limits.max_queued {
            let victim = self.select_victim(&self.waiting);
            let Some(victim) = victim else { break };
            let deadline_aware = self.policy.shedding != SheddingPolicy::QueueFull;
            let reason = if deadline_aware && self.exceeds_share(victim) {
                RejectReason::ShareExceeded
            } else {
                RejectReason::QueueFull
            };
            let wait = deadline_aware.then(|| self.estimate_wait(now));
            self.refuse(victim, reason, wait, now);
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: RejectReason,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        let Some(request) = self.remove(ticket) else { return };
        self.charge_usage(&request.job, -request.charged, now);
        let time_left = request.job.deadline.saturating_duration_since(now);
        let retry_after = retry_after.map(|wait| {
            wait.max(time_left / MAX_RETRIES_BEFORE_DEADLINE)
                .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
        });
        self.effects.push(Effect::Refuse(ticket, Rejection { reason, retry_after }));
    }

    fn remove(&mut self, ticket: Ticket) -> Option<TrackedRequest> {
        let request = self.requests.remove(ticket)?;
        self.waiting.retain(|&other| other != ticket);
        self.running.retain(|&other| other != ticket);
        Some(request)
    }

    /// Charges the estimated cost of a request to its caller in advance.
    fn charge(&mut self, ticket: Ticket, cost: f64, now: Instant) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.charged = cost;
        let job = request.job.clone();
        self.charge_usage(&job, cost, now);
    }

    fn charge_usage(&mut self, job: &Job, cost: f64, now: Instant) {
        let slow = job.urgency == Urgency::Slow;
        self.usage.charge(&job.caller, &job.team, job.share, slow, cost, now);
    }

    /// Whether even an idle backend server could not finish a request in time.
    fn is_infeasible(&self, ticket: Ticket, now: Instant) -> bool {
        let job = &self.requests[ticket].job;
        let run_time = self.latency.run_time(
            job.urgency,
            job.prompt_tokens,
            job.max_output_tokens,
            self.latency.step_time(0.0),
        );
        self.policy.shedding != SheddingPolicy::QueueFull && now + run_time > job.deadline
    }

    /// The time until a request behind all others would start.
    fn estimate_wait(&self, now: Instant) -> Duration {
        let order = self.forecast_order(now);
        let last = Demand { run_time: Duration::ZERO, cache_tokens: 0, urgent: false };
        let demands = order.iter().map(|&ticket| self.demand(ticket)).chain([last]);
        let starts =
            estimate_starts(self.capacity(), now, self.reservations(now), demands);
        starts.last().map_or(Duration::ZERO, |&start| start - now)
    }

    /// What running requests occupy and until when; preempted ones end at once.
    fn reservations(&self, now: Instant) -> impl Iterator<Item = Reservation> {
        self.running.iter().map(move |&ticket| {
            let request = &self.requests[ticket];
            let end = match request.state {
                RequestState::Running(progress) => {
                    (progress.last_token_at + self.remaining_time(request)).max(now)
                }
                RequestState::Waiting | RequestState::Stopping(_) => now,
            };
            Reservation { end, cache_tokens: request.job.cache_tokens() }
        })
    }

    fn demand(&self, ticket: Ticket) -> Demand {
        let request = &self.requests[ticket];
        Demand {
            run_time: self.remaining_time(request),
            cache_tokens: request.job.cache_tokens(),
            urgent: request.job.urgency == Urgency::Urgent,
        }
    }

    /// The time that a request still takes, from its dispatch or its last token.
    ///
    /// For a preempted request it is counted from its next dispatch, with a new prefill.
    fn remaining_time(&self, request: &TrackedRequest) -> Duration {
        let (job, step_time) = (&request.job, self.step_time);
        match request.state {
            RequestState::Running(progress) if progress.generated > 0 => {
                self.latency.remaining_time(
                    job.urgency,
                    job.max_output_tokens,
                    progress.generated,
                    step_time,
                )
            }
            RequestState::Stopping(progress) => {
                self.latency.remaining_time(
                    job.urgency,
                    job.max_output_tokens,
                    progress.generated,
                    step_time,
                ) + self.latency.prefill_time(job.prompt_tokens + progress.generated)
            }
            RequestState::Waiting | RequestState::Running(_) => self.latency.run_time(
                job.urgency,
                job.prompt_tokens,
                job.max_output_tokens,
                step_time,
            ),
        }
    }

    /// The estimated seconds of stream time that a request still takes.
    fn cost(&self, ticket: Ticket) -> f64 {
        self.remaining_time(&self.requests[ticket]).as_secs_f64()
    }

    /// Estimates the step time from all running and waiting requests: while `n` streams
    /// produce a response of mean length, they and their successors prefill `n` prompts.
    fn estimate_step_time(&self) -> Duration {
        let (mut prompt_tokens, mut output_tokens) = (0.0, 0.0);
        for request in self.requests.values() {
            prompt_tokens += f64::from(request.job.prompt_tokens);
            output_tokens += self
                .latency
                .expected_length(request.job.urgency, request.job.max_output_tokens);
        }
        let streams = self.requests.len().min(self.capacity().streams) as f64;
        let prefilled_per_step = if output_tokens > 0.0 {
            streams * prompt_tokens / output_tokens
        } else {
            0.0
        };
        self.latency.step_time(prefilled_per_step)
    }

    fn capacity(&self) -> Capacity {
        let streams = self.limits.max_streams.max(1) as usize;
        let urgent_reserve = (streams as f64 * self.policy.urgent_reserve) as usize;
        Capacity {
            streams,
            urgent_reserve: urgent_reserve.min(streams - 1),
            cache_tokens: self.limits.max_cache_tokens,
        }
    }
}

/// The bytes that a waiting request occupies, without the text of its names.
pub fn bytes_per_request() -> usize {
    size_of::<TrackedRequest>() + size_of::<Ticket>()
}
