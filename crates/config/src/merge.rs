//! The check of all teams' declarations together.
//!
//! Teams never coordinate, so that two of them may use the same name, or one
//! may remove what another refers to. Without this check such a change would be
//! accepted and fail callers at the first request.

use std::fmt::Display;
use std::hash::Hash;

use chestnut_base::{ModelName, PoolName, Revision, TeamName};
use indexmap::{IndexMap, IndexSet};

use crate::catalog::Catalog;
use crate::declarations::{Located, TeamDeclarations, TeamFiles};
use crate::problem::{Location, Problems, closest_match};

impl Catalog {
    /// Reads and checks the declarations of all teams together.
    pub fn merge(
        revision: Revision,
        teams: &IndexMap<TeamName, TeamFiles>,
    ) -> Result<Self, Problems> {
        MergedDeclarations::parse(revision, teams).map(|union| union.catalog)
    }
}

/// The declarations of all teams and where each name stands.
#[derive(Debug, Clone)]
pub struct MergedDeclarations {
    /// The declarations.
    pub catalog: Catalog,
    pools: IndexMap<PoolName, Location>,
}

impl MergedDeclarations {
    /// Reads and checks the declarations of all teams together.
    pub fn parse(
        revision: Revision,
        teams: &IndexMap<TeamName, TeamFiles>,
    ) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let mut all = TeamDeclarations::default();
        for (name, text) in teams {
            let team = TeamDeclarations::parse(name, text, &mut problems);
            all.pools.extend(team.pools);
            all.models.extend(team.models);
            all.adapters.extend(team.adapters);
            all.services.extend(team.services);
            all.kinds.extend(team.kinds);
            all.callers.extend(team.callers);
            all.routes.extend(team.routes);
            all.invalid.extend(team.invalid);
        }
        let broken = &all.invalid;
        let pools = index("pool", all.pools, &mut problems);
        let models = index("model", all.models, &mut problems);
        let adapters = index("adapter", all.adapters, &mut problems);
        let services = index("service", all.services, &mut problems);
        let kinds = index("kind", all.kinds, &mut problems);
        let callers = index("caller", all.callers, &mut problems);
        let routes = index("route", all.routes, &mut problems);

        for it in models.values() {
            refer(it, "pool", &it.value.pool, &pools, broken, &mut problems);
            if let Some(pool) = pools.get(&it.value.pool)
                && it.value.memory_bytes > pool.value.memory_bytes
            {
                let what = format!(
                    "the model needs {} bytes and a runner of pool `{}` has {}",
                    it.value.memory_bytes, it.value.pool, pool.value.memory_bytes
                );
                let remedy = "choose a pool of larger runners";
                problems.add_conflict(
                    it.location.clone(),
                    pool.location.clone(),
                    what,
                    remedy,
                );
            }
        }
        for it in adapters.values() {
            refer(it, "model", &it.value.model, &models, broken, &mut problems);
            if let Some(model) = models.get(&it.value.model)
                && let Some(pool) = pools.get(&model.value.pool)
                && it.value.memory_bytes.saturating_add(model.value.memory_bytes)
                    > pool.value.memory_bytes
            {
                let what = format!(
                    "the adapter and its model need more than the {} bytes of a runner",
                    pool.value.memory_bytes
                );
                let remedy = "choose a smaller adapter";
                problems.add_conflict(
                    it.location.clone(),
                    model.location.clone(),
                    what,
                    remedy,
                );
            }
        }
        for it in services.values() {
            if let Some(kind) = &it.value.default_kind {
                refer(it, "kind", kind, &kinds, broken, &mut problems);
            }
        }
        let mut keys: IndexMap<&str, &Location> = IndexMap::new();
        for it in callers.values() {
            if let Some(first) = keys.insert(&it.value.key_sha256, &it.location) {
                let what = format!("the key is that of another caller ({first})");
                let at = it.references["key_sha256"].clone();
                problems.add_conflict(at, first.clone(), what, "make a new key");
            }
        }
        for it in routes.values() {
            refer(it, "model", &it.value.model, &models, broken, &mut problems);
            if let Some(kind) = &it.value.default_kind {
                refer(it, "kind", kind, &kinds, broken, &mut problems);
            }
            let Some(name) = &it.value.adapter else { continue };
            refer(it, "adapter", name, &adapters, broken, &mut problems);
            if let Some(adapter) = adapters.get(name)
                && adapter.value.model != it.value.model
            {
                let what = format!("the adapter belongs to `{}`", adapter.value.model);
                let at = it.references["adapter"].clone();
                problems.add_conflict(
                    at,
                    adapter.location.clone(),
                    what,
                    "name that model",
                );
            }
        }

        let spots = pools.iter().map(|(name, it)| (name.clone(), it.location.clone()));
        let union = Self {
            pools: spots.collect(),
            catalog: Catalog {
                revision,
                pools: plain(pools),
                models: plain(models),
                adapters: plain(adapters),
                services: plain(services),
                kinds: plain(kinds),
                callers: plain(callers),
                routes: plain(routes),
            },
        };
        problems.into_result(union)
    }

    /// Checks that one replica of every model fits on the runners that exist.
    ///
    /// A pool whose number of runners is not known is passed over, and so are
    /// models that found no room at the `old` declarations either: a pool that
    /// lost runners must not hold up changes of something else.
    pub fn check_capacity(
        &self,
        runners: &IndexMap<PoolName, usize>,
        old: Option<&Catalog>,
    ) -> Result<(), Problems> {
        let mut problems = Problems::default();
        for (name, at) in &self.pools {
            let Some(&count) = runners.get(name) else { continue };
            let before = old.map(|old| old.pack_replicas(name, count));
            let before = before.and_then(Result::err).unwrap_or_default();
            let Err(mut left) = self.catalog.pack_replicas(name, count) else { continue };
            left.retain(|model| !before.contains(model));
            if !left.is_empty() {
                let what = format!(
                    "one replica of each model does not fit on {count} runners: no \
                     room for {}",
                    left.join(", ")
                );
                problems.add(
                    at.clone(),
                    what,
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
    /// The largest go first, each to the first runner with room, which needs at
    /// most 11/9 of the least number of runners (plus one). Returns the names
    /// that found no room.
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
                for size in self.replicas(name, model.memory_bytes, memory) {
                    items.push((size, name));
                }
            }
        }
        items.sort_by(|a, b| b.cmp(a));
        let mut free = vec![memory; runners];
        let mut left = Vec::new();
        for (size, name) in items {
            match free.iter_mut().find(|room| **room >= size) {
                Some(room) => *room -= size,
                None => left.push(name.to_string()),
            }
        }
        left.dedup();
        if left.is_empty() { Ok(()) } else { Err(left) }
    }

    /// The sizes of the replicas of a model that are needed to hold its adapters.
    fn replicas(&self, name: &ModelName, bytes: u64, memory: u64) -> Vec<u64> {
        let mut sizes = vec![bytes];
        for adapter in self.adapters.values().filter(|it| it.model == *name) {
            let room = sizes
                .iter_mut()
                .find(|it| it.saturating_add(adapter.memory_bytes) <= memory);
            match room {
                Some(size) => *size += adapter.memory_bytes,
                None => sizes.push(bytes.saturating_add(adapter.memory_bytes)),
            }
        }
        sizes
    }
}

fn index<K: Hash + Eq + Display, T>(
    what: &str,
    list: Vec<(K, Located<T>)>,
    problems: &mut Problems,
) -> IndexMap<K, Located<T>> {
    let mut map: IndexMap<K, Located<T>> = IndexMap::new();
    for (name, item) in list {
        if let Some(first) = map.get(&name) {
            let text =
                format!("the {what} `{name}` is declared in {} too", first.location);
            problems.add_conflict(
                item.location,
                first.location.clone(),
                text,
                "choose another name",
            );
        } else {
            map.insert(name, item);
        }
    }
    map
}

fn refer<T, K: Hash + Eq + Display, U>(
    from: &Located<T>,
    field: &'static str,
    name: &K,
    known: &IndexMap<K, U>,
    broken: &IndexSet<(&'static str, String)>,
    problems: &mut Problems,
) {
    let told = broken.iter().any(|(what, it)| *what == field && *it == name.to_string());
    if told || known.contains_key(name) {
        return;
    }
    let names: Vec<String> = known.keys().map(K::to_string).collect();
    let remedy = match closest_match(&name.to_string(), names.iter().map(String::as_str))
    {
        Some(near) => format!("did you mean `{near}`?"),
        None => format!("declare the {field} or name one that is declared"),
    };
    let what = format!("no team declares a {field} `{name}`");
    problems.add(from.references[field].clone(), what, remedy);
}

fn plain<K: Hash + Eq, T>(map: IndexMap<K, Located<T>>) -> IndexMap<K, T> {
    map.into_iter().map(|(name, it)| (name, it.value)).collect()
}
