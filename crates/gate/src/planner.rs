//! Plans which runner holds which model, for the services whose planner's claim this
//! daemon holds.
//!
//! Every daemon counts its callers' demand and sends it to the planner. The planner's
//! moves are only requests: a runner's holder makes a move if it is possible, so that two
//! planners at the same time waste loads but do no harm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ModelName, ServerName, ServiceName, SoftwareVersion};
use chestnut_edge::{Engine, RequestRate, ServerEntry};
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
use crate::{holder, members, persisted_timings, server_speeds};

/// How often moves are planned and daemons send their demand to the planner.
const PLAN_PERIOD: Duration = Duration::from_millis(250);

/// The largest number of models in one datagram of a demand report.
///
/// With names of 16 bytes they take 8 KB, and learned engine timings as much again.
const MODELS_PER_PART: usize = 128;

/// The demand of this daemon's callers since its start, by service and model.
#[derive(Debug, Default)]
pub struct DemandCounters {
    by_service: IndexMap<ServiceName, IndexMap<ModelName, DemandCounts>>,
}

impl DemandCounters {
    /// Adds to the demand for a model.
    pub fn record(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        demand: DemandCounts,
    ) {
        let models = self.by_service.entry(service.clone()).or_default();
        *models.entry(model.clone()).or_default() += demand;
    }

    /// The number of models with a demand.
    pub fn model_count(&self) -> usize {
        self.by_service.values().map(IndexMap::len).sum()
    }
}

/// Adds to the demand for a model that is sent to the planner.
///
/// Callers may name any model; those that are not declared can't be placed.
pub fn record_demand(
    shared: &Shared,
    service: &ServiceName,
    model: &ModelName,
    demand: DemandCounts,
) {
    let declarations = shared.declarations();
    let service_of = declarations.as_ref().and_then(|all| all.services.get(service));
    let engine = service_of.and_then(|service| service.engine.as_ref());
    if engine.is_some_and(|engine| engine.models.contains_key(model)) {
        shared.demand_counters().record(service, model, demand);
    }
}

/// Applies one part of a daemon's demand, and the servers that it can't connect to.
pub fn apply_demand(
    shared: &Shared,
    from: MemberId,
    (service, part): (ServiceName, usize),
    demand: Vec<(ModelName, DemandCounts)>,
    unreachable: Vec<ServerName>,
) {
    let now = shared.now();
    let mut planners = shared.planners();
    let planner = planners.entry(service).or_insert_with(|| PlacementPlanner::new(now));
    planner.update_demand(from, part, demand);
    planner.record_unreachable(from, unreachable, now);
}

/// Tells a service's planner that a stream waits for a model at runners of one software
/// version.
pub fn request_model(
    shared: &Shared,
    service: &ServiceName,
    model: &ModelName,
    software: &Option<SoftwareVersion>,
) {
    let (model, software) = (model.clone(), software.clone());
    match locate_planner(shared, service) {
        PlannerLocation::Local => apply_wanted(shared, service, model, software),
        PlannerLocation::Remote(addr) => {
            let service = service.clone();
            shared.peers.send(addr, Message::ModelWanted { service, model, software });
        }
        PlannerLocation::Unknown => {}
    }
}

/// Records that a stream waits for a model at runners of one software version.
pub fn apply_wanted(
    shared: &Shared,
    service: &ServiceName,
    model: ModelName,
    software: Option<SoftwareVersion>,
) {
    let now = shared.now();
    let name = software.as_ref().map(|version| version.to_string());
    let mut planners = shared.planners();
    let Some(planner) = planners.get_mut(service) else { return };
    if planner.record_wanted(model.clone(), software, now) {
        info!(shared.log, "model wanted by a stream"; "service" => service.as_str(),
            "model" => model.as_str(), "software" => name);
    }
}

/// Records that a runner's holder could not make a move.
pub fn record_failed_move(shared: &Shared, planned: &Move) {
    let now = shared.now();
    for planner in shared.planners().values_mut() {
        planner.record_failure(planned, now);
    }
}

/// Sends demand to the planners, and plans the services whose planner this daemon is.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(PLAN_PERIOD).await;
        let Some(declared) = shared.declarations() else { continue };
        for (name, service) in &declared.services {
            let Some(engine) = &service.engine else { continue };
            let demand = own_demand(&shared, name);
            let unreachable = unreachable_servers(&shared, name);
            match locate_planner(&shared, name) {
                PlannerLocation::Local => {
                    apply_demand(
                        &shared,
                        shared.peers.me,
                        (name.clone(), 0),
                        demand,
                        unreachable,
                    );
                    server_speeds::report_held(&shared, name, None);
                    plan_service(&shared, name, engine);
                    persisted_timings::persist(&shared, name);
                }
                PlannerLocation::Remote(addr) => {
                    shared.planners().swap_remove(name);
                    send_demand(&shared, addr, name, &demand, &unreachable);
                    server_speeds::report_held(&shared, name, Some(addr));
                }
                PlannerLocation::Unknown => {}
            }
        }
    }
}

/// Sends a planner this daemon's demand and the engine timings that it has learned.
fn send_demand(
    shared: &Shared,
    planner: SocketAddr,
    service: &ServiceName,
    demand: &[(ModelName, DemandCounts)],
    unreachable: &[ServerName],
) {
    let mut timings = persisted_timings::unreported(shared, service);
    // At least one part is sent, since it also lists the unreachable servers.
    let parts = demand.len().div_ceil(MODELS_PER_PART).max(1);
    for part in 0..parts {
        let from = part * MODELS_PER_PART;
        let to = demand.len().min(from + MODELS_PER_PART);
        let message = Message::DemandReport {
            service: service.clone(),
            part,
            demand: demand[from..to].to_vec(),
            unreachable: unreachable.to_vec(),
            learned: timings.take(),
        };
        shared.peers.send(planner, message);
    }
}

enum PlannerLocation {
    Local,
    Remote(SocketAddr),
    Unknown,
}

fn locate_planner(shared: &Shared, service: &ServiceName) -> PlannerLocation {
    let membership = shared.membership();
    let claim = pool_key(service).and_then(|key| membership.claims.get(&key).copied());
    let Some(holder) = claim.and_then(|(row, _)| row.holder) else {
        return PlannerLocation::Unknown;
    };
    if holder == shared.peers.me {
        return PlannerLocation::Local;
    }
    let row = membership.member_row(holder);
    row.map_or(PlannerLocation::Unknown, |row| PlannerLocation::Remote(row.peer_addr))
}

fn own_demand(shared: &Shared, service: &ServiceName) -> Vec<(ModelName, DemandCounts)> {
    let counters = shared.demand_counters();
    let models = counters.by_service.get(service).into_iter().flatten();
    models.map(|(model, demand)| (model.clone(), *demand)).collect()
}

/// Servers of a service that this daemon can't connect to.
fn unreachable_servers(shared: &Shared, service: &ServiceName) -> Vec<ServerName> {
    let now = shared.now();
    let fleet = shared.fleet();
    let of_service = fleet.iter().filter(|(_, server)| server.entry.service == *service);
    let unreachable = of_service.filter(|(_, server)| server.health.is_unreachable(now));
    unreachable.map(|(_, server)| server.entry.name.clone()).collect()
}

fn plan_service(shared: &Shared, service: &ServiceName, engine: &Engine) {
    let now = shared.now();
    let daemons = members::daemon_count(shared);
    let mut runners = listed_runners(shared, service);
    if let Some(planner) = shared.planners().get(service) {
        runners.retain(|runner| !planner.is_unreachable(&runner.name, daemons, now));
    }
    let locked = locked_runners(shared, &runners);
    let limits = announced_limits(shared);
    let speeds = server_speeds::planned_ratios(shared, service);
    let load_bound = shared.bounds.borrow().load_bound(engine);
    let moves: Vec<Move> = {
        let mut planners = shared.planners();
        let timings = shared.engine_timings();
        let input = PlacementInput {
            runners: &runners,
            fixed: &locked,
            limits: &limits,
            speeds: &speeds,
            engine,
            load_bound,
            timings: &timings,
        };
        let Some(planner) = planners.get_mut(service) else { return };
        for planned in planner.plan(&input, now) {
            let demand = planned.load.as_ref().map(|model| planner.demand(model));
            shared.metrics.count(Step::Move, "planned");
            info!(shared.log, "move planned"; "server" => planned.server.to_string(),
                "load" => planned.load.as_ref().map(|model| model.to_string()),
                "drop" => format!("{:?}", planned.drop), "demand" => demand,
                "speed_ratio" => speeds.get(&planned.server));
        }
        planner.current_steps().collect()
    };
    // Moves are repeated while they are planned, so that a lost message only delays them.
    for planned in moves {
        send_move(shared, planned);
    }
}

/// The limits on requests that servers announce.
fn announced_limits(shared: &Shared) -> IndexMap<ServerName, RequestRate> {
    let limits = shared.server_limits();
    limits.iter().map(|(server, rate, _)| (server.server.clone(), rate)).collect()
}

/// Runners that can't be sent orders now: their claim has no live holder, or its holder has
/// just taken it and must wait before the first order.
fn locked_runners(shared: &Shared, runners: &[ServerEntry]) -> Vec<ServerName> {
    let now = shared.now();
    let accepts_no_orders = |name: &&ServerName| {
        let key = ClaimKey::Server((*name).clone());
        let holder = {
            let membership = shared.membership();
            membership.claims.get(&key).and_then(|(row, _)| row.holder)
        };
        let alive = holder.is_some_and(|holder| {
            holder == shared.peers.me || shared.is_alive(holder, now)
        });
        !alive || shared.order_start_time(&key).is_some_and(|from| now < from)
    };
    runners.iter().map(|runner| &runner.name).filter(accepts_no_orders).cloned().collect()
}

fn send_move(shared: &Shared, planned: Move) {
    if let Some(runner) = shared.held_runner(&planned.server) {
        runner.request_move(planned, None, shared.now());
    } else if let Some(addr) = holder::holder_addr(shared, &planned.server) {
        shared.peers.send(addr, Message::Move(planned));
    }
}

fn listed_runners(shared: &Shared, service: &ServiceName) -> Vec<ServerEntry> {
    let now = shared.now();
    let fleet = shared.fleet();
    let of_service = fleet.iter().filter(|(_, server)| server.entry.service == *service);
    let listed = of_service.filter(|(_, server)| fleet.is_listed(server, now));
    listed.map(|(_, server)| server.entry.clone()).collect()
}
