//! Daemons that are stopped (SIGTERM) while requests wait.

use std::collections::HashSet;
use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, CallerResponse, Runner};
use rustix::process::Signal;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, Setup, wait_until};
use crate::contention::{
    RUNNER_CLAIMS, check_answered_once, run_count, send_drafts, spawn_requests,
    wait_for_claims, wait_for_holders, wait_for_share, yielded,
};
use crate::proxy::ProxyFault;
use crate::servers::holder_of;

/// How long callers wait: longer than a daemon takes to stop.
const BUDGET: Duration = Duration::from_secs(14);

/// The requests of one daemon that wait for a full runner.
const WAITING: usize = 4;

type Exchanges = JoinSet<(CallerRequest, CallerResponse)>;

/// A cluster whose runners are full for longer than a daemon takes to stop.
struct FullCluster {
    cluster: Cluster,
    /// The daemon that holds the only runner of `blue`.
    holder: usize,
    /// A daemon that neither holds that runner nor has streams at any.
    other: usize,
    running: Exchanges,
}

impl FullCluster {
    /// Starts a cluster; its last daemon sends the streams that fill the runners.
    async fn start(name: &str, setup: Setup) -> Self {
        let cluster = Cluster::start_with(name, setup).await;
        wait_for_holders(&cluster).await;
        let holder = holder_of(&cluster, RUNNER_CLAIMS[2]).await;
        let mut daemons = (0..setup.daemons).rev().filter(|daemon| *daemon != holder);
        let sender = daemons.next().expect("there are several daemons");
        let other = daemons.next().expect("there are three daemons or more");
        let stream = |model| CallerRequest {
            budget: BUDGET,
            ..CallerRequest::stream("draft", model, 1000)
        };
        let streams = ["blue", "red", "red"].into_iter().map(stream);
        let mut running = JoinSet::new();
        // One after the other, so that no runner gets three.
        for stream in streams.clone().chain(streams) {
            let before = run_count(&cluster);
            let addr = cluster.daemons[sender].caller_addr;
            let caller = cluster.caller.clone();
            running.spawn(async move {
                let response = caller.send(addr, &stream).await;
                (stream, response)
            });
            wait_until("a stream runs", async || run_count(&cluster) > before).await;
        }
        for runner in &cluster.runners {
            assert_eq!(runner.runs().len(), 2, "{} is full", runner.name);
        }
        Self { cluster, holder, other, running }
    }

    /// Has requests wait at a daemon for the runner of `blue`.
    async fn wait_at(&self, daemon: usize) -> Exchanges {
        let request = CallerRequest {
            budget: BUDGET,
            ..CallerRequest::stream("summary", "blue", 5)
        };
        let waiting = spawn_requests(&self.cluster, daemon, vec![request; WAITING]);
        wait_until("the requests wait", async || {
            let picked = self.cluster.daemons[daemon].lines("server picked");
            picked.iter().filter(|line| line["requests"] == 2).count() >= WAITING
        })
        .await;
        waiting
    }

    fn stop(&self, daemon: usize) {
        self.cluster.daemons[daemon].signal(Signal::TERM);
    }

    /// Stops the holder of the runner of `blue`, and waits until it has handed over the claim.
    async fn hand_over(&self, holder: usize) {
        self.stop(holder);
        wait_until("the claim is handed over", async || {
            let handed_over = self.cluster.daemons[holder].lines("claim handed over");
            handed_over.iter().any(|line| line["claim"] == RUNNER_CLAIMS[2])
        })
        .await;
    }

    /// Checks that each request got a whole answer after one run, or a refusal and no run.
    async fn check_answered(&self, mut waiting: Exchanges) {
        while let Some(ended) = waiting.join_next().await {
            let (request, response) = ended.expect("the caller ends");
            check_answered_once(&self.cluster, &request, &response);
        }
    }

    async fn end(mut self) {
        self.running.shutdown().await;
    }
}

/// Setups of three daemons and more, in which requests wait in the queue of one runner or of
/// several.
fn setups(daemons: usize) -> [Setup; 2] {
    let late_binding = Setup::contended(daemons);
    [Setup { with_policy: 0, ..late_binding }, late_binding]
}

/// Guards against requests whose connections end without an answer because the stopped holder
/// of a full runner admits them by a view of the runner that nobody updates any more.
#[tokio::test]
async fn requests_that_wait_at_a_stopped_holder_are_answered() {
    for setup in setups(3) {
        let full = FullCluster::start("holder", setup).await;
        let waiting = full.wait_at(full.holder).await;
        full.stop(full.holder);
        full.check_answered(waiting).await;
        full.end().await;
    }
}

/// Guards against requests that are sent to a full runner without a verdict of its next holder,
/// by a daemon that is stopped soon after the former one.
#[tokio::test]
async fn requests_are_answered_while_daemons_stop_in_turn() {
    for (setup, pause) in setups(4).into_iter().zip([600, 50]) {
        let full = FullCluster::start("in-turn", setup).await;
        let at_holder = full.wait_at(full.holder).await;
        let at_other = full.wait_at(full.other).await;
        full.stop(full.holder);
        sleep(Duration::from_millis(pause)).await;
        full.stop(full.other);
        full.check_answered(at_holder).await;
        full.check_answered(at_other).await;
        full.end().await;
    }
}

/// Guards against a new holder that takes a full runner for idle, because the daemons with
/// streams there have not reported to it yet, and admits all requests that wait; and against
/// requests that are sent without a verdict when the claim moves a second time.
#[tokio::test]
async fn a_new_holder_admits_no_request_to_a_full_runner() {
    for setup in setups(12) {
        let full = FullCluster::start("new-holder", setup).await;
        let waiting = full.wait_at(full.other).await;
        let blue = full.cluster.runners.last().map(Runner::runs).unwrap_or_default();
        full.hand_over(full.holder).await;
        // Several times as long as the reports and requests take.
        sleep(Duration::from_secs(1)).await;
        full.hand_over(holder_of(&full.cluster, RUNNER_CLAIMS[2]).await).await;
        sleep(Duration::from_secs(1)).await;
        let runs = full.cluster.runners.last().map(Runner::runs).unwrap_or_default();
        assert_eq!(runs, blue, "no request was sent to the full runner");
        drop(waiting);
        full.end().await;
    }
}

/// Sends plain requests to a daemon until they are aborted; eight at a time, since the queue
/// refuses late requests while more are in progress than it has permits, which are 20.
fn send_lookups(cluster: &Cluster, daemon: usize) -> JoinSet<()> {
    let mut lookups = JoinSet::new();
    for _ in 0..8 {
        let (caller, addr) =
            (cluster.caller.clone(), cluster.daemons[daemon].caller_addr);
        lookups.spawn(async move {
            loop {
                let response = caller.send(addr, &CallerRequest::plain("lookup")).await;
                assert_eq!(response.status, 200, "{response:?}");
            }
        });
    }
    lookups
}

/// Guards against plain requests that are sent without a permit, for a second after each planned
/// stop, because the former holder of their queue told one that the queue has moved.
#[tokio::test]
async fn permits_are_requested_from_the_next_holder_of_a_queue() {
    let cluster = Cluster::start("queue", 3).await;
    wait_for_claims(&cluster, &["pool:ledger"]).await;
    let holder = holder_of(&cluster, "pool:ledger").await;
    let others: Vec<usize> = (0..3).filter(|daemon| *daemon != holder).collect();
    let mut lookups: Vec<_> =
        others.iter().map(|daemon| send_lookups(&cluster, *daemon)).collect();
    sleep(Duration::from_millis(300)).await;
    cluster.daemons[holder].signal(Signal::TERM);
    wait_until("the queue has moved", async || {
        let lines = cluster.daemons[holder].lines("claim handed over");
        lines.iter().any(|line| line["claim"] == "pool:ledger")
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    for lookups in &mut lookups {
        while let Some(ended) = lookups.try_join_next() {
            ended.expect("all requests are served");
        }
        lookups.abort_all();
    }
    for daemon in others {
        let lines = cluster.daemons[daemon].all_lines();
        let granted = lines.iter().filter(|line| {
            line["place"].as_str().is_some_and(|place| place.starts_with("Send"))
        });
        let granted: HashSet<&Value> = granted.map(|line| &line["id"]).collect();
        let served = lines
            .iter()
            .filter(|line| line["msg"] == "request ended" && line["end"] == "answered");
        let served: HashSet<&Value> = served.map(|line| &line["id"]).collect();
        assert!(served.len() > 100, "{} requests", served.len());
        let without_permit = served.difference(&granted).count();
        assert_eq!(without_permit, 0, "{} were served in all", served.len());
    }
}

/// Guards against a connection that ends without an answer because the server of a request has
/// not responded when its daemon exits.
#[tokio::test]
async fn a_request_without_a_response_is_answered_before_its_daemon_exits() {
    let cluster = Cluster::start_with_proxies("unanswered", 2).await;
    wait_for_holders(&cluster).await;
    for proxy in cluster.proxies.servers() {
        proxy.set_fault(ProxyFault::Blocked { to_target: false, to_client: true });
    }
    let (caller, addr) = (cluster.caller.clone(), cluster.daemons[0].caller_addr);
    let request =
        CallerRequest { budget: BUDGET, ..CallerRequest::stream("draft", "blue", 3) };
    let waiting = tokio::spawn(async move { caller.send(addr, &request).await });
    wait_until("the request runs", async || run_count(&cluster) == 1).await;
    cluster.daemons[0].signal(Signal::TERM);
    let response = waiting.await.expect("the caller ends");
    // The request has run, which no refusal as not run may deny.
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(cluster.runs(&response), 1);
}

/// Guards against a stream that its caller never gets the rest of because it was stopped for
/// urgent requests, which leave it no slot before its daemon exits.
#[tokio::test]
async fn a_stopped_stream_is_resumed_before_its_daemon_exits() {
    let setup = Setup {
        contended_slots: Some(6),
        retry_slack: Some(60.0),
        ..Setup::contended(3)
    };
    let cluster = Cluster::start_with("paused", setup).await;
    wait_for_holders(&cluster).await;
    let holder = holder_of(&cluster, RUNNER_CLAIMS[2]).await;
    let daemon = (holder + 1) % 3;
    wait_for_share(&cluster, daemon).await;
    let urgent = (daemon + 1) % 3;
    // The model may be loaded at the others, which must not have free slots either.
    let long = CallerRequest::stream("draft", "red", 1000);
    let mut others = spawn_requests(&cluster, urgent, vec![long; 12]);
    wait_until("the others are full", async || run_count(&cluster) == 12).await;
    let summary = CallerRequest::stream("summary", "blue", 150);
    let mut summaries = spawn_requests(&cluster, daemon, vec![summary; 6]);
    wait_until("the streams run", async || run_count(&cluster) == 18).await;
    let mut drafts = send_drafts(&cluster, urgent);
    wait_until("several streams were stopped", async || {
        yielded(&cluster, daemon, "stopped").len() >= 4
    })
    .await;
    cluster.daemons[daemon].signal(Signal::TERM);
    while let Some(ended) = summaries.join_next().await {
        let (request, response) = ended.expect("the caller ends");
        assert!(response.complete, "{response:?}");
        check_answered_once(&cluster, &request, &response);
    }
    drafts.shutdown().await;
    others.shutdown().await;
}

/// Guards against requests that are taken late in the shutdown and whose connections end without an
/// answer at the exit: whole ones on open connections, and ones whose bodies were on their way when
/// the daemon stopped taking any.
#[tokio::test]
async fn requests_late_in_the_shutdown_are_not_passed_on() {
    let cluster = Cluster::start("late-requests", 2).await;
    wait_for_holders(&cluster).await;
    let addr = cluster.daemons[0].caller_addr;
    let mut callers = JoinSet::new();
    // The daemon refuses requests after 2.8 s, and exits after 7.6 s.
    let delays = [3000, 4500, 6000].into_iter();
    for (delay_ms, is_head_late) in
        delays.flat_map(|delay| [(delay, false), (delay, true)])
    {
        let id = format!("late-{delay_ms}-{is_head_late}");
        let head = format!(
            "POST /draft/x HTTP/1.1\r\nHost: letters.example\r\nX-Request-Id: {id}\r\n\
             X-Time-Budget-Ms: 14000\r\nX-Model: red\r\nX-Token-Count: 400,3000\r\n\
             X-Prompt-Prefix: a1:400\r\nContent-Length: 10\r\n\r\n"
        );
        callers.spawn(async move {
            let mut stream = TcpStream::connect(addr).await.expect("a connection");
            let (early, late) = head.split_at(if is_head_late { 0 } else { head.len() });
            stream.write_all(early.as_bytes()).await.expect("it is sent");
            sleep(Duration::from_millis(delay_ms)).await;
            let late = [late.as_bytes(), b"0123456789"].concat();
            let _ = stream.write_all(&late).await;
            let mut received = Vec::new();
            let end = stream.read_to_end(&mut received).await;
            let received = String::from_utf8_lossy(&received).into_owned();
            (id, received, end.map_err(|error| error.kind()))
        });
    }
    sleep(Duration::from_millis(50)).await;
    cluster.daemons[0].signal(Signal::TERM);
    while let Some(ended) = callers.join_next().await {
        let (id, received, end) = ended.expect("the caller ends");
        let status = received.get(9..12).unwrap_or_default();
        let runs = cluster.runners.iter().flat_map(Runner::runs);
        let runs = runs.filter(|(run, _)| *run == id).count();
        assert_eq!(
            (status, runs, &end.map(drop)),
            ("503", 0, &Ok(())),
            "{id}: {received}"
        );
    }
}
