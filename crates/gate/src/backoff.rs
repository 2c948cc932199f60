//! Backoff of a daemon's calls to a store that fails.
//!
//! It bounds the number of calls, which are billed even if they fail. In an outage of eight
//! seconds, 78 daemons that sync three tables each would make 470 calls a second if each
//! made two calls a second per table. Once the store has recovered, one response suffices,
//! since daemons announce changes to each other. So a few daemons call often and the others
//! rarely.

use std::time::{Duration, Instant};

/// The delay after the first failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(60);

/// The longest delay of the daemons that call often.
///
/// The others learn of the store's recovery within another second. VMs count as connected
/// again three seconds after the recovery.
const MAX_FREQUENT_DELAY: Duration = Duration::from_millis(500);

/// How many daemons call often.
///
/// More than one, since the store may reject single daemons, and daemons may be suspended
/// or have failed.
const FREQUENT_CALLERS: u32 = 4;

/// The longest delay of any daemon.
///
/// A daemon with this delay learns of the store's recovery from others. A daemon that is
/// partitioned from the others has rank 0 among those that it can reach, and calls often.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// How long a daemon waits for changes after others have announced that the store responds.
///
/// Three heartbeats, within which a change reaches every daemon that the others know.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Decides when the store may be called again.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Consecutive failed calls.
    failures: u32,
    failed_at: Option<Instant>,
    /// When others first announced that the store had responded since the last failed call.
    recovery_known_at: Option<Instant>,
}

impl Backoff {
    /// Extends the delay after a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
        self.recovery_known_at = None;
    }

    /// Records that the store responded to another daemon at `responded_at`.
    pub fn record_recovery(&mut self, responded_at: Instant, now: Instant) {
        if self.failed_at.is_some_and(|failed_at| responded_at > failed_at) {
            self.recovery_known_at.get_or_insert(now);
        }
    }

    /// Ends the delay after a successful call.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether the store may be called; `rank` is the daemon's current position among those
    /// that call, from 0.
    ///
    /// A daemon that gets partitioned from the others moves to rank 0. It must not wait out
    /// a delay that relied on them: its replica would be stale while the store is readable.
    /// So would that of a daemon to which the others pass nothing on, though the store
    /// responds to them.
    pub fn may_call(&self, rank: usize, now: Instant) -> bool {
        let is_left_out =
            self.recovery_known_at.is_some_and(|at| now >= at + RELAY_TIMEOUT);
        let rank = if is_left_out { 0 } else { rank };
        self.failed_at.is_none_or(|failed_at| now >= failed_at + self.delay(rank))
    }

    fn delay(&self, rank: usize) -> Duration {
        let group = u32::try_from(rank).unwrap_or(u32::MAX) / FREQUENT_CALLERS;
        if group == 0 {
            let doublings = self.failures.saturating_sub(1);
            return INITIAL_DELAY
                .saturating_mul(2u32.saturating_pow(doublings))
                .min(MAX_FREQUENT_DELAY);
        }
        // Since the delay grows with the square of the group, any number of daemons makes
        // some 13 calls a second in all, besides those at the longest delay.
        MAX_FREQUENT_DELAY
            .saturating_mul(group.saturating_add(1).saturating_pow(2))
            .min(MAX_DELAY)
    }
}
