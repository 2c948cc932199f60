//! The ledger's and the plan's rows as the table has them.

use std::sync::Arc;
use std::time::Instant;

use chestnut_base::{PoolName, ServerName};
use chestnut_member::View;
use chestnut_place::{DesiredAsset, Ledger, Residency, ResidentAssets};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// The table of ledgers, one row per runner.
pub const LEDGER: &str = "ledger";

/// The table of wanted placements, one row per runner.
pub const PLAN: &str = "plan";

/// The rows that this daemon has read.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    /// Each runner's ledger and the row's version.
    pub ledgers: IndexMap<ServerName, (Ledger, u64)>,
    /// What planners want each runner to hold.
    pub plans: IndexMap<ServerName, PlanRow>,
    /// What planners could not place.
    pub unplaced: IndexMap<PoolName, Vec<Unplaced>>,
    /// The version up to which ledgers were read.
    pub ledger_version: u64,
    /// The version up to which plans were read.
    pub plan_version: u64,
    /// The view by which what is resident was put together last.
    pub view: Arc<View>,
    /// The table service's time at the last read of ledgers, in milliseconds,
    /// and when that read was sent.
    pub now: Option<(u64, Instant)>,
}

impl Rows {
    /// The table service's time as it is at most, at `at`.
    pub fn time_to(&self, at: Instant) -> u64 {
        self.now.map_or(0, |(now, sent)| {
            now + at.saturating_duration_since(sent).as_millis() as u64
        })
    }
}

/// What a planner wants a runner to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRow {
    /// Models before the adapters on top of them.
    pub wanted: Vec<DesiredAsset>,
}

/// What a planner could not place, in the row `pool/NAME` of the plans' table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Declared models and adapters for which there is no room.
    pub unplaced: Vec<Unplaced>,
}

/// A declared model or adapter for which there is no room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unplaced {
    /// The model or adapter.
    pub name: String,
    /// The memory of one replica, in bytes.
    pub bytes: u64,
    /// How many replicas are missing.
    pub missing: usize,
}

/// The start of the keys of rows about a pool; no runner's name holds a slash.
const POOL_PREFIX: &str = "pool/";

/// The key of a pool's row.
pub fn pool_key(pool: &PoolName) -> String {
    format!("{POOL_PREFIX}{pool}")
}

/// Reads what has changed and publishes what is resident; whether there is more.
///
/// While the table can't be read, what was read last stays in force.
pub async fn refresh(shared: &Shared) -> bool {
    let (ledger_version, plan_version) = {
        let rows = shared.rows.borrow();
        (rows.ledger_version, rows.plan_version)
    };
    let ledgers = shared.changes(LEDGER, "", ledger_version).await;
    let plans = shared.changes(PLAN, "", plan_version).await;
    let view = shared.view();
    let mut changed = false;
    let mut more = false;
    shared.rows.send_modify(|rows| {
        let rows = Arc::make_mut(rows);
        if let Ok((delta, sent)) = ledgers {
            rows.ledger_version = delta.version;
            // Only once all rows were read: until then nobody may rest on them.
            if !delta.more {
                rows.now = Some((delta.now, sent));
            }
            changed = !delta.is_empty();
            more = delta.more;
            take_ledgers(shared, rows, delta);
        }
        if let Ok((delta, _)) = plans {
            rows.plan_version = delta.version;
            more |= delta.more;
            take_plans(shared, rows, delta);
        }
        // Runners that left the platform's list are left out.
        changed |= !Arc::ptr_eq(&rows.view, &view);
        rows.view = view;
    });
    // Putting it all together anew takes milliseconds at thousands of runners.
    if changed {
        publish(shared);
    }
    more
}

/// Notes a row that this daemon has committed, before it is read back.
pub fn note(shared: &Shared, server: &ServerName, ledger: &Ledger, version: u64) {
    shared.rows.send_modify(|rows| {
        let rows = Arc::make_mut(rows);
        rows.ledgers.insert(server.clone(), (ledger.clone(), version));
    });
    publish(shared);
}

/// Publishes what may be used of what the runners hold.
///
/// Runners that are no longer on the platform's list are left out.
pub fn publish(shared: &Shared) {
    let view = shared.view();
    let rows = shared.rows.borrow().clone();
    let old = shared.residency();
    let runners =
        rows.ledgers.iter().filter(|(name, _)| view.servers.contains_key(*name)).map(
            |(name, (ledger, _))| {
                let held = ResidentAssets::from_ledger(ledger);
                let same = old.runners().get(name).filter(|old| ***old == held);
                (name.clone(), same.cloned().unwrap_or_else(|| Arc::new(held)))
            },
        );
    let residence = Residency::new(runners.collect());
    shared.residency.send_if_modified(|old| {
        let changed = **old != residence;
        if changed {
            *old = Arc::new(residence);
        }
        changed
    });
}

fn take_ledgers(shared: &Shared, rows: &mut Rows, delta: chestnut_plat::Delta) {
    for key in delta.deleted {
        if let Ok(name) = ServerName::try_from(key) {
            rows.ledgers.shift_remove(&name);
        }
    }
    for row in delta.rows {
        let name = ServerName::try_from(row.key.clone());
        let ledger = serde_json::from_value::<Ledger>(row.value);
        let (Ok(name), Ok(ledger)) = (name, ledger) else {
            slog::error!(shared.log, "a ledger row can't be read"; "key" => row.key);
            continue;
        };
        // What this daemon has committed itself may be newer than the read.
        let newer = rows.ledgers.get(&name).is_none_or(|(_, held)| *held <= row.version);
        if newer {
            rows.ledgers.insert(name, (ledger, row.version));
        }
    }
}

fn take_plans(shared: &Shared, rows: &mut Rows, delta: chestnut_plat::Delta) {
    for key in delta.deleted {
        if let Ok(name) = ServerName::try_from(key) {
            rows.plans.shift_remove(&name);
        }
    }
    for row in delta.rows {
        if let Some(name) = row.key.strip_prefix(POOL_PREFIX) {
            take_pool(shared, rows, name, row.value);
            continue;
        }
        let name = ServerName::try_from(row.key.clone());
        let plan = serde_json::from_value::<PlanRow>(row.value);
        let (Ok(name), Ok(plan)) = (name, plan) else {
            slog::error!(shared.log, "a plan row can't be read"; "key" => row.key);
            continue;
        };
        rows.plans.insert(name, plan);
    }
}

fn take_pool(shared: &Shared, rows: &mut Rows, name: &str, value: serde_json::Value) {
    let row = serde_json::from_value::<PoolRow>(value);
    let (Ok(name), Ok(row)) = (PoolName::try_from(name), row) else {
        slog::error!(shared.log, "a pool's row can't be read"; "pool" => name);
        return;
    };
    let old = rows.unplaced.insert(name.clone(), row.unplaced.clone());
    if old.unwrap_or_default() != row.unplaced {
        let names: Vec<_> = row.unplaced.iter().map(|one| one.name.as_str()).collect();
        slog::warn!(
            shared.log, "what has no room has changed";
            "pool" => %name, "unplaced" => names.join(" ")
        );
    }
}
