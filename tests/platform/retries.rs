//! Retries over all daemons while daemons fail.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, ServerFault};
use futures::future::join_all;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::retry_bound::{self, WINDOW};

/// The number of daemons.
const DAEMONS: usize = 6;

/// The daemons that fail together.
const FAILING: std::ops::Range<usize> = 0..4;

/// How long the other daemons take to notice that some have failed, and to use it.
const FAILURE_TIME: Duration = Duration::from_secs(3);

/// Guards against daemons that retry as often as the failed ones could have, although these
/// have made their retries in the same window.
#[tokio::test]
async fn retries_stay_within_the_bound_after_daemons_are_killed() {
    let mut cluster = start_rejecting("retries-killed").await;
    send_to(&cluster, 0..DAEMONS, 5).await;
    for daemon in FAILING {
        cluster.daemons[daemon].kill();
    }
    sleep(FAILURE_TIME).await;
    send_to(&cluster, FAILING.end..DAEMONS, 8).await;
    for daemon in FAILING {
        cluster.daemons[daemon].restart();
    }
    sleep(Duration::from_secs(1)).await;
    send_to(&cluster, 0..DAEMONS, 2).await;
    retry_bound::check(&cluster);
}

/// Guards against suspended daemons that, once they run again, make retries that the others
/// have made in the meantime.
#[tokio::test]
async fn retries_stay_within_the_bound_after_daemons_are_suspended() {
    let cluster = start_rejecting("retries-suspended").await;
    for daemon in FAILING {
        cluster.daemons[daemon].signal(Signal::STOP);
    }
    sleep(FAILURE_TIME).await;
    send_to(&cluster, FAILING.end..DAEMONS, 8).await;
    for daemon in FAILING {
        cluster.daemons[daemon].signal(Signal::CONT);
    }
    send_to(&cluster, 0..DAEMONS, 3).await;
    retry_bound::check(&cluster);
}

/// Guards against daemons that make another window's retries with each restart.
#[tokio::test]
async fn retries_stay_within_the_bound_while_daemons_restart_repeatedly() {
    let mut cluster = start_rejecting("retries-restarted").await;
    send_to(&cluster, 0..DAEMONS, 5).await;
    for _ in 0..4 {
        for daemon in &mut cluster.daemons {
            daemon.kill();
            daemon.restart();
        }
        sleep(Duration::from_secs(1)).await;
        send_to(&cluster, 0..DAEMONS, 3).await;
    }
    retry_bound::check(&cluster);
}

/// Starts a cluster whose plain servers reject all requests, and waits until its daemons may
/// use their whole share of the retries.
async fn start_rejecting(name: &str) -> Cluster {
    let cluster = Cluster::start(name, DAEMONS).await;
    for service in &cluster.services {
        service.set_fault(ServerFault::Rejecting);
    }
    sleep(WINDOW * 2).await;
    cluster
}

/// Sends requests to each of the daemons, and waits until they have ended.
async fn send_to(cluster: &Cluster, daemons: std::ops::Range<usize>, requests: usize) {
    let request = CallerRequest::plain("lookup");
    let sends = daemons.flat_map(|daemon| (0..requests).map(move |_| daemon));
    join_all(sends.map(|daemon| cluster.send(daemon, &request))).await;
}
