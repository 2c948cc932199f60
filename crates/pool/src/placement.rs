//! Plans which runner loads or drops which model.
//!
//! Load pattern: callers use a few of many models, and within seconds turn to others. The
//! weight store allows a load or two a second, a load takes about a second, and a model is
//! dropped only after the requests that run on it have finished. Without planning, the
//! models in demand are held by one or two runners while most runners are idle.
//!
//! Replicas without demand are dropped before their room is needed, since it can't be
//! freed at once when it is; the last replica of a model stays. Free room goes to whatever
//! model needs it by then. The planner of `chestnut-place` decides where replicas go.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ModelName, ServerName, SoftwareVersion};
use chestnut_edge::{Engine, LoadedModel, Model, RequestRate, ServerEntry};
use chestnut_place::{ModelState, Placement, PoolState, RunnerState, plan_placement};
use indexmap::{IndexMap, IndexSet};

use crate::demand::{DemandCounts, DemandEstimator};
use crate::moves::{ActiveMove, Move};
use crate::pacer::{LoadBound, LoadPacer};
use crate::timing::EngineTimings;
use crate::unreachable::UnreachableReports;

/// Throughput of one runner; demand is counted in the same unit.
const RUNNER_THROUGHPUT: f64 = 1.0;

/// Highest share of their throughput that runners of an evenly loaded pool use.
const MAX_UTILIZATION: f64 = 0.8;

/// How long a change of demand is expected to last; a load that takes a large part of it
/// has little benefit.
const DEMAND_HORIZON: Duration = Duration::from_secs(20);

/// Weight of the cost of a move against its benefit, whose weight is 1.
const MOVE_WEIGHT: f64 = 2.0;

/// How long a runner gets no further move after one failed.
///
/// An order without a response may still take effect seconds later, and the next one is as
/// likely to fail; another runner serves the model sooner.
const MOVE_FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// How far ahead of an allowed load its runner starts to free room.
///
/// The requests that run on a dropped model finish first, within a few seconds.
const DRAIN_AHEAD: Duration = Duration::from_secs(2);

/// Highest demand for each remaining replica, as a share of a runner's throughput, at which
/// a replica is dropped.
///
/// Half of the demand at which another one would be loaded, so that a replica is not
/// loaded and dropped in turns.
const MAX_DEMAND_AFTER_DROP: f64 = 0.35;

/// How long after a request a model is wanted at runners of a software version.
///
/// Longer than a request waits for a runner with its model.
const WANTED_DURATION: Duration = Duration::from_secs(5);

/// Bytes in a megabyte, the unit of declared sizes.
const BYTES_PER_MB: f64 = 1e6;

/// Plans the placement of one service's models.
#[derive(Debug)]
pub struct PlacementPlanner {
    demands: DemandEstimator,
    pacer: LoadPacer,
    unreachable: UnreachableReports,
    /// Moves in progress.
    active: IndexMap<ServerName, ActiveMove>,
    /// Runners on which a move failed, and the end of their backoff.
    backoff_until: IndexMap<ServerName, Instant>,
    /// Models that streams need at runners of one software version, and until when.
    wanted: IndexMap<(ModelName, Option<SoftwareVersion>), Instant>,
}

/// The state of a service that a plan is based on.
pub struct PlacementInput<'a> {
    /// Runners that accept new requests, as listed in the registry.
    pub runners: &'a [ServerEntry],
    /// Runners to which no daemon can give orders now.
    pub fixed: &'a [ServerName],
    /// The requests a second that runners take which announce a limit.
    pub limits: &'a IndexMap<ServerName, RequestRate>,
    /// The ratio of runners' times to nominal ones; 1 for runners that are left out.
    pub speeds: &'a IndexMap<ServerName, f64>,
    /// The declared engine of the runners, with its models.
    pub engine: &'a Engine,
    /// The operators' bound on loads from the weight store.
    pub load_bound: LoadBound,
    /// Prefill and service times, learned from responses.
    pub timings: &'a EngineTimings,
}

impl PlacementPlanner {
    /// Starts without demand, and without credit for loads.
    pub fn new(now: Instant) -> Self {
        Self {
            demands: DemandEstimator::new(now),
            pacer: LoadPacer::new(now),
            unreachable: UnreachableReports::default(),
            active: IndexMap::new(),
            backoff_until: IndexMap::new(),
            wanted: IndexMap::new(),
        }
    }

    /// Updates one part of a daemon's demand counters, which run since its start.
    pub fn update_demand(
        &mut self,
        from: MemberId,
        part: usize,
        counts: Vec<(ModelName, DemandCounts)>,
    ) {
        self.demands.update(from, part, counts);
    }

    /// Records which servers a daemon can't connect to.
    pub fn record_unreachable(
        &mut self,
        from: MemberId,
        servers: Vec<ServerName>,
        now: Instant,
    ) {
        self.unreachable.record(from, servers, now);
    }

    /// Records that a stream can go on only at a runner of this software version, of which
    /// none has its model; returns whether that is new.
    pub fn record_wanted(
        &mut self,
        model: ModelName,
        software: Option<SoftwareVersion>,
        now: Instant,
    ) -> bool {
        self.wanted.insert((model, software), now + WANTED_DURATION).is_none()
    }

    /// Whether enough of the service's `daemons` can't connect to a server.
    pub fn is_unreachable(
        &self,
        server: &ServerName,
        daemons: usize,
        now: Instant,
    ) -> bool {
        self.unreachable.is_unreachable(server, daemons, now)
    }

    /// Records that a runner's holder could not carry out a move.
    pub fn record_failure(&mut self, failed: &Move, now: Instant) {
        if self
            .active
            .get(&failed.server)
            .is_some_and(|active| active.current_step() == *failed)
        {
            self.active.swap_remove(&failed.server);
            self.backoff_until.insert(failed.server.clone(), now + MOVE_FAILURE_BACKOFF);
        }
    }

    /// Demand for a model, in runners.
    pub fn demand(&self, model: &ModelName) -> f64 {
        self.demands.estimate(model)
    }

    /// Plans moves; returns those that are new.
    pub fn plan(&mut self, input: &PlacementInput, now: Instant) -> Vec<Move> {
        self.demands.advance(input.engine, input.timings, now);
        self.remove_finished(input, now);
        self.wanted.retain(|_, until| now < *until);
        let mut planned = self.plan_wanted(input, now);
        planned.extend(self.plan_loads(input, now));
        planned.extend(self.plan_drains(input, now));
        planned.extend(self.plan_drops(input, now));
        planned
    }

    /// The current step of each move in progress.
    pub fn current_steps(&self) -> impl Iterator<Item = Move> {
        self.active.values().map(ActiveMove::current_step)
    }

    fn remove_finished(&mut self, input: &PlacementInput, now: Instant) {
        self.backoff_until.retain(|_, until| now < *until);
        self.active.retain(|server, active| {
            let runner = input.runners.iter().find(|runner| runner.name == *server);
            runner.is_some_and(|runner| active.is_active(runner, now))
        });
    }

    /// Models that no runner holds or loads.
    fn missing_models(&self, input: &PlacementInput) -> Vec<ModelName> {
        let held = input.runners.iter().flat_map(|runner| &runner.models);
        let held = held.map(|held| &held.model);
        let loading = self.active.values().filter_map(ActiveMove::loading);
        let present: IndexSet<&ModelName> = held.chain(loading).collect();
        let models = input.engine.models.keys();
        models.filter(|model| !present.contains(model)).cloned().collect()
    }

    /// Whether a load may begin now; takes it out of the pacer's credit if so.
    fn try_start_load(
        &mut self,
        input: &PlacementInput,
        runner: &ServerEntry,
        model: &ModelName,
        now: Instant,
    ) -> bool {
        if has_local_copy(runner, model) {
            return true;
        }
        let allowed = self.pacer.available(input.load_bound, now) > 0;
        if allowed {
            self.pacer.consume();
        }
        allowed
    }

    /// Starts loads of models that streams need at runners of one software version, and frees
    /// room for them.
    fn plan_wanted(&mut self, input: &PlacementInput, now: Instant) -> Vec<Move> {
        let mut planned = Vec::new();
        let wanted: Vec<_> = self.wanted.keys().cloned().collect();
        for (model, software) in wanted {
            let Some(declared) = input.engine.models.get(&model) else { continue };
            let of_version =
                || input.runners.iter().filter(|runner| runner.software == software);
            let has_or_loads = |runner: &ServerEntry| {
                let active = self.active.get(&runner.name);
                runner.has_model(&model)
                    || active.is_some_and(|active| active.target_model() == Some(&model))
            };
            if of_version().any(has_or_loads) {
                continue;
            }
            let is_free = |runner: &&ServerEntry| {
                !self.is_fixed(input, runner) && !self.active.contains_key(&runner.name)
            };
            let free: Vec<&ServerEntry> = of_version().filter(is_free).collect();
            let with_room =
                free.iter().filter(|runner| fits(input.engine, runner, declared));
            let fastest =
                with_room.min_by_key(|runner| runner.load_time(&model, declared));
            let (server, drop) = match fastest {
                Some(runner) => (*runner, Vec::new()),
                None => {
                    let droppable = free.iter().filter_map(|runner| {
                        Some((*runner, self.least_wanted(input, runner)?))
                    });
                    let least = droppable.min_by(|(_, a), (_, b)| {
                        self.demand(a).total_cmp(&self.demand(b))
                    });
                    let Some((runner, dropped)) = least else { continue };
                    (runner, vec![dropped])
                }
            };
            let needs_room = !drop.is_empty();
            let change =
                Move { server: server.name.clone(), drop, load: Some(model.clone()) };
            let active = match needs_room {
                true => ActiveMove::start_drain(change, now),
                false if self.try_start_load(input, server, &model, now) => {
                    let load_time = server.load_time(&model, declared);
                    ActiveMove::start_load(change, load_time, now)
                }
                false => continue,
            };
            planned.push(active.current_step());
            self.active.insert(server.name.clone(), active);
        }
        planned
    }

    /// The model with the least demand that a runner can drop: another one has it, and no
    /// stream needs it at this one.
    fn least_wanted(
        &self,
        input: &PlacementInput,
        runner: &ServerEntry,
    ) -> Option<ModelName> {
        let replicas = |model: &ModelName| {
            let stays = |other: &&ServerEntry| {
                let active = self.active.get(&other.name);
                other.has_model(model)
                    && !active.is_some_and(|active| active.planned.drop.contains(model))
            };
            input.runners.iter().filter(stays).count()
        };
        let held = runner.models.iter().map(|held| &held.model);
        let droppable = held.filter(|model| {
            replicas(model) > 1
                && input.engine.models.contains_key(*model)
                && !self.is_wanted(model, runner)
        });
        droppable.min_by(|a, b| self.demand(a).total_cmp(&self.demand(b))).cloned()
    }

    /// Whether streams need a model at runners of this one's software version.
    fn is_wanted(&self, model: &ModelName, runner: &ServerEntry) -> bool {
        self.wanted.contains_key(&(model.clone(), runner.software.clone()))
    }

    /// Starts loads into free room, whatever model it was freed for.
    fn plan_loads(&mut self, input: &PlacementInput, now: Instant) -> Vec<Move> {
        let parallel = self.pacer.available(input.load_bound, now)
            + self.count_active(ActiveMove::loading);
        let mut pool = self.pool_state(input, ActiveMove::loading);
        (pool.parallel_loads, pool.frozen) = (parallel, true);
        for (state, runner) in pool.runners.iter_mut().zip(input.runners) {
            state.locked |= self.active.contains_key(&runner.name);
        }
        let mut planned = Vec::new();
        for change in moves(input, &pool, &plan_placement(&pool)) {
            let Some(model) = change.load.clone() else { continue };
            let mut runners = input.runners.iter();
            let runner = runners.find(|runner| runner.name == change.server);
            let Some(runner) = runner else { continue };
            if !self.active.contains_key(&runner.name)
                && self.try_start_load(input, runner, &model, now)
            {
                let load_time = runner.load_time(&model, &input.engine.models[&model]);
                let active = ActiveMove::start_load(change, load_time, now);
                planned.push(active.current_step());
                self.active.insert(runner.name.clone(), active);
            }
        }
        planned
    }

    /// Starts to free room for loads that will be allowed once it is free.
    fn plan_drains(&mut self, input: &PlacementInput, now: Instant) -> Vec<Move> {
        let parallel =
            self.loads_ahead(input, now) + self.count_active(ActiveMove::target_model);
        let mut pool = self.pool_state(input, ActiveMove::target_model);
        pool.parallel_loads = parallel;
        let mut planned = Vec::new();
        for change in moves(input, &pool, &plan_placement(&pool)) {
            if change.drop.is_empty() || self.active.contains_key(&change.server) {
                continue;
            }
            let active = ActiveMove::start_drain(change, now);
            planned.push(active.current_step());
            self.active.insert(active.planned.server.clone(), active);
        }
        planned
    }

    /// Number of moves in progress for which `model` returns one.
    fn count_active(&self, model: impl Fn(&ActiveMove) -> Option<&ModelName>) -> usize {
        self.active.values().filter(|active| model(active).is_some()).count()
    }

    /// Number of loads from the weight store for which runners may start to free room.
    ///
    /// These are the loads that will be allowed once the room is free, less those for which
    /// runners free room already. Models without a replica don't wait for the latter.
    fn loads_ahead(&mut self, input: &PlacementInput, now: Instant) -> usize {
        let soon = (input.load_bound.rate * DRAIN_AHEAD.as_secs_f64()) as usize;
        let awaits_store = |runner: &ServerEntry| {
            let active = self.active.get(&runner.name);
            let model = active.and_then(ActiveMove::awaiting_room);
            model.is_some_and(|model| !has_local_copy(runner, model))
        };
        let waiting = input.runners.iter().filter(|runner| awaits_store(runner)).count();
        let ahead =
            (self.pacer.available(input.load_bound, now) + soon).saturating_sub(waiting);
        ahead.max(self.missing_models(input).len())
    }

    /// Drops replicas without demand on runners that have no room for a load.
    fn plan_drops(&mut self, input: &PlacementInput, now: Instant) -> Vec<Move> {
        let mut replicas: IndexMap<&ModelName, usize> = IndexMap::new();
        for model in input.runners.iter().flat_map(|runner| &runner.models) {
            *replicas.entry(&model.model).or_default() += 1;
        }
        for model in self.active.values().flat_map(|active| &active.planned.drop) {
            if let Some(count) = replicas.get_mut(model) {
                *count = count.saturating_sub(1);
            }
        }
        let mut planned = Vec::new();
        if !self.demands.is_established() {
            return planned;
        }
        for runner in input.runners {
            let is_declared =
                |held: &LoadedModel| input.engine.models.contains_key(&held.model);
            let all_declared = runner.models.iter().all(is_declared);
            let fixed = self.is_fixed(input, runner);
            let active = self.active.contains_key(&runner.name);
            if !all_declared || fixed || active || has_room(input.engine, runner) {
                continue;
            }
            let is_droppable = |model: &&ModelName| {
                let count = replicas.get(model).copied().unwrap_or_default();
                count > 1
                    && Self::has_spare_replica(self.demand(model), count)
                    && !self.is_wanted(model, runner)
            };
            let models = runner.models.iter().map(|held| &held.model);
            let Some(model) = models
                .filter(is_droppable)
                .min_by(|a, b| self.demand(a).total_cmp(&self.demand(b)))
            else {
                continue;
            };
            if let Some(count) = replicas.get_mut(model) {
                *count -= 1;
            }
            let drop = vec![model.clone()];
            let change = Move { server: runner.name.clone(), drop, load: None };
            let active = ActiveMove::start_drain(change, now);
            planned.push(active.current_step());
            self.active.insert(runner.name.clone(), active);
        }
        planned
    }

    /// Whether one replica less would still serve a model with low utilization.
    fn has_spare_replica(demand: f64, replicas: usize) -> bool {
        let each = demand / (replicas - 1) as f64;
        each < MAX_DEMAND_AFTER_DROP * RUNNER_THROUGHPUT
    }

    /// The pool as it will be when the models that `coming` returns for active moves have
    /// been loaded.
    fn pool_state(
        &self,
        input: &PlacementInput,
        coming: impl Fn(&ActiveMove) -> Option<&ModelName> + Copy,
    ) -> PoolState {
        let runners = input.runners;
        let domains: IndexSet<&DomainName> =
            runners.iter().map(|runner| &runner.domain).collect();
        let runner_state = |runner: &ServerEntry| RunnerState {
            domain: domains.get_index_of(&runner.domain).unwrap_or_default(),
            capacity: (input.engine.memory_mb * BYTES_PER_MB) as u64,
            other_bytes: (input.engine.adapter_reserve_mb() * BYTES_PER_MB) as u64,
            accepts_models: true,
            locked: self.is_fixed(input, runner),
            lost_throughput: self.lost_throughput(input, runner),
        };
        let models = self.model_states(input, coming);
        let total_demand: f64 = models.iter().map(|model| model.demand).sum();
        // When demand exceeds what the pool can serve, every runner is overloaded and no
        // move seems to help. Raising the throughput lets the plan balance the load.
        let runners: Vec<RunnerState> = runners.iter().map(runner_state).collect();
        let usable =
            runners.iter().map(|runner| RUNNER_THROUGHPUT - runner.lost_throughput);
        let usable = usable.sum::<f64>().max(RUNNER_THROUGHPUT);
        let balanced = total_demand / (usable * MAX_UTILIZATION);
        PoolState {
            runners,
            models,
            runner_throughput: RUNNER_THROUGHPUT.max(balanced),
            parallel_loads: 0,
            frozen: false,
            attainment_weight: 1.0,
            move_weight: MOVE_WEIGHT,
            demand_horizon: DEMAND_HORIZON,
        }
    }

    /// The throughput that a runner loses by the limit that it announces and because it is
    /// slow; negative if it is fast.
    fn lost_throughput(&self, input: &PlacementInput, runner: &ServerEntry) -> f64 {
        let ratio = input.speeds.get(&runner.name).copied().unwrap_or(1.0);
        let possible = RUNNER_THROUGHPUT / ratio;
        let limit = input.limits.get(&runner.name).zip(self.demands.mean_work());
        let limit = limit.map(|(rate, work)| rate.per_second() * work);
        RUNNER_THROUGHPUT - limit.map_or(possible, |limit| limit.min(possible))
    }

    fn is_fixed(&self, input: &PlacementInput, runner: &ServerEntry) -> bool {
        let backing_off = self.backoff_until.contains_key(&runner.name);
        backing_off || input.fixed.contains(&runner.name)
    }

    /// The declared models, with the runners that hold them.
    fn model_states(
        &self,
        input: &PlacementInput,
        coming: impl Fn(&ActiveMove) -> Option<&ModelName>,
    ) -> Vec<ModelState> {
        let state = |(name, declared): (&ModelName, &Model)| ModelState {
            bytes: (declared.weights_mb * BYTES_PER_MB) as u64,
            replicas: 1,
            load_time: declared.store_load_time,
            demand: self.demand(name),
            placed: Vec::new(),
            loading: 0,
            cached_on: Vec::new(),
        };
        let mut states: Vec<ModelState> = input.engine.models.iter().map(state).collect();
        let declared = |name: &ModelName| input.engine.models.get_index_of(name);
        for (index, runner) in input.runners.iter().enumerate() {
            let active = self.active.get(&runner.name);
            let loading = active.and_then(&coming);
            let is_dropped = |name: &&ModelName| {
                active.is_some_and(|active| active.planned.drop.contains(name))
            };
            let held = runner.models.iter().map(|held| &held.model);
            let held = held.filter(|name| !is_dropped(name));
            for model in held.chain(loading).filter_map(declared) {
                push_new(&mut states[model].placed, index);
            }
            if let Some(model) = loading.and_then(declared) {
                states[model].loading += 1;
            }
            let cached = runner.in_memory.iter().chain(&runner.on_disk);
            for model in cached.filter_map(declared) {
                push_new(&mut states[model].cached_on, index);
            }
        }
        states
    }
}

/// Appends an index unless it is the last one.
fn push_new(indices: &mut Vec<usize>, index: usize) {
    if indices.last() != Some(&index) {
        indices.push(index);
    }
}

/// Whether the runner can load the model without the weight store.
fn has_local_copy(runner: &ServerEntry, model: &ModelName) -> bool {
    runner.in_memory.contains(model) || runner.on_disk.contains(model)
}

/// Whether the largest declared model fits beside those that the runner holds.
fn has_room(engine: &Engine, runner: &ServerEntry) -> bool {
    let largest = engine.models.values().map(|m| m.weights_mb).fold(0.0, f64::max);
    has_free_mb(engine, runner, largest)
}

/// Whether a model fits beside those that the runner holds.
fn fits(engine: &Engine, runner: &ServerEntry, model: &Model) -> bool {
    has_free_mb(engine, runner, model.weights_mb)
}

fn has_free_mb(engine: &Engine, runner: &ServerEntry, wanted_mb: f64) -> bool {
    let size = |name: &ModelName| engine.models.get(name).map_or(0.0, |m| m.weights_mb);
    let held: f64 = runner.models.iter().map(|held| size(&held.model)).sum();
    held + wanted_mb + engine.adapter_reserve_mb() <= engine.memory_mb
}

/// The moves that lead to a placement, in its order; at most one for each runner.
fn moves(input: &PlacementInput, pool: &PoolState, placement: &Placement) -> Vec<Move> {
    let models: Vec<&ModelName> = input.engine.models.keys().collect();
    let mut moves: IndexMap<usize, Move> = IndexMap::new();
    for (load, runner) in placement.added.iter().copied() {
        let is_wanted = |model: &usize| placement.placed[*model].contains(&runner);
        let is_held = |model: &usize| pool.models[*model].placed.contains(&runner);
        // The plan itself may have evicted a replica that it added.
        if !is_wanted(&load) {
            continue;
        }
        // A model that makes room for a second load on the same runner stays for now.
        let fits = pool.free_bytes(runner) >= pool.models[load].bytes;
        let is_dropped = |model: &usize| is_held(model) && !is_wanted(model) && !fits;
        let drop = (0..models.len()).filter(is_dropped);
        moves.entry(runner).or_insert_with(|| Move {
            server: input.runners[runner].name.clone(),
            drop: drop.map(|model| models[model].clone()).collect(),
            load: Some(models[load].clone()),
        });
    }
    moves.into_values().collect()
}
