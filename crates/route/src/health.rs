//! Which backend servers fail, and how they come back.
//!
//! Load pattern: a backend server answers errors at once and so looks idle;
//! every entry sends it everything. After [`FAILURES`] failures in a row it gets
//! nothing for a time that doubles from [`FIRST`] to [`LAST`]; then a part of the
//! requests that grows over [`RETURN`], so that a server that has lost its cache
//! is not flooded. A slow server fails nothing: its lead measures its steps and
//! the estimate sends it less.

use std::time::{Duration, Instant};

/// Failures in a row after which a server is left out.
pub const FAILURES: u32 = 2;

/// How long a server is left out the first time.
pub const FIRST: Duration = Duration::from_millis(500);

/// The longest time that a server is left out.
pub const LAST: Duration = Duration::from_secs(20);

/// The time over which a server comes back.
pub const RETURN: Duration = Duration::from_secs(5);

/// Whether a backend server may be used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// How often it was left out since it last came back whole.
    rounds: u32,
    /// When it may be tried again; present while it is left out or coming back.
    back: Option<Instant>,
}

impl Health {
    /// Notes a failure of the server itself.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            let factor = 1 << self.rounds.min(10);
            self.back = Some(now + (FIRST * factor).min(LAST));
            self.rounds += 1;
            self.failures = FAILURES - 1;
        }
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Instant) {
        self.failures = 0;
        if self.trust(now) >= 1.0 {
            self.back = None;
            self.rounds = 0;
        }
    }

    /// The part of the requests that the server may get, from 0 to 1.
    pub fn trust(&self, now: Instant) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let Some(since) = now.checked_duration_since(back) else { return 0.0 };
        (since.as_secs_f64() / RETURN.as_secs_f64()).clamp(0.05, 1.0)
    }
}
