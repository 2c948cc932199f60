//! Rows of a large system that no process stands behind.

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

/// Rows in one transaction.
const BATCH: usize = 500;

/// Models that each runner holds.
const HELD: usize = 3;

/// The memory of a model, in bytes.
pub const MODEL_BYTES: u64 = 20_000_000_000;

/// The memory of a runner, in bytes.
pub const RUNNER_BYTES: u64 = 80_000_000_000;

/// The size of a system.
#[derive(Debug, Clone, Copy)]
pub struct SystemSize {
    /// Daemons.
    pub members: usize,
    /// Runners.
    pub runners: usize,
    /// Models.
    pub models: usize,
    /// Slots of the journal.
    pub journal_slots: u16,
}

impl SystemSize {
    /// The proportions of the full size, with so many runners.
    pub fn with_runners(runners: usize) -> Self {
        Self {
            members: (runners * 2100 / 12_000).max(1),
            runners,
            models: (runners * 1900 / 12_000).max(1),
            journal_slots: 64,
        }
    }
}

/// Writes all rows of a system.
pub async fn write_system(
    table: &TableClient,
    size: SystemSize,
) -> Result<(), PlatformError> {
    let mut rows = Rows { table, txn: Txn::new() };
    for n in 0..size.members {
        let vm = format!("entry-{n}");
        rows.put(MEMBERS, vm, json!(member(n))).await?;
    }
    for n in 0..size.runners {
        let name = runner(n);
        rows.put(SERVERS, name.to_string(), json!(server(n))).await?;
        let key = ClaimKey::Server(name.clone());
        rows.put(CLAIMS, key.to_string(), json!(claim(n % size.members))).await?;
        rows.put(LEDGER, name.to_string(), json!(ledger(n, size.models, 0))).await?;
    }
    let pool = PoolName::try_from("main").expect("a valid name");
    let slots = (0..size.journal_slots).map(|n| ClaimKey::Slot(SlotId(n)));
    for (n, key) in slots.chain([ClaimKey::Vms, ClaimKey::Pool(pool)]).enumerate() {
        rows.put(CLAIMS, key.to_string(), json!(claim(n % size.members))).await?;
    }
    rows.commit().await?;
    renew_leases(table, size).await
}

/// Renews the leases of all members.
pub async fn renew_leases(
    table: &TableClient,
    size: SystemSize,
) -> Result<(), PlatformError> {
    let mut rows = Rows { table, txn: Txn::new() };
    for n in 0..size.members {
        let lease = LeaseRow { member: id(n), revision: Default::default(), modified: 0 };
        rows.put(LEASES, format!("entry-{n}"), json!(lease)).await?;
    }
    rows.commit().await
}

/// Rewrites `count` ledgers, from the one numbered `from` on.
pub async fn rewrite_ledgers(
    table: &TableClient,
    size: SystemSize,
    from: usize,
    count: usize,
) -> Result<(), PlatformError> {
    let mut rows = Rows { table, txn: Txn::new() };
    for n in from..from + count {
        let (n, turn) = (n % size.runners, n / size.runners);
        let row = ledger(n, size.models, turn + 1);
        rows.put(LEDGER, runner(n).to_string(), json!(row)).await?;
    }
    rows.commit().await
}

struct Rows<'a> {
    table: &'a TableClient,
    txn: Txn,
}

impl Rows<'_> {
    async fn put(
        &mut self,
        table: &str,
        key: String,
        value: serde_json::Value,
    ) -> Result<(), PlatformError> {
        let txn = std::mem::take(&mut self.txn);
        self.txn = txn.put(table, key, value);
        if self.txn.writes.len() >= BATCH { self.commit().await } else { Ok(()) }
    }

    async fn commit(&mut self) -> Result<(), PlatformError> {
        let txn = std::mem::take(&mut self.txn);
        if txn.writes.is_empty() {
            return Ok(());
        }
        self.table.commit(&txn).await.map(drop)
    }
}

fn id(n: usize) -> MemberId {
    MemberId(1000 + n as u64)
}

fn runner(n: usize) -> ServerName {
    ServerName::try_from(format!("runner-{n}")).expect("a valid name")
}

/// The name of a model.
pub fn model_name(n: usize) -> ModelName {
    ModelName::try_from(format!("model-{n}")).expect("a valid name")
}

/// The version of all models.
pub fn model_version() -> VersionName {
    VersionName::try_from("v1").expect("a valid name")
}

fn domain(n: usize) -> DomainName {
    DomainName::try_from(format!("domain-{}", n % 20)).expect("a valid name")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 8080))
}

fn member(n: usize) -> MemberRow {
    MemberRow {
        member: id(n),
        domain: domain(n),
        caller_addr: address(n),
        peer_addr: address(n),
        ops_addr: address(n),
        leaving: false,
        weight: ONE_CORE_WEIGHT,
    }
}

fn server(n: usize) -> Server {
    let pool = PoolName::try_from("main").expect("a valid name");
    Server {
        address: address(n),
        domain: domain(n),
        leaving: false,
        role: ServerRole::Runner(pool),
    }
}

fn claim(n: usize) -> ClaimRow {
    ClaimRow { holder: Some(id(n)), fence: Fence(1) }
}

/// A runner's ledger; another `turn` holds other models.
fn ledger(n: usize, models: usize, turn: usize) -> Ledger {
    let item = |k: usize| Reservation {
        asset: Asset::model(
            model_name((n * HELD + k + turn * 7) % models),
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
        last_order: 1 + turn as u64,
        down: false,
        reservations: (0..HELD).map(item).collect(),
    }
}
