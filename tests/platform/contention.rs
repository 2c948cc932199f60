//! Streams of mixed objectives that contend for the slots of runners, with the `policy`
//! settings on.

use std::collections::HashSet;
use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, CallerResponse, Runner};
use rustix::process::Signal;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, Setup, wait_until};
use crate::event_numbers;
use crate::retry_bound;
use crate::servers::holder_of;

/// The claims of the cluster's runners.
pub const RUNNER_CLAIMS: [&str; 3] = ["server:r1", "server:r2", "server:r3"];

/// Sends requests to a daemon in the background, all at the same time.
pub fn spawn_requests(
    cluster: &Cluster,
    daemon: usize,
    requests: impl IntoIterator<Item = CallerRequest>,
) -> JoinSet<(CallerRequest, CallerResponse)> {
    let addr = cluster.daemons[daemon].caller_addr;
    let mut running = JoinSet::new();
    for request in requests {
        let caller = cluster.caller.clone();
        running.spawn(async move {
            let response = caller.send(addr, &request).await;
            (request, response)
        });
    }
    running
}

/// Waits until a daemon has a settled part of the retry bound; before that it stops no
/// streams.
pub async fn wait_for_share(cluster: &Cluster, daemon: usize) {
    // It takes two windows, as long as `wait_until` waits.
    sleep(retry_bound::WINDOW).await;
    wait_until("the daemon has its share", async || {
        !cluster.daemons[daemon].lines("share settled").is_empty()
    })
    .await;
}

/// The number of runs at all runners.
pub fn run_count(cluster: &Cluster) -> usize {
    cluster.runners.iter().map(|runner| runner.runs().len()).sum()
}

/// The ids of the requests whose streams yielded with this outcome at a daemon.
pub fn yielded(cluster: &Cluster, daemon: usize, outcome: &str) -> Vec<Value> {
    let lines = cluster.daemons[daemon].lines("stream yields");
    let lines = lines.into_iter().filter(|line| line["outcome"] == outcome);
    lines.map(|line| line["id"].clone()).collect()
}

/// Guards against a latency-tolerant stream that keeps an urgent request waiting at a full
/// runner, and against one that loses or repeats events, or runs on more servers than its
/// route allows, after it was stopped.
#[tokio::test]
async fn a_latency_tolerant_stream_yields_to_urgent_requests_and_resumes() {
    let cluster = Cluster::start_with("yield", Setup::contended(2)).await;
    wait_for_holders(&cluster).await;
    wait_for_share(&cluster, 0).await;
    let summary = CallerRequest::stream("summary", "blue", 250);
    let mut summaries = spawn_requests(&cluster, 0, [summary.clone(), summary]);
    wait_until("the summaries run", async || run_count(&cluster) == 2).await;
    let draft = CallerRequest::stream("draft", "blue", 5);
    wait_until("a stream was stopped", async || {
        let response = cluster.send(1, &draft).await;
        check_answered_once(&cluster, &draft, &response);
        assert!(response.complete, "{response:?}");
        !yielded(&cluster, 0, "stopped").is_empty()
    })
    .await;
    while let Some(ended) = summaries.join_next().await {
        let (_, response) = ended.expect("the caller ends");
        assert!(response.complete, "{response:?}");
        assert_eq!(response.events, event_numbers(250));
        let ran =
            |runner: &&Runner| runner.runs().iter().any(|(id, _)| *id == response.id);
        let servers = cluster.runners.iter().filter(ran).count();
        assert!(servers <= 2, "{} ran on {servers} servers", response.id);
    }
    let stopped = yielded(&cluster, 0, "stopped");
    let stopped_ids: HashSet<&Value> = stopped.iter().collect();
    assert_eq!(stopped.len(), stopped_ids.len(), "no stream is stopped twice");
    let resumed = yielded(&cluster, 0, "resumed");
    assert_eq!(stopped_ids, resumed.iter().collect());
}

/// Guards against a stopped stream that joins no queue, and so is not resumed, because urgent
/// requests keep its expected wait above the time that its caller still waits.
#[tokio::test]
async fn a_stopped_stream_is_resumed_under_lasting_urgent_load() {
    let cluster = Cluster::start_with("lasting", Setup::contended(2)).await;
    wait_for_holders(&cluster).await;
    wait_for_share(&cluster, 0).await;
    let (stopped, resumed) = stopped_and_resumed(&cluster, Duration::from_secs(9)).await;
    assert!(!stopped.is_empty(), "a stream was stopped");
    assert!(stopped.iter().all(|id| resumed.contains(id)), "{stopped:?} {resumed:?}");
}

/// Guards against streams that are stopped and not resumed because they have little time left,
/// or because their daemon has no settled part of the retry bound yet.
#[tokio::test]
async fn no_stream_is_stopped_that_may_not_be_resumed() {
    let cluster = Cluster::start_with("short", Setup::contended(2)).await;
    wait_for_holders(&cluster).await;
    let (stopped, resumed) = stopped_and_resumed(&cluster, Duration::from_secs(5)).await;
    assert!(stopped.iter().all(|id| resumed.contains(id)), "{stopped:?} {resumed:?}");
}

/// Sends urgent requests to a daemon until they are aborted.
pub fn send_drafts(cluster: &Cluster, daemon: usize) -> JoinSet<()> {
    let mut drafts = JoinSet::new();
    for _ in 0..16 {
        let (caller, addr) =
            (cluster.caller.clone(), cluster.daemons[daemon].caller_addr);
        drafts.spawn(async move {
            loop {
                caller.send(addr, &CallerRequest::stream("draft", "blue", 40)).await;
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
    drafts
}

/// Runs two latency-tolerant streams under lasting urgent load; returns which were stopped and
/// which resumed.
async fn stopped_and_resumed(
    cluster: &Cluster,
    budget: Duration,
) -> (Vec<Value>, Vec<Value>) {
    let summary =
        CallerRequest { budget, ..CallerRequest::stream("summary", "blue", 120) };
    let mut summaries = spawn_requests(cluster, 0, [summary.clone(), summary]);
    wait_until("the summaries run", async || run_count(cluster) == 2).await;
    let mut drafts = send_drafts(cluster, 1);
    while let Some(ended) = summaries.join_next().await {
        let (_, response) = ended.expect("the caller ends");
        let numbers = event_numbers(response.events.len() as u64);
        assert_eq!(response.events, numbers, "{response:?}");
    }
    drafts.abort_all();
    (yielded(cluster, 0, "stopped"), yielded(cluster, 0, "resumed"))
}

/// Guards against requests that are lost, run twice or are refused untruthfully when the
/// holder of a runner is killed while they wait in the queues of several runners.
#[tokio::test]
async fn requests_in_several_queues_survive_the_loss_of_a_holder() {
    let mut cluster = Cluster::start_with("queues", Setup::contended(3)).await;
    wait_for_holders(&cluster).await;
    let holder = holder_of(&cluster, "server:r1").await;
    let daemon = (holder + 1) % 3;
    let draft = |events| CallerRequest::stream("draft", "red", events);
    let summary = CallerRequest::stream("summary", "red", 20);
    let mut running = spawn_requests(&cluster, daemon, vec![draft(100); 4]);
    wait_until("both runners are full", async || run_count(&cluster) == 4).await;
    let waiting = [draft(10), draft(10), summary.clone(), summary.clone(), summary];
    let mut waiting = spawn_requests(&cluster, daemon, waiting);
    wait_until("requests wait in several queues", async || {
        cluster.daemons[daemon].lines("further queue joined").len() >= 2
    })
    .await;
    assert_eq!(run_count(&cluster), 4, "no request was admitted before the kill");
    cluster.daemons[holder].kill();
    let mut completed = 0;
    while let Some(ended) = running.join_next().await {
        let (request, response) = ended.expect("the caller ends");
        check_answered_once(&cluster, &request, &response);
        completed += usize::from(response.complete);
    }
    assert_eq!(completed, 4, "running streams go on");
    while let Some(ended) = waiting.join_next().await {
        let (request, response) = ended.expect("the caller ends");
        check_answered_once(&cluster, &request, &response);
        completed += usize::from(response.complete);
    }
    assert!(completed > 4, "requests that waited are served");
    cluster.daemons[holder].restart();
    cluster.wait_until_ready().await;
}

/// Guards against a request whose connection ends without an answer because it still waits for
/// a slot when its daemon, which was told to stop, exits.
#[tokio::test]
async fn a_request_that_waits_is_refused_before_its_daemon_exits() {
    let setup = Setup { with_policy: 0, ..Setup::contended(2) };
    let cluster = Cluster::start_with("stopping", setup).await;
    wait_for_holders(&cluster).await;
    let budget = Duration::from_secs(14);
    let draft =
        |model| CallerRequest { budget, ..CallerRequest::stream("draft", model, 1000) };
    let mut running = spawn_requests(&cluster, 1, vec![draft("blue"); 2]);
    wait_until("the runner is full", async || run_count(&cluster) == 2).await;
    let full = cluster.runners.iter().position(|runner| runner.runs().len() == 2);
    let full = full.expect("both streams run on the only runner of the model");
    // The model may be loaded at the others, which must not have free slots either.
    let mut others = spawn_requests(&cluster, 1, vec![draft("red"); 4]);
    wait_until("all runners are full", async || run_count(&cluster) == 6).await;
    // The holder itself would hand over its claim, and send the request without a verdict.
    let daemon = 1 - holder_of(&cluster, RUNNER_CLAIMS[full]).await;
    let summary = CallerRequest { budget, ..CallerRequest::stream("summary", "blue", 5) };
    let mut waiting = spawn_requests(&cluster, daemon, [summary]);
    wait_until("the request waits", async || {
        let picked = cluster.daemons[daemon].lines("server picked");
        picked.iter().any(|line| line["requests"] == 2)
    })
    .await;
    cluster.daemons[daemon].signal(Signal::TERM);
    let ended = waiting.join_next().await.expect("a request was sent");
    let (request, response) = ended.expect("the caller ends");
    assert!(!response.complete, "both slots are taken: {response:?}");
    check_answered_once(&cluster, &request, &response);
    running.abort_all();
    others.abort_all();
}

/// Checks that a response is complete after one run, or a refusal that states truthfully that
/// the request has not run.
pub fn check_answered_once(
    cluster: &Cluster,
    request: &CallerRequest,
    response: &CallerResponse,
) {
    let mut runs = cluster.runs(response);
    if request.route == "summary" {
        // It may be stopped once, and then resumes after the events that its caller has.
        runs -= resumes(cluster, response).min(1);
    }
    let context = format!("{request:?} {response:?} ran {runs} times");
    if response.complete {
        assert_eq!(
            response.events,
            event_numbers(request.event_count.into()),
            "{context}"
        );
        assert_eq!(runs, 1, "{context}");
    } else {
        assert!([429, 503].contains(&response.status), "{context}");
        assert!(response.retry_after.is_some(), "{context}");
        assert_eq!(runs, 0, "{context}");
    }
}

/// The number of runs of a stream that began after its first event.
fn resumes(cluster: &Cluster, response: &CallerResponse) -> usize {
    let runs = cluster.runners.iter().flat_map(Runner::runs);
    runs.filter(|(id, after)| *id == response.id && *after > 0).count()
}

/// Waits until all daemons know the holders of all runners' claims; until then they send
/// requests by their own counts.
pub async fn wait_for_holders(cluster: &Cluster) {
    wait_for_claims(cluster, &RUNNER_CLAIMS).await;
}

/// Waits until all daemons know the holders of these claims.
pub async fn wait_for_claims(cluster: &Cluster, claims: &[&str]) {
    for daemon in &cluster.daemons {
        wait_until("a daemon knows the holders", async || {
            let state = cluster.caller.get_text(daemon.metrics_addr, "/state").await;
            let state: Value = serde_json::from_str(&state).unwrap_or_default();
            claims.iter().all(|claim| !state["claims"][claim]["holder"].is_null())
        })
        .await;
    }
}

/// Guards against requests that are not served, or run twice, while daemons with the `policy`
/// settings work with one that has all of them off and so sends messages of the older format.
#[tokio::test]
async fn daemons_with_and_without_the_settings_serve_together() {
    let setup = Setup { with_policy: 2, ..Setup::contended(3) };
    let cluster = Cluster::start_with("mixed", setup).await;
    wait_for_holders(&cluster).await;
    let mut holders = HashSet::new();
    for claim in RUNNER_CLAIMS {
        holders.insert(holder_of(&cluster, claim).await == 0);
    }
    assert_eq!(holders.len(), 2, "daemons of both kinds hold runners");
    // Three streams at a time are more than the slots of the one runner of `blue`, and few
    // enough for none to be refused.
    let mut running = JoinSet::new();
    for daemon in &cluster.daemons {
        let (caller, addr) = (cluster.caller.clone(), daemon.caller_addr);
        running.spawn(async move {
            let mut exchanges = Vec::new();
            for request in one_of_each_kind().into_iter().cycle().take(REQUEST_COUNT) {
                let response = caller.send(addr, &request).await;
                exchanges.push((request, response));
            }
            exchanges
        });
    }
    for (request, response) in running.join_all().await.into_iter().flatten() {
        check_answered_once(&cluster, &request, &response);
        assert!(response.complete, "{request:?} {response:?}");
    }
}

/// The number of requests to each daemon where daemons differ in their settings.
const REQUEST_COUNT: usize = 16;

/// A request to each route, and for each model.
fn one_of_each_kind() -> Vec<CallerRequest> {
    let streams = ["summary", "draft", "demand"].into_iter().flat_map(|route| {
        ["blue", "red"].map(|model| CallerRequest::stream(route, model, 8))
    });
    streams.chain(["record", "lookup"].map(CallerRequest::plain)).collect()
}
