//! A plain service that records what it ran.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{ConnectInfo, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{self, Faults, ServiceFaults, take};
use crate::port::{Lives, Peer, ServerHandle};

/// How often a frozen service looks whether it is thawed.
const THAW: Duration = Duration::from_millis(10);

/// What a plain service is like.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// The service's name, which its answers tell.
    pub name: String,
    /// How long a call takes.
    pub service_time: Duration,
}

/// What a plain service did so far, over all its lives.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// How often a call ran, by the caller's key, or else the request id.
    pub runs: IndexMap<String, u32>,
    /// How often a call ran, by request id.
    pub requests: IndexMap<String, u32>,
    /// Calls that run now.
    pub active: u32,
    /// The most calls that ever ran at the same time.
    pub peak: u32,
    /// How often the service crashed.
    pub crashes: u32,
}

struct Service {
    config: ServiceConfig,
    faults: Faults<ServiceFaults>,
    lives: Lives,
    counts: Mutex<ServiceCounts>,
}

type Shared = State<Arc<Service>>;

/// Starts a plain service.
pub async fn start(
    listen: SocketAddr,
    config: ServiceConfig,
) -> io::Result<ServerHandle> {
    let service = Arc::new(Service {
        config,
        faults: Faults::default(),
        lives: Lives::default(),
        counts: Mutex::default(),
    });
    let faults = service.faults.clone();
    let lives = service.lives.clone();
    let router = Router::new()
        .route("/counts", get(counts))
        .fallback(call)
        .with_state(service)
        .merge(faults::routes(faults));
    ServerHandle::serve(listen, lives, router).await
}

async fn call(
    State(service): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    while service.faults.lock().frozen {
        tokio::time::sleep(THAW).await;
    }
    if service.faults.lock().down {
        return (StatusCode::SERVICE_UNAVAILABLE, "down").into_response();
    }
    let run = service.begin(&headers);
    let delay = Duration::from_millis(service.faults.lock().delay_ms);
    tokio::time::sleep(service.config.service_time + delay).await;
    service.end();
    let echo = String::from_utf8_lossy(&body).into_owned();
    if service.marked(&echo) {
        service.crash();
    }
    if take(&mut service.faults.lock().lose_answers) {
        return peer.hang_up().await;
    }
    Json(json!({
        "service": service.config.name,
        "method": method.as_str(),
        "path": uri.path_and_query().map_or(uri.path(), |path| path.as_str()),
        "echo": echo,
        "run": run,
    }))
    .into_response()
}

async fn counts(State(service): Shared) -> Json<ServiceCounts> {
    Json(service.lock().clone())
}

impl Service {
    fn lock(&self) -> std::sync::MutexGuard<'_, ServiceCounts> {
        self.counts.lock().expect("no holder of the counts panics")
    }

    /// Counts a call and returns how often its key ran by now.
    fn begin(&self, headers: &HeaderMap) -> u32 {
        let text = |name| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let request = text("x-request-id").unwrap_or_default();
        let key = text("idempotency-key").unwrap_or_else(|| request.clone());
        let mut counts = self.lock();
        counts.active += 1;
        counts.peak = counts.peak.max(counts.active);
        *counts.requests.entry(request).or_default() += 1;
        let run = counts.runs.entry(key).or_default();
        *run += 1;
        *run
    }

    fn end(&self) {
        self.lock().active -= 1;
    }

    fn marked(&self, body: &str) -> bool {
        let faults = self.faults.lock();
        faults.crash_on.as_deref().is_some_and(|mark| body.contains(mark))
    }

    fn crash(&self) {
        let outage = Duration::from_millis(self.faults.lock().restart_ms);
        self.lives.crash(outage);
        self.lock().crashes += 1;
    }
}
