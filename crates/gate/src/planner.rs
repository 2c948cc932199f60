//! Plans which runner holds which model, for the services whose planner's claim
//! this daemon holds.
//!
//! Every daemon counts what callers ask for and tells the planner. The planner's
//! word is only a wish: a runner's holder carries it out if it fits, so that two
//! planners at the same time waste loads but break nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ModelName, ServerName, ServiceName};
use chestnut_edge::{Engine, ServerEntry};
use chestnut_member::ClaimKey;
use chestnut_pool::DemandCounts;
use chestnut_pool::moves::Move;
use chestnut_pool::placement::{PlacementInput, PlacementPlanner};
use indexmap::IndexMap;
use slog::info;
use tokio::time::sleep;

use crate::claims::pool_key;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;
use crate::{holder, members, persisted_timings};

/// How often the planner plans and daemons tell it what is asked for.
const PERIOD: Duration = Duration::from_millis(250);

/// The models in one part of what a daemon tells of its callers.
///
/// With names of 16 bytes 8 KB, beside as much of what was learnt.
const PART_MODELS: usize = 128;

/// What callers have asked of this daemon, by service and model.
#[derive(Debug, Default)]
pub struct DemandCounters {
    asked: IndexMap<ServiceName, IndexMap<ModelName, DemandCounts>>,
}

impl DemandCounters {
    /// Adds to what was asked of a model.
    pub fn record(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        asked: DemandCounts,
    ) {
        let models = self.asked.entry(service.clone()).or_default();
        *models.entry(model.clone()).or_default() += asked;
    }
}

/// DemandCounters for the planner what was asked of a model.
pub fn record_demand(
    shared: &Shared,
    service: &ServiceName,
    model: &ModelName,
    asked: DemandCounts,
) {
    shared.demand_counters().record(service, model, asked);
}

/// Takes in what callers have asked of a daemon.
pub fn apply_demand(
    shared: &Shared,
    from: MemberId,
    (service, part): (ServiceName, usize),
    asked: Vec<(ModelName, DemandCounts)>,
    lost: Vec<ServerName>,
) {
    let now = shared.now();
    let mut plans = shared.planners();
    let placing = plans.entry(service).or_insert_with(|| PlacementPlanner::new(now));
    placing.update_demand(from, part, asked);
    placing.record_unreachable(from, lost, now);
}

/// Takes in that a runner's holder could not make a move.
pub fn record_failed_move(shared: &Shared, change: &Move) {
    let now = shared.now();
    for placing in shared.planners().values_mut() {
        placing.record_failure(change, now);
    }
}

/// Tells planners what is asked for, and plans where this daemon is the planner.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        let Some(declared) = shared.declarations() else { continue };
        for (name, service) in &declared.services {
            let Some(engine) = &service.engine else { continue };
            let asked = own_counts(&shared, name);
            let lost = unreachable(&shared, name);
            match planner_of(&shared, name) {
                Planner::Here => {
                    apply_demand(
                        &shared,
                        shared.peers.me,
                        (name.clone(), 0),
                        asked,
                        lost,
                    );
                    plan_service(&shared, name, engine);
                    persisted_timings::persist(&shared, name);
                }
                Planner::There(addr) => {
                    shared.planners().swap_remove(name);
                    tell(&shared, addr, name, &asked, &lost);
                }
                Planner::Nobody => {}
            }
        }
    }
}

/// Tells a planner what was asked of this daemon, and what it has learnt.
fn tell(
    shared: &Shared,
    planner: SocketAddr,
    service: &ServiceName,
    asked: &[(ModelName, DemandCounts)],
    lost: &[ServerName],
) {
    let mut learnt = persisted_timings::unreported(shared, service);
    // The first part goes in any case, for the servers that are lost.
    let parts = asked.len().div_ceil(PART_MODELS).max(1);
    for part in 0..parts {
        let from = part * PART_MODELS;
        let to = asked.len().min(from + PART_MODELS);
        let message = Message::Demand {
            service: service.clone(),
            part,
            asked: asked[from..to].to_vec(),
            lost: lost.to_vec(),
            learnt: learnt.take(),
        };
        shared.peers.send(planner, message);
    }
}

enum Planner {
    Here,
    There(SocketAddr),
    Nobody,
}

fn planner_of(shared: &Shared, service: &ServiceName) -> Planner {
    let known = shared.membership();
    let claim = pool_key(service).and_then(|key| known.claims.get(&key).copied());
    let Some(holder) = claim.and_then(|(row, _)| row.holder) else {
        return Planner::Nobody;
    };
    if holder == shared.peers.me {
        return Planner::Here;
    }
    let row = known.member_row(holder);
    row.map_or(Planner::Nobody, |row| Planner::There(row.peer_addr))
}

fn own_counts(shared: &Shared, service: &ServiceName) -> Vec<(ModelName, DemandCounts)> {
    let counts = shared.demand_counters();
    let models = counts.asked.get(service).into_iter().flatten();
    models.map(|(model, asked)| (model.clone(), *asked)).collect()
}

/// Servers of a service that this daemon can't connect to.
fn unreachable(shared: &Shared, service: &ServiceName) -> Vec<ServerName> {
    let now = shared.now();
    let fleet = shared.fleet();
    let ours = fleet.iter().filter(|(_, server)| server.entry.service == *service);
    let lost = ours.filter(|(_, server)| server.health.is_unreachable(now));
    lost.map(|(_, server)| server.entry.name.clone()).collect()
}

fn plan_service(shared: &Shared, service: &ServiceName, engine: &Engine) {
    let now = shared.now();
    let daemons = members::daemon_count(shared);
    let mut runners = runners(shared, service);
    if let Some(placing) = shared.planners().get(service) {
        runners.retain(|runner| !placing.is_unreachable(&runner.name, daemons, now));
    }
    let fixed = fixed(shared, &runners);
    let bound = shared.bounds.borrow().loads(engine);
    let changes: Vec<Move> = {
        let mut plans = shared.planners();
        let speeds = shared.engine_timings();
        let scene = PlacementInput {
            runners: &runners,
            fixed: &fixed,
            engine,
            load_bound: bound,
            timings: &speeds,
        };
        let Some(placing) = plans.get_mut(service) else { return };
        for change in placing.plan(&scene, now) {
            let demand = change.load.as_ref().map(|model| placing.demand(model));
            shared.metrics.count(Step::Move, "planned");
            info!(shared.log, "move planned"; "server" => change.server.to_string(),
                "load" => change.load.as_ref().map(|model| model.to_string()),
                "drop" => format!("{:?}", change.drop), "demand" => demand);
        }
        placing.steps().collect()
    };
    // Repeated while they stand, so that a lost message only delays them.
    for change in changes {
        send(shared, change);
    }
}

/// Runners that nobody can give orders to now: the daemon that held the claim is gone,
/// or the one that has just taken it waits for its turn.
fn fixed(shared: &Shared, runners: &[ServerEntry]) -> Vec<ServerName> {
    let now = shared.now();
    let orderless = |name: &&ServerName| {
        let key = ClaimKey::Server((*name).clone());
        let holder = {
            let known = shared.membership();
            known.claims.get(&key).and_then(|(row, _)| row.holder)
        };
        let alive = holder.is_some_and(|holder| {
            holder == shared.peers.me || shared.is_alive(holder, now)
        });
        !alive || shared.order_start_time(&key).is_some_and(|from| now < from)
    };
    runners.iter().map(|runner| &runner.name).filter(orderless).cloned().collect()
}

fn send(shared: &Shared, change: Move) {
    if let Some(holder) = shared.held_runner(&change.server) {
        holder.request_move(change, None, shared.now());
    } else if let Some(addr) = holder::holder_addr(shared, &change.server) {
        shared.peers.send(addr, Message::Move(change));
    }
}

fn runners(shared: &Shared, service: &ServiceName) -> Vec<ServerEntry> {
    let now = shared.now();
    let fleet = shared.fleet();
    let ours = fleet.iter().filter(|(_, server)| server.entry.service == *service);
    let listed = ours.filter(|(_, server)| fleet.is_listed(server, now));
    listed.map(|(_, server)| server.entry.clone()).collect()
}
