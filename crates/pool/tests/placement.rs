//! Which models are moved while demand shifts and runs hold up what was decided.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ModelName, ServerName, ServiceName};
use chestnut_edge::{Engine, HeldModel, Phase, ServerEntry};
use chestnut_pool::moves::Move;
use chestnut_pool::placement::{PlacementInput, PlacementPlanner};
use chestnut_pool::{DemandCounts, EngineTimings, LoadBound};

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

fn bound(engine: &Engine) -> LoadBound {
    let window = Duration::from_secs(5);
    LoadBound { rate: engine.loads_per_s, window, overshoot: 1.1 }
}

/// Prompts of so many tokens in all.
fn of(prompt: f64) -> DemandCounts {
    DemandCounts { prompt_tokens: prompt, ..DemandCounts::default() }
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
    let speeds = EngineTimings::default();
    let mut placing = PlacementPlanner::new(start);
    let mut asked = 0.0;
    let mut dropped = Vec::new();
    for look in 1..32 {
        let now = start + PERIOD * look;
        asked += 15_000.0;
        placing.update_demand(
            MemberId(1),
            0,
            vec![(model("hot"), of(asked)), (model("old"), of(1.0))],
        );
        let silent = if now < start + ORPHANED { &runners[1..2] } else { &[] };
        let fixed: Vec<_> = silent.iter().map(|runner| runner.name.clone()).collect();
        let scene = PlacementInput {
            runners: &runners,
            fixed: &fixed,
            engine: &declared,
            load_bound: bound(&declared),
            timings: &speeds,
        };
        for change in placing.plan(&scene, now) {
            if change.drop.contains(&model("old")) && !dropped.contains(&change.server) {
                dropped.push(change.server);
            }
        }
    }
    assert_eq!(dropped.len(), 1, "{dropped:?} drop it");
}

/// Runners that carry out what the planner says, as the registry lists them.
struct Carried {
    runners: Vec<ServerEntry>,
    /// Changes under way: the runner, the model, whether it is loaded, and until when.
    under_way: Vec<(usize, ModelName, bool, Instant)>,
}

impl Carried {
    fn take(&mut self, change: &Move, now: Instant) {
        let names = self.runners.iter().map(|runner| &runner.name);
        let index = names.into_iter().position(|name| *name == change.server).unwrap();
        let busy = self.under_way.iter().any(|(at, ..)| *at == index);
        assert!(!busy, "{change:?} while another order is carried out");
        let drops = change.drop.iter().map(|model| (model, false, now + RUNS));
        let loads = change.load.iter().map(|model| (model, true, now + LOAD));
        for (model, load, until) in drops.chain(loads) {
            self.under_way.push((index, model.clone(), load, until));
        }
    }

    /// Has the planner decide, and carries out what it says.
    fn plan(&mut self, placing: &mut PlacementPlanner, declared: &Engine, now: Instant) {
        let speeds = EngineTimings::default();
        let scene = PlacementInput {
            runners: &self.runners,
            fixed: &[],
            engine: declared,
            load_bound: bound(declared),
            timings: &speeds,
        };
        for change in placing.plan(&scene, now) {
            self.take(&change, now);
        }
    }

    fn advance(&mut self, now: Instant) {
        let (done, rest) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition::<Vec<_>, _>(|(.., until)| now >= *until);
        self.under_way = rest;
        for (index, model, load, _) in done {
            let Some(runner) = self.runners.get_mut(index) else { continue };
            let held = &mut runner.models;
            match load {
                true => held.push(HeldModel { model, version: 1, adapters: vec![] }),
                false => held.retain(|held| held.model != model),
            }
        }
    }

    fn replicas(&self, name: &str) -> usize {
        self.runners.iter().filter(|runner| runner.holds(&model(name))).count()
    }
}

/// How long runs on a model that is dropped go on.
const RUNS: Duration = Duration::from_secs(3);

/// How long a load takes.
const LOAD: Duration = Duration::from_millis(1200);

#[test]
fn runners_make_room_while_earlier_loads_are_paced() {
    // Guards against taking a load's turn at the weight store when a runner starts to make
    // room: runs hold the room for seconds, the turn is lost, and the model in demand has
    // its replicas ten seconds late.
    let declared = engine(&[("old", 80.0), ("hot", 80.0), ("x", 80.0)]);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|at| runner(&format!("r{at}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["hot", "x"]);
    let mut carried = Carried { runners, under_way: Vec::new() };
    let start = Instant::now();
    let mut placing = PlacementPlanner::new(start);
    let (mut old, mut hot) = (0.0, 0.0);
    let mut served = None;
    for look in 1..60 {
        let now = start + PERIOD * look;
        carried.advance(now);
        let shifted = now > start + Duration::from_secs(3);
        old += if shifted { 500.0 } else { 10_000.0 };
        hot += if shifted { 15_000.0 } else { 1_000.0 };
        placing.update_demand(
            MemberId(1),
            0,
            vec![(model("old"), of(old)), (model("hot"), of(hot))],
        );
        carried.plan(&mut placing, &declared, now);
        if carried.replicas("hot") >= 5 {
            served.get_or_insert(now.duration_since(start));
        }
    }
    // Five replicas are four loads at 1.1 a second after the first runs have ended.
    let served = served.expect("it gets five replicas");
    assert!(served < Duration::from_secs(10), "{served:?}");
}

#[test]
fn a_model_without_a_replica_does_not_wait_for_others_to_grow() {
    // Guards against a model that is asked for and held nowhere: its runner was taken away
    // while all loads that the weight store allows were waiting for runners to make room
    // for further replicas of another model.
    let models = [("old", 80.0), ("hot", 80.0), ("lost", 80.0), ("x", 80.0)];
    let declared = engine(&models);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|at| runner(&format!("r{at}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["hot", "x"]);
    runners.push(runner("r8", &["lost", "x"]));
    let mut carried = Carried { runners, under_way: Vec::new() };
    let start = Instant::now();
    let mut placing = PlacementPlanner::new(start);
    let (mut old, mut hot, mut lost) = (0.0, 0.0, 0.0);
    let mut served = None;
    for look in 1..60 {
        let now = start + PERIOD * look;
        carried.advance(now);
        let shifted = now > start + Duration::from_secs(3);
        let gone = now > start + Duration::from_secs(4);
        if gone {
            carried.runners.truncate(8);
        }
        old += if shifted { 500.0 } else { 10_000.0 };
        hot += if shifted { 15_000.0 } else { 1_000.0 };
        lost += 300.0;
        let asked = [("old", old), ("hot", hot), ("lost", lost)];
        let asked = asked.map(|(name, prompt)| (model(name), of(prompt)));
        placing.update_demand(MemberId(1), 0, asked.to_vec());
        carried.plan(&mut placing, &declared, now);
        if gone && carried.replicas("lost") > 0 {
            served.get_or_insert(now.duration_since(start));
        }
    }
    // A runner makes room in three seconds and loads in 1.2.
    let served = served.expect("it is loaded again");
    assert!(served < Duration::from_secs(9), "{served:?}");
}

#[test]
fn room_goes_to_the_model_that_needs_it_by_then() {
    // Guards against loading what was in demand when a runner began to make room: the burst
    // is over when the runs on it have ended, and the model that callers ask for now waits
    // for its turn behind loads that nobody wants.
    let models = [("old", 80.0), ("burst", 80.0), ("hot", 80.0), ("x", 80.0)];
    let declared = engine(&models);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|at| runner(&format!("r{at}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["burst", "hot"]);
    let mut carried = Carried { runners, under_way: Vec::new() };
    let start = Instant::now();
    let mut placing = PlacementPlanner::new(start);
    let (mut burst, mut hot) = (0.0, 0.0);
    for look in 1..46 {
        let now = start + PERIOD * look;
        carried.advance(now);
        let gone = now.duration_since(start).as_secs_f64();
        let (more, less) = (15_000.0, 500.0);
        burst += if (3.0..5.0).contains(&gone) { more } else { less };
        hot += if gone >= 5.0 { more } else { less };
        let asked = [("burst", burst), ("hot", hot)];
        let asked = asked.map(|(name, prompt)| (model(name), of(prompt)));
        placing.update_demand(MemberId(1), 0, asked.to_vec());
        carried.plan(&mut placing, &declared, now);
    }
    let replicas = (carried.replicas("burst"), carried.replicas("hot"));
    assert!(replicas.0 <= 2 && replicas.1 >= 4, "{replicas:?}");
}

#[test]
fn what_a_daemon_tells_in_parts_counts_once() {
    // Guards against a planner that takes over and counts the second part of what a daemon
    // has been asked since its start as demand of this moment.
    let declared = engine(&[("a", 80.0), ("b", 80.0)]);
    let runners = [runner("r1", &["a", "b"])];
    let start = Instant::now();
    let speeds = EngineTimings::default();
    let mut placing = PlacementPlanner::new(start);
    let scene = PlacementInput {
        runners: &runners,
        fixed: &[],
        engine: &declared,
        load_bound: bound(&declared),
        timings: &speeds,
    };
    let mut tell = |asked: f64, look: u32| {
        placing.update_demand(MemberId(1), 0, vec![(model("a"), of(asked))]);
        placing.update_demand(MemberId(1), 1, vec![(model("b"), of(asked))]);
        placing.plan(&scene, start + PERIOD * look);
        (placing.demand(&model("a")), placing.demand(&model("b")))
    };
    assert_eq!(tell(1e6, 1), (0.0, 0.0));
    let (a, b) = tell(1e6 + 100.0, 2);
    assert!(a > 0.0 && a < 1.0, "{a}");
    assert_eq!(a, b);
}
