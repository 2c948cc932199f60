//! How far a server's recent answers can be trusted.
//!
//! Load pattern: a server fails part of its requests or all of them while the
//! registry still lists it as ready; it crashed, is cut off, or answers errors.
//! Without this module it answers fastest, looks idle and draws the traffic of the
//! whole pool. A failure raises a penalty that decays with time, so that a server
//! is asked again little by little; one that can't be connected to is left alone
//! for a pause that doubles.

use std::time::{Duration, Instant};

/// The first pause after a failed connection.
///
/// A server that crashed is back after some seconds; the pause only has to keep
/// the requests of one burst away from it.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after failed connections.
///
/// A second bounds how long a server that is back stays unused.
const LAST_PAUSE: Duration = Duration::from_secs(1);

/// The time in which a penalty halves.
///
/// Two seconds let a server that fails half of its requests keep about a tenth of
/// its share, and one that has recovered be back at half of it after four.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a failed connection counts as news.
const UNREACHABLE: Duration = Duration::from_millis(1500);

/// The greatest penalty.
const LIMIT: f64 = 8.0;

/// How far a server's recent answers can be trusted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Recent failures, as of `at`; decays.
    penalty: f64,
    at: Option<Instant>,
    /// Failed connections in a row.
    refused: u32,
    /// Until when the server is left alone.
    blocked: Option<Instant>,
    /// When a connection failed last.
    refused_at: Option<Instant>,
}

impl Health {
    /// Takes note of an answer.
    pub fn record_success(&mut self, now: Instant) {
        self.refused = 0;
        self.blocked = None;
        self.penalty = self.penalty(now) * 0.9;
        self.at = Some(now);
    }

    /// Takes note of an answer that failed or broke off.
    pub fn record_failure(&mut self, now: Instant) {
        self.penalty = (self.penalty(now) + 1.0).min(LIMIT);
        self.at = Some(now);
    }

    /// Takes note of a connection that could not be opened.
    pub fn record_connection_failure(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * (1 << self.refused.min(4));
        self.refused += 1;
        self.refused_at = Some(now);
        self.blocked = Some(now + pause.min(LAST_PAUSE));
    }

    /// Whether the server may be sent to.
    pub fn allows_requests(&self, now: Instant) -> bool {
        self.blocked.is_none_or(|until| now >= until)
    }

    /// Whether connections failed lately and none was answered since.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) < UNREACHABLE;
        self.refused > 0 && self.refused_at.is_some_and(lately)
    }

    /// The number of recent failures.
    pub fn penalty(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.penalty * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
