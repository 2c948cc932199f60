//! How often daemons call a store that does not answer.
//!
//! Load pattern: the store is down for eight seconds under 78 daemons that follow three
//! tables each. Called twice a second by all of them it gets 470 calls a second, each of
//! which is paid for and none of which brings anything; when it is back, one answer serves
//! all, since daemons tell each other. A few therefore call it often, the others seldom.

use std::time::{Duration, Instant};

/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// The longest pause of the daemons that call often.
///
/// The others hear of the store's return within a second after them; machines count as
/// being in touch three seconds after it.
const OFTEN: Duration = Duration::from_millis(500);

/// How many daemons call often.
///
/// Some of them may be turned away alone, frozen or gone.
const CALLERS: u32 = 4;

/// The longest pause of all.
///
/// Daemons that call that seldom hear of the store's return from others. One that is cut
/// off from the others does not, but it is the first of those it knows and calls often.
const SELDOM: Duration = Duration::from_secs(30);

/// When the store may be called again.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Calls that failed in a row.
    failures: u32,
    /// When the last one did.
    at: Option<Instant>,
}

impl Backoff {
    /// Takes in that a call failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.at = Some(now);
    }

    /// Takes in that a call was answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether the store may be called; `rank` is the daemon's present place among those
    /// that call.
    ///
    /// A daemon that is cut off from the others comes first by that, and must not sit out
    /// a pause that counted on them: its copy would be old while the store can be read.
    pub fn may_call(&self, rank: usize, now: Instant) -> bool {
        self.at.is_none_or(|at| now >= at + self.pause(rank))
    }

    /// The pause after the last failed call.
    fn pause(&self, rank: usize) -> Duration {
        let place = u32::try_from(rank).unwrap_or(u32::MAX) / CALLERS;
        if place == 0 {
            let doublings = self.failures.saturating_sub(1);
            return FIRST_PAUSE.saturating_mul(2u32.saturating_pow(doublings)).min(OFTEN);
        }
        // Growing by the square, all pauses together make some 13 calls a second of any
        // number of daemons, beside those that the longest pause makes.
        OFTEN.saturating_mul(place.saturating_add(1).saturating_pow(2)).min(SELDOM)
    }
}
