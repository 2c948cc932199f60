//! Tests of the daemon on the users' platform: real daemon processes and stand-ins for
//! the platform's parts, with injected faults.
//!
//! Each test states which failure it guards against and how it comes about.

mod accounts;
mod cluster;
mod command_line;
mod contention;
mod crashes;
mod cut_heads;
mod late_responses;
mod limits;
mod log_diagnosis;
mod malformed_answers;
mod membership;
mod odd_entries;
mod paths;
mod proxy;
mod repeats;
mod rests;
mod retries;
mod retry_bound;
mod servers;
mod soak;
mod stop_soak;
mod stops;
mod store;
mod versions;

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, ServerFault};
use rustix::process::Signal;
use serde_json::Value;

use cluster::{Cluster, wait_until};

fn event_numbers(count: u64) -> Vec<u64> {
    (1..=count).collect()
}

#[tokio::test]
async fn every_kind_of_request_is_served() {
    // Without faults, every daemon serves streams with and without an adapter and both
    // plain routes. Each response is complete, signed and its own caller's, and each
    // request runs once.
    let cluster = Cluster::start("calm", 3).await;
    for daemon in 0..3 {
        for model in ["red", "red/a1", "blue"] {
            let response =
                cluster.send(daemon, &CallerRequest::stream("draft", model, 8)).await;
            assert_eq!((response.status, response.complete), (200, true), "{model}");
            assert!(response.signed);
            assert_eq!(response.events, event_numbers(8));
            assert_eq!(cluster.runs(&response), 1);
        }
        for route in ["record", "lookup"] {
            let response = cluster.send(daemon, &CallerRequest::plain(route)).await;
            assert_eq!((response.status, response.complete), (200, true), "{route}");
            assert!(response.body.contains(&response.id), "{}", response.body);
            assert_eq!(cluster.runs(&response), 1);
        }
    }
}

#[tokio::test]
async fn reserved_headers_of_callers_are_not_forwarded() {
    // Guards against forwarding headers that only the system may set: a caller names
    // another server, reserved capacity and the KV cache of another request. The runner
    // receives none of them, and a time budget of at most the time that is left.
    let cluster = Cluster::start("forged", 1).await;
    let mut request = CallerRequest::stream("draft", "blue", 3);
    for (name, value) in [
        ("x-target-instance", "r1"),
        ("x-hold", "h1"),
        ("x-pin-ms", "9000"),
        ("x-kv-backup", "10.0.0.1:80"),
        ("kv-from", "10.0.0.1:80/x"),
        ("x-request-priority", "0"),
    ] {
        request.headers.push((name.into(), value.into()));
    }
    let response = cluster.send(0, &request).await;
    assert!(response.complete);
    let runner = &cluster.runners[2];
    assert_eq!(runner.last_request_header("x-target-instance").as_deref(), Some("r3"));
    for name in ["x-hold", "x-pin-ms", "x-kv-backup", "kv-from"] {
        assert_eq!(runner.last_request_header(name), None, "{name}");
    }
    assert_eq!(runner.last_request_header("x-request-priority").as_deref(), Some("2"));
    let time_left =
        runner.last_request_header("x-time-budget-ms").and_then(|text| text.parse().ok());
    assert!(time_left.is_some_and(|millis: u64| millis <= 15_000));
}

#[tokio::test]
async fn graceful_stop_completes_running_requests() {
    // A daemon receives SIGTERM while a stream of two seconds runs. The stream completes,
    // the directories of the other daemons drop the stopping one at once, requests that
    // still arrive there are served, and the process exits by itself.
    let mut cluster = Cluster::start("stop", 2).await;
    let (caller, addr) = (cluster.caller.clone(), cluster.daemons[0].caller_addr);
    let stream = CallerRequest::stream("draft", "red", 100);
    let running = tokio::spawn(async move { caller.send(addr, &stream).await });
    wait_until("the stream runs", async || {
        cluster.runners.iter().any(|runner| !runner.runs().is_empty())
    })
    .await;
    cluster.daemons[0].signal(Signal::TERM);
    let stopping = cluster.daemons[0].caller_addr;
    wait_until("the directory drops the stopping daemon", async || {
        !cluster
            .caller
            .directory(cluster.daemons[1].directory_addr)
            .await
            .contains(&stopping)
    })
    .await;
    let late_response = cluster.send(0, &CallerRequest::plain("record")).await;
    assert_eq!(late_response.status, 200);
    let response = running.await.expect("the caller ends");
    assert!(response.complete);
    assert_eq!(response.events, event_numbers(100));
    wait_until("the daemon has ended", async || {
        cluster.daemons[0].exit_status().is_some()
    })
    .await;
    let ended = cluster.daemons[0].exit_status().expect("the daemon has ended");
    assert!(ended.success(), "{ended:?}");
}

#[tokio::test]
async fn a_killed_daemon_affects_only_its_own_callers() {
    // A daemon is killed. Streams through the other daemon continue, and it takes over
    // the claims, which adapter loads depend on. The killed daemon serves again after a
    // restart.
    let mut cluster = Cluster::start("killed", 2).await;
    let (caller, addr) = (cluster.caller.clone(), cluster.daemons[1].caller_addr);
    let stream = CallerRequest::stream("draft", "red", 100);
    let running = tokio::spawn(async move { caller.send(addr, &stream).await });
    wait_until("the stream runs", async || {
        cluster.runners.iter().any(|runner| !runner.runs().is_empty())
    })
    .await;
    cluster.daemons[0].kill();
    let response = running.await.expect("the caller ends");
    assert!(response.complete);
    wait_until("the other daemon loads adapters", async || {
        let mut complete = true;
        for adapter in ["red/a3", "red/a4"] {
            let request = CallerRequest::stream("draft", adapter, 3);
            complete &= cluster.send(1, &request).await.complete;
        }
        let listed = cluster.caller.directory(cluster.daemons[1].directory_addr).await;
        complete && listed.len() == 1
    })
    .await;
    cluster.daemons[0].restart();
    cluster.wait_until_ready().await;
    let response = cluster.send(0, &CallerRequest::stream("draft", "red/a5", 3)).await;
    assert!(response.complete);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_run() {
    // A caller closes its connection after three events. The run must be cancelled, or it
    // would take capacity from others for output that nobody reads.
    let cluster = Cluster::start("left", 1).await;
    let request = CallerRequest::stream("draft", "blue", 500);
    let response =
        cluster.caller.send_until(cluster.daemons[0].caller_addr, &request, 3).await;
    assert!(!response.complete);
    wait_until("the run ends", async || {
        cluster.runners[2].cancelled().contains(&response.id)
    })
    .await;
}

#[tokio::test]
async fn a_route_timeout_returns_a_final_response() {
    // All servers are unresponsive. The caller would wait for 2.5 s, but the route allows
    // 400 ms, after which the caller gets a final response.
    let cluster = Cluster::start("late", 1).await;
    for service in &cluster.services {
        service.set_fault(ServerFault::Unresponsive);
    }
    let response = cluster.send(0, &CallerRequest::plain("slow")).await;
    assert_eq!(response.status, 504);
    assert!(response.elapsed >= Duration::from_millis(390), "{:?}", response.elapsed);
    assert!(response.elapsed < Duration::from_secs(2), "{:?}", response.elapsed);
}

#[tokio::test]
async fn an_unknown_route_returns_404() {
    // A path that is in no configuration is refused finally. (A daemon without any
    // configuration refuses with Retry-After instead.)
    let cluster = Cluster::start("unknown", 1).await;
    let response = cluster.send(0, &CallerRequest::plain("nowhere")).await;
    assert_eq!(response.status, 404);
}

#[tokio::test]
async fn state_and_metrics_are_exposed() {
    // After one stream, a daemon's state page shows the store's tables with their ages
    // and the holders of the runners, and its metrics show how requests ended.
    let cluster = Cluster::start("looked-at", 2).await;
    let response = cluster.send(0, &CallerRequest::stream("draft", "blue", 3)).await;
    assert_eq!(response.status, 200);
    let daemon = &cluster.daemons[0];
    let state = cluster.caller.get_text(daemon.metrics_addr, "/state").await;
    let state: Value = serde_json::from_str(&state).expect("the state is JSON");
    assert_eq!(state["ready"], true);
    assert_eq!(state["members"].as_array().map(Vec::len), Some(2));
    assert_eq!(state["servers"].as_object().map(|all| all.len()), Some(5));
    assert!(state["claims"]["server:r3"]["fence"].as_u64() > Some(0), "{state}");
    assert!(state["tables"][0]["age_ms"].is_u64(), "{state}");
    wait_until("the end is counted", async || {
        let metrics = cluster.caller.get_text(daemon.metrics_addr, "/metrics").await;
        metrics.contains(r#"chestnut_requests_total{route="draft",end="answered"} 1"#)
            && metrics.contains(r#"chestnut_seconds_count{span="FirstByte"} 1"#)
            && metrics.contains(r#"chestnut_steps_total{step="Store",outcome="200"}"#)
    })
    .await;
}
