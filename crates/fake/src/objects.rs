//! The values of the object store.

use std::collections::BTreeMap;

use bytes::Bytes;

/// All objects.
#[derive(Debug, Default)]
pub struct ObjectMap {
    values: BTreeMap<String, Bytes>,
}

impl ObjectMap {
    /// Stores a value; with `fresh` only if the key does not exist.
    pub fn put(&mut self, key: String, value: Bytes, fresh: bool) -> bool {
        if fresh && self.values.contains_key(&key) {
            return false;
        }
        self.values.insert(key, value);
        true
    }

    /// Reads a value.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.values.get(key).cloned()
    }

    /// Removes a value if it exists.
    pub fn delete(&mut self, key: &str) {
        self.values.remove(key);
    }

    /// The keys that start with `prefix`, in order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        let from = self.values.range(prefix.to_owned()..).map(|(key, _)| key);
        from.take_while(|key| key.starts_with(prefix)).cloned().collect()
    }
}
