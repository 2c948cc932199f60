//! What a daemon may do after its VM has stood still.
//!
//! # Load pattern
//!
//! A hypervisor stops a VM for seconds, or a VM loses its links to the store and the
//! other daemons but not to its runners. Others take its claims over meanwhile. The
//! monotonic clock does not count the time in which a VM stands still, so that nothing
//! looks old when it goes on, and beats that waited in the socket look new.
//!
//! # Decision
//!
//! The clock that goes on is compared with the one that does not. After a gap all news
//! is old for [`SETTLE`], and the claims are read again before the next order. Where
//! runners do not check fences, an order is given only if the claims were confirmed
//! within [`SURE`]: whoever took the runner over waits for longer than that.

use std::time::{Duration, Instant};

/// The least gap between the clocks that counts.
///
/// Clocks are read one after the other; thread switches between stay below this.
const LEAST: Duration = Duration::from_millis(100);

/// How long after a gap other daemons' news may be from before it.
///
/// What waited in the socket is read within some milliseconds; a busy VM takes longer.
pub const SETTLE: Duration = Duration::from_millis(500);

/// How old the store's word on the claims may be for an order that no fence stops.
///
/// A claim is taken over 1.5 s after the last beat at the earliest, and its new holder
/// waits for a turn of some seconds then.
pub const SURE: Duration = Duration::from_millis(2000);

/// Whether the VM has stood still lately.
#[derive(Debug, Default)]
pub struct Wake {
    /// The time that the VM has stood still since it was started, as last seen.
    still: Option<Duration>,
    /// Until when news may be from before the last gap.
    until: Option<Instant>,
}

impl Wake {
    /// Compares the clocks; returns the gap if the VM has stood still since last time.
    pub fn look(&mut self, still: Duration, now: Instant) -> Option<Duration> {
        let before = self.still.replace(still)?;
        let gap = still.checked_sub(before).filter(|gap| *gap >= LEAST)?;
        self.until = Some(now + SETTLE);
        Some(gap)
    }

    /// Whether news may be from before the last gap.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Whether a runner that this daemon holds may be given an order.
///
/// `age` is the age of the store's word on the claims, nothing if there is none since
/// the VM stood still.
pub fn may_order(fenced: bool, age: Option<Duration>) -> bool {
    match age {
        None => false,
        Some(age) => fenced || age < SURE,
    }
}
