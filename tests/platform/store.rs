//! The store is away, forgets its history, or holds what others wrote.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, StoreFault};
use tokio::time::sleep;

use crate::world::{World, until};

#[tokio::test]
async fn a_store_outage_is_none_for_callers() {
    // The store falls silent for seconds and returns. What is loaded is served all the
    // time; a configuration that was written meanwhile is in force soon after.
    let mut world = World::start("outage", 2).await;
    world.store.set_fault(StoreFault::Unresponsive);
    sleep(Duration::from_secs(3)).await;
    world.operator.add_route("added");
    for gate in 0..2 {
        let answer = world.ask(gate, &CallerRequest::stream("draft", "red", 5)).await;
        assert!(answer.complete);
        assert_eq!(world.ask(gate, &CallerRequest::plain("record")).await.status, 200);
    }
    world.store.set_fault(StoreFault::None);
    for gate in 0..2 {
        until("the new route is in force", async || {
            world.ask(gate, &CallerRequest::plain("added")).await.status == 200
        })
        .await;
    }
}

#[tokio::test]
async fn a_daemon_that_knows_nothing_sends_no_callers_to_itself() {
    // A daemon is killed and starts again while the store is silent. It knows neither
    // routes nor others, and would refuse whoever it sent to itself; without an address
    // callers ask another daemon. Once the store is back it serves.
    let mut world = World::start("blank", 2).await;
    world.store.set_fault(StoreFault::Unresponsive);
    world.gates[0].kill();
    world.gates[0].restart();
    until("the daemon is up", async || {
        !world.caller.get_text(world.gates[0].metrics, "/metrics").await.is_empty()
    })
    .await;
    assert_eq!(world.caller.directory(world.gates[0].directory).await, []);
    let known = world.caller.directory(world.gates[1].directory).await;
    assert!(known.contains(&world.gates[1].callers), "{known:?}");
    world.store.set_fault(StoreFault::None);
    world.until_ready().await;
}

#[tokio::test]
async fn configurations_only_go_forward() {
    // Routes are added and removed while the store forgets its history and an old
    // configuration is written once more. No daemon goes back to what was replaced.
    let mut world = World::start("forward", 2).await;
    let old = world.store.rows("op")["config"].clone();
    world.operator.add_route("added");
    world.store.discard_history();
    world.operator.remove_route("slow");
    for gate in 0..2 {
        until("the new route is in force", async || {
            world.ask(gate, &CallerRequest::plain("added")).await.status == 200
                && world.ask(gate, &CallerRequest::plain("slow")).await.status == 404
        })
        .await;
    }
    world.store.put("op", "config", Some(&old));
    sleep(Duration::from_secs(1)).await;
    for gate in 0..2 {
        assert_eq!(world.ask(gate, &CallerRequest::plain("added")).await.status, 200);
        assert_eq!(world.ask(gate, &CallerRequest::plain("slow")).await.status, 404);
    }
}

#[tokio::test]
async fn entries_of_other_writers_name_no_server() {
    // The registry holds an entry with an unknown state, one without an address, and
    // bytes that are no text. None of them is used, and the others hold.
    let world = World::start("foreign", 1).await;
    let mut strange = world.store.rows("servers")["s1"].clone();
    strange["state"] = "asleep".into();
    world.store.put("servers", "x1", Some(&strange));
    strange["state"] = "ready".into();
    strange["address"] = 7.into();
    world.store.put("servers", "x2", Some(&strange));
    world.store.put_bytes("servers", "x3", Some(vec![0xff, 0xfe, 0x00]));
    until("they are refused", async || {
        world.gates[0].lines("server's entry refused").len() >= 3
    })
    .await;
    for _ in 0..8 {
        assert_eq!(world.ask(0, &CallerRequest::plain("record")).await.status, 200);
    }
}
