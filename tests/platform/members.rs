//! Daemons that stand still, and what the others make of that.

use std::time::Duration;

use chestnut_platform_stand_in::CallerRequest;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::link::LinkFault;
use crate::world::{World, until};

#[tokio::test]
async fn a_daemon_that_stood_still_removes_nobody() {
    // A daemon is frozen for two and a half seconds; the others remove its row and take
    // over what it held. When it goes on it has heard nobody for as long as it stood still.
    // It joins again; the others keep their rows, and with them the claims by which callers
    // are served.
    let world = World::start("thawed", 3).await;
    world.gates[0].signal(Signal::STOP);
    sleep(Duration::from_millis(2500)).await;
    world.gates[0].signal(Signal::CONT);
    let again = "own row was removed, joining again";
    until("it has joined again", async || !world.gates[0].lines(again).is_empty()).await;
    sleep(Duration::from_secs(1)).await;
    for gate in &world.gates[1..] {
        assert_eq!(gate.lines(again).len(), 0);
    }
}

#[tokio::test]
async fn runners_of_a_daemon_that_just_started_get_requests() {
    // Guards against avoiding all runners that are claimed in the name of a process that
    // has been restarted and can't join yet.
    let mut world = World::start_linked("unjoined", 2).await;
    let rows = world.store.rows("chestnut");
    let holder = &rows["claim:server:r3"]["holder"];
    let held = usize::from(rows["daemon:vm0"]["member"] != *holder);
    world.links.stores[held].fail(LinkFault::Held { there: true, back: true });
    world.gates[held].kill();
    world.gates[held].restart();
    until("it has started again", async || world.gates[held].lines("started").len() == 2)
        .await;
    let other = 1 - held;
    for _ in 0..3 {
        // The only runner with this model is the one that the daemon held.
        let answer = world.ask(other, &CallerRequest::stream("draft", "blue", 3)).await;
        assert_eq!(answer.status, 200);
    }
    let turns = world.gates[other].lines("turn");
    assert_eq!(turns.iter().filter(|line| line["turn"] == "Denied").count(), 0);
}

#[tokio::test]
async fn a_daemon_that_starts_knows_how_fast_runners_read() {
    // Guards against sending prompts at a guessed rate after all daemons were killed.
    let mut world = World::start("learnt", 1).await;
    until("it has learnt", async || {
        let question = CallerRequest::stream("draft", "red", 2);
        assert_eq!(world.ask(0, &question).await.status, 200);
        world.store.rows("chestnut").keys().any(|key| key.starts_with("engine:"))
    })
    .await;
    world.gates[0].kill();
    world.gates[0].restart();
    until("it knows", async || {
        let lines = world.gates[0].all_lines();
        let started = lines.iter().rposition(|line| line["msg"] == "started");
        lines[started.unwrap_or_default()..]
            .iter()
            .any(|line| line["msg"] == "engine known")
    })
    .await;
}
