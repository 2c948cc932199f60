//! A pool under requests that crash every backend server that runs them.
//!
//! Callers send a crashing request again under new ids, one copy after the other,
//! among harmless ones. Each crashing request costs at most two backend servers,
//! is refused from then on, and everything harmless completes; servers that die
//! for other reasons convict nobody whose request completes.

use std::time::Instant;

use chestnut_base::{Digest, ServerName};
use chestnut_once::suspect::CRASH_WINDOW;
use chestnut_once::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: usize = 4;

/// A request on its way through the pool.
#[derive(Debug, Clone)]
struct Request {
    digest: u8,
    flight: Option<(usize, DispatchId)>,
    over: bool,
}

#[derive(Debug, Clone)]
enum Op {
    /// A caller sends a request; those with small numbers crash servers.
    Send(u8),
    /// A request that waits is offered to a server.
    Offer { request: usize, server: usize },
    /// A request in flight ends, whole or with a crash.
    End { request: usize },
    /// A server dies for a reason of its own.
    Die { server: usize },
}

struct Pool {
    isolate: bool,
    harmful: u8,
    suspects: CrashTracker,
    now: Instant,
    requests: Vec<Request>,
    /// Servers lost per harmful digest.
    lost: Vec<u32>,
}

fn server(number: usize) -> ServerName {
    ServerName::try_from(format!("r{number}")).expect("a valid name")
}

fn digest(number: u8) -> Digest {
    Digest(u128::from(number))
}

impl Pool {
    fn new(isolate: bool, harmful: u8) -> Self {
        let (suspects, now) = (CrashTracker::new(), Instant::now());
        let lost = vec![0; usize::from(harmful)];
        Self { isolate, harmful, suspects, now, requests: Vec::new(), lost }
    }

    fn apply(&mut self, op: &Op) {
        self.now += CRASH_WINDOW;
        match *op {
            Op::Send(digest) => {
                // Copies of a harmful request come one after the other.
                let mut known = self.requests.iter();
                let copy = known.any(|one| one.digest == digest && !one.over);
                if !copy || digest >= self.harmful {
                    self.requests.push(Request { digest, flight: None, over: false });
                }
            }
            Op::Offer { request, server } => {
                self.with(request, false, |pool, at| pool.offer(at, server))
            }
            Op::End { request } => self.with(request, true, Self::end),
            Op::Die { server } => self.crash(server),
        }
    }

    fn with(&mut self, pick: usize, flying: bool, act: impl FnOnce(&mut Self, usize)) {
        let fits = |one: &Request| !one.over && one.flight.is_some() == flying;
        let fitting: Vec<usize> =
            (0..self.requests.len()).filter(|&at| fits(&self.requests[at])).collect();
        if !fitting.is_empty() {
            act(self, fitting[pick % fitting.len()]);
        }
    }

    fn offer(&mut self, at: usize, number: usize) {
        let digest = digest(self.requests[at].digest);
        match self.suspects.try_dispatch(&server(number), digest, self.now) {
            DispatchDecision::Dispatch(id) => {
                self.requests[at].flight = Some((number, id))
            }
            DispatchDecision::Refuse => self.requests[at].over = true,
            DispatchDecision::WaitUntil(_) => {}
            DispatchDecision::Wait if self.isolate => {}
            DispatchDecision::Wait => {
                // Without isolation it runs beside the other suspect: it is let in
                // as an unknown digest and the crash is still its own.
                let unknown = Digest(u128::MAX - at as u128);
                if let DispatchDecision::Dispatch(id) =
                    self.suspects.try_dispatch(&server(number), unknown, self.now)
                {
                    self.requests[at].flight = Some((number, id));
                }
            }
        }
    }

    fn end(&mut self, at: usize) {
        let request = self.requests[at].clone();
        let Some((number, id)) = request.flight else { return };
        if request.digest < self.harmful {
            self.lost[usize::from(request.digest)] += 1;
            self.requests[at].over = true;
            self.crash(number);
        } else {
            self.suspects.finish(&server(number), id, true);
            self.requests[at].over = true;
        }
    }

    fn crash(&mut self, number: usize) {
        self.suspects.record_crash(&server(number), self.now);
        for request in &mut self.requests {
            if request.flight.is_some_and(|(at, _)| at == number) {
                // Harmless requests run again; a crashing one's caller sends anew.
                request.flight = None;
            }
        }
    }

    /// Lets everything harmless run to its end.
    fn drain(&mut self) {
        for _ in 0..4 * self.requests.len() {
            for server in 0..SERVERS {
                self.apply(&Op::Offer { request: server, server });
            }
            self.apply(&Op::End { request: 0 });
        }
    }
}

fn op(deaths: u32, kinds: u8) -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..kinds).prop_map(Op::Send),
        10 => (0..64usize, 0..SERVERS)
            .prop_map(|(request, server)| Op::Offer { request, server }),
        6 => (0..64usize).prop_map(|request| Op::End { request }),
        deaths => (0..SERVERS).prop_map(|server| Op::Die { server }),
    ]
}

/// CrashTracker run beside each other: a crash names nobody, and servers go on dying.
#[test]
fn more_servers_are_lost_without_isolation() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let found = TestRunner::new_with_rng(config, rng).run(
        &prop::collection::vec(op(0, 3), 1..200),
        |ops| {
            let mut pool = Pool::new(false, 1);
            ops.iter().for_each(|op| pool.apply(op));
            prop_assert!(pool.lost[0] <= 2, "{} servers lost", pool.lost[0]);
            Ok(())
        },
    );
    let error = found.expect_err("a broken promise").to_string();
    assert!(error.contains("3 servers lost"), "{error}");
}

/// An innocent suspect is handed to a server that is dying already: both cuts are
/// one crash, and it is not convicted.
#[test]
fn a_dying_server_convicts_nobody_twice() {
    let (mut suspects, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    suspects.try_dispatch(&server(0), innocent, now);
    suspects.try_dispatch(&server(0), digest(0), now);
    suspects.record_crash(&server(0), now);
    suspects.try_dispatch(&server(0), innocent, now);
    suspects.record_crash(&server(0), now + CRASH_WINDOW / 50);
    assert_eq!(suspects.status(innocent, now), Some(DigestStatus::Suspect));
}

/// A letter is refused for a day though nothing is wrong with it: two servers die with
/// their rack within 50 ms, and the letter was in flight at the first, sent again, and
/// in flight at the second.
#[test]
fn servers_that_die_together_convict_nobody() {
    let (mut suspects, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    suspects.try_dispatch(&server(0), innocent, now);
    suspects.try_dispatch(&server(0), digest(2), now);
    suspects.record_crash(&server(0), now);
    suspects.try_dispatch(&server(1), innocent, now);
    suspects.record_crash(&server(1), now + CRASH_WINDOW / 20);
    assert_eq!(suspects.status(innocent, now), Some(DigestStatus::Suspect));
}

/// The same where another daemon saw the first crash and told of it.
#[test]
fn a_suspicion_just_heard_of_convicts_nobody() {
    let (mut suspects, now) = (CrashTracker::new(), Instant::now());
    let innocent = digest(1);
    let heard = StatusChange { digest: innocent, status: Some(DigestStatus::Suspect) };
    suspects.apply(heard, now);
    suspects.try_dispatch(&server(1), innocent, now);
    suspects.record_crash(&server(1), now + CRASH_WINDOW / 200);
    assert_eq!(suspects.status(innocent, now), Some(DigestStatus::Suspect));
}

/// The same with a third server, at which the letter was not: something else kills
/// servers, whichever crash is noticed first.
#[test]
fn a_wider_failure_convicts_nobody() {
    let later = CRASH_WINDOW / 20;
    for bystander_first in [true, false] {
        let (mut suspects, now) = (CrashTracker::new(), Instant::now());
        let innocent = digest(1);
        for number in 0..3 {
            if number == 2 && bystander_first {
                suspects.record_crash(&server(3), now + later * 2);
            }
            suspects.try_dispatch(&server(number), innocent, now);
            suspects.record_crash(&server(number), now + later * number as u32);
        }
        if !bystander_first {
            suspects.record_crash(&server(3), now + later * 3);
        }
        assert_ne!(suspects.status(innocent, now), Some(DigestStatus::Blocked));
    }
}

/// A request that kills each server within milliseconds, sent again at once, costs two.
#[test]
fn a_fast_killer_costs_two_servers() {
    let (mut suspects, mut now) = (CrashTracker::new(), Instant::now());
    suspects.try_dispatch(&server(0), digest(0), now);
    suspects.record_crash(&server(0), now);
    let DispatchDecision::WaitUntil(settled) =
        suspects.try_dispatch(&server(1), digest(0), now)
    else {
        panic!("sent to a second server while the first dies");
    };
    now = settled;
    assert!(matches!(
        suspects.try_dispatch(&server(1), digest(0), now),
        DispatchDecision::Dispatch(_)
    ));
    suspects.record_crash(&server(1), now + CRASH_WINDOW / 20);
    assert_eq!(suspects.status(digest(0), now), Some(DigestStatus::Blocked));
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
        pool.drain();
        prop_assert!(pool.lost[0] <= 2, "{} servers lost", pool.lost[0]);
        let harmless = |one: &&Request| one.digest >= 1;
        prop_assert!(pool.requests.iter().filter(harmless).all(|one| one.over));
        for number in 1..8 {
            let evidence = pool.suspects.status(digest(number), pool.now);
            prop_assert_ne!(evidence, Some(DigestStatus::Blocked));
        }
    }

    #[test]
    fn harmless_requests_are_cleared_by_completing(
        ops in prop::collection::vec(op(1, 8), 1..200),
        number in 0..8u8,
    ) {
        let mut pool = Pool::new(true, 0);
        ops.iter().for_each(|op| pool.apply(op));
        let convicted = pool.suspects.status(digest(number), pool.now);
        if convicted != Some(DigestStatus::Blocked) {
            pool.apply(&Op::Send(number));
            pool.drain();
            prop_assert_eq!(pool.suspects.status(digest(number), pool.now), None);
        }
    }
}
