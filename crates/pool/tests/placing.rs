//! Which models are moved while demand shifts and runs hold up what was decided.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ServerName, ServiceName};
use chestnut_edge::{HeldModel, Phase, ServerEntry};
use chestnut_pool::placing::{Placing, Scene};

use support::{engine, model};

/// How often the planner looks.
const PERIOD: Duration = Duration::from_millis(250);

/// How long a runner has no holder at first.
const ORPHANED: Duration = Duration::from_secs(4);

fn runner(name: &str, models: &[&str]) -> ServerEntry {
    let held =
        |name: &&str| HeldModel { model: model(name), version: 1, adapters: vec![] };
    ServerEntry {
        name: ServerName::try_from(name).expect("a valid name"),
        born: Some(1),
        service: ServiceName::try_from("letters").expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: DomainName::try_from("a").expect("a valid name"),
        slots: 64,
        phase: Phase::Ready,
        cold: Duration::ZERO,
        orders: 0,
        models: models.iter().map(held).collect(),
        warm: Vec::new(),
        on_disk: Vec::new(),
    }
}

#[test]
fn a_drop_that_waits_for_runs_is_not_taken_for_undone() {
    // Callers turn from one model to another. A replica of the old one makes room, but its
    // runs last for eight seconds, and the registry lists it until then. The other replica
    // stands on a runner that is better suited, but can be given orders only later. A
    // planner that forgets the drop before it is done takes the first replica for one that
    // stays, drops the second as well, and callers of the old model find none.
    let declared = engine(&[("old", 80.0), ("hot", 80.0), ("x", 80.0), ("y", 80.0)]);
    let mut runners = [
        runner("r1", &["old", "x"]),
        runner("r2", &["old", "y"]),
        runner("r3", &["hot"]),
    ];
    runners[1].warm = vec![model("hot")];
    let start = Instant::now();
    let mut placing = Placing::new(start);
    let mut asked = 0.0;
    let mut dropped = Vec::new();
    for look in 1..32 {
        let now = start + PERIOD * look;
        asked += 15_000.0;
        placing.count(MemberId(1), vec![(model("hot"), asked), (model("old"), 1.0)]);
        let silent = if now < start + ORPHANED { &runners[1..2] } else { &[] };
        let fixed: Vec<_> = silent.iter().map(|runner| runner.name.clone()).collect();
        let scene = Scene { runners: &runners, fixed: &fixed, engine: &declared };
        for change in placing.decide(&scene, now) {
            if change.drop.contains(&model("old")) && !dropped.contains(&change.server) {
                dropped.push(change.server);
            }
        }
    }
    assert_eq!(dropped.len(), 1, "{dropped:?} drop it");
}
