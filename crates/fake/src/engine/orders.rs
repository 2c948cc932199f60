//! Orders to load and unload, each executed once even if it is received repeatedly.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Engine;
use super::memory::{LoadStart, MemoryError};

/// The number of orders retained and reported.
const MAX_ORDERS: usize = 512;

/// The maximum number of attempts to fetch weights.
const MAX_FETCH_ATTEMPTS: u32 = 100;

/// The delay after a failed attempt to fetch weights.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It was accepted and is being executed.
    Running,
    /// It completed.
    Done,
    /// It failed.
    Failed,
}

/// An order to change what is in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Order {
    /// Loads a model; `name` is the engine's name for it.
    LoadModel { name: String, bytes: u64 },
    /// Loads an adapter of the model `base`.
    LoadAdapter { name: String, base: String, bytes: u64 },
    /// Unloads a model or adapter.
    Unload { name: String },
}

/// Why an order is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderError {
    /// Its fence is lower than the highest one so far, which is given.
    Fenced(u64),
    /// The memory's current contents don't permit it.
    Memory(MemoryError),
}

/// The orders that an engine accepted since it started.
#[derive(Debug, Default)]
pub(super) struct OrderLog {
    /// The highest fence of an accepted order so far.
    highest_fence: u64,
    /// The name and state of each order by id, oldest first.
    orders: IndexMap<u64, (String, OrderState)>,
}

impl OrderLog {
    /// The ids and states of the retained orders, oldest first.
    pub fn states(&self) -> impl Iterator<Item = (u64, OrderState)> {
        self.orders.iter().map(|(id, (_, state))| (*id, *state))
    }

    /// Completes the running orders for names that are no longer in memory.
    pub fn complete_unloads(&mut self, in_memory: impl Fn(&str) -> bool) {
        let running =
            self.orders.values_mut().filter(|(_, state)| *state == OrderState::Running);
        for (name, state) in running {
            if !in_memory(name) {
                *state = OrderState::Done;
            }
        }
    }

    /// Sets the final state of all running orders for a name.
    fn finish(&mut self, name: &str, final_state: OrderState) {
        for (order_name, state) in self.orders.values_mut() {
            if order_name == name && *state == OrderState::Running {
                *state = final_state;
            }
        }
    }

    fn insert(&mut self, id: u64, name: &str, state: OrderState) {
        self.orders.insert(id, (name.to_owned(), state));
        if self.orders.len() > MAX_ORDERS {
            self.orders.shift_remove_index(0);
        }
    }
}

impl Engine {
    /// Accepts an order; one whose id is retained is not executed again.
    pub(super) fn accept_order(
        self: &Arc<Self>,
        id: u64,
        fence: u64,
        order: Order,
    ) -> Result<(), OrderError> {
        let ignore_fence = self.faults.lock().ignore_fence || !self.config.fenced;
        let mut engine_state = self.state();
        if fence < engine_state.orders.highest_fence {
            if !ignore_fence {
                self.update_counts(|counts| counts.fenced += 1);
                return Err(OrderError::Fenced(engine_state.orders.highest_fence));
            }
            self.update_counts(|counts| counts.stale += 1);
        }
        engine_state.orders.highest_fence = engine_state.orders.highest_fence.max(fence);
        if engine_state.orders.orders.contains_key(&id) {
            return Ok(());
        }
        let (name, bytes, started) = match &order {
            Order::LoadModel { name, bytes } => {
                (name, *bytes, engine_state.core.memory.reserve_model(name, *bytes))
            }
            Order::LoadAdapter { name, base, bytes } => (
                name,
                *bytes,
                engine_state.core.memory.reserve_adapter(name, base, *bytes),
            ),
            Order::Unload { name } => {
                engine_state.core.memory.start_unload(name);
                engine_state.orders.insert(id, name, OrderState::Running);
                self.update_counts(|counts| counts.orders += 1);
                self.work_arrived.notify_one();
                return Ok(());
            }
        };
        let started = started.map_err(|error| {
            self.update_counts(|counts| {
                counts.overfull += u32::from(error == MemoryError::OutOfMemory);
            });
            OrderError::Memory(error)
        })?;
        let is_ready = engine_state.core.memory.is_ready(name);
        let state = if is_ready { OrderState::Done } else { OrderState::Running };
        engine_state.orders.insert(id, name, state);
        let peak = engine_state.core.memory.peak;
        self.update_counts(|counts| {
            counts.orders += 1;
            counts.peak = counts.peak.max(peak);
        });
        if started == LoadStart::FetchWeights {
            let engine = self.clone();
            let (name, incarnation) = (name.clone(), engine_state.incarnation);
            tokio::spawn(async move { engine.load(incarnation, name, bytes).await });
        }
        Ok(())
    }

    /// Fetches the weights of a model or adapter and marks it as ready.
    async fn load(&self, incarnation: u64, name: String, bytes: u64) {
        let fetched = self.fetch_weights(&name, bytes).await;
        let mut engine_state = self.state();
        if engine_state.incarnation != incarnation {
            return;
        }
        if fetched && engine_state.core.memory.mark_ready(&name) {
            engine_state.orders.finish(&name, OrderState::Done);
        } else if !fetched {
            engine_state.orders.finish(&name, OrderState::Failed);
            engine_state.core.memory.start_unload(&name);
        }
    }

    async fn fetch_weights(&self, name: &str, bytes: u64) -> bool {
        let Some(base) = &self.config.weight_store_url else { return true };
        let url = format!("{base}/v1/weights/{name}");
        for _ in 0..MAX_FETCH_ATTEMPTS {
            let request = self.http.get(&url).query(&[("bytes", bytes)]);
            let response =
                request.send().await.and_then(|response| response.error_for_status());
            if response.is_ok_and(|response| response.status().is_success()) {
                return true;
            }
            tokio::time::sleep(FETCH_RETRY_DELAY).await;
        }
        false
    }
}
