//! Sends and receives datagrams, and tracks which daemons are alive.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{Clock, MemberId};
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::message::{Heartbeat, Message, Packet, TableFreshness};

/// The largest datagram that is received, in bytes.
pub const MAX_PACKET_BYTES: usize = 16 * 1024;

/// How long a daemon counts as alive after its last datagram.
///
/// Three heartbeats, since single datagrams may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// The shortest time between two log lines about strangers.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// How long what is known of a daemon is kept after its last datagram or its removal.
const RETENTION: Duration = Duration::from_secs(60);

/// What another daemon last sent.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// When its last datagram arrived.
    pub last_received_at: Instant,
    /// Its last heartbeat; `None` if none has arrived yet.
    pub heartbeat: Option<Heartbeat>,
    /// Its last view of the store's tables; empty if none has arrived yet.
    pub tables: Vec<TableFreshness>,
}

/// The datagram socket and the state of the other daemons.
pub struct Peers {
    /// The id of this process; a restarted daemon has a new one.
    pub me: MemberId,
    socket: UdpSocket,
    clock: Arc<dyn Clock>,
    log: Logger,
    states: Mutex<IndexMap<MemberId, PeerState>>,
    /// The addresses of daemons that have a row, and of those whose row was removed, with the
    /// time when that was noticed.
    known_ips: Mutex<IndexMap<IpAddr, Option<Instant>>>,
    /// The datagrams of strangers since the last log line, and when that was.
    strangers: Mutex<(u64, Option<Instant>)>,
    pending: Mutex<PendingRequests>,
    sent: Mutex<IndexMap<&'static str, SentCount>>,
}

/// The datagrams of one kind that were sent since the start of the daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SentCount {
    /// Their number.
    pub messages: u64,
    /// Their size, without the headers of the network, in bytes.
    pub bytes: u64,
}

/// Where the response to a request is sent.
pub enum ReplyTo<T> {
    /// To a task of this daemon.
    Local(oneshot::Sender<T>),
    /// To another daemon.
    Remote(SocketAddr),
}

impl<T> ReplyTo<T> {
    /// Sends a response; `to_message` wraps it in a message if it goes to another daemon.
    pub fn send(self, peers: &Peers, response: T, to_message: impl FnOnce(T) -> Message) {
        match self {
            // The receiving task may have been cancelled.
            Self::Local(sender) => drop(sender.send(response)),
            Self::Remote(addr) => peers.send(addr, to_message(response)),
        }
    }
}

/// Requests to other daemons that wait for responses, by number.
struct PendingRequests {
    last_number: u64,
    senders: IndexMap<u64, mpsc::UnboundedSender<Message>>,
}

impl PendingRequests {
    /// Numbers start anywhere, so that a response to an earlier process at this address has
    /// the number of no request; 28 bits take four bytes of a datagram.
    fn new() -> Self {
        let last_number = u64::from(rand::random::<u32>() >> 4);
        Self { last_number, senders: IndexMap::new() }
    }
}

impl Peers {
    /// Binds the datagram socket.
    pub async fn bind(
        me: MemberId,
        addr: SocketAddr,
        clock: Arc<dyn Clock>,
        log: Logger,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        let (states, known_ips) = (Mutex::default(), Mutex::default());
        let (strangers, sent) = (Mutex::default(), Mutex::default());
        let pending = Mutex::new(PendingRequests::new());
        Ok(Self { me, socket, clock, log, states, known_ips, strangers, pending, sent })
    }

    /// Sends a message; drops it if the socket is not ready.
    ///
    /// Lost messages are sent again or not needed, so a full send buffer need not delay a
    /// request.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let kind = message.kind();
        let packet = Packet { from: self.me, message };
        match postcard::to_allocvec(&packet) {
            Ok(bytes) => {
                self.count_sent(kind, bytes.len());
                drop(self.socket.try_send_to(&bytes, to));
            }
            Err(error) => {
                warn!(self.log, "failed to encode a datagram"; "error" => error.to_string());
            }
        }
    }

    fn count_sent(&self, kind: &'static str, bytes: usize) {
        let mut sent = self.sent.lock().expect("no holder of the lock panics");
        let count = sent.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }

    /// The datagrams that were sent since the start of the daemon, by their kind.
    pub fn sent_counts(&self) -> IndexMap<&'static str, SentCount> {
        self.sent.lock().expect("no holder of the lock panics").clone()
    }

    /// Receives the next valid datagram; skips those that can't be decoded.
    pub async fn receive(&self) -> (Packet, SocketAddr) {
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer).await else {
                // The error reports that an earlier datagram could not be delivered.
                continue;
            };
            if let Ok(packet) = postcard::from_bytes(&buffer[..len]) {
                return (packet, from);
            }
        }
    }

    /// Assigns a number to a request; its responses arrive at the receiver.
    ///
    /// There is one response, or one for each time that the request is sent. The request
    /// ends when the receiver is dropped.
    pub fn open_request(&self) -> (u64, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut pending = self.pending.lock().expect("no holder of the lock panics");
        pending.last_number += 1;
        let number = pending.last_number;
        pending.senders.retain(|_, sender| !sender.is_closed());
        pending.senders.insert(number, sender);
        (number, receiver)
    }

    /// Delivers a response to the request with that number, if it is still open.
    pub fn deliver_response(&self, number: u64, message: Message) {
        let pending = self.pending.lock().expect("no holder of the lock panics");
        if let Some(sender) = pending.senders.get(&number) {
            // The receiving task may have been cancelled.
            drop(sender.send(message));
        }
    }

    /// When a daemon last sent anything; `None` if it has sent nothing for a minute.
    pub fn last_received_at(&self, member: MemberId) -> Option<Instant> {
        let states = self.states.lock().expect("no holder of the lock panics");
        states.get(&member).map(|state| state.last_received_at)
    }

    /// Whether a daemon's last known view is behind `tables` in any table.
    pub fn is_behind(&self, member: MemberId, tables: &[TableFreshness]) -> bool {
        let states = self.states.lock().expect("no holder of the lock panics");
        let Some(state) = states.get(&member) else { return true };
        let version = |table: &TableFreshness| table.map(|(version, _)| version);
        let theirs = state.tables.iter().chain(std::iter::repeat(&None));
        tables.iter().zip(theirs).any(|(ours, theirs)| version(theirs) < version(ours))
    }

    /// The daemons that sent anything within the heartbeat timeout.
    pub fn alive_members(&self, now: Instant) -> Vec<MemberId> {
        let states = self.states.lock().expect("no holder of the lock panics");
        let is_alive = |state: &PeerState| {
            now.saturating_duration_since(state.last_received_at) < HEARTBEAT_TIMEOUT
        };
        states.iter().filter(|(_, state)| is_alive(state)).map(|(id, _)| *id).collect()
    }

    /// Whether another daemon that is alive reports that `member` is alive.
    pub fn is_alive_for_others(&self, member: MemberId, now: Instant) -> bool {
        let states = self.states.lock().expect("no holder of the lock panics");
        states.iter().any(|(id, state)| {
            let is_alive =
                now.saturating_duration_since(state.last_received_at) < HEARTBEAT_TIMEOUT;
            let reports_alive = state
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.alive_members.contains(&member));
            *id != member && is_alive && reports_alive
        })
    }

    /// Records the addresses of the daemons that have a row.
    pub fn set_listed(&self, listed: &IndexSet<IpAddr>) {
        let now = self.clock.now();
        let mut known = self.known_ips.lock().expect("no holder of the lock panics");
        for (ip, removed_at) in &mut *known {
            if !listed.contains(ip) {
                removed_at.get_or_insert(now);
            }
        }
        known.extend(listed.iter().map(|ip| (*ip, None)));
        known.retain(|_, removed_at| removed_at.is_none_or(|at| is_retained(at, now)));
    }

    /// Whether a datagram from this address is one of a daemon that has a row, or has had one
    /// until recently.
    ///
    /// Anyone can send datagrams, and what strangers send must take no memory.
    pub fn is_known(&self, ip: IpAddr) -> bool {
        let known = self.known_ips.lock().expect("no holder of the lock panics");
        let removed_at = known.get(&ip);
        removed_at.is_some_and(|at| at.is_none_or(|at| is_retained(at, self.clock.now())))
    }

    /// Logs that a datagram of a stranger was not handled, at most once a second.
    pub fn log_stranger(&self, from: SocketAddr, kind: &'static str) {
        let now = self.clock.now();
        let mut strangers = self.strangers.lock().expect("no holder of the lock panics");
        let (count, logged_at) = &mut *strangers;
        *count += 1;
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_PERIOD) {
            return;
        }
        *logged_at = Some(now);
        info!(self.log, "datagrams of senders without a row not handled";
            "from" => from.to_string(), "kind" => kind, "count" => std::mem::take(count));
    }

    /// Updates the state of the sender of a datagram.
    pub fn record(&self, packet: &Packet) {
        let mut states = self.states.lock().expect("no holder of the lock panics");
        let now = self.clock.now();
        let entry = states.entry(packet.from).or_insert(PeerState {
            last_received_at: now,
            heartbeat: None,
            tables: Vec::new(),
        });
        entry.last_received_at = now;
        match &packet.message {
            Message::Heartbeat(heartbeat) => {
                entry.tables.clone_from(&heartbeat.tables);
                entry.heartbeat = Some(heartbeat.clone());
            }
            Message::TableUpdate(tables) => entry.tables.clone_from(tables),
            _ => {}
        }
        // Restarted daemons have new ids; the states of the old ones are evicted.
        states.retain(|_, state| is_retained(state.last_received_at, now));
    }
}

fn is_retained(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < RETENTION
}
