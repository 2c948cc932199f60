//! The operators' bounds on retries over all daemons and on loads from the weight store.

use std::time::{Duration, Instant};

use chestnut_member::Part;
use chestnut_pool::{LoadBound, LoadPacer, RetryBound, RetryBudget, RetryGrant};
use proptest::prelude::*;

const BOUND: RetryBound =
    RetryBound { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

#[test]
fn requests_older_than_the_window_are_removed() {
    // A daemon serves a service for an hour without retries. It keeps the requests of less
    // than a window in memory, not those of the hour.
    let start = Instant::now();
    let mut budget = RetryBudget::default();
    for second in 0..3600 {
        budget.record_request(BOUND, start + Duration::from_secs(second));
    }
    assert_eq!(budget.tracked(), 3);
}

/// Guards against retries that are granted in two windows and wait for a server, which then
/// gets all of them in one.
#[test]
fn a_retry_that_has_waited_is_decided_again() {
    let start = Instant::now();
    let mut budget = RetryBudget::default();
    let mut grant_all = |now| {
        let grants = (0..100).map(|_| budget.try_consume(BOUND, 1.0, now));
        grants.filter(|grant| grant.granted).collect::<Vec<RetryGrant>>()
    };
    let mut grants = grant_all(start);
    let later = start + 2 * BOUND.window;
    grants.extend(grant_all(later));
    assert!(grants.len() as f64 > BOUND.slack, "retries of two windows are granted");
    let sent_at = later + Duration::from_secs(1);
    let renewed =
        grants.into_iter().map(|grant| budget.renew(grant, BOUND, 1.0, sent_at));
    let sent = renewed.filter(|grant| grant.granted).count();
    assert!(sent as f64 <= BOUND.slack, "{sent} retries were sent");
}

/// Guards against a share that is used again as soon as the window since its use has passed,
/// though a link has delayed the retries before by a second and a half.
#[test]
fn delayed_retries_and_those_of_the_next_window_stay_within_the_bound() {
    let start = Instant::now();
    let mut budget = RetryBudget::default();
    let mut arrivals = Vec::new();
    for step in 0..600 {
        let now = start + Duration::from_millis(50) * step;
        let is_delayed = step < 20;
        while budget.try_consume(BOUND, Part::Share(1).fraction(), now).granted {
            let delay = Duration::from_millis(if is_delayed { 1500 } else { 0 });
            arrivals.push(now + delay);
        }
    }
    let in_window = |start: &Instant| {
        let end = *start + BOUND.window;
        arrivals.iter().filter(|at| (*start..=end).contains(*at)).count()
    };
    let most = arrivals.iter().map(in_window).max().unwrap_or_default();
    assert!(most as f64 <= BOUND.slack, "{most} retries arrived in a window");
}

fn load_bound(rate: f64) -> LoadBound {
    LoadBound { rate, window: Duration::from_secs(5), overshoot: 1.1 }
}

#[test]
fn a_fast_weight_store_is_used_fully() {
    // Guards against saving less credit than accrues between two runs of the planner: of
    // sixteen loads a second that are allowed, only eight would begin.
    let bound = load_bound(16.0);
    let start = Instant::now();
    let mut pacer = LoadPacer::new(start);
    let mut started = 0;
    for run in 1..=20 {
        let now = start + Duration::from_millis(250) * run;
        while pacer.available(bound, now) > 0 {
            pacer.consume();
            started += 1;
        }
    }
    assert!((78..=91).contains(&started), "{started} loads in five seconds");
}

proptest! {
    // All servers fail, and every daemon retries as often as its budget allows. In no
    // window do the retries of all daemons together exceed the operators' bound for the
    // requests of that window, of the one before it or of the one half a window before it,
    // not even when all daemons are killed and restarted. New daemons have the reserve for half
    // a window, and a share after one and a half.
    #[test]
    fn retries_stay_within_the_bound(
        steps in prop::collection::vec((0u64..120, 0usize..6, 0u32..4), 1..400),
        restart in 0usize..400,
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut restarted_at = None;
        let mut daemons: Vec<RetryBudget> = Vec::new();
        daemons.resize_with(6, RetryBudget::default);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (step, (wait, daemon, tries)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(wait);
            if step == restart {
                daemons.fill_with(RetryBudget::default);
                restarted_at = Some(now);
            }
            daemons[daemon].record_request(BOUND, now);
            requests.push(now);
            let windows = restarted_at
                .map(|at| now.duration_since(at).div_duration_f64(BOUND.window));
            let part = match windows {
                Some(..0.5) => Part::Reserve(6),
                Some(..1.5) => Part::None,
                _ => Part::Share(6),
            };
            for _ in 0..tries {
                if daemons[daemon].try_consume(BOUND, part.fraction(), now).granted {
                    retries.push(now);
                }
            }
            let within = |times: &[Instant], end: Instant| {
                let counted = |at: &&Instant| **at <= end && **at + BOUND.window >= end;
                times.iter().filter(counted).count() as f64
            };
            let shifts = [Duration::ZERO, BOUND.window / 2, BOUND.window];
            let counted = shifts.map(|shift| within(&requests, now - shift));
            let counted = counted.into_iter().fold(0.0, f64::max);
            let allowed = counted * BOUND.ratio + BOUND.slack;
            prop_assert!(within(&retries, now) <= allowed);
        }
    }

    // A daemon does not know how many others there are, so that it has no part of the slack. It
    // must not spend the slack of all of them.
    #[test]
    fn no_slack_is_spent_while_the_number_of_daemons_is_unknown(requests in 0u32..100) {
        let start = Instant::now();
        let now = start + BOUND.window;
        let mut budget = RetryBudget::default();
        (0..requests).for_each(|_| budget.record_request(BOUND, now));
        let granted = (0..100).filter(|_| budget.try_consume(BOUND, 0.0, now).granted).count();
        prop_assert!(granted as f64 <= f64::from(requests) * BOUND.ratio);
    }

    // Loads are always wanted. In no window of five seconds do more begin than the rate
    // allows with a tenth and three on top, even when another planner takes over at any
    // time.
    #[test]
    fn loads_stay_within_the_bound(
        waits in prop::collection::vec(0u64..400, 1..300),
        takeover in 0usize..300,
        rate in prop_oneof![Just(1.1), Just(2.1), 0.1..30.0],
    ) {
        let bound = load_bound(rate);
        let mut now = Instant::now();
        let mut pacer = LoadPacer::new(now);
        let mut loads: Vec<Instant> = Vec::new();
        for (index, wait) in waits.into_iter().enumerate() {
            now += Duration::from_millis(wait);
            if index == takeover {
                pacer = LoadPacer::new(now);
            }
            while pacer.available(bound, now) > 0 {
                pacer.consume();
                loads.push(now);
            }
            let window = bound.window;
            let started = loads.iter().filter(|at| now.duration_since(**at) <= window).count();
            prop_assert!(started as f64 <= rate * 5.0 * 1.1 + 3.0);
        }
    }
}
