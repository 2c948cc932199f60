//! Builds the planner's input for a pool and converts the placement to plan rows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, ModelName, PoolName, ServerName};
use chestnut_config::{Catalog, Model, Pool};
use chestnut_member::{Server, ServerRole, View};
use chestnut_place::{
    Asset, DemandEstimate, DesiredAsset, Ledger, ModelState, Placement, PoolState,
    Reservation, ReservationState, RunnerState,
};
use indexmap::IndexMap;

use crate::orders::rows::{PlacementRows, UnplacedAsset};

/// Multiple of a model's declared load time. A load that takes longer than this plus
/// [`LOAD_TIME_SLACK`] no longer counts as a placed replica.
const LOAD_TIME_FACTOR: u32 = 3;

/// Additional time for a load, as its orders may have to be resent.
const LOAD_TIME_SLACK: Duration = Duration::from_secs(30);

/// A pool with its declarations, runners and ledgers.
pub struct PlacementInput<'a> {
    catalog: &'a Catalog,
    rows: &'a PlacementRows,
    declared: &'a Pool,
    runners: Vec<(&'a ServerName, &'a Server)>,
    models: Vec<(&'a ModelName, &'a Model)>,
    domains: Vec<&'a DomainName>,
    view: &'a View,
}

impl<'a> PlacementInput<'a> {
    /// Collects the input for a pool; absent if the pool is not declared.
    pub fn new(
        catalog: &'a Catalog,
        view: &'a View,
        rows: &'a PlacementRows,
        pool: &PoolName,
    ) -> Option<Self> {
        let declared = catalog.pools.get(pool)?;
        let role = ServerRole::Runner(pool.clone());
        let mut runners: Vec<_> =
            view.servers.iter().filter(|(_, server)| server.role == role).collect();
        runners.sort_by_key(|(name, _)| *name);
        let models = catalog.models.iter().filter(|(_, model)| model.pool == *pool);
        let mut domains: Vec<_> = runners.iter().map(|(_, s)| &s.domain).collect();
        domains.sort();
        domains.dedup();
        Some(Self {
            catalog,
            rows,
            declared,
            runners,
            models: models.collect(),
            domains,
            view,
        })
    }

    /// Computes the state from which `chestnut-place` plans the pool.
    ///
    /// `pending_since` records since when each replica has been planned without being
    /// loaded. A replica whose load takes much longer than declared does not count as placed.
    pub fn pool_state(
        &self,
        demand: &IndexMap<ModelName, DemandEstimate>,
        pending_since: &mut IndexMap<(ServerName, ModelName), Instant>,
        now: Instant,
    ) -> PoolState {
        let usable = self.usable_replicas();
        let mut still_pending = IndexMap::new();
        let mut models = Vec::new();
        for (name, model) in &self.models {
            let mut state = ModelState {
                bytes: self.replica_bytes(name, model),
                replicas: model.min_replicas.max(1) as usize,
                load_time: model.load_time,
                demand: demand.get(*name).map_or(0.0, DemandEstimate::estimate),
                placed: Vec::new(),
                loading: 0,
                cached_on: Vec::new(),
            };
            for runner in self.runners_with(name, model, &usable) {
                let server = self.runners[runner].0;
                if self.is_loaded(runner, name, model) {
                    state.placed.push(runner);
                    continue;
                }
                let key = (server.clone(), (*name).clone());
                let since = pending_since.get(&key).copied().unwrap_or(now);
                still_pending.insert(key, since);
                let limit = model.load_time * LOAD_TIME_FACTOR + LOAD_TIME_SLACK;
                if now.saturating_duration_since(since) < limit {
                    state.placed.push(runner);
                    state.loading += 1;
                }
            }
            models.push(state);
        }
        *pending_since = still_pending;
        let runners = (0..self.runners.len())
            .map(|runner| self.runner_state(runner, &models, &usable))
            .collect();
        let step_s = self.declared.step_time.as_secs_f64().max(0.001);
        PoolState {
            runners,
            models,
            runner_throughput: f64::from(self.declared.max_streams.max(1)) / step_s,
            parallel_loads: self.declared.parallel_loads.max(1) as usize,
            frozen: false,
            attainment_weight: self.declared.attainment_weight,
            move_weight: self.declared.move_weight,
            demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
        }
    }

    /// The assets planned for each runner, and what could not be placed.
    pub fn plan_rows(
        &self,
        state: &PoolState,
        placement: &Placement,
    ) -> (Vec<(ServerName, Vec<DesiredAsset>)>, Vec<UnplacedAsset>) {
        let mut free_bytes: Vec<u64> = state
            .runners
            .iter()
            .map(|runner| runner.capacity.saturating_sub(runner.other_bytes))
            .collect();
        let mut wanted: Vec<Vec<DesiredAsset>> = vec![Vec::new(); self.runners.len()];
        for (index, (name, model)) in self.models.iter().enumerate() {
            for runner in &placement.placed[index] {
                let asset = Asset::model((*name).clone(), model.version.clone());
                wanted[*runner].push(DesiredAsset { asset, bytes: model.memory_bytes });
                free_bytes[*runner] =
                    free_bytes[*runner].saturating_sub(model.memory_bytes);
            }
        }
        let mut unplaced: Vec<UnplacedAsset> = placement
            .unplaced
            .iter()
            .map(|(index, missing)| UnplacedAsset {
                name: self.models[*index].0.to_string(),
                bytes: state.models[*index].bytes,
                missing: *missing,
            })
            .collect();
        for (index, runners) in placement.placed.iter().enumerate() {
            self.add_adapters(
                index,
                runners,
                &mut free_bytes,
                &mut wanted,
                &mut unplaced,
            );
        }
        let names = self.runners.iter().map(|(name, _)| (*name).clone());
        (names.zip(wanted).collect(), unplaced)
    }

    /// Runners of any pool that have rows but are not on the platform's list.
    pub fn missing_runners(&self) -> Vec<ServerName> {
        let with_rows = self.rows.ledgers.keys().chain(self.rows.plans.keys());
        let mut names: Vec<_> = with_rows
            .filter(|name| !self.view.servers.contains_key(*name))
            .cloned()
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Adds the adapters of a model on each runner where the model is placed and they
    /// fit; an adapter that fits on none of them is unplaced.
    fn add_adapters(
        &self,
        index: usize,
        runners: &[usize],
        free_bytes: &mut [u64],
        wanted: &mut [Vec<DesiredAsset>],
        unplaced: &mut Vec<UnplacedAsset>,
    ) {
        let (name, model) = self.models[index];
        let adapters = self.catalog.adapters.iter().filter(|(_, a)| a.model == *name);
        for (adapter, declared) in adapters {
            let mut count = 0;
            for runner in runners {
                if free_bytes[*runner] < declared.memory_bytes {
                    continue;
                }
                let version = model.version.clone();
                let asset = Asset::adapter(name.clone(), version, adapter.clone());
                wanted[*runner]
                    .push(DesiredAsset { asset, bytes: declared.memory_bytes });
                free_bytes[*runner] -= declared.memory_bytes;
                count += 1;
            }
            if count == 0 && !runners.is_empty() {
                let (name, bytes) = (adapter.to_string(), declared.memory_bytes);
                unplaced.push(UnplacedAsset { name, bytes, missing: 1 });
            }
        }
    }

    /// The memory of a replica with all its adapters, limited to a runner's memory
    /// but at least that of the model alone.
    fn replica_bytes(&self, name: &ModelName, model: &Model) -> u64 {
        let adapters = self.catalog.adapters.values().filter(|a| a.model == *name);
        let adapter_bytes: u64 = adapters.map(|adapter| adapter.memory_bytes).sum();
        (model.memory_bytes + adapter_bytes)
            .min(self.declared.memory_bytes)
            .max(model.memory_bytes)
    }

    fn ledger(&self, runner: usize) -> Option<&'a Ledger> {
        self.rows.ledgers.get(self.runners[runner].0).map(|(ledger, _)| ledger)
    }

    /// For each model, how many runners that are not leaving can serve any version of it.
    fn usable_replicas(&self) -> HashMap<&'a ModelName, usize> {
        let mut counts = HashMap::new();
        for runner in 0..self.runners.len() {
            if self.runners[runner].1.leaving {
                continue;
            }
            for reservation in
                self.ledger(runner).iter().flat_map(|ledger| usable_models(ledger))
            {
                *counts.entry(&reservation.asset.model).or_default() += 1;
            }
        }
        counts
    }

    /// The runners that hold a model or are planned to, including leaving ones.
    ///
    /// A runner that holds the model's last replica in another version counts only if
    /// both versions fit and the model has no adapters, since an adapter can't be on
    /// both versions. Otherwise the new version has to be loaded elsewhere first.
    fn runners_with(
        &self,
        name: &ModelName,
        model: &Model,
        usable: &HashMap<&ModelName, usize>,
    ) -> Vec<usize> {
        let replicas = usable.get(name).copied().unwrap_or(0);
        let has_adapters = self.catalog.adapters.values().any(|a| a.model == *name);
        let is_placed = |runner: &usize| {
            let (server, _) = self.runners[*runner];
            let ledger = self.ledger(*runner);
            let Some(plan) = self.rows.plans.get(server) else {
                let reservations = ledger.iter().flat_map(|ledger| &ledger.reservations);
                return reservations.into_iter().any(|reservation| {
                    is_loading_or_ready(reservation) && reservation.asset.model == *name
                });
            };
            let want = plan
                .wanted
                .iter()
                .find(|want| want.asset.adapter.is_none() && want.asset.model == *name);
            let Some(want) = want else {
                // The last replica stays where it is rather than being loaded elsewhere.
                let asset = Asset::model(name.clone(), model.version.clone());
                let usable = ledger.is_some_and(|ledger| ledger.is_usable(&asset));
                return usable && replicas <= 1;
            };
            let held = ledger.is_some_and(|ledger| ledger.is_usable(&want.asset));
            let is_last_of_other_version =
                want.asset.version != model.version && held && replicas <= 1;
            !is_last_of_other_version
                || (!has_adapters
                    && ledger.is_some_and(|held| held.free_bytes() >= model.memory_bytes))
        };
        (0..self.runners.len()).filter(is_placed).collect()
    }

    fn is_loaded(&self, runner: usize, name: &ModelName, model: &Model) -> bool {
        let asset = Asset::model(name.clone(), model.version.clone());
        self.ledger(runner).is_some_and(|ledger| ledger.is_ready(&asset))
    }

    fn runner_state(
        &self,
        runner: usize,
        models: &[ModelState],
        usable: &HashMap<&ModelName, usize>,
    ) -> RunnerState {
        let (_, server) = self.runners[runner];
        let ledger = self.ledger(runner);
        let capacity = self.declared.memory_bytes;
        let pinned = |reservation: &&Reservation| {
            self.is_pinned(reservation, runner, models, usable)
        };
        let other_bytes = ledger.map_or(0, |ledger| {
            ledger
                .reservations
                .iter()
                .filter(pinned)
                .map(|reservation| reservation.bytes)
                .sum()
        });
        let domain = self.domains.binary_search(&&server.domain).unwrap_or(0);
        let down = ledger.is_some_and(|ledger| ledger.down);
        RunnerState {
            domain,
            capacity,
            other_bytes,
            accepts_models: !server.leaving && !down,
            locked: false,
            lost_throughput: 0.0,
        }
    }

    /// Whether a reservation takes memory that no placed model accounts for and that
    /// can't be freed now.
    fn is_pinned(
        &self,
        reservation: &Reservation,
        runner: usize,
        models: &[ModelState],
        usable: &HashMap<&ModelName, usize>,
    ) -> bool {
        let index =
            self.models.iter().position(|(name, _)| **name == reservation.asset.model);
        let Some(index) = index else {
            return reservation.state == ReservationState::Expiring;
        };
        let current = self.models[index].1.version == reservation.asset.version;
        if current && models[index].placed.contains(&runner) {
            return false;
        }
        match reservation.state {
            ReservationState::Expiring => true,
            ReservationState::Draining | ReservationState::Unloading => false,
            // A load can't be cancelled, and a last replica can't be dropped.
            ReservationState::Loading => true,
            ReservationState::Ready => {
                usable.get(&reservation.asset.model).copied().unwrap_or(0) <= 1
            }
        }
    }
}

fn is_loading_or_ready(reservation: &Reservation) -> bool {
    reservation.asset.adapter.is_none()
        && matches!(
            reservation.state,
            ReservationState::Loading | ReservationState::Ready
        )
}

fn usable_models(ledger: &Ledger) -> impl Iterator<Item = &Reservation> {
    ledger.reservations.iter().filter(|reservation| {
        reservation.asset.adapter.is_none() && ledger.is_usable(&reservation.asset)
    })
}
