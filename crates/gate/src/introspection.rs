//! HTTP endpoints for operators: metrics, and the daemon's state as JSON.

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

use crate::peers::SentCount;
use crate::shared::Shared;
use crate::{account_slices, crashes, table_sync};

/// The daemon's view of the cluster, with the age of its table replicas.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct DaemonState {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The daemon's process.
    #[serde_as(as = "DisplayFromStr")]
    pub member: MemberId,
    /// Time since the start of the process.
    #[serde(rename = "uptime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub uptime: Duration,
    /// Whether the daemon can serve callers.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// The number of callers' requests in progress.
    #[serde(rename = "active")]
    pub active_requests: usize,
    /// The revision of the declarations in force; `None` before the first ones.
    pub revision: Option<u64>,
    /// This daemon's replicas of the store's tables.
    pub tables: Vec<TableState>,
    /// The daemons that have a row.
    pub members: Vec<MemberState>,
    /// The claims and their holders, by key.
    pub claims: IndexMap<String, ClaimState>,
    /// The backend servers in the registry.
    pub servers: IndexMap<ServerName, ServerState>,
    /// The runners whose claims this daemon holds.
    #[serde(rename = "held")]
    pub held_runners: IndexMap<ServerName, HeldRunnerState>,
    /// What is left of the slices of accounts' limits that this daemon holds.
    pub account_slices: IndexMap<String, i64>,
    /// The digests of requests that are blocked because they crash servers.
    pub blocked_requests: Vec<String>,
    /// The software versions that may have begun streams, by service.
    pub software_versions: IndexMap<ServiceName, Vec<String>>,
    /// The number of streams of which it has recorded where they began.
    pub stream_origins: usize,
    /// The number of models that its callers have asked for since its start.
    pub demanded_models: usize,
    /// The servers that it can't connect to.
    pub unreachable_servers: Vec<ServerName>,
    /// The datagrams that it has sent to other daemons, by their kind.
    #[serde(rename = "datagrams")]
    pub sent_datagrams: IndexMap<&'static str, SentCount>,
    /// The number of requests in each plain service's queue that this daemon holds.
    pub queues: IndexMap<ServiceName, usize>,
}

/// This daemon's replica of a table.
#[derive(Debug, Serialize)]
pub struct TableState {
    /// The table's name.
    pub name: &'static str,
    /// The version up to which the replica is complete; `None` before the first read.
    pub version: Option<u64>,
    /// Milliseconds since the store confirmed the replica; `None` before the first
    /// confirmation.
    pub age_ms: Option<u32>,
}

/// A daemon that has a row.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct MemberState {
    /// The VM that it runs on.
    pub vm: VmName,
    /// Its process.
    #[serde_as(as = "DisplayFromStr")]
    pub member: MemberId,
    /// Whether it is not known to have failed.
    pub alive: bool,
    /// Whether it accepts claims and callers.
    #[serde(rename = "open")]
    pub accepts_claims: bool,
}

/// A claim.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct ClaimState {
    /// The process that holds the claim, if any.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub holder: Option<MemberId>,
    /// The fence of the holder's orders.
    pub fence: u64,
    /// The version of the claim's row.
    pub version: u64,
}

/// A backend server.
#[derive(Debug, Serialize)]
pub struct ServerState {
    /// The service it belongs to.
    pub service: String,
    /// The phase from its entry: `Ready`, or `Leaving` with the time left if it is known.
    pub phase: String,
    /// Whether new requests may be sent to it.
    #[serde(rename = "open")]
    pub accepts_requests: bool,
    /// This daemon's requests in flight at the server.
    pub requests: usize,
    /// Milliseconds for which it wants no requests from this daemon.
    pub rest_ms: u64,
    /// The requests a second that it takes from all daemons, if it announces a limit.
    pub limit_per_second: Option<f64>,
}

/// A runner whose claim this daemon holds.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct HeldRunnerState {
    /// The models that it holds, according to this daemon's view.
    pub models: Vec<String>,
    /// The number of orders that it has accepted; `None` if unknown, as after a lost response.
    #[serde(rename = "orders")]
    pub accepted_orders: Option<u64>,
    /// How much longer its last order is expected to be in progress.
    #[serde(rename = "busy_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub order_time_left: Duration,
    /// All daemons' requests in flight at the runner.
    pub requests: usize,
    /// The ratio of the runner's times to nominal ones; left out if it is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub speed_ratio: Option<f64>,
    /// The bound on requests in flight after a start or a recovery; `None` without one.
    pub pace_limit: Option<u32>,
}

/// Serves `/metrics` and `/state`.
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

/// Collects the daemon's state.
pub fn daemon_state(shared: &Shared) -> DaemonState {
    DaemonState {
        vm: shared.settings.vm.clone(),
        member: shared.peers.me,
        uptime: shared.uptime(),
        ready: shared.is_ready(),
        shutting_down: *shared.shutting_down.borrow(),
        active_requests: shared.active.count(),
        revision: shared.declarations().map(|declared| declared.revision.0),
        tables: tables(shared),
        members: members(shared),
        claims: claims(shared),
        servers: servers(shared),
        held_runners: held_runners(shared),
        account_slices: account_slices::balances(shared),
        blocked_requests: crashes::blocked_digests(shared)
            .iter()
            .map(ToString::to_string)
            .collect(),
        software_versions: shared.software_history().versions(),
        stream_origins: shared.stream_origins().count(),
        demanded_models: shared.demand_counters().model_count(),
        unreachable_servers: lost_servers(shared),
        sent_datagrams: shared.peers.sent_counts(),
        queues: shared
            .queues()
            .iter()
            .map(|(service, queue)| (service.clone(), queue.queued_count()))
            .collect(),
    }
}

fn tables(shared: &Shared) -> Vec<TableState> {
    let table =
        |(table, announcement): (&Arc<table_sync::SyncedTable>, Option<(u64, u32)>)| {
            TableState {
                name: table.name,
                version: announcement.map(|(version, _)| version),
                age_ms: announcement.map(|(_, age)| age),
            }
        };
    table_sync::tables(shared)
        .into_iter()
        .zip(table_sync::announcements(shared))
        .map(table)
        .collect()
}

fn members(shared: &Shared) -> Vec<MemberState> {
    let now = shared.now();
    let membership = shared.membership();
    let member =
        |(vm, (row, _)): (&VmName, &(chestnut_member::MemberRow, u64))| MemberState {
            vm: vm.clone(),
            member: row.member,
            alive: row.member == shared.peers.me || shared.is_alive(row.member, now),
            accepts_claims: membership.accepts_claims(row),
        };
    membership.members.iter().map(member).collect()
}

fn claims(shared: &Shared) -> IndexMap<String, ClaimState> {
    let membership = shared.membership();
    let claim =
        |(key, (row, version)): (&ClaimKey, &(chestnut_member::ClaimRow, u64))| {
            let state =
                ClaimState { holder: row.holder, fence: row.fence.0, version: *version };
            (key.to_string(), state)
        };
    membership.claims.iter().map(claim).collect()
}

fn servers(shared: &Shared) -> IndexMap<ServerName, ServerState> {
    let now = shared.now();
    let fleet = shared.fleet();
    let limits = shared.server_limits();
    let server = |(_, server): (_, &chestnut_pool::Server)| {
        let state = ServerState {
            service: server.entry.service.to_string(),
            phase: format!("{:?}", server.entry.phase),
            accepts_requests: fleet.accepts_requests(server, now),
            rest_ms: server.rest_left(now).as_millis() as u64,
            requests: server.own_usage.requests as usize,
            limit_per_second: limits.rate(&server.incarnation()).map(f64::from),
        };
        (server.entry.name.clone(), state)
    };
    fleet.iter().map(server).collect()
}

fn lost_servers(shared: &Shared) -> Vec<ServerName> {
    shared.paths().lost().map(|server| server.server.clone()).collect()
}

fn held_runners(shared: &Shared) -> IndexMap<ServerName, HeldRunnerState> {
    let now = shared.now();
    let runners = shared.held_runners().clone();
    let runner = |(name, runner): (ServerName, Arc<crate::holder::HeldRunner>)| {
        let view = runner.state();
        let state = HeldRunnerState {
            models: view.models().iter().map(ToString::to_string).collect(),
            accepted_orders: view.order_count(),
            order_time_left: view.order_time_left(now),
            requests: view.total_usage(now).requests as usize,
            speed_ratio: view.speed.ratio(),
            pace_limit: view.pace.limit(),
        };
        (name, state)
    };
    runners.into_iter().map(runner).collect()
}
