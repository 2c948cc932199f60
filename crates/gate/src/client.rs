//! The daemon's one HTTP client: connections that are kept, and calls on them.
//!
//! What is sent to whom, and whether it is sent again, is decided by the callers of
//! this module. It tells apart what they need for that: whether any byte of a
//! request was handed to a connection.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::Clock;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How long a connection may take to open.
///
/// Links take 3 ms at most, and a lost opening packet is sent again after a second;
/// a server that is there has answered long before.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before a connection counts as dead.
///
/// A peer that lost power never resets the connection; without the limit requests
/// would be written to it for minutes.
const UNACKED_TIME: Duration = Duration::from_millis(1500);

/// How long a connection is silent before the peer is asked whether it lives.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// For how long an idle connection is kept if the server does not say.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// How long the body of a call's answer may take.
///
/// Half a megabyte takes half a second over the thinnest links of 10 Mbit/s.
const BODY_TIME: Duration = Duration::from_millis(2500);

/// Idle connections that are kept for one address.
const IDLE_LIMIT: usize = 64;

/// A request that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was handed to a connection.
    NotSent(String),
    /// It was sent, and may have been taken.
    Lost(String),
}

impl Display for SendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Lost(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// An open connection; dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Kept connections by address.
pub struct Client {
    clock: Arc<dyn Clock>,
    idle: Mutex<IndexMap<SocketAddr, VecDeque<Idle>>>,
}

/// The head of an answer, its body, and the connection that it comes on.
pub type Answer = (Response<Incoming>, Connection);

impl Client {
    /// Creates a client without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Takes a kept connection or opens one.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        match self.take_idle(addr) {
            Some(connection) => Ok(connection),
            None => open(addr).await,
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    ///
    /// The newest are used first, so that those in use stay fresh and the rest runs
    /// out.
    pub fn release(
        &self,
        addr: SocketAddr,
        connection: Connection,
        hold: Option<Duration>,
    ) {
        // The peer closes after its own time; a margin avoids sending into a close.
        let hold = hold.map_or(IDLE_TIME, |hold| hold.mul_f64(0.7));
        let until = self.clock.now() + hold;
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        let pool = pools.entry(addr).or_default();
        pool.push_back(Idle { connection, until });
        if pool.len() > IDLE_LIMIT {
            pool.pop_front();
        }
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        for pool in pools.values_mut() {
            pool.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        pools.retain(|_, pool| !pool.is_empty());
    }

    /// Makes a whole call: sends a request and reads the answer to its end.
    ///
    /// `wait` is the time to the answer's head; a long body may take longer.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        limit: usize,
        wait: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let late = |what, wait: Duration| {
            SendError::Lost(format!("no {what} within {} ms", wait.as_millis()))
        };
        let head = timeout(wait, self.call_head(addr, request)).await;
        let (response, connection) =
            head.unwrap_or_else(|_| Err(late("answer", wait)))?;
        let (head, body) = response.into_parts();
        let body = timeout(BODY_TIME, Limited::new(body, limit).collect()).await;
        let body = body.map_err(|_| late("end of the answer", BODY_TIME))?;
        let body = body.map_err(|error| SendError::Lost(error.to_string()))?;
        self.release(addr, connection, None);
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    async fn call_head(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Answer, SendError> {
        let connection = self.connect(addr).await?;
        connection.send(with_host(request, addr)).await
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut pools = self.idle.lock().expect("no holder of the lock panics");
        let pool = pools.get_mut(&addr)?;
        pool.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let ready = pool.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        pool.remove(ready).map(|idle| idle.connection)
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(mut self, request: Request<Bytes>) -> Result<Answer, SendError> {
        let request = request.map(Full::new);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(mut fault) => {
                let unsent = fault.take_message().is_some();
                let why = fault.into_error().to_string();
                Err(if unsent { SendError::NotSent(why) } else { SendError::Lost(why) })
            }
        }
    }
}

async fn open(addr: SocketAddr) -> Result<Connection, SendError> {
    let fault = |why: String| SendError::NotSent(format!("connecting to {addr}: {why}"));
    let stream = timeout(CONNECT_TIME, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_| fault("no answer".into()))?;
    let stream = stream.map_err(|error| fault(error.to_string()))?;
    configure_socket(&stream);
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = shaken.map_err(|error| fault(error.to_string()))?;
    // The driver ends with its connection; whoever waits on the sender gets the error.
    let task = tokio::spawn(async move { drop(driver.await) }).abort_handle();
    Ok(Connection { sender, task })
}

/// Makes a connection notice a peer that is gone without a reset.
///
/// The options are a help only: requests have deadlines of their own.
pub fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let alive = TcpKeepalive::new().with_time(PROBE_IDLE).with_interval(PROBE_IDLE);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_keepalive(&alive.with_retries(2));
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIME));
}

fn with_host(mut request: Request<Bytes>, addr: SocketAddr) -> Request<Bytes> {
    if let Ok(host) = addr.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}
