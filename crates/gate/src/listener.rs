//! Accepts the connections of callers and other daemons.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnut_intake::{HttpLimits, Intake, ProcessLimits, Server, Share};
use http::{Request, Response, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::client::configure_socket;
use crate::shared::Shared;
use crate::{forward, serve};

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How much longer than the declared idle timeout a connection stays open.
///
/// Callers reuse connections up to the declared timeout. Closing at that moment would cut
/// off a request on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// How long a connection of another daemon may be idle; longer than it keeps one in its pool.
const FORWARDER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The account of callers' connections.
pub fn callers_intake(shared: &Shared) -> Arc<Intake> {
    let settings = &shared.settings;
    let limits = ProcessLimits::new(settings.memory_mb, settings.descriptors);
    let quota = limits.quota(Share::Callers);
    let (clock, log) = (shared.clock.clone(), shared.log.clone());
    Arc::new(Intake::new("callers", quota, clock, log, shared.metrics.clone()))
}

/// Accepts connections of callers and serves requests on them until the daemon ends.
pub async fn run(shared: Arc<Shared>, intake: Arc<Intake>, listener: TcpListener) {
    let limits = {
        let shared = shared.clone();
        move || http_limits(&shared)
    };
    let handler = move |request, _| serve::handle(shared.clone(), request);
    let stop = CancellationToken::new();
    let server = Server { intake, listener, configure: configure_socket, stop };
    server.run(limits, handler).await;
}

/// Accepts connections of other daemons and forwards their requests to servers.
pub async fn run_forwarder(shared: Arc<Shared>, listener: TcpListener) {
    accept(shared.clone(), listener, move |stream| {
        let shared = shared.clone();
        async move {
            let Ok(from) = stream.peer_addr() else { return };
            let handler = |request| forward::handle(shared.clone(), from.ip(), request);
            serve_http(stream, FORWARDER_IDLE_TIMEOUT, handler).await;
        }
    })
    .await;
}

/// Spawns a task for each accepted connection.
async fn accept<F: Future<Output = ()> + Send + 'static>(
    shared: Arc<Shared>,
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                warn!(shared.log, "failed to accept a connection"; "error" => error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves HTTP on a connection until it closes.
async fn serve_http<B, F>(
    mut stream: TcpStream,
    idle_timeout: Duration,
    handler: impl Fn(Request<Incoming>) -> F,
) where
    B: Body<Data = bytes::Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync,
    F: Future<Output = Result<Response<B>, Infallible>>,
{
    configure_socket(&stream);
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(idle_timeout);
    let ends_with_connection = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        let is_old = request.version() == Version::HTTP_10;
        ends_with_connection.store(is_old, Ordering::Relaxed);
        handler(request)
    });
    let (reader, writer) = stream.split();
    let io = TokioIo::new(tokio::io::join(reader, writer));
    // An error means that the caller disconnected or sent invalid HTTP, or that a response was
    // interrupted. It ends only this connection, and each request on it logs its own end.
    let result = server.serve_connection(io, service).await;
    let is_interrupted = result.is_err_and(|error| error.is_user());
    if is_interrupted && ends_with_connection.load(Ordering::Relaxed) {
        // Closed in order, the connection would end a whole response.
        let _ = stream.set_zero_linger();
    }
}

/// The declared limits on heads and times; connections stay idle for longer.
fn http_limits(shared: &Shared) -> HttpLimits {
    let limits = shared.request_limits();
    HttpLimits {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout + IDLE_MARGIN,
    }
}
