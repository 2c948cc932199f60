//! Routes, services and models that operators declare.

use std::sync::Arc;
use std::time::Duration;

use chestnut_account::Accounts;
use chestnut_base::{ModelName, Revision, ServiceName};
use indexmap::IndexMap;

/// All declarations, as of one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// Increases with each change, not necessarily by one.
    pub revision: Revision,
    /// All routes, of all hosts.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: IndexMap<ServiceName, Service>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
}

/// How requests on a route are answered and whether they may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain requests that may run more than once.
    Idempotent,
    /// Plain requests that may run at most once.
    NonIdempotent,
    /// Requests that are answered by a stream of numbered events.
    Stream {
        /// Whether a broken stream may be resumed at another server.
        resumable: bool,
        /// The longest gap between events for which a stream counts as on time.
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

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficShare {
    /// The destination.
    pub service: ServiceName,
    /// The share, relative to the sum of the weights of the route.
    pub weight: f64,
}

/// Maps requests with a host and path prefix to services, with their time limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Identifies the route in logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix, with a leading and a trailing slash; the longest match wins.
    pub prefix: String,
    /// How requests are answered and whether they may be repeated.
    pub kind: RouteKind,
    /// The maximum time until a caller has the complete response.
    pub timeout: Duration,
    /// The longest time to the response, or to a stream's first event, that counts as on
    /// time.
    pub objective: Duration,
    /// How long callers wait for the first or next event of a stream before they
    /// disconnect.
    pub wait_limit: Duration,
    /// The priority of requests; 0 is the highest. That of a client account goes first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// The maximum number of backend servers that may run one request of a caller.
    pub max_attempts: u32,
    /// How requests are split between services; never empty.
    pub shares: Vec<TrafficShare>,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The maximum number of connections to one backend server, over all daemons.
    pub max_connections: u32,
    /// The servers' model engine; `None` for a plain service.
    pub engine: Option<Arc<Engine>>,
}

/// The model engine that all backend servers of a service run.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The maximum number of requests that one server runs concurrently.
    pub slots: u32,
    /// The capacity of one server's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Tokens per event of a stream, at least 1.
    pub event_tokens: u32,
    /// Memory for weights and adapters on one server, in megabytes.
    pub memory_mb: f64,
    /// The maximum number of adapters on one server.
    pub adapter_slots: usize,
    /// The maximum rate of new loads from the weight store, over all servers.
    pub loads_per_s: f64,
    /// The models that requests may name.
    pub models: IndexMap<ModelName, Model>,
}

/// The fraction of the KV cache that scheduling may fill.
///
/// Outputs can exceed the callers' estimates, and an engine that runs out of KV cache
/// has to prefill whole prompts again.
const USABLE_KV_FRACTION: f64 = 0.92;

impl Engine {
    /// The tokens of one server's KV cache that scheduling may fill.
    pub fn usable_kv_tokens(&self) -> u64 {
        (self.kv_tokens as f64 * USABLE_KV_FRACTION) as u64
    }
}

/// A model that an engine can load.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The size of the weights, in megabytes.
    pub weights_mb: f64,
    /// The number of adapters that exist for the model.
    pub adapter_count: u32,
    /// The size of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes while few loads run concurrently.
    pub store_load_time: Duration,
    /// How long a load from the server's own memory takes.
    pub memory_load_time: Duration,
    /// How long a load from the server's own disk takes.
    pub disk_load_time: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// The limits until the first declarations have been read, and for declarations that
    /// state none.
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
    /// Memory that is reserved for adapters on one server, in megabytes.
    pub fn adapter_reserve_mb(&self) -> f64 {
        let adapter_sizes = self.models.values().map(|model| model.adapter_mb);
        adapter_sizes.fold(0.0, f64::max) * self.adapter_slots as f64
    }
}

impl Declarations {
    /// The smallest declared event gap: a stream that keeps to it is on time on every
    /// route. `None` if no route declares one.
    pub fn min_event_gap(&self) -> Option<Duration> {
        let event_gaps = self.routes.iter().filter_map(|route| match route.kind {
            RouteKind::Stream { event_gap, .. } => event_gap,
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        });
        event_gaps.min()
    }

    /// The route with the longest prefix of `path` among those of the host.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
