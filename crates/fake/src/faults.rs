//! Faults that are switched while a stand-in runs.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The faults of a stand-in, shared by its parts.
#[derive(Debug, Clone, Default)]
pub struct Faults<T>(Arc<Mutex<T>>);

impl<T> Faults<T> {
    /// The faults, to read or change.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("no holder of the faults panics")
    }
}

impl<T: Serialize + DeserializeOwned + Clone> Faults<T> {
    /// Changes the faults that `change` names and leaves the others.
    pub fn merge(&self, change: &Value) -> Result<Value, String> {
        let mut faults = self.lock();
        let mut whole = serde_json::to_value(&*faults).map_err(|e| e.to_string())?;
        overlay(&mut whole, change);
        *faults = serde_json::from_value(whole.clone()).map_err(|e| e.to_string())?;
        Ok(whole)
    }
}

/// The routes under which faults are shown and switched.
pub(crate) fn routes<T>(faults: Faults<T>) -> Router
where
    T: Serialize + DeserializeOwned + Clone + Send + 'static,
{
    Router::new().route("/faults", post(change::<T>).get(show::<T>)).with_state(faults)
}

async fn change<T: Serialize + DeserializeOwned + Clone>(
    State(faults): State<Faults<T>>,
    Json(change): Json<Value>,
) -> Result<Json<Value>, (StatusCode, String)> {
    faults.merge(&change).map(Json).map_err(|why| (StatusCode::BAD_REQUEST, why))
}

async fn show<T: Serialize + Clone>(State(faults): State<Faults<T>>) -> Json<T> {
    let faults = faults.lock().clone();
    Json(faults)
}

/// Writes the fields of `change` over those of `whole`, objects by field.
fn overlay(whole: &mut Value, change: &Value) {
    match (whole, change) {
        (Value::Object(whole), Value::Object(change)) => {
            for (key, value) in change {
                overlay(whole.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (whole, change) => *whole = change.clone(),
    }
}

/// Faults of one part of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PartFaults {
    /// Refuses every call with 503 before anything is done.
    pub down: bool,
    /// Waits before each call is carried out.
    pub delay_ms: u64,
    /// The number of writes to come that take effect and whose answer is lost.
    pub lose_acks: u32,
    /// How old the answers are; only the list of VMs knows it.
    pub lag_ms: u64,
}

/// Faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Of the table service.
    pub table: PartFaults,
    /// Of the object store.
    pub objects: PartFaults,
    /// Of the weight store.
    pub weights: PartFaults,
    /// Of the list of VMs.
    pub vms: PartFaults,
}

/// What an engine does with orders that reach it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderFault {
    /// Takes them up.
    #[default]
    None,
    /// Cuts the connection and forgets the order.
    Lost,
    /// Cuts the connection and takes the order up later.
    Late,
    /// Takes the order up and receives a copy of it later.
    Twice,
}

/// Faults of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The time of a step with one stream, instead of the engine's own.
    pub step_ms: Option<u64>,
    /// Cuts the connection of the next answer after so many tokens.
    pub cut_after: Option<u32>,
    /// Ends the next answer cleanly, but with no end mark, after so many tokens.
    pub end_after: Option<u32>,
    /// Crashes when it starts a prompt that holds this text.
    pub crash_on: Option<String>,
    /// Crashes at once.
    pub crash: bool,
    /// How long a crashed engine's port stays closed.
    pub restart_ms: u64,
    /// What becomes of orders.
    pub orders: OrderFault,
    /// How late a late order or a copy is.
    pub late_ms: u64,
    /// Obeys orders with an old fence.
    pub ignore_fence: bool,
    /// Answers nothing and makes no progress.
    pub frozen: bool,
    /// How late cache events are seen.
    pub cache_lag_ms: u64,
    /// One in so many cache events is never seen; 0 loses none.
    pub cache_gap: u64,
}

/// Faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses every call with 503 before anything is done.
    pub down: bool,
    /// The time that each call takes on top.
    pub delay_ms: u64,
    /// The number of calls to come that run and whose answer is lost.
    pub lose_answers: u32,
    /// Crashes after it ran a call whose body holds this text.
    pub crash_on: Option<String>,
    /// How long a crashed service's port stays closed.
    pub restart_ms: u64,
    /// Answers nothing.
    pub frozen: bool,
}

/// Waits out the delay of a part; false if the part is down.
pub(crate) async fn admit(
    faults: &Faults<PlatformFaults>,
    part: fn(&mut PlatformFaults) -> &mut PartFaults,
) -> bool {
    let (down, delay) = {
        let mut faults = faults.lock();
        let part = part(&mut faults);
        (part.down, part.delay_ms)
    };
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    !down
}

/// Whether the answer to this write is lost; counts it if so.
pub(crate) fn loses_ack(
    faults: &Faults<PlatformFaults>,
    part: fn(&mut PlatformFaults) -> &mut PartFaults,
) -> bool {
    let mut faults = faults.lock();
    take(&mut part(&mut faults).lose_acks)
}

/// Takes one off a count that is not zero.
pub(crate) fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count -= u32::from(some);
    some
}
