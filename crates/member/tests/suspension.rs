//! A daemon is suspended and resumes, or loses the store, while it holds a runner.

use std::time::{Duration, Instant};

use chestnut_base::{Clock, ManualClock};
use chestnut_member::suspension::{
    MAX_CONFIRMATION_AGE, SETTLING_TIME, SuspensionDetector, may_send_order,
};

const SECOND: Duration = Duration::from_secs(1);

/// A holder's VM is suspended for seconds, and another daemon takes over its runner.
/// After it resumes, its monotonic clock has not advanced and it reads heartbeats from
/// before. Without the comparison of clocks, it considers its claims confirmed and sends
/// an order beside the new holder.
#[test]
fn messages_are_stale_after_a_vm_suspension() {
    let (clock, mut detector) = (ManualClock::new(), SuspensionDetector::default());
    assert_eq!(detector.check(clock.suspended_time(), clock.now()), None);
    clock.advance(SECOND / 4);
    assert_eq!(detector.check(clock.suspended_time(), clock.now()), None);
    assert!(!detector.is_settling(clock.now()));
    clock.suspend(5 * SECOND);
    assert_eq!(detector.check(clock.suspended_time(), clock.now()), Some(5 * SECOND));
    assert!(detector.is_settling(clock.now()));
    assert_eq!(detector.check(clock.suspended_time(), clock.now()), None);
    assert!(
        detector.is_settling(clock.now()),
        "a second check does not end the settling time"
    );
    clock.advance(SETTLING_TIME);
    assert!(!detector.is_settling(clock.now()));
}

/// The same if only the process is stopped, which the monotonic clock counts: the claims
/// that it has read are old by that clock, but heartbeats from before make them look new.
#[test]
fn a_stopped_process_is_detected() {
    let (clock, mut detector) = (ManualClock::new(), SuspensionDetector::default());
    detector.check(clock.suspended_time(), clock.now());
    clock.advance(5 * SECOND);
    assert_eq!(detector.check(clock.suspended_time(), clock.now()), Some(5 * SECOND));
    assert!(detector.is_settling(clock.now()));
}

/// The clocks are read one after the other, some milliseconds apart.
#[test]
fn small_clock_differences_are_ignored() {
    let (mut detector, now) = (SuspensionDetector::default(), Instant::now());
    detector.check(SECOND, now);
    assert_eq!(detector.check(SECOND + Duration::from_millis(30), now), None);
    assert_eq!(detector.check(SECOND, now), None, "a decrease is not a gap");
    assert!(!detector.is_settling(now));
}

/// A holder loses its connections to the store and the other daemons, but not to its
/// runner. If the runner checks fences, the holder continues to send orders, so that an
/// outage of the store stops nothing. Otherwise it stops before another daemon that took
/// over may send its first order.
#[test]
fn an_unfenced_order_needs_a_recent_confirmation() {
    assert!(may_send_order(true, Some(60 * SECOND)));
    assert!(may_send_order(false, Some(SECOND)));
    assert!(!may_send_order(false, Some(MAX_CONFIRMATION_AGE)));
    assert!(!may_send_order(true, None));
    assert!(!may_send_order(false, None));
}
