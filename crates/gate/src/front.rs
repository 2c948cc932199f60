//! Accepts callers' connections.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client::guard;
use crate::serve;
use crate::shared::Shared;

/// The pause after a connection could not be accepted, when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How much longer than declared an idle connection is kept.
///
/// Callers use connections up to the declared time; closing just then would cut a
/// request that is on its way.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Accepts connections and serves requests on them until the daemon ends.
pub async fn run(shared: Arc<Shared>, listener: TcpListener) {
    accept(shared.clone(), listener, move |stream| {
        let shared = shared.clone();
        async move { serve_connection(shared, stream).await }
    })
    .await;
}

/// Accepts connections and starts a task for each.
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
                warn!(shared.log, "connection not accepted"; "error" => error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let idle = shared.declarations().map(|declared| declared.limits.idle_timeout);
    let idle = idle.unwrap_or_default() + IDLE_SLACK;
    let answer = {
        let shared = shared.clone();
        move |request| serve::answer(shared.clone(), request)
    };
    serve_http(stream, idle, answer).await;
}

/// Serves HTTP on a connection until it ends.
async fn serve_http<B, F>(
    stream: TcpStream,
    idle: Duration,
    answer: impl Fn(Request<Incoming>) -> F,
) where
    B: Body<Data = bytes::Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync,
    F: Future<Output = Result<Response<B>, Infallible>>,
{
    guard(&stream);
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(idle);
    let connection = server.serve_connection(TokioIo::new(stream), service_fn(answer));
    // An error means that the caller is gone or sent no HTTP; both end just this
    // connection, and requests on it have logged their own end.
    drop(connection.await);
}
