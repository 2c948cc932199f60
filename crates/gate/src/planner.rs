//! Plans which runner holds which model, for the services whose planner's claim
//! this daemon holds.
//!
//! Every daemon counts what callers ask for and tells the planner. The planner's
//! word is only a wish: a runner's holder carries it out if it fits, so that two
//! planners at the same time waste loads but break nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ModelName, ServiceName};
use chestnut_edge::{Engine, ServerEntry};
use chestnut_pool::placing::{Move, Placing, Scene};
use indexmap::IndexMap;
use slog::info;
use tokio::time::sleep;

use crate::claims::pool_key;
use crate::holder;
use crate::message::Message;
use crate::shared::Shared;

/// How often the planner plans and daemons tell it what is asked for.
const PERIOD: Duration = Duration::from_millis(250);

/// How many prompt tokens an output token is worth.
///
/// A batch of 16 makes 16 tokens in a step of 10 ms, in which 200 prompt tokens
/// could be read.
pub const OUTPUT_WEIGHT: f64 = 3.0;

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

/// Counts a request for the planner.
pub fn note(shared: &Shared, service: &ServiceName, model: &ModelName, tokens: f64) {
    shared.counts().add(service, model, tokens);
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
    plans.entry(service).or_insert_with(|| Placing::new(now)).count(from, tokens);
}

/// Tells planners what is asked for, and plans where this daemon is the planner.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        let Some(declared) = shared.declared() else { continue };
        for (name, service) in &declared.services {
            let Some(engine) = &service.engine else { continue };
            let counts = own_counts(&shared, name);
            match planner_of(&shared, name) {
                Planner::Here => {
                    take(&shared, shared.peers.me, name.clone(), counts);
                    plan_service(&shared, name, engine);
                }
                Planner::There(addr) => {
                    shared.plans().swap_remove(name);
                    let message =
                        Message::Demand { service: name.clone(), tokens: counts };
                    shared.peers.send(addr, message);
                }
                Planner::Nobody => {}
            }
        }
    }
}

enum Planner {
    Here,
    There(SocketAddr),
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
    let models = counts.tokens.get(service).into_iter().flatten();
    models.map(|(model, tokens)| (model.clone(), *tokens)).collect()
}

fn plan_service(shared: &Shared, service: &ServiceName, engine: &Engine) {
    let now = shared.now();
    let runners = runners(shared, service);
    let scene = Scene { runners: &runners, engine };
    let changes: Vec<Move> = {
        let mut plans = shared.plans();
        let Some(placing) = plans.get_mut(service) else { return };
        for change in placing.decide(&scene, now) {
            let demand = change.load.as_ref().map(|model| placing.demand(model) as u64);
            info!(shared.log, "move planned"; "server" => change.server.to_string(),
                "load" => change.load.as_ref().map(|model| model.to_string()),
                "drop" => format!("{:?}", change.drop), "demand" => demand);
        }
        placing.moving().cloned().collect()
    };
    // Repeated while they stand, so that a lost message only delays them.
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
