//! Outages of the store, lost change history and rows written by other programs.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, StoreFault};
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};

#[tokio::test]
async fn callers_are_served_during_a_store_outage() {
    // The store is unresponsive for 3 s, then recovers. Loaded models are served all the
    // time; a configuration that was written meanwhile is in force soon after.
    let mut cluster = Cluster::start("outage", 2).await;
    cluster.store.set_fault(StoreFault::Unresponsive);
    sleep(Duration::from_secs(3)).await;
    cluster.operator.add_route("added");
    for daemon in 0..2 {
        let response =
            cluster.send(daemon, &CallerRequest::stream("draft", "red", 5)).await;
        assert!(response.complete);
        assert_eq!(
            cluster.send(daemon, &CallerRequest::plain("record")).await.status,
            200
        );
    }
    cluster.store.set_fault(StoreFault::None);
    for daemon in 0..2 {
        wait_until("the new route is in force", async || {
            cluster.send(daemon, &CallerRequest::plain("added")).await.status == 200
        })
        .await;
    }
}

#[tokio::test]
async fn a_daemon_without_configuration_lists_no_addresses() {
    // A daemon is killed and restarted while the store is unresponsive. It has neither
    // routes nor members, and would refuse the callers that its directory sent to itself;
    // with an empty directory they query another daemon. Once the store responds it
    // serves.
    let mut cluster = Cluster::start("blank", 2).await;
    cluster.store.set_fault(StoreFault::Unresponsive);
    cluster.daemons[0].kill();
    cluster.daemons[0].restart();
    wait_until("the daemon is up", async || {
        !cluster
            .caller
            .get_text(cluster.daemons[0].metrics_addr, "/metrics")
            .await
            .is_empty()
    })
    .await;
    assert_eq!(cluster.caller.directory(cluster.daemons[0].directory_addr).await, []);
    let listed = cluster.caller.directory(cluster.daemons[1].directory_addr).await;
    assert!(listed.contains(&cluster.daemons[1].caller_addr), "{listed:?}");
    cluster.store.set_fault(StoreFault::None);
    cluster.wait_until_ready().await;
}

#[tokio::test]
async fn a_replaced_configuration_is_never_restored() {
    // Routes are added and removed while the store discards its change history, and an
    // old configuration is written once more. No daemon may return to a configuration
    // that was replaced.
    let mut cluster = Cluster::start("forward", 2).await;
    let old = cluster.store.rows("op")["config"].clone();
    cluster.operator.add_route("added");
    cluster.store.discard_history();
    cluster.operator.remove_route("slow");
    for daemon in 0..2 {
        wait_until("the new route is in force", async || {
            cluster.send(daemon, &CallerRequest::plain("added")).await.status == 200
                && cluster.send(daemon, &CallerRequest::plain("slow")).await.status == 404
        })
        .await;
    }
    cluster.store.put("op", "config", Some(&old));
    sleep(Duration::from_secs(1)).await;
    for daemon in 0..2 {
        assert_eq!(
            cluster.send(daemon, &CallerRequest::plain("added")).await.status,
            200
        );
        assert_eq!(cluster.send(daemon, &CallerRequest::plain("slow")).await.status, 404);
    }
}

#[tokio::test]
async fn invalid_registry_entries_are_ignored() {
    // The registry holds an entry with an unknown state, one whose address is a number,
    // and one that is not valid UTF-8. None is used, and the valid entries stay in use.
    let cluster = Cluster::start("foreign", 1).await;
    let mut foreign = cluster.store.rows("servers")["s1"].clone();
    foreign["state"] = "asleep".into();
    cluster.store.put("servers", "x1", Some(&foreign));
    foreign["state"] = "ready".into();
    foreign["address"] = 7.into();
    cluster.store.put("servers", "x2", Some(&foreign));
    cluster.store.put_bytes("servers", "x3", Some(vec![0xff, 0xfe, 0x00]));
    wait_until("the invalid entries are rejected", async || {
        cluster.daemons[0].lines("server's entry refused").len() >= 3
    })
    .await;
    for _ in 0..8 {
        assert_eq!(cluster.send(0, &CallerRequest::plain("record")).await.status, 200);
    }
}
