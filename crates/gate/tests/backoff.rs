//! How often daemons call a store that does not answer.

use std::time::{Duration, Instant};

use chestnut_gate::backoff::Backoff;

/// Plays an outage; returns the calls that all daemons make, and how long after its end
/// the first of them notices.
fn outage(daemons: usize, time: Duration) -> (usize, Duration) {
    let start = Instant::now();
    let mut all: Vec<Backoff> = (0..daemons).map(|_| Backoff::default()).collect();
    let mut calls = 0;
    let mut at = Duration::ZERO;
    loop {
        let now = start + at;
        for (rank, backoff) in all.iter_mut().enumerate() {
            if !backoff.may_call(rank, now) {
                continue;
            }
            if at >= time {
                return (calls, at - time);
            }
            calls += 1;
            backoff.record_failure(now);
        }
        at += Duration::from_millis(10);
    }
}

#[test]
fn many_daemons_leave_a_silent_store_alone() {
    // The store is down for eight seconds under 78 daemons. Twice a second from each would
    // be 1,250 calls for a table. A few go on asking, so that its return is noticed within
    // half a second; the others hear it from them.
    let (calls, noticed) = outage(78, Duration::from_secs(8));
    assert!(calls < 180, "{calls} calls");
    assert!(noticed <= Duration::from_millis(500), "{noticed:?}");
}

#[test]
fn thousands_of_daemons_leave_a_silent_store_alone() {
    // A minute's outage under 2,100 daemons. With pauses of three seconds they call 700
    // times a second for each table, as much as a store of such a deployment does in all;
    // beyond the first call of each, which finds out, it gets less than a tenth of that.
    let (calls, noticed) = outage(2100, Duration::from_secs(60));
    let later = calls - 2100;
    assert!(later < 60 * 90, "{later} calls");
    assert!(noticed <= Duration::from_millis(500), "{noticed:?}");
}

#[test]
fn few_daemons_ask_as_often_as_one() {
    // Four daemons, as in the smallest deployments: each notices the return by itself.
    let (calls, noticed) = outage(4, Duration::from_secs(8));
    assert!((60..90).contains(&calls), "{calls} calls");
    assert!(noticed <= Duration::from_millis(500), "{noticed:?}");
}

#[test]
fn an_answer_ends_the_pause() {
    // A daemon that was turned away and is answered calls again as it needs to.
    let now = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(now);
    assert!(!backoff.may_call(70, now + Duration::from_secs(1)));
    backoff.record_success();
    assert!(backoff.may_call(70, now));
}

#[test]
fn who_is_left_alone_calls_at_once() {
    // The store turns all of 78 daemons away; a moment later one of the last is cut off from
    // the others and the store is back. Nobody else tells it what changed, and it does not
    // sit out the pause of a daemon that hears from others.
    let now = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(now);
    let later = now + Duration::from_millis(500);
    assert!(!backoff.may_call(77, later));
    assert!(backoff.may_call(0, later));
}
