//! Starts and stops a daemon.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use chestnut_base::{Clock, MemberId};
use chestnut_edge::Dialect;
use error_stack::{Report, ResultExt};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::claims::ClaimHandler;
use crate::members::MemberHandler;
use crate::peers::Peers;
use crate::persisted_timings::EngineTimingsHandler;
use crate::registry::{DeclarationsHandler, ServerHandler};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::table_sync::SystemTableHandler;
use crate::{
    directory, front, introspection, members, planner, receive, table_sync, usage_reports,
};

/// How long a leaving daemon takes requests that callers send to addresses they hold.
///
/// Callers keep an answer of the directory for a second, some three times as long;
/// what is taken later may not be finished in time.
const LEAVE_TIME: Duration = Duration::from_millis(2800);

/// How long the last answers may take to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How often a leaving daemon looks whether it has finished.
const LEAVE_CHECK: Duration = Duration::from_millis(20);

/// What is left of the time to stop for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// How often the settings file is looked at.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// How often idle connections and servers that are gone are cleared away.
const TIDY_PERIOD: Duration = Duration::from_secs(1);

/// A daemon that could not be started.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind(SocketAddr),
    /// Signals can't be received.
    Signals,
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(addr) => {
                write!(f, "{addr} can't be bound; choose a free address in the settings")
            }
            Self::Signals => write!(f, "signals can't be received; free descriptors"),
        }
    }
}

impl std::error::Error for StartError {}

/// Runs a daemon until it was told to stop and has finished its work.
pub async fn run(
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    log: Logger,
) -> Result<(), Report<StartError>> {
    // First of all: a signal that comes before ends the process.
    let mut term = signal(SignalKind::terminate()).change_context(StartError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
    let callers = bind(settings.caller_addr).await?;
    let readiness = bind(settings.readiness_addr).await?;
    let directory = bind(settings.directory_addr).await?;
    let rows = bind(settings.table_changes_addr()).await?;
    let me = MemberId(rand::random());
    let peer_addr = settings.peer_addr();
    let peers = Peers::bind(me, peer_addr, clock.clone(), log.clone()).await;
    let peers = peers.change_context(StartError::Bind(peer_addr))?;
    let shared = Arc::new(Shared::new(settings, dialect, clock, log, peers));
    info!(shared.log, "started"; "callers" => shared.settings.caller_addr.to_string(),
        "directory" => shared.settings.directory_addr.to_string());

    follow_tables(&shared);
    tokio::spawn(receive::run(shared.clone()));
    tokio::spawn(members::run(shared.clone()));
    tokio::spawn(members::run_heartbeats(shared.clone()));
    tokio::spawn(usage_reports::repeat_reports(shared.clone()));
    tokio::spawn(planner::run(shared.clone()));
    tokio::spawn(front::run(shared.clone(), callers));
    tokio::spawn(serve(readiness, directory::readiness_router(shared.clone())));
    tokio::spawn(serve(directory, directory::directory_router(shared.clone())));
    tokio::spawn(serve(rows, directory::table_changes_router(shared.clone())));
    tokio::spawn(show(shared.clone()));
    tokio::spawn(tidy(shared.clone()));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(&shared),
            // The file may change without a signal.
            () = sleep(RELOAD_PERIOD) => reload(&shared),
        }
    }
    leave(&shared).await;
    Ok(())
}

fn follow_tables(shared: &Arc<Shared>) {
    let tables = &shared.tables;
    let declarations = DeclarationsHandler(shared.clone());
    tokio::spawn(table_sync::run(
        shared.clone(),
        tables.declarations.clone(),
        declarations,
    ));
    let servers = ServerHandler(shared.clone());
    tokio::spawn(table_sync::run(shared.clone(), tables.servers.clone(), servers));
    let own = SystemTableHandler {
        members: MemberHandler(shared.clone()),
        claims: ClaimHandler(shared.clone()),
        timings: EngineTimingsHandler(shared.clone()),
    };
    tokio::spawn(table_sync::run(shared.clone(), tables.system.clone(), own));
}

/// Takes over what changed in the settings file; nothing is interrupted by it.
fn reload(shared: &Shared) {
    let Some(path) = &shared.settings.path else { return };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            warn!(shared.log, "settings not taken over"; "error" => error.to_string());
            return;
        }
    };
    let same = *shared.bounds.borrow() == settings.bounds;
    if !same {
        info!(shared.log, "settings taken over"; "bounds" => format!("{:?}", settings.bounds));
        shared.bounds.send_replace(settings.bounds);
    }
}

/// Takes no new callers, and finishes what is in flight.
async fn leave(shared: &Shared) {
    info!(shared.log, "leaving");
    shared.shutting_down.send_replace(true);
    // From now on its claims fall to others.
    shared.membership().leaving.insert(shared.peers.me);
    members::announce_shutdown(shared);
    let stop = shared.bounds.borrow().stop;
    let limit = stop.saturating_sub(STOP_MARGIN);
    let finished = async {
        sleep(LEAVE_TIME).await;
        shared.refusing_requests.send_replace(true);
        while shared.active.count() > 0 {
            sleep(LEAVE_CHECK).await;
        }
        sleep(FLUSH_TIME).await;
    };
    let whole = timeout(limit, finished).await.is_ok();
    members::remove_own_row(shared).await;
    info!(shared.log, "left"; "finished" => whole);
}

async fn tidy(shared: Arc<Shared>) {
    loop {
        sleep(TIDY_PERIOD).await;
        shared.client.tidy();
        shared.fleet().remove_missing(shared.now());
    }
}

/// Serves metrics and the state, if the settings say where.
///
/// A port that something else has taken is no reason to serve no callers.
async fn show(shared: Arc<Shared>) {
    let Some(addr) = shared.settings.metrics_addr else { return };
    match bind(addr).await {
        Ok(listener) => serve(listener, introspection::router(shared)).await,
        Err(error) => {
            warn!(shared.log, "metrics not served"; "error" => error.to_string());
        }
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(addr).await.change_context(StartError::Bind(addr))
}

async fn serve(listener: TcpListener, router: Router) {
    // Serving ends with an error only if the listener is gone, and then so is this.
    drop(axum::serve(listener, router).await);
}
