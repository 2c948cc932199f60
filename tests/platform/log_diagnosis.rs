//! Finding the cause of a failed request by its id, from log lines alone.
//!
//! The steps are those of docs/OPERATIONS.md: first the lines with the id, then the lines
//! about the server that they name.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, RunnerFault, StoreFault};
use serde_json::Value;
use tokio::time::sleep;

use crate::cluster::{Cluster, Daemon, wait_until};

/// Log lines of one request.
struct RequestLog(Vec<Value>);

impl RequestLog {
    /// Waits until the request's end is logged, then collects its lines.
    async fn collect(daemon: &Daemon, id: &str) -> Self {
        daemon.wait_for_request_end(id).await;
        Self(daemon.all_lines().into_iter().filter(|line| line["id"] == id).collect())
    }

    fn lines(&self, message: &str) -> Vec<&Value> {
        self.0.iter().filter(|line| line["msg"] == message).collect()
    }

    fn end(&self) -> &Value {
        self.lines("request ended")[0]
    }
}

/// Latest `server listed` line of a server that was logged before the given line.
fn last_listing<'a>(
    lines: &'a [Value],
    server: &Value,
    line: &Value,
) -> Option<&'a Value> {
    let position = lines.iter().position(|earlier_line| earlier_line == line)?;
    let mut earlier = lines[..position].iter().rev();
    earlier.find(|earlier_line| {
        earlier_line["msg"] == "server listed" && earlier_line["server"] == *server
    })
}

#[tokio::test]
async fn logs_explain_a_refused_request() {
    // Both runners with the model reject all requests, and the caller is refused with
    // Retry-After. The lines have to name each runner that was tried and its rejection,
    // and none may say that the request ran.
    let cluster = Cluster::start("refused", 1).await;
    for runner in &cluster.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let response = cluster.send(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    let log = RequestLog::collect(&cluster.daemons[0], &response.id).await;
    let failed = log.lines("attempt missed");
    assert!(failed.len() >= 2, "{failed:?}");
    assert!(failed.iter().all(|line| line["why"] == "Rejected(503)"), "{failed:?}");
    assert_eq!(log.end()["end"], "Unavailable");
    let reason = log.end()["why"].as_str().expect("a text");
    assert!(reason.starts_with("NotRun"), "{reason}");
    assert_eq!(cluster.runs(&response), 0);
}

#[tokio::test]
async fn logs_explain_an_interrupted_stream() {
    // A runner interrupts a stream whose route permits no resumption. The lines have to
    // name the runner, the number of events that the caller received, and how the stream
    // ended.
    let cluster = Cluster::start("broken", 1).await;
    for runner in &cluster.runners[..2] {
        runner.set_fault(RunnerFault::DisconnectAfter(2));
    }
    let response = cluster.send(0, &CallerRequest::stream("draft", "red", 9)).await;
    assert!(!response.complete);
    let log = RequestLog::collect(&cluster.daemons[0], &response.id).await;
    let picked = log.lines("server picked");
    assert_eq!(picked.len(), 1);
    assert_eq!(picked[0]["server"], log.end()["server"]);
    assert_eq!(log.end()["end"], "broken");
    assert_eq!(log.end()["events"].as_u64(), Some(response.events.len() as u64));
}

#[tokio::test]
async fn a_caller_that_disconnects_before_its_response_is_logged() {
    // Both runners with the model reject all requests, so that the daemon retries; the
    // caller closes its connection meanwhile. The end of the request has to be logged all
    // the same.
    let cluster = Cluster::start("gave-up", 1).await;
    for runner in &cluster.runners[..2] {
        runner.set_fault(RunnerFault::Rejecting);
    }
    let request = CallerRequest::stream("draft", "red", 9);
    let response =
        tokio::time::timeout(Duration::from_millis(300), cluster.send(0, &request));
    assert!(response.await.is_err(), "a response arrived before the caller disconnected");
    wait_until("the end of the request is logged", async || {
        let end_lines = cluster.daemons[0].lines("request ended");
        end_lines.iter().any(|end| end["end"] == "caller left" && end["route"] == "draft")
    })
    .await;
}

#[tokio::test]
async fn logs_explain_a_request_routed_by_stale_state() {
    // The store is unresponsive, and the only runner with a model restarts without it. A
    // request is sent to it and refused. The lines have to show that the daemon's copy of
    // the registry predates the outage, that the runner's last entry listed the model,
    // and that the runner rejected the request.
    let cluster = Cluster::start("belief", 1).await;
    cluster.store.set_fault(StoreFault::Unresponsive);
    sleep(Duration::from_secs(2)).await;
    cluster.runners[2].restart();
    let response = cluster.send(0, &CallerRequest::stream("draft", "blue", 9)).await;
    assert_eq!(response.status, 503);
    let daemon = &cluster.daemons[0];
    let log = RequestLog::collect(daemon, &response.id).await;
    let picked = log.lines("server picked")[0];
    assert!(picked["registry_age_ms"].as_u64() >= Some(1500), "{picked}");
    assert_eq!(log.lines("attempt missed")[0]["why"], "Rejected(421)");
    let lines = daemon.all_lines();
    let listed = last_listing(&lines, &picked["server"], picked).expect("an entry");
    assert!(listed["models"].to_string().contains("blue"), "{listed}");
    assert!(listed["version"].as_u64() <= picked["registry_version"].as_u64());
    cluster.store.set_fault(StoreFault::None);
    wait_until("the daemon has a newer entry", async || {
        let lines = daemon.lines("server listed");
        let mut lines = lines.iter().rev();
        let latest = lines.find(|line| line["server"] == picked["server"]);
        latest
            .is_some_and(|latest| latest["version"].as_u64() > listed["version"].as_u64())
    })
    .await;
}
