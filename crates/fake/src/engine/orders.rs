//! Orders to load and unload, each done once however often it arrives.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Engine;
use super::memory::{LoadStart, MemoryError};

/// How many orders are reported.
const KEPT: usize = 512;

/// How often a load is tried again when the weight store refuses it.
const TRIES: u32 = 100;

/// How long to wait before the weight store is asked again.
const RETRY: Duration = Duration::from_millis(100);

/// Where an order stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It was taken up.
    Running,
    /// It is done.
    Done,
    /// It can't be done.
    Failed,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Order {
    /// Loads a model under the engine's name of it.
    LoadModel { name: String, bytes: u64 },
    /// Loads an adapter on top of a model.
    LoadAdapter { name: String, base: String, bytes: u64 },
    /// Unloads a model or adapter.
    Unload { name: String },
}

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderError {
    /// Its fence is older than this one.
    Fenced(u64),
    /// It does not fit into the memory as it is.
    Memory(MemoryError),
}

/// The orders of one life of an engine.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    /// The greatest fence of an order so far.
    fence: u64,
    orders: IndexMap<u64, (String, OrderState)>,
}

impl OrderBook {
    /// All orders that are still known.
    pub fn states(&self) -> impl Iterator<Item = (u64, OrderState)> {
        self.orders.iter().map(|(id, (_, state))| (*id, *state))
    }

    /// Ends the unloads of what is no longer held.
    pub fn finish_unloads(&mut self, held: impl Fn(&str) -> bool) {
        let unloads =
            self.orders.values_mut().filter(|(_, state)| *state == OrderState::Running);
        for (name, state) in unloads {
            if !held(name) {
                *state = OrderState::Done;
            }
        }
    }

    /// Ends all running orders about a name.
    fn finish(&mut self, name: &str, end: OrderState) {
        for (about, state) in self.orders.values_mut() {
            if about == name && *state == OrderState::Running {
                *state = end;
            }
        }
    }

    fn insert(&mut self, id: u64, name: &str, state: OrderState) {
        self.orders.insert(id, (name.to_owned(), state));
        if self.orders.len() > KEPT {
            self.orders.shift_remove_index(0);
        }
    }
}

impl Engine {
    /// Takes an order up; one with a known id is not done again.
    pub(super) fn order(
        self: &Arc<Self>,
        id: u64,
        fence: u64,
        order: Order,
    ) -> Result<(), OrderError> {
        let ignore = self.faults.lock().ignore_fence || !self.config.fenced;
        let mut life = self.life();
        if fence < life.orders.fence {
            if !ignore {
                self.count(|counts| counts.fenced += 1);
                return Err(OrderError::Fenced(life.orders.fence));
            }
            self.count(|counts| counts.stale += 1);
        }
        life.orders.fence = life.orders.fence.max(fence);
        if life.orders.orders.contains_key(&id) {
            return Ok(());
        }
        let (name, bytes, begun) = match &order {
            Order::LoadModel { name, bytes } => {
                (name, *bytes, life.core.memory.reserve_model(name, *bytes))
            }
            Order::LoadAdapter { name, base, bytes } => {
                (name, *bytes, life.core.memory.reserve_adapter(name, base, *bytes))
            }
            Order::Unload { name } => {
                life.core.memory.start_unload(name);
                life.orders.insert(id, name, OrderState::Running);
                self.count(|counts| counts.orders += 1);
                self.work.notify_one();
                return Ok(());
            }
        };
        let begun = begun.map_err(|error| {
            self.count(|counts| {
                counts.overfull += u32::from(error == MemoryError::OutOfMemory);
            });
            OrderError::Memory(error)
        })?;
        let ready = life.core.memory.is_ready(name);
        let state = if ready { OrderState::Done } else { OrderState::Running };
        life.orders.insert(id, name, state);
        let peak = life.core.memory.peak;
        self.count(|counts| {
            counts.orders += 1;
            counts.peak = counts.peak.max(peak);
        });
        if begun == LoadStart::FetchWeights {
            let engine = self.clone();
            let (name, incarnation) = (name.clone(), life.incarnation);
            tokio::spawn(async move { engine.fetch(incarnation, name, bytes).await });
        }
        Ok(())
    }

    /// Fetches weights and makes what they belong to ready.
    async fn fetch(&self, incarnation: u64, name: String, bytes: u64) {
        let fetched = self.fetch_weights(&name, bytes).await;
        let mut life = self.life();
        if life.incarnation != incarnation {
            return;
        }
        if fetched && life.core.memory.mark_ready(&name) {
            life.orders.finish(&name, OrderState::Done);
        } else if !fetched {
            life.orders.finish(&name, OrderState::Failed);
            life.core.memory.start_unload(&name);
        }
    }

    async fn fetch_weights(&self, name: &str, bytes: u64) -> bool {
        let Some(base) = &self.config.weight_store_url else { return true };
        let url = format!("{base}/v1/weights/{name}");
        for _ in 0..TRIES {
            let call = self.http.get(&url).query(&[("bytes", bytes)]);
            let answer = call.send().await.and_then(|answer| answer.error_for_status());
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return true;
            }
            tokio::time::sleep(RETRY).await;
        }
        false
    }
}
