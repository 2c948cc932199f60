//! Divides a runner between client accounts, and between urgent and latency-tolerant
//! requests.
//!
//! Load pattern: hints and notes that are due within 500 ms share runners with drafts that
//! may wait for 3 s and run for 3 to 4 s each. When drafts arrive at five times their rate
//! while a quarter of the runners are lost, drafts hold the slots, and most notes are
//! refused during the seconds that the drafts take to end. When one account sends six times
//! its usual load, its requests fill the queues of all accounts with the same priority.
//!
//! Latency-tolerant requests therefore start only in slots that urgent ones are not expected
//! to need, by the rate at which these were started and the time that requests run. If
//! urgent requests wait nevertheless, the holder asks for latency-tolerant streams to be
//! stopped. Among requests of the same urgency, those of accounts above their share wait
//! for the others.
//!
//! A holder knows from daemons only totals of what runs. It counts latency-tolerant requests
//! by its own admissions and their expected ends; a total below that corrects the count.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_admit::UsageTracker;
use chestnut_admit::shedding::SHARE_TOLERANCE;
use chestnut_base::{CallerName, MemberId, TeamName};
use indexmap::{IndexMap, IndexSet};

use crate::prefill_queue::{QueuedPrompt, Ticket};

/// Time constant of the decaying load by urgent starts.
///
/// A runner starts some six urgent requests per second, so that the estimate is based on
/// about 18 of them. It has to follow a loss of runners within a few seconds.
const URGENT_LOAD_DECAY: Duration = Duration::from_secs(3);

/// The standard deviations of the number of urgent requests that are added to its mean for
/// bursts.
///
/// With 1, 39 of 48 urgent prompts start in time where 12 arrive at once each second beside
/// a burst of latency-tolerant ones; with 1.5, all 48 (`tests/sharing.rs`).
const BURST_DEVIATIONS: f64 = 1.5;

/// The fraction of the slots that latency-tolerant requests may always hold, so that each of
/// them still ends by its deadline; at least one slot.
const PATIENT_FLOOR: f64 = 0.05;

/// How long after an admission the total usage may not include the request yet.
///
/// The verdict and the usage report of the sending daemon each take some milliseconds.
const USAGE_DELAY: Duration = Duration::from_millis(250);

/// The most admitted requests that are tracked; a multiple of any runner's slots.
const MAX_ADMITTED: usize = 1024;

/// The least time between two requests to stop streams at one runner.
///
/// A stream that is stopped frees its slot within some 20 ms, and the prompts that take the
/// slots are prefilled one after another.
const STOP_INTERVAL: Duration = Duration::from_millis(300);

/// How long after a request to stop a stream its daemon may be asked again for the same one;
/// the request may have been lost.
const STOP_REPEAT: Duration = Duration::from_secs(1);

/// The load of a runner, as far as it determines how the runner is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerOccupancy {
    /// Requests that the runner processes at the same time.
    pub slots: u32,
    /// Requests in flight, from all daemons.
    pub requests: u32,
    /// Mean time that requests spend at a runner.
    pub service_time: Duration,
}

/// How a runner is divided at one moment; the default has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharingLimits {
    /// Further latency-tolerant requests that may start.
    pub patient_slots: u32,
    /// Whether latency-tolerant requests hold fewer slots than they may always hold.
    pub below_floor: bool,
    /// The accounts with queued requests that are above their share.
    over_share: Vec<String>,
}

impl Default for SharingLimits {
    fn default() -> Self {
        Self { patient_slots: u32::MAX, below_floor: false, over_share: Vec::new() }
    }
}

impl SharingLimits {
    /// Whether a prompt may start now.
    pub fn allows(&self, prompt: &QueuedPrompt) -> bool {
        !prompt.class.patient || self.patient_slots > 0
    }

    /// Splits prompts, in the order of the queue, into those that may start as slots become
    /// free, and those beyond the cap on latency-tolerant requests.
    pub fn split_capped<'a>(
        &self,
        prompts: &[&'a QueuedPrompt],
    ) -> (Vec<&'a QueuedPrompt>, Vec<&'a QueuedPrompt>) {
        let mut patient_slots = self.patient_slots;
        prompts.iter().partition(|prompt| {
            if !prompt.class.patient {
                return true;
            }
            let may_start = patient_slots > 0;
            patient_slots = patient_slots.saturating_sub(1);
            may_start
        })
    }

    /// Whether a prompt goes before others of its target, whatever its urgency and even if
    /// it is late.
    ///
    /// Otherwise a latency-tolerant prompt would never start at a runner where urgent
    /// prompts always wait.
    pub fn is_below_floor(&self, prompt: &QueuedPrompt) -> bool {
        prompt.class.patient && self.below_floor
    }

    /// Whether the account of a prompt is above its share.
    pub fn is_over_share(&self, prompt: &QueuedPrompt) -> bool {
        let account = prompt.class.account.as_ref();
        account.is_some_and(|account| self.over_share.contains(account))
    }
}

/// A request that was admitted.
#[derive(Debug, Clone)]
struct AdmittedRequest {
    ticket: Ticket,
    /// The daemon that sends it.
    from: MemberId,
    urgency: u8,
    account: Option<String>,
    patient: bool,
    /// Seconds of stream time that were charged for it.
    cost: f64,
    admitted_at: Instant,
    expected_end: Instant,
    /// Whether it has had its first event.
    has_started: bool,
    /// When its daemon was last asked to stop it. It does not count as running for
    /// [`STOP_REPEAT`], in which its daemon would have stopped it.
    asked_at: Option<Instant>,
}

/// How one runner was divided recently.
#[derive(Debug, Default)]
pub struct RunnerSharing {
    /// Stream time by account; `None` before the first request of an account.
    usage: Option<UsageTracker>,
    /// Admitted requests before their expected ends, oldest first.
    admitted: VecDeque<AdmittedRequest>,
    /// Decaying rate of urgent starts times their expected stream time, in slots, as of
    /// `last_urgent_at`.
    urgent_load: f64,
    last_urgent_at: Option<Instant>,
    /// When daemons were last asked to stop streams.
    last_asked_at: Option<Instant>,
}

impl RunnerSharing {
    /// Records that a daemon sends a prompt, which is expected to run for `stream_time`.
    ///
    /// The estimate is based on up to twice the output that the caller expects. An urgent
    /// prompt counts with no more than the mean service time, which drafts make longer, so
    /// that no slots are kept idle for it; a latency-tolerant one with no less.
    pub fn record_admitted(
        &mut self,
        from: MemberId,
        prompt: &QueuedPrompt,
        stream_time: Duration,
        service_time: Duration,
        now: Instant,
    ) {
        self.admitted.retain(|admitted| now < admitted.expected_end);
        if self.admitted.len() >= MAX_ADMITTED {
            self.admitted.pop_front();
        }
        let expected_time = match prompt.class.patient {
            true => stream_time.max(service_time),
            false => stream_time.min(service_time),
        };
        if !prompt.class.patient {
            let load = expected_time.div_duration_f64(URGENT_LOAD_DECAY);
            self.urgent_load = self.urgent_load(now) + load;
            self.last_urgent_at = Some(now);
        }
        let cost = stream_time.as_secs_f64();
        if let Some(account) = &prompt.class.account {
            self.charge(account, prompt.class.patient, cost, now);
        }
        self.admitted.push_back(AdmittedRequest {
            ticket: prompt.ticket,
            from,
            urgency: prompt.urgency,
            account: prompt.class.account.clone(),
            patient: prompt.class.patient,
            cost,
            admitted_at: now,
            expected_end: now + expected_time,
            has_started: false,
            asked_at: None,
        });
    }

    /// Records the first event of an admitted prompt; only then may its stream be stopped.
    pub fn record_first_event(&mut self, ticket: Ticket) {
        let mut admitted = self.admitted.iter_mut();
        if let Some(request) = admitted.find(|request| request.ticket == ticket) {
            request.has_started = true;
        }
    }

    /// How many latency-tolerant streams each daemon is to stop, so that prompts of these
    /// urgencies can start.
    ///
    /// Of less urgent streams those that would run longest are chosen; the others free their
    /// slots soon.
    pub fn streams_to_stop(
        &mut self,
        blocked: &[u8],
        now: Instant,
    ) -> IndexMap<MemberId, u32> {
        let mut by_daemon = IndexMap::new();
        let is_recent = |at: Option<Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        if is_recent(self.last_asked_at, STOP_INTERVAL) {
            return by_daemon;
        }
        for urgency in blocked {
            let candidates = self.admitted.iter_mut().filter(|request| {
                request.patient
                    && request.has_started
                    && request.urgency > *urgency
                    && now < request.expected_end
                    && !is_recent(request.asked_at, STOP_REPEAT)
            });
            let longest = candidates
                .max_by_key(|request| (request.asked_at.is_none(), request.expected_end));
            let Some(request) = longest else { break };
            request.asked_at = Some(now);
            self.last_asked_at = Some(now);
            *by_daemon.entry(request.from).or_default() += 1;
        }
        by_daemon
    }

    /// Undoes the record of a prompt that was admitted and is not sent.
    pub fn record_withdrawn(&mut self, ticket: Ticket, now: Instant) {
        let Some(index) =
            self.admitted.iter().position(|admitted| admitted.ticket == ticket)
        else {
            return;
        };
        let Some(withdrawn) = self.admitted.remove(index) else { return };
        if let Some(account) = &withdrawn.account {
            self.charge(account, withdrawn.patient, -withdrawn.cost, now);
        }
        if !withdrawn.patient {
            let time = withdrawn.expected_end - withdrawn.admitted_at;
            let load = time.div_duration_f64(URGENT_LOAD_DECAY);
            let load = load * urgent_load_decay(withdrawn.admitted_at, now);
            self.urgent_load = (self.urgent_load(now) - load).max(0.0);
            self.last_urgent_at = Some(now);
        }
    }

    /// How the runner is divided now between the requests of `accounts` and others.
    pub fn limits<'a>(
        &self,
        accounts: impl Iterator<Item = &'a str>,
        load: RunnerOccupancy,
        now: Instant,
    ) -> SharingLimits {
        let accounts: IndexSet<&str> = accounts.collect();
        let over_share = accounts
            .into_iter()
            .filter(|account| self.share_ratio(account) > SHARE_TOLERANCE);
        let held = self.patient_requests(load, now);
        let floor = ((f64::from(load.slots) * PATIENT_FLOOR) as u32).max(1);
        let cap = load.slots.saturating_sub(self.urgent_slots(now)).max(floor);
        SharingLimits {
            patient_slots: cap.saturating_sub(held),
            below_floor: held < floor,
            over_share: over_share.map(str::to_owned).collect(),
        }
    }

    /// The recent use of the runner by an account relative to its share; 1 is fair, and 0
    /// for an account without recent use.
    pub fn share_ratio(&self, account: &str) -> f64 {
        let Some((usage, (caller, team))) = self.usage.as_ref().zip(tracked(account))
        else {
            return 0.0;
        };
        usage.share_ratio(&caller, &team)
    }

    /// Latency-tolerant requests that run now, as far as known.
    pub fn patient_requests(&self, load: RunnerOccupancy, now: Instant) -> u32 {
        // A daemon declines without a message, for lack of retries or because the stream was
        // stopped before. Without those streams, others would start beyond the cap.
        let is_declined = |at: Instant| now.saturating_duration_since(at) >= STOP_REPEAT;
        let running = self
            .admitted
            .iter()
            .filter(|admitted| admitted.patient && now < admitted.expected_end)
            .filter(|admitted| admitted.asked_at.is_none_or(is_declined));
        let is_recent = |admitted: &&AdmittedRequest| {
            now.saturating_duration_since(admitted.admitted_at) < USAGE_DELAY
        };
        let (recent, reported): (Vec<_>, Vec<_>) = running.partition(is_recent);
        recent.len() as u32 + (reported.len() as u32).min(load.requests)
    }

    /// The mean number of slots that urgent requests need, by their recent starts.
    pub fn urgent_load(&self, now: Instant) -> f64 {
        let decay = self.last_urgent_at.map_or(1.0, |at| urgent_load_decay(at, now));
        self.urgent_load * decay
    }

    /// The slots that urgent requests are expected to need.
    ///
    /// Arrivals are independent, so that the standard deviation of the number of running
    /// requests is the root of its mean.
    fn urgent_slots(&self, now: Instant) -> u32 {
        let mean = self.urgent_load(now);
        (mean + BURST_DEVIATIONS * mean.sqrt()) as u32
    }

    fn charge(&mut self, account: &str, patient: bool, cost: f64, now: Instant) {
        let Some((caller, team)) = tracked(account) else { return };
        let usage = self.usage.get_or_insert_with(|| UsageTracker::new(now));
        usage.prune(now);
        usage.charge(&caller, &team, 1, patient, cost, now);
    }
}

/// What is left at `now` of the load by an urgent request that was started at `at`.
fn urgent_load_decay(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.div_duration_f64(URGENT_LOAD_DECAY)).exp()
}

/// The names under which the use of an account is tracked. Accounts have no teams; each
/// counts as its own.
fn tracked(account: &str) -> Option<(CallerName, TeamName)> {
    let caller = CallerName::try_from(account.to_owned()).ok()?;
    let team = TeamName::try_from(account.to_owned()).ok()?;
    Some((caller, team))
}
