//! TCP proxies that delay connections, block them in one or both directions, or reset
//! them.
//!
//! A proxy listens on the loopback address and forwards the bytes of each connection to
//! its target. Blocked bytes are delivered late, as after a network partition, even if
//! their sender has timed out meanwhile.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

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

/// A TCP proxy in front of one target; it stops accepting when dropped.
pub struct Proxy {
    /// Address that clients connect to.
    pub addr: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    target: SocketAddr,
    fault: watch::Sender<ProxyFault>,
    /// Number of resets of all connections so far.
    reset_count: watch::Sender<u64>,
}

/// Direction of the forwarded bytes.
#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    ToClient,
}

impl Proxy {
    /// Starts a proxy for a target, which need not listen yet.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let (fault, reset_count) = (watch::Sender::default(), watch::Sender::default());
        let state = Arc::new(State { target, fault, reset_count });
        let task = tokio::spawn(accept(listener, state.clone()));
        Self { addr, state, task }
    }

    /// Sets the fault of all connections, also of those that are open.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.state.fault.send_replace(fault);
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

async fn accept(listener: TcpListener, state: Arc<State>) {
    loop {
        let (client, _) =
            listener.accept().await.expect("file descriptors are available");
        tokio::spawn(relay(client, state.clone()));
    }
}

/// Forwards both directions of a connection until both sides have closed or it is reset.
async fn relay(mut client: TcpStream, state: Arc<State>) {
    let mut reset_count = state.reset_count.subscribe();
    let Ok(mut target) = TcpStream::connect(state.target).await else {
        // The client sees a reset, as if nothing listened here.
        return reset(&client);
    };
    let finished = {
        let (client_reader, client_writer) = client.split();
        let (target_reader, target_writer) = target.split();
        let to_target =
            forward(client_reader, target_writer, Direction::ToTarget, &state);
        let to_client =
            forward(target_reader, client_writer, Direction::ToClient, &state);
        tokio::select! {
            (to_target, to_client) = async { tokio::join!(to_target, to_client) } => to_target && to_client,
            _ = reset_count.changed() => false,
        }
    };
    if !finished {
        reset(&client);
        reset(&target);
    }
}

/// Forwards one direction up to its end; false if the connection failed.
async fn forward(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    direction: Direction,
    state: &State,
) -> bool {
    let mut fault = state.fault.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = reader.read(&mut buffer).await else { return false };
        let current = *fault.borrow();
        if let ProxyFault::Delayed(delay) = current {
            sleep(delay).await;
        }
        let unblocked =
            fault.wait_for(|fault| !is_blocked(*fault, direction)).await.is_ok();
        let written = match count {
            0 => writer.shutdown().await,
            _ => writer.write_all(&buffer[..count]).await,
        };
        if !unblocked || written.is_err() {
            return false;
        }
        if count == 0 {
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
