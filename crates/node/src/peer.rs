//! Connections between daemons.
//!
//! Every question has a stream of its own on a shared connection. The daemon
//! that is asked sends [`PeerResponse::Heartbeat`] while it has nothing else to say, so that
//! a daemon that was killed, frozen or cut off shows within [`FAILURE_DETECTION_TIMEOUT`] to
//! whoever waits for it; without it a caller would wait for its whole deadline.
//! Connections that carry no question send nothing.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_wire::{FrameDecoder, FrameError, PeerRequest, PeerResponse, encode};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use quinn::{Connection, Endpoint, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::tls::{PEER_NAME, PeerTls};

/// How long a daemon that answers may be silent before it counts as lost.
///
/// Three missed signs of life; a shorter time takes a busy VM for a dead one.
pub const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_millis(1500);

/// How often a daemon that answers shows that it lives.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection may take to come up.
///
/// Daemons are a few milliseconds apart; two lost packets cost under 1 s.
const CONNECT: Duration = Duration::from_secs(1);

const READ_CHUNK: usize = 16 * 1024;
const FRAMES_AHEAD: usize = 64;

/// The code with which a stream nobody waits for is reset.
const GIVEN_UP: VarInt = VarInt::from_u32(1);

/// A question to another daemon that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The question did not leave this daemon.
    NotSent(String),
    /// The question may have arrived and the answer broke off.
    ResponseLost(String),
}

impl Display for PeerError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(
                f,
                "the other daemon can't be reached ({why}); check that it runs and is trusted"
            ),
            Self::ResponseLost(why) => write!(
                f,
                "the other daemon broke off ({why}); look into its logs and state"
            ),
        }
    }
}

impl std::error::Error for PeerError {}

/// The QUIC endpoint could not be opened.
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
    /// Open connections; one that failed is removed and opened anew.
    open: Mutex<IndexMap<SocketAddr, Connection>>,
}

impl Peers {
    /// Opens the endpoint on which other daemons connect.
    pub fn bind(addr: SocketAddr, tls: PeerTls) -> Result<Self, Report<BindError>> {
        let mut endpoint =
            Endpoint::server(tls.server, addr).change_context_lazy(|| BindError(addr))?;
        endpoint.set_default_client_config(tls.client);
        Ok(Self { endpoint, open: Mutex::default() })
    }

    /// The address that other daemons connect to.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// The endpoint, to accept connections from.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Asks another daemon; the answer is read frame by frame.
    pub async fn request_stream(
        &self,
        addr: SocketAddr,
        ask: &PeerRequest,
    ) -> Result<ResponseStream, PeerError> {
        let bytes = encode(ask).map_err(|error| PeerError::NotSent(error.to_string()))?;
        let conn = self.connect(addr).await?;
        let opened = timeout(CONNECT, conn.open_bi()).await;
        let (mut send, recv) = match opened {
            Ok(Ok(streams)) => streams,
            Ok(Err(error)) => {
                self.drop_connection(addr, &conn);
                return Err(PeerError::NotSent(error.to_string()));
            }
            Err(_) => {
                return Err(PeerError::NotSent("it takes no more questions".into()));
            }
        };
        let lost = |error: String| {
            self.drop_connection(addr, &conn);
            PeerError::ResponseLost(error)
        };
        send.write_all(&bytes).await.map_err(|error| lost(error.to_string()))?;
        send.finish().map_err(|error| lost(error.to_string()))?;
        Ok(ResponseStream { recv, frames: FrameDecoder::new() })
    }

    /// Asks a question that is answered by one frame.
    pub async fn request(
        &self,
        addr: SocketAddr,
        ask: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let mut answer = self.request_stream(addr, ask).await?;
        loop {
            let say = match answer.next().await {
                Ok(say) => say,
                Err(error) => {
                    self.disconnect(addr);
                    return Err(error);
                }
            };
            if say.is_final() {
                return Ok(say);
            }
        }
    }

    /// Closes the connection to a daemon that was found lost.
    ///
    /// A daemon that was started anew under the same address can't be reached on
    /// the old connection; the next question opens a new one.
    pub fn disconnect(&self, addr: SocketAddr) {
        let conn = self.lock().swap_remove(&addr);
        if let Some(conn) = conn {
            conn.close(GIVEN_UP, b"lost");
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        let known = self.lock().get(&addr).cloned();
        if let Some(conn) = known.filter(|conn| conn.close_reason().is_none()) {
            return Ok(conn);
        }
        let fail = |why: String| PeerError::NotSent(why);
        let connecting = self
            .endpoint
            .connect(addr, PEER_NAME)
            .map_err(|error| fail(error.to_string()))?;
        let conn = timeout(CONNECT, connecting)
            .await
            .map_err(|_| fail("no answer to the handshake".into()))?
            .map_err(|error| fail(error.to_string()))?;
        self.lock().insert(addr, conn.clone());
        Ok(conn)
    }

    fn drop_connection(&self, addr: SocketAddr, conn: &Connection) {
        let mut open = self.lock();
        if open.get(&addr).is_some_and(|now| now.stable_id() == conn.stable_id()) {
            open.swap_remove(&addr);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<SocketAddr, Connection>> {
        self.open.lock().expect("no holder of the connections panics")
    }
}

/// An answer that arrives frame by frame.
///
/// Dropping it tells the other daemon that nobody waits any more.
pub struct ResponseStream {
    recv: RecvStream,
    frames: FrameDecoder,
}

impl ResponseStream {
    /// The next frame; an error if the daemon is silent for too long.
    pub async fn next(&mut self) -> Result<PeerResponse, PeerError> {
        loop {
            if let Some(say) = self.frames.decode().map_err(malformed)? {
                return Ok(say);
            }
            let chunk = timeout(
                FAILURE_DETECTION_TIMEOUT,
                self.recv.read_chunk(READ_CHUNK, true),
            )
            .await
            .map_err(|_| PeerError::ResponseLost("no sign of life".into()))?
            .map_err(|error| PeerError::ResponseLost(error.to_string()))?;
            match chunk {
                Some(chunk) => self.frames.push(&chunk.bytes),
                None => {
                    return Err(PeerError::ResponseLost(
                        "ended without an end mark".into(),
                    ));
                }
            }
        }
    }
}

fn malformed(error: FrameError) -> PeerError {
    PeerError::ResponseLost(error.to_string())
}

/// Whoever carries out other daemons' questions.
///
/// The future ends when the answer is whole or the receiver of the frames is gone.
pub trait RequestHandler: Send + Sync + 'static {
    /// Carries out one question and sends the frames of the answer.
    fn handle(
        self: Arc<Self>,
        ask: PeerRequest,
        out: mpsc::Sender<PeerResponse>,
    ) -> impl Future<Output = ()> + Send;
}

/// Accepts connections from other daemons until the endpoint closes.
pub async fn accept<S: RequestHandler>(endpoint: Endpoint, serve: Arc<S>) {
    while let Some(incoming) = endpoint.accept().await {
        let serve = serve.clone();
        tokio::spawn(async move {
            // A daemon that isn't trusted fails here; it sees the reason itself.
            if let Ok(conn) = incoming.await {
                answer_streams(conn, serve).await;
            }
        });
    }
}

async fn answer_streams<S: RequestHandler>(conn: Connection, serve: Arc<S>) {
    while let Ok((send, recv)) = conn.accept_bi().await {
        tokio::spawn(answer_stream(send, recv, serve.clone()));
    }
}

async fn answer_stream<S: RequestHandler>(
    mut send: SendStream,
    mut recv: RecvStream,
    serve: Arc<S>,
) {
    let Some(ask) = read_ask(&mut recv).await else {
        return;
    };
    let (out, frames) = mpsc::channel(FRAMES_AHEAD);
    let job = tokio::spawn(serve.handle(ask, out));
    if write_answer(&mut send, frames).await.is_none() {
        // Nobody waits: the job sees that its frames go nowhere and stops the
        // backend server's work itself, so that it is not aborted here.
        drop(job);
    }
}

async fn read_ask(recv: &mut RecvStream) -> Option<PeerRequest> {
    let mut frames = FrameDecoder::new();
    loop {
        if let Some(ask) = frames.decode().ok()? {
            return Some(ask);
        }
        let chunk = recv.read_chunk(READ_CHUNK, true).await.ok()??;
        frames.push(&chunk.bytes);
    }
}

/// Writes frames until the last one; nothing if the asking daemon went away.
async fn write_answer(
    send: &mut SendStream,
    mut frames: mpsc::Receiver<PeerResponse>,
) -> Option<()> {
    loop {
        let say = tokio::select! {
            say = timeout(HEARTBEAT_INTERVAL, frames.recv()) => say.unwrap_or(Some(PeerResponse::Heartbeat))?,
            _ = send.stopped() => return None,
        };
        let last = say.is_final();
        send.write_all(&encode(&say).ok()?).await.ok()?;
        if last {
            return send.finish().ok();
        }
    }
}
