//! What membership counts.

use prometheus_client::metrics::counter::Counter;

use crate::shared::Shared;

/// What the loop counts.
pub struct Counters {
    /// Renewals of the own lease.
    pub renewals: Counter,
    /// Polls that the table failed.
    pub failures: Counter,
    /// Claims taken or handed over.
    pub claims: Counter,
    /// Lapsed daemons removed.
    pub removals: Counter,
}

impl Counters {
    /// Registers the counters.
    pub fn register(shared: &Shared) -> Self {
        let counters = Self {
            renewals: Counter::default(),
            failures: Counter::default(),
            claims: Counter::default(),
            removals: Counter::default(),
        };
        shared.metrics.register(|registry| {
            let mut add = |name, help, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            add("lease_renewals", "Renewals of the own lease", &counters.renewals);
            add(
                "member_poll_failures",
                "Polls that the table failed",
                &counters.failures,
            );
            add("claim_changes", "Claims taken or handed over", &counters.claims);
            add("member_removals", "Lapsed daemons removed", &counters.removals);
        });
        counters
    }
}
