//! Which models and adapters are in the accelerators' memory.

use std::fmt::{self, Display, Formatter};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Whether something in memory can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Its memory is reserved and its weights are on their way.
    Loading,
    /// Requests may use it.
    Ready,
    /// It takes no new requests and leaves when the last one ends.
    Unloading,
}

/// A model or adapter in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// The memory it occupies from the start of its loading, in bytes.
    pub bytes: u64,
    /// Whether it can be used.
    pub state: LoadState,
}

/// Why something can't be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryError {
    /// It does not fit.
    OutOfMemory,
    /// The same is being unloaded.
    Unloading,
    /// The adapter's model is not ready.
    BaseNotReady,
}

impl Display for MemoryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OutOfMemory => "it does not fit; unload something first",
            Self::Unloading => "it is being unloaded; order again when it is gone",
            Self::BaseNotReady => "the adapter's model is not ready; load it first",
        })
    }
}

/// What a load has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStart {
    /// The memory is reserved and the weights must be fetched.
    FetchWeights,
    /// It is already there or on its way.
    AlreadyPresent,
}

/// The accelerators' memory of one engine.
///
/// `used` is the sum of the bytes of all that is held and never exceeds
/// `capacity`; `peak` is the greatest `used` ever.
#[derive(Debug)]
pub struct Memory {
    /// All bytes.
    pub capacity: u64,
    /// The bytes that are held.
    pub used: u64,
    /// The greatest `used` ever.
    pub peak: u64,
    /// Models by the engine's name, `MODEL@VERSION`.
    pub models: IndexMap<String, Allocation>,
    /// Adapters by name, each with its model's engine name.
    pub adapters: IndexMap<String, (String, Allocation)>,
}

impl Memory {
    /// Creates an empty memory.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            peak: 0,
            models: IndexMap::new(),
            adapters: IndexMap::new(),
        }
    }

    /// Reserves the memory of a model that is to be loaded.
    pub fn reserve_model(
        &mut self,
        name: &str,
        bytes: u64,
    ) -> Result<LoadStart, MemoryError> {
        if let Some(held) = self.models.get(name) {
            return joined(held);
        }
        let held = self.reserve(bytes)?;
        self.models.insert(name.to_owned(), held);
        Ok(LoadStart::FetchWeights)
    }

    /// Reserves the memory of an adapter; `base` may be a model with no version.
    pub fn reserve_adapter(
        &mut self,
        name: &str,
        base: &str,
        bytes: u64,
    ) -> Result<LoadStart, MemoryError> {
        if let Some((_, held)) = self.adapters.get(name) {
            return joined(held);
        }
        let model = self.ready_model(base).ok_or(MemoryError::BaseNotReady)?;
        let held = self.reserve(bytes)?;
        self.adapters.insert(name.to_owned(), (model, held));
        Ok(LoadStart::FetchWeights)
    }

    /// Makes a loaded model or adapter ready; false if it was dropped meanwhile.
    pub fn mark_ready(&mut self, name: &str) -> bool {
        let held = self
            .models
            .get_mut(name)
            .or_else(|| self.adapters.get_mut(name).map(|(_, held)| held));
        match held {
            Some(held) if held.state == LoadState::Loading => {
                held.state = LoadState::Ready;
                true
            }
            _ => false,
        }
    }

    /// Starts to unload a model or adapter; a model takes its adapters along.
    pub fn start_unload(&mut self, name: &str) {
        if let Some(held) = self.models.get_mut(name) {
            held.state = LoadState::Unloading;
        }
        for (adapter, (model, held)) in &mut self.adapters {
            if adapter == name || model == name {
                held.state = LoadState::Unloading;
            }
        }
    }

    /// Frees what is unloading and not in use, and returns its names.
    pub fn free_unloaded(&mut self, in_use: impl Fn(&str) -> bool) -> Vec<String> {
        let mut freed = Vec::new();
        let gone = |held: &Allocation, name: &str| {
            held.state == LoadState::Unloading && !in_use(name)
        };
        self.adapters.retain(|name, (_, held)| {
            let gone = gone(held, name);
            if gone {
                self.used -= held.bytes;
                freed.push(name.clone());
            }
            !gone
        });
        let adapters = &self.adapters;
        self.models.retain(|name, held| {
            let based = adapters.values().any(|(model, _)| model == name);
            let gone = gone(held, name) && !based;
            if gone {
                self.used -= held.bytes;
                freed.push(name.clone());
            }
            !gone
        });
        freed
    }

    /// Whether requests may use a model or adapter.
    pub fn is_ready(&self, name: &str) -> bool {
        let ready = |held: &Allocation| held.state == LoadState::Ready;
        self.models.get(name).is_some_and(ready)
            || self.adapters.get(name).is_some_and(|(_, held)| ready(held))
    }

    /// Whether a model or adapter occupies memory.
    pub fn contains(&self, name: &str) -> bool {
        self.models.contains_key(name) || self.adapters.contains_key(name)
    }

    fn ready_model(&self, base: &str) -> Option<String> {
        let matches = |name: &str| {
            name == base || name.split_once('@').is_some_and(|(model, _)| model == base)
        };
        let ready = self
            .models
            .iter()
            .find(|(name, held)| matches(name) && held.state == LoadState::Ready);
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

fn joined(held: &Allocation) -> Result<LoadStart, MemoryError> {
    match held.state {
        LoadState::Unloading => Err(MemoryError::Unloading),
        LoadState::Loading | LoadState::Ready => Ok(LoadStart::AlreadyPresent),
    }
}
