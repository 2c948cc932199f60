//! Requests that crash the backend servers that run them.

use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{CRASHING_BODY, CallerRequest, Runner};
use tokio::time::sleep;

use crate::cluster::Cluster;

/// How long daemons may take to learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The crash after which retries are bounded.
const BOUNDED_AFTER: usize = 3;

/// The number of runs that are allowed [`CONTACT_TIME`] after that crash.
const MAX_LATER_RUNS: usize = 3;

/// Guards against a request that crashes one runner after another, because callers send it
/// again under other ids and to other daemons.
#[tokio::test]
async fn a_crashing_request_reaches_few_runners() {
    send_crashing_copies("draft").await;
}

/// Guards against a stream that crashes one runner after another, because daemons resume it.
#[tokio::test]
async fn a_crashing_resumable_request_reaches_few_runners() {
    send_crashing_copies("demand").await;
}

/// Sends copies of a crashing request to all daemons in turn, and checks how often it ran.
async fn send_crashing_copies(route: &str) {
    let cluster = Cluster::start("crash", 3).await;
    let copy = CallerRequest {
        path_end: Some("same".to_owned()),
        body: CRASHING_BODY.to_owned(),
        ..CallerRequest::stream(route, "red", 12)
    };
    let started = Instant::now();
    for daemon in (0..3).cycle() {
        let response = cluster.send(daemon, &copy).await;
        assert!(response.status != 200 || !response.complete, "{response:?}");
        sleep(Duration::from_millis(200)).await;
        if started.elapsed() > 5 * CONTACT_TIME {
            break;
        }
    }
    let mut crashes: Vec<Instant> =
        cluster.runners.iter().flat_map(Runner::crashes).map(|(_, at)| at).collect();
    crashes.sort_unstable();
    let bounded_from = crashes.get(BOUNDED_AFTER - 1).map(|at| *at + CONTACT_TIME);
    let later = crashes.iter().filter(|at| bounded_from.is_some_and(|from| **at > from));
    let later = later.count();
    assert!(later <= MAX_LATER_RUNS, "{} crashes, {later} of them late", crashes.len());
}
