//! Which servers get requests after they have asked for rest or announced their shutdown.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, Incarnation, ServerName, ServiceName};
use chestnut_edge::{Phase, ServerEntry};
use chestnut_pool::Fleet;

fn entry(started_at: u64) -> ServerEntry {
    ServerEntry {
        name: ServerName::try_from("r1").expect("a valid name"),
        started_at_ms: Some(started_at),
        service: service(),
        software: None,
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: DomainName::try_from("a").expect("a valid name"),
        slots: 8,
        phase: Phase::Ready,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("pool").expect("a valid name")
}

fn available(fleet: &Fleet, now: Instant) -> usize {
    fleet.available(&service(), now).count()
}

/// Guards against a rest that ends early: by a shorter one that arrives later, or because the
/// server's entry lapses and returns.
#[test]
fn a_rest_lasts_to_its_latest_end() {
    let (mut fleet, start) = (Fleet::default(), Instant::now());
    let at = |millis: u64| start + Duration::from_millis(millis);
    fleet.update(entry(1));
    let server: Incarnation = entry(1).incarnation();
    fleet.record_rest(&server, Duration::from_secs(3), start);
    fleet.record_rest(&server, Duration::from_millis(500), at(100));
    assert_eq!(available(&fleet, at(2999)), 0);
    assert_eq!(fleet.rest_left(&server, at(1000)), Duration::from_secs(2));
    fleet.mark_missing(&server.server, at(1000));
    fleet.remove_missing(at(1000));
    fleet.update(entry(1));
    assert_eq!(available(&fleet, at(2999)), 0);
    assert_eq!(available(&fleet, at(3000)), 1);
}

/// Guards against a server that gets no requests because the one before it asked for rest.
#[test]
fn a_restarted_server_does_not_rest() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry(1));
    fleet.record_rest(&entry(1).incarnation(), Duration::from_secs(60), now);
    fleet.update(entry(2));
    assert_eq!(available(&fleet, now), 1);
    // A late answer of the one before changes nothing.
    fleet.record_rest(&entry(1).incarnation(), Duration::from_secs(60), now);
    assert_eq!(available(&fleet, now), 1);
}

/// Guards against requests to a server that has announced its shutdown, because its entry says that
/// it is ready, or lapses and returns; and against a restarted server that gets none.
#[test]
fn a_server_that_announced_its_shutdown_stays_out() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.update(entry(1));
    let server = entry(1).incarnation();
    assert!(fleet.record_leaving(&server, now));
    assert!(!fleet.record_leaving(&server, now));
    fleet.update(entry(1));
    assert_eq!(available(&fleet, now), 0);
    fleet.start_grace(now);
    fleet.mark_missing(&server.server, now);
    assert_eq!(available(&fleet, now), 0);
    let later = now + Duration::from_secs(10);
    fleet.remove_missing(later);
    fleet.update(entry(1));
    assert_eq!(available(&fleet, later), 0);
    fleet.update(entry(2));
    assert_eq!(available(&fleet, later), 1);
}

/// Guards against requests to an entry that names a daemon, whichever of the two is read first.
#[test]
fn a_server_at_a_daemons_address_gets_no_requests() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let addr = |text: &str| text.parse().expect("a valid address");
    fleet.update(entry(1));
    assert_eq!(fleet.set_daemon_addrs(&[addr("10.0.0.2:80")].into()), []);
    assert_eq!(available(&fleet, now), 1);
    let mapped = [addr("[::ffff:10.0.0.1]:80")].into();
    assert_eq!(fleet.set_daemon_addrs(&mapped), [entry(1).name]);
    assert_eq!(fleet.set_daemon_addrs(&mapped), [], "it is reported once");
    assert_eq!(available(&fleet, now), 0);
    fleet.set_daemon_addrs(&[].into());
    assert_eq!(available(&fleet, now), 1);
}
