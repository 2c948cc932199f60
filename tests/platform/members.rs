//! Daemons that stand still, and what the others make of that.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::world::{World, until};

#[tokio::test]
async fn a_daemon_that_stood_still_removes_nobody() {
    // A daemon is frozen for two and a half seconds; the others remove its row and take
    // over what it held. When it goes on it has heard nobody for as long as it stood still.
    // It joins again; the others keep their rows, and with them the claims by which callers
    // are served.
    let world = World::start("thawed", 3).await;
    world.gates[0].signal(Signal::STOP);
    sleep(Duration::from_millis(2500)).await;
    world.gates[0].signal(Signal::CONT);
    let again = "own row was removed, joining again";
    until("it has joined again", async || !world.gates[0].lines(again).is_empty()).await;
    sleep(Duration::from_secs(1)).await;
    for gate in &world.gates[1..] {
        assert_eq!(gate.lines(again).len(), 0);
    }
}
