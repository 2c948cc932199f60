//! The ways of this daemon's requests to backend servers.
//!
//! A connection that can't be opened says little about the server: the link of this daemon
//! may be at fault. So the daemon asks others whether they reach the server, and probes it
//! until it does so itself. [`chestnut_pool::paths`] decides by that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{Incarnation, MemberId};
use chestnut_member::MemberRow;
use chestnut_pool::paths::{self, choose_witnesses};
use chestnut_pool::{Forwarder, Path, Reachability};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::attempt::Target;
use crate::client::{CONNECT_TIMEOUT, Connection, SendError};
use crate::members;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;

/// How long connecting to a daemon that is to forward a request may take.
const FORWARDER_TIMEOUT: Duration = Duration::from_millis(150);

/// How often it is checked which servers are to be probed.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// How long a probe may take to connect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a connection must stay open for the server to count as reached. A link may reset
/// connections after they are accepted.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// How long another daemon may take to answer whether it reaches a server: the time of its
/// probe, and some for the way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(270);

/// How long the other answers are waited for after the first one that a server refuses
/// connections; those that it accepts some take longer.
const SECOND_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// The number of daemons that are asked whether they reach a server.
const MAX_WITNESSES: usize = 5;

/// Records whether a server accepted a connection of this daemon.
pub fn record_connection(
    shared: &Shared,
    server: &Incarnation,
    reachability: Reachability,
    why: &str,
) {
    let now = shared.now();
    if reachability == Reachability::Connected {
        if shared.paths().record_connected(server, now) {
            shared.metrics.count(Step::Path, "regained");
            info!(shared.log, "path to server regained"; "server" => server.server.as_str(),
                "started_at" => server.started_at);
        }
        return;
    }
    if shared.paths().record_unconnected(server, now) {
        shared.metrics.count(Step::Path, "lost");
        warn!(shared.log, "path to server lost"; "server" => server.server.as_str(),
            "started_at" => server.started_at, "why" => why);
    }
}

/// Records that another daemon reached a server.
pub fn record_confirmed(shared: &Shared, server: &Incarnation, member: MemberId) {
    let now = shared.now();
    if shared.paths().record_confirmed(server, member, now) {
        shared.metrics.count(Step::Path, "confirmed");
        warn!(shared.log, "another daemon reaches a server that this one can't connect to";
            "server" => server.server.as_str(), "started_at" => server.started_at,
            "by" => member.to_string(),
            "link_suspect" => shared.paths().suspect_since().is_some());
    }
}

/// Probes lost servers until they are reached again.
pub async fn run(shared: Arc<Shared>) {
    loop {
        sleep(PROBE_PERIOD).await;
        let listed: Vec<(Incarnation, SocketAddr)> = {
            let fleet = shared.fleet();
            let listed = fleet.iter().filter(|(_, at)| at.missing_since.is_none());
            listed.map(|(_, at)| (at.incarnation(), at.entry.address)).collect()
        };
        let incarnations: Vec<Incarnation> =
            listed.iter().map(|(server, _)| server.clone()).collect();
        let due = {
            let now = shared.now();
            let mut paths = shared.paths();
            paths.retain(&incarnations);
            paths.due_probes(&incarnations, now)
        };
        for (server, addr) in listed.into_iter().filter(|(at, _)| due.contains(at)) {
            let shared = shared.clone();
            tokio::spawn(async move { check(&shared, &server, addr).await });
        }
    }
}

/// Probes a server, and asks others if it can't be reached.
pub async fn check(shared: &Shared, server: &Incarnation, addr: SocketAddr) {
    if probe(shared, server, addr).await == Reachability::Connected {
        return;
    }
    let needs_confirmation = shared.paths().needs_confirmation(server, shared.now());
    if needs_confirmation {
        ask_others(shared, server).await;
    }
}

async fn probe(shared: &Shared, server: &Incarnation, addr: SocketAddr) -> Reachability {
    let reachability = shared.client.probe(addr, PROBE_TIMEOUT, SETTLE_TIME).await;
    record_connection(shared, server, reachability, &format!("{reachability:?}"));
    reachability
}

/// Whether a server has ended, and not only the link to it.
pub async fn has_ended(shared: &Shared, server: &Incarnation, addr: SocketAddr) -> bool {
    let own = probe(shared, server, addr).await;
    if own == Reachability::Connected {
        return false;
    }
    let others = ask_others(shared, server).await;
    let has_ended = paths::has_ended(own, &others);
    info!(shared.log, "server checked"; "server" => server.server.as_str(),
        "started_at" => server.started_at, "own" => format!("{own:?}"),
        "others" => format!("{others:?}"), "ended" => has_ended);
    has_ended
}

/// Asks some other daemons whether they reach a server.
async fn ask_others(shared: &Shared, server: &Incarnation) -> Vec<Reachability> {
    let now = shared.now();
    let asked: Vec<(MemberId, SocketAddr)> = {
        let membership = shared.membership();
        let rows = membership.members.values().map(|(row, _)| row);
        let alive = rows.filter(|row| {
            row.member != shared.peers.me && shared.is_alive(row.member, now)
        });
        let daemons = alive.map(|row| (row.member, row.domain.clone())).collect();
        let chosen = choose_witnesses(daemons, MAX_WITNESSES, &mut rand::rng());
        let addr = |member| Some((member, membership.member_row(member)?.peer_addr));
        chosen.into_iter().filter_map(addr).collect()
    };
    let mut answers: FuturesUnordered<_> = asked
        .into_iter()
        .map(|(member, addr)| async move { (member, ask(shared, server, addr).await) })
        .collect();
    let mut collected = Vec::new();
    let mut limit = ANSWER_TIMEOUT;
    while let Ok(Some((member, answer))) = timeout(limit, answers.next()).await {
        let Some(answer) = answer else { continue };
        collected.push(answer);
        match answer {
            Reachability::Connected => {
                record_confirmed(shared, server, member);
                break;
            }
            Reachability::Refused => limit = SECOND_ANSWER_TIMEOUT,
            Reachability::Closed | Reachability::Silent => {}
        }
    }
    collected
}

async fn ask(
    shared: &Shared,
    server: &Incarnation,
    addr: SocketAddr,
) -> Option<Reachability> {
    let (number, mut response) = shared.peers.open_request();
    let message = Message::ReachabilityRequest { number, server: server.clone() };
    shared.peers.send(addr, message);
    match timeout(ANSWER_TIMEOUT, response.recv()).await {
        Ok(Some(Message::ReachabilityResponse { reachability, .. })) => {
            Some(reachability)
        }
        _ => None,
    }
}

/// Answers another daemon whether this one reaches a server, unless its own link is suspect.
pub async fn answer(
    shared: Arc<Shared>,
    from: SocketAddr,
    number: u64,
    server: Incarnation,
) {
    let addr = {
        let fleet = shared.fleet();
        let listed = fleet.key(&server.server).and_then(|key| fleet.get(key));
        listed.filter(|at| at.incarnation() == server).map(|at| at.entry.address)
    };
    let Some(addr) = addr else { return };
    let reachability = probe(&shared, &server, addr).await;
    if reachability != Reachability::Connected && shared.paths().suspect_since().is_some()
    {
        return;
    }
    shared.peers.send(from, Message::ReachabilityResponse { number, reachability });
}

/// The next path to try for an attempt, after those in `tried` have failed.
pub fn next(shared: &Shared, target: &Target, tried: &[Path]) -> Option<Path> {
    let now = shared.now();
    let server = target.incarnation();
    let is_direct = tried.is_empty() && shared.paths().is_direct(&server);
    let forwarders = if is_direct { Vec::new() } else { forwarders(shared, target) };
    let paths = shared.paths();
    paths.next(&server, &forwarders, tried, now, &mut rand::rng())
}

/// The daemons that could forward a request to a server.
fn forwarders(shared: &Shared, target: &Target) -> Vec<Forwarder> {
    let now = shared.now();
    let domain = {
        let fleet = shared.fleet();
        fleet.get(target.key).map(|server| server.entry.domain.clone())
    };
    let Some(domain) = domain else { return Vec::new() };
    let own_domain = &shared.settings.domain;
    let membership = shared.membership();
    let rows = membership.members.values().map(|(row, _)| row);
    let usable = rows.filter(|row| {
        row.member != shared.peers.me
            && membership.accepts_claims(row)
            && shared.is_alive(row.member, now)
    });
    let forwarder = |row: &MemberRow| Forwarder {
        member: row.member,
        crossings: u8::from(row.domain != *own_domain) + u8::from(row.domain != domain),
    };
    usable.map(forwarder).collect()
}

/// Opens or reuses a connection for a request with this id that leads to a server on a path;
/// returns it with the address that it leads to.
pub async fn connect_along(
    shared: &Shared,
    target: &Target,
    path: Path,
    id: Option<&str>,
) -> Result<(Connection, SocketAddr), SendError> {
    match path {
        Path::Direct => {
            let server = target.incarnation();
            let connection = connect(shared, &server, target.addr, id).await?;
            Ok((connection, target.addr))
        }
        Path::Forwarded(member) => {
            let addr = shared.membership().member_row(member).map(|row| row.peer_addr);
            let addr =
                addr.ok_or_else(|| SendError::NotSent("the daemon has left".into()))?;
            let connection = match shared.client.take_idle(addr, id) {
                Some(connection) => Ok(connection),
                None => shared.client.open(addr, FORWARDER_TIMEOUT).await,
            };
            Ok((connection?, addr))
        }
    }
}

/// Records that a request couldn't be sent on a path.
pub fn record_failure(shared: &Shared, target: &Target, path: Path, why: &str) {
    let server = target.incarnation();
    match path {
        Path::Direct => record_connection(shared, &server, Reachability::Silent, why),
        Path::Forwarded(member) => {
            shared.paths().record_failed(&server, member, shared.now());
        }
    }
}

/// Connects to a server directly, for a request with this id.
///
/// Where other daemons could forward the request, a connection that is not accepted soon is
/// given up early.
pub async fn connect(
    shared: &Shared,
    server: &Incarnation,
    addr: SocketAddr,
    id: Option<&str>,
) -> Result<Connection, SendError> {
    if let Some(connection) = shared.client.take_idle(addr, id) {
        return Ok(connection);
    }
    let limit = match members::daemon_count(shared) {
        1 => CONNECT_TIMEOUT,
        _ => PROBE_TIMEOUT,
    };
    let opened = shared.client.open(addr, limit).await;
    let (reachability, why) = match &opened {
        Ok(_) => (Reachability::Connected, String::new()),
        Err(error) => (Reachability::Silent, error.to_string()),
    };
    record_connection(shared, server, reachability, &why);
    opened
}
