//! A pool as its planner sees it, and the plan as the leads read it.

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

use crate::orders::rows::{Rows, Unplaced};

/// How many times its declared time a load may take until its place counts as bad.
const COLD_TIMES: u32 = 3;

/// What a load may take on top of that; orders may have to be sent again.
const COLD_SLACK: Duration = Duration::from_secs(30);

/// A pool with its declarations, runners and ledgers.
pub struct Scene<'a> {
    catalog: &'a Catalog,
    rows: &'a Rows,
    declared: &'a Pool,
    runners: Vec<(&'a ServerName, &'a Server)>,
    models: Vec<(&'a ModelName, &'a Model)>,
    domains: Vec<&'a DomainName>,
    view: &'a View,
}

impl<'a> Scene<'a> {
    /// Looks at a pool; nothing if it is not declared.
    pub fn new(
        catalog: &'a Catalog,
        view: &'a View,
        rows: &'a Rows,
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

    /// The state to plan from.
    ///
    /// `awaited` keeps since when a replica is wanted and not loaded; one that
    /// takes far too long does not count as placed.
    pub fn state(
        &self,
        averages: &IndexMap<ModelName, DemandEstimate>,
        awaited: &mut IndexMap<(ServerName, ModelName), Instant>,
        now: Instant,
    ) -> PoolState {
        let usable = self.usable_replicas();
        let mut waiting = IndexMap::new();
        let mut models = Vec::new();
        for (name, model) in &self.models {
            let mut state = ModelState {
                bytes: self.footprint(name, model),
                replicas: model.min_replicas.max(1) as usize,
                load_time: model.load_time,
                demand: averages.get(*name).map_or(0.0, DemandEstimate::estimate),
                placed: Vec::new(),
                loading: 0,
                cached_on: Vec::new(),
            };
            for runner in self.placed(name, model, &usable) {
                let server = self.runners[runner].0;
                if self.is_loaded(runner, name, model) {
                    state.placed.push(runner);
                    continue;
                }
                let key = (server.clone(), (*name).clone());
                let since = awaited.get(&key).copied().unwrap_or(now);
                waiting.insert(key, since);
                let limit = model.load_time * COLD_TIMES + COLD_SLACK;
                if now.saturating_duration_since(since) < limit {
                    state.placed.push(runner);
                    state.loading += 1;
                }
            }
            models.push(state);
        }
        *awaited = waiting;
        let runners = (0..self.runners.len())
            .map(|runner| self.runner_state(runner, &models, &usable))
            .collect();
        let step = self.declared.step_time.as_secs_f64().max(0.001);
        PoolState {
            runners,
            models,
            runner_throughput: f64::from(self.declared.max_streams.max(1)) / step,
            parallel_loads: self.declared.parallel_loads.max(1) as usize,
            frozen: false,
            attainment_weight: self.declared.attainment_weight,
            move_weight: self.declared.move_weight,
            demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
        }
    }

    /// The plan as rows for the leads, and what has no room, by name.
    pub fn rows(
        &self,
        state: &PoolState,
        placement: &Placement,
    ) -> (Vec<(ServerName, Vec<DesiredAsset>)>, Vec<Unplaced>) {
        let mut room: Vec<u64> = state
            .runners
            .iter()
            .map(|runner| runner.capacity.saturating_sub(runner.other_bytes))
            .collect();
        let mut wanted: Vec<Vec<DesiredAsset>> = vec![Vec::new(); self.runners.len()];
        for (index, (name, model)) in self.models.iter().enumerate() {
            for runner in &placement.placed[index] {
                let asset = Asset::model((*name).clone(), model.version.clone());
                wanted[*runner].push(DesiredAsset { asset, bytes: model.memory_bytes });
                room[*runner] = room[*runner].saturating_sub(model.memory_bytes);
            }
        }
        let mut unplaced: Vec<Unplaced> = placement
            .unplaced
            .iter()
            .map(|(index, missing)| Unplaced {
                name: self.models[*index].0.to_string(),
                bytes: state.models[*index].bytes,
                missing: *missing,
            })
            .collect();
        for (index, at) in placement.placed.iter().enumerate() {
            self.add_adapters(index, at, &mut room, &mut wanted, &mut unplaced);
        }
        let names = self.runners.iter().map(|(name, _)| (*name).clone());
        (names.zip(wanted).collect(), unplaced)
    }

    /// Runners of any pool that have rows and are not on the platform's list.
    pub fn absent(&self) -> Vec<ServerName> {
        let named = self.rows.ledgers.keys().chain(self.rows.plans.keys());
        let mut names: Vec<_> = named
            .filter(|name| !self.view.servers.contains_key(*name))
            .cloned()
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Adds the adapters of a model wherever it is, as far as they fit.
    fn add_adapters(
        &self,
        index: usize,
        at: &[usize],
        room: &mut [u64],
        wanted: &mut [Vec<DesiredAsset>],
        unplaced: &mut Vec<Unplaced>,
    ) {
        let (name, model) = self.models[index];
        let adapters = self.catalog.adapters.iter().filter(|(_, a)| a.model == *name);
        for (adapter, declared) in adapters {
            let mut count = 0;
            for runner in at {
                if room[*runner] < declared.memory_bytes {
                    continue;
                }
                let version = model.version.clone();
                let asset = Asset::adapter(name.clone(), version, adapter.clone());
                wanted[*runner]
                    .push(DesiredAsset { asset, bytes: declared.memory_bytes });
                room[*runner] -= declared.memory_bytes;
                count += 1;
            }
            if count == 0 && !at.is_empty() {
                let (name, bytes) = (adapter.to_string(), declared.memory_bytes);
                unplaced.push(Unplaced { name, bytes, missing: 1 });
            }
        }
    }

    /// The memory of a replica with its adapters, at most a runner's.
    fn footprint(&self, name: &ModelName, model: &Model) -> u64 {
        let adapters = self.catalog.adapters.values().filter(|a| a.model == *name);
        let sum: u64 = adapters.map(|adapter| adapter.memory_bytes).sum();
        (model.memory_bytes + sum).min(self.declared.memory_bytes).max(model.memory_bytes)
    }

    fn ledger(&self, runner: usize) -> Option<&'a Ledger> {
        self.rows.ledgers.get(self.runners[runner].0).map(|(ledger, _)| ledger)
    }

    /// How many staying runners can serve each model in any version.
    fn usable_replicas(&self) -> HashMap<&'a ModelName, usize> {
        let mut counts = HashMap::new();
        for runner in 0..self.runners.len() {
            if self.runners[runner].1.leaving {
                continue;
            }
            for item in
                self.ledger(runner).iter().flat_map(|ledger| usable_models(ledger))
            {
                *counts.entry(&item.asset.model).or_default() += 1;
            }
        }
        counts
    }

    /// The runners that hold a model or are to hold it, leaving ones included.
    ///
    /// One that holds its last replica in another version counts only if both
    /// versions fit and no adapter is on top, which can't be on both; else the
    /// new one has to be loaded elsewhere first.
    fn placed(
        &self,
        name: &ModelName,
        model: &Model,
        usable: &HashMap<&ModelName, usize>,
    ) -> Vec<usize> {
        let count = usable.get(name).copied().unwrap_or(0);
        let adapted = self.catalog.adapters.values().any(|a| a.model == *name);
        let is_placed = |runner: &usize| {
            let (server, _) = self.runners[*runner];
            let ledger = self.ledger(*runner);
            let Some(plan) = self.rows.plans.get(server) else {
                let items = ledger.iter().flat_map(|ledger| &ledger.reservations);
                return items
                    .into_iter()
                    .any(|item| is_held(item) && item.asset.model == *name);
            };
            let want = plan
                .wanted
                .iter()
                .find(|want| want.asset.adapter.is_none() && want.asset.model == *name);
            let Some(want) = want else {
                // A last replica stays where it is rather than being loaded anew.
                let asset = Asset::model(name.clone(), model.version.clone());
                let usable = ledger.is_some_and(|ledger| ledger.is_usable(&asset));
                return usable && count <= 1;
            };
            let held = ledger.is_some_and(|ledger| ledger.is_usable(&want.asset));
            let last = want.asset.version != model.version && held && count <= 1;
            !last
                || (!adapted
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
        let pinned = |item: &&Reservation| self.is_pinned(item, runner, models, usable);
        let other = ledger.map_or(0, |ledger| {
            ledger.reservations.iter().filter(pinned).map(|item| item.bytes).sum()
        });
        let domain = self.domains.binary_search(&&server.domain).unwrap_or(0);
        let down = ledger.is_some_and(|ledger| ledger.down);
        RunnerState {
            domain,
            capacity,
            other_bytes: other,
            accepts_models: !server.leaving && !down,
            locked: false,
        }
    }

    /// Whether an item takes memory that no placed model accounts for and that
    /// can't be freed now.
    fn is_pinned(
        &self,
        item: &Reservation,
        runner: usize,
        models: &[ModelState],
        usable: &HashMap<&ModelName, usize>,
    ) -> bool {
        let index = self.models.iter().position(|(name, _)| **name == item.asset.model);
        let Some(index) = index else { return item.state == ReservationState::Expiring };
        let current = self.models[index].1.version == item.asset.version;
        if current && models[index].placed.contains(&runner) {
            return false;
        }
        match item.state {
            ReservationState::Expiring => true,
            ReservationState::Draining | ReservationState::Unloading => false,
            // Loads can't be stopped and last replicas can't be dropped.
            ReservationState::Loading => true,
            ReservationState::Ready => {
                usable.get(&item.asset.model).copied().unwrap_or(0) <= 1
            }
        }
    }
}

fn is_held(item: &Reservation) -> bool {
    item.asset.adapter.is_none()
        && matches!(item.state, ReservationState::Loading | ReservationState::Ready)
}

fn usable_models(ledger: &Ledger) -> impl Iterator<Item = &Reservation> {
    ledger
        .reservations
        .iter()
        .filter(|item| item.asset.adapter.is_none() && ledger.is_usable(&item.asset))
}
