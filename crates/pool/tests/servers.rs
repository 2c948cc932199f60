//! What the registry says of backend servers, and what can be trusted of it.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName, ServiceName};
use chestnut_edge::{GenerationSize, Phase, ServerEntry};
use chestnut_pool::unreachable::UnreachableReports;
use chestnut_pool::{Fleet, Health, InFlightRequest};

fn entry(name: &str, born: u64, phase: Phase) -> ServerEntry {
    ServerEntry {
        name: server(name),
        started_at_ms: Some(born),
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
    }
}

fn server(name: &str) -> ServerName {
    ServerName::try_from(name).expect("a valid name")
}

fn open(fleet: &Fleet, now: Instant) -> usize {
    let service = ServiceName::try_from("letters").expect("a valid name");
    fleet.available(&service, now).count()
}

#[test]
fn leaving_and_missing_servers_get_nothing_new() {
    // A runner says that it leaves, another one's entry vanishes without a word: it may
    // be leaving too. Callers' new requests go to neither.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry("r1", 1, Phase::Ready));
    fleet.update(entry("r2", 1, Phase::Ready));
    assert_eq!(open(&fleet, now), 2);
    fleet.update(entry("r1", 1, Phase::Leaving(None)));
    fleet.mark_missing(&server("r2"), now);
    assert_eq!(open(&fleet, now), 0);
}

#[test]
fn entries_that_lapse_with_the_registry_are_kept_for_a_while() {
    // The registry is down; servers can't renew their entries, which lapse one by one as
    // it returns. The servers live. Two seconds later a missing one is gone for good.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry("r1", 1, Phase::Ready));
    fleet.start_grace(now);
    fleet.mark_missing(&server("r1"), now);
    fleet.remove_missing(now);
    assert_eq!(open(&fleet, now + Duration::from_millis(1900)), 1);
    assert_eq!(open(&fleet, now + Duration::from_millis(2100)), 0);
}

#[test]
fn callers_are_told_when_entries_are_back() {
    // All machines lose power while the registry is away. A daemon reads a registry that
    // is nearly empty; its callers are refused, and those that come back before the
    // entries do are refused once more and may not come back again.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    assert_eq!(fleet.grace_left(now), Duration::ZERO);
    fleet.start_grace(now);
    let later = now + Duration::from_millis(500);
    assert_eq!(fleet.grace_left(later), Duration::from_millis(1500));
    assert_eq!(fleet.grace_left(now + Duration::from_secs(3)), Duration::ZERO);
}

#[test]
fn a_server_that_starts_again_is_another_one() {
    // A runner crashes and is back under its name. What was counted there is gone with
    // its former run, and the end of an old request must not count against the new run.
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let size = GenerationSize { prompt: 100, output: 10 };
    let flight = InFlightRequest { size, responding: false };
    let old = fleet.update(entry("r1", 1, Phase::Ready));
    fleet.begin_request(old, flight);
    let new = fleet.update(entry("r1", 2, Phase::Ready));
    fleet.begin_request(new, flight);
    fleet.end_request(old, flight);
    assert_eq!(fleet.get(new).map(|server| server.own_usage.requests), Some(1));
    assert!(fleet.get(old).is_none());
    assert_eq!(open(&fleet, now), 1);
}

#[test]
fn a_server_that_refuses_connections_is_left_alone_for_a_moment() {
    // A crashed runner refuses at once and would draw a burst of requests; it is tried
    // again soon, as it is back after seconds.
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
fn failures_fade() {
    // A server fails half of its requests for a while, with its health check good. It
    // keeps little of its share meanwhile and has it back some seconds later.
    let (mut health, now) = (Health::default(), Instant::now());
    for _ in 0..4 {
        health.record_failure(now);
    }
    let soon = health.penalty(now + Duration::from_millis(100));
    let later = health.penalty(now + Duration::from_secs(10));
    assert!(soon > 3.0 && later < 0.2, "{soon}, {later}");
}

#[test]
fn one_daemon_alone_declares_no_server_lost() {
    // A daemon is cut off from half of the runners. Its word must not move their models;
    // two daemons' word must, long before the registry forgets the runners.
    let (mut lost, now) = (UnreachableReports::default(), Instant::now());
    lost.record(MemberId(1), vec![server("r1")], now);
    assert!(!lost.is_unreachable(&server("r1"), 6, now));
    assert!(lost.is_unreachable(&server("r1"), 1, now));
    lost.record(MemberId(2), vec![server("r1")], now);
    assert!(lost.is_unreachable(&server("r1"), 6, now));
    assert!(!lost.is_unreachable(&server("r1"), 6, now + Duration::from_secs(1)));
}
