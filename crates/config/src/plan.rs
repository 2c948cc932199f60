//! What a change would change and move.

use std::fmt::Display;

use chestnut_base::ModelName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::catalog::{Catalog, Model};

/// What a change would change and move.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Names that would be added, removed or changed.
    pub changes: Vec<Difference>,
    /// Loads and unloads that would follow.
    pub moves: Vec<Move>,
}

/// A name that would be added, removed or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// What it names, such as `model`.
    #[serde(rename = "what")]
    pub item_type: String,
    /// The name.
    pub name: String,
    /// What would happen to it.
    #[serde(rename = "how")]
    pub kind: DifferenceKind,
    /// The fields that would change, with the old and the new value.
    pub fields: IndexMap<String, (Value, Value)>,
}

/// What would happen to a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// It would be declared.
    Add,
    /// It would not be declared any more.
    Remove,
    /// Its fields would change.
    Change,
}

/// Loads or unloads of a model that would follow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The model, with its version.
    pub model: String,
    /// The pool.
    pub pool: String,
    /// Replicas to load; negative to unload.
    pub replicas: i64,
    /// The bytes of each.
    pub bytes: u64,
    /// How long the load of one takes at least, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub load_ms: u64,
}

impl Plan {
    /// Compares declarations.
    pub fn diff(old: &Catalog, new: &Catalog) -> Self {
        let mut plan = Self::default();
        plan.compare("pool", &old.pools, &new.pools);
        plan.compare("model", &old.models, &new.models);
        plan.compare("adapter", &old.adapters, &new.adapters);
        plan.compare("service", &old.services, &new.services);
        plan.compare("kind", &old.kinds, &new.kinds);
        plan.compare("caller", &old.callers, &new.callers);
        plan.compare("route", &old.routes, &new.routes);
        plan.moves(old, new);
        plan
    }

    fn compare<K, T>(&mut self, what: &str, old: &IndexMap<K, T>, new: &IndexMap<K, T>)
    where
        K: Display + std::hash::Hash + Eq,
        T: Serialize + PartialEq,
    {
        for (name, item) in old {
            let (how, fields) = match new.get(name) {
                Some(other) if other == item => continue,
                Some(other) => (DifferenceKind::Change, differences(item, other)),
                None => (DifferenceKind::Remove, IndexMap::new()),
            };
            self.push(what, name, how, fields);
        }
        for name in new.keys().filter(|name| !old.contains_key(*name)) {
            self.push(what, name, DifferenceKind::Add, IndexMap::new());
        }
    }

    fn push(
        &mut self,
        what: &str,
        name: &impl Display,
        how: DifferenceKind,
        fields: IndexMap<String, (Value, Value)>,
    ) {
        let (what, name) = (what.to_owned(), name.to_string());
        self.changes.push(Difference { item_type: what, name, kind: how, fields });
    }

    fn moves(&mut self, old: &Catalog, new: &Catalog) {
        for (name, model) in &old.models {
            let kept = new.models.get(name).filter(|it| same_weights(it, model));
            let left = kept.map_or(0, |it| i64::from(it.min_replicas));
            self.shift(
                name,
                model,
                left.min(i64::from(model.min_replicas)) - i64::from(model.min_replicas),
            );
        }
        for (name, model) in &new.models {
            let before = old.models.get(name).filter(|it| same_weights(it, model));
            let had = before.map_or(0, |it| i64::from(it.min_replicas));
            self.shift(name, model, (i64::from(model.min_replicas) - had).max(0));
        }
    }

    fn shift(&mut self, name: &ModelName, model: &Model, replicas: i64) {
        if replicas != 0 {
            self.moves.push(Move {
                model: format!("{name}@{}", model.version),
                pool: model.pool.to_string(),
                replicas,
                bytes: model.memory_bytes,
                load_ms: model.load_time.as_millis() as u64,
            });
        }
    }
}

/// Whether a replica of the one serves as a replica of the other.
fn same_weights(a: &Model, b: &Model) -> bool {
    a.pool == b.pool && a.version == b.version && a.memory_bytes == b.memory_bytes
}

fn differences<T: Serialize>(old: &T, new: &T) -> IndexMap<String, (Value, Value)> {
    let (old, new) = (object(old), object(new));
    let mut found = IndexMap::new();
    for (field, value) in new {
        let before = old.get(&field).cloned().unwrap_or_default();
        if before != value {
            found.insert(field, (before, value));
        }
    }
    found
}

fn object<T: Serialize>(item: &T) -> serde_json::Map<String, Value> {
    match serde_json::to_value(item) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}
