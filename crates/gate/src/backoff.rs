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
const SELDOM: Duration = Duration::from_secs(3);

/// When the store may be called again.
#[derive(Debug, Default)]
pub struct Backoff {
    pause: Option<Duration>,
    until: Option<Instant>,
}

impl Backoff {
    /// Takes in that a call failed; `rank` is the daemon's place among those that call.
    pub fn failed(&mut self, rank: usize, now: Instant) {
        let often = self.pause.map_or(FIRST_PAUSE, |pause| (pause * 2).min(OFTEN));
        let place = u32::try_from(rank).unwrap_or(u32::MAX) / CALLERS;
        let pause = match place {
            0 => often,
            _ => OFTEN.saturating_mul(place.saturating_add(1)).min(SELDOM),
        };
        self.pause = Some(pause);
        self.until = Some(now + pause);
    }

    /// Takes in that a call was answered.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Whether the store may be called.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }
}
