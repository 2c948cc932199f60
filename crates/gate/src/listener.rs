//! Serves the connections of callers, operators and other daemons.
//!
//! The listeners draw on shares of the process's descriptors and memory, so that a crowd at one
//! of them leaves the others theirs.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use chestnut_intake::{HttpLimits, Intake, Server, Share};
use http::Request;
use hyper::body::Incoming;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::client::configure_socket;
use crate::shared::Shared;
use crate::{forward, serve};

/// How much longer than the declared idle timeout a connection stays open.
///
/// Callers reuse connections up to the declared timeout. Closing at that moment would cut
/// off a request on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// The longest declared timeout that is kept; the clock has no times far beyond it.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// How long a connection of another daemon may be idle; longer than it keeps one in its pool.
const FORWARDER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of the headers that a daemon adds to a caller's before another one forwards the
/// request.
const FORWARD_HEADER_BYTES: usize = 4 * 1024;

/// What the connections of the daemon's listeners may hold.
pub struct Intakes {
    /// Those of callers.
    pub callers: Arc<Intake>,
    /// Those for the directory, readiness checks and metrics.
    pub lookups: Arc<Intake>,
    /// Those of other daemons.
    pub peers: Arc<Intake>,
}

impl Intakes {
    /// Divides what the process may use.
    pub fn new(shared: &Shared) -> Self {
        let limits = shared.settings.process_limits();
        let intake = |name, share| {
            let (clock, log) = (shared.clock.clone(), shared.log.clone());
            let quota = limits.quota(share);
            Arc::new(Intake::new(name, quota, clock, log, shared.metrics.clone()))
        };
        Self {
            callers: intake("callers", Share::Callers),
            lookups: intake("lookups", Share::Lookups),
            peers: intake("peers", Share::Peers),
        }
    }
}

/// Accepts connections of callers and serves requests on them until the daemon ends.
pub async fn run(shared: Arc<Shared>, intake: Arc<Intake>, listener: TcpListener) {
    let limits = {
        let shared = shared.clone();
        move || http_limits(&shared)
    };
    let handler = move |request, _| serve::handle(shared.clone(), request);
    server(intake, listener, configure_socket).run(limits, handler).await;
}

/// Accepts connections of other daemons and forwards their requests to servers.
pub async fn run_forwarder(
    shared: Arc<Shared>,
    intake: Arc<Intake>,
    listener: TcpListener,
) {
    let limits = {
        let shared = shared.clone();
        move || {
            let limits = http_limits(&shared);
            let head_bytes = limits.head_bytes.saturating_add(FORWARD_HEADER_BYTES);
            HttpLimits { head_bytes, idle_timeout: FORWARDER_IDLE_TIMEOUT, ..limits }
        }
    };
    let handler = move |request, from: SocketAddr| {
        forward::handle(shared.clone(), from.ip(), request)
    };
    server(intake, listener, configure_socket).run(limits, handler).await;
}

/// Serves a router until the daemon ends.
pub async fn run_router(
    shared: Arc<Shared>,
    intake: Arc<Intake>,
    listener: TcpListener,
    router: Router,
) {
    let limits = move || http_limits(&shared);
    let service = TowerToHyperService::new(router);
    let handler = move |request: Request<Incoming>, _| {
        let response = hyper::service::Service::call(&service, request);
        async move { response.await.map_err(|never: Infallible| match never {}) }
    };
    server(intake, listener, |_: &TcpStream| {}).run(limits, handler).await;
}

fn server(
    intake: Arc<Intake>,
    listener: TcpListener,
    configure: fn(&TcpStream),
) -> Server {
    Server { intake, listener, configure, stop: CancellationToken::new() }
}

/// The declared limits on heads and times; connections stay idle for longer.
fn http_limits(shared: &Shared) -> HttpLimits {
    let limits = shared.request_limits();
    HttpLimits {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_timeout.min(MAX_TIMEOUT),
        idle_timeout: limits.idle_timeout.min(MAX_TIMEOUT) + IDLE_MARGIN,
    }
}
