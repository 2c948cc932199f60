//! Streams at runners of several software versions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, Runner, RunnerFault,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{Cluster, Daemon, wait_until};
use crate::proxy::ProxyFault;

/// How long a caller tries to resume a stream.
const RESUME_TIME: Duration = Duration::from_secs(4);

/// The number of streams that run at the same time.
const STREAMS: usize = 8;

/// The number of events of a stream.
const EVENTS: u32 = 60;

/// What became of interrupted streams.
#[derive(Debug, Default)]
struct Resumed {
    /// Streams whose callers had an event before the interruption.
    begun: usize,
    /// Those that another response continued.
    continued: usize,
    /// Those with events of two versions.
    mixed: usize,
}

impl Resumed {
    fn record(&mut self, first: &CallerResponse, second: Option<&CallerResponse>) {
        let mut versions = first.versions.clone();
        self.begun += usize::from(!versions.is_empty());
        if let Some(second) = second {
            self.continued += usize::from(!second.versions.is_empty());
            versions.extend(second.versions.clone());
        }
        versions.dedup();
        self.mixed += usize::from(versions.len() > 1);
    }
}

/// Guards against a caller's stream that goes on at another software version, because the daemon
/// that began it was killed.
#[tokio::test]
async fn streams_resumed_by_callers_stay_at_one_software_version() {
    let mut cluster = cluster_of_two_versions("takeover").await;
    let mut resumed = Resumed::default();
    for round in 0..6 {
        let killed = round % 3;
        let streams = start_streams(&cluster, killed, STREAMS);
        sleep(Duration::from_millis(500)).await;
        cluster.daemons[killed].kill();
        cluster.daemons[killed].restart();
        let mut resumes = Vec::new();
        for (number, stream) in streams.into_iter().enumerate() {
            let first = stream.await.expect("the caller ends");
            let other = (killed + 1 + number % 2) % 3;
            let (caller, addr) =
                (cluster.caller.clone(), cluster.daemons[other].caller_addr);
            resumes.push(tokio::spawn(async move {
                let second = resume(&caller, addr, &first).await;
                (first, second)
            }));
        }
        for task in resumes {
            let (first, second) = task.await.expect("the caller ends");
            resumed.record(&first, second.as_ref());
        }
        cluster.wait_until_ready().await;
    }
    eprintln!("{resumed:?}");
    assert!(resumed.begun >= 2 * STREAMS, "{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    assert!(2 * resumed.continued > resumed.begun, "{resumed:?}");
}

/// Guards against one response with events of two software versions, because the daemon resumed
/// an interrupted stream at another runner.
#[tokio::test]
async fn streams_resumed_by_daemons_stay_at_one_software_version() {
    let cluster = cluster_of_two_versions("resume").await;
    for runner in &cluster.runners {
        runner.set_fault(RunnerFault::DisconnectAfter(EVENTS / 2));
    }
    let mut resumed = Resumed::default();
    for daemon in 0..3 {
        for stream in start_streams(&cluster, daemon, STREAMS / 2) {
            let response = stream.await.expect("the caller ends");
            resumed.record(&response, None);
            resumed.continued += usize::from(response.complete);
        }
    }
    eprintln!("{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
    assert!(2 * resumed.continued > resumed.begun, "{resumed:?}");
}

/// Starts three daemons and four runners with the model `red`, two of each version.
async fn cluster_of_two_versions(name: &str) -> Cluster {
    let mut cluster = Cluster::start(name, 3).await;
    for name in ["r4", "r5"] {
        let runner = Runner::start(&cluster.store, name, &["red"]).await;
        cluster.runners.push(runner);
    }
    for runner in [1, 4] {
        cluster.runners[runner].set_version("v2");
    }
    for daemon in &cluster.daemons {
        wait_until("the daemon lists the runners", async || {
            daemon.lines("server listed").iter().any(|line| line["server"] == "r5")
        })
        .await;
    }
    wait_until("the runners' claims are held", async || {
        let rows = cluster.store.rows("chestnut");
        rows.keys().filter(|key| key.starts_with("claim:server:")).count() >= 5
    })
    .await;
    cluster
}

fn start_streams(
    cluster: &Cluster,
    daemon: usize,
    count: usize,
) -> Vec<JoinHandle<CallerResponse>> {
    let addr = cluster.daemons[daemon].caller_addr;
    let start = |_| {
        let caller = cluster.caller.clone();
        let request = CallerRequest::stream("demand", "red", EVENTS);
        tokio::spawn(async move { caller.send(addr, &request).await })
    };
    (0..count).map(start).collect()
}

/// Starts streams that the runners with `v2` run.
async fn start_streams_at_v2(cluster: &Cluster) -> Vec<JoinHandle<CallerResponse>> {
    let set_fault = |fault| {
        [0, 3].iter().for_each(|runner| cluster.runners[*runner].set_fault(fault));
    };
    set_fault(RunnerFault::Rejecting);
    let streams = start_streams(cluster, 0, STREAMS);
    sleep(Duration::from_millis(400)).await;
    set_fault(RunnerFault::None);
    streams
}

/// Replaces the runners with `v2` by ones with `v1`.
fn replace_v2(cluster: &Cluster) {
    [1, 4].iter().for_each(|runner| cluster.runners[*runner].set_version("v1"));
}

/// Resumes an interrupted stream as callers do: again after each refusal and its delay. `None` if
/// the caller had no event or the time is over.
async fn resume(
    caller: &Caller,
    addr: SocketAddr,
    first: &CallerResponse,
) -> Option<CallerResponse> {
    let started = Instant::now();
    while started.elapsed() < RESUME_TIME {
        let response = resume_once(caller, addr, first).await?;
        if response.status == 200 {
            return Some(response);
        }
        let delay = response.retry_after.unwrap_or(0.1).min(1.0);
        sleep(Duration::from_secs_f64(delay)).await;
    }
    None
}

/// Tries once to resume an interrupted stream; `None` if its caller had no event.
async fn resume_once(
    caller: &Caller,
    addr: SocketAddr,
    first: &CallerResponse,
) -> Option<CallerResponse> {
    let last = first.events.last().filter(|_| !first.complete)?;
    let mut request = CallerRequest::stream("demand", "red", EVENTS);
    request.headers = vec![
        ("last-event-id".to_owned(), last.to_string()),
        ("resumes".to_owned(), first.id.clone()),
    ];
    Some(caller.send(addr, &request).await)
}

/// Guards against a guess where a stream began, and against callers that wait for the answer: a
/// resume that names an unknown attempt, none, two, or one on a route without resumable streams.
#[tokio::test]
async fn a_resume_whose_origin_is_not_known_is_refused_at_once() {
    let cluster = cluster_of_two_versions("unknown").await;
    let send = async |daemon: usize, route: &str, names: &[&str]| {
        let mut request = CallerRequest::stream(route, "red", EVENTS);
        request.headers = vec![("last-event-id".to_owned(), "5".to_owned())];
        let names = names.iter().map(|name| ("resumes".to_owned(), (*name).to_owned()));
        request.headers.extend(names);
        let response = cluster.send(daemon, &request).await;
        assert!(response.elapsed < Duration::from_secs(2), "{response:?}");
        assert_eq!(cluster.runs(&response), 0, "{response:?}");
        response
    };
    for daemon in 0..3 {
        let unknown = send(daemon, "demand", &["never-sent"]).await;
        assert_eq!(unknown.status, 503, "{unknown:?}");
        assert!(unknown.retry_after.is_some_and(|delay| delay > 0.0), "{unknown:?}");
        let too_long = "x".repeat(300);
        for names in [&[][..], &["a", "b"], &[""], &[too_long.as_str()]] {
            assert_eq!(send(daemon, "demand", names).await.status, 400, "{names:?}");
        }
        assert_eq!(send(daemon, "draft", &["a"]).await.status, 400);
    }
}

/// Guards against a stream that waits until its deadline for a software version that is gone, and
/// against one that goes on at another version where that is the only one left.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let mut cluster = cluster_of_two_versions("gone").await;
    let streams = start_streams_at_v2(&cluster).await;
    cluster.daemons[0].kill();
    cluster.daemons[0].restart();
    replace_v2(&cluster);
    cluster.wait_until_ready().await;
    let mut gone = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let first = stream.await.expect("the caller ends");
        let addr = cluster.daemons[number % 3].caller_addr;
        let Some(second) = resume_once(&cluster.caller, addr, &first).await else {
            continue;
        };
        gone += 1;
        assert_eq!(second.status, 503, "{first:?} {second:?}");
        assert!(second.elapsed < Duration::from_secs(2), "{second:?}");
    }
    assert!(gone > 0);
}

/// Guards against a guess by daemons that have all started after the last server of a version was
/// replaced, and know only the one that is left.
#[tokio::test]
async fn a_replaced_version_is_known_to_daemons_that_start_later() {
    let mut cluster = cluster_of_two_versions("replaced").await;
    wait_until("both versions are in the store", async || {
        let rows = cluster.store.rows("chestnut");
        rows.keys().filter(|key| key.starts_with("software:pool/")).count() == 2
    })
    .await;
    let streams = start_streams_at_v2(&cluster).await;
    replace_v2(&cluster);
    cluster.daemons.iter_mut().for_each(Daemon::kill);
    cluster.daemons.iter_mut().for_each(Daemon::restart);
    cluster.wait_until_ready().await;
    let mut resumed = Resumed::default();
    for (number, stream) in streams.into_iter().enumerate() {
        let first = stream.await.expect("the caller ends");
        let addr = cluster.daemons[number % 3].caller_addr;
        let second = resume_once(&cluster.caller, addr, &first).await;
        resumed.record(&first, second.as_ref());
    }
    assert!(resumed.begun > 0, "{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
}

/// Guards against a daemon that has not heard of a new version and resumes its streams at the
/// version that it knows, because the store rejects it alone.
#[tokio::test]
async fn a_daemon_cut_off_from_the_store_guesses_no_version() {
    let mut cluster = Cluster::start_with_proxies("outdated", 3).await;
    cluster.proxies.stores[0]
        .set_fault(ProxyFault::Blocked { to_target: true, to_client: true });
    let runner = Runner::start(&cluster.store, "r4", &["red"]).await;
    runner.set_version("v2");
    cluster.runners.push(runner);
    let mut resumed = Resumed::default();
    for _ in 0..3 {
        let streams = start_streams(&cluster, 1, STREAMS);
        sleep(Duration::from_millis(400)).await;
        cluster.daemons[1].kill();
        cluster.daemons[1].restart();
        let cut_off = cluster.daemons[0].caller_addr;
        let resumes: Vec<_> = streams
            .into_iter()
            .map(|stream| {
                let caller = cluster.caller.clone();
                tokio::spawn(async move {
                    let first = stream.await.expect("the caller ends");
                    let second = resume(&caller, cut_off, &first).await;
                    (first, second)
                })
            })
            .collect();
        for task in resumes {
            let (first, second) = task.await.expect("the caller ends");
            resumed.record(&first, second.as_ref());
        }
        wait_until("the daemon serves again", async || {
            cluster.caller.is_ready(cluster.daemons[1].readiness_addr).await
        })
        .await;
    }
    assert!(resumed.begun > STREAMS, "{resumed:?}");
    assert_eq!(resumed.mixed, 0, "{resumed:?}");
}

/// Guards against callers that name no attempt being served worse where one version serves.
#[tokio::test]
async fn a_stream_is_resumed_without_a_name_where_one_version_serves() {
    let mut cluster = Cluster::start("single", 3).await;
    let streams = start_streams(&cluster, 0, STREAMS);
    sleep(Duration::from_millis(400)).await;
    cluster.daemons[0].kill();
    let mut begun = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let first = stream.await.expect("the caller ends");
        let Some(last) = first.events.last() else { continue };
        let mut request = CallerRequest::stream("demand", "red", EVENTS);
        request.headers = vec![("last-event-id".to_owned(), last.to_string())];
        let second = cluster.send(1 + number % 2, &request).await;
        assert!(second.complete, "{second:?}");
        begun += 1;
    }
    assert!(begun > 0);
}
