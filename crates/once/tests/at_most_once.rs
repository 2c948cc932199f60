//! The promises of the journal under any order of events and faults.
//!
//! Callers see at most one run of their request, whatever they send twice and to
//! whom; never a "not run" after a run; one and the same whole answer, and no
//! one else's. Daemons are frozen (they take no steps), lose their slot, wake up
//! and go on; they die; acknowledgements get lost and changes arrive late.
//! For each safeguard, the same search without it finds a broken promise.

mod model;

use std::panic::{AssertUnwindSafe, catch_unwind};

use model::{Guard, Link, Op, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const IDS: u8 = 3;
const CASES: u32 = 1500;

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        8 => Just(Link::Good),
        1 => Just(Link::Lost),
        1 => Just(Link::Late),
        1 => Just(Link::Down),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let daemon = 0..3usize;
    prop_oneof![
        6 => (daemon.clone(), 0..IDS, prop_oneof![9 => Just(0u8), 1 => Just(1u8)])
            .prop_map(|(daemon, id, body)| Op::Ask { daemon, id, body }),
        1 => (daemon.clone(), 0..IDS).prop_map(|(daemon, id)| Op::Lookup { daemon, id }),
        14 => (daemon.clone(), link()).prop_map(|(daemon, link)| Op::Step { daemon, link }),
        1 => Just(Op::Arrive),
        4 => (0..4usize).prop_map(|run| Op::Dispatch { run }),
        2 => (0..4usize).prop_map(|run| Op::Refuse { run }),
        3 => (0..4usize, prop::bool::weighted(0.7))
            .prop_map(|(run, whole)| Op::End { run, whole }),
        1 => daemon.clone().prop_map(|daemon| Op::Takeover { daemon }),
        1 => daemon.clone().prop_map(|daemon| Op::Release { daemon }),
        2 => daemon.clone().prop_map(|daemon| Op::Notice { daemon }),
        1 => daemon.prop_map(|daemon| Op::Crash { daemon }),
        3 => (1..800u16).prop_map(|millis| Op::Pass { millis }),
    ]
}

/// Searches for a broken promise with the same seeds every time.
fn search(guard: Guard, ids: usize) -> Result<(), String> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..120);
    let outcome = runner.run(&ops, |ops| {
        let mut world = World::new(guard, ids);
        for op in &ops {
            world.apply(op);
        }
        world.settle(IDS);
        Ok(())
    });
    outcome.map_err(|error| error.to_string())
}

/// Searches without a safeguard; the panics of the failing cases are not shown.
fn must_break(guard: Guard, ids: usize) {
    let found = catch_unwind(AssertUnwindSafe(|| search(guard, ids)));
    let error = found.expect("the search itself ends").expect_err("a broken promise");
    println!("{guard:?}: {error}");
}

#[test]
fn holds_under_any_order_of_faults() {
    search(Guard::All, 1000).unwrap();
}

#[test]
fn holds_when_memory_keeps_few_ids() {
    search(Guard::All, 1).unwrap();
}

#[test]
fn breaks_if_the_table_checks_neither_claims_nor_rows() {
    must_break(Guard::NoFence, 1000);
}

#[test]
fn breaks_if_dropped_ids_are_not_checked() {
    must_break(Guard::NoAbsent, 1);
}

#[test]
fn breaks_if_a_lost_acknowledgement_counts_as_success() {
    must_break(Guard::NoReadBack, 1000);
}

#[test]
fn breaks_if_a_new_lead_does_not_read_the_journal() {
    must_break(Guard::NoRecovery, 1000);
}

#[test]
fn breaks_if_a_new_lead_does_not_seal_the_log() {
    must_break(Guard::NoSeal, 1000);
}

#[test]
fn breaks_if_a_new_lead_does_not_read_the_log() {
    must_break(Guard::NoLog, 1000);
}

fn good(daemon: usize) -> Op {
    Op::Step { daemon, link: Link::Good }
}

fn ask(daemon: usize) -> Op {
    Op::Ask { daemon, id: 0, body: 0 }
}

fn play(guard: Guard, ops: &[Op]) -> World {
    let mut world = World::new(guard, 1000);
    for op in ops {
        world.apply(op);
    }
    world
}

/// A request is refused as the backend servers are full; the caller sends it again
/// and it runs. The removal of the first start's row was thought lost and arrives
/// only now. Then the slot moves, and the caller sends the request once more.
fn late_removal() -> Vec<Op> {
    let pass = Op::Pass { millis: 10 };
    let late = Op::Step { daemon: 0, link: Link::Late };
    // The slot is opened and its log tidied up first.
    let mut ops = vec![good(0), pass.clone(), good(0)];
    ops.extend([ask(0), good(0), good(0), Op::Refuse { run: 0 }]);
    ops.extend([pass.clone(), late, good(0), ask(0), pass, good(0), good(0)]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Arrive, Op::Takeover { daemon: 1 }]);
    ops.extend([good(1), ask(1), good(1), good(1), Op::Dispatch { run: 0 }]);
    ops
}

/// A daemon is frozen and loses its slot; the request runs elsewhere. It wakes up
/// while the platform is down and gets the same request.
fn woken_in_an_outage() -> Vec<Op> {
    let down = Op::Step { daemon: 0, link: Link::Down };
    let mut ops = vec![good(0), Op::Takeover { daemon: 1 }, good(1), ask(1), good(1)];
    ops.extend([good(1), Op::Dispatch { run: 0 }, ask(0), down.clone()]);
    // The object store is down as well.
    ops.extend([Op::Pass { millis: 10 }, down]);
    ops
}

/// The start of a letter is thought lost, and the object store is down, so that it
/// is refused. It comes again together with another one; their transaction is
/// really lost. Before it is sent again the first start arrives. The second letter
/// must not be taken for recorded; else it runs again after a takeover.
fn late_start() -> Vec<Op> {
    let step = |link| Op::Step { daemon: 0, link };
    let ask = |daemon, id| Op::Ask { daemon, id, body: 0 };
    let pass = |millis| Op::Pass { millis };
    let mut ops = vec![good(0), pass(10), good(0)];
    ops.extend([ask(0, 0), step(Link::Late), pass(10), step(Link::Down), pass(240)]);
    ops.extend([ask(0, 1), ask(0, 0), ask(0, 2), good(0), good(0), pass(5)]);
    ops.extend([step(Link::Late), Op::Arrive, good(0), pass(10), good(0), good(0)]);
    ops.extend([good(0), good(0), good(0), Op::Dispatch { run: 0 }]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Dispatch { run: 0 }]);
    ops.extend([Op::Takeover { daemon: 1 }, good(1), ask(1, 2), pass(10), good(1)]);
    ops.extend([good(1), good(1), Op::Dispatch { run: 0 }]);
    ops
}

#[test]
fn a_late_start_does_not_stand_for_others() {
    play(Guard::All, &late_start()).settle(IDS);
}

#[test]
#[should_panic(expected = "letter-2 ran 2 times")]
fn breaks_if_a_row_of_the_attempt_stands_for_the_transaction() {
    play(Guard::NoStamp, &late_start());
}

#[test]
fn a_late_removal_does_not_free_a_run_id() {
    play(Guard::All, &late_removal()).settle(IDS);
}

#[test]
#[should_panic(expected = "letter-0 ran 2 times")]
fn breaks_if_removals_do_not_check_versions() {
    play(Guard::NoVersion, &late_removal());
}

#[test]
fn a_woken_daemon_does_not_say_not_run() {
    play(Guard::All, &woken_in_an_outage()).settle(IDS);
}

#[test]
#[should_panic(expected = "told not run, but it ran")]
fn breaks_if_a_paused_daemon_trusts_its_memory() {
    play(Guard::NoLease, &woken_in_an_outage());
}
