//! Checks the declarations of all teams together.
//!
//! Teams do not coordinate: two of them may choose the same name, or one may
//! remove what another refers to. Without this check such a change would be
//! accepted, and the first request would fail.

use std::fmt::Display;
use std::hash::Hash;

use chestnut_account::KeyDigest;
use chestnut_base::{ModelName, PoolName, Revision, TeamName};
use indexmap::{IndexMap, IndexSet};

use crate::catalog::Catalog;
use crate::declarations::{Located, TeamDeclarations, TeamFiles};
use crate::problem::{Location, Problems, closest_match};

impl Catalog {
    /// Reads the declarations of all teams and checks them together.
    pub fn merge(
        revision: Revision,
        teams: &IndexMap<TeamName, TeamFiles>,
    ) -> Result<Self, Problems> {
        MergedDeclarations::parse(revision, teams).map(|merged| merged.catalog)
    }
}

/// The merged declarations of all teams, with the locations of pools.
#[derive(Debug, Clone)]
pub struct MergedDeclarations {
    /// The merged declarations.
    pub catalog: Catalog,
    pool_locations: IndexMap<PoolName, Location>,
}

impl MergedDeclarations {
    /// Reads the declarations of all teams and checks them together.
    pub fn parse(
        revision: Revision,
        teams: &IndexMap<TeamName, TeamFiles>,
    ) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut all = TeamDeclarations::default();
        for (name, files) in teams {
            let team = TeamDeclarations::parse(name, files, &mut problems);
            all.pools.extend(team.pools);
            all.models.extend(team.models);
            all.adapters.extend(team.adapters);
            all.services.extend(team.services);
            all.kinds.extend(team.kinds);
            all.callers.extend(team.callers);
            all.routes.extend(team.routes);
            all.invalid.extend(team.invalid);
        }
        let invalid = &all.invalid;
        let pools = index_by_name("pool", all.pools, &mut problems);
        let models = index_by_name("model", all.models, &mut problems);
        let adapters = index_by_name("adapter", all.adapters, &mut problems);
        let services = index_by_name("service", all.services, &mut problems);
        let kinds = index_by_name("kind", all.kinds, &mut problems);
        let callers = index_by_name("caller", all.callers, &mut problems);
        let routes = index_by_name("route", all.routes, &mut problems);

        for model in models.values() {
            check_reference(
                model,
                "pool",
                &model.value.pool,
                &pools,
                invalid,
                &mut problems,
            );
            if let Some(pool) = pools.get(&model.value.pool)
                && model.value.memory_bytes > pool.value.memory_bytes
            {
                let message = format!(
                    "the model needs {} bytes and a runner of pool `{}` has {}",
                    model.value.memory_bytes, model.value.pool, pool.value.memory_bytes
                );
                let remedy = "choose a pool of larger runners";
                problems.add_conflict(
                    model.location.clone(),
                    pool.location.clone(),
                    message,
                    remedy,
                );
            }
        }
        for adapter in adapters.values() {
            check_reference(
                adapter,
                "model",
                &adapter.value.model,
                &models,
                invalid,
                &mut problems,
            );
            if let Some(model) = models.get(&adapter.value.model)
                && let Some(pool) = pools.get(&model.value.pool)
                && adapter.value.memory_bytes.saturating_add(model.value.memory_bytes)
                    > pool.value.memory_bytes
            {
                let message = format!(
                    "the adapter and its model need more than the {} bytes of a runner",
                    pool.value.memory_bytes
                );
                let remedy = "choose a smaller adapter";
                problems.add_conflict(
                    adapter.location.clone(),
                    model.location.clone(),
                    message,
                    remedy,
                );
            }
        }
        for service in services.values() {
            if let Some(kind) = &service.value.default_kind {
                check_reference(service, "kind", kind, &kinds, invalid, &mut problems);
            }
        }
        let mut key_locations: IndexMap<KeyDigest, &Location> = IndexMap::new();
        let keys = callers.values().flat_map(|caller| {
            caller.value.account.keys.iter().map(move |key| (caller, *key))
        });
        for (caller, key) in keys {
            let first = key_locations.insert(key, &caller.location);
            if let Some(first) = first.filter(|first| **first != caller.location) {
                let message = format!("the key is that of another caller ({first})");
                let location = caller.references["key_sha256"].clone();
                problems.add_conflict(
                    location,
                    first.clone(),
                    message,
                    "create a new key",
                );
            }
        }
        for route in routes.values() {
            check_reference(
                route,
                "model",
                &route.value.model,
                &models,
                invalid,
                &mut problems,
            );
            if let Some(kind) = &route.value.default_kind {
                check_reference(route, "kind", kind, &kinds, invalid, &mut problems);
            }
            let Some(name) = &route.value.adapter else { continue };
            check_reference(route, "adapter", name, &adapters, invalid, &mut problems);
            if let Some(adapter) = adapters.get(name)
                && adapter.value.model != route.value.model
            {
                let message = format!("the adapter belongs to `{}`", adapter.value.model);
                let location = route.references["adapter"].clone();
                problems.add_conflict(
                    location,
                    adapter.location.clone(),
                    message,
                    "name that model",
                );
            }
        }

        let key_holders = callers.iter().flat_map(|(name, caller)| {
            caller.value.account.keys.iter().map(|key| (*key, name.clone()))
        });
        let key_holders = key_holders.collect();
        let pool_locations =
            pools.iter().map(|(name, it)| (name.clone(), it.location.clone()));
        let merged = Self {
            pool_locations: pool_locations.collect(),
            catalog: Catalog {
                revision,
                pools: without_locations(pools),
                models: without_locations(models),
                adapters: without_locations(adapters),
                services: without_locations(services),
                kinds: without_locations(kinds),
                callers: without_locations(callers),
                routes: without_locations(routes),
                key_holders,
            },
        };
        problems.into_result(merged)
    }

    /// Checks that one replica of every model fits on the existing runners.
    ///
    /// Pools without a known number of runners are skipped, and so are models that
    /// did not fit with the `old` declarations either: a pool that lost runners
    /// must not block unrelated changes.
    pub fn check_capacity(
        &self,
        runners: &IndexMap<PoolName, usize>,
        old: Option<&Catalog>,
    ) -> Result<(), Problems> {
        let mut problems = Problems::default();
        for (name, location) in &self.pool_locations {
            let Some(&count) = runners.get(name) else { continue };
            let unplaced_before = old.map(|old| old.pack_replicas(name, count));
            let unplaced_before =
                unplaced_before.and_then(Result::err).unwrap_or_default();
            let Err(mut unplaced) = self.catalog.pack_replicas(name, count) else {
                continue;
            };
            unplaced.retain(|model| !unplaced_before.contains(model));
            if !unplaced.is_empty() {
                let message = format!(
                    "one replica of each model does not fit on {count} runners: no \
                     room for {}",
                    unplaced.join(", ")
                );
                problems.add(
                    location.clone(),
                    message,
                    "add runners, use a larger pool or remove models",
                );
            }
        }
        problems.into_result(())
    }
}

impl Catalog {
    /// Packs one replica of each model of a pool, with its adapters, on runners.
    ///
    /// Uses first-fit decreasing, which needs at most 11/9 of the optimal number
    /// of runners plus one. Fails with the names of the models that did not fit.
    pub fn pack_replicas(
        &self,
        pool: &PoolName,
        runners: usize,
    ) -> Result<(), Vec<String>> {
        let Some(memory) = self.pools.get(pool).map(|pool| pool.memory_bytes) else {
            return Ok(());
        };
        let mut items = Vec::new();
        for (name, model) in &self.models {
            if model.pool == *pool {
                for size in self.replica_sizes(name, model.memory_bytes, memory) {
                    items.push((size, name));
                }
            }
        }
        items.sort_by(|a, b| b.cmp(a));
        let mut free = vec![memory; runners];
        let mut unplaced = Vec::new();
        for (size, name) in items {
            match free.iter_mut().find(|free| **free >= size) {
                Some(free) => *free -= size,
                None => unplaced.push(name.to_string()),
            }
        }
        unplaced.dedup();
        if unplaced.is_empty() { Ok(()) } else { Err(unplaced) }
    }

    /// The sizes, in bytes, of the replicas that a model needs to hold all its adapters
    /// on runners with `runner_bytes` of memory.
    fn replica_sizes(
        &self,
        name: &ModelName,
        model_bytes: u64,
        runner_bytes: u64,
    ) -> Vec<u64> {
        let mut sizes = vec![model_bytes];
        for adapter in self.adapters.values().filter(|it| it.model == *name) {
            let replica = sizes
                .iter_mut()
                .find(|size| size.saturating_add(adapter.memory_bytes) <= runner_bytes);
            match replica {
                Some(size) => *size += adapter.memory_bytes,
                None => sizes.push(model_bytes.saturating_add(adapter.memory_bytes)),
            }
        }
        sizes
    }
}

fn index_by_name<K: Hash + Eq + Display, T>(
    item_type: &str,
    items: Vec<(K, Located<T>)>,
    problems: &mut Problems,
) -> IndexMap<K, Located<T>> {
    let mut map: IndexMap<K, Located<T>> = IndexMap::new();
    for (name, item) in items {
        if let Some(first) = map.get(&name) {
            let message =
                format!("the {item_type} `{name}` is declared in {} too", first.location);
            problems.add_conflict(
                item.location,
                first.location.clone(),
                message,
                "choose another name",
            );
        } else {
            map.insert(name, item);
        }
    }
    map
}

fn check_reference<T, K: Hash + Eq + Display, U>(
    from: &Located<T>,
    field: &'static str,
    name: &K,
    declared: &IndexMap<K, U>,
    invalid: &IndexSet<(&'static str, String)>,
    problems: &mut Problems,
) {
    let is_invalid = invalid
        .iter()
        .any(|(item_type, it)| *item_type == field && *it == name.to_string());
    if is_invalid || declared.contains_key(name) {
        return;
    }
    let names: Vec<String> = declared.keys().map(K::to_string).collect();
    let remedy = match closest_match(&name.to_string(), names.iter().map(String::as_str))
    {
        Some(closest) => format!("did you mean `{closest}`?"),
        None => format!("declare the {field} or name one that is declared"),
    };
    let message = format!("no team declares a {field} `{name}`");
    problems.add(from.references[field].clone(), message, remedy);
}

fn without_locations<K: Hash + Eq, T>(map: IndexMap<K, Located<T>>) -> IndexMap<K, T> {
    map.into_iter().map(|(name, it)| (name, it.value)).collect()
}
