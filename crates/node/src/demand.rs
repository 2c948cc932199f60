//! Reports the demand for each model to the planners, in few and small messages.
//!
//! Each entry counts the tokens that callers request of each model and writes a report per
//! pool to the table at intervals. In a large system the reports of all entries would far
//! exceed the bandwidth of a planner's daemon. Callers are spread evenly over entries, so
//! that a sample of entries suffices and is scaled up.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_base::id::rendezvous_rank;
use chestnut_base::{MemberId, ModelName, PoolName, RequestSpec, Target};
use chestnut_member::View;
use chestnut_plat::{PlatformError, Txn};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// The table of demand reports, with keys `POOL/MEMBER`.
pub const DEMAND_TABLE: &str = "demand";

/// The maximum number of daemons that report the demand of a pool.
///
/// 64 reports of some 60 models at 20 bytes every 42 s are 1.8 KB/s for the planner's daemon
/// to read. The relative error of the models' shares is about
/// `1 / sqrt(requests in the sample)`.
const MAX_REPORTERS: usize = 64;

/// The interval between reports in a small system, in polls of the table.
const REPORT_INTERVAL_POLLS: u32 = 10;

/// The interval between reports per member of the system, so that all members together
/// write at most 50 reports a second; with 2,100 members it is 42 s.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);

/// The output tokens that callers requested of each model since the last report.
#[derive(Debug, Default)]
pub struct DemandCounts {
    tokens: Mutex<IndexMap<ModelName, u64>>,
}

impl DemandCounts {
    /// Counts a request that arrived at this entry; calls of plain services don't count.
    pub fn record(&self, request: &RequestSpec) {
        if let Target::Model { model, .. } = &request.target {
            let mut tokens = self.tokens.lock().expect("no holder of the counts panics");
            *tokens.entry(model.clone()).or_default() +=
                u64::from(request.max_output_tokens);
        }
    }

    fn take_counts(&self) -> IndexMap<ModelName, u64> {
        std::mem::take(&mut *self.tokens.lock().expect("no holder of the counts panics"))
    }
}

/// The demand for a pool's models at one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Output tokens a second, by model.
    pub rates: IndexMap<ModelName, f64>,
}

/// Writes this daemon's reports until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut reported_pools = IndexSet::new();
    let mut last_report = shared.clock.now();
    loop {
        let members = shared.view().members.len() as u32;
        let interval = shared.settings.times.poll_interval * REPORT_INTERVAL_POLLS;
        tokio::time::sleep(interval.max(REPORT_INTERVAL_PER_MEMBER * members)).await;
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(last_report);
        last_report = now;
        // A failed report is not repeated: the rates lag behind the demand anyway.
        if write_reports(&shared, elapsed, &mut reported_pools).await.is_err() {
            slog::debug!(shared.log, "failed to write the demand report");
        }
    }
}

async fn write_reports(
    shared: &Shared,
    elapsed: Duration,
    reported_pools: &mut IndexSet<PoolName>,
) -> Result<(), PlatformError> {
    let catalog = shared.catalog();
    let view = shared.view();
    let mut reports: IndexMap<PoolName, DemandReport> = IndexMap::new();
    for (model, tokens) in shared.demand.take_counts() {
        if let Some(declared) = catalog.models.get(&model) {
            let rate = tokens as f64 / elapsed.as_secs_f64().max(0.001);
            let report = reports.entry(declared.pool.clone()).or_default();
            report.rates.insert(model, (rate * 10.0).round() / 10.0);
        }
    }
    let mut txn = Txn::new();
    let mut now_reported = IndexSet::new();
    for pool in catalog.pools.keys() {
        let key = report_key(pool, shared.me);
        match reports.get(pool).filter(|_| is_reporter(&view, pool, shared.me)) {
            Some(report) => {
                let value = serde_json::to_value(report);
                let value = value.map_err(|e| PlatformError::Protocol(e.to_string()))?;
                txn = txn.put(DEMAND_TABLE, key, value);
                now_reported.insert(pool.clone());
            }
            None if reported_pools.contains(pool) => txn = txn.delete(DEMAND_TABLE, key),
            None => {}
        }
    }
    if !txn.writes.is_empty() {
        shared.table.commit(&txn).await?;
    }
    *reported_pools = now_reported;
    Ok(())
}

/// The key of a member's report of a pool.
pub fn report_key(pool: &PoolName, member: MemberId) -> String {
    format!("{pool}/{member}")
}

/// Whether a member reports the demand of a pool: each one of up to [`MAX_REPORTERS`]
/// members; of more, those that rendezvous hashing ranks highest.
fn is_reporter(view: &View, pool: &PoolName, member: MemberId) -> bool {
    if view.members.len() <= MAX_REPORTERS {
        return true;
    }
    let rank = |member: &MemberId| {
        (rendezvous_rank(pool.as_str(), &member.to_string()), *member)
    };
    let own = rank(&member);
    view.members.keys().filter(|other| rank(other) > own).count() < MAX_REPORTERS
}

/// The ratio of all entries to those that report, at least 1.
pub fn sampling_factor(view: &View) -> f64 {
    let members = view.members.len();
    members.max(1) as f64 / members.clamp(1, MAX_REPORTERS) as f64
}
