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

use crate::claims::Claims;
use crate::follow::Own;
use crate::learnt::EngineRows;
use crate::members::Members;
use crate::peers::Peers;
use crate::registry::{Declarations, Servers};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{directory, follow, listener, members, observe, planner, receive, sums};

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
    let callers = bind(settings.callers).await?;
    let readiness = bind(settings.readiness).await?;
    let directory = bind(settings.directory).await?;
    let rows = bind(settings.rows_addr()).await?;
    let me = MemberId(rand::random());
    let peer_addr = settings.peer_addr();
    let peers = Peers::bind(me, peer_addr, clock.clone(), log.clone()).await;
    let peers = peers.change_context(StartError::Bind(peer_addr))?;
    let shared = Arc::new(Shared::new(settings, dialect, clock, log, peers));
    info!(shared.log, "started"; "callers" => shared.settings.callers.to_string(),
        "directory" => shared.settings.directory.to_string());

    follow_tables(&shared);
    tokio::spawn(receive::run(shared.clone()));
    tokio::spawn(members::run(shared.clone()));
    tokio::spawn(members::run_beats(shared.clone()));
    tokio::spawn(sums::repeat(shared.clone()));
    tokio::spawn(planner::run(shared.clone()));
    tokio::spawn(listener::run(shared.clone(), callers));
    tokio::spawn(serve(readiness, directory::readiness(shared.clone())));
    tokio::spawn(serve(directory, directory::directory(shared.clone())));
    tokio::spawn(serve(rows, directory::rows(shared.clone())));
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
    let declarations = Declarations(shared.clone());
    tokio::spawn(follow::run(shared.clone(), tables.declared.clone(), declarations));
    let servers = Servers(shared.clone());
    tokio::spawn(follow::run(shared.clone(), tables.servers.clone(), servers));
    let own = Own {
        members: Members(shared.clone()),
        claims: Claims(shared.clone()),
        engines: EngineRows(shared.clone()),
    };
    tokio::spawn(follow::run(shared.clone(), tables.own.clone(), own));
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
    shared.leaving.send_replace(true);
    // From now on its claims fall to others.
    shared.known().leaving.insert(shared.peers.me);
    members::say_leaving(shared);
    let stop = shared.bounds.borrow().stop;
    let limit = stop.saturating_sub(STOP_MARGIN);
    let finished = async {
        sleep(LEAVE_TIME).await;
        shared.closing.send_replace(true);
        while shared.active.count() > 0 {
            sleep(LEAVE_CHECK).await;
        }
        sleep(FLUSH_TIME).await;
    };
    let whole = timeout(limit, finished).await.is_ok();
    members::resign(shared).await;
    info!(shared.log, "left"; "finished" => whole);
}

async fn tidy(shared: Arc<Shared>) {
    loop {
        sleep(TIDY_PERIOD).await;
        shared.client.close_expired();
        shared.fleet().remove_missing(shared.now());
    }
}

/// Serves metrics and the state, if the settings say where.
///
/// A port that something else has taken is no reason to serve no callers.
async fn show(shared: Arc<Shared>) {
    let Some(addr) = shared.settings.metrics else { return };
    match bind(addr).await {
        Ok(listener) => serve(listener, observe::router(shared)).await,
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
