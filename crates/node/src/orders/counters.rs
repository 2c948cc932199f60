//! What is counted about orders.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::metrics::Metrics;

/// What is counted about orders.
#[derive(Debug)]
pub struct Counters {
    /// Load orders that were created; each is a move.
    pub loads: Counter,
    /// Unload orders that were created.
    pub unloads: Counter,
    /// CopyLabels of orders that were sent, by how the engine answered.
    pub copies: Family<CopyLabels, Counter>,
    /// Transactions on ledger rows that were refused.
    pub conflicts: Counter,
}

/// How an engine answered a copy of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CopyLabels {
    /// The answer.
    pub answer: &'static str,
}

impl Counters {
    /// Registers the counters.
    pub fn new(metrics: &Metrics) -> Self {
        let all = Self {
            loads: Counter::default(),
            unloads: Counter::default(),
            copies: Family::default(),
            conflicts: Counter::default(),
        };
        metrics.register(|registry| {
            registry.register("moves", "Load orders created", all.loads.clone());
            registry.register("unloads", "Unload orders created", all.unloads.clone());
            registry.register(
                "order_copies",
                "CopyLabels of orders sent, by the engine's answer",
                all.copies.clone(),
            );
            registry.register(
                "ledger_conflicts",
                "Refused transactions on ledger rows",
                all.conflicts.clone(),
            );
        });
        all
    }
}
