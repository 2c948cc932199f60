//! Views of daemons in the operators' command line, `chestnutctl`.

use std::process::{Command, Output};

use chestnut_platform_stand_in::{CallerRequest, RunnerFault};
use serde_json::Value;

use crate::cluster::{Cluster, wait_until};

/// Runs `chestnutctl` with the addresses of all daemons.
async fn ctl(cluster: &Cluster, words: &[&str]) -> Output {
    let servers: Vec<String> =
        cluster.daemons.iter().map(|daemon| daemon.metrics_addr.to_string()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
    command.args(["--output", "json", "--server", &servers.join(",")]).args(words);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("the task does not panic").expect("chestnutctl can be started")
}

fn rows(output: &Output) -> Vec<Value> {
    let output_json: Value =
        serde_json::from_slice(&output.stdout).expect("one line of JSON");
    output_json["rows"].as_array().cloned().unwrap_or_default()
}

#[tokio::test]
async fn revision_and_claim_holders_are_shown() {
    // Of two daemons one is killed. Before, both show the same revision in force and one
    // holder of each claim; after, the remaining one still responds, and the unreachable
    // one is named on standard error.
    let mut cluster = Cluster::start("look", 2).await;
    let daemons = rows(&ctl(&cluster, &["show", "gates"]).await);
    assert_eq!(daemons.len(), 2);
    assert_eq!(daemons[0]["revision"], daemons[1]["revision"]);
    let query = ["show", "gate-claims", "where", "name", "~", "server"];
    wait_until("both daemons know the holders of all three claims", async || {
        let claims = rows(&ctl(&cluster, &query).await);
        claims.len() == 6 && claims.iter().all(|claim| claim["holder_vm"].is_string())
    })
    .await;
    cluster.daemons[1].kill();
    let remaining = ctl(&cluster, &["show", "gates"]).await;
    assert_eq!(rows(&remaining).len(), 1);
    let text = String::from_utf8_lossy(&remaining.stderr).into_owned();
    assert!(text.contains(&cluster.daemons[1].metrics_addr.to_string()), "{text}");
}

#[tokio::test]
async fn trace_shows_the_attempts_of_a_request() {
    // Both runners with the model reject all requests and a caller is refused. From the
    // request's id and the log alone, `trace` has to name the runners that were tried and
    // their responses.
    let cluster = Cluster::start("way", 1).await;
    for runner in &cluster.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let response = cluster.send(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert_eq!(response.status, 503);
    let daemon = &cluster.daemons[0];
    daemon.wait_for_request_end(&response.id).await;
    let log = daemon.log.display().to_string();
    let output = ctl(&cluster, &["trace", &response.id, &log]).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    let cause = text.lines().last().expect("a cause");
    for part in ["Unavailable", "r1 Rejected(503)", "r2 Rejected(503)", "NotRun"] {
        assert!(cause.contains(part), "{text}");
    }
    let unknown = ctl(&cluster, &["trace", "no-such-id", &log]).await;
    assert_eq!(unknown.status.code(), Some(1));
}
