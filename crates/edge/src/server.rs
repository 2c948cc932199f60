//! What a backend server publishes about itself in the registry.

use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use chestnut_base::{
    AdapterName, DomainName, Incarnation, ModelName, ServerName, ServiceName,
    SoftwareVersion,
};
use serde::{Deserialize, Serialize};

use crate::declared::Model;

/// The most requests that a server can run concurrently.
///
/// Each takes a connection, and a daemon has no more ports for those to one address.
pub const MAX_SLOTS: u32 = u16::MAX as u32;

/// The longest time that a server's warm-up or shutdown may take.
pub const MAX_PHASE_TIME: Duration = Duration::from_secs(24 * 3600);

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

/// Why a backend server can't be as its entry describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// Nobody can be reached at the address.
    Address(SocketAddr),
    /// The number of slots is above [`MAX_SLOTS`].
    Slots(u32),
    /// The warm-up or the shutdown takes longer than [`MAX_PHASE_TIME`].
    Time(Duration),
}

impl Display for EntryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address(addr) => write!(
                f,
                "no server can listen on {addr}; register the address and the port of one"
            ),
            Self::Slots(slots) => write!(
                f,
                "a server can't have {slots} slots; register {MAX_SLOTS} or fewer"
            ),
            Self::Time(time) => write!(
                f,
                "a warm-up or a shutdown doesn't take {} s; register {} s or less",
                time.as_secs(),
                MAX_PHASE_TIME.as_secs()
            ),
        }
    }
}

impl std::error::Error for EntryError {}

impl ServerEntry {
    /// Checks that the numbers and the address are those of a server.
    ///
    /// What computes with a server relies on it: entries come from other programs.
    ///
    /// # Errors
    ///
    /// Returns the first value that no server can have.
    pub fn check(&self) -> Result<(), EntryError> {
        if !is_address_of_one(self.address) {
            return Err(EntryError::Address(self.address));
        }
        if self.slots > MAX_SLOTS {
            return Err(EntryError::Slots(self.slots));
        }
        let shutdown = match self.phase {
            Phase::Ready => Duration::ZERO,
            Phase::Leaving(left) => left.unwrap_or_default(),
        };
        let time = self.warmup_remaining.max(shutdown);
        if time > MAX_PHASE_TIME {
            return Err(EntryError::Time(time));
        }
        Ok(())
    }

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

/// Whether an address can be that of a single server.
fn is_address_of_one(addr: SocketAddr) -> bool {
    let ip = addr.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
