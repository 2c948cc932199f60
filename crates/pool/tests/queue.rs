//! The permit queue of a plain service, when many daemons send to few slots.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName, ServiceName};
use chestnut_edge::{GenerationSize, Phase, RequestRate, ServerEntry};
use chestnut_pool::{
    Fleet, InFlightRequest, ListedServer, PermitOutcome, PermitQueue, PlainRequest,
    QueueDecision, RequestKey, choose,
};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const DAEMONS: u64 = 30;
const SLOTS: u32 = 6;

/// Permits that a server gets beyond its slots.
const EXTRA_PERMITS: u32 = 4;

/// Network latency between a daemon and a server.
const LATENCY_MS: u64 = 2;

/// Time within which a response is on time.
const OBJECTIVE: Duration = Duration::from_millis(150);

fn server(number: usize) -> ServerName {
    ServerName::try_from(format!("s{number}")).expect("a valid name")
}

fn domain(number: usize) -> DomainName {
    DomainName::try_from(format!("d{}", number % 3)).expect("a valid name")
}

fn listed(count: usize) -> Vec<ListedServer> {
    let entry = |number| ListedServer {
        name: server(number),
        slots: SLOTS,
        domain: domain(number),
        limit: None,
    };
    (0..count).map(entry).collect()
}

fn request(number: u64) -> PlainRequest {
    PlainRequest {
        urgency: 2,
        target_time: OBJECTIVE,
        wait_limit: Duration::from_millis(1200),
        domain: domain(number as usize),
        avoid: Vec::new(),
    }
}

fn key(number: u64) -> RequestKey {
    (MemberId(number % DAEMONS), number)
}

/// Arrivals in bursts, as (time in ms, service time in ms).
fn arrivals(seed: u64, duration_ms: u64, per_s: f64) -> Vec<(u64, u64)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at in 0..duration_ms {
        // Requests arrive in pairs, at half the rate.
        if rng.random_bool(per_s / 2000.0) {
            for _ in 0..2 {
                let service_ms = 30.0 * (0.5 + rng.random_range(0.0..1.0));
                arrivals.push((at, service_ms as u64));
            }
        }
    }
    arrivals
}

/// Runs requests at `servers` through a queue; `failing` fails all of its requests.
///
/// Returns the shares of requests that were late or refused, and that failed.
fn run_queued(
    servers: usize,
    arrivals: &[(u64, u64)],
    failing: Option<usize>,
) -> (f64, f64) {
    let start = Instant::now();
    let mut queue = PermitQueue::default();
    queue.update_servers(listed(servers), start);
    let mut running: VecDeque<(u64, RequestKey, ServerName)> = VecDeque::new();
    let mut slots: IndexMap<ServerName, [u64; SLOTS as usize]> =
        (0..servers).map(|number| (server(number), Default::default())).collect();
    let (mut late, mut failed, mut next) = (0, 0, 0);
    let last = arrivals.last().map_or(0, |(at, _)| *at) + 2000;
    for ms in 0..last {
        let now = start + Duration::from_millis(ms);
        while arrivals.get(next).is_some_and(|(at, _)| *at == ms) {
            queue.push(key(next as u64), request(next as u64), now);
            next += 1;
        }
        let finished: Vec<_> = running.extract_if_due(ms);
        for (_, key, at) in finished {
            let is_failure = failing.is_some_and(|number| server(number) == at);
            failed += u32::from(is_failure);
            let outcome =
                if is_failure { PermitOutcome::Failed } else { PermitOutcome::Answered };
            queue.release(key, outcome, now);
            let arrived = arrivals[key.1 as usize].0;
            late += u32::from(ms - arrived > OBJECTIVE.as_millis() as u64);
        }
        while let Some(decision) = queue.next_decision(now) {
            match decision {
                QueueDecision::Grant(key, at) => {
                    let service_ms = arrivals[key.1 as usize].1;
                    let slot = slots[&at].iter_mut().min().expect("there are slots");
                    *slot = (*slot).max(ms + LATENCY_MS) + service_ms;
                    running.push_back((*slot + LATENCY_MS, key, at));
                }
                QueueDecision::Full(..) | QueueDecision::NoServer(_) => late += 1,
            }
        }
        for number in 0..servers {
            let here = running.iter().filter(|(_, _, at)| *at == server(number)).count();
            assert!(
                here <= (SLOTS + EXTRA_PERMITS) as usize,
                "{here} at a server with {SLOTS} slots"
            );
        }
    }
    let all = arrivals.len() as f64;
    (f64::from(late) / all, f64::from(failed) / all)
}

trait ExtractDue {
    fn extract_if_due(&mut self, ms: u64) -> Vec<(u64, RequestKey, ServerName)>;
}

impl ExtractDue for VecDeque<(u64, RequestKey, ServerName)> {
    fn extract_if_due(&mut self, ms: u64) -> Vec<(u64, RequestKey, ServerName)> {
        let due: Vec<_> = self.iter().filter(|(end, ..)| *end <= ms).cloned().collect();
        self.retain(|(end, ..)| *end > ms);
        due
    }
}

fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        name: server(number),
        started_at_ms: Some(1),
        service: ServiceName::try_from("ledger").expect("a valid name"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        domain: domain(number),
        slots: SLOTS,
        phase: Phase::Ready,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: None,
    }
}

/// Runs requests where each daemon uses only its own counts. A request that a server
/// rejects is sent to another one, and its caller retries after half a second if all reject
/// it. Returns the share of requests that were late.
fn run_by_own_counts(servers: usize, arrivals: &[(u64, u64)]) -> f64 {
    let now = Instant::now();
    let mut fleets: Vec<Fleet> = (0..DAEMONS).map(|_| Fleet::default()).collect();
    for fleet in &mut fleets {
        for number in 0..servers {
            fleet.update(entry(number));
        }
    }
    let service = ServiceName::try_from("ledger").expect("a valid name");
    let in_flight =
        InFlightRequest { size: GenerationSize::default(), responding: false };
    let mut running: Vec<(u64, usize, ServerName)> = Vec::new();
    let mut due: IndexMap<usize, u64> = IndexMap::new();
    let (mut late, mut next) = (0, 0);
    let last = arrivals.last().map_or(0, |(at, _)| *at) + 2000;
    for ms in 0..last {
        while arrivals.get(next).is_some_and(|(at, _)| *at == ms) {
            due.insert(next, ms);
            next += 1;
        }
        for (_, number, at) in running.extract_if(.., |(end, ..)| *end <= ms) {
            let fleet = &mut fleets[number % DAEMONS as usize];
            fleet.end_request(fleet.key(&at).expect("it is listed"), in_flight);
            let arrived = arrivals[number].0;
            late += u32::from(ms - arrived > OBJECTIVE.as_millis() as u64);
        }
        let due_now: Vec<usize> =
            due.iter().filter(|(_, at)| **at == ms).map(|(number, _)| *number).collect();
        for number in due_now {
            due.swap_remove(&number);
            let daemon = number % DAEMONS as usize;
            let mut rejected_by: Vec<ServerName> = Vec::new();
            let sent = loop {
                let fleet = &fleets[daemon];
                let available = fleet.available(&service, now);
                let untried = available
                    .filter(|(_, server)| !rejected_by.contains(&server.entry.name));
                let chosen = choose(untried, &domain(number), now);
                let Some(chosen) = chosen else { break None };
                let name = fleet.get(chosen.key).expect("it is there").entry.name.clone();
                let here = running.iter().filter(|(_, _, at)| *at == name).count();
                match here < SLOTS as usize {
                    true => break Some((chosen.key, name)),
                    false => rejected_by.push(name),
                }
            };
            match sent {
                Some((key, name)) => {
                    fleets[daemon].begin_request(key, in_flight);
                    running.push((ms + arrivals[number].1, number, name));
                }
                None => drop(due.insert(number, ms + 500)),
            }
        }
    }
    f64::from(late) / arrivals.len() as f64
}

#[test]
fn few_slots_serve_bursts_of_many_daemons() {
    // Thirty daemons send 250 requests a second of 30 ms, two at a time, to two servers
    // with six slots: five in eight slots are taken in the mean. With their own counts
    // alone some daemons find both servers full, and the callers retry half a second later;
    // in the queue these requests wait for some milliseconds.
    let load = arrivals(1, 20_000, 250.0);
    let (own, (queued, _)) = (run_by_own_counts(2, &load), run_queued(2, &load, None));
    assert!(own > 0.09, "{own:.4} late by own counts");
    assert!(queued < 0.002, "{queued:.4} late in the queue, {own:.4} by own counts");
}

#[test]
fn most_requests_are_on_time_under_overload() {
    // For twenty seconds the load exceeds the capacity of two servers by a fifth. If all
    // requests were allowed to wait, all would be late; those that are late already are
    // refused at once, and the rest is on time.
    let load = arrivals(3, 20_000, 480.0);
    let (late, _) = run_queued(2, &load, None);
    assert!(late < 0.3, "{late:.3} late or refused where 0.17 can't be served");
}

#[test]
fn requests_that_would_wait_too_long_are_refused_at_once() {
    // The load is twice the capacity of two servers. Requests that would wait for longer
    // than their callers are refused when they arrive, with the time after which there is
    // room; none is held until its caller stops waiting.
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.update_servers(listed(2), now);
    for number in 0..700 {
        queue.push(key(number), request(number), now);
    }
    let (mut granted, mut refused) = (0, 0);
    while let Some(decision) = queue.next_decision(now) {
        match decision {
            QueueDecision::Grant(..) => granted += 1,
            QueueDecision::Full(_, wait) => {
                refused += 1;
                assert!(wait > Duration::from_millis(1200), "{wait:?}");
            }
            QueueDecision::NoServer(_) => panic!("there are servers"),
        }
    }
    assert_eq!(granted, 2 * (SLOTS + EXTRA_PERMITS) as usize);
    // 1,200 ms for twelve slots and 30 ms each.
    assert_eq!(refused + queue.len(), 700 - granted);
    assert!((475..=485).contains(&queue.len()), "{}", queue.len());
}

#[test]
fn a_failing_server_gets_few_requests() {
    // One of three servers fails all requests and appears idle, since it fails fast. After
    // the first failures requests go to the other two, and now and then to the failing one,
    // so that its recovery is noticed.
    let load = arrivals(2, 20_000, 150.0);
    let (_, failed) = run_queued(3, &load, Some(0));
    assert!(failed > 0.0, "it is never tried again");
    assert!(failed < 0.05, "{failed:.4} failed");
}

#[test]
fn permits_of_a_dead_daemon_expire() {
    // A daemon takes all permits and dies. Its requests never finish; when its callers have
    // stopped waiting, other daemons get the permits.
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.update_servers(listed(1), now);
    for number in 0..u64::from(SLOTS + EXTRA_PERMITS) {
        queue.push((MemberId(1), number), request(0), now);
        assert!(matches!(queue.next_decision(now), Some(QueueDecision::Grant(..))));
    }
    queue.push((MemberId(2), 1), request(0), now);
    assert_eq!(queue.next_decision(now + Duration::from_millis(100)), None);
    let later = now + Duration::from_millis(1250);
    queue.push((MemberId(2), 2), request(0), later);
    let decisions: Vec<_> = std::iter::from_fn(|| queue.next_decision(later)).collect();
    let granted = QueueDecision::Grant((MemberId(2), 2), server(0));
    assert!(decisions.contains(&granted), "{decisions:?}");
}

#[test]
fn a_server_that_two_daemons_can_not_reach_gets_no_requests() {
    // A server is gone and still listed. Two daemons fail to connect to it; the next
    // requests go to the other server, even if they have to wait there.
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.update_servers(listed(2), now);
    let mut number = 0;
    let mut reports = 0;
    while reports < 2 {
        let key = key(number);
        queue.push(key, request(0), now);
        let Some(QueueDecision::Grant(_, at)) = queue.next_decision(now) else {
            panic!("there is room")
        };
        let is_gone = at == server(0);
        reports += u32::from(is_gone);
        let outcome =
            if is_gone { PermitOutcome::Unreachable } else { PermitOutcome::Answered };
        queue.release(key, outcome, now);
        number += 1;
    }
    for number in 100..100 + u64::from(SLOTS + EXTRA_PERMITS) {
        queue.push(key(number), request(0), now);
        let expected = QueueDecision::Grant(key(number), server(1));
        assert_eq!(queue.next_decision(now), Some(expected));
    }
    queue.push(key(200), request(0), now);
    assert_eq!(queue.next_decision(now), None);
}

#[test]
fn a_rejection_starts_a_backoff() {
    // Daemons that bypass the queue have taken a server's slots. It rejects a request and
    // gets no further ones until a slot may be free.
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.update_servers(listed(1), now);
    queue.push(key(1), request(0), now);
    assert!(matches!(queue.next_decision(now), Some(QueueDecision::Grant(..))));
    queue.release(key(1), PermitOutcome::Rejected, now);
    queue.push(key(2), request(0), now);
    assert_eq!(queue.next_decision(now), None);
    let backoff_end = queue.next_decision_at(now).expect("the backoff ends");
    assert!(backoff_end <= now + Duration::from_millis(10));
    assert!(matches!(queue.next_decision(backoff_end), Some(QueueDecision::Grant(..))));
}

/// Guards against a plain server that takes few requests and gets all that fit its slots.
#[test]
fn a_server_gets_no_more_than_its_limit() {
    let start = Instant::now();
    let mut queue = PermitQueue::default();
    let mut servers = listed(2);
    servers[0].limit = RequestRate::try_from(2.0).ok();
    queue.update_servers(servers, start);
    let mut granted = [0, 0];
    for number in 0..400 {
        let now = start + Duration::from_millis(10 * number);
        queue.push(key(number), request(number), now);
        while let Some(decision) = queue.next_decision(now) {
            let QueueDecision::Grant(key, at) = decision else {
                panic!("{decision:?}");
            };
            granted[usize::from(at == server(1))] += 1;
            queue.release(key, PermitOutcome::Answered, now);
        }
    }
    assert!((6..=8).contains(&granted[0]), "{granted:?} in 4 s");
    assert_eq!(granted[0] + granted[1], 400);
}

/// Guards against requests that wait for their whole time where all servers take few.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let start = Instant::now();
    let mut queue = PermitQueue::default();
    let mut servers = listed(1);
    servers[0].limit = RequestRate::try_from(1.0).ok();
    queue.update_servers(servers, start);
    for number in 0..5 {
        queue.push(key(number), request(number), start);
    }
    let refused =
        std::iter::from_fn(|| queue.next_decision(start)).collect::<Vec<QueueDecision>>();
    let is_refusal =
        |decision: &QueueDecision| matches!(decision, QueueDecision::Full(..));
    assert_eq!(refused.len(), 4, "{refused:?}");
    assert!(refused.iter().all(is_refusal), "{refused:?}");
}

/// Guards against a server that gets all its permits the moment it is back, and against any bound
/// where the setting is off or the queue's holder is new.
#[test]
fn a_server_that_is_back_gets_permits_as_it_answers() {
    let start = Instant::now();
    let grants = |is_paced, before: &[ListedServer]| {
        let mut queue = PermitQueue::default();
        queue.set_paced(is_paced);
        queue.update_servers(before.to_vec(), start);
        queue.update_servers(listed(1), start);
        (0..30).for_each(|number| queue.push(key(number), request(number), start));
        let mut running: Vec<RequestKey> = Vec::new();
        let round = |round: u64| {
            let now = start + Duration::from_millis(20 * round);
            for key in running.drain(..) {
                queue.release(key, PermitOutcome::Answered, now);
            }
            while let Some(QueueDecision::Grant(key, _)) = queue.next_decision(now) {
                running.push(key);
            }
            running.len()
        };
        (0..3).map(round).collect::<Vec<_>>()
    };
    assert_eq!(grants(true, &listed(2)[1..]), [2, 4, 10]);
    assert_eq!(grants(true, &[]), [10, 10, 10]);
    assert_eq!(grants(false, &listed(2)[1..]), [10, 10, 10]);
}

/// Guards against a queue that ends because a server lists more slots than can be counted.
#[test]
fn any_number_of_slots_can_be_queued_for() {
    let (mut queue, now) = (PermitQueue::default(), Instant::now());
    let listed = listed(1).into_iter();
    let listed = listed.map(|entry| ListedServer { slots: u32::MAX, ..entry });
    queue.update_servers(listed.collect(), now);
    queue.push(key(1), request(1), now);
    let granted = QueueDecision::Grant(key(1), server(0));
    assert_eq!(queue.next_decision(now), Some(granted));
}
