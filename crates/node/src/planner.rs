//! The planners of the pools whose claim this daemon holds.
//!
//! In each round a planner reads the demand that entries have written
//! ([`crate::demand`]), builds the state of the pool from declarations, runners and
//! ledgers ([`placement_input`]), plans with `chestnut-place`, and writes under the
//! pool's claim what each runner is to hold. The runners' leads carry out the plan.

pub mod placement_input;

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{ModelName, PoolName, ServerName};
use chestnut_member::{Claim, ClaimKey};
use chestnut_place::{DemandEstimate, plan_placement};
use chestnut_plat::{PlatformError, Txn, TxnResponse};
use indexmap::{IndexMap, IndexSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use serde_json::json;

use crate::demand::{self, DEMAND_TABLE, DemandReport};
use crate::members::CLAIMS;
use crate::orders;
use crate::orders::rows::{LEDGER, PLAN, PlanRow, UnplacedRow, pool_key};
use crate::planner::placement_input::PlacementInput;
use crate::shared::Shared;

/// Number of poll intervals between two rounds.
const POLLS_PER_ROUND: u32 = 4;

/// Maximum number of row transactions that are merged into one.
const MAX_MERGED_TXNS: usize = 100;

/// Time after which the rows of a runner that is missing from the platform's list are
/// deleted.
///
/// The list lags and may omit entries for a while.
const MISSING_RUNNER_RETENTION: Duration = Duration::from_secs(600);

/// Publishes this daemon's demand and plans for the pools that it claims, until the
/// process ends.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(demand::run(shared.clone()), run_planners(shared));
}

async fn run_planners(shared: Arc<Shared>) {
    let counters = Counters::new(&shared);
    let mut planners: IndexMap<PoolName, Planner> = IndexMap::new();
    loop {
        let claims = claimed_pools(&shared);
        planners.retain(|pool, planner| claims.get(pool) == Some(&planner.claim));
        for (pool, claim) in claims {
            let planner = planners
                .entry(pool.clone())
                .or_insert_with(|| Planner::new(claim, shared.clock.now()));
            if let Err(error) = planner.run_round(&shared, &pool, &counters).await {
                counters.failures.inc();
                slog::debug!(
                    shared.log, "planning round failed";
                    "pool" => %pool, "error" => %error
                );
            }
        }
        let interval = shared.settings.times.poll_interval * POLLS_PER_ROUND;
        tokio::time::sleep(interval.max(orders::poll_interval(&shared))).await;
    }
}

/// The pools that this daemon claims; empty unless its lease is valid.
fn claimed_pools(shared: &Shared) -> IndexMap<PoolName, Claim> {
    let view = shared.view();
    if !shared.is_lease_valid(shared.clock.now()) {
        return IndexMap::new();
    }
    let catalog = shared.catalog();
    let pools = catalog.pools.keys().filter_map(|pool| {
        let (claim, _) = view.holder(&ClaimKey::Pool(pool.clone()))?;
        (claim.holder == shared.me).then(|| (pool.clone(), claim))
    });
    pools.collect()
}

/// Metrics of all planners of this daemon.
struct Counters {
    rounds: Counter,
    failures: Counter,
    replicas: Counter,
    unplaced: Gauge,
}

impl Counters {
    fn new(shared: &Shared) -> Self {
        let counters = Self {
            rounds: Counter::default(),
            failures: Counter::default(),
            replicas: Counter::default(),
            unplaced: Gauge::default(),
        };
        shared.metrics.register(|registry| {
            registry.register("plans", "Rounds of planners", counters.rounds.clone());
            registry.register(
                "plan_failures",
                "Rounds of planners that failed since the platform was unavailable",
                counters.failures.clone(),
            );
            registry.register(
                "planned_replicas",
                "Replicas that planners have added",
                counters.replicas.clone(),
            );
            registry.register(
                "unplaced",
                "Declared models and adapters without room in planned pools",
                counters.unplaced.clone(),
            );
        });
        counters
    }
}

/// The planner of one pool.
struct Planner {
    claim: Claim,
    demand: IndexMap<ModelName, DemandEstimate>,
    demand_updated_at: Instant,
    /// The entries' demand reports by row key.
    reports: IndexMap<String, DemandReport>,
    /// The version up to which demand rows were read.
    reports_version: u64,
    /// Since when each replica has been planned without being loaded.
    pending_since: IndexMap<(ServerName, ModelName), Instant>,
    /// Since when each runner has been missing from the platform's list.
    missing_since: IndexMap<ServerName, Instant>,
}

impl Planner {
    fn new(claim: Claim, now: Instant) -> Self {
        Self {
            claim,
            demand: IndexMap::new(),
            demand_updated_at: now,
            reports: IndexMap::new(),
            reports_version: 0,
            pending_since: IndexMap::new(),
            missing_since: IndexMap::new(),
        }
    }

    async fn run_round(
        &mut self,
        shared: &Shared,
        pool: &PoolName,
        counters: &Counters,
    ) -> Result<(), PlatformError> {
        let rows = shared.rows.borrow().clone();
        // Without the ledgers every model would appear to be unplaced.
        if rows.table_time.is_none() {
            return Ok(());
        }
        let stale_keys = self.read_demand(shared, pool).await?;
        let now = shared.clock.now();
        let catalog = shared.catalog();
        let view = shared.view();
        let Some(input) = PlacementInput::new(&catalog, &view, &rows, pool) else {
            return Ok(());
        };
        let state = input.pool_state(&self.demand, &mut self.pending_since, now);
        let placement = plan_placement(&state);
        counters.rounds.inc();
        counters.replicas.inc_by(placement.added.len() as u64);
        let (plans, unplaced) = input.plan_rows(&state, &placement);
        counters.unplaced.set(unplaced.len() as i64);
        let mut txns = Vec::new();
        for (name, wanted) in plans {
            let row = PlanRow { wanted };
            if rows.plans.get(&name) != Some(&row) {
                let value = json!(row);
                txns.push(Txn::new().put(PLAN, name.as_str(), value));
            }
        }
        let previous = rows.unplaced.get(pool);
        if previous.map_or(!unplaced.is_empty(), |previous| *previous != unplaced) {
            let value = json!(UnplacedRow { unplaced });
            txns.push(Txn::new().put(PLAN, pool_key(pool), value));
        }
        txns.extend(
            stale_keys.into_iter().map(|key| Txn::new().delete(DEMAND_TABLE, key)),
        );
        for name in self.expired_runners(&input, now) {
            let key = name.as_str();
            txns.push(Txn::new().delete(PLAN, key).delete(LEDGER, key));
        }
        self.commit(shared, pool, txns).await
    }

    /// Reads the demand rows and updates the demand estimates.
    ///
    /// Returns the keys of rows whose daemon is no longer a member.
    async fn read_demand(
        &mut self,
        shared: &Shared,
        pool: &PoolName,
    ) -> Result<Vec<String>, PlatformError> {
        let prefix = format!("{pool}/");
        let delta =
            shared.table.scan(DEMAND_TABLE, &prefix, self.reports_version).await?;
        self.reports_version = delta.version;
        for key in delta.deleted {
            self.reports.swap_remove(&key);
        }
        for row in delta.rows {
            if let Ok(report) = serde_json::from_value::<DemandReport>(row.value) {
                self.reports.insert(row.key, report);
            }
        }
        let view = shared.view();
        let member_keys: IndexSet<String> =
            view.members.keys().map(|id| demand::report_key(pool, *id)).collect();
        let reports = std::mem::take(&mut self.reports);
        let (current, stale): (IndexMap<_, _>, IndexMap<_, _>) =
            reports.into_iter().partition(|(key, _)| member_keys.contains(key));
        self.reports = current;
        let scale = demand::sampling_factor(&view);
        let mut rates: IndexMap<ModelName, f64> = IndexMap::new();
        for (model, rate) in self.reports.values().flat_map(|report| &report.rates) {
            *rates.entry(model.clone()).or_default() += rate * scale;
        }
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(self.demand_updated_at);
        self.demand_updated_at = now;
        for model in rates.keys() {
            self.demand.entry(model.clone()).or_default();
        }
        for (model, estimate) in &mut self.demand {
            let rate = rates.get(model).copied().unwrap_or(0.0);
            estimate.record(rate * elapsed.as_secs_f64(), elapsed);
        }
        Ok(stale.into_keys().collect())
    }

    /// Runners missing from the platform's list for [`MISSING_RUNNER_RETENTION`].
    fn expired_runners(
        &mut self,
        input: &PlacementInput,
        now: Instant,
    ) -> Vec<ServerName> {
        let missing = input.missing_runners();
        self.missing_since.retain(|name, _| missing.contains(name));
        for name in missing {
            self.missing_since.entry(name).or_insert(now);
        }
        let is_expired = |since: &Instant| {
            now.saturating_duration_since(*since) >= MISSING_RUNNER_RETENTION
        };
        let expired = self.missing_since.iter().filter(|(_, since)| is_expired(since));
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Merges `txns` into a few transactions and commits each under the pool's claim.
    async fn commit(
        &self,
        shared: &Shared,
        pool: &PoolName,
        txns: Vec<Txn>,
    ) -> Result<(), PlatformError> {
        for chunk in txns.chunks(MAX_MERGED_TXNS) {
            let claim = ClaimKey::Pool(pool.clone()).to_string();
            let mut txn = Txn::new().require_version(CLAIMS, claim, self.claim.version);
            txn.writes = chunk.iter().flat_map(|txn| txn.writes.clone()).collect();
            if let TxnResponse::Conflict { .. } = shared.table.commit(&txn).await? {
                // Another daemon has claimed the pool.
                return Ok(());
            }
        }
        Ok(())
    }
}
