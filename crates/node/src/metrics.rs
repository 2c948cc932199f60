//! The counters of a daemon, in the text form of Prometheus.

use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// The counters of a daemon.
///
/// Each part of the daemon registers its own when it starts and keeps handles.
pub struct Metrics {
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { registry: Mutex::new(Registry::with_prefix("chestnut")) }
    }

    /// Registers counters.
    pub fn register<T>(&self, add: impl FnOnce(&mut Registry) -> T) -> T {
        add(&mut self.registry.lock().expect("no holder of the registry panics"))
    }

    /// Writes all counters as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the registry panics");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
