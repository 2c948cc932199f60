//! What a backend server publishes about itself in the registry.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::{
    AdapterName, DomainName, Incarnation, ModelName, ServerName, ServiceName,
    SoftwareVersion,
};
use serde::{Deserialize, Serialize};

use crate::declared::Model;

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and shuts down. If the shutdown is at short
    /// notice, holds the time until the server stops.
    Leaving(Option<Duration>),
}

/// A model that is loaded on a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The base model.
    pub model: ModelName,
    /// The version of the loaded weights.
    pub version: u64,
    /// The loaded adapters of the model.
    pub adapters: Vec<AdapterName>,
}

/// A backend server's entry in the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server's name; a restarted server keeps it.
    pub name: ServerName,
    /// When the server process started, in Unix milliseconds.
    ///
    /// A server that restarts under the same name has lost its models and all other
    /// state.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The version of its software; `None` if it names none.
    pub software: Option<SoftwareVersion>,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainName,
    /// The maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: Phase,
    /// The remaining time of the warm-up after a start, during which the server is slow.
    #[serde(rename = "cold")]
    pub warmup_remaining: Duration,
    /// The number of orders accepted since the server started.
    #[serde(rename = "orders")]
    pub accepted_orders: u64,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// Models whose weights are cached in the server's own memory and load fast.
    #[serde(rename = "warm")]
    pub in_memory: Vec<ModelName>,
    /// Models whose weights are cached on the server's own disk.
    pub on_disk: Vec<ModelName>,
}

impl ServerEntry {
    /// The server's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { server: self.name.clone(), started_at: self.started_at_ms }
    }

    /// Whether the entry lists `model` as loaded.
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.models.iter().any(|loaded| loaded.model == *model)
    }

    /// How long the server takes to load a model, by the fastest copy of the weights
    /// that it has access to.
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
