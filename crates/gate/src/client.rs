//! The daemon's HTTP client: a connection pool, and calls on its connections.
//!
//! The users of this module decide whether to retry a request. For that, errors distinguish
//! whether any byte of the request was handed to a connection.
//!
//! Servers may respond twice, the second time late. A connection is therefore used again only
//! while the id that its peer echoes tells the next response from late ones.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::Clock;
use chestnut_edge::EchoedId;
use chestnut_pool::{Attribution, Exchanges, Reachability};
use chestnut_reply::{check_head, read_body};
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::read_limit::{LimitedBody, LimitedStream, ReadLimit};

/// How long connecting may take.
///
/// Links have a latency of 3 ms at most, so a live server responds long before this. A lost
/// SYN packet is sent again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before the connection is closed.
///
/// A peer that lost power never resets the connection. Without this limit, requests would be
/// written to it for minutes.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);

/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an idle connection stays in the pool if the server announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the body of a response may take after its head.
///
/// Half a megabyte takes half a second over the slowest links of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);

/// The most bytes of a response that a connection reads ahead, and the largest head.
const BUFFER_BYTES: usize = 64 * 1024;

/// The maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was handed to a connection.
    NotSent(String),
    /// The request was sent, and may have been processed.
    Lost(String),
    /// The same; what arrived is no well-formed response.
    Malformed(String),
}

impl Display for SendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Lost(why) => write!(f, "no response: {why}"),
            Self::Malformed(why) => write!(f, "malformed response: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// How the responses of a client's peers are matched to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Matching {
    /// By the ids that they echo.
    ByEcho,
    /// By their order; the peer responds to each request once.
    InOrder,
}

/// Limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The size of the largest body that is read, in bytes.
    pub max_bytes: usize,
    /// The time to the response head; the body has its own time limit.
    pub head_timeout: Duration,
}

/// An open connection; dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    exchanges: Exchanges,
    read_limit: ReadLimit,
    /// Counts it among the connections of its client.
    _open: Arc<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection in the pool.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// A pool of HTTP/1.1 connections by address.
pub struct Client {
    clock: Arc<dyn Clock>,
    /// The address that connections come from, by which other daemons recognize this one.
    source: IpAddr,
    matching: Matching,
    /// The most open connections before an idle one closes for a new one.
    max_open: usize,
    /// Has another reference in each open connection.
    open: Arc<()>,
    idle: Mutex<IndexMap<SocketAddr, VecDeque<IdleConnection>>>,
}

/// A response whose body is still arriving, and its connection.
pub type ResponseAndConnection = (Response<LimitedBody>, Connection);

impl Client {
    /// Creates a client with an empty pool, which connects from `source`.
    pub fn new(clock: Arc<dyn Clock>, source: IpAddr, matching: Matching) -> Self {
        let (max_open, open) = (usize::MAX, Arc::default());
        Self { clock, source, matching, max_open, open, idle: Mutex::default() }
    }

    /// Sets the number of open connections from which an idle one closes for each new one.
    ///
    /// Those in use are bounded by the requests in progress.
    pub fn with_max_open(self, max_open: usize) -> Self {
        Self { max_open, ..self }
    }

    /// The number of open connections, in use or idle.
    pub fn open_count(&self) -> usize {
        Arc::strong_count(&self.open) - 1
    }

    /// Opens a connection, which may take up to `limit`.
    pub async fn open(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, SendError> {
        self.close_surplus();
        let failure =
            |why: String| SendError::NotSent(format!("connecting to {addr}: {why}"));
        let stream = timeout(limit, connect_from(self.source, addr)).await;
        let stream = stream.map_err(|_| failure("timed out".into()))?;
        let stream = stream.map_err(|error| failure(error.to_string()))?;
        self.start(stream).await.map_err(|error| failure(error.to_string()))
    }

    async fn start(&self, stream: TcpStream) -> hyper::Result<Connection> {
        configure_socket(&stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let read_limit = ReadLimit::default();
        let stream = TokioIo::new(LimitedStream::new(stream, read_limit.clone()));
        let (sender, driver) = builder.handshake(stream).await?;
        // The driver ends with its connection. Errors reach the user of the sender.
        let task = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        let (exchanges, open) = (Exchanges::default(), self.open.clone());
        Ok(Connection { sender, task, exchanges, read_limit, _open: open })
    }

    /// Closes the idle connections that expire first, as far as there are too many to open
    /// another one.
    fn close_surplus(&self) {
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        while self.open_count() >= self.max_open {
            let fronts = pools.values_mut().filter(|pool| !pool.is_empty());
            let Some(pool) = fronts.min_by_key(|pool| pool[0].expires_at) else { return };
            pool.pop_front();
        }
    }

    /// Opens a connection to check whether an address accepts any, and keeps it in the pool if
    /// it is still open after `settle_time`.
    pub async fn probe(
        &self,
        addr: SocketAddr,
        limit: Duration,
        settle_time: Duration,
    ) -> Reachability {
        self.close_surplus();
        let stream = match timeout(limit, connect_from(self.source, addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Reachability::Refused;
            }
            Ok(Err(_)) | Err(_) => return Reachability::Silent,
        };
        let Ok(connection) = self.start(stream).await else {
            return Reachability::Closed;
        };
        sleep(settle_time).await;
        if connection.sender.is_closed() {
            return Reachability::Closed;
        }
        self.release(addr, connection, None);
        Reachability::Connected
    }

    /// Returns a connection to the pool after its last response was read to the end, or
    /// closes it if the next response could be mistaken.
    ///
    /// The pool hands out the newest connections first, so that unused ones expire.
    /// `keep_alive` is the idle timeout that the server announced.
    pub fn release(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        match self.matching {
            Matching::ByEcho if !connection.exchanges.is_reusable() => return,
            Matching::ByEcho => {}
            Matching::InOrder => connection.exchanges = Exchanges::default(),
        }
        // The margin avoids sending a request while the peer closes the connection.
        let keep_alive =
            keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| keep_alive.mul_f64(0.7));
        let expires_at = self.clock.now() + keep_alive;
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        let pool = pools.entry(addr).or_default();
        pool.push_back(IdleConnection { connection, expires_at });
        if pool.len() > MAX_IDLE_PER_ADDRESS {
            pool.pop_front();
        }
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        for pool in pools.values_mut() {
            pool.retain(|idle| {
                now < idle.expires_at && !idle.connection.sender.is_closed()
            });
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    /// Sends a request without an id and reads the complete response.
    ///
    /// Where responses are matched by echo, it gets a connection that has carried nothing and that
    /// carries nothing else: no other response can arrive on it.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        CallLimits { max_bytes, head_timeout }: CallLimits,
    ) -> Result<Response<Bytes>, SendError> {
        let timed_out = |missing, limit: Duration| {
            SendError::Lost(format!("no {missing} within {} ms", limit.as_millis()))
        };
        let head = timeout(head_timeout, self.send_on_connection(addr, request)).await;
        let (response, connection) =
            head.unwrap_or_else(|_| Err(timed_out("response", head_timeout)))?;
        let (head, body) = response.into_parts();
        let body = timeout(BODY_TIMEOUT, read_body(body, max_bytes)).await;
        let body = body.map_err(|_| timed_out("end of the response", BODY_TIMEOUT))?;
        let body = body.map_err(|error| SendError::Lost(error.to_string()))?;
        self.release(addr, connection, None);
        Ok(Response::from_parts(head, body))
    }

    async fn send_on_connection(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ResponseAndConnection, SendError> {
        let connection = match self.take_idle(addr, None) {
            Some(connection) => connection,
            None => self.open(addr, CONNECT_TIMEOUT).await?,
        };
        connection.send(with_host(request, addr), None).await
    }

    /// Takes the newest connection to an address that can carry a request with this id from
    /// the pool.
    pub fn take_idle(&self, addr: SocketAddr, id: Option<&str>) -> Option<Connection> {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        let pool = pools.get_mut(&addr)?;
        pool.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        let index = pool.iter().rposition(|IdleConnection { connection, .. }| {
            connection.sender.is_ready() && connection.exchanges.may_carry(id)
        })?;
        pool.remove(index).map(|idle| idle.connection)
    }
}

impl Connection {
    /// The number of requests that were sent.
    pub fn request_count(&self) -> usize {
        self.exchanges.count()
    }

    /// Tells whether a response is the one to the last request.
    pub fn attribute(&mut self, echoed: &EchoedId) -> Attribution {
        self.exchanges.attribute(echoed)
    }

    /// Sends a request with this id and waits for the response head.
    pub async fn send(
        mut self,
        request: Request<Bytes>,
        id: Option<&str>,
    ) -> Result<ResponseAndConnection, SendError> {
        self.exchanges.begin(id);
        self.read_limit.reset();
        let request = request.map(Full::new);
        let sent = self.sender.try_send_request(request).await;
        let limit_check = self.read_limit.check();
        self.read_limit.reset();
        match sent {
            Ok(response) => match check_head(response.status(), response.headers()) {
                Ok(()) => {
                    let limit = self.read_limit.clone();
                    Ok((response.map(|body| LimitedBody::new(body, limit)), self))
                }
                Err(error) => Err(SendError::Malformed(error.to_string())),
            },
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                let error = error.into_error();
                let why = error.to_string();
                Err(match limit_check {
                    _ if not_sent => SendError::NotSent(why),
                    Err(exceeded) => SendError::Malformed(exceeded.to_string()),
                    Ok(()) if error.is_parse() => SendError::Malformed(why),
                    Ok(()) => SendError::Lost(why),
                })
            }
        }
    }
}

/// Connects to an address from one of this VM's own.
pub async fn connect_from(
    source: IpAddr,
    addr: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == addr.is_ipv4() && !source.is_unspecified() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(addr).await
}

/// Sets the socket options that detect a peer that disappeared without a reset.
///
/// Failures are ignored, since requests have their own deadlines.
pub fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive.with_retries(2));
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}

fn with_host(mut request: Request<Bytes>, addr: SocketAddr) -> Request<Bytes> {
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}
