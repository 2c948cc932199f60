//! Limits on what a daemon may do after it was suspended.
//!
//! A hypervisor suspends a VM for seconds, a process is stopped, or a VM loses its
//! connections to the store and the other daemons but not to its runners. Meanwhile other
//! daemons take over its claims. After it resumes, heartbeats buffered in the socket
//! appear to be recent. While a VM is suspended even the monotonic clock does not
//! advance, so cached state does not appear to be old either.
//!
//! The daemon compares its clocks several times per second. If they show a gap, state
//! received from others counts as stale for [`SETTLING_TIME`], and the claims are read
//! again before the next order. To a runner that does not check fences, an order is sent
//! only if the store confirmed the claims within [`MAX_CONFIRMATION_AGE`]: a daemon that
//! takes over the runner waits for longer than that.

use std::time::{Duration, Instant};

/// The longest time between two checks in a daemon that was not suspended.
///
/// It checks four times per second; on a VM that gets a seventh of its CPU, a check is
/// late by half a second.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// The shortest suspension of the VM that is detected.
///
/// The clocks are read one after the other; thread switches in between take less.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// How long after a gap received messages may have been sent before it.
///
/// Messages buffered in the socket are read within some milliseconds; a busy VM takes
/// longer.
pub const SETTLING_TIME: Duration = Duration::from_millis(500);

/// The maximum age of the store's confirmation of the claims for an order to a runner
/// that does not check fences.
///
/// A claim is taken over 1.5 s after the last heartbeat at the earliest, and the new
/// holder then waits some seconds before its first order.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2000);

/// Detects from the clocks that the VM or the process was suspended.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// Time of the last check and the total suspension of the VM at that time.
    last_check: Option<(Instant, Duration)>,
    /// Until when received messages may have been sent before the last gap.
    settling_until: Option<Instant>,
}

impl SuspensionDetector {
    /// Compares the clocks and returns the gap if the daemon was suspended since the last
    /// check.
    ///
    /// `total_suspended` is how long the VM has been suspended since its start.
    pub fn check(&mut self, total_suspended: Duration, now: Instant) -> Option<Duration> {
        let (last, suspended_before) = self.last_check.replace((now, total_suspended))?;
        let suspended = total_suspended
            .checked_sub(suspended_before)
            .filter(|gap| *gap >= MIN_SUSPENSION);
        let stopped = Some(now.saturating_duration_since(last))
            .filter(|gap| *gap > MAX_CHECK_INTERVAL);
        let gap = suspended.max(stopped)?;
        self.settling_until = Some(now + SETTLING_TIME);
        Some(gap)
    }

    /// Whether received messages may have been sent before the last gap.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.settling_until.is_some_and(|until| now < until)
    }
}

/// Whether an order may be sent to a runner that this daemon holds.
///
/// `fenced` is whether the runner checks fences. `confirmation_age` is the age of
/// the store's confirmation of the claims; `None` if there is none since the last
/// suspension.
pub fn may_send_order(fenced: bool, confirmation_age: Option<Duration>) -> bool {
    match confirmation_age {
        None => false,
        Some(age) => fenced || age < MAX_CONFIRMATION_AGE,
    }
}
