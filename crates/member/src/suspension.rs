//! What a daemon may do after it has stood still.
//!
//! # Load pattern
//!
//! A hypervisor stops a VM for seconds, a process is stopped, or a VM loses its links to
//! the store and the other daemons but not to its runners. Others take its claims over
//! meanwhile. Beats that waited in the socket look new when it goes on; of a VM that
//! stood still even the monotonic clock counts nothing, so that nothing looks old.
//!
//! # Decision
//!
//! The daemon looks at its clocks some times a second. If they show a gap, all news is
//! old for [`SETTLING_TIME`], and the claims are read again before the next order. Where
//! runners do not check fences, an order is given only if the claims were confirmed
//! within [`MAX_CONFIRMATION_AGE`]: whoever took the runner over waits for longer than that.

use std::time::{Duration, Instant};

/// The longest time between two looks at the clocks in a daemon that goes on.
///
/// It looks four times a second; a VM with a seventh of its processor is late by half
/// a second.
const STALL: Duration = Duration::from_millis(1000);

/// The least gap between the clocks that counts.
///
/// Clocks are read one after the other; thread switches between stay below this.
const LEAST: Duration = Duration::from_millis(100);

/// How long after a gap other daemons' news may be from before it.
///
/// What waited in the socket is read within some milliseconds; a busy VM takes longer.
pub const SETTLING_TIME: Duration = Duration::from_millis(500);

/// How old the store's word on the claims may be for an order that no fence stops.
///
/// A claim is taken over 1.5 s after the last beat at the earliest, and its new holder
/// waits for a turn of some seconds then.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2000);

/// Whether the daemon has stood still lately.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// The last look: when it was, and how long the VM had stood still since its start.
    seen: Option<(Instant, Duration)>,
    /// Until when news may be from before the last gap.
    until: Option<Instant>,
}

impl SuspensionDetector {
    /// Looks at the clocks; returns the gap if the daemon has stood still since last time.
    pub fn check(&mut self, still: Duration, now: Instant) -> Option<Duration> {
        let (then, before) = self.seen.replace((now, still))?;
        let suspended = still.checked_sub(before).filter(|gap| *gap >= LEAST);
        let stalled =
            Some(now.saturating_duration_since(then)).filter(|gap| *gap > STALL);
        let gap = suspended.max(stalled)?;
        self.until = Some(now + SETTLING_TIME);
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
pub fn may_send_order(fenced: bool, age: Option<Duration>) -> bool {
    match age {
        None => false,
        Some(age) => fenced || age < MAX_CONFIRMATION_AGE,
    }
}
