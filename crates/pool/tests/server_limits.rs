//! Limits that servers announce, seen in responses that arrive in any order.

use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName};
use chestnut_edge::RequestRate;
use chestnut_pool::{LimitSighting, ServerLimits};

fn server(started_at: u64) -> Incarnation {
    let server = ServerName::try_from("s1").expect("a valid name");
    Incarnation { server, started_at: Some(started_at) }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a valid rate")
}

/// Guards against a response from before the limit that ends it.
#[test]
fn a_late_response_without_a_limit_changes_nothing() {
    let (mut limits, now) = (ServerLimits::default(), Instant::now());
    let before = now - Duration::from_secs(1);
    assert!(limits.record(&server(1), LimitSighting::Named(rate(2.0), now)));
    assert!(!limits.record(&server(1), LimitSighting::None(before)));
    assert_eq!(limits.rate(&server(1)), Some(rate(2.0)));
}

/// Guards against a limit that holds for ever.
#[test]
fn a_response_to_a_later_request_ends_the_limit() {
    let (mut limits, now) = (ServerLimits::default(), Instant::now());
    limits.record(&server(1), LimitSighting::Named(rate(2.0), now));
    let at_once = now + Duration::from_millis(50);
    assert!(!limits.record(&server(1), LimitSighting::None(at_once)));
    let later = now + Duration::from_millis(200);
    assert!(limits.record(&server(1), LimitSighting::None(later)));
    assert_eq!(limits.rate(&server(1)), None);
}

/// Guards against an outdated report of another daemon that replaces a newer limit.
#[test]
fn the_limit_that_was_seen_last_holds() {
    let (mut limits, now) = (ServerLimits::default(), Instant::now());
    let later = now + Duration::from_millis(1);
    limits.record(&server(1), LimitSighting::Named(rate(3.0), later));
    assert!(!limits.record(&server(1), LimitSighting::Named(rate(2.0), now)));
    assert_eq!(limits.rate(&server(1)), Some(rate(3.0)));
}

/// Guards against a limit that outlives its server.
#[test]
fn a_restarted_server_has_no_limit() {
    let (mut limits, now) = (ServerLimits::default(), Instant::now());
    limits.record(&server(1), LimitSighting::Named(rate(2.0), now));
    assert_eq!(limits.rate(&server(2)), None);
    limits.retain(|listed| *listed == server(2));
    assert_eq!(limits.rate(&server(1)), None);
}
