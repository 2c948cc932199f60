//! Load of daemons on a store that fails, and how soon they detect its return.

use std::time::{Duration, Instant};

use chestnut_gate::backoff::Backoff;

/// Simulates an outage. Returns the number of calls by all daemons, and the time from the
/// end of the outage to the first call after it.
fn simulate_outage(daemons: usize, duration: Duration) -> (usize, Duration) {
    let start = Instant::now();
    let mut backoffs: Vec<Backoff> = (0..daemons).map(|_| Backoff::default()).collect();
    let mut calls = 0;
    let mut elapsed = Duration::ZERO;
    loop {
        let now = start + elapsed;
        for (rank, backoff) in backoffs.iter_mut().enumerate() {
            if !backoff.may_call(rank, now) {
                continue;
            }
            if elapsed >= duration {
                return (calls, elapsed - duration);
            }
            calls += 1;
            backoff.record_failure(now);
        }
        elapsed += Duration::from_millis(10);
    }
}

#[test]
fn many_daemons_rarely_call_a_failing_store() {
    // The store is down for eight seconds with 78 daemons. Two calls a second by each would
    // be 1,250 calls for a table. A few daemons keep calling, so that its return is detected
    // within half a second; the others learn of it from them.
    let (calls, detected) = simulate_outage(78, Duration::from_secs(8));
    assert!(calls < 180, "{calls} calls");
    assert!(detected <= Duration::from_millis(500), "{detected:?}");
}

#[test]
fn thousands_of_daemons_rarely_call_a_failing_store() {
    // An outage of a minute with 2,100 daemons. With delays of three seconds they would call
    // 700 times a second for each table, as much as the whole load on the store of such a
    // deployment. Each daemon detects the outage by its first call; the calls after that
    // stay below a tenth of that load.
    let (calls, detected) = simulate_outage(2100, Duration::from_secs(60));
    let later = calls - 2100;
    assert!(later < 60 * 90, "{later} calls");
    assert!(detected <= Duration::from_millis(500), "{detected:?}");
}

#[test]
fn few_daemons_call_as_often_as_one() {
    // Four daemons, as in the smallest deployments: each detects the return by itself.
    let (calls, detected) = simulate_outage(4, Duration::from_secs(8));
    assert!((60..90).contains(&calls), "{calls} calls");
    assert!(detected <= Duration::from_millis(500), "{detected:?}");
}

#[test]
fn a_success_resets_the_backoff() {
    // After a failed call, a successful one lets the daemon call without delay again.
    let now = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(now);
    assert!(!backoff.may_call(70, now + Duration::from_secs(1)));
    backoff.record_success();
    assert!(backoff.may_call(70, now));
}

#[test]
fn a_partitioned_daemon_calls_at_once() {
    // The store rejects the calls of all 78 daemons. A moment later it is back, and one of
    // the last daemons is partitioned from the others. No other daemon sends it changes,
    // so it must not wait out the delay of a daemon that learns from others.
    let now = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(now);
    let later = now + Duration::from_millis(500);
    assert!(!backoff.may_call(77, later));
    assert!(backoff.may_call(0, later));
}

#[test]
fn a_daemon_that_is_left_out_calls_soon() {
    // The store is back, as others announce, but they pass nothing on to one of the last of
    // 78 daemons. It waits for three heartbeats, then calls like the first ones.
    let failed_at = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(failed_at);
    let announced_at = failed_at + Duration::from_secs(5);
    backoff.record_recovery(failed_at - Duration::from_millis(1), announced_at);
    assert!(!backoff.may_call(77, announced_at + Duration::from_secs(2)));
    backoff.record_recovery(failed_at + Duration::from_millis(1), announced_at);
    assert!(!backoff.may_call(77, announced_at + Duration::from_millis(800)));
    assert!(backoff.may_call(77, announced_at + Duration::from_millis(900)));
}

#[test]
fn a_daemon_that_the_store_rejects_calls_rarely() {
    // The store rejects one daemon and responds to the others, which announce that all the
    // time. Each call of its own that fails starts the wait anew.
    let start = Instant::now();
    let mut backoff = Backoff::default();
    backoff.record_failure(start);
    let mut calls = 0;
    for step in 1..1000 {
        let now = start + Duration::from_millis(10) * step;
        backoff.record_recovery(now, now);
        if backoff.may_call(77, now) {
            backoff.record_failure(now);
            calls += 1;
        }
    }
    assert!(calls <= 10_000 / 900, "{calls} calls in ten seconds");
}
