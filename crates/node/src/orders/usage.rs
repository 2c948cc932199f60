//! Which requests use which asset of a runner that this daemon leads.
//!
//! A lead takes a [`UsageGuard`] before it checks that the asset is resident; the
//! runner's task first publishes that the asset is not to be used and then
//! looks for holds. So either the request sees that it is too late, or the
//! unload order sees the request and waits.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use chestnut_base::{ServerName, Target};
use chestnut_place::Asset;

type Counts = HashMap<(ServerName, Asset), usize>;

/// Counts of the requests that use an asset of a runner.
#[derive(Debug, Clone, Default)]
pub struct AssetUsage {
    counts: Arc<Mutex<Counts>>,
}

/// A request's use of an asset, until it is dropped.
#[derive(Debug)]
pub struct UsageGuard {
    counts: Arc<Mutex<Counts>>,
    key: (ServerName, Asset),
}

impl AssetUsage {
    /// Counts a request as using what it is sent to; plain services need nothing.
    ///
    /// To be kept from before the check that the runner can serve the request
    /// until its stream has ended.
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

    /// Counts a request as using an asset.
    pub fn acquire(&self, server: &ServerName, asset: Asset) -> UsageGuard {
        let key = (server.clone(), asset);
        *self.lock().entry(key.clone()).or_default() += 1;
        UsageGuard { counts: self.counts.clone(), key }
    }

    /// Whether no request uses the asset or an adapter on top of it.
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
