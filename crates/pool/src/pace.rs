//! Bounds the requests in flight at a server that has just started or recovered.
//!
//! Load pattern: a server restarts while others of its service are full. It has nothing in
//! flight, so that every daemon's next requests go there. A server that is still warming up
//! gets as many requests as it has slots before the first of them is answered; all of them
//! are late, and some servers reject them or fail again. A fixed ramp avoids that, but holds
//! back a server that is ready at once for as long as one that is not.
//!
//! The bound starts small, and each first event in the expected time adds one, so that it
//! doubles with each round of requests. It is halved when first events take several times as
//! long as expected, or when requests fail. Once it reaches the server's slots it ends. With
//! first events after 100 to 200 ms, a server of 32 slots reaches them after four rounds,
//! less than a second.
//!
//! A server that is slow even with one request at a time is not overloaded; its first events
//! are then compared with what it shows by itself, so that it isn't held back for good.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::queue::RequestKey;

/// The bound of a server that has just started or recovered.
///
/// With one, a single slow request would leave the server idle.
const INITIAL_LIMIT: f64 = 2.0;

/// Up to how many times its expected time a first event raises the bound by one.
///
/// Later ones, until [`LATE_RATIO`], raise it by one in each round, so that a server which is
/// always a little slow isn't bounded for good.
///
/// Expected times are accurate to a tenth at an idle engine; a prompt that arrives during the
/// prefill of another takes up to twice as long.
const GOOD_RATIO: f64 = 2.0;

/// Beyond how many times its expected time a first event lowers the bound.
///
/// Service times of plain requests vary: about one in fifty takes four times the mean.
const LATE_RATIO: f64 = 4.0;

/// How much slower than expected a server may be by itself.
///
/// Callers wait for four objectives at most; at a server that is slower, several requests at a
/// time would all come too late.
const MAX_SLOWNESS: f64 = 4.0;

/// The shortest expected time of a first event.
///
/// Daemons with a tenth of a core and full links delay a message by some tens of
/// milliseconds.
const MIN_EXPECTED: Duration = Duration::from_millis(50);

/// Failures without an answer in between after which a server counts as failing.
///
/// Where every seventh request fails whatever server runs it, and a server handles sixty a
/// second, this happens by chance once in five minutes.
const FAILURE_RUN: u32 = 5;

/// The shortest time after which a request without a first event counts as failed.
///
/// The report of its first event may be lost, or its caller may have left.
const MIN_FAILED_AFTER: Duration = Duration::from_secs(1);

/// The longest time between two checks for overdue first events of a daemon that runs.
///
/// Holders check four times a second. After a longer pause, the holder itself was suspended, and
/// reports of first events from that time have not been read yet.
const MAX_CHECK_GAP: Duration = Duration::from_secs(1);

/// Time of a first event that is assumed before any has come.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Weight of one first event in the moving average of their times.
const ANSWER_WEIGHT: f64 = 0.2;

/// A change of a server's bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceChange {
    /// The server is bounded from now on, since its requests fail or it was ejected.
    Started,
    /// The bound was halved.
    Reduced,
    /// The bound has ended.
    Ended,
}

/// How a request that was sent to a server ended without a first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentEnd {
    /// The server failed or rejected it.
    Failed,
    /// It says nothing about the server: it was not sent, or its caller left.
    Unknown,
}

/// The bound on the requests in flight at one server, and what it is derived from.
#[derive(Debug, Default)]
pub struct ServerPace {
    /// `None` while the server takes as many requests as it has slots.
    bound: Option<Bound>,
    /// Requests that were sent and have no first event yet.
    waiting: IndexMap<RequestKey, SentRequest>,
    /// Failures since the last first event.
    failures: u32,
    /// Moving average of the times of first events.
    answer_time: Option<Duration>,
    /// Whether the server was ejected when that was last checked.
    is_ejected: bool,
    /// When overdue first events were last checked for.
    checked_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Bound {
    /// Requests in flight; at least 1, and used without its fraction.
    limit: f64,
    /// When it was last set other than by a first event; what was sent before shows nothing
    /// about it.
    set_at: Instant,
    /// How many times as long as expected the server takes for a single request; between 1 and
    /// [`MAX_SLOWNESS`].
    slowness: f64,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    at: Instant,
    /// How long its first event is expected to take; at least [`MIN_EXPECTED`].
    expected: Duration,
}

impl SentRequest {
    /// A time in relation to the expected one.
    fn ratio(self, time: Duration) -> f64 {
        time.div_duration_f64(self.expected)
    }

    /// After which time it counts as failed.
    fn failed_after(self) -> Duration {
        self.expected.mul_f64(LATE_RATIO * MAX_SLOWNESS).max(MIN_FAILED_AFTER)
    }
}

impl ServerPace {
    /// Bounds a server that has just started; forgets what is known of its last incarnation.
    pub fn start(&mut self, now: Instant) {
        *self = Self { is_ejected: self.is_ejected, ..Self::default() };
        self.bound = Some(Bound::new(now));
    }

    /// The largest number of requests in flight; `None` while the server is not bounded.
    pub fn limit(&self) -> Option<u32> {
        self.bound.map(|bound| bound.limit as u32)
    }

    /// Time of a first event, as recently measured.
    pub fn answer_time(&self) -> Duration {
        self.answer_time.unwrap_or(INITIAL_ANSWER_TIME)
    }

    /// Further requests that the server gets while `in_flight` are in flight; `None` while it
    /// is not bounded.
    ///
    /// If none waits for its first event, the server gets one whatever is in flight: its first
    /// event shows how the server fares, and without it the bound would never end.
    pub fn free_requests(&self, in_flight: u32) -> Option<u32> {
        let free = self.limit()?.saturating_sub(in_flight.max(self.waiting.len() as u32));
        Some(if self.waiting.is_empty() { free.max(1) } else { free })
    }

    /// How long the bound holds up a request that is sent after `ahead` others, including
    /// those in flight.
    pub fn wait(&self, ahead: u32) -> Duration {
        let Some(bound) = self.bound else { return Duration::ZERO };
        let rounds = (f64::from(ahead + 1) / bound.limit.floor()).log2();
        self.answer_time().mul_f64(rounds.max(0.0))
    }

    /// Records that a request is sent whose first event is expected after `expected`.
    pub fn record_sent(&mut self, key: RequestKey, expected: Duration, now: Instant) {
        let expected = expected.max(MIN_EXPECTED);
        self.waiting.insert(key, SentRequest { at: now, expected });
    }

    /// Records the first event of a request `after` it was sent to the server, which has
    /// `slots`.
    pub fn record_answer(
        &mut self,
        key: RequestKey,
        after: Duration,
        slots: u32,
        now: Instant,
    ) -> Option<PaceChange> {
        // Also the late report of a request that has counted as failed shows an answer.
        self.failures = 0;
        let sent = self.waiting.swap_remove(&key)?;
        // A wrong report must not hold up bids for long.
        let sample = after.min(sent.failed_after());
        let average = self.answer_time.unwrap_or(sample);
        self.answer_time =
            Some(average.mul_f64(1.0 - ANSWER_WEIGHT) + sample.mul_f64(ANSWER_WEIGHT));
        let bound = self.bound.as_mut().filter(|bound| sent.at >= bound.set_at)?;
        let ratio = sent.ratio(after);
        if ratio > LATE_RATIO * bound.slowness {
            bound.reduce(ratio, now);
            return Some(PaceChange::Reduced);
        }
        bound.slowness = bound.slowness.min(ratio.max(1.0));
        let is_good = ratio <= GOOD_RATIO * bound.slowness;
        bound.limit += if is_good { 1.0 } else { 1.0 / bound.limit };
        if bound.limit < f64::from(slots) {
            return None;
        }
        self.bound = None;
        Some(PaceChange::Ended)
    }

    /// Forgets a request that was not sent after all.
    pub fn forget(&mut self, key: RequestKey) {
        self.waiting.swap_remove(&key);
    }

    /// Records that a request has ended without a first event.
    pub fn record_end(
        &mut self,
        key: RequestKey,
        end: SilentEnd,
        now: Instant,
    ) -> Option<PaceChange> {
        let sent = self.waiting.swap_remove(&key)?;
        match end {
            SilentEnd::Failed => self.record_failure(sent, now),
            SilentEnd::Unknown => None,
        }
    }

    /// Records whether the server is ejected because it can't be reached.
    pub fn update_ejected(
        &mut self,
        is_ejected: bool,
        now: Instant,
    ) -> Option<PaceChange> {
        let was_ejected = std::mem::replace(&mut self.is_ejected, is_ejected);
        let is_small = self.bound.is_some_and(|bound| bound.limit <= INITIAL_LIMIT);
        if !is_ejected || was_ejected || is_small {
            return None;
        }
        match self.bound.replace(Bound::new(now)) {
            Some(_) => Some(PaceChange::Reduced),
            None => Some(PaceChange::Started),
        }
    }

    /// Checks for requests whose first event is overdue.
    pub fn check_overdue(&mut self, now: Instant) -> Option<PaceChange> {
        self.discount_pause(now);
        let age = |sent: &SentRequest| now.saturating_duration_since(sent.at);
        let failed: Vec<SentRequest> = self
            .waiting
            .extract_if(.., |_, sent| age(sent) > sent.failed_after())
            .map(|(_, sent)| sent)
            .collect();
        let mut change = None;
        for sent in failed {
            change = self.record_failure(sent, now).or(change);
        }
        let Some(bound) = &mut self.bound else { return change };
        let overdue = self.waiting.values().filter(|sent| sent.at >= bound.set_at);
        let ratios = overdue.map(|sent| sent.ratio(age(sent)));
        let ratio = ratios.fold(0.0, f64::max);
        // At its lowest the bound follows measured times only.
        if ratio <= LATE_RATIO * bound.slowness || bound.is_lowest() {
            return change;
        }
        bound.reduce(ratio, now);
        Some(PaceChange::Reduced)
    }

    /// Discounts the time for which this daemon was suspended.
    fn discount_pause(&mut self, now: Instant) {
        let before = self.checked_at.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(before);
        if pause <= MAX_CHECK_GAP {
            return;
        }
        let discount = |at: &mut Instant| *at = (*at + pause).min(now);
        self.waiting.values_mut().for_each(|sent| discount(&mut sent.at));
        if let Some(bound) = &mut self.bound {
            discount(&mut bound.set_at);
        }
    }

    fn record_failure(&mut self, sent: SentRequest, now: Instant) -> Option<PaceChange> {
        self.failures = self.failures.saturating_add(1);
        match &mut self.bound {
            Some(bound) if sent.at >= bound.set_at && !bound.is_lowest() => {
                bound.halve(now);
                Some(PaceChange::Reduced)
            }
            Some(_) => None,
            None if self.failures < FAILURE_RUN => None,
            None => {
                self.bound = Some(Bound::new(now));
                Some(PaceChange::Started)
            }
        }
    }
}

impl Bound {
    fn new(now: Instant) -> Self {
        Self { limit: INITIAL_LIMIT, set_at: now, slowness: 1.0 }
    }

    /// Halves the bound for a first event that took `ratio` times as long as expected.
    ///
    /// A server that is this slow with one request at a time is slow by itself.
    fn reduce(&mut self, ratio: f64, now: Instant) {
        if self.is_lowest() {
            self.slowness = ratio.clamp(1.0, MAX_SLOWNESS);
        }
        self.halve(now);
    }

    fn halve(&mut self, now: Instant) {
        self.limit = (self.limit / 2.0).max(1.0);
        self.set_at = now;
    }

    /// Whether it allows one request at a time.
    fn is_lowest(&self) -> bool {
        self.limit < 2.0
    }
}
