//! Backend servers that reject, fail, fall silent, leave, or start again.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, Runner, RunnerFault, ServerFault};
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::sleep;

use crate::numbers;
use crate::world::{World, until};

#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere_if_it_may() {
    // The runner breaks a stream off in the middle of its sixth event. On a route whose
    // streams may be resumed, another runner goes on: the caller has every event once
    // and one whole answer. On the other route the answer looks cut short, and nothing
    // runs twice.
    let world = World::start("broken", 1).await;
    for runner in &world.runners[..2] {
        runner.set_fault(RunnerFault::DisconnectAfter(5));
    }
    let answer = world.ask(0, &CallerRequest::stream("draft", "red", 12)).await;
    assert!(!answer.complete);
    assert_eq!(answer.events, numbers(5));
    assert_eq!(world.runs(&answer), 1);
    let answer = world.ask(0, &CallerRequest::stream("demand", "red", 12)).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.events, numbers(12));
    assert_eq!(world.runs(&answer), 3);
}

#[tokio::test]
async fn a_rejected_request_is_served_elsewhere() {
    // One server of the plain service rejects everything as not run. Requests that may
    // run at most once are sent to the other one, and the caller sees nothing of it.
    let world = World::start("rejected", 1).await;
    world.services[0].set_fault(ServerFault::Rejecting);
    for _ in 0..6 {
        let answer = world.ask(0, &CallerRequest::plain("record")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(world.runs(&answer), 1);
    }
    // Both reject: the refusal says truly that nothing ran, and when to come back.
    world.services[1].set_fault(ServerFault::Rejecting);
    let answer = world.ask(0, &CallerRequest::plain("record")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(world.runs(&answer), 0);
}

#[tokio::test]
async fn servers_that_are_full_are_asked_again_after_a_pause() {
    // Both servers reject everything for a tenth of a second. The request is sent again
    // after a pause that grows, and served; sent again at once, it would have used up
    // its tries within ten milliseconds and a good part of the service's repeats.
    let world = World::start("pause", 1).await;
    for service in &world.services {
        service.set_fault(ServerFault::Rejecting);
    }
    let question = CallerRequest::plain("record");
    let asked = world.ask(0, &question);
    let relieved = async {
        sleep(Duration::from_millis(100)).await;
        for service in &world.services {
            service.set_fault(ServerFault::None);
        }
    };
    let (answer, ()) = tokio::join!(asked, relieved);
    assert_eq!(answer.status, 200);
    assert_eq!(world.runs(&answer), 1);
}

#[tokio::test]
async fn a_silent_server_does_not_hold_what_may_run_again() {
    // One server takes requests and never answers. A look-up that it got is sent to the
    // other one well before its time ends, and answered; a record that may run once waits
    // for its answer to the end, and is not sent again.
    let world = World::start("silent", 1).await;
    world.services[0].set_fault(ServerFault::Unresponsive);
    for _ in 0..4 {
        let answer = world.ask(0, &CallerRequest::plain("lookup")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for _ in 0..4 {
        let answer = world.ask(0, &CallerRequest::plain("record")).await;
        assert!([200, 504].contains(&answer.status), "{answer:?}");
        assert!(world.runs(&answer) <= 1);
    }
}

#[tokio::test]
async fn no_request_runs_more_often_than_its_route_allows() {
    // One server never answers, the other answers other requests. A look-up runs at one,
    // then at the other, and is given up then, though there is time and the service has
    // repeats: its route allows two runs.
    let world = World::start("twice", 1).await;
    world.services[0].set_fault(ServerFault::Unresponsive);
    world.services[1].set_fault(ServerFault::WrongId);
    for _ in 0..3 {
        let answer = world.ask(0, &CallerRequest::plain("lookup")).await;
        assert!([502, 504].contains(&answer.status), "{answer:?}");
        assert!(world.runs(&answer) <= 2, "{} runs", world.runs(&answer));
    }
}

#[tokio::test]
async fn a_lost_answer_is_not_called_not_run() {
    // A server runs a booking and never answers, or answers another request. Whether it
    // ran is not known: it must not run again, and no status may say that it did not.
    let world = World::start("lost", 1).await;
    for fault in [ServerFault::Unresponsive, ServerFault::WrongId] {
        for service in &world.services {
            service.set_fault(fault);
        }
        let answer = world.ask(0, &CallerRequest::plain("record")).await;
        assert!([502, 504].contains(&answer.status), "{fault:?}: {}", answer.status);
        assert!(!answer.signed);
        assert_eq!(world.runs(&answer), 1);
    }
    // What may run twice is tried once more elsewhere.
    world.services[0].set_fault(ServerFault::None);
    let answer = world.ask(0, &CallerRequest::plain("lookup")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_servers_own_failure_goes_back_unchanged() {
    // All servers fail what they run. A request that may run once brings that failure with
    // its signature; one that may run again was tried at two servers first.
    let world = World::start("failing", 1).await;
    for service in &world.services {
        service.set_fault(ServerFault::Failing);
    }
    let answer = world.ask(0, &CallerRequest::plain("record")).await;
    assert_eq!((answer.status, answer.signed), (500, true));
    assert_eq!(world.runs(&answer), 1);
    let answer = world.ask(0, &CallerRequest::plain("lookup")).await;
    assert_eq!((answer.status, answer.signed), (500, true));
    assert_eq!(world.runs(&answer), 2);
}

#[tokio::test]
async fn a_model_that_is_nowhere_is_refused_before_its_caller_leaves() {
    // All runners leave. The caller of a stream goes after 3.2 s, four times its objective.
    // Held until then it has nothing; it is told well before that its request did not run
    // and when to come back, which is after a load takes.
    let world = World::start("nowhere", 1).await;
    world.runners.iter().for_each(Runner::drain);
    until("the runners are known to leave", async || {
        let state = world.caller.get_text(world.gates[0].metrics, "/state").await;
        state.matches("Leaving").count() == world.runners.len()
    })
    .await;
    let answer = world.ask(0, &CallerRequest::stream("draft", "red", 3)).await;
    assert_eq!((answer.status, answer.signed), (503, false));
    assert_eq!(answer.retry_after, Some(1.5));
    assert!(answer.elapsed < Duration::from_millis(2400), "{:?}", answer.elapsed);
    assert_eq!(world.runs(&answer), 0);
}

#[tokio::test]
async fn a_frozen_holder_holds_up_no_plain_request() {
    // Two daemons share a plain service; one of them holds its queue and gives places. It
    // stands still. Callers of the other one are served all the same, by its own counts, and
    // by a queue of its own once the frozen daemon's row is gone.
    let world = World::start("queue", 2).await;
    let number = holder_of(&world, "pool:ledger").await;
    let other = 1 - number;
    until("the queue gives places", async || {
        world.ask(other, &CallerRequest::plain("record")).await;
        let places = world.gates[other].lines("place");
        places.last().is_some_and(is_sent)
    })
    .await;
    let holder = world.gates[other].lines("place").swap_remove(0)["holder"].clone();
    world.gates[number].signal(Signal::STOP);
    for _ in 0..5 {
        let answer = world.ask(other, &CallerRequest::plain("record")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(world.runs(&answer), 1);
    }
    let places = world.gates[other].lines("place");
    assert!(places.iter().any(|line| line["place"] == "Silent"), "{places:?}");
    until("the other one holds the queue", async || {
        world.ask(other, &CallerRequest::plain("record")).await;
        let places = world.gates[other].lines("place");
        places.last().is_some_and(|line| line["holder"] != holder && is_sent(line))
    })
    .await;
    world.gates[number].signal(Signal::CONT);
}

/// Whether a log line says that a plain request got its place.
fn is_sent(line: &Value) -> bool {
    line["place"].as_str().is_some_and(|place| place.starts_with("Send"))
}

/// The number of the daemon that holds a claim.
async fn holder_of(world: &World, claim: &str) -> usize {
    for (number, gate) in world.gates.iter().enumerate() {
        let state = world.caller.get_text(gate.metrics, "/state").await;
        let state: Value = serde_json::from_str(&state).expect("the state is JSON");
        if state["claims"][claim]["holder"] == state["member"] {
            return number;
        }
    }
    panic!("nobody holds {claim}");
}

#[tokio::test]
async fn a_runner_that_starts_again_holds_nothing() {
    // The only runner with a model starts again under its name and holds nothing. Callers
    // of the model are served once it is loaded again; until then they are refused, and
    // told when to come back.
    let world = World::start("again", 2).await;
    world.runners[2].restart();
    until("the model is served again", async || {
        let answer = world.ask(0, &CallerRequest::stream("draft", "blue", 3)).await;
        if answer.status == 503 {
            assert!(answer.retry_after.is_some());
        }
        answer.complete
    })
    .await;
}

#[tokio::test]
async fn a_leaving_runner_gets_nothing_new() {
    // A runner says that it leaves. From then on requests go to the other one with the
    // model; what runs there ends whole.
    let world = World::start("leaving", 1).await;
    let (caller, addr) = (world.caller.clone(), world.gates[0].callers);
    let stream = CallerRequest::stream("draft", "red", 60);
    let running = tokio::spawn(async move { caller.send(addr, &stream).await });
    until("the stream runs", async || world.runner_of("leaving").is_some()).await;
    let runner = world.runner_of("leaving").expect("a runner runs it");
    runner.drain();
    until("the daemon knows", async || {
        let lines = world.gates[0].lines("server listed");
        lines
            .iter()
            .any(|line| line["phase"].as_str().is_some_and(|p| p.contains("Leaving")))
    })
    .await;
    let before = runner.runs().len();
    for _ in 0..8 {
        let answer = world.ask(0, &CallerRequest::stream("draft", "red", 3)).await;
        assert!(answer.complete);
    }
    assert_eq!(runner.runs().len(), before);
    assert!(running.await.expect("the caller ends").complete);
}
