//! The contents of the object store.

use std::collections::BTreeMap;

use bytes::Bytes;

/// All objects by key.
#[derive(Debug, Default)]
pub struct ObjectMap {
    values: BTreeMap<String, Bytes>,
}

impl ObjectMap {
    /// Stores a value and returns whether it did; with `create_only`, only if the key
    /// does not exist.
    pub fn put(&mut self, key: String, value: Bytes, create_only: bool) -> bool {
        if create_only && self.values.contains_key(&key) {
            return false;
        }
        self.values.insert(key, value);
        true
    }

    /// The value of a key; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.values.get(key).cloned()
    }

    /// Deletes a key if it exists.
    pub fn delete(&mut self, key: &str) {
        self.values.remove(key);
    }

    /// The keys that start with `prefix`, in ascending order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let candidates = self.values.range(prefix.to_owned()..).map(|(key, _)| key);
        candidates.take_while(|key| key.starts_with(prefix)).cloned().collect()
    }
}
