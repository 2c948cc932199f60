//! A VM stands still and goes on, or loses the store, while it holds a runner.

use std::time::{Duration, Instant};

use chestnut_base::{Clock, ManualClock};
use chestnut_member::suspension::{
    MAX_CONFIRMATION_AGE, SETTLING_TIME, SuspensionDetector, may_send_order,
};

const SECOND: Duration = Duration::from_secs(1);

/// A holder stands still for seconds; another daemon takes its runner over. When it goes
/// on, its clock has not moved and beats from before are read: without the comparison
/// of clocks it takes its claims for confirmed and gives an order beside the new holder.
#[test]
fn news_is_old_after_a_gap() {
    let (clock, mut wake) = (ManualClock::new(), SuspensionDetector::default());
    assert_eq!(wake.check(clock.suspended_time(), clock.now()), None);
    clock.advance(SECOND / 4);
    assert_eq!(wake.check(clock.suspended_time(), clock.now()), None);
    assert!(!wake.is_settling(clock.now()));
    clock.suspend(5 * SECOND);
    assert_eq!(wake.check(clock.suspended_time(), clock.now()), Some(5 * SECOND));
    assert!(wake.is_settling(clock.now()));
    assert_eq!(wake.check(clock.suspended_time(), clock.now()), None);
    assert!(wake.is_settling(clock.now()), "a second look ends nothing");
    clock.advance(SETTLING_TIME);
    assert!(!wake.is_settling(clock.now()));
}

/// The same where the process alone was stopped, which the monotonic clock counts: what
/// it read of the claims is old by that clock, but beats from before make it look new.
#[test]
fn a_stopped_process_has_a_gap() {
    let (clock, mut wake) = (ManualClock::new(), SuspensionDetector::default());
    wake.check(clock.suspended_time(), clock.now());
    clock.advance(5 * SECOND);
    assert_eq!(wake.check(clock.suspended_time(), clock.now()), Some(5 * SECOND));
    assert!(wake.is_settling(clock.now()));
}

/// The clocks are read one after the other, some milliseconds apart.
#[test]
fn small_differences_are_no_gap() {
    let (mut wake, now) = (SuspensionDetector::default(), Instant::now());
    wake.check(SECOND, now);
    assert_eq!(wake.check(SECOND + Duration::from_millis(30), now), None);
    assert_eq!(wake.check(SECOND, now), None, "nor is going back");
    assert!(!wake.is_settling(now));
}

/// A holder loses the store and the others, but reaches its runner. Where the runner
/// stops orders by their fences it goes on, so that a store outage stops nothing; else
/// it stops before another one can have waited for its turn.
#[test]
fn an_order_that_no_fence_stops_needs_the_stores_word() {
    assert!(may_send_order(true, Some(60 * SECOND)));
    assert!(may_send_order(false, Some(SECOND)));
    assert!(!may_send_order(false, Some(MAX_CONFIRMATION_AGE)));
    assert!(!may_send_order(true, None));
    assert!(!may_send_order(false, None));
}
