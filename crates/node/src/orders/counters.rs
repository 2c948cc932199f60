//! Metrics of orders to engines.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::metrics::Metrics;

/// Metrics of the orders that this daemon creates and sends.
#[derive(Debug)]
pub struct Counters {
    /// Load orders created; each one is a move.
    pub loads: Counter,
    /// Unload orders created.
    pub unloads: Counter,
    /// Copies of orders sent, by the result of sending.
    pub copies_sent: Family<CopyLabels, Counter>,
    /// Transactions on ledger rows that failed with a conflict.
    pub conflicts: Counter,
}

/// Labels of [`Counters::copies_sent`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CopyLabels {
    /// `taken`, `refused`, `unsent` or `unknown`.
    pub answer: &'static str,
}

impl Counters {
    /// Creates the counters and registers them at `metrics`.
    pub fn new(metrics: &Metrics) -> Self {
        let counters = Self {
            loads: Counter::default(),
            unloads: Counter::default(),
            copies_sent: Family::default(),
            conflicts: Counter::default(),
        };
        metrics.register(|registry| {
            registry.register("moves", "Load orders created", counters.loads.clone());
            registry.register(
                "unloads",
                "Unload orders created",
                counters.unloads.clone(),
            );
            registry.register(
                "order_copies",
                "Copies of orders sent, by the engine's response",
                counters.copies_sent.clone(),
            );
            registry.register(
                "ledger_conflicts",
                "Refused transactions on ledger rows",
                counters.conflicts.clone(),
            );
        });
        counters
    }
}
