//! The counters of a daemon, in the text form of Prometheus.

use std::sync::Mutex;

use chestnut_base::Refusal;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The counters of a daemon.
///
/// Each part of the daemon registers its own when it starts and keeps handles.
pub struct Metrics {
    registry: Mutex<Registry>,
    served: Counter,
    refused: Family<RefusedLabels, Counter>,
}

/// The labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusedLabels {
    /// The refusal's code.
    code: String,
    /// What became of the request.
    outcome: String,
}

impl Metrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("chestnut");
        let served = Counter::default();
        let refused = Family::default();
        registry.register("served", "Requests answered whole", served.clone());
        let help = "Requests refused or failed, by code and outcome";
        registry.register("refused", help, refused.clone());
        Self { registry: Mutex::new(registry), served, refused }
    }

    /// Counts a request that was answered whole.
    pub fn record_served(&self) {
        self.served.inc();
    }

    /// Counts a request that was refused or failed.
    pub fn record_refused(&self, refusal: &Refusal) {
        let labels = RefusedLabels {
            code: format!("{:?}", refusal.code),
            outcome: format!("{:?}", refusal.outcome),
        };
        self.refused.get_or_create(&labels).inc();
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
