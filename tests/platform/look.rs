//! What operators see of daemons through their command line.

use std::process::{Command, Output};

use chestnut_platform_stand_in::{CallerRequest, RunnerFault};
use serde_json::Value;

use crate::world::{World, until};

/// Runs the operators' command line, asking all daemons of a world.
async fn ctl(world: &World, words: &[&str]) -> Output {
    let servers: Vec<String> =
        world.gates.iter().map(|gate| gate.metrics.to_string()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
    command.args(["--output", "json", "--server", &servers.join(",")]).args(words);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("it does not panic").expect("it can be started")
}

fn rows(output: &Output) -> Vec<Value> {
    let found: Value = serde_json::from_slice(&output.stdout).expect("one line of JSON");
    found["rows"].as_array().cloned().unwrap_or_default()
}

#[tokio::test]
async fn operators_see_what_is_in_force_and_who_holds_what() {
    // Two daemons serve; one is killed. Operators see the same revision in force at both,
    // one holder of each claim, and after the kill what the other one believes, with a word
    // on the one that does not answer.
    let mut world = World::start("look", 2).await;
    let gates = rows(&ctl(&world, &["show", "gates"]).await);
    assert_eq!(gates.len(), 2);
    assert_eq!(gates[0]["revision"], gates[1]["revision"]);
    let show = ["show", "gate-claims", "where", "name", "~", "server"];
    until("both have heard of all three claims and their holders", async || {
        let claims = rows(&ctl(&world, &show).await);
        claims.len() == 6 && claims.iter().all(|claim| claim["holder_vm"].is_string())
    })
    .await;
    world.gates[1].kill();
    let left = ctl(&world, &["show", "gates"]).await;
    assert_eq!(rows(&left).len(), 1);
    let told = String::from_utf8_lossy(&left.stderr).into_owned();
    assert!(told.contains(&world.gates[1].metrics.to_string()), "{told}");
}

#[tokio::test]
async fn operators_are_told_a_requests_way() {
    // Both runners with the model are full and a caller is refused. By the request's id and
    // the logs alone, operators are told which runners were tried and what they said.
    let world = World::start("way", 1).await;
    for runner in &world.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let answer = world.ask(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert_eq!(answer.status, 503);
    let gate = &world.gates[0];
    gate.until_ended(&answer.id).await;
    let log = gate.log.display().to_string();
    let output = ctl(&world, &["trace", &answer.id, &log]).await;
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{told}");
    let cause = told.lines().last().expect("a cause");
    for part in ["Unavailable", "r1 Rejected(503)", "r2 Rejected(503)", "NotRun"] {
        assert!(cause.contains(part), "{told}");
    }
    let strange = ctl(&world, &["trace", "no-such-id", &log]).await;
    assert_eq!(strange.status.code(), Some(1));
}
