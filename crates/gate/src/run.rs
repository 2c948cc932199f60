//! Starts and stops a daemon.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{Clock, Incarnation, MemberId};
use chestnut_edge::Dialect;
use chestnut_intake::{Intake, Share};
use error_stack::{Report, ResultExt};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::blocked_requests::BlockedRequestHandler;
use crate::claims::ClaimHandler;
use crate::listener::Intakes;
use crate::members::MemberHandler;
use crate::peers::Peers;
use crate::persisted_timings::EngineTimingsHandler;
use crate::registry::{DeclarationsHandler, ServerHandler};
use crate::settings::Settings;
use crate::share_rows::ShareHandler;
use crate::shared::{Shared, StopTimes};
use crate::software_rows::SoftwareHandler;
use crate::table_sync::SystemTableHandler;
use crate::{
    directory, introspection, listener, members, paths, planner, receive, software_rows,
    table_sync, usage_reports,
};

/// How long a daemon that shuts down still accepts requests, which callers send to cached
/// addresses.
///
/// Callers cache a response of the directory for a second, some for three times as long.
/// Requests accepted later might not finish in time.
const DRAIN_TIME: Duration = Duration::from_millis(2800);

/// Time for the last responses to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How often a daemon that shuts down checks whether its requests have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// The fraction of [`Bounds::stop`](crate::settings::Bounds::stop) for which requests may wait
/// for a server.
///
/// A request that still waits when the process exits gets no answer. Refused in the middle,
/// its caller can turn to another daemon, and one that is sent before has the rest to end.
const WAIT_FRACTION: f64 = 0.5;

/// The part of [`Bounds::stop`](crate::settings::Bounds::stop) that is reserved for the exit
/// of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long before the end of that time requests without a response are answered, so that the
/// answers reach their callers.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// How often the settings file is read again.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// How often the traffic to other daemons is logged.
const TRAFFIC_LOG_PERIOD: Duration = Duration::from_secs(10);

/// How often idle connections and servers missing from the registry are removed.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// Why a daemon could not be started.
#[derive(Debug)]
pub enum StartError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// Signal handlers can't be installed.
    Signals,
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(addr) => {
                write!(f, "can't bind {addr}; choose a free address in the settings")
            }
            Self::Signals => {
                write!(f, "can't receive signals; free some file descriptors")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Runs a daemon until it receives SIGTERM and has finished its requests.
pub async fn run(
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    log: Logger,
) -> Result<(), Report<StartError>> {
    // Signal handlers are installed first, since an unhandled signal ends the process.
    let mut sigterm =
        signal(SignalKind::terminate()).change_context(StartError::Signals)?;
    let mut sighup = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
    let callers = bind(&settings, settings.caller_addr, Share::Callers)?;
    let readiness = bind(&settings, settings.readiness_addr, Share::Lookups)?;
    let directory = bind(&settings, settings.directory_addr, Share::Lookups)?;
    let table_changes = bind(&settings, settings.table_changes_addr(), Share::Peers)?;
    let me = MemberId(rand::random());
    let peer_addr = settings.peer_addr();
    let forwarded = bind(&settings, peer_addr, Share::Peers)?;
    let peers = Peers::bind(me, peer_addr, clock.clone(), log.clone()).await;
    let peers = peers.change_context(StartError::Bind(peer_addr))?;
    let shared = Arc::new(Shared::new(settings, dialect, clock, log, peers));
    info!(shared.log, "started"; "callers" => shared.settings.caller_addr.to_string(),
        "directory" => shared.settings.directory_addr.to_string());

    start_table_sync(&shared);
    tokio::spawn(receive::run(shared.clone()));
    tokio::spawn(members::run(shared.clone()));
    tokio::spawn(members::run_heartbeats(shared.clone()));
    tokio::spawn(usage_reports::repeat_reports(shared.clone()));
    tokio::spawn(planner::run(shared.clone()));
    let intakes = Intakes::new(&shared);
    tokio::spawn(listener::run(shared.clone(), intakes.callers, callers));
    let peers = &intakes.peers;
    tokio::spawn(listener::run_forwarder(shared.clone(), peers.clone(), forwarded));
    let lookups = &intakes.lookups;
    for (intake, listener, router) in [
        (lookups, readiness, directory::readiness_router(shared.clone())),
        (lookups, directory, directory::directory_router(shared.clone())),
        (peers, table_changes, directory::table_changes_router(shared.clone())),
    ] {
        let intake = intake.clone();
        tokio::spawn(listener::run_router(shared.clone(), intake, listener, router));
    }
    tokio::spawn(serve_introspection(shared.clone(), lookups.clone()));
    tokio::spawn(paths::run(shared.clone()));
    tokio::spawn(prune(shared.clone()));
    tokio::spawn(software_rows::run(shared.clone()));
    tokio::spawn(log_traffic(shared.clone()));
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sighup.recv() => reload(&shared),
            // The file may change without a signal.
            () = sleep(RELOAD_PERIOD) => reload(&shared),
        }
    }
    shut_down(&shared).await;
    Ok(())
}

fn start_table_sync(shared: &Arc<Shared>) {
    let tables = &shared.tables;
    let declarations = DeclarationsHandler(shared.clone());
    tokio::spawn(table_sync::run(
        shared.clone(),
        tables.declarations.clone(),
        declarations,
    ));
    let servers = ServerHandler(shared.clone());
    tokio::spawn(table_sync::run(shared.clone(), tables.servers.clone(), servers));
    let system = SystemTableHandler {
        members: MemberHandler(shared.clone()),
        shares: ShareHandler(shared.clone()),
        claims: ClaimHandler(shared.clone()),
        timings: EngineTimingsHandler(shared.clone()),
        blocked: BlockedRequestHandler(shared.clone()),
        software: SoftwareHandler(shared.clone()),
    };
    tokio::spawn(table_sync::run(shared.clone(), tables.system.clone(), system));
}

/// Applies the bounds from the settings file without interrupting requests.
fn reload(shared: &Shared) {
    let Some(path) = &shared.settings.path else { return };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(shared.log, "failed to reload settings"; "error" => error.to_string());
            return;
        }
    };
    let is_unchanged = *shared.bounds.borrow() == settings.bounds;
    if !is_unchanged {
        info!(shared.log, "settings reloaded"; "bounds" => format!("{:?}", settings.bounds));
        shared.bounds.send_replace(settings.bounds);
    }
}

/// Refuses requests after [`DRAIN_TIME`], waits for those in progress, and removes the daemon's
/// row.
async fn shut_down(shared: &Shared) {
    info!(shared.log, "leaving");
    shared.shutting_down.send_replace(true);
    // From now on its claims are assigned to other daemons.
    shared.membership().leaving.insert(shared.peers.me);
    members::announce_shutdown(shared);
    let (now, stop_time) = (shared.now(), shared.bounds.borrow().stop);
    let time_limit = stop_time.saturating_sub(EXIT_MARGIN);
    shared.stop_times.send_replace(Some(StopTimes {
        wait_end: now + stop_time.mul_f64(WAIT_FRACTION),
        response_end: now + time_limit.saturating_sub(RESPONSE_MARGIN),
    }));
    let finished = async {
        sleep(DRAIN_TIME).await;
        shared.refusing_requests.send_replace(true);
        while shared.active.count() > 0 {
            sleep(DRAIN_POLL_PERIOD).await;
        }
        sleep(FLUSH_TIME).await;
    };
    let finished_in_time = timeout(time_limit, finished).await.is_ok();
    members::remove_own_row(shared).await;
    info!(shared.log, "left"; "finished" => finished_in_time);
}

/// Logs what was sent to other daemons, by the kind of message.
async fn log_traffic(shared: Arc<Shared>) {
    loop {
        sleep(TRAFFIC_LOG_PERIOD).await;
        let sent = shared.peers.sent_counts();
        let bytes: Vec<String> =
            sent.iter().map(|(kind, count)| format!("{kind} {}", count.bytes)).collect();
        info!(shared.log, "datagrams sent"; "bytes" => bytes.join(", "));
    }
}

async fn prune(shared: Arc<Shared>) {
    loop {
        sleep(PRUNE_PERIOD).await;
        for client in [&shared.client, &shared.store_client] {
            client.close_expired();
        }
        let listed: Vec<Incarnation> = {
            let mut fleet = shared.fleet();
            fleet.remove_missing(shared.now());
            fleet.iter().map(|(_, server)| server.incarnation()).collect()
        };
        shared.server_limits().retain(|server| listed.contains(server));
    }
}

/// Serves metrics and the daemon's state, if the settings have an address for them.
///
/// If the port is taken, the daemon serves callers nonetheless.
async fn serve_introspection(shared: Arc<Shared>, intake: Arc<Intake>) {
    let Some(addr) = shared.settings.metrics_addr else { return };
    match bind(&shared.settings, addr, Share::Lookups) {
        Ok(listener) => {
            let router = introspection::router(shared.clone());
            listener::run_router(shared, intake, listener, router).await;
        }
        Err(error) => {
            warn!(shared.log, "failed to serve metrics"; "error" => error.to_string());
        }
    }
}

fn bind(
    settings: &Settings,
    addr: SocketAddr,
    share: Share,
) -> Result<TcpListener, Report<StartError>> {
    let backlog = settings.process_limits().backlog(share);
    chestnut_intake::bind(addr, backlog).change_context(StartError::Bind(addr))
}
