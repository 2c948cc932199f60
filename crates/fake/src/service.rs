//! A plain service that echoes its requests and records what it ran.

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

use crate::faults::{self, Faults, ServiceFaults, try_decrement};
use crate::listener::{Connection, CrashSwitch, ServerHandle};

/// How often a frozen service checks whether the fault was cleared.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The configuration of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// The service's name, included in its responses.
    pub name: String,
    /// The duration of a call.
    pub service_time: Duration,
}

/// What a plain service did so far, including before its crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The number of runs by idempotency key, or by request id for calls without a key.
    pub runs: IndexMap<String, u32>,
    /// The number of runs by request id.
    pub requests: IndexMap<String, u32>,
    /// Calls running now.
    pub active: u32,
    /// The maximum number of concurrent calls so far.
    pub peak: u32,
    /// The number of crashes.
    pub crashes: u32,
}

struct Service {
    config: ServiceConfig,
    faults: Faults<ServiceFaults>,
    crash_switch: CrashSwitch,
    counts: Mutex<ServiceCounts>,
}

type SharedService = State<Arc<Service>>;

/// Starts a plain service on an address; with port 0 the system chooses the port.
pub async fn start(
    listen: SocketAddr,
    config: ServiceConfig,
) -> io::Result<ServerHandle> {
    let service = Arc::new(Service {
        config,
        faults: Faults::default(),
        crash_switch: CrashSwitch::default(),
        counts: Mutex::default(),
    });
    let faults = service.faults.clone();
    let crash_switch = service.crash_switch.clone();
    let router = Router::new()
        .route("/counts", get(get_counts))
        .fallback(handle_call)
        .with_state(service)
        .merge(faults::routes(faults));
    ServerHandle::serve(listen, crash_switch, router).await
}

async fn handle_call(
    State(service): SharedService,
    ConnectInfo(connection): ConnectInfo<Connection>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    while service.faults.lock().frozen {
        tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
    }
    if service.faults.lock().down {
        return (StatusCode::SERVICE_UNAVAILABLE, "down").into_response();
    }
    let run_number = service.begin_call(&headers);
    let delay = Duration::from_millis(service.faults.lock().delay_ms);
    tokio::time::sleep(service.config.service_time + delay).await;
    service.end_call();
    let echo = String::from_utf8_lossy(&body).into_owned();
    if service.must_crash(&echo) {
        service.crash();
    }
    if try_decrement(&mut service.faults.lock().lose_answers) {
        return connection.reset_and_never_respond().await;
    }
    Json(json!({
        "service": service.config.name,
        "method": method.as_str(),
        "path": uri.path_and_query().map_or(uri.path(), |path| path.as_str()),
        "echo": echo,
        "run": run_number,
    }))
    .into_response()
}

async fn get_counts(State(service): SharedService) -> Json<ServiceCounts> {
    Json(service.lock_counts().clone())
}

impl Service {
    fn lock_counts(&self) -> std::sync::MutexGuard<'_, ServiceCounts> {
        self.counts.lock().expect("the counts' lock is not poisoned")
    }

    /// Counts a call and returns the number of runs of its key, including this one.
    fn begin_call(&self, headers: &HeaderMap) -> u32 {
        let header = |name| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let request = header("x-request-id").unwrap_or_default();
        let key = header("idempotency-key").unwrap_or_else(|| request.clone());
        let mut counts = self.lock_counts();
        counts.active += 1;
        counts.peak = counts.peak.max(counts.active);
        *counts.requests.entry(request).or_default() += 1;
        let run = counts.runs.entry(key).or_default();
        *run += 1;
        *run
    }

    fn end_call(&self) {
        self.lock_counts().active -= 1;
    }

    fn must_crash(&self, body: &str) -> bool {
        let faults = self.faults.lock();
        faults.crash_on.as_deref().is_some_and(|pattern| body.contains(pattern))
    }

    fn crash(&self) {
        let outage = Duration::from_millis(self.faults.lock().restart_ms);
        self.crash_switch.crash(outage);
        self.lock_counts().crashes += 1;
    }
}
