//! Datagrams to and from other daemons.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{Clock, MemberId};
use indexmap::IndexMap;
use slog::{Logger, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::message::{Heartbeat, Message, Packet, TableFreshness};

/// The largest datagram that is read, in bytes.
pub const MAX_PACKET_BYTES: usize = 16 * 1024;

/// How long a daemon that was heard from counts as alive.
///
/// Three beats: datagrams are lost now and then.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// What was last heard from a daemon.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// When anything was heard.
    pub last_heard: Instant,
    /// Its last beat.
    pub heartbeat: Option<Heartbeat>,
    /// What it last said of the store's tables.
    pub tables: Vec<TableFreshness>,
}

/// Datagrams to and from other daemons.
pub struct Peers {
    /// This start of the daemon.
    pub me: MemberId,
    socket: UdpSocket,
    clock: Arc<dyn Clock>,
    log: Logger,
    heard: Mutex<IndexMap<MemberId, PeerState>>,
    waiting: Mutex<Waiting>,
}

/// Where the answer to a question goes.
pub enum ReplyTo<T> {
    /// To a request of this daemon.
    Local(oneshot::Sender<T>),
    /// To another daemon.
    Remote(SocketAddr),
}

impl<T> ReplyTo<T> {
    /// Answers; `write` puts the answer into a message.
    pub fn send(self, peers: &Peers, answer: T, write: impl FnOnce(T) -> Message) {
        match self {
            // Whoever asked may have given up.
            Self::Local(sender) => drop(sender.send(answer)),
            Self::Remote(addr) => peers.send(addr, write(answer)),
        }
    }
}

/// Questions that wait for their answers.
#[derive(Default)]
struct Waiting {
    last: u64,
    senders: IndexMap<u64, mpsc::UnboundedSender<Message>>,
}

impl Peers {
    /// Binds the socket for datagrams between daemons.
    pub async fn bind(
        me: MemberId,
        addr: SocketAddr,
        clock: Arc<dyn Clock>,
        log: Logger,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        let (heard, waiting) = (Mutex::default(), Mutex::default());
        Ok(Self { me, socket, clock, log, heard, waiting })
    }

    /// Sends a message; what can't be sent now is lost.
    ///
    /// All messages are repeated or done without, so that a full socket must not
    /// hold up a request.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let packet = Packet { from: self.me, message };
        match postcard::to_allocvec(&packet) {
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(error) => {
                warn!(self.log, "datagram not written"; "error" => error.to_string());
            }
        }
    }

    /// Receives the next datagram that can be read.
    pub async fn receive(&self) -> (Packet, SocketAddr) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else {
                // A reset of an earlier datagram shows here; the next may be fine.
                continue;
            };
            if let Ok(packet) = postcard::from_bytes::<Packet>(&buffer[..len]) {
                self.note(&packet);
                return (packet, from);
            }
        }
    }

    /// Draws a number for a question; answers come to the receiver.
    ///
    /// A question gets one answer, or one for each time that it is repeated.
    pub fn open_request(&self) -> (u64, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut waiting = self.waiting.lock().expect("no holder of the lock panics");
        waiting.last += 1;
        let number = waiting.last;
        waiting.senders.retain(|_, sender| !sender.is_closed());
        waiting.senders.insert(number, sender);
        (number, receiver)
    }

    /// Hands an answer to whoever waits for it.
    pub fn deliver_response(&self, number: u64, message: Message) {
        let waiting = self.waiting.lock().expect("no holder of the lock panics");
        if let Some(sender) = waiting.senders.get(&number) {
            // Whoever asked may have given up.
            drop(sender.send(message));
        }
    }

    /// What was last heard from a daemon.
    pub fn peer_state(&self, member: MemberId) -> Option<PeerState> {
        let heard = self.heard.lock().expect("no holder of the lock panics");
        heard.get(&member).cloned()
    }

    /// Whether a daemon was heard from lately.
    pub fn is_alive(&self, member: MemberId, now: Instant) -> bool {
        let heard = self.peer_state(member);
        heard.is_some_and(|heard| {
            now.saturating_duration_since(heard.last_heard) < HEARTBEAT_TIMEOUT
        })
    }

    /// Whether a daemon is not known to have all that `news` tells of the tables.
    pub fn is_behind(&self, member: MemberId, news: &[TableFreshness]) -> bool {
        let heard = self.heard.lock().expect("no holder of the lock panics");
        let Some(heard) = heard.get(&member) else { return true };
        let version = |table: &TableFreshness| table.map(|(version, _)| version);
        let known = heard.tables.iter().chain(std::iter::repeat(&None));
        news.iter().zip(known).any(|(new, known)| version(known) < version(new))
    }

    /// The daemons that were heard from lately.
    pub fn alive_members(&self, now: Instant) -> Vec<MemberId> {
        let heard = self.heard.lock().expect("no holder of the lock panics");
        let fresh = |heard: &PeerState| {
            now.saturating_duration_since(heard.last_heard) < HEARTBEAT_TIMEOUT
        };
        heard.iter().filter(|(_, heard)| fresh(heard)).map(|(id, _)| *id).collect()
    }

    /// Whether a daemon that was heard from lately has itself heard from `member`.
    pub fn is_heard_by_others(&self, member: MemberId, now: Instant) -> bool {
        let heard = self.heard.lock().expect("no holder of the lock panics");
        heard.iter().any(|(id, heard)| {
            let fresh =
                now.saturating_duration_since(heard.last_heard) < HEARTBEAT_TIMEOUT;
            let names =
                heard.heartbeat.as_ref().is_some_and(|b| b.heard_from.contains(&member));
            *id != member && fresh && names
        })
    }

    fn note(&self, packet: &Packet) {
        let mut heard = self.heard.lock().expect("no holder of the lock panics");
        let now = self.clock.now();
        let entry = heard.entry(packet.from).or_insert(PeerState {
            last_heard: now,
            heartbeat: None,
            tables: Vec::new(),
        });
        entry.last_heard = now;
        match &packet.message {
            Message::Heartbeat(beat) => {
                entry.tables.clone_from(&beat.tables);
                entry.heartbeat = Some(beat.clone());
            }
            Message::TableUpdate(tables) => entry.tables.clone_from(tables),
            _ => {}
        }
        // Restarted daemons have new numbers; the old ones fade.
        let limit = Duration::from_secs(60);
        heard.retain(|_, heard| now.saturating_duration_since(heard.last_heard) < limit);
    }
}
