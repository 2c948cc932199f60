//! What operators can look at: metrics, and the daemon's state as JSON.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use chestnut_base::{MemberId, ServerName, ServiceName, VmName};
use chestnut_member::ClaimKey;
use indexmap::IndexMap;
use serde::Serialize;
use serde_with::{DisplayFromStr, DurationMilliSeconds, serde_as};

use crate::shared::Shared;
use crate::table_sync;

/// What a daemon believes, and how old that is.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct DaemonState {
    /// The VM.
    pub vm: VmName,
    /// The process.
    #[serde_as(as = "DisplayFromStr")]
    pub member: MemberId,
    /// How long the process has run.
    #[serde(rename = "uptime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub uptime: Duration,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// Requests that are being served.
    pub active: usize,
    /// The revision of the declarations in force.
    pub revision: Option<u64>,
    /// The copies of the store's tables.
    pub tables: Vec<TableState>,
    /// The daemons in the table.
    pub members: Vec<MemberState>,
    /// The claims, and the daemons that hold them.
    pub claims: IndexMap<String, ClaimState>,
    /// The backend servers.
    pub servers: IndexMap<ServerName, ServerState>,
    /// The runners whose claims this daemon holds.
    pub held: IndexMap<ServerName, HeldRunnerState>,
    /// How many requests wait in the plain services' queues that this daemon holds.
    pub queues: IndexMap<ServiceName, usize>,
}

/// A copy of a table.
#[derive(Debug, Serialize)]
pub struct TableState {
    /// The table.
    pub name: &'static str,
    /// Up to which version the copy is complete.
    pub version: Option<u64>,
    /// How long ago the store confirmed it, in milliseconds.
    pub age_ms: Option<u32>,
}

/// A daemon in the table.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct MemberState {
    /// Its VM.
    pub vm: VmName,
    /// Its process.
    #[serde_as(as = "DisplayFromStr")]
    pub member: MemberId,
    /// Whether it is not known to be gone.
    pub alive: bool,
    /// Whether it takes claims and callers.
    pub open: bool,
}

/// A claim.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct ClaimState {
    /// The process that holds it.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub holder: Option<MemberId>,
    /// The fence of the holder's orders.
    pub fence: u64,
    /// The version of the row.
    pub version: u64,
}

/// A backend server.
#[derive(Debug, Serialize)]
pub struct ServerState {
    /// Its service.
    pub service: String,
    /// Whether it starts, serves, or leaves.
    pub phase: String,
    /// Whether new requests may go there.
    pub open: bool,
    /// Requests of this daemon in flight there.
    pub requests: usize,
}

/// A runner whose claim this daemon holds.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct HeldRunnerState {
    /// The models that it holds, as far as is known.
    pub models: Vec<String>,
    /// The number of orders that it has accepted; unknown after a lost answer.
    pub orders: Option<u64>,
    /// How long its last order still takes.
    #[serde(rename = "busy_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub busy: Duration,
    /// Requests of all daemons in flight there.
    pub requests: usize,
}

/// Serves metrics and the state.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/state", get(state))
        .with_state(shared)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    shared.metrics.render(shared.active.count())
}

async fn state(State(shared): State<Arc<Shared>>) -> Json<DaemonState> {
    Json(daemon_state(&shared))
}

/// Gathers what the daemon believes.
pub fn daemon_state(shared: &Shared) -> DaemonState {
    DaemonState {
        vm: shared.settings.vm.clone(),
        member: shared.peers.me,
        uptime: shared.uptime(),
        ready: shared.is_ready(),
        leaving: *shared.shutting_down.borrow(),
        active: shared.active.count(),
        revision: shared.declarations().map(|declared| declared.revision.0),
        tables: tables(shared),
        members: members(shared),
        claims: claims(shared),
        servers: servers(shared),
        held: held(shared),
        queues: shared
            .queues()
            .iter()
            .map(|(service, queue)| (service.clone(), queue.waiting()))
            .collect(),
    }
}

fn tables(shared: &Shared) -> Vec<TableState> {
    let table =
        |(table, news): (&Arc<table_sync::SyncedTable>, Option<(u64, u32)>)| TableState {
            name: table.name,
            version: news.map(|(version, _)| version),
            age_ms: news.map(|(_, age)| age),
        };
    table_sync::tables(shared)
        .into_iter()
        .zip(table_sync::announcements(shared))
        .map(table)
        .collect()
}

fn members(shared: &Shared) -> Vec<MemberState> {
    let now = shared.now();
    let known = shared.membership();
    let member =
        |(vm, (row, _)): (&VmName, &(chestnut_member::MemberRow, u64))| MemberState {
            vm: vm.clone(),
            member: row.member,
            alive: row.member == shared.peers.me || shared.is_alive(row.member, now),
            open: known.accepts_claims(row),
        };
    known.members.iter().map(member).collect()
}

fn claims(shared: &Shared) -> IndexMap<String, ClaimState> {
    let known = shared.membership();
    let claim =
        |(key, (row, version)): (&ClaimKey, &(chestnut_member::ClaimRow, u64))| {
            let dump =
                ClaimState { holder: row.holder, fence: row.fence.0, version: *version };
            (key.to_string(), dump)
        };
    known.claims.iter().map(claim).collect()
}

fn servers(shared: &Shared) -> IndexMap<ServerName, ServerState> {
    let now = shared.now();
    let fleet = shared.fleet();
    let server = |(_, server): (_, &chestnut_pool::Server)| {
        let dump = ServerState {
            service: server.entry.service.to_string(),
            phase: format!("{:?}", server.entry.phase),
            open: fleet.accepts_requests(server, now)
                && server.health.allows_requests(now),
            requests: server.own_usage.requests as usize,
        };
        (server.entry.name.clone(), dump)
    };
    fleet.iter().map(server).collect()
}

fn held(shared: &Shared) -> IndexMap<ServerName, HeldRunnerState> {
    let now = shared.now();
    let holders = shared.held_runners().clone();
    let held = |(name, holder): (ServerName, Arc<crate::holder::HeldRunner>)| {
        let state = holder.state();
        let dump = HeldRunnerState {
            models: state.models().iter().map(ToString::to_string).collect(),
            orders: state.order_count(),
            busy: state.order_time_left(now),
            requests: state.total_usage(now).requests as usize,
        };
        (name, dump)
    };
    holders.into_iter().map(held).collect()
}
