//! Which runner is to load or drop which model.
//!
//! Load pattern: callers ask for a few of many models, and within seconds for
//! others. The weight store allows a load or two a second, a load takes about a
//! second, and dropping a model waits for the runs on it. Without this module the
//! models that everybody asks for stand on one or two runners while most are idle.
//!
//! Replicas that nobody asks for go before their room is needed, since that room can't
//! be had at once when it is; the last replica of a model stays. Room that is free goes
//! to whatever needs it by then. Where replicas go is decided by the planner of
//! `chestnut-place`.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ModelName, ServerName};
use chestnut_edge::{Engine, LoadedModel, ServerEntry};
use chestnut_place::{ModelState, Placement, PoolState, RunnerState, plan_placement};
use indexmap::{IndexMap, IndexSet};

use crate::demand::{DemandCounts, DemandEstimator};
use crate::moves::{ActiveMove, Move};
use crate::pacer::{LoadBound, LoadPacer};
use crate::timing::EngineTimings;
use crate::unreachable::UnreachableReports;

/// What one runner serves in time, in runners.
const THROUGHPUT: f64 = 1.0;

/// The share of their throughput that runners of an evenly loaded pool have in use,
/// at most.
const FULL: f64 = 0.8;

/// How long a change of demand is expected to last, against the time of a load.
const HORIZON: Duration = Duration::from_secs(20);

/// What a move costs against a percent of a runner's throughput.
const MOVE_WEIGHT: f64 = 2.0;

/// How long a runner is left alone after a move failed there.
///
/// An order that was not answered may act for seconds, and the next one fails as
/// often; another runner serves sooner.
const FAILED_TIME: Duration = Duration::from_secs(2);

/// How long before its load may begin a runner starts to make room.
///
/// The runs on what is dropped end first, within a few seconds.
const DRAIN_AHEAD: Duration = Duration::from_secs(2);

/// The share of a runner's throughput up to which the replicas that stay may be asked
/// for when one is dropped.
///
/// Half of where a further one would be loaded, so that none is loaded and dropped in
/// turns.
const WORTH_KEEPING: f64 = 0.35;

/// Bytes in a megabyte, as sizes are declared.
const MB: f64 = 1e6;

/// What is known of a service's placement.
#[derive(Debug)]
pub struct PlacementPlanner {
    demands: DemandEstimator,
    pace: LoadPacer,
    lost: UnreachableReports,
    /// Moves under way.
    moving: IndexMap<ServerName, ActiveMove>,
    /// Runners where a move failed, and until when they are left alone.
    failed: IndexMap<ServerName, Instant>,
}

/// A service's runners as the registry lists them, and what it declares.
pub struct PlacementInput<'a> {
    /// Runners that take new requests.
    pub runners: &'a [ServerEntry],
    /// Runners that nobody can give orders to now.
    pub fixed: &'a [ServerName],
    /// What is declared of them.
    pub engine: &'a Engine,
    /// What operators allow of loads from the weight store.
    pub load_bound: LoadBound,
    /// How fast they read prompts.
    pub timings: &'a EngineTimings,
}

impl PlacementPlanner {
    /// Starts to plan, with no load saved up.
    pub fn new(now: Instant) -> Self {
        Self {
            demands: DemandEstimator::new(now),
            pace: LoadPacer::new(now),
            lost: UnreachableReports::default(),
            moving: IndexMap::new(),
            failed: IndexMap::new(),
        }
    }

    /// Takes in a part of what callers have asked of a daemon since its start.
    pub fn update_demand(
        &mut self,
        from: MemberId,
        part: usize,
        asked: Vec<(ModelName, DemandCounts)>,
    ) {
        self.demands.update(from, part, asked);
    }

    /// Takes in which servers a daemon can't connect to.
    pub fn record_unreachable(
        &mut self,
        from: MemberId,
        servers: Vec<ServerName>,
        now: Instant,
    ) {
        self.lost.record(from, servers, now);
    }

    /// Whether daemons can't connect to a server; `daemons` is their number.
    pub fn is_unreachable(
        &self,
        server: &ServerName,
        daemons: usize,
        now: Instant,
    ) -> bool {
        self.lost.is_unreachable(server, daemons, now)
    }

    /// Takes in that a runner's holder could not make a move.
    pub fn record_failure(&mut self, change: &Move, now: Instant) {
        if self
            .moving
            .get(&change.server)
            .is_some_and(|known| known.current_step() == *change)
        {
            self.moving.swap_remove(&change.server);
            self.failed.insert(change.server.clone(), now + FAILED_TIME);
        }
    }

    /// The demand for a model, in runners.
    pub fn demand(&self, model: &ModelName) -> f64 {
        self.demands.estimate(model)
    }

    /// Decides what to move; returns the moves that are new.
    pub fn plan(&mut self, scene: &PlacementInput, now: Instant) -> Vec<Move> {
        self.demands.advance(scene.engine, scene.timings, now);
        self.forget_done(scene, now);
        let mut fresh = self.loads(scene, now);
        fresh.extend(self.drains(scene, now));
        fresh.extend(self.drops(scene, now));
        fresh
    }

    /// What runners are to do for the moves under way.
    pub fn steps(&self) -> impl Iterator<Item = Move> {
        self.moving.values().map(ActiveMove::current_step)
    }

    fn forget_done(&mut self, scene: &PlacementInput, now: Instant) {
        self.failed.retain(|_, until| now < *until);
        self.moving.retain(|server, moving| {
            let runner = scene.runners.iter().find(|runner| runner.name == *server);
            runner.is_some_and(|runner| moving.is_active(runner, now))
        });
    }

    /// Models that no runner holds or is loading.
    fn missing(&self, scene: &PlacementInput) -> Vec<ModelName> {
        let held = scene.runners.iter().flat_map(|runner| &runner.models);
        let held = held.map(|held| &held.model);
        let loading = self.moving.values().filter_map(ActiveMove::loading);
        let there: IndexSet<&ModelName> = held.chain(loading).collect();
        let models = scene.engine.models.keys();
        models.filter(|model| !there.contains(model)).cloned().collect()
    }

    /// Whether a load may begin now, which it then does.
    fn may_load(
        &mut self,
        scene: &PlacementInput,
        runner: &ServerEntry,
        model: &ModelName,
        now: Instant,
    ) -> bool {
        if is_near(runner, model) {
            return true;
        }
        let free = self.pace.available(scene.load_bound, now) > 0;
        if free {
            self.pace.take();
        }
        free
    }

    /// Begins loads into room that is free, whatever it was made for.
    fn loads(&mut self, scene: &PlacementInput, now: Instant) -> Vec<Move> {
        let parallel = self.pace.available(scene.load_bound, now)
            + self.count_moves(ActiveMove::loading);
        let mut pool = self.pool_state(scene, ActiveMove::loading);
        (pool.parallel_loads, pool.frozen) = (parallel, true);
        for (state, runner) in pool.runners.iter_mut().zip(scene.runners) {
            state.locked |= self.moving.contains_key(&runner.name);
        }
        let mut fresh = Vec::new();
        for change in moves(scene, &pool, &plan_placement(&pool)) {
            let Some(model) = change.load.clone() else { continue };
            let mut runners = scene.runners.iter();
            let runner = runners.find(|runner| runner.name == change.server);
            let Some(runner) = runner else { continue };
            if !self.moving.contains_key(&runner.name)
                && self.may_load(scene, runner, &model, now)
            {
                let time = runner.load_time(&model, &scene.engine.models[&model]);
                let moving = ActiveMove::start_load(change, time, now);
                fresh.push(moving.current_step());
                self.moving.insert(runner.name.clone(), moving);
            }
        }
        fresh
    }

    /// Has runners make room for loads that can begin by then.
    fn drains(&mut self, scene: &PlacementInput, now: Instant) -> Vec<Move> {
        let parallel =
            self.loads_ahead(scene, now) + self.count_moves(ActiveMove::target_model);
        let mut pool = self.pool_state(scene, ActiveMove::target_model);
        pool.parallel_loads = parallel;
        let mut fresh = Vec::new();
        for change in moves(scene, &pool, &plan_placement(&pool)) {
            if change.drop.is_empty() || self.moving.contains_key(&change.server) {
                continue;
            }
            let moving = ActiveMove::start_drain(change, now);
            fresh.push(moving.current_step());
            self.moving.insert(moving.planned.server.clone(), moving);
        }
        fresh
    }

    fn count_moves(&self, which: impl Fn(&ActiveMove) -> Option<&ModelName>) -> usize {
        self.moving.values().filter(|moving| which(moving).is_some()).count()
    }

    /// The loads from the weight store that may be planned now: they can begin once a
    /// runner has made room, beside those for which runners make room already. Models that
    /// nobody holds don't wait for those.
    fn loads_ahead(&mut self, scene: &PlacementInput, now: Instant) -> usize {
        let soon = (scene.load_bound.rate * DRAIN_AHEAD.as_secs_f64()) as usize;
        let waits = |runner: &ServerEntry| {
            let moving = self.moving.get(&runner.name);
            let model = moving.and_then(ActiveMove::awaiting_room);
            model.is_some_and(|model| !is_near(runner, model))
        };
        let waiting = scene.runners.iter().filter(|runner| waits(runner)).count();
        let ahead =
            (self.pace.available(scene.load_bound, now) + soon).saturating_sub(waiting);
        ahead.max(self.missing(scene).len())
    }

    /// Drops replicas that are not asked for where no room is left for a load.
    fn drops(&mut self, scene: &PlacementInput, now: Instant) -> Vec<Move> {
        let mut replicas: IndexMap<&ModelName, usize> = IndexMap::new();
        for model in scene.runners.iter().flat_map(|runner| &runner.models) {
            *replicas.entry(&model.model).or_default() += 1;
        }
        for model in self.moving.values().flat_map(|moving| &moving.planned.drop) {
            if let Some(count) = replicas.get_mut(model) {
                *count = count.saturating_sub(1);
            }
        }
        let mut fresh = Vec::new();
        if !self.demands.is_established() {
            return fresh;
        }
        for runner in scene.runners {
            let declared =
                |held: &LoadedModel| scene.engine.models.contains_key(&held.model);
            let held = runner.models.iter().all(declared);
            let fixed = self.is_fixed(scene, runner);
            let moving = self.moving.contains_key(&runner.name);
            if !held || fixed || moving || has_room(scene.engine, runner) {
                continue;
            }
            let idle = |model: &&ModelName| {
                let count = replicas.get(model).copied().unwrap_or_default();
                count > 1 && Self::is_idle(self.demand(model), count)
            };
            let models = runner.models.iter().map(|held| &held.model);
            let Some(model) = models
                .filter(idle)
                .min_by(|a, b| self.demand(a).total_cmp(&self.demand(b)))
            else {
                continue;
            };
            if let Some(count) = replicas.get_mut(model) {
                *count -= 1;
            }
            let drop = vec![model.clone()];
            let change = Move { server: runner.name.clone(), drop, load: None };
            let moving = ActiveMove::start_drain(change, now);
            fresh.push(moving.current_step());
            self.moving.insert(runner.name.clone(), moving);
        }
        fresh
    }

    /// Whether one replica less would still serve a model with ease.
    fn is_idle(demand: f64, replicas: usize) -> bool {
        let each = demand / (replicas - 1) as f64;
        each < WORTH_KEEPING * THROUGHPUT
    }

    /// The pool as it is once what `coming` tells of moves has been loaded.
    fn pool_state(
        &self,
        scene: &PlacementInput,
        coming: impl Fn(&ActiveMove) -> Option<&ModelName> + Copy,
    ) -> PoolState {
        let runners = scene.runners;
        let domains: IndexSet<&DomainName> =
            runners.iter().map(|runner| &runner.domain).collect();
        let runner_state = |runner: &ServerEntry| RunnerState {
            domain: domains.get_index_of(&runner.domain).unwrap_or_default(),
            capacity: (scene.engine.memory_mb * MB) as u64,
            other_bytes: (scene.engine.adapter_reserve_mb() * MB) as u64,
            accepts_models: true,
            locked: self.is_fixed(scene, runner),
        };
        let names = scene.engine.models.keys();
        let models: Vec<ModelState> =
            names.map(|name| self.model_state(scene, name, coming)).collect();
        let asked: f64 = models.iter().map(|model| model.demand).sum();
        // When more is asked for than the pool can serve, every runner is overloaded
        // and no move seems to gain; what counts then is the balance.
        let even = asked / (runners.len().max(1) as f64 * FULL);
        PoolState {
            runners: runners.iter().map(runner_state).collect(),
            models,
            runner_throughput: THROUGHPUT.max(even),
            parallel_loads: 0,
            frozen: false,
            attainment_weight: 1.0,
            move_weight: MOVE_WEIGHT,
            demand_horizon: HORIZON,
        }
    }

    fn is_fixed(&self, scene: &PlacementInput, runner: &ServerEntry) -> bool {
        let failed = self.failed.contains_key(&runner.name);
        failed || scene.fixed.contains(&runner.name)
    }

    fn model_state(
        &self,
        scene: &PlacementInput,
        name: &ModelName,
        coming: impl Fn(&ActiveMove) -> Option<&ModelName>,
    ) -> ModelState {
        let declared = &scene.engine.models[name];
        let moving = |runner: &ServerEntry| self.moving.get(&runner.name);
        let loads = |runner: &ServerEntry| moving(runner).and_then(&coming) == Some(name);
        let drops = |runner: &ServerEntry| {
            moving(runner).is_some_and(|moving| moving.planned.drop.contains(name))
        };
        let there = |runner: &ServerEntry| {
            loads(runner) || runner.has_model(name) && !drops(runner)
        };
        let indices = |which: &dyn Fn(&ServerEntry) -> bool| {
            let runners = scene.runners.iter().enumerate();
            runners.filter(|(_, runner)| which(runner)).map(|(index, _)| index).collect()
        };
        ModelState {
            bytes: (declared.weights_mb * MB) as u64,
            replicas: 1,
            load_time: declared.store_load_time,
            demand: self.demand(name),
            placed: indices(&there),
            loading: scene.runners.iter().filter(|runner| loads(runner)).count(),
            cached_on: indices(&|runner| is_near(runner, name)),
        }
    }
}

/// Whether the runner has a copy of the weights, so that the store isn't needed.
fn is_near(runner: &ServerEntry, model: &ModelName) -> bool {
    runner.in_memory.contains(model) || runner.on_disk.contains(model)
}

/// Whether the largest model fits beside what the runner holds.
fn has_room(engine: &Engine, runner: &ServerEntry) -> bool {
    let size = |name: &ModelName| engine.models.get(name).map_or(0.0, |m| m.weights_mb);
    let held: f64 = runner.models.iter().map(|held| size(&held.model)).sum();
    let largest = engine.models.values().map(|m| m.weights_mb).fold(0.0, f64::max);
    held + largest + engine.adapter_reserve_mb() <= engine.memory_mb
}

/// The changes that lead from what runners hold to a placement, in its order; a runner
/// carries out one at a time.
fn moves(scene: &PlacementInput, pool: &PoolState, placement: &Placement) -> Vec<Move> {
    let models: Vec<&ModelName> = scene.engine.models.keys().collect();
    let mut moves: IndexMap<usize, Move> = IndexMap::new();
    for (load, runner) in placement.added.iter().copied() {
        let wanted = |model: &usize| placement.placed[*model].contains(&runner);
        let before = |model: &usize| pool.models[*model].placed.contains(&runner);
        // What the plan itself has added and evicted again.
        if !wanted(&load) {
            continue;
        }
        // What goes for a second load of the plan stays for now.
        let fits = pool.free_bytes(runner) >= pool.models[load].bytes;
        let goes = |model: &usize| before(model) && !wanted(model) && !fits;
        let drop = (0..models.len()).filter(goes);
        moves.entry(runner).or_insert_with(|| Move {
            server: scene.runners[runner].name.clone(),
            drop: drop.map(|model| models[model].clone()).collect(),
            load: Some(models[load].clone()),
        });
    }
    moves.into_values().collect()
}
