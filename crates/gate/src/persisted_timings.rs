//! Persists learned engine timings for daemons that start.
//!
//! Without timings, a daemon that has just started sends prompts at a rate that suits no
//! engine until it has learned the engines' prefill rates. After a power loss all daemons
//! start at once, just when all callers send requests again. The planner of a service
//! therefore writes its timings to the store, at a limited rate and only when they have
//! changed; a daemon gets them with its first read of the table. Holders of runners send the
//! planner what they have learned.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::ServiceName;
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_pool::timing::LearnedTimings;
use slog::{info, warn};

use crate::shared::Shared;
use crate::store;
use crate::table_sync::{ChangeHandler, SYSTEM_TABLE};

/// Prefix of the keys of engine timings; the service follows.
pub const KEY_PREFIX: &str = "engine:";

/// The minimum time between two writes of a service's row, and between two reports to its
/// planner.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_secs(3);

/// The engine timings of a service in the store, and when this daemon last wrote or
/// reported its own.
#[derive(Debug, Default)]
pub struct PersistedTimings {
    timings: LearnedTimings,
    written_at: Option<Instant>,
    /// When this daemon last sent its timings to the planner.
    reported_at: Option<Instant>,
}

/// Handles rows of engine timings.
pub struct EngineTimingsHandler(pub Arc<Shared>);

impl ChangeHandler for EngineTimingsHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let name = change.key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let Ok(service) = ServiceName::try_from(name) else { return };
        let Some(value) = &change.value else { return };
        match serde_json::from_slice::<LearnedTimings>(value) {
            Ok(timings) => {
                info!(shared.log, "engine known"; "service" => name,
                    "version" => change.version, "models" => timings.models.len(),
                    "step_us" => timings.step_time.as_micros() as u64,
                    "stay_ms" => timings.service_time.as_millis() as u64);
                shared.engine_timings().merge(&timings);
                shared.persisted_timings().entry(service).or_default().timings = timings;
            }
            Err(error) => {
                warn!(shared.log, "invalid engine timings ignored"; "key" => &change.key,
                "error" => error.to_string())
            }
        }
    }
}

/// The timings to send to a service's planner; `None` if they match the persisted ones or
/// were sent recently.
pub fn unreported(shared: &Shared, service: &ServiceName) -> Option<LearnedTimings> {
    let now = shared.now();
    let timings = shared.engine_timings().learned();
    let mut persisted = shared.persisted_timings();
    let persisted = persisted.entry(service.clone()).or_default();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_UPDATE_INTERVAL;
    let is_due = !timings.models.is_empty()
        && timings.differs_from(&persisted.timings)
        && !persisted.reported_at.is_some_and(is_recent);
    is_due.then(|| {
        persisted.reported_at = Some(now);
        timings
    })
}

/// Writes a service's engine timings if they differ from the persisted ones and none were
/// written recently.
pub fn persist(shared: &Arc<Shared>, service: &ServiceName) {
    let now = shared.now();
    let timings = shared.engine_timings().learned_by_all();
    {
        let mut persisted = shared.persisted_timings();
        let persisted = persisted.entry(service.clone()).or_default();
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < MIN_UPDATE_INTERVAL;
        if persisted.written_at.is_some_and(is_recent)
            || !timings.differs_from(&persisted.timings)
        {
            return;
        }
        persisted.written_at = Some(now);
    }
    // Numbers and names always serialize.
    let value = serde_json::to_vec(&timings).unwrap_or_default();
    let transaction = Transaction::default().put(
        SYSTEM_TABLE,
        &format!("{KEY_PREFIX}{service}"),
        value,
    );
    tokio::spawn(write_row(shared.clone(), transaction));
}

async fn write_row(shared: Arc<Shared>, transaction: Transaction) {
    match store::commit(&shared, &transaction).await {
        Ok(TransactionOutcome::Committed { .. }) => {}
        Ok(outcome) => warn!(shared.log, "failed to persist engine timings";
            "answer" => format!("{outcome:?}")),
        Err(error) => warn!(shared.log, "failed to persist engine timings";
            "error" => error.to_string()),
    }
}
