//! Connections that are delayed, silenced in one direction or both, or reset.
//!
//! A link is a proxy on the loopback address: it passes the bytes of each connection on to
//! its target. What it holds back arrives later, as on a network that is cut for a while,
//! also when whoever sent it has given up meanwhile.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// What goes wrong on a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes arrive later by this time.
    Delayed(Duration),
    /// Bytes are held back.
    Held {
        /// Those on their way to the target.
        there: bool,
        /// Those on their way back.
        back: bool,
    },
}

/// A proxy before one target.
pub struct Link {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    target: SocketAddr,
    fault: watch::Sender<LinkFault>,
    /// How often all connections were reset.
    resets: watch::Sender<u64>,
}

/// The direction in which bytes are passed on.
#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

impl Link {
    /// Starts a link to a target, which need not listen yet.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let (fault, resets) = (watch::Sender::default(), watch::Sender::default());
        let state = Arc::new(State { target, fault, resets });
        let task = tokio::spawn(accept(listener, state.clone()));
        Self { addr, state, task }
    }

    /// Makes connections fail from now on.
    pub fn fail(&self, fault: LinkFault) {
        self.state.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    loop {
        let (near, _) = listener.accept().await.expect("descriptors do not run out");
        tokio::spawn(pass(near, state.clone()));
    }
}

/// Passes a connection's bytes on until both sides have ended or it is reset.
async fn pass(mut near: TcpStream, state: Arc<State>) {
    let mut resets = state.resets.subscribe();
    let Ok(mut far) = TcpStream::connect(state.target).await else {
        // As if nothing listened here.
        return reset(&near);
    };
    let ended = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let there = pump(near_in, far_out, Way::There, &state);
        let back = pump(far_in, near_out, Way::Back, &state);
        tokio::select! {
            (there, back) = async { tokio::join!(there, back) } => there && back,
            _ = resets.changed() => false,
        }
    };
    if !ended {
        reset(&near);
        reset(&far);
    }
}

/// Passes bytes on in one direction up to their end; false if that was cut off.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    way: Way,
    state: &State,
) -> bool {
    let mut fault = state.fault.subscribe();
    let mut bytes = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return false };
        let now = *fault.borrow();
        if let LinkFault::Delayed(time) = now {
            sleep(time).await;
        }
        let open = fault.wait_for(|fault| !holds(*fault, way)).await.is_ok();
        let passed = match count {
            0 => to.shutdown().await,
            _ => to.write_all(&bytes[..count]).await,
        };
        if !open || passed.is_err() {
            return false;
        }
        if count == 0 {
            return true;
        }
    }
}

fn holds(fault: LinkFault, way: Way) -> bool {
    match (fault, way) {
        (LinkFault::Held { there, .. }, Way::There) => there,
        (LinkFault::Held { back, .. }, Way::Back) => back,
        (LinkFault::None | LinkFault::Delayed(_), _) => false,
    }
}

fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("a socket takes its options");
}
