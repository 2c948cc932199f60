//! Which models and adapters are in the accelerators' memory.

use std::fmt::{self, Display, Formatter};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Whether something in memory can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldState {
    /// Its memory is reserved and its weights are on their way.
    Loading,
    /// Requests may use it.
    Ready,
    /// It takes no new requests and leaves when the last one ends.
    Unloading,
}

/// A model or adapter in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The memory it occupies from the start of its loading, in bytes.
    pub bytes: u64,
    /// Whether it can be used.
    pub state: HeldState,
}

/// Why something can't be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryError {
    /// It does not fit.
    Full,
    /// The same is being unloaded.
    Busy,
    /// The adapter's model is not ready.
    NoModel,
}

impl Display for MemoryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "it does not fit; unload something first",
            Self::Busy => "it is being unloaded; order again when it is gone",
            Self::NoModel => "the adapter's model is not ready; load it first",
        })
    }
}

/// What a load has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// The memory is reserved and the weights must be fetched.
    Fetch,
    /// It is already there or on its way.
    Joined,
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
    pub models: IndexMap<String, Held>,
    /// Adapters by name, each with its model's engine name.
    pub adapters: IndexMap<String, (String, Held)>,
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
    pub fn load_model(&mut self, name: &str, bytes: u64) -> Result<Begin, MemoryError> {
        if let Some(held) = self.models.get(name) {
            return joined(held);
        }
        let held = self.reserve(bytes)?;
        self.models.insert(name.to_owned(), held);
        Ok(Begin::Fetch)
    }

    /// Reserves the memory of an adapter; `base` may be a model with no version.
    pub fn load_adapter(
        &mut self,
        name: &str,
        base: &str,
        bytes: u64,
    ) -> Result<Begin, MemoryError> {
        if let Some((_, held)) = self.adapters.get(name) {
            return joined(held);
        }
        let model = self.ready_model(base).ok_or(MemoryError::NoModel)?;
        let held = self.reserve(bytes)?;
        self.adapters.insert(name.to_owned(), (model, held));
        Ok(Begin::Fetch)
    }

    /// Makes a loaded model or adapter ready; false if it was dropped meanwhile.
    pub fn loaded(&mut self, name: &str) -> bool {
        let held = self
            .models
            .get_mut(name)
            .or_else(|| self.adapters.get_mut(name).map(|(_, held)| held));
        match held {
            Some(held) if held.state == HeldState::Loading => {
                held.state = HeldState::Ready;
                true
            }
            _ => false,
        }
    }

    /// Starts to unload a model or adapter; a model takes its adapters along.
    pub fn unload(&mut self, name: &str) {
        if let Some(held) = self.models.get_mut(name) {
            held.state = HeldState::Unloading;
        }
        for (adapter, (model, held)) in &mut self.adapters {
            if adapter == name || model == name {
                held.state = HeldState::Unloading;
            }
        }
    }

    /// Frees what is unloading and not in use, and returns its names.
    pub fn sweep(&mut self, in_use: impl Fn(&str) -> bool) -> Vec<String> {
        let mut freed = Vec::new();
        let gone =
            |held: &Held, name: &str| held.state == HeldState::Unloading && !in_use(name);
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
    pub fn ready(&self, name: &str) -> bool {
        let ready = |held: &Held| held.state == HeldState::Ready;
        self.models.get(name).is_some_and(ready)
            || self.adapters.get(name).is_some_and(|(_, held)| ready(held))
    }

    /// Whether a model or adapter occupies memory.
    pub fn holds(&self, name: &str) -> bool {
        self.models.contains_key(name) || self.adapters.contains_key(name)
    }

    fn ready_model(&self, base: &str) -> Option<String> {
        let matches = |name: &str| {
            name == base || name.split_once('@').is_some_and(|(model, _)| model == base)
        };
        let ready = self
            .models
            .iter()
            .find(|(name, held)| matches(name) && held.state == HeldState::Ready);
        ready.map(|(name, _)| name.clone())
    }

    fn reserve(&mut self, bytes: u64) -> Result<Held, MemoryError> {
        let used = self.used.saturating_add(bytes);
        if used > self.capacity {
            return Err(MemoryError::Full);
        }
        self.used = used;
        self.peak = self.peak.max(used);
        Ok(Held { bytes, state: HeldState::Loading })
    }
}

fn joined(held: &Held) -> Result<Begin, MemoryError> {
    match held.state {
        HeldState::Unloading => Err(MemoryError::Busy),
        HeldState::Loading | HeldState::Ready => Ok(Begin::Joined),
    }
}
