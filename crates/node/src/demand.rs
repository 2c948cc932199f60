//! How a planner learns what callers ask for, with few and small messages.
//!
//! Each entry counts the tokens asked of each model and writes a digest per pool
//! to the table now and then. Reading all digests would take a planner's daemon
//! far beyond its bandwidth in a large system; entries see like shares of the
//! callers, so that a sample of them is enough and is scaled up.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_base::id::rendezvous_rank;
use chestnut_base::{MemberId, ModelName, PoolName, RequestSpec, Target};
use chestnut_member::View;
use chestnut_plat::{PlatformError, Txn};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// The table of digests, with keys `POOL/MEMBER`.
pub const DEMAND: &str = "demand";

/// The greatest number of daemons that write digests of a pool.
///
/// 64 digests of some 60 models at 20 bytes every 42 s are 1.8 KB/s, which the
/// planner's daemon reads; the models' shares are then known to about
/// `1 / sqrt(requests in the sample)`.
const REPORTERS: usize = 64;

/// Polls between two digests in a small system.
const POLLS: u32 = 10;

/// The time between two digests for each member, so that 2,100 members write at
/// most 50 digests a second.
const PACE_PER_MEMBER: Duration = Duration::from_millis(20);

/// The tokens that callers asked of each model since they were last taken.
#[derive(Debug, Default)]
pub struct Asked {
    tokens: Mutex<IndexMap<ModelName, u64>>,
}

impl Asked {
    /// Counts a request that arrived at this entry.
    pub fn note(&self, work: &RequestSpec) {
        if let Target::Model { model, .. } = &work.target {
            let mut tokens = self.tokens.lock().expect("no holder of the counts panics");
            *tokens.entry(model.clone()).or_default() +=
                u64::from(work.max_output_tokens);
        }
    }

    fn take(&self) -> IndexMap<ModelName, u64> {
        std::mem::take(&mut *self.tokens.lock().expect("no holder of the counts panics"))
    }
}

/// What callers asked of one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Tokens a second, by model.
    pub rates: IndexMap<ModelName, f64>,
}

/// Writes this daemon's digests until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut written = IndexSet::new();
    let mut last = shared.clock.now();
    loop {
        let members = shared.view().members.len() as u32;
        let pause = shared.settings.times.poll_interval * POLLS;
        tokio::time::sleep(pause.max(PACE_PER_MEMBER * members)).await;
        let now = shared.clock.now();
        let time = now.saturating_duration_since(last);
        last = now;
        // A digest that is not written is not made up for: rates lag anyway.
        if write(&shared, time, &mut written).await.is_err() {
            slog::debug!(shared.log, "the demand could not be written");
        }
    }
}

async fn write(
    shared: &Shared,
    time: Duration,
    written: &mut IndexSet<PoolName>,
) -> Result<(), PlatformError> {
    let catalog = shared.catalog();
    let view = shared.view();
    let mut digests: IndexMap<PoolName, Digest> = IndexMap::new();
    for (model, tokens) in shared.demand.take() {
        if let Some(declared) = catalog.models.get(&model) {
            let rate = tokens as f64 / time.as_secs_f64().max(0.001);
            let digest = digests.entry(declared.pool.clone()).or_default();
            digest.rates.insert(model, (rate * 10.0).round() / 10.0);
        }
    }
    let mut txn = Txn::new();
    let mut now_written = IndexSet::new();
    for pool in catalog.pools.keys() {
        let key = key(pool, shared.me);
        match digests.get(pool).filter(|_| reports(&view, pool, shared.me)) {
            Some(digest) => {
                let value = serde_json::to_value(digest);
                let value = value.map_err(|e| PlatformError::Protocol(e.to_string()))?;
                txn = txn.put(DEMAND, key, value);
                now_written.insert(pool.clone());
            }
            None if written.contains(pool) => txn = txn.delete(DEMAND, key),
            None => {}
        }
    }
    if !txn.writes.is_empty() {
        shared.table.commit(&txn).await?;
    }
    *written = now_written;
    Ok(())
}

/// The key of a member's digest of a pool.
pub fn key(pool: &PoolName, member: MemberId) -> String {
    format!("{pool}/{member}")
}

/// Whether a member writes digests of a pool.
fn reports(view: &View, pool: &PoolName, member: MemberId) -> bool {
    if view.members.len() <= REPORTERS {
        return true;
    }
    let rank = |member: &MemberId| {
        (rendezvous_rank(pool.as_str(), &member.to_string()), *member)
    };
    let own = rank(&member);
    view.members.keys().filter(|other| rank(other) > own).count() < REPORTERS
}

/// How much more all entries see than those that write digests.
pub fn scale(view: &View) -> f64 {
    let members = view.members.len();
    members.max(1) as f64 / members.clamp(1, REPORTERS) as f64
}
