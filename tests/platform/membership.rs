//! Membership of daemons that are suspended or restarted.

use std::time::Duration;

use chestnut_platform_stand_in::CallerRequest;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};
use crate::proxy::ProxyFault;

#[tokio::test]
async fn a_resumed_daemon_removes_no_members() {
    // A daemon is suspended for two and a half seconds; the others remove its row and
    // take over its claims. When it resumes, it has received no heartbeat for all that
    // time. It must join again and leave the others' rows alone: with the rows they would
    // lose the claims by which callers are served.
    let cluster = Cluster::start("thawed", 3).await;
    cluster.daemons[0].signal(Signal::STOP);
    sleep(Duration::from_millis(2500)).await;
    cluster.daemons[0].signal(Signal::CONT);
    let rejoin_message = "own row was removed, joining again";
    wait_until("the daemon has joined again", async || {
        !cluster.daemons[0].lines(rejoin_message).is_empty()
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    for daemon in &cluster.daemons[1..] {
        assert_eq!(daemon.lines(rejoin_message).len(), 0);
    }
}

#[tokio::test]
async fn runners_of_a_restarted_daemon_receive_requests() {
    // Guards against avoiding all runners whose claims are still held in the name of a
    // process that has been restarted and can't join yet.
    let mut cluster = Cluster::start_with_proxies("unjoined", 2).await;
    let rows = cluster.store.rows("chestnut");
    let holder = &rows["claim:server:r3"]["holder"];
    let restarted = usize::from(rows["daemon:vm0"]["member"] != *holder);
    cluster.proxies.stores[restarted]
        .set_fault(ProxyFault::Blocked { to_target: true, to_client: true });
    cluster.daemons[restarted].kill();
    cluster.daemons[restarted].restart();
    wait_until("the daemon has restarted", async || {
        cluster.daemons[restarted].lines("started").len() == 2
    })
    .await;
    let other = 1 - restarted;
    for _ in 0..3 {
        // The only runner with this model is the one whose claim the daemon held.
        let response =
            cluster.send(other, &CallerRequest::stream("draft", "blue", 3)).await;
        assert_eq!(response.status, 200);
    }
    let admissions = cluster.daemons[other].lines("turn");
    assert_eq!(admissions.iter().filter(|line| line["turn"] == "Denied").count(), 0);
}

#[tokio::test]
async fn a_restarted_daemon_loads_engine_timings() {
    // Guards against sending prompts at an assumed prefill rate after all daemons were
    // killed.
    let mut cluster = Cluster::start("learnt", 1).await;
    wait_until("engine timings are persisted", async || {
        let request = CallerRequest::stream("draft", "red", 2);
        assert_eq!(cluster.send(0, &request).await.status, 200);
        cluster.store.rows("chestnut").keys().any(|key| key.starts_with("engine:"))
    })
    .await;
    cluster.daemons[0].kill();
    cluster.daemons[0].restart();
    wait_until("the daemon has loaded them", async || {
        let lines = cluster.daemons[0].all_lines();
        let started = lines.iter().rposition(|line| line["msg"] == "started");
        lines[started.unwrap_or_default()..]
            .iter()
            .any(|line| line["msg"] == "engine known")
    })
    .await;
}
