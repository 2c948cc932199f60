//! TCP proxies that delay connections, block them in one or both directions, reset them, or
//! repeat responses.
//!
//! A proxy listens on the loopback address and forwards the bytes of each connection to
//! its target. Blocked bytes are delivered late, as after a network partition, even if
//! their sender has timed out meanwhile. A cut concerns the clients with certain addresses
//! alone, and may keep them from connecting.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::repeats::{Exchange, Repeat, Repeats};

/// Buffer size for one read.
const BUFFER_BYTES: usize = 16 * 1024;

/// The fault that a proxy injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Bytes are forwarded at once.
    #[default]
    None,
    /// Each read is forwarded after this delay.
    Delayed(Duration),
    /// Bytes are withheld until the fault ends.
    Blocked {
        /// Whether bytes to the target are withheld.
        to_target: bool,
        /// Whether bytes to the client are withheld.
        to_client: bool,
    },
}

/// How clients are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Packets of open and of new connections are dropped.
    Silent,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// New connections are dropped, and open ones work.
    NewConnections,
}

/// The clients that are cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Cut {
    kind: CutKind,
    clients: Vec<IpAddr>,
}

/// A TCP proxy in front of one target; it stops accepting when dropped.
pub struct Proxy {
    /// Address that clients connect to.
    pub addr: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    target: SocketAddr,
    listener: TcpListener,
    /// `None` while all clients are connected.
    cut: watch::Sender<Option<Cut>>,
    fault: watch::Sender<ProxyFault>,
    /// Number of resets of all connections so far.
    reset_count: watch::Sender<u64>,
    /// Which responses are sent twice.
    repeats: Repeats,
}

/// Direction of the forwarded bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// One direction of a connection.
struct Path<'a> {
    direction: Direction,
    /// The address of the client.
    from: IpAddr,
    state: &'a State,
    exchange: &'a Exchange<'a>,
}

impl Proxy {
    /// Starts a proxy for a target, which need not listen yet.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let (fault, reset_count) = (watch::Sender::default(), watch::Sender::default());
        let (cut, repeats) = (watch::Sender::default(), Repeats::default());
        let state = State { target, listener, cut, fault, reset_count, repeats };
        let state = Arc::new(state);
        let task = tokio::spawn(accept(state.clone()));
        Self { addr, state, task }
    }

    /// Sets the fault of all connections, also of those that are open.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.state.fault.send_replace(fault);
    }

    /// Sends some responses of the target twice from now on; `None` for none.
    pub fn set_repeat(&self, repeat: Option<Repeat>) {
        self.state.repeats.set(repeat);
    }

    /// The number of copies that clients were sent while they waited for another response or
    /// for none.
    pub fn copies(&self) -> usize {
        self.state.repeats.copies()
    }

    /// The number of copies whose client closed the connection before they were sent.
    pub fn unsent_copies(&self) -> usize {
        self.state.repeats.unsent()
    }

    /// Cuts off the clients with these addresses.
    pub fn cut_off(&self, clients: &[IpAddr], kind: CutKind) {
        self.accept_from_all();
        if kind != CutKind::Reset {
            let filter = drop_from(clients);
            let attached = SockRef::from(&self.state.listener).attach_filter(&filter);
            attached.expect("a filter can be attached");
        }
        self.state.cut.send_replace(Some(Cut { kind, clients: clients.to_vec() }));
    }

    /// Connects all clients again.
    pub fn end_cut(&self) {
        self.accept_from_all();
        self.state.cut.send_replace(None);
    }

    fn accept_from_all(&self) {
        // Fails if no filter is attached.
        let _ = SockRef::from(&self.state.listener).detach_filter();
    }

    /// Resets all open connections (TCP RST).
    pub fn reset_connections(&self) {
        self.state.reset_count.send_modify(|reset_count| *reset_count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(state: Arc<State>) {
    loop {
        let (client, from) =
            state.listener.accept().await.expect("file descriptors are available");
        tokio::spawn(relay(client, from.ip(), state.clone()));
    }
}

/// Forwards both directions of a connection until both sides have closed or it is reset.
async fn relay(mut client: TcpStream, from: IpAddr, state: Arc<State>) {
    let mut reset_count = state.reset_count.subscribe();
    let mut cut = state.cut.subscribe();
    if is_cut(&cut.borrow_and_update(), from, CutKind::Reset) {
        return reset(&client);
    }
    let Ok(mut target) = TcpStream::connect(state.target).await else {
        // The client sees a reset, as if nothing listened here.
        return reset(&client);
    };
    let socket = SockRef::from(&client).try_clone().expect("a descriptor is free");
    let finished = {
        let (client_reader, client_writer) = client.split();
        let (target_reader, target_writer) = target.split();
        let exchange = Exchange::new(&state.repeats);
        let path =
            |direction| Path { direction, from, state: &state, exchange: &exchange };
        let to_target = forward(client_reader, target_writer, path(Direction::ToTarget));
        let to_client = forward(target_reader, client_writer, path(Direction::ToClient));
        tokio::select! {
            (to_target, to_client) = async { tokio::join!(to_target, to_client) } => to_target && to_client,
            _ = reset_count.changed() => false,
            () = apply_cuts(&mut cut, from, &socket) => false,
        }
    };
    if !finished {
        reset(&client);
        reset(&target);
    }
}

/// Drops what arrives on a connection while its client is cut off silently; returns once the
/// connection is to be reset.
async fn apply_cuts(
    cut: &mut watch::Receiver<Option<Cut>>,
    from: IpAddr,
    socket: &socket2::Socket,
) {
    let mut is_silent = false;
    loop {
        let (reset, silent) = {
            let cut = cut.borrow_and_update();
            let is = |kind| is_cut(&cut, from, kind);
            (is(CutKind::Reset), is(CutKind::Silent))
        };
        match (is_silent, silent) {
            (false, true) => {
                socket.attach_filter(&drop_from(&[from])).expect("a filter is attached");
            }
            (true, false) => socket.detach_filter().expect("a filter is attached"),
            (true, true) | (false, false) => {}
        }
        is_silent = silent;
        if reset || cut.changed().await.is_err() {
            return;
        }
    }
}

fn is_cut(cut: &Option<Cut>, from: IpAddr, kind: CutKind) -> bool {
    let is_listed = |cut: &Cut| cut.kind == kind && cut.clients.contains(&from);
    cut.as_ref().is_some_and(is_listed)
}

/// A socket filter that drops the packets that come from these addresses.
fn drop_from(clients: &[IpAddr]) -> Vec<SockFilter> {
    // BPF_LD | BPF_W | BPF_ABS, BPF_JMP | BPF_JEQ | BPF_K and BPF_RET | BPF_K; offsets from
    // SKF_NET_OFF are those in the IP header, where the source address is at 12.
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const SOURCE_ADDRESS: u32 = (-0x0010_0000i32 + 12) as u32;
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for client in clients {
        let IpAddr::V4(client) = client else { continue };
        program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, client.to_bits()));
        program.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program
}

/// Forwards one direction up to its end; false if the connection failed.
async fn forward(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    path: Path<'_>,
) -> bool {
    let Path { direction, from, state, exchange } = path;
    let mut fault = state.fault.subscribe();
    let mut cut = state.cut.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let (bytes, is_copy) = tokio::select! {
            biased;
            copy = exchange.next_copy(), if direction == Direction::ToClient => (copy, true),
            count = reader.read(&mut buffer) => {
                let Ok(count) = count else { return false };
                (buffer[..count].to_vec(), false)
            }
        };
        let current = *fault.borrow();
        if let ProxyFault::Delayed(delay) = current {
            sleep(delay).await;
        }
        let unblocked =
            fault.wait_for(|fault| !is_blocked(*fault, direction)).await.is_ok()
                && cut.wait_for(|cut| !is_cut(cut, from, CutKind::Silent)).await.is_ok();
        let written = match bytes.is_empty() {
            true => writer.shutdown().await,
            false => writer.write_all(&bytes).await,
        };
        if !unblocked || written.is_err() {
            return false;
        }
        match direction {
            _ if is_copy => state.repeats.count_copy(),
            Direction::ToTarget => exchange.record_request(&bytes),
            Direction::ToClient => exchange.record_response(&bytes),
        }
        if bytes.is_empty() {
            return true;
        }
    }
}

fn is_blocked(fault: ProxyFault, direction: Direction) -> bool {
    match (fault, direction) {
        (ProxyFault::Blocked { to_target, .. }, Direction::ToTarget) => to_target,
        (ProxyFault::Blocked { to_client, .. }, Direction::ToClient) => to_client,
        (ProxyFault::None | ProxyFault::Delayed(_), _) => false,
    }
}

fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("the socket option can be set");
}
