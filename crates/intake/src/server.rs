//! Accepts connections and serves HTTP on them within the limits.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::intake::{CloseReason, Connection, Intake};
use crate::metered::Metered;
use crate::quota::Phase;
use crate::shares::{RECEIVE_BUFFER, SEND_BUFFER};

/// The delay after a failed accept, for example when no descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The smallest buffer of a connection that HTTP can be read with, in bytes.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// The shortest field of a head, in bytes: a name of one, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;

/// The most fields of a head; the type of their map holds no more than some 24,000.
const MAX_FIELDS: usize = 16 * 1024;

/// The memory that a field takes beside its bytes, with the copy that is sent to a server.
pub(crate) const FIELD_BYTES: usize = 256;

/// The most bytes of a response that are handed over at a time.
const PIECE_BYTES: usize = 8 * 1024;

/// How long what still arrives is discarded after the last response.
///
/// A connection that is closed while bytes are unread is reset, and the reset may destroy the
/// response on its way.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// How often a request in progress on an evicted connection is looked at.
const EVICTION_POLL_PERIOD: Duration = Duration::from_millis(20);

/// The most bytes that are discarded after the last response.
const LINGER_BYTES: usize = 256 * 1024;

/// The response to a head that has taken too long; the request has not run.
const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// The response to a head for which there is no memory; the request has not run.
const OUT_OF_MEMORY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-length: 0\r\nretry-after: 1\r\nconnection: close\r\n\r\n";

/// What a client may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The longest that a head may take from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// A listener and the account of its connections.
pub struct Server {
    /// The account.
    pub intake: Arc<Intake>,
    /// The listener.
    pub listener: TcpListener,
    /// Sets options of an accepted socket.
    pub configure: fn(&TcpStream),
    /// Tells to accept no more connections, and to close those that are open after the request
    /// in progress.
    pub stop: CancellationToken,
}

/// Listens on an address; the kernel holds few bytes of each connection that are unread at either
/// end, and `backlog` connections that are not accepted.
pub fn bind(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit them. A kernel that refuses them has limits of its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    let _ = socket.set_send_buffer_size(SEND_BUFFER);
    socket.bind(addr)?;
    socket.listen(backlog)
}

impl Server {
    /// Serves requests until it is stopped; `limits` are asked for each connection.
    pub async fn run<H, F, B>(self, limits: impl Fn() -> HttpLimits, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync,
    {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, from)) => {
                    // Without a place for it, the connection closes.
                    let Some(connection) = self.intake.open().await else { continue };
                    (self.configure)(&stream);
                    let (limits, stop) = (limits(), self.stop.clone());
                    let handler = handler.clone();
                    let handler = move |request| handler(request, from);
                    tokio::spawn(serve(stream, connection, limits, stop, handler));
                }
                Err(_) => {
                    self.intake.evict_stalled();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves HTTP on a connection until it closes.
async fn serve<B, F>(
    stream: TcpStream,
    connection: Arc<Connection>,
    limits: HttpLimits,
    stop: CancellationToken,
    handler: impl Fn(Request<Incoming>) -> F,
) where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync,
    F: Future<Output = Result<Response<B>, Infallible>>,
{
    let mut metered = Metered::new(stream, connection.clone(), limits);
    let mut server = http1::Builder::new();
    server
        .max_header_size(limits.head_bytes.saturating_add(1))
        .max_headers((limits.head_bytes / MIN_FIELD_BYTES).clamp(1, MAX_FIELDS))
        .max_buf_size(limits.head_bytes.saturating_add(1).max(MIN_READ_BUFFER));
    let ends_with_connection = AtomicBool::new(false);
    let has_last_response = AtomicBool::new(false);
    let service = service_fn(|mut request: Request<Incoming>| {
        let is_old = request.version() == Version::HTTP_10;
        ends_with_connection.store(is_old, Ordering::Relaxed);
        let was_read_ahead = connection.phase() == Phase::Idle;
        connection.set_phase(match request.body().is_end_stream() {
            true => Phase::Serving,
            false => Phase::Body,
        });
        if was_read_ahead {
            connection.reserve_or_yield(request.headers().len() * FIELD_BYTES);
        }
        request.extensions_mut().insert(connection.clone());
        let (response, connection) = (handler(request), connection.clone());
        let has_last_response = &has_last_response;
        async move {
            let mut response = response.await?;
            if connection.is_evicted() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                has_last_response.store(true, Ordering::Relaxed);
            } else if let Some(size) = response.body().size_hint().exact() {
                connection.begin_response(size as usize);
            }
            let rest = Bytes::new();
            Ok::<_, Infallible>(response.map(|body| TrackedBody {
                body,
                rest,
                connection,
            }))
        }
    });
    let result = {
        let serving = server.serve_connection(TokioIo::new(&mut metered), service);
        let mut serving = std::pin::pin!(serving);
        tokio::select! {
            // What a connection does when it is evicted decides whether it gets a response.
            biased;
            () = must_close(&connection, &has_last_response) => None,
            result = serving.as_mut() => Some(result),
            () = stop.cancelled() => {
                serving.as_mut().graceful_shutdown();
                Some(serving.await)
            }
        }
    };
    let failure = match &result {
        None if connection.phase() == Phase::Responding => Some(CloseReason::Unread),
        None => Some(CloseReason::Evicted),
        Some(Err(error)) if error.is_parse() => Some(CloseReason::InvalidHead),
        Some(_) => metered.failure(),
    };
    if let Some(reason) = failure {
        connection.intake().record_close(reason);
    }
    // An error means that the client disconnected or sent invalid HTTP, or that a response was
    // interrupted. It ends only this connection, and each request on it logs its own end.
    let is_interrupted = result.is_some_and(|r| r.is_err_and(|error| error.is_user()));
    let stream = metered.stream();
    match failure {
        _ if is_interrupted && ends_with_connection.load(Ordering::Relaxed) => {
            // Closed in order, the connection would end a whole response.
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        // Closed in order, the kernel would keep what is unread.
        Some(CloseReason::Unread) => {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        Some(CloseReason::Evicted | CloseReason::IdleTimeout) => {}
        failure => {
            connection.set_phase(Phase::Closing);
            let response = match failure {
                Some(CloseReason::HeadTimeout) => HEAD_TIMEOUT_RESPONSE,
                Some(CloseReason::OutOfMemory) => OUT_OF_MEMORY_RESPONSE,
                _ => &[],
            };
            // The client may read nothing; it then gets no response.
            let _ = timeout(LINGER_TIME, stream.write_all(response)).await;
            linger(stream, &connection).await;
        }
    }
}

/// Waits until a connection has to close that was evicted.
///
/// The handler of a request in progress finds out by itself, and its response is the last one.
async fn must_close(connection: &Connection, has_last_response: &AtomicBool) {
    connection.evicted().await;
    while !has_last_response.load(Ordering::Relaxed) {
        if matches!(connection.phase(), Phase::Idle | Phase::Head | Phase::Responding) {
            return;
        }
        sleep(EVICTION_POLL_PERIOD).await;
    }
    // The client may never read it.
    sleep(LINGER_TIME).await;
}

/// Ends the sending direction and discards what still arrives.
async fn linger(stream: &mut TcpStream, connection: &Connection) {
    let discard = async {
        if stream.shutdown().await.is_err() {
            return;
        }
        let (mut buffer, mut discarded) = ([0; 2048], 0);
        while discarded < LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    };
    // A client whose request was evicted gets its response; other ones have had theirs before.
    let was_evicted = connection.is_evicted();
    tokio::select! {
        _ = timeout(LINGER_TIME, discard) => {}
        () = connection.evicted(), if !was_evicted => {}
    }
}

/// The body of a response; the connection is idle when it ends.
///
/// It is handed over in pieces, so that it ends once its client has read most of it.
struct TrackedBody<B> {
    body: B,
    /// What is left of the last data of the body.
    rest: Bytes,
    connection: Arc<Connection>,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.set_phase(Phase::Idle);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if self.rest.is_empty() {
            let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) if data.len() > PIECE_BYTES => self.rest = data,
                Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(Frame::data(data)))),
                Some(Ok(Err(other))) => return Poll::Ready(Some(Ok(other))),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => return Poll::Ready(None),
            }
        }
        let count = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(count);
        self.connection.record_progress();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        let rest = self.rest.len() as u64;
        match hint.upper() {
            Some(upper) if rest > 0 => {
                let lower = hint.lower() + rest;
                hint = SizeHint::new();
                hint.set_lower(lower);
                hint.set_upper(upper + rest);
            }
            _ => hint.set_lower(hint.lower() + rest),
        }
        hint
    }
}
