//! What a backend server says of itself in the registry.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::{AdapterName, DomainName, ModelName, ServerName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::declared::Model;

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has and leaves; with the time until it is gone if that
    /// comes at short notice.
    Leaving(Option<Duration>),
}

/// A model that a runner holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: u64,
    /// The adapters that are loaded on top.
    pub adapters: Vec<AdapterName>,
}

/// What a backend server says of itself in the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server's name.
    pub name: ServerName,
    /// The start of this run of the server, in Unix milliseconds.
    ///
    /// A server that starts again under its name holds and knows nothing of before.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// How much longer it is slow after its start.
    #[serde(rename = "cold")]
    pub warmup_remaining: Duration,
    /// The number of orders that it has accepted since its start.
    #[serde(rename = "orders")]
    pub accepted_orders: u64,
    /// The models that it holds.
    pub models: Vec<LoadedModel>,
    /// Models whose weights lie in its own memory, ready to be loaded fast.
    #[serde(rename = "warm")]
    pub in_memory: Vec<ModelName>,
    /// Models whose weights lie on its own disk.
    pub on_disk: Vec<ModelName>,
}

impl ServerEntry {
    /// Whether the registry lists a model at the server.
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.model == *model)
    }

    /// How long a load of a model takes here, by the copies that the server keeps.
    pub fn load_time(&self, name: &ModelName, model: &Model) -> Duration {
        if self.in_memory.contains(name) {
            model.memory_load_time
        } else if self.on_disk.contains(name) {
            model.disk_load_time
        } else {
            model.store_load_time
        }
    }
}
