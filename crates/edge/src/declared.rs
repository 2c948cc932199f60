//! Routes, services and models that operators declare.

use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{ModelName, Revision, ServiceName};
use indexmap::IndexMap;

/// Everything that is declared, as of one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// Grows with each change, in uneven steps.
    pub revision: Revision,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// What requests can be sent to.
    pub services: IndexMap<ServiceName, Service>,
    /// What callers are held to.
    pub limits: RequestLimits,
}

/// What may be repeated of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain requests that may run more than once.
    Idempotent,
    /// Plain requests that may run at most once.
    NonIdempotent,
    /// Answers in numbered events.
    Stream {
        /// Whether a broken stream may go on at another server.
        resumable: bool,
        /// The longest pause between events for which an answer is on time.
        event_gap: Option<Duration>,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }
}

/// A part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceName,
    /// The part, relative to the other shares of the route.
    pub weight: f64,
}

/// Where requests with a host and path go, and what they may expect.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// Begins and ends with a slash; the longest one that begins the path counts.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time to the answer, or to a stream's first event, that counts as on time.
    pub objective: Duration,
    /// How long callers wait for a stream's first or next event before they leave.
    pub wait_limit: Duration,
    /// How urgent requests are; 0 goes first.
    pub priority: u8,
    /// The greatest number of backend servers that may run one attempt.
    pub max_attempts: u32,
    /// Where requests go; never empty.
    pub shares: Vec<TrafficShare>,
}

/// A group of backend servers that answer the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one backend server accepts, from all daemons together.
    pub max_connections: u32,
    /// How the servers run models, if they do.
    pub engine: Option<Arc<Engine>>,
}

/// How the backend servers of a service run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one server runs at the same time.
    pub slots: u32,
    /// Tokens that fit into one server's KV cache.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream, at least 1.
    pub event_tokens: u32,
    /// Memory for weights and adapters of one server, in megabytes.
    pub memory_mb: f64,
    /// Adapters that one server holds at most.
    pub adapter_slots: usize,
    /// Loads from the weight store that may begin in a second, over all servers.
    pub loads_per_s: f64,
    /// The models that requests may name.
    pub models: IndexMap<ModelName, Model>,
}

/// The part of the KV cache that is planned with.
///
/// Answers may grow longer than their callers guess; an engine that runs out of
/// memory reads whole prompts again.
const USABLE_KV_FRACTION: f64 = 0.92;

impl Engine {
    /// The tokens of the KV cache that are planned with.
    pub fn usable_kv_tokens(&self) -> u64 {
        (self.kv_tokens as f64 * USABLE_KV_FRACTION) as u64
    }
}

/// A model that an engine can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The size of the weights, in megabytes.
    pub weights_mb: f64,
    /// The number of adapters.
    pub adapter_count: u32,
    /// The size of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes while few are on the way.
    pub store_load_time: Duration,
    /// How long a load from the server's own memory takes.
    pub memory_load_time: Duration,
    /// How long a load from the server's own disk takes.
    pub disk_load_time: Duration,
}

/// What callers are held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Limits for the time before the first declarations are known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Engine {
    /// Memory that is kept free for a server's adapters, in megabytes.
    pub fn adapter_reserve_mb(&self) -> f64 {
        let largest = self.models.values().map(|model| model.adapter_mb);
        largest.fold(0.0, f64::max) * self.adapter_slots as f64
    }
}

impl Declarations {
    /// The longest pause between events for which streams of every route are on time.
    pub fn min_event_gap(&self) -> Option<Duration> {
        let pauses = self.routes.iter().filter_map(|route| match route.kind {
            RouteKind::Stream { event_gap, .. } => event_gap,
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        });
        pauses.min()
    }

    /// The route of a request: the longest prefix among those of the host.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
