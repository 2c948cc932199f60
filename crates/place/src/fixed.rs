//! A placement that depends on nothing but the declarations and the runners.
//!
//! It is used until a planner has written one, and as the baseline `static`.
//! Models are placed largest first, one replica of each before the second of
//! any, on the runner with room whose failure domain holds the fewest replicas
//! of the model; rendezvous hashing breaks ties, so that all daemons that know
//! the same declarations and runners get the same result.

use std::cmp::Reverse;

use chestnut_base::{AdapterName, DomainName, ModelName, PoolName, ServerName};
use chestnut_config::{Adapter, Catalog, Model};
use indexmap::IndexMap;

use crate::asset::Asset;
use crate::follow::Want;

/// A runner as placements see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Its name.
    pub name: ServerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its memory for models and adapters, in bytes.
    pub capacity: u64,
}

/// What each runner of a pool is to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// For each runner, models before the adapters on top of them.
    pub wanted: IndexMap<ServerName, Vec<Want>>,
    /// What is declared and fits nowhere.
    pub unplaced: Vec<Unplaced>,
}

/// A declared model or adapter that has no place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unplaced {
    /// The model or adapter.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub bytes: u64,
    /// How many replicas are missing.
    pub missing: u32,
}

/// Places the models of a pool and their adapters.
pub fn place_fixed(catalog: &Catalog, pool: &PoolName, runners: &[Runner]) -> Plan {
    let mut plan = Plan::default();
    for runner in runners {
        plan.wanted.insert(runner.name.clone(), Vec::new());
    }
    let mut models: Vec<_> =
        catalog.models.iter().filter(|(_, model)| model.pool == *pool).collect();
    models.sort_by_key(|(name, model)| (Reverse(model.bytes), (*name).clone()));
    let rounds = models.iter().map(|(_, model)| model.replicas.max(1)).max().unwrap_or(0);
    for round in 0..rounds {
        for (name, model) in &models {
            if round < model.replicas.max(1) {
                place_replica(catalog, runners, name, model, &mut plan);
            }
        }
    }
    plan
}

fn place_replica(
    catalog: &Catalog,
    runners: &[Runner],
    name: &ModelName,
    model: &Model,
    plan: &mut Plan,
) {
    let asset = Asset::model(name.clone(), model.version.clone());
    let adapters: Vec<_> =
        catalog.adapters.iter().filter(|(_, adapter)| adapter.model == *name).collect();
    let extra: u64 = adapters.iter().map(|(_, adapter)| adapter.bytes).sum();
    let holds =
        |runner: &Runner| plan.wanted[&runner.name].iter().any(|w| w.asset == asset);
    let replicas = |domain: &DomainName| {
        runners.iter().filter(|r| r.domain == *domain && holds(r)).count()
    };
    // A runner on which the adapters fit as well goes before one without them.
    let best = runners
        .iter()
        .filter(|runner| !holds(runner) && free(plan, runner) >= model.bytes)
        .max_by_key(|runner| {
            let whole = free(plan, runner) >= model.bytes + extra;
            let rank = chestnut_base::id::rendezvous(name.as_str(), runner.name.as_str());
            (whole, Reverse(replicas(&runner.domain)), rank)
        });
    let Some(runner) = best else {
        note_unplaced(plan, asset, model.bytes);
        return;
    };
    let list = &mut plan.wanted[&runner.name];
    list.push(Want { asset, bytes: model.bytes });
    place_adapters(runner, name, model, &adapters, plan);
}

fn place_adapters(
    runner: &Runner,
    name: &ModelName,
    model: &Model,
    adapters: &[(&AdapterName, &Adapter)],
    plan: &mut Plan,
) {
    for (adapter, declared) in adapters {
        let asset =
            Asset::adapter(name.clone(), model.version.clone(), (*adapter).clone());
        if free(plan, runner) >= declared.bytes {
            let want = Want { asset, bytes: declared.bytes };
            plan.wanted[&runner.name].push(want);
        } else if !plan.wanted.values().flatten().any(|want| want.asset == asset) {
            note_unplaced(plan, asset, declared.bytes);
        }
    }
}

fn free(plan: &Plan, runner: &Runner) -> u64 {
    let used: u64 = plan.wanted[&runner.name].iter().map(|want| want.bytes).sum();
    runner.capacity.saturating_sub(used)
}

fn note_unplaced(plan: &mut Plan, asset: Asset, bytes: u64) {
    match plan.unplaced.iter_mut().find(|entry| entry.asset == asset) {
        Some(entry) => entry.missing += 1,
        None => plan.unplaced.push(Unplaced { asset, bytes, missing: 1 }),
    }
}
