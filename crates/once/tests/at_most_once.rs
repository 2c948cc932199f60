//! The guarantees of the journal under random orders of events and faults.
//!
//! A request runs at most once, however often and to whichever daemon it is sent. It
//! is never reported as not run after it ran, and every copy gets the same complete
//! response, which belongs to that run. Daemons are suspended, lose their slot and
//! resume; they crash; responses of the platform get lost and writes take effect late.
//! For each safeguard, the same search with the safeguard disabled must find a
//! violation.

mod model;

use std::panic::{AssertUnwindSafe, catch_unwind};

use model::{Delivery, Disabled, Op, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const IDS: u8 = 3;
const CASES: u32 = 1500;

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Normal),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Unavailable),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let daemon = 0..3usize;
    prop_oneof![
        6 => (daemon.clone(), 0..IDS, prop_oneof![9 => Just(0u8), 1 => Just(1u8)])
            .prop_map(|(daemon, id, body)| Op::Submit { daemon, id, body }),
        1 => (daemon.clone(), 0..IDS).prop_map(|(daemon, id)| Op::Lookup { daemon, id }),
        14 => (daemon.clone(), delivery())
            .prop_map(|(daemon, delivery)| Op::Step { daemon, delivery }),
        1 => Just(Op::ApplyDelayed),
        4 => (0..4usize).prop_map(|run| Op::Dispatch { run }),
        2 => (0..4usize).prop_map(|run| Op::Refuse { run }),
        3 => (0..4usize, prop::bool::weighted(0.7))
            .prop_map(|(run, completed)| Op::Finish { run, completed }),
        1 => daemon.clone().prop_map(|daemon| Op::Takeover { daemon }),
        1 => daemon.clone().prop_map(|daemon| Op::Release { daemon }),
        2 => daemon.clone().prop_map(|daemon| Op::RefreshView { daemon }),
        1 => (daemon.clone(), prop::bool::ANY)
            .prop_map(|(daemon, reachable)| Op::SetTable { daemon, reachable }),
        1 => daemon.prop_map(|daemon| Op::Crash { daemon }),
        3 => (1..800u16).prop_map(|millis| Op::Advance { millis }),
        // Beyond the wait limit of a start.
        1 => (2500..4000u16).prop_map(|millis| Op::Advance { millis }),
    ]
}

/// Searches for a violation, with the same seed every time.
fn search(disabled: Disabled, max_ids: usize) -> Result<(), String> {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..120);
    let outcome = runner.run(&ops, |ops| {
        let mut simulation = Simulation::new(disabled, max_ids);
        for op in &ops {
            simulation.apply(op);
        }
        simulation.run_without_faults(IDS);
        Ok(())
    });
    outcome.map_err(|error| error.to_string())
}

/// Expects that the search without a safeguard finds a violation.
fn must_fail(disabled: Disabled, max_ids: usize) {
    let found = catch_unwind(AssertUnwindSafe(|| search(disabled, max_ids)));
    let error = found.expect("the search itself ends").expect_err("a violation");
    println!("{disabled:?}: {error}");
}

#[test]
fn at_most_one_run_under_random_faults() {
    search(Disabled::Nothing, 1000).unwrap();
}

#[test]
fn at_most_one_run_with_evicted_ids() {
    search(Disabled::Nothing, 1).unwrap();
}

#[test]
fn fails_without_claim_and_absence_checks() {
    must_fail(Disabled::ClaimAndAbsenceChecks, 1000);
}

#[test]
fn fails_without_absence_checks_for_evicted_ids() {
    must_fail(Disabled::AbsenceChecks, 1);
}

#[test]
fn fails_if_unknown_results_count_as_committed() {
    must_fail(Disabled::UnknownResults, 1000);
}

#[test]
fn fails_if_a_new_holder_does_not_read_the_rows() {
    must_fail(Disabled::RowLoading, 1000);
}

#[test]
fn fails_if_a_new_holder_does_not_seal_the_log() {
    must_fail(Disabled::LogSeal, 1000);
}

#[test]
fn fails_if_a_new_holder_does_not_read_the_log() {
    must_fail(Disabled::LogReading, 1000);
}

fn step(daemon: usize) -> Op {
    Op::Step { daemon, delivery: Delivery::Normal }
}

fn submit(daemon: usize) -> Op {
    Op::Submit { daemon, id: 0, body: 0 }
}

fn simulate(disabled: Disabled, ops: &[Op]) -> Simulation {
    let mut simulation = Simulation::new(disabled, 1000);
    for op in ops {
        simulation.apply(op);
    }
    simulation
}

/// A request is refused because the backend servers are full, sent again and run. The
/// delete of the first start's row was assumed to be lost and takes effect only then.
/// The slot moves, and the caller sends the request once more.
fn delayed_delete() -> Vec<Op> {
    let advance = Op::Advance { millis: 10 };
    let delayed_step = Op::Step { daemon: 0, delivery: Delivery::Delayed };
    // The slot is loaded and its log trimmed first.
    let mut ops = vec![step(0), advance.clone(), step(0)];
    ops.extend([submit(0), step(0), step(0), Op::Refuse { run: 0 }]);
    ops.extend([
        advance.clone(),
        delayed_step,
        step(0),
        submit(0),
        advance,
        step(0),
        step(0),
    ]);
    ops.extend([Op::Dispatch { run: 0 }, Op::ApplyDelayed, Op::Takeover { daemon: 1 }]);
    ops.extend([step(1), submit(1), step(1), step(1), Op::Dispatch { run: 0 }]);
    ops
}

/// A daemon is suspended and loses its slot, and a request runs elsewhere. The daemon
/// resumes during an outage of the platform and gets the same request.
fn resumed_during_outage() -> Vec<Op> {
    let failing_step = Op::Step { daemon: 0, delivery: Delivery::Unavailable };
    let mut ops = vec![step(0), Op::Takeover { daemon: 1 }, step(1), submit(1), step(1)];
    ops.extend([step(1), Op::Dispatch { run: 0 }, submit(0), failing_step.clone()]);
    // The object store is unavailable as well.
    ops.extend([Op::Advance { millis: 10 }, failing_step]);
    ops
}

/// A start is assumed to be lost and the object store is unavailable, so its request is
/// refused. It is sent again together with another one, and their transaction is
/// delayed too. Before it is sent again the first start takes effect. The second
/// request must not count as recorded, or it would run again after a takeover.
fn delayed_start() -> Vec<Op> {
    let step_with = |delivery| Op::Step { daemon: 0, delivery };
    let submit_id = |daemon, id| Op::Submit { daemon, id, body: 0 };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![step(0), advance(10), step(0)];
    ops.extend([
        submit_id(0, 0),
        step_with(Delivery::Delayed),
        advance(10),
        step_with(Delivery::Unavailable),
        advance(240),
    ]);
    ops.extend([
        submit_id(0, 1),
        submit_id(0, 0),
        submit_id(0, 2),
        step(0),
        step(0),
        advance(5),
    ]);
    ops.extend([
        step_with(Delivery::Delayed),
        Op::ApplyDelayed,
        step(0),
        advance(10),
        step(0),
        step(0),
    ]);
    ops.extend([step(0), step(0), step(0), Op::Dispatch { run: 0 }]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Dispatch { run: 0 }]);
    ops.extend([
        Op::Takeover { daemon: 1 },
        step(1),
        submit_id(1, 2),
        advance(10),
        step(1),
    ]);
    ops.extend([step(1), step(1), Op::Dispatch { run: 0 }]);
    ops
}

#[test]
fn delayed_start_does_not_confirm_other_starts() {
    simulate(Disabled::Nothing, &delayed_start()).run_without_faults(IDS);
}

#[test]
#[should_panic(expected = "letter-2 ran 2 times")]
fn fails_if_rows_are_matched_by_attempt() {
    simulate(Disabled::TransactionIds, &delayed_start());
}

#[test]
fn delayed_delete_does_not_permit_a_second_run() {
    simulate(Disabled::Nothing, &delayed_delete()).run_without_faults(IDS);
}

#[test]
#[should_panic(expected = "letter-0 ran 2 times")]
fn fails_if_deletes_do_not_check_versions() {
    simulate(Disabled::VersionChecks, &delayed_delete());
}

#[test]
fn resumed_daemon_does_not_report_not_run() {
    simulate(Disabled::Nothing, &resumed_during_outage()).run_without_faults(IDS);
}

#[test]
#[should_panic(expected = "refused as not run, but it ran")]
fn fails_if_a_suspended_daemon_ignores_its_lease_expiry() {
    simulate(Disabled::LeaseExpiry, &resumed_during_outage());
}

/// A slot load that fails after the claim was lost must not open the slot again.
#[test]
fn load_failure_after_claim_loss_does_not_reopen_the_slot() {
    let unavailable = |daemon| Op::Step { daemon, delivery: Delivery::Unavailable };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![Op::Release { daemon: 1 }, step(1), unavailable(0)];
    ops.extend([advance(700), step(0)]);
    ops.extend([submit(1), step(1), step(1), step(1), Op::Dispatch { run: 0 }]);
    ops.extend([advance(10), submit(0), unavailable(0), unavailable(0), advance(10)]);
    ops.extend([step(0), step(0), step(0), Op::Dispatch { run: 0 }]);
    ops.extend([advance(10), submit(0), advance(10)]);
    ops.extend([step(0), step(0), Op::Dispatch { run: 0 }]);
    simulate(Disabled::Nothing, &ops);
}

/// The late commit of a refused start must not dispatch a newer request of the same id.
#[test]
fn commit_of_a_refused_start_does_not_dispatch_another_request() {
    let body = |daemon, body| Op::Submit { daemon, id: 0, body };
    let beyond_wait_limit = Op::Advance { millis: 2600 };
    let mut ops = vec![step(0), Op::Advance { millis: 10 }, step(0)];
    ops.extend([body(0, 0), beyond_wait_limit, body(0, 1), step(0), step(0)]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Crash { daemon: 0 }]);
    ops.extend([Op::Takeover { daemon: 1 }, step(1), body(1, 1), step(1), step(1)]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// A delete that was in flight when its id was sent again must not join the new start.
#[test]
fn requeued_delete_does_not_remove_the_row_of_a_new_start() {
    let submit_id = |id| Op::Submit { daemon: 0, id, body: 0 };
    let advance = || Op::Advance { millis: 10 };
    let mut ops = vec![step(0), advance(), step(0)];
    for id in [1, 2] {
        ops.extend([submit_id(id), advance(), step(0), step(0)]);
        ops.extend([Op::Dispatch { run: 0 }, Op::Finish { run: 0, completed: true }]);
        ops.extend([advance(), step(0)]);
    }
    // Letter 1 is evicted when letter 0 arrives.
    ops.extend([submit_id(0), step(0), step(0), Op::Refuse { run: 0 }]);
    // Letter 1's start conflicts with its row, in one batch with the delete.
    ops.extend([submit_id(1), advance(), submit_id(0), step(0), advance(), step(0)]);
    ops.extend([step(0), step(0), Op::Dispatch { run: 0 }, Op::Crash { daemon: 0 }]);
    ops.extend([Op::Takeover { daemon: 1 }, step(1), submit(1), step(1), step(1)]);
    ops.push(Op::Dispatch { run: 0 });
    let mut simulation = Simulation::new(Disabled::Nothing, 2);
    for op in &ops {
        simulation.apply(op);
    }
}

/// A refused id whose row still exists must not be evicted, or it counts as started.
#[test]
fn refused_id_with_a_row_is_not_evicted() {
    let submit_id = |id| Op::Submit { daemon: 0, id, body: 0 };
    let advance = || Op::Advance { millis: 10 };
    let mut ops = vec![step(0), advance(), step(0)];
    ops.extend([submit_id(0), step(0), step(0), Op::Refuse { run: 0 }]);
    ops.extend([submit_id(1), submit_id(0), advance(), step(0), step(0), step(0)]);
    let mut simulation = Simulation::new(Disabled::Nothing, 1);
    for op in &ops {
        simulation.apply(op);
    }
    simulation.run_without_faults(IDS);
    assert!(simulation.has_run(0), "never run, though nothing ran");
}

/// Another body of an evicted id must not be reported as not run while its start is queued.
#[test]
fn reused_key_of_an_evicted_id_is_not_reported_as_not_run() {
    let submit_id = |id, body| Op::Submit { daemon: 0, id, body };
    let advance = || Op::Advance { millis: 10 };
    let mut ops = vec![step(0), advance(), step(0)];
    ops.extend([submit_id(1, 0), step(0), step(0), Op::Dispatch { run: 0 }]);
    ops.extend([Op::Finish { run: 0, completed: true }, advance(), step(0)]);
    ops.extend([submit_id(0, 0), submit_id(1, 1), submit_id(1, 0)]);
    let mut simulation = Simulation::new(Disabled::Nothing, 1);
    for op in &ops {
        simulation.apply(op);
    }
    simulation.run_without_faults(IDS);
}

/// Requests that wait for a slot to reload get a reply if its claim is lost meanwhile.
#[test]
fn claim_lost_during_a_reload_refuses_the_waiting_requests() {
    let step_with = |delivery| Op::Step { daemon: 0, delivery };
    let submit_id = |id| Op::Submit { daemon: 0, id, body: 0 };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![step(0), advance(10), step(0)];
    // An append of unknown result leaves the end of the log unknown.
    ops.extend([submit_id(0), step_with(Delivery::Unavailable), advance(10)]);
    ops.extend([step_with(Delivery::ResponseLost), step_with(Delivery::ResponseLost)]);
    ops.extend([advance(600), submit_id(1), step(0), step(0), submit_id(2)]);
    ops.extend([advance(10), submit_id(0), Op::Takeover { daemon: 1 }]);
    ops.extend([step(0), step(0), step(0)]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// A daemon takes over a slot whose former holder has not loaded it yet, and runs a
/// request. The former holder loads the slot, can't reach the table and gets the request.
fn load_under_a_lapsed_claim() -> Vec<Op> {
    let unavailable = |daemon| Op::Step { daemon, delivery: Delivery::Unavailable };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![Op::Takeover { daemon: 1 }, step(1), step(0)];
    ops.extend([submit(1), step(1), step(1), step(1), Op::Dispatch { run: 0 }]);
    ops.extend([advance(10), submit(0), unavailable(0), unavailable(0), advance(10)]);
    ops.extend([step(0), step(0), step(0), Op::Dispatch { run: 0 }]);
    ops.extend([advance(10), submit(0), advance(10)]);
    ops.extend([step(0), step(0), Op::Dispatch { run: 0 }]);
    ops
}

/// A slot load that runs after another daemon took over must not open the slot.
#[test]
fn load_under_a_lapsed_claim_does_not_open_the_slot() {
    simulate(Disabled::Nothing, &load_under_a_lapsed_claim()).run_without_faults(IDS);
}

#[test]
#[should_panic(expected = "letter-0 ran 2 times")]
fn fails_if_seals_do_not_check_claims() {
    simulate(Disabled::SealClaims, &load_under_a_lapsed_claim());
}

/// A slot is loaded twice by its new holder and trimmed. Then the former holder, which the
/// table doesn't serve, logs a request at a trimmed position and learns of its loss.
fn append_to_a_trimmed_position(disabled: Disabled) {
    let advance = || Op::Advance { millis: 10 };
    let mut ops = vec![step(0), advance(), step(0)];
    ops.extend([Op::Takeover { daemon: 1 }, step(1), Op::Takeover { daemon: 1 }]);
    ops.extend([step(1), advance(), step(1)]);
    ops.extend([Op::SetTable { daemon: 0, reachable: false }, submit(0), step(0)]);
    ops.extend([advance(), step(0), Op::Takeover { daemon: 2 }]);
    let mut simulation = simulate(disabled, &ops);
    simulation.run_without_faults(IDS);
    assert!(simulation.has_run(0), "letter-0 never ran");
}

/// A late append to a trimmed position must not count as the start of a request.
#[test]
fn append_to_a_trimmed_position_is_void() {
    append_to_a_trimmed_position(Disabled::Nothing);
}

#[test]
#[should_panic(expected = "letter-0 never ran")]
fn fails_if_positions_before_a_trim_count() {
    append_to_a_trimmed_position(Disabled::TrimMarks);
}

/// The late append of a refused start must not dispatch a newer request of the same id.
#[test]
fn append_of_a_refused_start_does_not_dispatch_another_request() {
    let body = |daemon, body| Op::Submit { daemon, id: 0, body };
    let beyond_wait_limit = Op::Advance { millis: 2600 };
    let unavailable = Op::Step { daemon: 0, delivery: Delivery::Unavailable };
    let mut ops = vec![step(0), Op::Advance { millis: 10 }, step(0)];
    ops.extend([body(0, 0), unavailable, Op::Advance { millis: 10 }]);
    ops.extend([beyond_wait_limit, body(0, 1), step(0), step(0)]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Crash { daemon: 0 }]);
    ops.extend([Op::Takeover { daemon: 1 }, step(1), body(1, 1)]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// The log of a refused start must not replace the row of the request that ran instead.
#[test]
fn refused_start_in_the_log_does_not_replace_a_row() {
    let body = |daemon, body| Op::Submit { daemon, id: 0, body };
    let beyond_wait_limit = Op::Advance { millis: 2600 };
    let unavailable = Op::Step { daemon: 0, delivery: Delivery::Unavailable };
    let lost = Op::Step { daemon: 0, delivery: Delivery::ResponseLost };
    let mut ops = vec![step(0), Op::Advance { millis: 10 }, step(0)];
    ops.extend([body(0, 0), unavailable, Op::Advance { millis: 10 }]);
    ops.extend([beyond_wait_limit, lost.clone(), lost]);
    ops.extend([Op::Advance { millis: 600 }, body(0, 1), Op::Advance { millis: 10 }]);
    ops.extend([step(0), step(0), step(0), step(0), Op::Dispatch { run: 0 }]);
    ops.extend([Op::Crash { daemon: 0 }, Op::Takeover { daemon: 1 }, step(1)]);
    ops.extend([body(1, 1)]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// A request that waits for its response's body gets a reply if the slot is loaded meanwhile.
#[test]
fn load_keeps_requests_that_wait_for_a_body() {
    let submit_id = |id| Op::Submit { daemon: 0, id, body: 0 };
    let advance = || Op::Advance { millis: 10 };
    let mut ops = vec![step(0), advance(), step(0)];
    // The body of the second run is in the object store.
    for id in [0, 1] {
        ops.extend([submit_id(id), step(0), step(0), Op::Dispatch { run: 0 }]);
        ops.extend([Op::Finish { run: 0, completed: true }, advance(), step(0)]);
        ops.push(advance());
    }
    let reclaim = Op::Takeover { daemon: 0 };
    ops.extend([reclaim.clone(), step(0), reclaim, submit_id(1), step(0)]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// A batch that fails must not refuse a request that the log has started meanwhile.
#[test]
fn failed_commit_does_not_refuse_a_logged_start() {
    let submit_id = |id| Op::Submit { daemon: 0, id, body: 0 };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![step(0), Op::SetTable { daemon: 0, reachable: false }];
    ops.extend([advance(1), step(0), submit_id(0), advance(5), submit_id(1), step(0)]);
    // Both are refused while they are being logged, and letter 0 is sent again.
    ops.extend([advance(2500), submit_id(0), step(0), step(0)]);
    let mut simulation = Simulation::new(Disabled::Nothing, 1);
    for op in &ops {
        simulation.apply(op);
    }
    simulation.run_without_faults(IDS);
}

/// A delete that was queued before a run must not remove the record of that run.
#[test]
fn delete_of_an_earlier_row_does_not_remove_a_logged_run() {
    let lost = || Op::Step { daemon: 0, delivery: Delivery::ResponseLost };
    let advance = |millis| Op::Advance { millis };
    let mut ops = vec![step(0), advance(1), step(0), submit(0), advance(2500), step(0)];
    ops.extend([submit(0), lost(), lost(), advance(5), step(0), step(0)]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Finish { run: 0, completed: false }]);
    simulate(Disabled::Nothing, &ops).run_without_faults(IDS);
}

/// A caller must not get the response to another body that was sent with its key later.
#[test]
fn recovered_row_of_another_attempt_is_not_a_response() {
    let body = |daemon, body| Op::Submit { daemon, id: 0, body };
    let mut ops = vec![step(0), body(0, 0), step(0), Op::Release { daemon: 1 }, step(0)];
    ops.extend([Op::Refuse { run: 0 }, step(1), Op::Takeover { daemon: 0 }, step(0)]);
    ops.extend([body(0, 1), Op::Advance { millis: 10 }, step(0), step(0), step(0)]);
    ops.extend([Op::Dispatch { run: 0 }, Op::Finish { run: 0, completed: true }]);
    ops.extend([
        Op::Advance { millis: 10 },
        step(0),
        step(0),
        body(1, 0),
        step(1),
        step(1),
    ]);
    ops.push(step(1));
    simulate(Disabled::Nothing, &ops);
}
