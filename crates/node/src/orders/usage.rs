//! Counts the requests that use each asset of the runners that this daemon leads.
//!
//! A lead acquires a [`UsageGuard`] before it checks that the asset is resident. The
//! runner's task first publishes that the asset may no longer be used and then checks
//! for guards. So either the request observes that the asset is going away, or the
//! unload observes the request and waits.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use chestnut_base::{ServerName, Target};
use chestnut_place::Asset;

type Counts = HashMap<(ServerName, Asset), usize>;

/// The number of requests per asset and runner; clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct AssetUsage {
    counts: Arc<Mutex<Counts>>,
}

/// Counts one request as using an asset until it is dropped.
#[derive(Debug)]
pub struct UsageGuard {
    counts: Arc<Mutex<Counts>>,
    key: (ServerName, Asset),
}

impl AssetUsage {
    /// Acquires a guard for a request's target; absent for plain services.
    ///
    /// The guard must be held from before the check that the runner can serve the
    /// request until the end of its stream.
    pub fn acquire_target(
        &self,
        server: &ServerName,
        target: &Target,
    ) -> Option<UsageGuard> {
        let Target::Model { model, version, adapter } = target else { return None };
        let asset = Asset {
            model: model.clone(),
            version: version.clone(),
            adapter: adapter.clone(),
        };
        Some(self.acquire(server, asset))
    }

    /// Acquires a guard for an asset of a runner.
    pub fn acquire(&self, server: &ServerName, asset: Asset) -> UsageGuard {
        let key = (server.clone(), asset);
        *self.lock().entry(key.clone()).or_default() += 1;
        UsageGuard { counts: self.counts.clone(), key }
    }

    /// Whether no request uses the asset or an adapter of it.
    pub fn is_idle(&self, server: &ServerName, asset: &Asset) -> bool {
        let counts = self.lock();
        !counts.keys().any(|(name, used)| {
            name == server && (used == asset || used.is_adapter_on(asset))
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder of the counts panics")
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().expect("no holder of the counts panics");
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
