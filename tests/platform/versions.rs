//! Streams at runners of several software versions.

use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, Runner, RunnerFault,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};

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

/// Resumes an interrupted stream as callers do: again after each refusal and its delay. `None` if
/// the caller had no event or the time is over.
async fn resume(
    caller: &Caller,
    addr: std::net::SocketAddr,
    first: &CallerResponse,
) -> Option<CallerResponse> {
    let last = first.events.last().filter(|_| !first.complete)?;
    let mut request = CallerRequest::stream("demand", "red", EVENTS);
    request.headers = vec![
        ("last-event-id".to_owned(), last.to_string()),
        ("resumes".to_owned(), first.id.clone()),
    ];
    let started = Instant::now();
    while started.elapsed() < RESUME_TIME {
        let response = caller.send(addr, &request).await;
        if response.status == 200 {
            return Some(response);
        }
        let delay = response.retry_after.unwrap_or(0.1).min(1.0);
        sleep(Duration::from_secs_f64(delay)).await;
    }
    None
}
