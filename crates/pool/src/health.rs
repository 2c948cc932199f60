//! Tracks recent failures of a server.
//!
//! Load pattern: a server fails some or all of its requests while the registry still lists
//! it as ready; it crashed, is disconnected, or responds with errors. Without tracking, it
//! responds fastest, appears idle and attracts the traffic of the whole pool. A failure
//! raises a penalty that decays with time, so that the server gradually gets requests
//! again; after a failed connection it gets none until a backoff has passed, which doubles
//! with each further failed connection.

use std::time::{Duration, Instant};

/// Backoff after the first failed connection.
///
/// A crashed server restarts within seconds; the backoff only has to keep the requests
/// of one burst away from it.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after failed connections.
///
/// It bounds how long a server stays unused after it has recovered.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// Half-life of a penalty.
///
/// With two seconds, a server that fails half of its requests keeps about a tenth of its
/// share of the requests, and one that has recovered has half of its share again after
/// four.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(2);

/// How long a failed connection counts as recent.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1500);

/// Largest penalty, in recent failures.
const MAX_PENALTY: f64 = 8.0;

/// Recent failures of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Number of recent failures as of `updated_at`; decays.
    penalty: f64,
    updated_at: Option<Instant>,
    /// Failed connections in a row.
    failed_connections: u32,
    /// End of the backoff.
    backoff_until: Option<Instant>,
    /// When a connection failed last.
    last_connection_failure: Option<Instant>,
}

impl Health {
    /// Records a response without a failure.
    pub fn record_success(&mut self, now: Instant) {
        self.failed_connections = 0;
        self.backoff_until = None;
        self.penalty = self.penalty(now) * 0.9;
        self.updated_at = Some(now);
    }

    /// Records a response that was an error, broke off or did not come.
    pub fn record_failure(&mut self, now: Instant) {
        self.penalty = (self.penalty(now) + 1.0).min(MAX_PENALTY);
        self.updated_at = Some(now);
    }

    /// Records a connection that could not be opened.
    pub fn record_connection_failure(&mut self, now: Instant) {
        let backoff = MIN_CONNECT_BACKOFF * (1 << self.failed_connections.min(4));
        self.failed_connections += 1;
        self.last_connection_failure = Some(now);
        self.backoff_until = Some(now + backoff.min(MAX_CONNECT_BACKOFF));
    }

    /// Whether no backoff is in effect.
    pub fn allows_requests(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Whether a connection failed recently and no response has arrived since.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < UNREACHABLE_TIME;
        self.failed_connections > 0 && self.last_connection_failure.is_some_and(is_recent)
    }

    /// The number of recent failures, decayed.
    pub fn penalty(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.penalty * 0.5f64.powf(age / PENALTY_HALF_LIFE.as_secs_f64())
    }
}
