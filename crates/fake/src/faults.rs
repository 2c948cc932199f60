//! Faults that are injected while a stand-in runs.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The faults of a stand-in, shared by its tasks.
#[derive(Debug, Clone, Default)]
pub struct Faults<T>(Arc<Mutex<T>>);

impl<T> Faults<T> {
    /// Locks the faults for reading or changing.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("the faults' lock is not poisoned")
    }
}

impl<T: Serialize + DeserializeOwned + Clone> Faults<T> {
    /// Sets the faults that `change` contains, leaves the others, and returns all of
    /// them.
    pub fn merge(&self, change: &Value) -> Result<Value, String> {
        let mut faults = self.lock();
        let mut merged = serde_json::to_value(&*faults).map_err(|e| e.to_string())?;
        merge_json(&mut merged, change);
        *faults = serde_json::from_value(merged.clone()).map_err(|e| e.to_string())?;
        Ok(merged)
    }
}

/// The routes that return and set the faults.
pub(crate) fn routes<T>(faults: Faults<T>) -> Router
where
    T: Serialize + DeserializeOwned + Clone + Send + 'static,
{
    Router::new()
        .route("/faults", post(set_faults::<T>).get(get_faults::<T>))
        .with_state(faults)
}

async fn set_faults<T: Serialize + DeserializeOwned + Clone>(
    State(faults): State<Faults<T>>,
    Json(change): Json<Value>,
) -> Result<Json<Value>, (StatusCode, String)> {
    faults.merge(&change).map(Json).map_err(|reason| (StatusCode::BAD_REQUEST, reason))
}

async fn get_faults<T: Serialize + Clone>(State(faults): State<Faults<T>>) -> Json<T> {
    let faults = faults.lock().clone();
    Json(faults)
}

/// Replaces `target` by `change`; objects are merged recursively, field by field.
fn merge_json(target: &mut Value, change: &Value) {
    match (target, change) {
        (Value::Object(target), Value::Object(change)) => {
            for (key, value) in change {
                merge_json(target.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (target, change) => *target = change.clone(),
    }
}

/// Faults of one of the platform's services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformServiceFaults {
    /// Rejects every call with status 503 before it takes effect.
    pub down: bool,
    /// The delay before each call takes effect.
    pub delay_ms: u64,
    /// The number of upcoming writes that take effect but whose response is lost.
    pub lose_acks: u32,
    /// The staleness of responses; supported by the list of VMs only.
    pub lag_ms: u64,
}

/// Faults of the platform, by service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the table service.
    pub table: PlatformServiceFaults,
    /// Faults of the object store.
    pub objects: PlatformServiceFaults,
    /// Faults of the weight store.
    pub weights: PlatformServiceFaults,
    /// Faults of the list of VMs.
    pub vms: PlatformServiceFaults,
}

/// What happens to orders that reach an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderFault {
    /// Accepted normally.
    #[default]
    None,
    /// The connection is reset and the order discarded.
    Lost,
    /// The connection is reset and the order executed later.
    Late,
    /// Accepted, and a duplicate is received later.
    Twice,
}

/// Faults of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Overrides the configured duration of a step with one stream.
    pub step_ms: Option<u64>,
    /// Resets the connection of the next response after this number of tokens.
    pub cut_after: Option<u32>,
    /// Ends the body of the next response after this number of tokens, without an error
    /// and without the end marker.
    pub end_after: Option<u32>,
    /// Crashes when a prompt that contains this text starts to run.
    pub crash_on: Option<String>,
    /// Crashes before the next step.
    pub crash: bool,
    /// How long the port stays closed after a crash.
    pub restart_ms: u64,
    /// What happens to orders.
    pub orders: OrderFault,
    /// The delay of late and duplicate orders.
    pub late_ms: u64,
    /// Accepts orders with an outdated fence.
    pub ignore_fence: bool,
    /// Neither responds nor makes progress.
    pub frozen: bool,
    /// The delay before cache events become visible.
    pub cache_lag_ms: u64,
    /// Omits every cache event whose number is a multiple of this; 0 omits none.
    pub cache_gap: u64,
}

/// Faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Rejects every call with status 503 before it takes effect.
    pub down: bool,
    /// Additional duration of each call.
    pub delay_ms: u64,
    /// The number of upcoming calls that run but whose response is lost.
    pub lose_answers: u32,
    /// Crashes after running a call whose body contains this text.
    pub crash_on: Option<String>,
    /// How long the port stays closed after a crash.
    pub restart_ms: u64,
    /// Does not respond.
    pub frozen: bool,
}

/// Applies the delay of a service; returns false if the service is down.
pub(crate) async fn accept_call(
    faults: &Faults<PlatformFaults>,
    service: fn(&mut PlatformFaults) -> &mut PlatformServiceFaults,
) -> bool {
    let (down, delay) = {
        let mut faults = faults.lock();
        let service = service(&mut faults);
        (service.down, service.delay_ms)
    };
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    !down
}

/// Whether the response to this write is lost; decrements the number of lost responses.
pub(crate) fn loses_response(
    faults: &Faults<PlatformFaults>,
    service: fn(&mut PlatformFaults) -> &mut PlatformServiceFaults,
) -> bool {
    let mut faults = faults.lock();
    try_decrement(&mut service(&mut faults).lose_acks)
}

/// Decrements a count that is not zero; returns whether it did.
pub(crate) fn try_decrement(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count -= u32::from(is_positive);
    is_positive
}
