//! Spaces the requests that are sent to a server which announced a limit.
//!
//! Load pattern: a server in need takes two requests a second where it took eight. It has
//! few requests in flight, so that whatever prefers the least loaded server would send it
//! more than the others. Its limit holds for all daemons together; each would keep to it by
//! itself and their sum exceed it. So one daemon, which decides on all requests to the
//! server, spaces them evenly, and counts the wait as the server's.
//!
//! A daemon that takes over doesn't know what the one before has sent, and starts without
//! credit.

use std::time::{Duration, Instant};

use chestnut_edge::RequestRate;

/// The lowest rate, in requests a second.
///
/// The end of a limit is noticed by a response without one. A server that takes none at all
/// is therefore tried now and then.
const MIN_RATE: f64 = 0.1;

/// Spaces the requests to one server.
#[derive(Debug, Clone, Copy)]
pub struct RequestPacer {
    rate: RequestRate,
    /// When the last request was sent; the start of the pacer before that.
    sent_at: Instant,
}

impl RequestPacer {
    /// Starts without credit.
    pub fn new(rate: RequestRate, now: Instant) -> Self {
        Self { rate, sent_at: now }
    }

    /// Starts with a part of the time passed after which the next request may be sent;
    /// `phase` is between 0 and 1.
    pub fn with_phase(rate: RequestRate, phase: f64, now: Instant) -> Self {
        let mut pacer = Self::new(rate, now);
        let passed = pacer.interval().mul_f64(phase.clamp(0.0, 1.0));
        pacer.sent_at = now.checked_sub(passed).unwrap_or(now);
        pacer
    }

    /// Changes the rate; it applies from the last request on.
    pub fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
    }

    /// When the next request may be sent.
    pub fn ready_at(&self) -> Instant {
        self.sent_at + self.interval()
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self, now: Instant) -> bool {
        now >= self.ready_at()
    }

    /// How long a request waits that is sent after `ahead` others.
    pub fn wait(&self, ahead: u32, now: Instant) -> Duration {
        self.ready_at().saturating_duration_since(now) + self.interval() * ahead
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent_at = now;
    }

    /// Undoes [`Self::record_sent`] for a request that is not sent after all, unless another
    /// one was sent since.
    pub fn undo_sent(&mut self, sent_at: Instant) {
        if self.sent_at == sent_at {
            self.sent_at = sent_at.checked_sub(self.interval()).unwrap_or(sent_at);
        }
    }

    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate.per_second().max(MIN_RATE))
    }
}

/// Starts, changes or ends a pacer by the limit of its server.
pub fn update(
    pacer: &mut Option<RequestPacer>,
    limit: Option<RequestRate>,
    now: Instant,
) {
    match (pacer.as_mut(), limit) {
        (Some(pacer), Some(rate)) => pacer.set_rate(rate),
        (None, Some(rate)) => *pacer = Some(RequestPacer::new(rate, now)),
        (_, None) => *pacer = None,
    }
}
