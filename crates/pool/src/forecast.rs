//! Estimates when the prompts queued for a runner start.
//!
//! Load pattern: for some seconds, more prompts arrive than the runners of a model can
//! start. A prompt that is already late is ranked behind all that can still be in time, new
//! arrivals included, so that it may wait until its caller disconnects. Without a forecast it
//! is refused only then, too late for its caller to try again.
//!
//! Three estimates are combined:
//!
//! 1. a simulation of the runner's slots and KV cache, which running requests leave one
//!    after another; it reacts at once to a burst of arrivals,
//! 2. the time that the engine takes to prefill the prompts ahead,
//! 3. the recent rate at which prompts of the same rank were started while such prompts
//!    waited; only this shows that a rank is passed over.
//!
//! A late answer still has value to its caller, and a refusal while there is capacity costs
//! more than a late refusal. Where the estimates are uncertain they are therefore on the
//! short side.
//!
//! With late binding, a prompt waits in the queues of several runners, and most of those
//! ahead of it start elsewhere. They count by the share of recent prompts that started here.

use std::time::{Duration, Instant};

use chestnut_admit::forecast::{Capacity, Demand, Reservation, estimate_starts};
use indexmap::IndexMap;

use crate::prefill_queue::Ticket;
use crate::usage::Usage;

/// Time constant of the decaying start rates.
///
/// Bursts of load last for some seconds, and a caller of a short stream waits for two to
/// four. With less, single starts decide.
const RATE_DECAY: Duration = Duration::from_secs(2);

/// The longest time between two observations that counts as waited.
///
/// A queue is checked four times a second while anything waits. In longer gaps the runner
/// accepted no requests, so that the time says nothing about its rate.
const MAX_OBSERVED: Duration = Duration::from_millis(500);

/// The number of starts that an expected interval between starts counts for.
const PRIOR_STARTS: f64 = 1.0;

/// The number of starts that the expected share of prompts started here counts for.
const PRIOR_SHARE_STARTS: f64 = 4.0;

/// The smallest share of prompts that are expected to start here; a request waits in at most
/// three queues.
const MIN_STARTED_SHARE: f64 = 1.0 / 3.0;

/// The smallest fraction of the mean service time that forecasts assume.
///
/// Most requests that start without a wait say little on how fast slots become free.
const MIN_SERVICE_FRACTION: f64 = 0.5;

/// How much shorter the wait may be than expected: a prompt counts as hopeless only if
/// it would start too late even then.
const WAIT_MARGIN: f64 = 0.8;

/// What the order of a prefill queue depends on besides the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the first event would miss its target if the prompt were sent now.
    pub late: bool,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// Starts within the time in which prompts waited, both decaying.
#[derive(Debug, Clone, Copy, Default)]
struct StartRate {
    starts: f64,
    waited_s: f64,
}

impl StartRate {
    /// Seconds between two starts; `expected` is what is assumed without observations.
    fn interval(&self, expected: f64) -> f64 {
        (self.waited_s + PRIOR_STARTS * expected) / (self.starts + PRIOR_STARTS)
    }
}

/// The recent rates at which prompts of each rank were started at a runner.
#[derive(Debug, Default)]
pub struct StartRates {
    ranks: IndexMap<Rank, StartRate>,
    /// All ranks together.
    total: StartRate,
    /// Decaying number of prompts that were started here.
    started: f64,
    /// Decaying number of prompts that were withdrawn because another runner started them.
    withdrawn: f64,
    /// The ranks of prompts that were ready and waited at `observed_at`.
    waiting: Vec<Rank>,
    observed_at: Option<Instant>,
}

impl StartRates {
    /// Records which ranks have prompts that are ready and wait.
    pub fn observe(&mut self, waiting: impl Iterator<Item = Rank>, now: Instant) {
        let passed = self.observed_at.map(|at| now.saturating_duration_since(at));
        let passed = passed.unwrap_or_default();
        let decay = (-passed.as_secs_f64() / RATE_DECAY.as_secs_f64()).exp();
        let waited_s = passed.min(MAX_OBSERVED).as_secs_f64();
        for (rank, rate) in &mut self.ranks {
            let waited_s = if self.waiting.contains(rank) { waited_s } else { 0.0 };
            rate.starts *= decay;
            rate.waited_s = rate.waited_s * decay + waited_s;
        }
        let any_waited_s = if self.waiting.is_empty() { 0.0 } else { waited_s };
        self.total.starts *= decay;
        self.total.waited_s = self.total.waited_s * decay + any_waited_s;
        self.started *= decay;
        self.withdrawn *= decay;
        self.observed_at = Some(now);
        self.waiting.clear();
        for rank in waiting {
            if !self.waiting.contains(&rank) {
                self.waiting.push(rank);
                self.ranks.entry(rank).or_default();
            }
        }
    }

    /// Records that a prompt was started here.
    pub fn record_start(&mut self, rank: Rank) {
        self.ranks.entry(rank).or_default().starts += 1.0;
        self.total.starts += 1.0;
        self.started += 1.0;
    }

    /// Records that a queued prompt was withdrawn, probably because it started elsewhere.
    ///
    /// Those behind it advance as if it had been started here.
    pub fn record_withdrawal(&mut self, rank: Rank) {
        self.ranks.entry(rank).or_default().starts += 1.0;
        self.withdrawn += 1.0;
    }

    /// Counts a prompt that was started as withdrawn.
    pub fn undo_start(&mut self) {
        self.started = (self.started - 1.0).max(0.0);
        self.withdrawn += 1.0;
        self.total.starts = (self.total.starts - 1.0).max(0.0);
    }

    /// The share of prompts leaving the queue that were started here; 1 if none was
    /// withdrawn.
    pub fn started_share(&self) -> f64 {
        let started = self.started + PRIOR_SHARE_STARTS;
        (started / (started + self.withdrawn)).max(MIN_STARTED_SHARE)
    }

    /// The time between prompts of a rank that leave the queue, in seconds; `expected` is
    /// what is assumed without observations.
    fn interval(&self, rank: Rank, expected: f64) -> f64 {
        self.ranks.get(&rank).copied().unwrap_or_default().interval(expected)
    }
}

/// The load of a runner, and what it can take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerLoad {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Usable tokens of its KV cache.
    pub kv_tokens: u64,
    /// What it runs.
    pub usage: Usage,
    /// The mean time that a request takes.
    pub service_time: Duration,
}

/// A prompt that waits in a prefill queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingPrompt {
    /// Identifies it in its queue.
    pub ticket: Ticket,
    /// Its present rank.
    pub rank: Rank,
    /// Estimated time that the engine takes to prefill it.
    pub prefill_time: Duration,
    /// KV cache tokens that it needs, including its output.
    pub kv_tokens: u64,
    /// From when on its first event would miss its target, so that its rank is late.
    pub late_at: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// A prompt that is not expected to start before its caller stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopelessPrompt {
    /// Identifies it in its queue.
    pub ticket: Ticket,
    /// The expected wait until it would start.
    pub wait: Duration,
}

/// Finds the prompts that are not expected to start before their callers stop waiting.
///
/// `waiting` is in the order of the queue, and `engine_free_at` is when the engine has
/// prefilled what was sent to it. A hopeless prompt delays none of those behind it, since it
/// is refused. A prompt that is expected to become late waits as the late ones do: under a
/// lasting overload it is passed over from then on, which its caller can be told at once.
pub fn hopeless_prompts(
    load: &RunnerLoad,
    rates: &StartRates,
    waiting: &[WaitingPrompt],
    engine_free_at: Instant,
    now: Instant,
) -> Vec<HopelessPrompt> {
    let slots = f64::from(load.slots.max(1));
    let service_s = observed_service_s(load, rates, slots);
    let (slot_s, share) = (service_s / slots, rates.started_share());
    let starts = simulated_starts(load, waiting, service_s, now);
    let mut prefill = engine_free_at.saturating_duration_since(now);
    let mut ahead: IndexMap<Rank, u32> = IndexMap::new();
    // Prompts that are expected to become late, behind those of their rank that are.
    let mut becoming_late: IndexMap<Rank, u32> = IndexMap::new();
    let mut hopeless = Vec::new();
    for (prompt, start) in waiting.iter().zip(starts) {
        let skipped_s = hopeless.len() as f64 * slot_s;
        let slot_wait = start.saturating_duration_since(now).as_secs_f64() - skipped_s;
        let capacity_wait = slot_wait.max(prefill.as_secs_f64()).max(0.0) * share;
        let until_late = prompt.late_at.saturating_duration_since(now).as_secs_f64();
        let becomes_late = !prompt.rank.late && capacity_wait * WAIT_MARGIN > until_late;
        let rank = Rank { late: prompt.rank.late || becomes_late, ..prompt.rank };
        let before = match becomes_late {
            true => {
                let late = waiting.iter().filter(|other| other.rank == rank).count();
                late as u32 + becoming_late.get(&rank).copied().unwrap_or_default()
            }
            false => ahead.get(&rank).copied().unwrap_or_default(),
        };
        let position = before + 1;
        let interval = capacity_wait / f64::from(position);
        let rank_wait = f64::from(position) * rates.interval(rank, interval);
        let wait = capacity_wait.max(rank_wait);
        let left = prompt.deadline.saturating_duration_since(now);
        if wait * WAIT_MARGIN > left.as_secs_f64() {
            let wait = Duration::from_secs_f64(wait);
            hopeless.push(HopelessPrompt { ticket: prompt.ticket, wait });
            continue;
        }
        let counted = if becomes_late { &mut becoming_late } else { &mut ahead };
        *counted.entry(rank).or_default() += 1;
        prefill += prompt.prefill_time;
    }
    hopeless
}

/// The time that a request takes, in seconds: the mean, or less if slots became free faster
/// lately.
fn observed_service_s(load: &RunnerLoad, rates: &StartRates, slots: f64) -> f64 {
    let mean_s = load.service_time.as_secs_f64().max(0.001);
    let observed_s = rates.total.interval(mean_s / slots) * slots;
    observed_s.clamp(mean_s * MIN_SERVICE_FRACTION, mean_s)
}

/// When each waiting prompt gets a slot and room in the KV cache.
///
/// The ends of running requests are unknown; they are spread evenly over one service time.
fn simulated_starts(
    load: &RunnerLoad,
    waiting: &[WaitingPrompt],
    service_s: f64,
    now: Instant,
) -> Vec<Instant> {
    let capacity = Capacity {
        streams: load.slots as usize,
        urgent_reserve: 0,
        cache_tokens: load.kv_tokens,
    };
    let count = load.usage.requests;
    let service_time = Duration::from_secs_f64(service_s);
    let running = (1..=count).map(|index| Reservation {
        end: now + service_time.mul_f64(f64::from(index) / f64::from(count)),
        cache_tokens: load.usage.kv_tokens / u64::from(count),
    });
    let demands = waiting.iter().map(|prompt| Demand {
        run_time: service_time,
        cache_tokens: prompt.kv_tokens,
        urgent: true,
    });
    estimate_starts(capacity, now, running, demands)
}
