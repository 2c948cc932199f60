//! Backend servers that name a limit on the requests that they take.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Arrival, Caller, CallerRequest};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};

/// The limit that a server names, in requests a second.
const LIMIT: f64 = 2.0;

/// How long daemons may take to learn of a limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The time in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How long callers send requests after a server has named its limit.
const PLAY_TIME: Duration = Duration::from_secs(9);

/// The most requests in a window: one and a half times the limit, and five.
const MAX_ARRIVALS: usize = (1.5 * LIMIT * 4.0) as usize + 5;

/// Guards against a server in need that gets as many requests as before, because the daemon
/// that sends them doesn't know of its limit or counts its own requests alone.
#[tokio::test]
async fn a_server_gets_no_more_than_the_limit_that_it_names() {
    let cluster = Cluster::start("limit", 3).await;
    let callers = Callers::start(&cluster);
    sleep(Duration::from_millis(500)).await;
    cluster.runners[0].set_limit(Some(LIMIT));
    cluster.services[0].set_limit(Some(LIMIT));
    let named_at = Instant::now();
    sleep(PLAY_TIME).await;
    callers.stop().await;
    let from = named_at + CONTACT_TIME;
    let runner = most_arrivals(&cluster.runners[0].arrivals(), from);
    let plain = most_arrivals(&cluster.services[0].arrivals(), from);
    assert!(
        runner <= MAX_ARRIVALS && plain <= MAX_ARRIVALS,
        "{runner} requests at the runner, {plain} at the plain server"
    );
}

/// Guards against a limit that is forgotten, or granted twice, when another daemon takes over.
#[tokio::test]
async fn a_limit_holds_while_daemons_stop_are_suspended_and_killed() {
    let mut cluster = Cluster::start("handover", 3).await;
    let callers = Callers::start(&cluster);
    cluster.runners[0].set_limit(Some(LIMIT));
    cluster.services[0].set_limit(Some(LIMIT));
    let named_at = Instant::now();
    for daemon in 0..3 {
        let signal = [Signal::TERM, Signal::KILL, Signal::STOP][daemon];
        cluster.daemons[daemon].signal(signal);
        sleep(Duration::from_secs(4)).await;
        if signal == Signal::STOP {
            cluster.daemons[daemon].signal(Signal::CONT);
            continue;
        }
        wait_until("the daemon has ended", async || {
            cluster.daemons[daemon].exit_status().is_some()
        })
        .await;
        cluster.daemons[daemon].restart();
    }
    sleep(Duration::from_secs(3)).await;
    callers.stop().await;
    let from = named_at + CONTACT_TIME;
    let runner = most_arrivals(&cluster.runners[0].arrivals(), from);
    let plain = most_arrivals(&cluster.services[0].arrivals(), from);
    assert!(
        runner <= MAX_ARRIVALS && plain <= MAX_ARRIVALS,
        "{runner} requests at the runner, {plain} at the plain server"
    );
}

/// Guards against a server that stays idle after it has taken back its limit.
#[tokio::test]
async fn a_limit_that_ends_is_noticed() {
    let cluster = Cluster::start("limit-end", 2).await;
    let callers = Callers::start(&cluster);
    cluster.runners[0].set_limit(Some(LIMIT));
    cluster.services[0].set_limit(Some(LIMIT));
    sleep(CONTACT_TIME).await;
    cluster.runners[0].set_limit(None);
    cluster.services[0].set_limit(None);
    wait_until("both servers get more than the limit again", async || {
        let from = Instant::now() - WINDOW;
        let runner = most_arrivals(&cluster.runners[0].arrivals(), from);
        let plain = most_arrivals(&cluster.services[0].arrivals(), from);
        runner > MAX_ARRIVALS && plain > MAX_ARRIVALS
    })
    .await;
    callers.stop().await;
}

/// Callers that send streams and plain requests to all daemons.
struct Callers {
    tasks: JoinSet<()>,
    stopped: Arc<AtomicBool>,
}

impl Callers {
    fn start(cluster: &Cluster) -> Self {
        let mut tasks = JoinSet::new();
        let stopped = Arc::new(AtomicBool::new(false));
        for daemon in &cluster.daemons {
            for request in
                [CallerRequest::stream("draft", "red", 6), CallerRequest::plain("record")]
            {
                let (caller, stopped) = (cluster.caller.clone(), stopped.clone());
                tasks.spawn(send(caller, daemon.caller_addr, request, stopped));
            }
        }
        Self { tasks, stopped }
    }

    async fn stop(mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn send(
    caller: Caller,
    addr: SocketAddr,
    request: CallerRequest,
    stopped: Arc<AtomicBool>,
) {
    while !stopped.load(Ordering::Relaxed) {
        // Requests that are refused while a server takes few are sent again.
        caller.send(addr, &request).await;
        sleep(Duration::from_millis(40)).await;
    }
}

/// The most arrivals in any [`WINDOW`] that begins at `from` or later.
fn most_arrivals(arrivals: &[Arrival], from: Instant) -> usize {
    let times = arrivals.iter().map(|arrival| arrival.at);
    let later: Vec<Instant> = times.filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        later.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    later.iter().map(in_window).max().unwrap_or_default()
}
