//! A pool of backend servers under requests that crash every server that runs them.
//!
//! Among harmless requests, callers send a crashing request again under new ids, one
//! copy after another. Each crashing request costs at most two backend servers and is
//! refused from then on, and all harmless requests complete. Servers that fail for
//! other reasons don't cause a request to be blocked that completes.

use std::time::Instant;

use chestnut_base::{Digest, Incarnation, ServerName};
use chestnut_crash::evidence::CRASH_WINDOW;
use chestnut_crash::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: usize = 4;

/// One copy of a request sent by a caller.
#[derive(Debug, Clone)]
struct Request {
    digest: u8,
    in_flight: Option<(usize, DispatchId)>,
    finished: bool,
}

#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a request; digests below `harmful_digests` crash servers.
    Submit(u8),
    /// One of the waiting requests is to be dispatched to a server.
    TryDispatch { request: usize, server: usize },
    /// One of the requests in flight completes or crashes its server.
    Finish { request: usize },
    /// A server fails for another reason.
    Fail { server: usize },
}

struct Pool {
    isolate_suspects: bool,
    harmful_digests: u8,
    tracker: CrashTracker,
    now: Instant,
    requests: Vec<Request>,
    /// Crashed servers per harmful digest.
    crashes_caused: Vec<u32>,
}

fn server(number: usize) -> Incarnation {
    let server = ServerName::try_from(format!("r{number}")).expect("a valid name");
    Incarnation { server, started_at: None }
}

fn digest(number: u8) -> Digest {
    Digest(u128::from(number))
}

impl Pool {
    fn new(isolate_suspects: bool, harmful_digests: u8) -> Self {
        let (tracker, now) = (CrashTracker::new(), Instant::now());
        let crashes_caused = vec![0; usize::from(harmful_digests)];
        Self {
            isolate_suspects,
            harmful_digests,
            tracker,
            now,
            requests: Vec::new(),
            crashes_caused,
        }
    }

    fn apply(&mut self, op: &Op) {
        self.now += CRASH_WINDOW;
        match *op {
            Op::Submit(digest) => {
                // Copies of a harmful request are sent one after another.
                let mut requests = self.requests.iter();
                let has_unfinished_copy =
                    requests.any(|request| request.digest == digest && !request.finished);
                if !has_unfinished_copy || digest >= self.harmful_digests {
                    self.requests.push(Request {
                        digest,
                        in_flight: None,
                        finished: false,
                    });
                }
            }
            Op::TryDispatch { request, server } => {
                self.with_request(request, false, |pool, index| {
                    pool.try_dispatch(index, server)
                })
            }
            Op::Finish { request } => self.with_request(request, true, Self::finish),
            Op::Fail { server } => self.crash(server),
        }
    }

    fn with_request(
        &mut self,
        pick: usize,
        is_in_flight: bool,
        act: impl FnOnce(&mut Self, usize),
    ) {
        let matches = |request: &Request| {
            !request.finished && request.in_flight.is_some() == is_in_flight
        };
        let matching: Vec<usize> = (0..self.requests.len())
            .filter(|&index| matches(&self.requests[index]))
            .collect();
        if !matching.is_empty() {
            act(self, matching[pick % matching.len()]);
        }
    }

    fn try_dispatch(&mut self, index: usize, number: usize) {
        let digest = digest(self.requests[index].digest);
        match self.tracker.try_dispatch(&server(number), digest, self.now) {
            DispatchDecision::Dispatch(id) => {
                self.requests[index].in_flight = Some((number, id))
            }
            DispatchDecision::Refuse => self.requests[index].finished = true,
            DispatchDecision::WaitUntil(_) => {}
            DispatchDecision::Wait if self.isolate_suspects => {}
            DispatchDecision::Wait => {
                // Without isolation it runs beside the other suspect: it is dispatched
                // with an unknown digest, but still counts as the cause of its crash.
                let unknown = Digest(u128::MAX - index as u128);
                if let DispatchDecision::Dispatch(id) =
                    self.tracker.try_dispatch(&server(number), unknown, self.now)
                {
                    self.requests[index].in_flight = Some((number, id));
                }
            }
        }
    }

    fn finish(&mut self, index: usize) {
        let request = self.requests[index].clone();
        let Some((number, id)) = request.in_flight else { return };
        if request.digest < self.harmful_digests {
            self.crashes_caused[usize::from(request.digest)] += 1;
            self.requests[index].finished = true;
            self.crash(number);
        } else {
            self.tracker.finish(&server(number), id, true);
            self.requests[index].finished = true;
        }
    }

    fn crash(&mut self, number: usize) {
        self.tracker.record_crash(&server(number), self.now);
        for request in &mut self.requests {
            if request.in_flight.is_some_and(|(server, _)| server == number) {
                // Harmless requests are retried; a crashing one is sent as a new copy.
                request.in_flight = None;
            }
        }
    }

    /// Runs all harmless requests until they complete.
    fn finish_harmless(&mut self) {
        for _ in 0..4 * self.requests.len() {
            for server in 0..SERVERS {
                self.apply(&Op::TryDispatch { request: server, server });
            }
            self.apply(&Op::Finish { request: 0 });
        }
    }
}

fn op(failure_weight: u32, digests: u8) -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..digests).prop_map(Op::Submit),
        10 => (0..64usize, 0..SERVERS)
            .prop_map(|(request, server)| Op::TryDispatch { request, server }),
        6 => (0..64usize).prop_map(|request| Op::Finish { request }),
        failure_weight => (0..SERVERS).prop_map(|server| Op::Fail { server }),
    ]
}

/// When suspects run beside each other, a crash identifies none of them and further
/// servers crash.
#[test]
fn more_servers_crash_without_isolation() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let found = TestRunner::new_with_rng(config, rng).run(
        &prop::collection::vec(op(0, 3), 1..200),
        |ops| {
            let mut pool = Pool::new(false, 1);
            ops.iter().for_each(|op| pool.apply(op));
            prop_assert!(
                pool.crashes_caused[0] <= 2,
                "{} servers crashed",
                pool.crashes_caused[0]
            );
            Ok(())
        },
    );
    let error = found.expect_err("a violation").to_string();
    assert!(error.contains("3 servers crashed"), "{error}");
}

/// An innocent suspect is sent to a server that is already dying: both cut streams
/// belong to one crash.
#[test]
fn second_cut_at_a_dying_server_does_not_block() {
    let (mut tracker, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    tracker.try_dispatch(&server(0), innocent, now);
    tracker.try_dispatch(&server(0), digest(0), now);
    tracker.record_crash(&server(0), now);
    tracker.try_dispatch(&server(0), innocent, now);
    tracker.record_crash(&server(0), now + CRASH_WINDOW / 50);
    assert_eq!(tracker.status(innocent, now), Some(DigestStatus::Suspect));
}

/// Guards against refusing a harmless request for a day: two servers fail with their
/// rack within 50 ms, while the request is in flight on the first and then, after a
/// retry, on the second.
#[test]
fn servers_that_fail_together_do_not_block() {
    let (mut tracker, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    tracker.try_dispatch(&server(0), innocent, now);
    tracker.try_dispatch(&server(0), digest(2), now);
    tracker.record_crash(&server(0), now);
    tracker.try_dispatch(&server(1), innocent, now);
    tracker.record_crash(&server(1), now + CRASH_WINDOW / 20);
    assert_eq!(tracker.status(innocent, now), Some(DigestStatus::Suspect));
}

/// As above, but another daemon observed the first crash and reported it.
#[test]
fn crash_right_after_a_report_does_not_block() {
    let (mut tracker, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    let report = StatusChange { digest: innocent, status: Some(DigestStatus::Suspect) };
    tracker.apply(report, now);
    tracker.try_dispatch(&server(1), innocent, now);
    tracker.record_crash(&server(1), now + CRASH_WINDOW / 200);
    assert_eq!(tracker.status(innocent, now), Some(DigestStatus::Suspect));
}

/// As above with more servers, one of which the request was not on. That one shows that
/// servers fail for another reason, whichever crash is detected first.
#[test]
fn failure_of_several_servers_does_not_block() {
    let delay = CRASH_WINDOW / 20;
    for other_server_first in [true, false] {
        let (mut tracker, now) = (CrashTracker::new(), Instant::now());
        let innocent = digest(1);
        for number in 0..3 {
            if number == 2 && other_server_first {
                tracker.record_crash(&server(3), now + delay * 2);
            }
            tracker.try_dispatch(&server(number), innocent, now);
            tracker.record_crash(&server(number), now + delay * number as u32);
        }
        if !other_server_first {
            tracker.record_crash(&server(3), now + delay * 3);
        }
        assert_ne!(tracker.status(innocent, now), Some(DigestStatus::Blocked));
    }
}

/// A request that crashes each server within milliseconds and is retried at once.
#[test]
fn fast_crashing_request_costs_two_servers() {
    let (mut tracker, mut now) = (CrashTracker::new(), Instant::now());
    tracker.try_dispatch(&server(0), digest(0), now);
    tracker.record_crash(&server(0), now);
    let DispatchDecision::WaitUntil(window_end) =
        tracker.try_dispatch(&server(1), digest(0), now)
    else {
        panic!("dispatched to a second server within the crash window");
    };
    now = window_end;
    assert!(matches!(
        tracker.try_dispatch(&server(1), digest(0), now),
        DispatchDecision::Dispatch(_)
    ));
    tracker.record_crash(&server(1), now + CRASH_WINDOW / 20);
    assert_eq!(tracker.status(digest(0), now), Some(DigestStatus::Blocked));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn one_harmful_request_costs_two_servers(
        ops in prop::collection::vec(op(0, 8), 1..200),
    ) {
        let mut pool = Pool::new(true, 1);
        ops.iter().for_each(|op| pool.apply(op));
        pool.finish_harmless();
        prop_assert!(
            pool.crashes_caused[0] <= 2,
            "{} servers crashed",
            pool.crashes_caused[0]
        );
        let harmless = |request: &&Request| request.digest >= 1;
        prop_assert!(
            pool.requests.iter().filter(harmless).all(|request| request.finished)
        );
        for number in 1..8 {
            let status = pool.tracker.status(digest(number), pool.now);
            prop_assert_ne!(status, Some(DigestStatus::Blocked));
        }
    }

    #[test]
    fn completed_requests_are_cleared(
        ops in prop::collection::vec(op(1, 8), 1..200),
        number in 0..8u8,
    ) {
        let mut pool = Pool::new(true, 0);
        ops.iter().for_each(|op| pool.apply(op));
        let status = pool.tracker.status(digest(number), pool.now);
        if status != Some(DigestStatus::Blocked) {
            pool.apply(&Op::Submit(number));
            pool.finish_harmless();
            prop_assert_eq!(pool.tracker.status(digest(number), pool.now), None);
        }
    }
}
