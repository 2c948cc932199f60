//! The expected effect of a change.

use std::fmt::Display;

use chestnut_base::ModelName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::catalog::{Catalog, Model};

/// The declarations that a change would affect, and the moves that would follow.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Declarations that would be added, removed or changed.
    pub changes: Vec<Difference>,
    /// Loads and unloads of replicas that would follow.
    pub moves: Vec<Move>,
}

/// A declaration that would be added, removed or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The type of the declaration, such as `model`.
    #[serde(rename = "what")]
    pub item_type: String,
    /// The declared name.
    pub name: String,
    /// Whether it would be added, removed or changed.
    #[serde(rename = "how")]
    pub kind: DifferenceKind,
    /// The fields that would change, with the old and the new value; empty unless
    /// the declaration would be changed.
    pub fields: IndexMap<String, (Value, Value)>,
}

/// The kind of difference between two versions of the declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// The name would be declared.
    Add,
    /// The name would no longer be declared.
    Remove,
    /// Fields of the declaration would change.
    Change,
}

/// Loads or unloads of replicas of one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The model and its version, as `MODEL@VERSION`.
    pub model: String,
    /// The pool that serves the model.
    pub pool: String,
    /// The number of replicas to load, or, if negative, to unload.
    pub replicas: i64,
    /// The size of a replica, in bytes.
    pub bytes: u64,
    /// The least time that loading one replica takes, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub load_ms: u64,
}

impl Plan {
    /// Compares two versions of the declarations.
    pub fn diff(old: &Catalog, new: &Catalog) -> Self {
        let mut plan = Self::default();
        plan.compare("pool", &old.pools, &new.pools);
        plan.compare("model", &old.models, &new.models);
        plan.compare("adapter", &old.adapters, &new.adapters);
        plan.compare("service", &old.services, &new.services);
        plan.compare("kind", &old.kinds, &new.kinds);
        plan.compare("caller", &old.callers, &new.callers);
        plan.compare("route", &old.routes, &new.routes);
        plan.add_moves(old, new);
        plan
    }

    fn compare<K, T>(
        &mut self,
        item_type: &str,
        old: &IndexMap<K, T>,
        new: &IndexMap<K, T>,
    ) where
        K: Display + std::hash::Hash + Eq,
        T: Serialize + PartialEq,
    {
        for (name, old_item) in old {
            let (kind, fields) = match new.get(name) {
                Some(new_item) if new_item == old_item => continue,
                Some(new_item) => {
                    (DifferenceKind::Change, changed_fields(old_item, new_item))
                }
                None => (DifferenceKind::Remove, IndexMap::new()),
            };
            self.add_difference(item_type, name, kind, fields);
        }
        for name in new.keys().filter(|name| !old.contains_key(*name)) {
            self.add_difference(item_type, name, DifferenceKind::Add, IndexMap::new());
        }
    }

    fn add_difference(
        &mut self,
        item_type: &str,
        name: &impl Display,
        kind: DifferenceKind,
        fields: IndexMap<String, (Value, Value)>,
    ) {
        let (item_type, name) = (item_type.to_owned(), name.to_string());
        self.changes.push(Difference { item_type, name, kind, fields });
    }

    fn add_moves(&mut self, old: &Catalog, new: &Catalog) {
        for (name, model) in &old.models {
            let retained = new.models.get(name).filter(|it| same_weights(it, model));
            let remaining = retained.map_or(0, |it| i64::from(it.min_replicas));
            self.add_move(
                name,
                model,
                remaining.min(i64::from(model.min_replicas))
                    - i64::from(model.min_replicas),
            );
        }
        for (name, model) in &new.models {
            let previous = old.models.get(name).filter(|it| same_weights(it, model));
            let previous_replicas = previous.map_or(0, |it| i64::from(it.min_replicas));
            self.add_move(
                name,
                model,
                (i64::from(model.min_replicas) - previous_replicas).max(0),
            );
        }
    }

    fn add_move(&mut self, name: &ModelName, model: &Model, replicas: i64) {
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

/// Whether a replica of one model can serve as a replica of the other.
fn same_weights(a: &Model, b: &Model) -> bool {
    a.pool == b.pool && a.version == b.version && a.memory_bytes == b.memory_bytes
}

fn changed_fields<T: Serialize>(old: &T, new: &T) -> IndexMap<String, (Value, Value)> {
    let (old, new) = (to_object(old), to_object(new));
    let mut differences = IndexMap::new();
    for (field, value) in new {
        let old_value = old.get(&field).cloned().unwrap_or_default();
        if old_value != value {
            differences.insert(field, (old_value, value));
        }
    }
    differences
}

fn to_object<T: Serialize>(item: &T) -> serde_json::Map<String, Value> {
    match serde_json::to_value(item) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}
