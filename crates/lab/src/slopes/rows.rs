//! Rows of a large system whose daemons and runners do not exist.

use std::net::SocketAddr;

use chestnut_base::{
    DomainName, Fence, MemberId, ModelName, PoolName, ServerName, SlotId, VersionName,
};
use chestnut_member::{
    ClaimKey, ClaimRow, LeaseRow, MemberRow, ONE_CORE_WEIGHT, Server, ServerRole,
};
use chestnut_node::members::{CLAIMS, LEASES, MEMBERS, SERVERS};
use chestnut_node::orders::rows::LEDGER;
use chestnut_place::{Asset, Ledger, Reservation, ReservationState};
use chestnut_plat::{PlatformError, TableClient, Txn};
use serde_json::json;

/// Maximum number of rows in a transaction.
const MAX_ROWS_PER_TXN: usize = 500;

/// Models that are resident on each runner.
const MODELS_PER_RUNNER: usize = 3;

/// Memory of each model, in bytes.
pub const MODEL_BYTES: u64 = 20_000_000_000;

/// Memory of each runner, in bytes.
pub const RUNNER_BYTES: u64 = 80_000_000_000;

/// How many daemons, runners, models and journal slots a system has.
#[derive(Debug, Clone, Copy)]
pub struct SystemSize {
    /// Daemons with a member row and a lease.
    pub members: usize,
    /// Runners with a server, a claim and a ledger row.
    pub runners: usize,
    /// Declared models.
    pub models: usize,
    /// Journal slots with a claim row.
    pub journal_slots: u16,
}

impl SystemSize {
    /// A system with this number of runners and the proportions of the largest one.
    ///
    /// The largest one has 12,000 runners, 2,100 daemons and 1,900 models.
    pub fn with_runners(runners: usize) -> Self {
        Self {
            members: (runners * 2100 / 12_000).max(1),
            runners,
            models: (runners * 1900 / 12_000).max(1),
            journal_slots: 64,
        }
    }
}

/// Writes all rows of a system, leases included.
pub async fn write_system(
    table: &TableClient,
    size: SystemSize,
) -> Result<(), PlatformError> {
    let mut writer = RowWriter { table, txn: Txn::new() };
    for n in 0..size.members {
        let vm = format!("entry-{n}");
        writer.put(MEMBERS, vm, json!(member_row(n))).await?;
    }
    for n in 0..size.runners {
        let name = runner_name(n);
        writer.put(SERVERS, name.to_string(), json!(server_row(n))).await?;
        let key = ClaimKey::Server(name.clone());
        writer.put(CLAIMS, key.to_string(), json!(claim_row(n % size.members))).await?;
        writer
            .put(LEDGER, name.to_string(), json!(ledger_row(n, size.models, 0)))
            .await?;
    }
    let pool = PoolName::try_from("main").expect("a valid name");
    let slots = (0..size.journal_slots).map(|n| ClaimKey::Slot(SlotId(n)));
    for (n, key) in slots.chain([ClaimKey::Vms, ClaimKey::Pool(pool)]).enumerate() {
        writer.put(CLAIMS, key.to_string(), json!(claim_row(n % size.members))).await?;
    }
    writer.commit().await?;
    renew_leases(table, size).await
}

/// Renews the leases of all members.
pub async fn renew_leases(
    table: &TableClient,
    size: SystemSize,
) -> Result<(), PlatformError> {
    let mut writer = RowWriter { table, txn: Txn::new() };
    for n in 0..size.members {
        let lease =
            LeaseRow { member: member_id(n), revision: Default::default(), modified: 0 };
        writer.put(LEASES, format!("entry-{n}"), json!(lease)).await?;
    }
    writer.commit().await
}

/// Rewrites `count` ledgers from number `from` on.
///
/// Numbers beyond the last runner start over at the first; each round over the
/// runners gives them other models.
pub async fn rewrite_ledgers(
    table: &TableClient,
    size: SystemSize,
    from: usize,
    count: usize,
) -> Result<(), PlatformError> {
    let mut writer = RowWriter { table, txn: Txn::new() };
    for n in from..from + count {
        let (n, round) = (n % size.runners, n / size.runners);
        let row = ledger_row(n, size.models, round + 1);
        writer.put(LEDGER, runner_name(n).to_string(), json!(row)).await?;
    }
    writer.commit().await
}

/// Writes rows in transactions of [`MAX_ROWS_PER_TXN`]; `commit` writes the rest.
struct RowWriter<'a> {
    table: &'a TableClient,
    txn: Txn,
}

impl RowWriter<'_> {
    async fn put(
        &mut self,
        table: &str,
        key: String,
        value: serde_json::Value,
    ) -> Result<(), PlatformError> {
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.put(table, key, value);
        if self.txn.writes.len() >= MAX_ROWS_PER_TXN {
            self.commit().await
        } else {
            Ok(())
        }
    }

    async fn commit(&mut self) -> Result<(), PlatformError> {
        let txn = std::mem::take(&mut self.txn);
        if txn.writes.is_empty() {
            return Ok(());
        }
        self.table.commit(&txn).await.map(drop)
    }
}

fn member_id(n: usize) -> MemberId {
    MemberId(1000 + n as u64)
}

fn runner_name(n: usize) -> ServerName {
    ServerName::try_from(format!("runner-{n}")).expect("a valid name")
}

/// Name of model number `n`.
pub fn model_name(n: usize) -> ModelName {
    ModelName::try_from(format!("model-{n}")).expect("a valid name")
}

/// Version of every model.
pub fn model_version() -> VersionName {
    VersionName::try_from("v1").expect("a valid name")
}

fn domain(n: usize) -> DomainName {
    DomainName::try_from(format!("domain-{}", n % 20)).expect("a valid name")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 8080))
}

fn member_row(n: usize) -> MemberRow {
    MemberRow {
        member: member_id(n),
        domain: domain(n),
        caller_addr: address(n),
        peer_addr: address(n),
        ops_addr: address(n),
        leaving: false,
        weight: ONE_CORE_WEIGHT,
        unreachable: Vec::new(),
    }
}

fn server_row(n: usize) -> Server {
    let pool = PoolName::try_from("main").expect("a valid name");
    Server {
        address: address(n),
        domain: domain(n),
        leaving: false,
        role: ServerRole::Runner(pool),
    }
}

fn claim_row(n: usize) -> ClaimRow {
    ClaimRow { holder: Some(member_id(n)), fence: Fence(1), handed_over: false }
}

/// The ledger of runner `n`; its models depend on `round`.
fn ledger_row(n: usize, models: usize, round: usize) -> Ledger {
    let reservation = |k: usize| Reservation {
        asset: Asset::model(
            model_name((n * MODELS_PER_RUNNER + k + round * 7) % models),
            model_version(),
        ),
        bytes: MODEL_BYTES,
        state: ReservationState::Ready,
        loads: Vec::new(),
        unload: None,
    };
    Ledger {
        capacity: RUNNER_BYTES,
        incarnation: 1,
        last_order: 1 + round as u64,
        down: false,
        reservations: (0..MODELS_PER_RUNNER).map(reservation).collect(),
    }
}
