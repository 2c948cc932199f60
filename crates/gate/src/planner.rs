//! Plans which runner holds which model, for the services whose planner's claim
//! this daemon holds.
//!
//! Every daemon counts what callers ask for and tells the planner. The planner's
//! word is only a wish: a runner's holder carries it out if it fits, so that two
//! planners at the same time waste loads but break nothing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, MemberId, ModelName, ServerName, ServiceName};
use chestnut_edge::{Engine, ServerEntry};
use chestnut_place::Demand;
use chestnut_place::planner::{ModelState, Placement, PoolState, RunnerState, plan};
use chestnut_pool::Pace;
use indexmap::{IndexMap, IndexSet};
use slog::info;
use tokio::time::sleep;

use crate::claims::pool_key;
use crate::holder;
use crate::message::{Message, Move};
use crate::shared::Shared;

/// How often the planner plans and daemons tell it what is asked for.
const PERIOD: Duration = Duration::from_millis(250);

/// The time in which the fast average of demand forgets half.
///
/// Loads take about a second: a rise that lasts as long is worth following.
const FAST_HALF: Duration = Duration::from_millis(700);

/// The time in which the slow average of demand forgets half.
const SLOW_HALF: Duration = Duration::from_millis(1500);

/// How long a change of demand is expected to last, against the time of a load.
const HORIZON: Duration = Duration::from_secs(20);

/// The prompt tokens a second that one runner answers in time.
///
/// 20 tokens a millisecond are read while nothing else is done; at half of that
/// the tokens between come in time.
const THROUGHPUT: f64 = 14_000.0;

/// The share of their throughput that runners of an evenly loaded pool have in use,
/// at most.
const FULL: f64 = 0.7;

/// How many prompt tokens an output token is worth.
///
/// A batch of 16 makes 16 tokens in a step of 10 ms, in which 200 prompt tokens
/// could be read.
pub const OUTPUT_WEIGHT: f64 = 3.0;

/// How long a move that was asked for counts as under way, beyond its load.
const MOVE_SLACK: Duration = Duration::from_millis(1500);

/// What callers have asked of this daemon, by service and model.
#[derive(Debug, Default)]
pub struct Counts {
    tokens: IndexMap<ServiceName, IndexMap<ModelName, f64>>,
}

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, service: &ServiceName, model: &ModelName, tokens: f64) {
        let models = self.tokens.entry(service.clone()).or_default();
        *models.entry(model.clone()).or_default() += tokens;
    }
}

/// What the planner knows of a service.
#[derive(Debug)]
pub struct Plans {
    /// The last count of each daemon, by model.
    counts: IndexMap<MemberId, IndexMap<ModelName, f64>>,
    /// Tokens that were asked for since the last plan.
    fresh: IndexMap<ModelName, f64>,
    demand: IndexMap<ModelName, Demand>,
    pace: Pace,
    /// Moves under way and until when they count as such.
    moving: IndexMap<ServerName, (Move, Instant)>,
    at: Instant,
}

impl Plans {
    /// Starts to plan, with no load saved up.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: IndexMap::new(),
            fresh: IndexMap::new(),
            demand: IndexMap::new(),
            pace: Pace::new(now),
            moving: IndexMap::new(),
            at: now,
        }
    }

    /// Takes in a daemon's count.
    fn count(&mut self, from: MemberId, tokens: Vec<(ModelName, f64)>) {
        let first = !self.counts.contains_key(&from);
        let known = self.counts.entry(from).or_default();
        for (model, tokens) in tokens {
            let before = known.insert(model.clone(), tokens).unwrap_or_default();
            // What was counted before this planner took over is of the past.
            if !first && tokens > before {
                *self.fresh.entry(model).or_default() += tokens - before;
            }
        }
    }

    fn average(&mut self, models: &[ModelName], now: Instant) {
        let time = now.saturating_duration_since(self.at);
        self.at = now;
        for model in models {
            let tokens = self.fresh.swap_remove(model).unwrap_or_default();
            let demand = self.demand.entry(model.clone());
            let demand =
                demand.or_insert_with(|| Demand::with_halves(FAST_HALF, SLOW_HALF));
            demand.add(tokens, time);
        }
    }
}

/// Takes in what callers have asked of a daemon.
pub fn take(
    shared: &Shared,
    from: MemberId,
    service: ServiceName,
    tokens: Vec<(ModelName, f64)>,
) {
    let now = shared.now();
    let mut plans = shared.plans();
    plans.entry(service).or_insert_with(|| Plans::new(now)).count(from, tokens);
}

/// Tells planners what is asked for, and plans where this daemon is the planner.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        let Some(declared) = shared.declared() else { continue };
        for (name, service) in &declared.services {
            let Some(engine) = &service.engine else { continue };
            match planner_of(&shared, name) {
                Planner::Here => {
                    let me = shared.peers.me;
                    take(&shared, me, name.clone(), own_counts(&shared, name));
                    plan_service(&shared, name, engine);
                }
                Planner::There(addr) => {
                    shared.plans().swap_remove(name);
                    let tokens = own_counts(&shared, name);
                    let message = Message::Demand { service: name.clone(), tokens };
                    shared.peers.send(addr, message);
                }
                Planner::Nobody => {}
            }
        }
    }
}

enum Planner {
    Here,
    There(std::net::SocketAddr),
    Nobody,
}

fn planner_of(shared: &Shared, service: &ServiceName) -> Planner {
    let known = shared.known();
    let claim = pool_key(service).and_then(|key| known.claims.get(&key).copied());
    let Some(holder) = claim.and_then(|(row, _)| row.holder) else {
        return Planner::Nobody;
    };
    if holder == shared.peers.me {
        return Planner::Here;
    }
    let mut rows = known.members.values();
    match rows.find(|(row, _)| row.member == holder) {
        Some((row, _)) => Planner::There(row.peer_addr),
        None => Planner::Nobody,
    }
}

fn own_counts(shared: &Shared, service: &ServiceName) -> Vec<(ModelName, f64)> {
    let counts = shared.counts();
    let models = counts.tokens.get(service);
    models.into_iter().flatten().map(|(model, tokens)| (model.clone(), *tokens)).collect()
}

fn plan_service(shared: &Shared, service: &ServiceName, engine: &Engine) {
    let now = shared.now();
    let runners = runners(shared, service);
    let models: Vec<ModelName> = engine.models.keys().cloned().collect();
    let mut plans = shared.plans();
    let Some(plans) = plans.get_mut(service) else { return };
    plans.average(&models, now);
    plans.moving.retain(|server, (change, until)| {
        let runner = runners.iter().find(|runner| runner.name == *server);
        let held = runner.is_some_and(|runner| holds(runner, &change.load));
        now < *until && runner.is_some() && !held
    });
    let free = plans.pace.left(engine.loads_per_s, now);
    let pool = pool_state(&runners, &models, engine, plans, free);
    let placement = plan(&pool);
    for change in moves(&runners, &models, &pool, &placement) {
        if plans.moving.contains_key(&change.server) {
            continue;
        }
        let runner = runners.iter().find(|runner| runner.name == change.server);
        let near = runner.is_some_and(|runner| is_near(runner, &change.load));
        if !near {
            if plans.pace.left(engine.loads_per_s, now) == 0 {
                continue;
            }
            plans.pace.take();
        }
        info!(shared.log, "move planned"; "server" => change.server.to_string(),
            "load" => change.load.to_string(), "drop" => format!("{:?}", change.drop),
            "near" => near, "demand" => plans.demand[&change.load].estimate() as u64);
        let load = engine.models[&change.load].load;
        let until = now + load + MOVE_SLACK;
        plans.moving.insert(change.server.clone(), (change, until));
    }
    let changes: Vec<Move> =
        plans.moving.values().map(|(change, _)| change.clone()).collect();
    for change in changes {
        send(shared, change);
    }
}

fn send(shared: &Shared, change: Move) {
    if let Some(holder) = shared.holder(&change.server) {
        holder.change(change);
    } else if let Some(addr) = holder::addr(shared, &change.server) {
        shared.peers.send(addr, Message::Move(change));
    }
}

fn runners(shared: &Shared, service: &ServiceName) -> Vec<ServerEntry> {
    let now = shared.now();
    let fleet = shared.fleet();
    fleet.open(service, now).map(|(_, server)| server.entry.clone()).collect()
}

fn holds(runner: &ServerEntry, model: &ModelName) -> bool {
    runner.models.iter().any(|held| held.model == *model)
}

/// Whether the runner has a copy of the weights, so that the store isn't needed.
fn is_near(runner: &ServerEntry, model: &ModelName) -> bool {
    runner.warm.contains(model) || runner.on_disk.contains(model)
}

/// Bytes in a megabyte, as sizes are declared.
const MB: f64 = 1e6;

fn pool_state(
    runners: &[ServerEntry],
    models: &[ModelName],
    engine: &Engine,
    plans: &Plans,
    parallel: usize,
) -> PoolState {
    let domains: IndexSet<&DomainName> = runners.iter().map(|r| &r.domain).collect();
    let adapter =
        engine.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
    let reserved = adapter * engine.adapter_slots as f64 * MB;
    let runner_state = |runner: &ServerEntry| RunnerState {
        domain: domains.get_index_of(&runner.domain).unwrap_or_default(),
        capacity: (engine.memory_mb * MB) as u64,
        other: reserved as u64,
        stays: true,
    };
    let model_state = |name: &ModelName| {
        let declared = &engine.models[name];
        let moving = |runner: &ServerEntry| plans.moving.get(&runner.name);
        let loads = |runner: &ServerEntry| {
            moving(runner).is_some_and(|(change, _)| change.load == *name)
        };
        let drops = |runner: &ServerEntry| {
            moving(runner).is_some_and(|(change, _)| change.drop.contains(name))
        };
        let there =
            |runner: &ServerEntry| loads(runner) || holds(runner, name) && !drops(runner);
        let at = runners.iter().enumerate();
        ModelState {
            bytes: (declared.weights_mb * MB) as u64,
            replicas: 1,
            cold: declared.load,
            demand: plans.demand.get(name).map_or(0.0, Demand::estimate),
            placed: at.filter(|(_, r)| there(r)).map(|(index, _)| index).collect(),
            loading: runners.iter().filter(|runner| loads(runner)).count(),
        }
    };
    let models: Vec<ModelState> = models.iter().map(model_state).collect();
    let asked: f64 = models.iter().map(|model| model.demand).sum();
    // When more is asked for than the pool can serve, every runner is overloaded and
    // no move seems to gain; what counts then is the balance.
    let even = asked / (runners.len().max(1) as f64 * FULL);
    PoolState {
        runners: runners.iter().map(runner_state).collect(),
        models,
        throughput: THROUGHPUT.max(even),
        parallel: parallel + plans.moving.len(),
        attainment_weight: 1.0,
        move_weight: 0.5,
        horizon: HORIZON,
    }
}

/// The changes that lead from what runners hold to a placement.
fn moves(
    runners: &[ServerEntry],
    models: &[ModelName],
    pool: &PoolState,
    placement: &Placement,
) -> Vec<Move> {
    let mut moves = Vec::new();
    for (index, runner) in runners.iter().enumerate() {
        let wanted = |model: &usize| placement.placed[*model].contains(&index);
        let before = |model: &usize| pool.models[*model].placed.contains(&index);
        let load = (0..models.len()).find(|model| wanted(model) && !before(model));
        let Some(load) = load else { continue };
        let drop = (0..models.len()).filter(|model| before(model) && !wanted(model));
        moves.push(Move {
            server: runner.name.clone(),
            drop: drop.map(|model| models[model].clone()).collect(),
            load: models[load].clone(),
        });
    }
    moves
}

/// Counts a request for the planner.
pub fn note(shared: &Shared, service: &ServiceName, model: &ModelName, tokens: f64) {
    shared.counts().add(service, model, tokens);
}
