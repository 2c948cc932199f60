//! Starts and stops a daemon.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use chestnut_base::{Clock, MemberId};
use chestnut_config::Settings;
use chestnut_plat::{ObjectStore, TableClient, VmList};
use chestnut_wire::PeerRequest;
use error_stack::{Report, ResultExt};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::entry::{self, Intake};
use crate::lead::Leads;
use crate::members::{self, Addresses};
use crate::node::Node;
use crate::peer::{self, Peers};
use crate::pick::Picker;
use crate::poison::Poison;
use crate::shared::Shared;
use crate::slots::Slots;
use crate::{confsync, engine, ops, orders, planner, poison, slots, tls};

/// How often a leaving daemon looks whether all its work is done.
const LEAVE_CHECK: Duration = Duration::from_millis(50);

/// A daemon that could not be started.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind(SocketAddr),
    /// Keys or trust between daemons can't be used.
    Tls,
    /// A client can't be set up.
    Client,
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(addr) => {
                write!(f, "{addr} can't be bound; choose a free address in the settings")
            }
            Self::Tls => write!(f, "the keys between daemons can't be used"),
            Self::Client => write!(f, "the HTTP clients can't be set up"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    /// Where it can be reached.
    pub addresses: Addresses,
    node: Arc<Node>,
    tasks: JoinSet<()>,
    listeners: CancellationToken,
}

/// Starts a daemon.
pub async fn start(
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Logger,
) -> Result<Daemon, Report<StartError>> {
    let (callers, caller) = bind(settings.caller_addr).await?;
    let (operators, ops) = bind(settings.ops_addr).await?;
    let tls = tls::load(&settings.tls).change_context(StartError::Tls)?;
    let peer_addr = settings.peer_addr;
    let peers =
        Peers::bind(peer_addr, tls).change_context(StartError::Bind(peer_addr))?;
    let peer = peers.local_addr().change_context(StartError::Bind(peer_addr))?;
    let addresses = Addresses { caller, peer, ops };
    let node = Arc::new(build(settings, clock, log, peers)?);

    let mut tasks = JoinSet::new();
    let listeners = CancellationToken::new();
    let endpoint = node.peers.endpoint().clone();
    tasks.spawn(peer::accept(endpoint, node.clone()));
    tasks.spawn(members::run(node.clone(), addresses));
    tasks.spawn(confsync::run(node.clone()));
    tasks.spawn(orders::run(node.shared.clone()));
    tasks.spawn(poison::run(node.clone()));
    tasks.spawn(slots::keep(node.clone()));
    tasks.spawn(planner::run(node.shared.clone()));
    tasks.spawn(serve(callers, entry::router(node.clone()), listeners.clone()));
    // Operators look at a daemon until it is gone.
    tasks.spawn(serve(operators, ops::router(node.clone()), CancellationToken::new()));
    info!(node.shared.log, "started"; "caller" => caller.to_string(), "ops" => ops.to_string());
    Ok(Daemon { addresses, node, tasks, listeners })
}

impl Daemon {
    /// Tells the daemon to leave.
    pub fn leave(&self) {
        self.node.shared.leaving.send_replace(true);
    }

    /// The parts of the daemon, to look at.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Runs until the daemon was told to leave and has finished all its work.
    ///
    /// It takes requests for a while that callers send to an address they hold,
    /// and passes them on; then it closes its listener and finishes what is in
    /// flight. Nothing is cut off.
    pub async fn run(mut self) {
        let shared = self.node.shared.clone();
        let mut leaving = shared.leaving.subscribe();
        // The sender lives in `shared`, so that waiting can't fail.
        drop(leaving.wait_for(|leaving| *leaving).await);
        info!(shared.log, "leaving");
        shared.note_leaving(shared.me);
        self.tell_others().await;
        tokio::time::sleep(shared.settings.times.drain_time).await;
        shared.closed.send_replace(true);
        self.listeners.cancel();
        while !self.node.is_idle() {
            tokio::time::sleep(LEAVE_CHECK).await;
        }
        self.resign().await;
        self.tasks.shutdown().await;
        info!(shared.log, "left");
    }

    /// Stops at once, as if the process had been killed.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.node.peers.endpoint().close(1u32.into(), b"killed");
    }

    /// Tells the other daemons, so that they take over before the next poll.
    async fn tell_others(&self) {
        let ask = PeerRequest::ShuttingDown(self.node.shared.me);
        let mut calls = JoinSet::new();
        for (_, addr) in members::others(&self.node.shared) {
            let node = self.node.clone();
            let ask = ask.clone();
            // One that is not reached learns it from the table.
            calls.spawn(async move { drop(node.peers.ask_once(addr, &ask).await) });
        }
        calls.join_all().await;
    }

    /// Removes the own rows, so that nobody waits for the lease to lapse.
    async fn resign(&self) {
        let shared = &self.node.shared;
        if let Err(error) = members::resign(shared).await {
            let why = error.to_string();
            warn!(shared.log, "the own rows remain until the lease lapses"; "error" => why);
        }
    }
}

fn build(
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Logger,
    peers: Peers,
) -> Result<Node, Report<StartError>> {
    let wait = settings.times.platform_timeout;
    let client = StartError::Client;
    let table = TableClient::new(&settings.table_url, wait).change_context(client)?;
    let objects = ObjectStore::new(&settings.object_url, wait)
        .change_context(StartError::Client)?;
    let vms = VmList::new(&settings.vms_url, wait).change_context(StartError::Client)?;
    let http = engine::client().change_context(StartError::Client)?;
    let me = MemberId(rand::random());
    let limits = settings.limits;
    let shared = Arc::new(Shared::new(settings, clock, me, log, table, objects, vms));
    Ok(Node {
        leads: Leads::new(shared.clone()),
        picker: Picker::new(shared.clock.clone(), shared.me.0),
        slots: Slots::new(),
        poison: Arc::new(Poison::new(&shared)),
        intake: Intake::new(limits.max_requests, limits.max_buffered_bytes),
        peers,
        http,
        shared,
        serving: Arc::default(),
    })
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), Report<StartError>> {
    let fail = StartError::Bind(addr);
    let listener = TcpListener::bind(addr).await.change_context(fail)?;
    let bound = listener.local_addr().change_context(StartError::Bind(addr))?;
    Ok((listener, bound))
}

async fn serve(listener: TcpListener, router: Router, stop: CancellationToken) {
    let stopped = async move { stop.cancelled().await };
    // Serving ends with an error only if the listener is gone, and then so is this.
    drop(axum::serve(listener, router).with_graceful_shutdown(stopped).await);
}
