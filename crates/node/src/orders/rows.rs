//! The rows of the ledger and plan tables, as last read by this daemon.

use std::sync::Arc;
use std::time::Instant;

use chestnut_base::{PoolName, ServerName};
use chestnut_member::View;
use chestnut_place::{DesiredAsset, Ledger, Residency, ResidentAssets};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// The table of ledgers, with one row per runner.
pub const LEDGER: &str = "ledger";

/// The table of plans, with one row per runner and one per pool.
pub const PLAN: &str = "plan";

/// The ledger and plan rows that this daemon has read, or committed itself.
#[derive(Debug, Clone, Default)]
pub struct PlacementRows {
    /// Each runner's ledger and the row's version.
    pub ledgers: IndexMap<ServerName, (Ledger, u64)>,
    /// The assets that planners want each runner to hold.
    pub plans: IndexMap<ServerName, PlanRow>,
    /// The models and adapters that planners could not place.
    pub unplaced: IndexMap<PoolName, Vec<UnplacedAsset>>,
    /// The version up to which ledgers were read.
    pub ledger_version: u64,
    /// The version up to which plans were read.
    pub plan_version: u64,
    /// The view from which residency was last computed.
    pub view: Arc<View>,
    /// The table service's time at the last read of ledgers, in milliseconds, and when
    /// that read was sent; absent until all ledgers were read once.
    pub table_time: Option<(u64, Instant)>,
}

impl PlacementRows {
    /// The latest that the table service's clock may show at `at`, in milliseconds; 0
    /// before the first read.
    pub fn latest_time(&self, at: Instant) -> u64 {
        self.table_time.map_or(0, |(now, sent)| {
            now + at.saturating_duration_since(sent).as_millis() as u64
        })
    }
}

/// The row of a runner in the plan table: what its planner wants it to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRow {
    /// Each model precedes its adapters.
    pub wanted: Vec<DesiredAsset>,
}

/// The row `pool/NAME` of the plan table: what the pool's planner could not place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnplacedRow {
    /// Declared models and adapters for which there is not enough memory.
    pub unplaced: Vec<UnplacedAsset>,
}

/// A declared model or adapter for which there is not enough memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnplacedAsset {
    /// The name of the model or adapter.
    pub name: String,
    /// The memory of one replica, in bytes.
    pub bytes: u64,
    /// How many replicas are missing.
    pub missing: usize,
}

/// Key prefix of pool rows; server names contain no slash, so keys can't collide.
const POOL_PREFIX: &str = "pool/";

/// The key of a pool's row in the plan table.
pub fn pool_key(pool: &PoolName) -> String {
    format!("{POOL_PREFIX}{pool}")
}

/// Reads the changes of both tables and publishes the residency.
///
/// Returns whether there are more rows to read. While the table can't be read, the
/// rows read last stay in force.
pub async fn refresh(shared: &Shared) -> bool {
    let (ledger_version, plan_version) = {
        let rows = shared.rows.borrow();
        (rows.ledger_version, rows.plan_version)
    };
    let ledger_changes = shared.changes(LEDGER, "", ledger_version).await;
    let plan_changes = shared.changes(PLAN, "", plan_version).await;
    let view = shared.view();
    let mut changed = false;
    let mut more = false;
    shared.rows.send_modify(|rows| {
        let rows = Arc::make_mut(rows);
        if let Ok((delta, requested_at)) = ledger_changes {
            rows.ledger_version = delta.version;
            // Set only once all rows were read: partial rows must not be relied upon.
            if !delta.more {
                rows.table_time = Some((delta.now, requested_at));
            }
            changed = !delta.is_empty();
            more = delta.more;
            apply_ledgers(shared, rows, delta);
        }
        if let Ok((delta, _)) = plan_changes {
            rows.plan_version = delta.version;
            more |= delta.more;
            apply_plans(shared, rows, delta);
        }
        // Residency leaves out runners that are no longer on the platform's list.
        changed |= !Arc::ptr_eq(&rows.view, &view);
        rows.view = view;
    });
    // Recomputing the residency takes milliseconds with thousands of runners.
    if changed {
        publish_residency(shared);
    }
    more
}

/// Records a ledger row that this daemon committed, before it is read back.
pub fn record_committed(
    shared: &Shared,
    server: &ServerName,
    ledger: &Ledger,
    version: u64,
) {
    shared.rows.send_modify(|rows| {
        let rows = Arc::make_mut(rows);
        rows.ledgers.insert(server.clone(), (ledger.clone(), version));
    });
    publish_residency(shared);
}

/// Publishes which assets on the runners may be used.
///
/// Runners that are no longer on the platform's list are left out.
pub fn publish_residency(shared: &Shared) {
    let view = shared.view();
    let rows = shared.rows.borrow().clone();
    let previous = shared.residency();
    let runners = rows
        .ledgers
        .iter()
        .filter(|(name, _)| view.servers.contains_key(*name))
        .map(|(name, (ledger, _))| {
            let assets = ResidentAssets::from_ledger(ledger);
            let unchanged = previous.runners().get(name).filter(|old| ***old == assets);
            (name.clone(), unchanged.cloned().unwrap_or_else(|| Arc::new(assets)))
        });
    let residency = Residency::new(runners.collect());
    shared.residency.send_if_modified(|old| {
        let changed = **old != residency;
        if changed {
            *old = Arc::new(residency);
        }
        changed
    });
}

fn apply_ledgers(shared: &Shared, rows: &mut PlacementRows, delta: chestnut_plat::Delta) {
    for key in delta.deleted {
        if let Ok(name) = ServerName::try_from(key) {
            rows.ledgers.shift_remove(&name);
        }
    }
    for row in delta.rows {
        let name = ServerName::try_from(row.key.clone());
        let ledger = serde_json::from_value::<Ledger>(row.value);
        let (Ok(name), Ok(ledger)) = (name, ledger) else {
            slog::error!(shared.log, "a ledger row can't be decoded"; "key" => row.key);
            continue;
        };
        // A row that this daemon committed itself may be newer than the one read.
        let is_current =
            rows.ledgers.get(&name).is_none_or(|(_, version)| *version <= row.version);
        if is_current {
            rows.ledgers.insert(name, (ledger, row.version));
        }
    }
}

fn apply_plans(shared: &Shared, rows: &mut PlacementRows, delta: chestnut_plat::Delta) {
    for key in delta.deleted {
        if let Ok(name) = ServerName::try_from(key) {
            rows.plans.shift_remove(&name);
        }
    }
    for row in delta.rows {
        if let Some(name) = row.key.strip_prefix(POOL_PREFIX) {
            apply_pool_row(shared, rows, name, row.value);
            continue;
        }
        let name = ServerName::try_from(row.key.clone());
        let plan = serde_json::from_value::<PlanRow>(row.value);
        let (Ok(name), Ok(plan)) = (name, plan) else {
            slog::error!(shared.log, "a plan row can't be decoded"; "key" => row.key);
            continue;
        };
        rows.plans.insert(name, plan);
    }
}

fn apply_pool_row(
    shared: &Shared,
    rows: &mut PlacementRows,
    name: &str,
    value: serde_json::Value,
) {
    let row = serde_json::from_value::<UnplacedRow>(value);
    let (Ok(name), Ok(row)) = (PoolName::try_from(name), row) else {
        slog::error!(shared.log, "a pool's row can't be decoded"; "pool" => name);
        return;
    };
    let previous = rows.unplaced.insert(name.clone(), row.unplaced.clone());
    if previous.unwrap_or_default() != row.unplaced {
        let names: Vec<_> =
            row.unplaced.iter().map(|asset| asset.name.as_str()).collect();
        slog::warn!(
            shared.log, "unplaced models and adapters changed";
            "pool" => %name, "unplaced" => names.join(" ")
        );
    }
}
