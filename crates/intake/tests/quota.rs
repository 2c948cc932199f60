//! Who yields when a quota is used up.

use std::time::{Duration, Instant};

use chestnut_intake::quota::Opened;
use chestnut_intake::{
    Admission, ConnectionKey, Phase, ProcessLimits, Quota, QuotaLimits, Share, shares,
};

const LIMITS: QuotaLimits = QuotaLimits { connections: 4, bytes: 400_000 };

fn open(quota: &mut Quota, now: Instant) -> Opened {
    quota.open(now).expect("there is a place")
}

fn begin_body(quota: &mut Quota, bytes: usize, now: Instant) -> ConnectionKey {
    let key = open(quota, now).key;
    quota.set_phase(key, Phase::Body, now);
    assert!(quota.reserve(key, bytes, now).granted);
    key
}

/// Guards against a crowd of silent connections that keeps ordinary callers out.
#[test]
fn silent_connection_yields_before_one_that_is_reused() {
    let (mut quota, start) = (Quota::new(LIMITS), Instant::now());
    let reused = open(&mut quota, start).key;
    quota.set_phase(reused, Phase::Serving, start);
    quota.set_phase(reused, Phase::Idle, start);
    let silent: Vec<_> = (1..4)
        .map(|second| open(&mut quota, start + Duration::from_secs(second)).key)
        .collect();
    let later = start + Duration::from_secs(9);
    assert_eq!(quota.make_room(later), Some(silent[0]));
    assert_eq!(open(&mut quota, later).admission, Admission::Served);
}

/// Guards against newcomers that close for one another before their requests arrive.
#[test]
fn newcomers_do_not_yield_to_one_another() {
    let (mut quota, now) = (Quota::new(LIMITS), Instant::now());
    for _ in 0..LIMITS.connections {
        open(&mut quota, now);
    }
    assert_eq!(quota.make_room(now), None);
    assert!(quota.make_room(now + Duration::from_secs(1)).is_some());
}

/// Guards against clients that send a byte now and then, and keep all others out by that.
#[test]
fn steady_progress_keeps_nobody_out() {
    let (mut quota, start) = (Quota::new(LIMITS), Instant::now());
    let keys = [(); LIMITS.connections].map(|()| begin_body(&mut quota, 10, start));
    let later = start + Duration::from_secs(1);
    keys.iter().for_each(|key| quota.record_progress(*key, later));
    assert!(quota.make_room(later).is_some());
}

/// Guards against a request in progress that is given up for a connection without one.
#[test]
fn connections_in_use_do_not_yield() {
    let (mut quota, now) = (Quota::new(LIMITS), Instant::now());
    for _ in 0..LIMITS.connections {
        let key = open(&mut quota, now).key;
        quota.set_phase(key, Phase::Serving, now);
    }
    assert_eq!(quota.make_room(now), None);
    assert_eq!(open(&mut quota, now).admission, Admission::Refused);
    assert_eq!(quota.open(now), None, "connections that are refused have a limit too");
}

/// Guards against a large body that was left unfinished and keeps the memory of later ones.
#[test]
fn costliest_unfinished_body_yields() {
    let (mut quota, start) = (Quota::new(LIMITS), Instant::now());
    let _small = begin_body(&mut quota, 1_000, start);
    let large = begin_body(&mut quota, 250_000, start);
    let later = start + Duration::from_secs(2);
    let key = open(&mut quota, later).key;
    quota.set_phase(key, Phase::Body, later);
    let reserved = quota.reserve(key, 100_000, later);
    assert!(reserved.granted);
    assert_eq!(reserved.evicted, [large]);
    assert_eq!(quota.usage().bytes, 101_000);
}

/// Guards against memory that is granted again before those that yield have given it up.
#[test]
fn memory_that_yields_counts_until_it_is_free() {
    let (mut quota, start) = (Quota::new(LIMITS), Instant::now());
    let large = begin_body(&mut quota, 300_000, start);
    let later = start + Duration::from_secs(2);
    let keys = [(); 2].map(|()| open(&mut quota, later).key);
    keys.iter().for_each(|key| quota.set_phase(*key, Phase::Body, later));
    assert_eq!(quota.reserve(keys[0], 150_000, later).evicted, [large]);
    assert!(!quota.reserve(keys[1], 60_000, later).granted);
    quota.close(large);
    assert!(quota.reserve(keys[1], 60_000, later).granted);
}

/// Guards against a response that nobody reads and that keeps the memory of later ones, and one
/// that is given up for an unfinished request of lower cost.
#[test]
fn unread_response_yields_to_a_request_in_progress() {
    let (mut quota, start) = (Quota::new(LIMITS), Instant::now());
    let keys = [(); 3].map(|()| open(&mut quota, start).key);
    keys.iter().for_each(|key| quota.set_phase(*key, Phase::Serving, start));
    assert!(quota.begin_response(keys[0], 280_000, start).granted);
    let later = start + Duration::from_secs(2);
    quota.set_phase(keys[1], Phase::Body, later);
    assert!(!quota.reserve(keys[1], 300_001, later).granted);
    assert_eq!(quota.reserve(keys[2], 100_000, later).evicted, [keys[0]]);
}

/// Guards against whole requests that yield to unfinished ones, and small ones that find no room
/// beside large ones.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let (mut quota, now) = (Quota::new(LIMITS), Instant::now());
    let whole = begin_body(&mut quota, 290_000, now);
    quota.set_phase(whole, Phase::Serving, now);
    let key = open(&mut quota, now).key;
    quota.set_phase(key, Phase::Body, now);
    assert!(!quota.reserve(key, 70_000, now).granted);
    assert!(quota.reserve(key, 60_000, now).granted);
}

/// Guards against memory that is counted twice or never given back.
#[test]
fn closed_and_ended_messages_give_back_their_memory() {
    let (mut quota, now) = (Quota::new(LIMITS), Instant::now());
    let keys: Vec<_> = (0..4).map(|_| begin_body(&mut quota, 60_000, now)).collect();
    quota.set_phase(keys[0], Phase::Serving, now);
    quota.set_phase(keys[0], Phase::Idle, now);
    quota.close(keys[1]);
    assert!(quota.evict_stalled(now + Duration::from_secs(1)).is_some());
    let usage = quota.usage();
    assert_eq!((usage.connections, usage.bytes), (2, 60_000));
    for key in keys {
        quota.close(key);
    }
    assert_eq!(quota.usage(), QuotaLimits { connections: 0, bytes: 0 });
}

/// Guards against shares that together exceed the process's limits.
#[test]
fn shares_leave_descriptors_and_memory_for_the_rest() {
    let limits = ProcessLimits { memory: 120_000_000, descriptors: 3075 };
    let shares = [Share::Callers, Share::Lookups, Share::Peers];
    let quotas = shares.map(|share| limits.quota(share));
    let open: usize = quotas.iter().map(|quota| quota.max_open()).sum();
    let bytes: usize = quotas.iter().map(|quota| quota.max_bytes()).sum();
    assert!(open <= (3075 - 200) / 4 * 3, "{open}");
    let connection_bytes = open * shares::CONNECTION_BYTES as usize;
    assert!(
        connection_bytes + bytes <= 120_000_000 / 10 * 8,
        "{connection_bytes} {bytes}"
    );
}
