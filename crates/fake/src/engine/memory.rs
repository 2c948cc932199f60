//! The models and adapters in the accelerators' memory.

use std::fmt::{self, Display, Formatter};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The state of a model or adapter in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Its memory is reserved and its weights are being fetched.
    Loading,
    /// Requests may use it.
    Ready,
    /// It accepts no new requests and is freed when the last one finishes.
    Unloading,
}

/// The memory of a model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// The size, reserved from the start of the load.
    pub bytes: u64,
    /// The state of what is stored there.
    pub state: LoadState,
}

/// Why a model or adapter can't be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryError {
    /// It does not fit into the free memory.
    OutOfMemory,
    /// It is still being unloaded.
    Unloading,
    /// The adapter's base model is not ready.
    BaseNotReady,
}

impl Display for MemoryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OutOfMemory => {
                "it does not fit into the free memory; unload something first"
            }
            Self::Unloading => {
                "it is being unloaded; repeat the order when that is complete"
            }
            Self::BaseNotReady => "the adapter's base model is not ready; load it first",
        })
    }
}

/// The result of starting a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStart {
    /// The memory was reserved and the weights must be fetched.
    FetchWeights,
    /// It is loaded or being loaded already.
    AlreadyPresent,
}

/// The accelerators' memory of one engine.
///
/// `used` is the sum of all allocations and never exceeds `capacity`; `peak` is the
/// maximum of `used` so far.
#[derive(Debug)]
pub struct Memory {
    /// The total size, in bytes.
    pub capacity: u64,
    /// The allocated bytes.
    pub used: u64,
    /// The maximum of `used` so far.
    pub peak: u64,
    /// Models by the engine's name for them, `MODEL@VERSION`.
    pub models: IndexMap<String, Allocation>,
    /// Adapters by name, each with the engine's name of its base model.
    pub adapters: IndexMap<String, (String, Allocation)>,
}

impl Memory {
    /// Creates an empty memory with a capacity in bytes.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            peak: 0,
            models: IndexMap::new(),
            adapters: IndexMap::new(),
        }
    }

    /// Reserves memory for loading a model.
    pub fn reserve_model(
        &mut self,
        name: &str,
        bytes: u64,
    ) -> Result<LoadStart, MemoryError> {
        if let Some(allocation) = self.models.get(name) {
            return existing_load(allocation);
        }
        let allocation = self.reserve(bytes)?;
        self.models.insert(name.to_owned(), allocation);
        Ok(LoadStart::FetchWeights)
    }

    /// Reserves memory for loading an adapter; `base` is a model with or without its
    /// version.
    pub fn reserve_adapter(
        &mut self,
        name: &str,
        base: &str,
        bytes: u64,
    ) -> Result<LoadStart, MemoryError> {
        if let Some((_, allocation)) = self.adapters.get(name) {
            return existing_load(allocation);
        }
        let model = self.find_ready_model(base).ok_or(MemoryError::BaseNotReady)?;
        let allocation = self.reserve(bytes)?;
        self.adapters.insert(name.to_owned(), (model, allocation));
        Ok(LoadStart::FetchWeights)
    }

    /// Marks a loading model or adapter as ready; returns false if it is no longer
    /// loading.
    pub fn mark_ready(&mut self, name: &str) -> bool {
        let allocation = self
            .models
            .get_mut(name)
            .or_else(|| self.adapters.get_mut(name).map(|(_, allocation)| allocation));
        match allocation {
            Some(allocation) if allocation.state == LoadState::Loading => {
                allocation.state = LoadState::Ready;
                true
            }
            _ => false,
        }
    }

    /// Starts to unload a model with its adapters, or an adapter.
    pub fn start_unload(&mut self, name: &str) {
        if let Some(allocation) = self.models.get_mut(name) {
            allocation.state = LoadState::Unloading;
        }
        for (adapter, (model, allocation)) in &mut self.adapters {
            if adapter == name || model == name {
                allocation.state = LoadState::Unloading;
            }
        }
    }

    /// Frees models and adapters that are unloading and not in use; returns their names.
    /// A model is freed after its adapters.
    pub fn free_unloaded(&mut self, in_use: impl Fn(&str) -> bool) -> Vec<String> {
        let mut freed = Vec::new();
        let is_freeable = |allocation: &Allocation, name: &str| {
            allocation.state == LoadState::Unloading && !in_use(name)
        };
        self.adapters.retain(|name, (_, allocation)| {
            let free = is_freeable(allocation, name);
            if free {
                self.used -= allocation.bytes;
                freed.push(name.clone());
            }
            !free
        });
        let adapters = &self.adapters;
        self.models.retain(|name, allocation| {
            let has_adapters = adapters.values().any(|(model, _)| model == name);
            let free = is_freeable(allocation, name) && !has_adapters;
            if free {
                self.used -= allocation.bytes;
                freed.push(name.clone());
            }
            !free
        });
        freed
    }

    /// Whether requests may use a model or adapter.
    pub fn is_ready(&self, name: &str) -> bool {
        let is_ready = |allocation: &Allocation| allocation.state == LoadState::Ready;
        self.models.get(name).is_some_and(is_ready)
            || self.adapters.get(name).is_some_and(|(_, allocation)| is_ready(allocation))
    }

    /// Whether a model or adapter occupies memory.
    pub fn contains(&self, name: &str) -> bool {
        self.models.contains_key(name) || self.adapters.contains_key(name)
    }

    fn find_ready_model(&self, base: &str) -> Option<String> {
        let matches = |name: &str| {
            name == base || name.split_once('@').is_some_and(|(model, _)| model == base)
        };
        let ready = self.models.iter().find(|(name, allocation)| {
            matches(name) && allocation.state == LoadState::Ready
        });
        ready.map(|(name, _)| name.clone())
    }

    fn reserve(&mut self, bytes: u64) -> Result<Allocation, MemoryError> {
        let used = self.used.saturating_add(bytes);
        if used > self.capacity {
            return Err(MemoryError::OutOfMemory);
        }
        self.used = used;
        self.peak = self.peak.max(used);
        Ok(Allocation { bytes, state: LoadState::Loading })
    }
}

/// The result of a load that finds an existing allocation.
fn existing_load(allocation: &Allocation) -> Result<LoadStart, MemoryError> {
    match allocation.state {
        LoadState::Unloading => Err(MemoryError::Unloading),
        LoadState::Loading | LoadState::Ready => Ok(LoadStart::AlreadyPresent),
    }
}
