//! Ejection of failing backend servers (a circuit breaker per server).
//!
//! Load pattern: a backend server responds with errors at once, so it looks idle and
//! every entry sends it all requests. After [`FAILURE_THRESHOLD`] consecutive failures it
//! gets no requests for a time that doubles from [`MIN_EJECTION`] to [`MAX_EJECTION`],
//! then a share of the requests that grows over [`RAMP_UP`], so that a server that lost
//! its cache is not flooded. A slow server does not fail: its measured step time makes
//! the estimate-based policy send it less.

use std::time::{Duration, Instant};

/// Consecutive failures after which a server is ejected.
pub const FAILURE_THRESHOLD: u32 = 2;

/// The length of the first ejection.
pub const MIN_EJECTION: Duration = Duration::from_millis(500);

/// The length at which ejections stop doubling.
pub const MAX_EJECTION: Duration = Duration::from_secs(20);

/// The time after an ejection over which a server's share of requests grows to normal.
pub const RAMP_UP: Duration = Duration::from_secs(5);

/// The health of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the server was last fully readmitted.
    ejections: u32,
    /// The end of the ejection; `None` once the server is fully readmitted.
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records a failure of the server itself.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            let factor = 1 << self.ejections.min(10);
            self.ejected_until = Some(now + (MIN_EJECTION * factor).min(MAX_EJECTION));
            self.ejections += 1;
            // One more failure ejects the server again.
            self.failures = FAILURE_THRESHOLD - 1;
        }
    }

    /// Records a response.
    pub fn record_response(&mut self, now: Instant) {
        self.failures = 0;
        if self.traffic_share(now) >= 1.0 {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    /// The fraction of its normal requests that the server may get.
    ///
    /// It is 0 during an ejection, grows from 0.05 to 1 over [`RAMP_UP`] after it, and is
    /// 1 otherwise.
    pub fn traffic_share(&self, now: Instant) -> f64 {
        let Some(until) = self.ejected_until else { return 1.0 };
        let Some(elapsed) = now.checked_duration_since(until) else { return 0.0 };
        (elapsed.as_secs_f64() / RAMP_UP.as_secs_f64()).clamp(0.05, 1.0)
    }
}
