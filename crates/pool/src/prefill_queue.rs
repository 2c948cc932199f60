//! Decides when a runner gets its next prompt.
//!
//! Load pattern: bursts of prompts of very different length at a runner with twenty
//! running streams. An engine runs in steps, each of which generates one token of every
//! stream. Between steps it prefills waiting prompts, several at a time, and each prefill
//! delays the next event of all streams. If prompts are sent as they arrive, three long
//! ones at once make every stream on the runner late, though the runner has spare time a
//! moment later. The queue therefore sends prompts one after another, at the engine's
//! prefill rate, and leaves a gap after long ones.
//!
//! When prompts arrive faster than the engine can prefill them, those that can still meet
//! their target go first, by urgency; a prompt that is already late loses little more by
//! waiting. A stream that only a daemon which is about to exit can continue goes before all.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::class::RequestClass;
use crate::forecast::{Rank, RunnerLoad, StartRates, WaitingPrompt, hopeless_prompts};
use crate::sharing::SharingLimits;

/// Part of the event gap limit that stays unused, to absorb estimation errors.
///
/// Prefill times are accurate to a tenth, and a prompt arrives anywhere within a step; for
/// a gap limit of 250 to 300 ms over three steps this amounts to 30 ms and 10 ms. With
/// 15 ms an eighth of all streams exceed the limit under full load, with 45 ms a twelfth;
/// with 80 ms long prompts wait without benefit.
const GAP_MARGIN: Duration = Duration::from_millis(45);

/// How long after an early refusal the prompts that arrive are expected to wait as long.
///
/// Two forecasts take [`FORECAST_INTERVAL`]; while the overload lasts, each such time ends
/// with another refusal.
const OVERLOAD_TTL: Duration = Duration::from_millis(200);

/// Limit on the gap between events where none is declared.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_millis(250);

/// How long a sent prompt is tracked if its first event does not arrive.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between two forecasts for the queued prompts.
pub const FORECAST_INTERVAL: Duration = Duration::from_millis(100);

/// Consecutive forecasts by which a prompt starts too late before it is refused.
///
/// A single one may see a burst that other runners relieve within a few milliseconds.
const FORECASTS_TO_REFUSE: u32 = 2;

/// The least time left to the deadline at which a withdrawn prompt counts as started at
/// another runner; with less, its caller has probably left.
const MIN_TIME_ELSEWHERE: Duration = Duration::from_millis(300);

/// Time constant of the decaying rate of long prompts.
const LONG_RATE_DECAY: Duration = Duration::from_secs(5);

/// Identifies a prompt in a prefill queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// A prompt that waits to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedPrompt {
    /// Unique within the queue.
    pub ticket: Ticket,
    /// Estimated time that the engine takes to prefill it.
    pub prefill_time: Duration,
    /// KV cache tokens that the request needs, including its output.
    pub kv_tokens: u64,
    /// 0 is the most urgent and goes first.
    pub urgency: u8,
    /// Time by which the first event has to arrive to be on time.
    pub target: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// What distinguishes it from others of the same urgency.
    pub class: RequestClass,
    /// Time at which its adapter is loaded; `None` while that is unknown.
    pub adapter_ready_at: Option<Instant>,
}

/// Free capacity of a runner, and its timing limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerCapacity {
    /// Further requests that it accepts.
    pub requests: u32,
    /// Free tokens in the KV cache.
    pub kv_tokens: u64,
    /// Longest gap between events for which its streams count as on time; `None` if none is
    /// declared.
    pub max_event_gap: Option<Duration>,
    /// Duration of a step without prefill.
    pub step_time: Duration,
    /// Steps between two events of a stream.
    pub steps_per_event: u32,
}

/// Work that is served before a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Number of queued requests.
    pub requests: u32,
    /// KV cache tokens that these requests need.
    pub kv_tokens: u64,
    /// Prefill time of these requests and of the prompts that were already sent.
    pub prefill_time: Duration,
}

impl Backlog {
    /// A part of the backlog; unchanged if `share` is 1.
    fn scaled(self, share: f64) -> Self {
        if share >= 1.0 {
            return self;
        }
        Self {
            requests: (f64::from(self.requests) * share).ceil() as u32,
            kv_tokens: (self.kv_tokens as f64 * share) as u64,
            prefill_time: self.prefill_time.mul_f64(share),
        }
    }
}

/// What to do next with a prefill queue.
#[derive(Debug, Clone, PartialEq)]
pub enum PrefillAction {
    /// Send this prompt now.
    Send(QueuedPrompt),
    /// Drop this prompt; its deadline has passed.
    Expired(QueuedPrompt),
    /// Refuse this prompt: it is expected to start only after this time, when its deadline
    /// has passed.
    Refuse(QueuedPrompt, Duration),
    /// Nothing can be sent before this time.
    WaitUntil(Instant),
    /// Nothing can be sent until the queue or the runner changes.
    Idle,
}

/// Prompts queued for one runner, and a model of its engine's prefill progress.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    queued: Vec<QueuedPrompt>,
    /// The last prompts that were sent, at most as many as one event has steps.
    recent: VecDeque<RecentPrefill>,
    /// Prompts that were sent and have no first event yet, oldest first.
    unanswered: VecDeque<UnansweredPrompt>,
    /// End of the last prefill that was confirmed by a first event.
    confirmed_until: Option<Instant>,
    /// Last known duration of a step without prefill.
    step_time: Duration,
    /// Longest prefill that keeps the event gap within its limit; `None` until the runner's
    /// limits are known.
    max_prefill: Option<Duration>,
    /// Decaying rate of prompts that exceed `max_prefill`, per second, as of
    /// `last_long_sent_at`.
    long_rate: f64,
    /// When the last prompt that exceeds `max_prefill` was sent.
    last_long_sent_at: Option<Instant>,
    /// How fast prompts of each rank were started lately.
    start_rates: StartRates,
    /// Queued prompts that may be refused early, each with the number of consecutive
    /// forecasts by which it starts too late and the wait by the last of them.
    refusable: IndexMap<Ticket, (u32, Duration)>,
    /// When the last forecast was made.
    forecast_at: Option<Instant>,
    /// The last early refusal of a prompt whose account is within its share.
    last_refusal: Option<EarlyRefusal>,
}

/// A prompt that was refused because it was not expected to start in time.
#[derive(Debug, Clone, Copy)]
struct EarlyRefusal {
    urgency: u8,
    /// The wait that was expected for it.
    wait: Duration,
    refused_at: Instant,
}

/// A prompt that was sent and has no first event yet.
#[derive(Debug, Clone, Copy)]
struct UnansweredPrompt {
    ticket: Ticket,
    prefill_time: Duration,
    sent_at: Instant,
}

/// A prompt that was sent and may share an event gap with the next one.
#[derive(Debug, Clone, Copy)]
struct RecentPrefill {
    ticket: Ticket,
    prefill_time: Duration,
    /// Estimated end of its prefill.
    end: Instant,
    /// Steps without prefill between the previous prompt and this one.
    idle_steps: u32,
}

impl PrefillQueue {
    /// Adds a prompt.
    pub fn push(&mut self, prompt: QueuedPrompt) {
        self.queued.push(prompt);
    }

    /// Removes a prompt; returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.queued.len();
        self.refusable.swap_remove(&ticket);
        self.queued.retain(|prompt| prompt.ticket != ticket);
        self.queued.len() < before
    }

    /// Removes a prompt that its daemon no longer wants to send, because another runner
    /// has admitted it or its caller has left; returns whether it was queued.
    pub fn withdraw(&mut self, ticket: Ticket, now: Instant) -> bool {
        let mut queued = self.queued.iter();
        if let Some(prompt) = queued.find(|prompt| prompt.ticket == ticket)
            && prompt.deadline.saturating_duration_since(now) >= MIN_TIME_ELSEWHERE
        {
            self.start_rates.record_withdrawal(rank(prompt, now));
        }
        self.remove(ticket)
    }

    /// Undoes what was recorded when a prompt was sent, since its daemon did not use the
    /// admission.
    pub fn withdraw_sent(&mut self, ticket: Ticket, now: Instant) {
        self.unanswered.retain(|sent| sent.ticket != ticket);
        self.start_rates.undo_start();
        let Some(index) = self.recent.iter().position(|sent| sent.ticket == ticket)
        else {
            return;
        };
        let Some(withdrawn) = self.recent.remove(index) else { return };
        if let Some(next) = self.recent.get_mut(index) {
            // The engine took steps without prefill meanwhile.
            next.idle_steps =
                next.idle_steps.saturating_add(withdrawn.idle_steps).saturating_add(1);
        }
        if self.exceeds_event_gap(withdrawn.prefill_time) {
            let rate = self.long_prompt_rate(now) - 1.0 / LONG_RATE_DECAY.as_secs_f64();
            self.long_rate = rate.max(0.0);
            self.last_long_sent_at = Some(now);
        }
    }

    /// Allows a queued prompt to be refused early.
    pub fn allow_refusal(&mut self, ticket: Ticket) {
        self.refusable.insert(ticket, (0, Duration::ZERO));
    }

    /// Removes and returns a prompt that is not expected to start before its deadline.
    ///
    /// Accounts above their share are behind others in `limits`, so that their prompts are
    /// refused first. Call it again until it returns `None`.
    pub fn refuse_hopeless(
        &mut self,
        load: &RunnerLoad,
        limits: &SharingLimits,
        now: Instant,
    ) -> Option<PrefillAction> {
        let is_due = |at: Instant| now >= at + FORECAST_INTERVAL;
        if self.forecast_at.is_none_or(is_due) {
            self.forecast_at = Some(now);
            self.update_forecasts(load, limits, now);
        }
        let is_refused =
            |(forecasts, _): &(u32, Duration)| *forecasts >= FORECASTS_TO_REFUSE;
        let (ticket, wait) = self
            .refusable
            .iter()
            .find(|(_, state)| is_refused(state))
            .map(|(ticket, (_, wait))| (*ticket, *wait))?;
        self.refusable.swap_remove(&ticket);
        let index = self.queued.iter().position(|prompt| prompt.ticket == ticket)?;
        let refused = self.queued.swap_remove(index);
        if !limits.is_over_share(&refused) {
            let urgency = refused.urgency;
            self.last_refusal = Some(EarlyRefusal { urgency, wait, refused_at: now });
        }
        Some(PrefillAction::Refuse(refused, wait))
    }

    /// The wait that is expected for a prompt that arrives now, if one that goes before it
    /// was refused just now; zero otherwise.
    ///
    /// Its caller can be told at once what two forecasts have shown for the other one.
    pub fn overload_wait(&self, urgency: u8, now: Instant) -> Duration {
        let applies = |refusal: &EarlyRefusal| {
            refusal.urgency <= urgency
                && now.saturating_duration_since(refusal.refused_at) < OVERLOAD_TTL
        };
        self.last_refusal.filter(applies).map_or(Duration::ZERO, |refusal| refusal.wait)
    }

    fn update_forecasts(
        &mut self,
        load: &RunnerLoad,
        limits: &SharingLimits,
        now: Instant,
    ) {
        let mut ready: Vec<&QueuedPrompt> =
            self.queued.iter().filter(|prompt| is_ready(prompt, now)).collect();
        ready.sort_by_key(|prompt| order(prompt, limits, now));
        let engine_free_at = self.recent.back().map_or(now, |sent| sent.end);
        let hopeless_among = |prompts: &[&QueuedPrompt]| {
            let waiting = |prompt: &&QueuedPrompt| WaitingPrompt {
                ticket: prompt.ticket,
                rank: rank(prompt, now),
                prefill_time: prompt.prefill_time,
                kv_tokens: prompt.kv_tokens,
                late_at: prompt
                    .target
                    .checked_sub(prompt.prefill_time)
                    .unwrap_or(prompt.target),
                deadline: prompt.deadline,
            };
            let waiting: Vec<WaitingPrompt> = prompts.iter().map(waiting).collect();
            hopeless_prompts(load, &self.start_rates, &waiting, engine_free_at, now)
        };
        let mut hopeless = hopeless_among(&ready);
        // Prompts that the cap holds back delay none of the others.
        let (startable, capped) = limits.split_capped(&ready);
        if !capped.is_empty() {
            hopeless.retain(|found| capped.iter().any(|p| p.ticket == found.ticket));
            hopeless.extend(hopeless_among(&startable));
        }
        for (ticket, (forecasts, wait)) in &mut self.refusable {
            match hopeless.iter().find(|hopeless| hopeless.ticket == *ticket) {
                Some(hopeless) => (*forecasts, *wait) = (*forecasts + 1, hopeless.wait),
                None => *forecasts = 0,
            }
        }
    }

    /// The share of queued prompts that are expected to start here; 1 unless daemons
    /// withdrew prompts that started at other runners.
    pub fn started_share(&self) -> f64 {
        self.start_rates.started_share()
    }

    /// Records when a prompt's adapter is loaded.
    pub fn set_adapter_ready(&mut self, ticket: Ticket, at: Instant) {
        let mut queued = self.queued.iter_mut();
        if let Some(prompt) = queued.find(|prompt| prompt.ticket == ticket) {
            prompt.adapter_ready_at = Some(at);
        }
    }

    /// Number of queued prompts.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no prompt is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The work that would be served before a prompt that arrives now.
    ///
    /// A prompt that is already `late` waits for all queued prompts.
    pub fn backlog_ahead(&self, urgency: u8, late: bool, now: Instant) -> Backlog {
        let last = self.recent.back();
        let in_progress = last.map(|sent| sent.end.saturating_duration_since(now));
        let goes_first = |prompt: &&QueuedPrompt| {
            late || prompt.urgency <= urgency && !is_late(prompt, now)
        };
        let mut ahead = Backlog {
            prefill_time: in_progress.unwrap_or_default(),
            ..Backlog::default()
        };
        let mut queued = Backlog::default();
        for prompt in self.queued.iter().filter(goes_first) {
            queued.requests += 1;
            queued.kv_tokens += prompt.kv_tokens;
            queued.prefill_time += prompt.prefill_time;
        }
        let queued = queued.scaled(self.started_share());
        ahead.requests += queued.requests;
        ahead.kv_tokens += queued.kv_tokens;
        ahead.prefill_time += queued.prefill_time;
        ahead
    }

    /// Whether this prefill alone makes the event gap of running streams too long.
    pub fn exceeds_event_gap(&self, prefill_time: Duration) -> bool {
        self.max_prefill.is_some_and(|limit| prefill_time > limit)
    }

    /// Recent rate of prompts for which [`Self::exceeds_event_gap`] holds, per second.
    pub fn long_prompt_rate(&self, now: Instant) -> f64 {
        let age = self.last_long_sent_at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        self.long_rate * (-age / LONG_RATE_DECAY.as_secs_f64()).exp()
    }

    /// The client accounts of the queued prompts, in no order and with repetitions.
    pub fn accounts(&self) -> impl Iterator<Item = &str> {
        self.queued.iter().filter_map(|prompt| prompt.class.account.as_deref())
    }

    /// The urgencies of prompts that miss their targets only because they wait for a slot,
    /// in the order of the queue.
    ///
    /// A slot becomes free every `slot_interval`. A prompt for which a stream is stopped
    /// takes none of these.
    pub fn blocked_by_slots(
        &self,
        limits: &SharingLimits,
        slot_interval: Duration,
        now: Instant,
    ) -> Vec<u8> {
        let can_start = |prompt: &&QueuedPrompt| {
            let is_ready = prompt.adapter_ready_at.is_some_and(|at| at <= now);
            is_ready && !prompt.class.patient && !is_late(prompt, now)
        };
        let mut waiting: Vec<_> = self.queued.iter().filter(can_start).collect();
        waiting.sort_by_key(|prompt| order(prompt, limits, now));
        let last = self.recent.back();
        let mut prefilled_at = last.map_or(now, |sent| sent.end.max(now));
        let (mut slot_at, mut blocked) = (now, Vec::new());
        for prompt in waiting {
            prefilled_at += prompt.prefill_time;
            let next_slot_at = slot_at + slot_interval;
            let misses_target = next_slot_at + prompt.prefill_time > prompt.target;
            if misses_target && prefilled_at <= prompt.target {
                blocked.push(prompt.urgency);
            } else {
                slot_at = next_slot_at;
            }
        }
        // Other runners, in whose queues the prompts wait as well, ask for their part.
        let count = blocked.len() as f64 * self.started_share();
        blocked.truncate(count.ceil() as usize);
        blocked
    }

    /// Decides what to do now, given the runner's free capacity.
    pub fn next_action(
        &mut self,
        capacity: RunnerCapacity,
        now: Instant,
    ) -> PrefillAction {
        self.next_shared_action(capacity, &SharingLimits::default(), now)
    }

    /// Like [`Self::next_action`], for a runner that is divided between requests.
    pub fn next_shared_action(
        &mut self,
        capacity: RunnerCapacity,
        limits: &SharingLimits,
        now: Instant,
    ) -> PrefillAction {
        self.step_time = capacity.step_time;
        let event_time = capacity.step_time * capacity.steps_per_event;
        self.max_prefill = Some(
            capacity
                .max_event_gap
                .unwrap_or(DEFAULT_MAX_EVENT_GAP)
                .saturating_sub(event_time),
        );
        let ready = self.queued.iter().filter(|prompt| is_ready(prompt, now));
        self.start_rates.observe(ready.map(|prompt| rank(prompt, now)), now);
        if let Some(index) = self.queued.iter().position(|prompt| now >= prompt.deadline)
        {
            let expired = self.queued.swap_remove(index);
            self.refusable.swap_remove(&expired.ticket);
            return PrefillAction::Expired(expired);
        }
        let Some(index) = self.best(capacity, limits, now) else {
            return self.idle_until(now);
        };
        if let Some(start) =
            self.earliest_start(self.queued[index].prefill_time, capacity, now)
            && start > now
        {
            return PrefillAction::WaitUntil(start);
        }
        let prompt = self.queued.swap_remove(index);
        self.record_sent(&prompt, capacity.steps_per_event, now);
        PrefillAction::Send(prompt)
    }

    /// Records that a prompt had its first event `after` it was sent, `overhead` of which
    /// was not prefill. Returns whether the engine was idle when the prompt was sent.
    ///
    /// Corrects the estimate of the engine's progress: prompts that were sent after this
    /// one are prefilled after it. Only the time of a prompt that found the engine idle
    /// is a sample of its prefill rate.
    pub fn record_first_event(
        &mut self,
        ticket: Ticket,
        after: Duration,
        overhead: Duration,
    ) -> bool {
        let Some(index) = self.unanswered.iter().position(|sent| sent.ticket == ticket)
        else {
            return false;
        };
        let answered = self.unanswered[index];
        self.unanswered.drain(..=index);
        let was_idle =
            index == 0 && self.confirmed_until.is_none_or(|end| end <= answered.sent_at);
        let prefill = after.saturating_sub(overhead);
        self.confirmed_until = self.confirmed_until.max(Some(answered.sent_at + prefill));
        let Some(last) = self.recent.back_mut() else { return was_idle };
        let mut end = answered.sent_at + prefill.max(answered.prefill_time);
        for sent in &self.unanswered {
            end = end.max(sent.sent_at) + sent.prefill_time + self.step_time;
        }
        last.end = end;
        was_idle
    }

    fn record_sent(&mut self, prompt: &QueuedPrompt, steps_per_event: u32, now: Instant) {
        let prefill_time = prompt.prefill_time;
        self.refusable.swap_remove(&prompt.ticket);
        self.start_rates.record_start(rank(prompt, now));
        let timed_out = |sent: &UnansweredPrompt| {
            now.saturating_duration_since(sent.sent_at) > FIRST_EVENT_TIMEOUT
        };
        while self.unanswered.front().is_some_and(timed_out) {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(UnansweredPrompt {
            ticket: prompt.ticket,
            prefill_time,
            sent_at: now,
        });
        if self.exceeds_event_gap(prefill_time) {
            self.long_rate =
                self.long_prompt_rate(now) + 1.0 / LONG_RATE_DECAY.as_secs_f64();
            self.last_long_sent_at = Some(now);
        }
        let idle_steps = self.idle_steps(now);
        self.recent.push_back(RecentPrefill {
            ticket: prompt.ticket,
            prefill_time,
            end: now + prefill_time + self.step_time,
            idle_steps,
        });
        while self.recent.len() > steps_per_event.max(1) as usize {
            self.recent.pop_front();
        }
    }

    /// Steps since the last prefill ended.
    fn idle_steps(&self, now: Instant) -> u32 {
        let last = self.recent.back();
        let idle = last.map(|sent| now.saturating_duration_since(sent.end));
        let step = self.step_time.max(Duration::from_micros(1));
        idle.map_or(0, |idle| idle.div_duration_f64(step) as u32)
    }

    /// Index of the prompt to send first among those that the runner can take.
    fn best(
        &self,
        capacity: RunnerCapacity,
        limits: &SharingLimits,
        now: Instant,
    ) -> Option<usize> {
        let fits = |prompt: &QueuedPrompt| {
            capacity.requests > 0 && prompt.kv_tokens <= capacity.kv_tokens
        };
        let ready =
            |prompt: &QueuedPrompt| prompt.adapter_ready_at.is_some_and(|at| at <= now);
        let eligible = |(_, prompt): &(usize, &QueuedPrompt)| {
            ready(prompt) && fits(prompt) && limits.allows(prompt)
        };
        let eligible = self.queued.iter().enumerate().filter(eligible);
        let best = eligible.min_by_key(|(_, prompt)| order(prompt, limits, now));
        best.map(|(index, _)| index)
    }

    /// Earliest time at which a prompt with this prefill time may be sent; `None` if no
    /// prompt was sent before.
    ///
    /// All prefills within the steps of one event have to fit into the event gap limit,
    /// so recent prompts count as long as one event can span their steps and the new
    /// prompt's. If they exceed the limit together, enough steps without prefill are left
    /// in between to move the oldest of them out of the event.
    fn earliest_start(
        &self,
        prefill_time: Duration,
        capacity: RunnerCapacity,
        now: Instant,
    ) -> Option<Instant> {
        let last = self.recent.back()?;
        let max_gap = capacity.max_event_gap.unwrap_or(DEFAULT_MAX_EVENT_GAP);
        let limit = max_gap
            .saturating_sub(capacity.step_time * capacity.steps_per_event + GAP_MARGIN);
        let (mut steps_back, mut total) = (self.idle_steps(now), prefill_time);
        for sent in self.recent.iter().rev() {
            // An event that ends with the new prompt's step began at most this many steps
            // before it.
            let span = capacity.steps_per_event.saturating_sub(1);
            if steps_back >= span {
                break;
            }
            total += sent.prefill_time;
            if total > limit {
                return Some(last.end + capacity.step_time * (span - steps_back));
            }
            steps_back = steps_back.saturating_add(1).saturating_add(sent.idle_steps);
        }
        Some(last.end)
    }

    /// The next time at which an adapter becomes ready or a deadline passes.
    fn idle_until(&self, now: Instant) -> PrefillAction {
        let ready = self.queued.iter().filter_map(|prompt| prompt.adapter_ready_at);
        let deadlines = self.queued.iter().map(|prompt| prompt.deadline);
        let times = ready.filter(|at| *at > now).chain(deadlines);
        times.min().map_or(PrefillAction::Idle, PrefillAction::WaitUntil)
    }
}

/// Whether a prompt can be sent as far as its adapter is concerned.
fn is_ready(prompt: &QueuedPrompt, now: Instant) -> bool {
    prompt.adapter_ready_at.is_some_and(|at| at <= now)
}

fn rank(prompt: &QueuedPrompt, now: Instant) -> Rank {
    Rank { late: is_late(prompt, now), urgency: prompt.urgency }
}

/// The order in which prompts are sent; the least goes first.
fn order(
    prompt: &QueuedPrompt,
    limits: &SharingLimits,
    now: Instant,
) -> (bool, Rank, bool, Instant) {
    let first = Rank { late: false, urgency: 0 };
    let rank = if limits.is_below_floor(prompt) { first } else { rank(prompt, now) };
    (!prompt.class.must_continue, rank, limits.is_over_share(prompt), prompt.target)
}

/// Whether a prompt's first event would miss its target if it were sent now.
fn is_late(prompt: &QueuedPrompt, now: Instant) -> bool {
    now + prompt.prefill_time > prompt.target
}
