//! Connections between daemons.
//!
//! Each request has a stream of its own on a shared connection. The responding daemon sends
//! [`PeerResponse::Heartbeat`] while it has no other frame, so that the requesting daemon
//! detects within [`FAILURE_DETECTION_TIMEOUT`] that it was killed, frozen or cut off;
//! otherwise callers would wait for their whole deadline. Connections without open requests
//! send nothing.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_intake::{CloseReason, Observer};
use chestnut_wire::{FrameDecoder, FrameError, PeerRequest, PeerResponse, encode};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::handshakes::{HANDSHAKE_TIMEOUT, Handshakes};
use crate::tls::{PEER_NAME, PeerTls};

/// How long a responding daemon may send nothing before its response counts as lost.
///
/// Three heartbeat intervals; with a shorter timeout a busy VM would count as crashed.
pub const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_millis(1500);

/// The longest time between two frames of a daemon that is responding.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a handshake and of opening a stream.
///
/// Daemons are a few milliseconds apart; two lost packets delay a handshake by under 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of bytes that are read from a stream at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Frames of a response that may be buffered ahead of the connection.
const FRAME_BUFFER: usize = 64;

/// A request to another daemon failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The request was not sent, so that it did not run.
    NotSent(String),
    /// The request may have arrived; its response was interrupted or timed out.
    ResponseLost(String),
}

impl Display for PeerError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(
                f,
                "the other daemon can't be reached ({reason}); check that it runs and is trusted"
            ),
            Self::ResponseLost(reason) => write!(
                f,
                "the response of the other daemon was lost ({reason}); check its logs and state"
            ),
        }
    }
}

impl std::error::Error for PeerError {}

/// The QUIC endpoint could not be bound to this address.
#[derive(Debug)]
pub struct BindError(SocketAddr);

impl Display for BindError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "UDP {} can't be bound; choose a free `peer_addr`", self.0)
    }
}

impl std::error::Error for BindError {}

/// The connections to other daemons.
pub struct Peers {
    endpoint: Endpoint,
    connections: Arc<Connections>,
}

/// Open connections by address.
///
/// One on which a response was lost is removed, and the next request opens another: a daemon
/// that was restarted under the same address can't be reached on the old one. It isn't
/// closed, since other responses on it may go on.
#[derive(Default)]
struct Connections(Mutex<IndexMap<SocketAddr, Connection>>);

impl Peers {
    /// Binds the endpoint that other daemons connect to.
    pub fn bind(addr: SocketAddr, tls: PeerTls) -> Result<Self, Report<BindError>> {
        let mut endpoint =
            Endpoint::server(tls.server, addr).change_context_lazy(|| BindError(addr))?;
        endpoint.set_default_client_config(tls.client);
        Ok(Self { endpoint, connections: Arc::default() })
    }

    /// The bound address; it has the port that the system chose if `bind` was given port 0.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// The endpoint, to accept connections from.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Sends a request to another daemon and returns the stream of its response.
    pub async fn request_stream(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
    ) -> Result<ResponseStream, PeerError> {
        let bytes =
            encode(request).map_err(|error| PeerError::NotSent(error.to_string()))?;
        let conn = self.connect(addr).await?;
        let opened = timeout(CONNECT_TIMEOUT, conn.open_bi()).await;
        let (mut send, recv) = match opened {
            Ok(Ok(streams)) => streams,
            Ok(Err(error)) => {
                self.connections.remove(addr, &conn);
                return Err(PeerError::NotSent(error.to_string()));
            }
            Err(_) => {
                return Err(PeerError::NotSent("timed out opening a stream".into()));
            }
        };
        let response_lost = |error: String| {
            self.connections.remove(addr, &conn);
            PeerError::ResponseLost(error)
        };
        send.write_all(&bytes).await.map_err(|error| response_lost(error.to_string()))?;
        send.finish().map_err(|error| response_lost(error.to_string()))?;
        let connections = self.connections.clone();
        Ok(ResponseStream { recv, frames: FrameDecoder::new(), addr, conn, connections })
    }

    /// Sends a request whose response is a single frame, and returns that frame.
    pub async fn request(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let mut response = self.request_stream(addr, request).await?;
        loop {
            let frame = response.next().await?;
            if frame.is_final() {
                return Ok(frame);
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        let existing = self.connections.lock().get(&addr).cloned();
        if let Some(conn) = existing.filter(|conn| conn.close_reason().is_none()) {
            return Ok(conn);
        }
        let not_sent = |reason: String| PeerError::NotSent(reason);
        let connecting = self
            .endpoint
            .connect(addr, PEER_NAME)
            .map_err(|error| not_sent(error.to_string()))?;
        let conn = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| not_sent("the handshake timed out".into()))?
            .map_err(|error| not_sent(error.to_string()))?;
        self.connections.lock().insert(addr, conn.clone());
        Ok(conn)
    }
}

impl Connections {
    /// Removes a connection, unless a newer one to the address has replaced it.
    fn remove(&self, addr: SocketAddr, conn: &Connection) {
        let mut open = self.lock();
        if open.get(&addr).is_some_and(|current| current.stable_id() == conn.stable_id())
        {
            open.swap_remove(&addr);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, Connection>> {
        self.0.lock().expect("no holder of the connections panics")
    }
}

/// The frames of a response from another daemon.
///
/// Dropping it cancels the request at the other daemon.
pub struct ResponseStream {
    recv: RecvStream,
    frames: FrameDecoder,
    /// The address of the responding daemon.
    addr: SocketAddr,
    /// The connection of this response, and perhaps of others.
    conn: Connection,
    /// The connections that requests use.
    connections: Arc<Connections>,
}

impl ResponseStream {
    /// The next frame; an error if none comes within [`FAILURE_DETECTION_TIMEOUT`].
    ///
    /// After an error, requests to the daemon use another connection.
    pub async fn next(&mut self) -> Result<PeerResponse, PeerError> {
        let frame = self.read_frame().await;
        if frame.is_err() {
            self.connections.remove(self.addr, &self.conn);
        }
        frame
    }

    async fn read_frame(&mut self) -> Result<PeerResponse, PeerError> {
        loop {
            if let Some(frame) = self.frames.decode().map_err(malformed)? {
                return Ok(frame);
            }
            let chunk = timeout(
                FAILURE_DETECTION_TIMEOUT,
                self.recv.read_chunk(READ_CHUNK_BYTES, true),
            )
            .await
            .map_err(|_| PeerError::ResponseLost("no heartbeat".into()))?
            .map_err(|error| PeerError::ResponseLost(error.to_string()))?;
            match chunk {
                Some(chunk) => self.frames.push(&chunk.bytes),
                None => {
                    return Err(PeerError::ResponseLost(
                        "the stream ended before its final frame".into(),
                    ));
                }
            }
        }
    }
}

fn malformed(error: FrameError) -> PeerError {
    PeerError::ResponseLost(error.to_string())
}

/// Handles the requests of other daemons.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request and sends the frames of its response.
    ///
    /// The future ends when the response is complete or the receiver of the frames was
    /// dropped.
    fn handle(
        self: Arc<Self>,
        request: PeerRequest,
        out: mpsc::Sender<PeerResponse>,
    ) -> impl Future<Output = ()> + Send;
}

/// Accepts connections from other daemons until the endpoint closes.
pub async fn accept<S: RequestHandler>(
    endpoint: Endpoint,
    handler: Arc<S>,
    observer: Arc<dyn Observer>,
) {
    let handshakes = Handshakes::default();
    while let Some(incoming) = endpoint.accept().await {
        if handshakes.needs_validation() && incoming.may_retry() {
            // Fails only for senders whose address has been validated.
            let _ = incoming.retry();
            continue;
        }
        let Some(handshake) = handshakes.begin(incoming.remote_address().ip()) else {
            observer.record_close(CloseReason::Full);
            incoming.refuse();
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let opened = timeout(HANDSHAKE_TIMEOUT, incoming.into_future()).await;
            drop(handshake);
            // An untrusted daemon fails here; it gets the reason from its own handshake.
            if let Ok(Ok(conn)) = opened {
                handle_streams(conn, handler).await;
            }
        });
    }
}

async fn handle_streams<S: RequestHandler>(conn: Connection, handler: Arc<S>) {
    while let Ok((send, recv)) = conn.accept_bi().await {
        tokio::spawn(handle_stream(send, recv, handler.clone()));
    }
}

async fn handle_stream<S: RequestHandler>(
    mut send: SendStream,
    mut recv: RecvStream,
    handler: Arc<S>,
) {
    let Some(request) = read_request(&mut recv).await else {
        return;
    };
    let (out, frames) = mpsc::channel(FRAME_BUFFER);
    let task = tokio::spawn(handler.handle(request, out));
    if write_response(&mut send, frames).await.is_none() {
        // The requesting daemon has disconnected. The task is not aborted: it finds its channel
        // closed and cancels the work at the backend server itself.
        drop(task);
    }
}

async fn read_request(recv: &mut RecvStream) -> Option<PeerRequest> {
    let mut frames = FrameDecoder::new();
    loop {
        if let Some(request) = frames.decode().ok()? {
            return Some(request);
        }
        let chunk = recv.read_chunk(READ_CHUNK_BYTES, true).await.ok()??;
        frames.push(&chunk.bytes);
    }
}

/// Writes frames up to the final one; `None` if the requesting daemon stopped reading.
async fn write_response(
    send: &mut SendStream,
    mut frames: mpsc::Receiver<PeerResponse>,
) -> Option<()> {
    loop {
        let frame = tokio::select! {
            frame = timeout(HEARTBEAT_INTERVAL, frames.recv()) => frame.unwrap_or(Some(PeerResponse::Heartbeat))?,
            _ = send.stopped() => return None,
        };
        let last = frame.is_final();
        send.write_all(&encode(&frame).ok()?).await.ok()?;
        if last {
            return send.finish().ok();
        }
    }
}
