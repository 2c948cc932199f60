//! Counters of membership.

use prometheus_client::metrics::counter::Counter;

use crate::shared::Shared;

/// Counters of the polling task.
pub struct Counters {
    /// Renewals of this daemon's lease.
    pub renewals: Counter,
    /// Polls that failed because the table was unavailable.
    pub failures: Counter,
    /// Claims taken or handed over.
    pub claims: Counter,
    /// Daemons removed after their lease expired.
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
            add("lease_renewals", "Renewals of this daemon's lease", &counters.renewals);
            add(
                "member_poll_failures",
                "Polls that failed because the table was unavailable",
                &counters.failures,
            );
            add("claim_changes", "Claims taken or handed over", &counters.claims);
            add(
                "member_removals",
                "Daemons removed after their lease expired",
                &counters.removals,
            );
        });
        counters
    }
}
