//! Planned moves while demand shifts and running requests delay earlier moves.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{
    DomainName, MemberId, ModelName, ServerName, ServiceName, SoftwareVersion,
};
use chestnut_edge::{Engine, LoadedModel, Phase, RequestRate, ServerEntry};
use chestnut_pool::moves::Move;
use chestnut_pool::placement::{PlacementInput, PlacementPlanner};
use chestnut_pool::{DemandCounts, EngineTimings, LoadBound};
use indexmap::IndexMap;

use support::{engine, model};

/// Time between two runs of the planner.
const PERIOD: Duration = Duration::from_millis(250);

/// How long one runner has no holder at first.
const WITHOUT_HOLDER: Duration = Duration::from_secs(4);

fn runner(name: &str, models: &[&str]) -> ServerEntry {
    let held =
        |name: &&str| LoadedModel { model: model(name), version: 1, adapters: vec![] };
    ServerEntry {
        name: ServerName::try_from(name).expect("a valid name"),
        started_at_ms: Some(1),
        service: ServiceName::try_from("letters").expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: DomainName::try_from("a").expect("a valid name"),
        slots: 64,
        phase: Phase::Ready,
        warmup_remaining: Duration::ZERO,
        accepted_orders: 0,
        models: models.iter().map(held).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: None,
    }
}

fn load_bound(engine: &Engine) -> LoadBound {
    let window = Duration::from_secs(5);
    LoadBound { rate: engine.loads_per_s, window, overshoot: 1.1 }
}

/// Counters with a total of `prompt_tokens`.
fn counts(prompt_tokens: f64) -> DemandCounts {
    DemandCounts { prompt_tokens, ..DemandCounts::default() }
}

#[test]
fn a_drop_that_waits_for_requests_is_not_planned_again() {
    // Callers turn from one model to another. One runner drops its replica of the old
    // model, but the requests on it run for eight seconds, and the registry lists it until
    // then. The runner of the other replica is better suited, but can be given orders only
    // later. If the planner forgot the drop before it is done, it would count the first
    // replica as one that stays and drop the second as well, and callers of the old model
    // would find none.
    let declared = engine(&[("old", 80.0), ("hot", 80.0), ("x", 80.0), ("y", 80.0)]);
    let mut runners = [
        runner("r1", &["old", "x"]),
        runner("r2", &["old", "y"]),
        runner("r3", &["hot"]),
    ];
    runners[1].in_memory = vec![model("hot")];
    let start = Instant::now();
    let timings = EngineTimings::default();
    let mut planner = PlacementPlanner::new(start);
    let mut tokens = 0.0;
    let mut dropped_by = Vec::new();
    for period in 1..32 {
        let now = start + PERIOD * period;
        tokens += 15_000.0;
        planner.update_demand(
            MemberId(1),
            0,
            vec![(model("hot"), counts(tokens)), (model("old"), counts(1.0))],
        );
        let orphaned = if now < start + WITHOUT_HOLDER { &runners[1..2] } else { &[] };
        let fixed: Vec<_> = orphaned.iter().map(|runner| runner.name.clone()).collect();
        let input = PlacementInput {
            limits: &IndexMap::new(),
            speeds: &IndexMap::new(),
            runners: &runners,
            fixed: &fixed,
            engine: &declared,
            load_bound: load_bound(&declared),
            timings: &timings,
        };
        for change in planner.plan(&input, now) {
            if change.drop.contains(&model("old")) && !dropped_by.contains(&change.server)
            {
                dropped_by.push(change.server);
            }
        }
    }
    assert_eq!(dropped_by.len(), 1, "{dropped_by:?} drop it");
}

/// Guards against streams that can't go on because the only runner of their software version with
/// their model has ended, while another version serves all new ones.
#[test]
fn a_model_is_loaded_at_the_version_that_streams_need() {
    let declared = engine(&[("hot", 80.0), ("x", 80.0), ("y", 80.0)]);
    let version = |name: &str| Some(SoftwareVersion::try_from(name).expect("a version"));
    let mut runners =
        [runner("r1", &["hot", "x"]), runner("r2", &["x", "y"]), runner("r3", &["y"])];
    for (runner, name) in runners.iter_mut().zip(["v1", "v2", "v2"]) {
        runner.software = version(name);
    }
    let (start, timings) = (Instant::now(), EngineTimings::default());
    let first_move = |runners: &[ServerEntry]| {
        let mut planner = PlacementPlanner::new(start);
        let mut moves = Vec::new();
        for period in 1..12 {
            let now = start + PERIOD * period;
            planner.record_wanted(model("hot"), version("v2"), now);
            let input = PlacementInput {
                limits: &IndexMap::new(),
                speeds: &IndexMap::new(),
                runners,
                fixed: &[],
                engine: &declared,
                load_bound: load_bound(&declared),
                timings: &timings,
            };
            moves.extend(planner.plan(&input, now));
        }
        moves.into_iter().next()
    };
    let load = Move {
        server: runners[2].name.clone(),
        drop: Vec::new(),
        load: Some(model("hot")),
    };
    assert_eq!(first_move(&runners), Some(load));
    runners[2].software = version("v1");
    let planned = first_move(&runners).expect("room is freed");
    assert_eq!((&planned.server, planned.drop.len()), (&runners[1].name, 1));
}

/// Runners that carry out all planned moves, as listed in the registry.
struct SimulatedPool {
    runners: Vec<ServerEntry>,
    /// Orders in progress: the runner, the model, whether it is a load, and its end.
    in_progress: Vec<(usize, ModelName, bool, Instant)>,
}

impl SimulatedPool {
    fn start_move(&mut self, change: &Move, now: Instant) {
        let names = self.runners.iter().map(|runner| &runner.name);
        let index = names.into_iter().position(|name| *name == change.server).unwrap();
        let is_busy = self.in_progress.iter().any(|(at, ..)| *at == index);
        assert!(!is_busy, "{change:?} while another order is in progress");
        let drops = change.drop.iter().map(|model| (model, false, now + REQUEST_TIME));
        let loads = change.load.iter().map(|model| (model, true, now + LOAD_TIME));
        for (model, is_load, until) in drops.chain(loads) {
            self.in_progress.push((index, model.clone(), is_load, until));
        }
    }

    /// Runs the planner, and starts the moves that it plans.
    fn plan(&mut self, planner: &mut PlacementPlanner, declared: &Engine, now: Instant) {
        let timings = EngineTimings::default();
        let input = PlacementInput {
            limits: &IndexMap::new(),
            speeds: &IndexMap::new(),
            runners: &self.runners,
            fixed: &[],
            engine: declared,
            load_bound: load_bound(declared),
            timings: &timings,
        };
        for change in planner.plan(&input, now) {
            self.start_move(&change, now);
        }
    }

    fn advance(&mut self, now: Instant) {
        let (finished, rest) = std::mem::take(&mut self.in_progress)
            .into_iter()
            .partition::<Vec<_>, _>(|(.., until)| now >= *until);
        self.in_progress = rest;
        for (index, model, is_load, _) in finished {
            let Some(runner) = self.runners.get_mut(index) else { continue };
            let held = &mut runner.models;
            match is_load {
                true => held.push(LoadedModel { model, version: 1, adapters: vec![] }),
                false => held.retain(|held| held.model != model),
            }
        }
    }

    fn replicas(&self, name: &str) -> usize {
        self.runners.iter().filter(|runner| runner.has_model(&model(name))).count()
    }
}

/// How long requests on a dropped model continue to run.
const REQUEST_TIME: Duration = Duration::from_secs(3);

/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(1200);

#[test]
fn runners_free_room_while_earlier_loads_are_paced() {
    // Guards against taking a load's credit at the weight store when a runner starts to
    // free room: running requests hold the room for seconds, the credit is wasted, and the
    // model in demand has its replicas ten seconds late.
    let declared = engine(&[("old", 80.0), ("hot", 80.0), ("x", 80.0)]);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|index| runner(&format!("r{index}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["hot", "x"]);
    let mut pool = SimulatedPool { runners, in_progress: Vec::new() };
    let start = Instant::now();
    let mut planner = PlacementPlanner::new(start);
    let (mut old, mut hot) = (0.0, 0.0);
    let mut served_after = None;
    for period in 1..60 {
        let now = start + PERIOD * period;
        pool.advance(now);
        let has_shifted = now > start + Duration::from_secs(3);
        old += if has_shifted { 500.0 } else { 10_000.0 };
        hot += if has_shifted { 15_000.0 } else { 1_000.0 };
        planner.update_demand(
            MemberId(1),
            0,
            vec![(model("old"), counts(old)), (model("hot"), counts(hot))],
        );
        pool.plan(&mut planner, &declared, now);
        if pool.replicas("hot") >= 5 {
            served_after.get_or_insert(now.duration_since(start));
        }
    }
    // Five replicas are four loads at 1.1 a second after the first requests have finished.
    let served_after = served_after.expect("it gets five replicas");
    assert!(served_after < Duration::from_secs(10), "{served_after:?}");
}

#[test]
fn a_model_without_a_replica_does_not_wait_for_others_to_grow() {
    // Guards against a model in demand that no runner holds: its runner was removed while
    // all loads that the weight store allows were waiting for runners to free room for
    // further replicas of another model.
    let models = [("old", 80.0), ("hot", 80.0), ("lost", 80.0), ("x", 80.0)];
    let declared = engine(&models);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|index| runner(&format!("r{index}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["hot", "x"]);
    runners.push(runner("r8", &["lost", "x"]));
    let mut pool = SimulatedPool { runners, in_progress: Vec::new() };
    let start = Instant::now();
    let mut planner = PlacementPlanner::new(start);
    let (mut old, mut hot, mut lost) = (0.0, 0.0, 0.0);
    let mut served_after = None;
    for period in 1..60 {
        let now = start + PERIOD * period;
        pool.advance(now);
        let has_shifted = now > start + Duration::from_secs(3);
        let is_removed = now > start + Duration::from_secs(4);
        if is_removed {
            pool.runners.truncate(8);
        }
        old += if has_shifted { 500.0 } else { 10_000.0 };
        hot += if has_shifted { 15_000.0 } else { 1_000.0 };
        lost += 300.0;
        let demand = [("old", old), ("hot", hot), ("lost", lost)];
        let demand = demand.map(|(name, tokens)| (model(name), counts(tokens)));
        planner.update_demand(MemberId(1), 0, demand.to_vec());
        pool.plan(&mut planner, &declared, now);
        if is_removed && pool.replicas("lost") > 0 {
            served_after.get_or_insert(now.duration_since(start));
        }
    }
    // A runner frees room in three seconds and loads in 1.2.
    let served_after = served_after.expect("it is loaded again");
    assert!(served_after < Duration::from_secs(9), "{served_after:?}");
}

#[test]
fn free_room_goes_to_the_model_that_needs_it_by_then() {
    // Guards against loading the model that was in demand when a runner began to free room:
    // the burst is over when the requests on the runner have finished, and the model in
    // demand waits behind loads that nobody needs.
    let models = [("old", 80.0), ("burst", 80.0), ("hot", 80.0), ("x", 80.0)];
    let declared = engine(&models);
    let mut runners: Vec<ServerEntry> =
        (0..8).map(|index| runner(&format!("r{index}"), &["old", "x"])).collect();
    runners[0] = runner("r0", &["burst", "hot"]);
    let mut pool = SimulatedPool { runners, in_progress: Vec::new() };
    let start = Instant::now();
    let mut planner = PlacementPlanner::new(start);
    let (mut burst, mut hot) = (0.0, 0.0);
    for period in 1..46 {
        let now = start + PERIOD * period;
        pool.advance(now);
        let elapsed = now.duration_since(start).as_secs_f64();
        let (high, low) = (15_000.0, 500.0);
        burst += if (3.0..5.0).contains(&elapsed) { high } else { low };
        hot += if elapsed >= 5.0 { high } else { low };
        let demand = [("burst", burst), ("hot", hot)];
        let demand = demand.map(|(name, tokens)| (model(name), counts(tokens)));
        planner.update_demand(MemberId(1), 0, demand.to_vec());
        pool.plan(&mut planner, &declared, now);
    }
    let replicas = (pool.replicas("burst"), pool.replicas("hot"));
    assert!(replicas.0 <= 2 && replicas.1 >= 4, "{replicas:?}");
}

#[test]
fn the_first_counters_of_each_part_are_no_demand() {
    // Guards against a planner that takes over and counts the second part of a daemon's
    // counters, which run since its start, as current demand.
    let declared = engine(&[("a", 80.0), ("b", 80.0)]);
    let runners = [runner("r1", &["a", "b"])];
    let start = Instant::now();
    let timings = EngineTimings::default();
    let mut planner = PlacementPlanner::new(start);
    let input = PlacementInput {
        limits: &IndexMap::new(),
        speeds: &IndexMap::new(),
        runners: &runners,
        fixed: &[],
        engine: &declared,
        load_bound: load_bound(&declared),
        timings: &timings,
    };
    let mut demand_after = |tokens: f64, period: u32| {
        planner.update_demand(MemberId(1), 0, vec![(model("a"), counts(tokens))]);
        planner.update_demand(MemberId(1), 1, vec![(model("b"), counts(tokens))]);
        planner.plan(&input, start + PERIOD * period);
        (planner.demand(&model("a")), planner.demand(&model("b")))
    };
    assert_eq!(demand_after(1e6, 1), (0.0, 0.0));
    let (a, b) = demand_after(1e6 + 100.0, 2);
    assert!(a > 0.0 && a < 1.0, "{a}");
    assert_eq!(a, b);
}

/// Guards against a model that has its only replica on a runner that takes few requests, or
/// needs four times as long for each.
#[test]
fn a_model_on_a_limited_or_slow_runner_gets_another_replica() {
    let declared = engine(&[("a", 80.0), ("b", 80.0)]);
    let plans_load = |limit: Option<f64>, ratio: f64, tokens: f64| {
        let runners = [runner("r1", &["a"]), runner("r2", &["b"])];
        let rate = limit.map(|rate| RequestRate::try_from(rate).expect("a valid rate"));
        let limits =
            rate.map(|rate| (runners[0].name.clone(), rate)).into_iter().collect();
        let speeds = IndexMap::from([(runners[0].name.clone(), ratio)]);
        let start = Instant::now();
        let timings = EngineTimings::default();
        let mut planner = PlacementPlanner::new(start);
        let mut total = DemandCounts::default();
        (1..20).any(|period| {
            total.requests += 1.0;
            total.prompt_tokens += tokens;
            planner.update_demand(MemberId(1), 0, vec![(model("a"), total)]);
            let input = PlacementInput {
                limits: &limits,
                speeds: &speeds,
                runners: &runners,
                fixed: &[],
                engine: &declared,
                load_bound: load_bound(&declared),
                timings: &timings,
            };
            let moves = planner.plan(&input, start + PERIOD * period);
            moves.iter().any(|change| change.load == Some(model("a")))
        })
    };
    assert!(!plans_load(None, 1.0, 400.0));
    assert!(plans_load(Some(0.5), 1.0, 400.0));
    assert!(!plans_load(None, 1.0, 800.0));
    assert!(plans_load(None, 4.0, 800.0));
}
