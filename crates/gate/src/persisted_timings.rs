//! Keeps what was learnt of runners for daemons that start.
//!
//! A daemon that has just started knows nothing of the engines; until it has learnt how
//! fast they read, it sends prompts at a rate that suits none of them. After a loss of
//! power all daemons start at the same moment, with all callers returning. The planner of
//! a service therefore writes what it has learnt to the store, seldom and only if it
//! changed; the copy of the table that each daemon reads at its start holds it. Holders of
//! runners tell the planner what they have learnt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::ServiceName;
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_pool::timing::LearnedTimings;
use slog::{info, warn};

use crate::shared::Shared;
use crate::store;
use crate::table_sync::{ChangeHandler, SYSTEM_TABLE};

/// How keys of rows with what was learnt begin; the service follows.
pub const KEY_PREFIX: &str = "engine:";

/// How often a service's row is written, at most.
const PERIOD: Duration = Duration::from_secs(3);

/// What the store holds of a service's runners, and when this daemon last wrote it.
#[derive(Debug, Default)]
pub struct PersistedTimings {
    learnt: LearnedTimings,
    written: Option<Instant>,
    /// When this daemon last told the planner what it has learnt.
    told: Option<Instant>,
}

/// Takes in what was learnt.
pub struct EngineTimingsHandler(pub Arc<Shared>);

impl ChangeHandler for EngineTimingsHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let name = change.key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let Ok(service) = ServiceName::try_from(name) else { return };
        let Some(value) = &change.value else { return };
        match serde_json::from_slice::<LearnedTimings>(value) {
            Ok(learnt) => {
                info!(shared.log, "engine known"; "service" => name,
                    "version" => change.version, "models" => learnt.models.len(),
                    "step_us" => learnt.step_time.as_micros() as u64,
                    "stay_ms" => learnt.service_time.as_millis() as u64);
                shared.engine_timings().merge(&learnt);
                shared.persisted_timings().entry(service).or_default().learnt = learnt;
            }
            Err(error) => warn!(shared.log, "engine's row refused"; "key" => &change.key,
                "error" => error.to_string()),
        }
    }
}

/// What the holder of a service's runners has learnt, if the planner is to be told.
pub fn unreported(shared: &Shared, service: &ServiceName) -> Option<LearnedTimings> {
    let now = shared.now();
    let learnt = shared.engine_timings().learned();
    let mut kept = shared.persisted_timings();
    let kept = kept.entry(service.clone()).or_default();
    let recent = |at: Instant| now.saturating_duration_since(at) < PERIOD;
    let due = !learnt.models.is_empty()
        && learnt.differs_from(&kept.learnt)
        && !kept.told.is_some_and(recent);
    due.then(|| {
        kept.told = Some(now);
        learnt
    })
}

/// Writes what was learnt of a service's runners, if it is news.
pub fn persist(shared: &Arc<Shared>, service: &ServiceName) {
    let now = shared.now();
    let learnt = shared.engine_timings().learned_by_all();
    {
        let mut kept = shared.persisted_timings();
        let kept = kept.entry(service.clone()).or_default();
        let recent = |at: Instant| now.saturating_duration_since(at) < PERIOD;
        if kept.written.is_some_and(recent) || !learnt.differs_from(&kept.learnt) {
            return;
        }
        kept.written = Some(now);
    }
    // Numbers and names always serialize.
    let value = serde_json::to_vec(&learnt).unwrap_or_default();
    let commit = Transaction::default().put(
        SYSTEM_TABLE,
        &format!("{KEY_PREFIX}{service}"),
        value,
    );
    tokio::spawn(write(shared.clone(), commit));
}

async fn write(shared: Arc<Shared>, commit: Transaction) {
    match store::commit(&shared, &commit).await {
        Ok(TransactionOutcome::Done { .. }) => {}
        Ok(answer) => warn!(shared.log, "what was learnt is not kept";
            "answer" => format!("{answer:?}")),
        Err(fault) => warn!(shared.log, "what was learnt is not kept";
            "error" => fault.to_string()),
    }
}
