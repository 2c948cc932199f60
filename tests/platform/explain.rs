//! From a failed request's id to its cause, by log lines alone.
//!
//! The on-call engineer's way is that of docs/OPERATIONS.md: the lines with the id, then
//! the lines about the server that they name.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, RunnerFault, StoreFault};
use serde_json::Value;
use tokio::time::sleep;

use crate::world::{Gate, World, until};

/// The lines about a request.
struct Story(Vec<Value>);

impl Story {
    /// Waits until the request's end is logged.
    async fn read(gate: &Gate, id: &str) -> Self {
        gate.until_ended(id).await;
        Self(gate.all_lines().into_iter().filter(|line| line["id"] == id).collect())
    }

    fn lines(&self, message: &str) -> Vec<&Value> {
        self.0.iter().filter(|line| line["msg"] == message).collect()
    }

    fn end(&self) -> &Value {
        self.lines("request ended")[0]
    }
}

/// What a server last said of itself before a line was written.
fn belief<'a>(lines: &'a [Value], server: &Value, line: &Value) -> Option<&'a Value> {
    let at = lines.iter().position(|one| one == line)?;
    let mut before = lines[..at].iter().rev();
    before.find(|one| one["msg"] == "server listed" && one["server"] == *server)
}

#[tokio::test]
async fn a_refused_request_is_explained_by_its_id() {
    // Both runners with the model are full, and reject what they are sent. The caller is
    // refused with a time to come back. The lines name each runner that was tried and
    // what it said; none says that the request ran.
    let world = World::start("refused", 1).await;
    for runner in &world.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let answer = world.ask(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    let story = Story::read(&world.gates[0], &answer.id).await;
    let missed = story.lines("attempt missed");
    assert!(missed.len() >= 2, "{missed:?}");
    assert!(missed.iter().all(|line| line["why"] == "Rejected(503)"), "{missed:?}");
    assert_eq!(story.end()["end"], "Unavailable");
    let why = story.end()["why"].as_str().expect("a text");
    assert!(why.starts_with("NotRun"), "{why}");
    assert_eq!(world.runs(&answer), 0);
}

#[tokio::test]
async fn a_broken_request_is_explained_by_its_id() {
    // A runner breaks off a stream that may not be taken up elsewhere. The lines name the
    // runner, how many events the caller has, and how the connection ended.
    let world = World::start("broken", 1).await;
    for runner in &world.runners[..2] {
        runner.set_fault(RunnerFault::DisconnectAfter(2));
    }
    let answer = world.ask(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert!(!answer.complete);
    let story = Story::read(&world.gates[0], &answer.id).await;
    let picked = story.lines("server picked");
    assert_eq!(picked.len(), 1);
    assert_eq!(picked[0]["server"], story.end()["server"]);
    assert_eq!(story.end()["end"], "broken");
    assert_eq!(story.end()["events"].as_u64(), Some(answer.events.len() as u64));
}

#[tokio::test]
async fn a_caller_that_leaves_before_its_answer_is_logged() {
    // Both runners with the model are full, so that the request is tried again for a
    // while; its caller closes the connection meanwhile. The request's end is logged all
    // the same, with how long it was held.
    let world = World::start("gave-up", 1).await;
    for runner in &world.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let question = CallerRequest::stream("draft", "red", 9);
    let asked = tokio::time::timeout(Duration::from_millis(300), world.ask(0, &question));
    assert!(asked.await.is_err(), "it was answered");
    until("its end is logged", async || {
        let ends = world.gates[0].lines("request ended");
        ends.iter().any(|end| end["end"] == "caller left" && end["route"] == "draft")
    })
    .await;
}

#[tokio::test]
async fn a_request_that_met_an_old_belief_is_explained_by_its_id() {
    // The store is silent, and the only runner with a model starts again and holds
    // nothing. A caller is refused. The lines say that the copy of the registry was older
    // than the outage, that the daemon believed in the model by an entry of before, and
    // that the runner said that it is not there.
    let world = World::start("belief", 1).await;
    world.store.set_fault(StoreFault::Unresponsive);
    sleep(Duration::from_secs(2)).await;
    world.runners[2].restart();
    let answer = world.ask(0, &CallerRequest::stream("draft", "blue", 9)).await;
    assert_eq!(answer.status, 503);
    let gate = &world.gates[0];
    let story = Story::read(gate, &answer.id).await;
    let picked = story.lines("server picked")[0];
    assert!(picked["registry_age_ms"].as_u64() >= Some(1500), "{picked}");
    assert_eq!(story.lines("attempt missed")[0]["why"], "Rejected(421)");
    let lines = gate.all_lines();
    let believed = belief(&lines, &picked["server"], picked).expect("an entry");
    assert!(believed["models"].to_string().contains("blue"), "{believed}");
    assert!(believed["version"].as_u64() <= picked["registry_version"].as_u64());
    world.store.set_fault(StoreFault::None);
    until("the daemon knows better", async || {
        let lines = gate.lines("server listed");
        let mut lines = lines.iter().rev();
        let now = lines.find(|line| line["server"] == picked["server"]);
        now.is_some_and(|now| now["version"].as_u64() > believed["version"].as_u64())
    })
    .await;
}
