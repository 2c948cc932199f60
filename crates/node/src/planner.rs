//! The planners of the pools that this daemon claims.
//!
//! A round of a planner reads the demand that entries have written
//! ([`crate::demand`]), turns declarations, runners and ledgers into the state
//! of the pool ([`scene`]), plans with `chestnut-place`, and writes what each
//! runner is to hold under the pool's claim. The runners' leads follow it.

pub mod scene;

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

use crate::demand::{self, DEMAND, Digest};
use crate::members::CLAIMS;
use crate::orders;
use crate::orders::rows::{LEDGER, PLAN, PlanRow, PoolRow, pool_key};
use crate::planner::scene::Scene;
use crate::shared::Shared;

/// Polls between two plans.
const POLLS: u32 = 4;

/// The greatest number of rows in a transaction.
const ROWS: usize = 100;

/// How long a runner may be missing from the platform's list until its rows go.
///
/// The list lags and may lose entries for a while.
const KEPT: Duration = Duration::from_secs(600);

/// Plans for the pools that this daemon claims until the process ends.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(demand::run(shared.clone()), plan_all(shared));
}

async fn plan_all(shared: Arc<Shared>) {
    let counters = Counters::new(&shared);
    let mut planners: IndexMap<PoolName, Planner> = IndexMap::new();
    loop {
        let claims = claimed(&shared);
        planners.retain(|pool, planner| claims.get(pool) == Some(&planner.claim));
        for (pool, claim) in claims {
            let planner = planners
                .entry(pool.clone())
                .or_insert_with(|| Planner::new(claim, shared.clock.now()));
            if let Err(error) = planner.round(&shared, &pool, &counters).await {
                counters.failures.inc();
                slog::debug!(
                    shared.log, "a plan could not be written";
                    "pool" => %pool, "error" => %error
                );
            }
        }
        let pause = shared.settings.times.poll_interval * POLLS;
        tokio::time::sleep(pause.max(orders::pace(&shared))).await;
    }
}

/// The pools that this daemon claims while its lease holds.
fn claimed(shared: &Shared) -> IndexMap<PoolName, Claim> {
    let view = shared.view();
    if !shared.lease_holds(shared.clock.now()) {
        return IndexMap::new();
    }
    let catalog = shared.catalog();
    let pools = catalog.pools.keys().filter_map(|pool| {
        let (claim, _) = view.holder(&ClaimKey::Pool(pool.clone()))?;
        (claim.holder == shared.me).then(|| (pool.clone(), claim))
    });
    pools.collect()
}

/// What is counted about plans.
struct Counters {
    rounds: Counter,
    failures: Counter,
    replicas: Counter,
    unplaced: Gauge,
}

impl Counters {
    fn new(shared: &Shared) -> Self {
        let all = Self {
            rounds: Counter::default(),
            failures: Counter::default(),
            replicas: Counter::default(),
            unplaced: Gauge::default(),
        };
        shared.metrics.register(|registry| {
            registry.register("plans", "Rounds of planners", all.rounds.clone());
            registry.register(
                "plan_failures",
                "Rounds of planners that the platform failed",
                all.failures.clone(),
            );
            registry.register(
                "planned_replicas",
                "Replicas that planners have added",
                all.replicas.clone(),
            );
            registry.register(
                "unplaced",
                "Declared models and adapters without room in planned pools",
                all.unplaced.clone(),
            );
        });
        all
    }
}

/// The planner of one pool.
struct Planner {
    claim: Claim,
    averages: IndexMap<ModelName, DemandEstimate>,
    averaged: Instant,
    /// The digests of entries by their row's key, and the version they were read to.
    digests: IndexMap<String, Digest>,
    digest_version: u64,
    /// When a replica was first seen as wanted and not loaded.
    awaited: IndexMap<(ServerName, ModelName), Instant>,
    /// When a runner was first missing from the platform's list.
    missing: IndexMap<ServerName, Instant>,
}

impl Planner {
    fn new(claim: Claim, now: Instant) -> Self {
        Self {
            claim,
            averages: IndexMap::new(),
            averaged: now,
            digests: IndexMap::new(),
            digest_version: 0,
            awaited: IndexMap::new(),
            missing: IndexMap::new(),
        }
    }

    async fn round(
        &mut self,
        shared: &Shared,
        pool: &PoolName,
        counters: &Counters,
    ) -> Result<(), PlatformError> {
        let rows = shared.rows.borrow().clone();
        // Without the ledgers everything would look unplaced.
        if rows.now.is_none() {
            return Ok(());
        }
        let stale = self.read_demand(shared, pool).await?;
        let now = shared.clock.now();
        let catalog = shared.catalog();
        let view = shared.view();
        let Some(scene) = Scene::new(&catalog, &view, &rows, pool) else { return Ok(()) };
        let state = scene.state(&self.averages, &mut self.awaited, now);
        let placement = plan_placement(&state);
        counters.rounds.inc();
        counters.replicas.inc_by(placement.added.len() as u64);
        let (plans, unplaced) = scene.rows(&state, &placement);
        counters.unplaced.set(unplaced.len() as i64);
        let mut txns = Vec::new();
        for (name, wanted) in plans {
            let row = PlanRow { wanted };
            if rows.plans.get(&name) != Some(&row) {
                let value = json!(row);
                txns.push(Txn::new().put(PLAN, name.as_str(), value));
            }
        }
        let known = rows.unplaced.get(pool);
        if known.map_or(!unplaced.is_empty(), |known| *known != unplaced) {
            let value = json!(PoolRow { unplaced });
            txns.push(Txn::new().put(PLAN, pool_key(pool), value));
        }
        txns.extend(stale.into_iter().map(|key| Txn::new().delete(DEMAND, key)));
        for name in self.gone(&scene, now) {
            let key = name.as_str();
            txns.push(Txn::new().delete(PLAN, key).delete(LEDGER, key));
        }
        self.commit(shared, pool, txns).await
    }

    /// Takes what entries have written into the averages.
    ///
    /// Returns the keys of digests of daemons that are gone.
    async fn read_demand(
        &mut self,
        shared: &Shared,
        pool: &PoolName,
    ) -> Result<Vec<String>, PlatformError> {
        let prefix = format!("{pool}/");
        let delta = shared.table.scan(DEMAND, &prefix, self.digest_version).await?;
        self.digest_version = delta.version;
        for key in delta.deleted {
            self.digests.swap_remove(&key);
        }
        for row in delta.rows {
            if let Ok(digest) = serde_json::from_value::<Digest>(row.value) {
                self.digests.insert(row.key, digest);
            }
        }
        let view = shared.view();
        let keys: IndexSet<String> =
            view.members.keys().map(|id| demand::key(pool, *id)).collect();
        let digests = std::mem::take(&mut self.digests);
        let (kept, stale): (IndexMap<_, _>, IndexMap<_, _>) =
            digests.into_iter().partition(|(key, _)| keys.contains(key));
        self.digests = kept;
        let scale = demand::scale(&view);
        let mut rates: IndexMap<ModelName, f64> = IndexMap::new();
        for (model, rate) in self.digests.values().flat_map(|digest| &digest.rates) {
            *rates.entry(model.clone()).or_default() += rate * scale;
        }
        let now = shared.clock.now();
        let time = now.saturating_duration_since(self.averaged);
        self.averaged = now;
        for model in rates.keys() {
            self.averages.entry(model.clone()).or_default();
        }
        for (model, average) in &mut self.averages {
            let rate = rates.get(model).copied().unwrap_or(0.0);
            average.record(rate * time.as_secs_f64(), time);
        }
        Ok(stale.into_keys().collect())
    }

    /// Runners that are no longer on the platform's list for some time.
    fn gone(&mut self, scene: &Scene, now: Instant) -> Vec<ServerName> {
        let absent = scene.absent();
        self.missing.retain(|name, _| absent.contains(name));
        for name in absent {
            self.missing.entry(name).or_insert(now);
        }
        let old = |since: &Instant| now.saturating_duration_since(*since) >= KEPT;
        let gone = self.missing.iter().filter(|(_, since)| old(since));
        gone.map(|(name, _)| name.clone()).collect()
    }

    /// Writes rows in a few transactions, each under the pool's claim.
    async fn commit(
        &self,
        shared: &Shared,
        pool: &PoolName,
        txns: Vec<Txn>,
    ) -> Result<(), PlatformError> {
        for part in txns.chunks(ROWS) {
            let claim = ClaimKey::Pool(pool.clone()).to_string();
            let mut txn = Txn::new().version(CLAIMS, claim, self.claim.version);
            txn.writes = part.iter().flat_map(|txn| txn.writes.clone()).collect();
            if let TxnResponse::Conflict { .. } = shared.table.commit(&txn).await? {
                // Another daemon plans for the pool now.
                return Ok(());
            }
        }
        Ok(())
    }
}
