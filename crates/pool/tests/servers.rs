//! The fleet as listed in the registry, the health of servers, and reports of unreachable
//! ones.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName, ServiceName};
use chestnut_edge::{GenerationSize, Phase, ServerEntry};
use chestnut_pool::unreachable::UnreachableReports;
use chestnut_pool::{Fleet, Health, InFlightRequest};

fn entry(name: &str, started_at_ms: u64, phase: Phase) -> ServerEntry {
    ServerEntry {
        name: server(name),
        started_at_ms: Some(started_at_ms),
        service: ServiceName::try_from("letters").expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: DomainName::try_from("a").expect("a valid name"),
        slots: 6,
        phase,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: None,
    }
}

fn server(name: &str) -> ServerName {
    ServerName::try_from(name).expect("a valid name")
}

fn available_count(fleet: &Fleet, now: Instant) -> usize {
    let service = ServiceName::try_from("letters").expect("a valid name");
    fleet.available(&service, now).count()
}

#[test]
fn draining_and_missing_servers_get_no_new_requests() {
    // One runner announces that it is draining, and the entry of another one disappears
    // without notice: it may be draining too. New requests go to neither.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry("r1", 1, Phase::Ready));
    fleet.update(entry("r2", 1, Phase::Ready));
    assert_eq!(available_count(&fleet, now), 2);
    fleet.update(entry("r1", 1, Phase::Leaving(None)));
    fleet.mark_missing(&server("r2"), now);
    assert_eq!(available_count(&fleet, now), 0);
}

#[test]
fn entries_that_expire_during_an_outage_have_a_grace_period() {
    // During an outage of the registry servers can't renew their entries, which expire one
    // by one when it returns. The servers are alive. After two seconds a missing one counts
    // as gone.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry("r1", 1, Phase::Ready));
    fleet.start_grace(now);
    fleet.mark_missing(&server("r1"), now);
    fleet.remove_missing(now);
    assert_eq!(available_count(&fleet, now + Duration::from_millis(1900)), 1);
    assert_eq!(available_count(&fleet, now + Duration::from_millis(2100)), 0);
}

#[test]
fn the_rest_of_the_grace_period_is_known() {
    // All machines lose power while the registry is unavailable. A daemon then reads a
    // registry that is nearly empty and refuses its callers; those that retry before the
    // entries are back are refused again and may not retry any more. Responses
    // therefore ask for a retry after the grace period.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    assert_eq!(fleet.grace_left(now), Duration::ZERO);
    fleet.start_grace(now);
    let later = now + Duration::from_millis(500);
    assert_eq!(fleet.grace_left(later), Duration::from_millis(1500));
    assert_eq!(fleet.grace_left(now + Duration::from_secs(3)), Duration::ZERO);
}

#[test]
fn a_restarted_server_gets_a_new_key() {
    // A runner crashes and restarts under its name. The usage of its previous incarnation
    // is gone, and the end of an old request must not be subtracted from the new one.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let size = GenerationSize { prompt_tokens: 100, max_output_tokens: 10 };
    let request = InFlightRequest { size, responding: false };
    let previous = fleet.update(entry("r1", 1, Phase::Ready));
    fleet.begin_request(previous, request);
    let restarted = fleet.update(entry("r1", 2, Phase::Ready));
    fleet.begin_request(restarted, request);
    fleet.end_request(previous, request);
    assert_eq!(fleet.get(restarted).map(|server| server.own_usage.requests), Some(1));
    assert!(fleet.get(previous).is_none());
    assert_eq!(available_count(&fleet, now), 1);
}

#[test]
fn a_failed_connection_starts_a_short_backoff() {
    // A crashed runner refuses connections at once and would attract a burst of requests;
    // it is tried again soon, since it restarts within seconds.
    let (mut health, now) = (Health::default(), Instant::now());
    health.record_connection_failure(now);
    assert!(!health.allows_requests(now + Duration::from_millis(100)));
    assert!(health.allows_requests(now + Duration::from_millis(250)));
    for _ in 0..10 {
        health.record_connection_failure(now);
    }
    assert!(health.allows_requests(now + Duration::from_millis(1001)));
    health.record_success(now);
    assert!(health.allows_requests(now));
}

#[test]
fn the_penalty_for_failures_decays() {
    // A server fails half of its requests for a while, though its health check passes. It
    // gets few requests meanwhile and its whole share again some seconds later.
    let (mut health, now) = (Health::default(), Instant::now());
    for _ in 0..4 {
        health.record_failure(now);
    }
    let soon = health.penalty(now + Duration::from_millis(100));
    let later = health.penalty(now + Duration::from_secs(10));
    assert!(soon > 3.0 && later < 0.2, "{soon}, {later}");
}

#[test]
fn one_of_several_daemons_can_not_declare_a_server_unreachable() {
    // A daemon is disconnected from half of the runners. Its reports alone must not move
    // their models; those of two daemons must, long before the registry removes the
    // runners.
    let (mut reports, now) = (UnreachableReports::default(), Instant::now());
    reports.record(MemberId(1), vec![server("r1")], now);
    assert!(!reports.is_unreachable(&server("r1"), 6, now));
    assert!(reports.is_unreachable(&server("r1"), 1, now));
    reports.record(MemberId(2), vec![server("r1")], now);
    assert!(reports.is_unreachable(&server("r1"), 6, now));
    assert!(!reports.is_unreachable(&server("r1"), 6, now + Duration::from_secs(1)));
}

/// Guards against a bound on servers that have been in use for long, when a daemon reads the
/// registry for the first time or after an outage.
#[test]
fn only_servers_that_were_seen_to_start_count_as_started() {
    let (now, mut fleet) = (Instant::now(), Fleet::default());
    let mut is_start = |name, started_at, is_first_read, now| {
        let entry = entry(name, started_at, Phase::Ready);
        let key = fleet.update_seen(entry, is_first_read, now);
        fleet.start_grace(now);
        fleet.get(key).is_some_and(|server| server.start_seen_at == Some(now))
    };
    assert!(!is_start("r1", 1, true, now));
    assert!(!is_start("r2", 1, false, now));
    let later = now + Duration::from_secs(3);
    assert!(!is_start("r1", 1, false, later));
    assert!(is_start("r1", 2, false, later));
    assert!(is_start("r3", 1, false, later + Duration::from_secs(3)));
}
