//! The metrics of a daemon, in the text format of Prometheus.

use std::sync::Mutex;

use chestnut_base::Refusal;
use chestnut_intake::{CloseReason, Observer};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The registry of a daemon's metrics.
///
/// Each part of the daemon registers its own metrics when it starts and keeps the handles.
pub struct Metrics {
    registry: Mutex<Registry>,
    served: Counter,
    refused: Family<RefusalLabels, Counter>,
    closed: Family<CloseLabels, Counter>,
}

/// The labels of the counter of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    /// The refusal's code, such as `Overloaded`.
    code: String,
    /// Whether the request ran, such as `NotRun`.
    outcome: String,
}

/// The label of the counter of connections that the daemon closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CloseLabels {
    why: &'static str,
}

impl Metrics {
    /// Creates a registry with the counters of requests.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("chestnut");
        let served = Counter::default();
        let refused = Family::default();
        registry.register("served", "Requests with a complete response", served.clone());
        let help = "Requests refused or failed, by code and outcome";
        registry.register("refused", help, refused.clone());
        let closed = Family::default();
        let help = "Connections that the daemon closed or refused";
        registry.register("closed", help, closed.clone());
        Self { registry: Mutex::new(registry), served, refused, closed }
    }

    /// Counts a request that got its complete response.
    pub fn record_served(&self) {
        self.served.inc();
    }

    /// Counts a request that was refused or failed.
    pub fn record_refused(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            code: format!("{:?}", refusal.code),
            outcome: format!("{:?}", refusal.outcome),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Calls `add` to register further metrics.
    pub fn register<T>(&self, add: impl FnOnce(&mut Registry) -> T) -> T {
        add(&mut self.registry.lock().expect("no holder of the registry panics"))
    }

    /// Writes all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the registry panics");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    }
}

impl Observer for Metrics {
    fn record_close(&self, reason: CloseReason) {
        self.closed.get_or_create(&CloseLabels { why: reason.label() }).inc();
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
