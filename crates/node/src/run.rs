//! Starts and stops a daemon.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use chestnut_base::{Clock, MemberId};
use chestnut_config::Settings;
use chestnut_intake::{
    HttpLimits, Intake, ProcessLimits, QuotaLimits, Server, Share, bind,
};
use chestnut_plat::{ObjectStore, TableClient, VmList};
use chestnut_wire::PeerRequest;
use error_stack::{Report, ResultExt};
use http::Request;
use hyper::body::Incoming;
use hyper_util::service::TowerToHyperService;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::account_limits::AccountLimits;
use crate::entry::{self, RequestLimiter};
use crate::lead::LedServers;
use crate::members::{self, Addresses};
use crate::node::Node;
use crate::peer::{self, Peers};
use crate::pick::Picker;
use crate::poison::PoisonGuard;
use crate::shared::Shared;
use crate::slots::JournalSlots;
use crate::{config_sync, engine, ops, orders, planner, poison, slots, tls};

/// How often a daemon that is shutting down checks whether its work is finished.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What clients may send, and how long their heads and idle connections may last.
///
/// Callers send heads of some hundred bytes, and reuse connections within seconds.
const HTTP_LIMITS: HttpLimits = HttpLimits {
    head_bytes: 32 * 1024,
    head_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(90),
};

/// The most bytes of the heads and bodies of operators' calls that the daemon holds.
const OPERATOR_BYTES: usize = 32 << 20;

/// Why a daemon could not be started.
#[derive(Debug)]
pub enum StartError {
    /// An address that can't be bound.
    Bind(SocketAddr),
    /// Certificates or keys for connections between daemons that can't be used.
    Tls,
    /// An HTTP client that can't be created.
    Client,
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(addr) => {
                write!(f, "{addr} can't be bound; choose a free address in the settings")
            }
            Self::Tls => {
                write!(f, "the certificates or keys for other daemons can't be used")
            }
            Self::Client => write!(f, "the HTTP clients can't be created"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    /// The addresses that it listens on, with the ports that were bound.
    pub addresses: Addresses,
    node: Arc<Node>,
    tasks: JoinSet<()>,
    stop_listeners: CancellationToken,
}

/// Starts a daemon and its tasks; its listeners are bound when this returns.
pub async fn start(
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Logger,
) -> Result<Daemon, Report<StartError>> {
    let (caller_listener, caller) = listen(settings.caller_addr, Share::Callers)?;
    let (ops_listener, ops) = listen(settings.ops_addr, Share::Lookups)?;
    let tls = tls::load(&settings.tls).change_context(StartError::Tls)?;
    let peer_addr = settings.peer_addr;
    let peers =
        Peers::bind(peer_addr, tls).change_context(StartError::Bind(peer_addr))?;
    let peer = peers.local_addr().change_context(StartError::Bind(peer_addr))?;
    let addresses = Addresses { caller, peer, ops };
    let node = Arc::new(build(settings, clock, log, peers)?);

    let mut tasks = JoinSet::new();
    let stop_listeners = CancellationToken::new();
    let endpoint = node.peers.endpoint().clone();
    let observer = node.shared.metrics.clone();
    tasks.spawn(peer::accept(endpoint, node.clone(), observer));
    tasks.spawn(members::run(node.clone(), addresses));
    tasks.spawn(config_sync::run(node.clone()));
    tasks.spawn(orders::run(node.shared.clone()));
    tasks.spawn(poison::run(node.clone()));
    tasks.spawn(slots::run(node.clone()));
    tasks.spawn(planner::run(node.shared.clone()));
    let callers = intake(&node, Share::Callers);
    tasks.spawn(serve(
        Server {
            intake: callers,
            listener: caller_listener,
            configure: |_: &TcpStream| {},
            stop: stop_listeners.clone(),
        },
        entry::router(node.clone()),
    ));
    let operators = intake(&node, Share::Lookups);
    tasks.spawn(serve(
        Server {
            intake: operators,
            listener: ops_listener,
            configure: |_: &TcpStream| {},
            // Operators can inspect the daemon until its tasks end.
            stop: CancellationToken::new(),
        },
        ops::router(node.clone()),
    ));
    info!(node.shared.log, "started"; "caller" => caller.to_string(), "ops" => ops.to_string());
    Ok(Daemon { addresses, node, tasks, stop_listeners })
}

impl Daemon {
    /// Starts the shutdown, which [`Self::run`] carries out.
    pub fn shut_down(&self) {
        self.node.shared.shutting_down.send_replace(true);
    }

    /// The parts of the daemon, for inspection.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Runs until a shutdown is requested and all work is finished.
    ///
    /// During the drain time it still accepts requests, since callers may have cached its
    /// address. Then it closes its listener and finishes all requests in flight; none is
    /// cancelled.
    pub async fn run(mut self) {
        let shared = self.node.shared.clone();
        let mut shutting_down = shared.shutting_down.subscribe();
        // Waiting can't fail, as `shared` holds the sender.
        drop(shutting_down.wait_for(|requested| *requested).await);
        info!(shared.log, "leaving");
        shared.record_shutdown(shared.me);
        self.announce_shutdown().await;
        tokio::time::sleep(shared.settings.times.drain_time).await;
        shared.intake_closed.send_replace(true);
        self.stop_listeners.cancel();
        while !self.node.is_idle() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        self.remove_own_rows().await;
        self.tasks.shutdown().await;
        info!(shared.log, "left");
    }

    /// Stops at once, as if the process were killed.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.node.peers.endpoint().close(1u32.into(), b"killed");
    }

    /// Announces the shutdown to the other daemons, so that they take over before their
    /// next poll.
    async fn announce_shutdown(&self) {
        let request = PeerRequest::ShuttingDown(self.node.shared.me);
        let mut calls = JoinSet::new();
        for (_, addr) in members::other_members(&self.node.shared) {
            let node = self.node.clone();
            let request = request.clone();
            // A daemon that is not reached reads it from the table.
            calls.spawn(async move { drop(node.peers.request(addr, &request).await) });
        }
        calls.join_all().await;
    }

    /// Removes this daemon's rows, so that the others don't wait for its lease to expire.
    async fn remove_own_rows(&self) {
        let shared = &self.node.shared;
        if let Err(error) = members::remove_own_rows(shared).await {
            let why = error.to_string();
            warn!(shared.log, "this daemon's rows remain until its lease expires"; "error" => why);
        }
    }
}

fn build(
    settings: Settings,
    clock: Arc<dyn Clock>,
    log: Logger,
    peers: Peers,
) -> Result<Node, Report<StartError>> {
    let timeout = settings.times.platform_timeout;
    let error = StartError::Client;
    let table = TableClient::new(&settings.table_url, timeout).change_context(error)?;
    let objects = ObjectStore::new(&settings.object_url, timeout)
        .change_context(StartError::Client)?;
    let vms =
        VmList::new(&settings.vms_url, timeout).change_context(StartError::Client)?;
    let http = engine::client().change_context(StartError::Client)?;
    let me = MemberId(rand::random());
    let limits = settings.limits;
    let shared = Arc::new(Shared::new(settings, clock, me, log, table, objects, vms));
    Ok(Node {
        led_servers: LedServers::new(shared.clone()),
        picker: Picker::new(shared.clock.clone(), shared.me.0),
        slots: JournalSlots::new(),
        poison: Arc::new(PoisonGuard::new(&shared)),
        account_limits: AccountLimits::default(),
        request_limiter: RequestLimiter::new(
            limits.max_requests,
            limits.max_buffered_bytes,
        ),
        peers,
        http,
        shared,
        active_jobs: Arc::default(),
    })
}

/// The account of a listener's connections.
fn intake(node: &Node, share: Share) -> Arc<Intake> {
    let shared = &node.shared;
    let limits = shared.settings.limits;
    let whole = ProcessLimits::new(Some(f64::MAX), None).quota(share);
    let (name, bytes) = match share {
        Share::Callers => ("callers", limits.max_buffered_bytes),
        Share::Lookups | Share::Peers => ("operators", OPERATOR_BYTES),
    };
    let connections = whole.connections.min(limits.max_requests);
    let quota = QuotaLimits { connections, bytes };
    let (clock, log) = (shared.clock.clone(), shared.log.clone());
    Arc::new(Intake::new(name, quota, clock, log, shared.metrics.clone()))
}

fn listen(
    addr: SocketAddr,
    share: Share,
) -> Result<(TcpListener, SocketAddr), Report<StartError>> {
    let error = StartError::Bind(addr);
    let backlog = ProcessLimits::new(None, None).backlog(share);
    let listener = bind(addr, backlog).change_context(error)?;
    let bound = listener.local_addr().change_context(StartError::Bind(addr))?;
    Ok((listener, bound))
}

async fn serve(server: Server, router: Router) {
    let service = TowerToHyperService::new(router);
    let handler = move |request: Request<Incoming>, _| {
        hyper::service::Service::call(&service, request)
    };
    server.run(|| HTTP_LIMITS, handler).await;
}
