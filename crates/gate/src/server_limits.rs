//! The limits on requests that backend servers announce in their responses.
//!
//! A limit holds for all daemons together, so it is kept by the daemon that decides on all
//! requests to the server: the holder of a runner's claim, or of a plain service's queue. A
//! daemon that relays a response tells that daemon, and the planner, what the response named.
//! The holder tells all daemons of changes: while a holder doesn't respond, each keeps to an
//! equal share of the limit, and each may be the next holder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, MemberId, ServiceName};
use chestnut_edge::{RequestRate, ResponseHead};
use chestnut_pool::LimitSighting;
use indexmap::IndexMap;
use indexmap::map::Entry;
use slog::info;
use tokio::time::sleep;

use crate::attempt::Target;
use crate::job::Job;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;
use crate::{holder, members, permit, permit_queue};

/// How often a daemon is told of a limit that has not changed.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// The delays before the datagrams with which all daemons are told of a limit; some are lost.
const BROADCAST_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];

/// When this daemon last told others of a server's limit.
#[derive(Debug, Default)]
pub struct LimitReports(IndexMap<(Incarnation, MemberId), Instant>);

impl LimitReports {
    /// Whether a daemon is to be told again of a limit that has not changed; records that it
    /// is told now.
    fn is_due(&mut self, server: &Incarnation, member: MemberId, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPEAT_PERIOD;
        self.0.retain(|_, at| is_recent(*at));
        let entry = self.0.entry((server.clone(), member));
        let is_due = matches!(entry, Entry::Vacant(_));
        entry.or_insert(now);
        is_due
    }
}

/// Records what a response to a request that was sent at `sent_at` tells about its server's
/// limit, and tells the daemons that decide by it.
pub fn observe(job: &Job, target: &Target, metadata: &ResponseHead, sent_at: Instant) {
    let shared = &job.shared;
    let (server, limit) = (target.incarnation(), metadata.request_limit);
    let now = shared.now();
    let seen_at = limit.map_or(sent_at, |_| now);
    let sighting = sighting(limit, seen_at);
    let changed = shared.server_limits().record(&server, sighting);
    if changed {
        apply_change(shared, &server, sighting, job.id());
    }
    if changed || limit.is_some() {
        for receiver in receivers(shared, &job.service, &server) {
            report(shared, &server, receiver, sighting, changed);
        }
    }
}

/// Records what another daemon saw.
pub fn apply_report(
    shared: &Arc<Shared>,
    server: &Incarnation,
    limit: Option<RequestRate>,
    age_ms: u32,
) {
    let now = shared.now();
    let age = Duration::from_millis(age_ms.into());
    let seen_at = now.checked_sub(age).unwrap_or(now);
    let sighting = sighting(limit, seen_at);
    if shared.server_limits().record(server, sighting) {
        apply_change(shared, server, sighting, "-");
    }
}

/// Tells the daemon that decides on a request which limits it has to keep, if it may not
/// know them: it has just taken the claim.
pub fn announce(shared: &Shared, server: &Incarnation, receiver: (MemberId, SocketAddr)) {
    let limit = {
        let limits = shared.server_limits();
        limits.rate(server).zip(limits.seen_at(server))
    };
    if let Some((rate, seen_at)) = limit {
        let sighting = LimitSighting::Named(rate, seen_at);
        report(shared, server, receiver, sighting, false);
    }
}

/// Like [`announce`], for all servers of a plain service.
pub fn announce_all(
    shared: &Shared,
    service: &ServiceName,
    receiver: (MemberId, SocketAddr),
) {
    if shared.server_limits().is_empty() {
        return;
    }
    let servers: Vec<Incarnation> = {
        let fleet = shared.fleet();
        let servers = fleet.iter().filter(|(_, server)| server.entry.service == *service);
        servers.map(|(_, server)| server.incarnation()).collect()
    };
    for server in servers {
        announce(shared, &server, receiver);
    }
}

/// Decides whether this daemon may send a request without the decision of the server's
/// holder, and counts it if so; otherwise returns how long to wait.
pub fn try_send_share(shared: &Shared, server: &Incarnation) -> Result<(), Duration> {
    let daemons = members::daemon_count(shared);
    let result = {
        let now = shared.now();
        shared.server_limits().try_send_share(server, daemons, rand::random(), now)
    };
    if let Err(wait) = result {
        shared.metrics.count(Step::Limit, "share used up");
        info!(shared.log, "share of a server limit used up";
            "server" => server.server.as_str(), "daemons" => daemons,
            "wait_ms" => wait.as_millis() as u64);
    }
    result
}

fn sighting(limit: Option<RequestRate>, at: Instant) -> LimitSighting {
    limit.map_or(LimitSighting::None(at), |rate| LimitSighting::Named(rate, at))
}

/// Logs a changed limit, and applies it if this daemon decides by it.
fn apply_change(
    shared: &Arc<Shared>,
    server: &Incarnation,
    sighting: LimitSighting,
    id: &str,
) {
    let (limit, _) = limit_and_time(sighting);
    shared.metrics.count(Step::Limit, if limit.is_some() { "named" } else { "ended" });
    info!(shared.log, "server limit changed"; "server" => server.server.as_str(),
        "id" => id, "per_second" => limit.map(f64::from));
    if let Some(runner) = shared.held_runner(&server.server) {
        runner.state().set_request_limit(limit, shared.now());
        runner.changed.notify_one();
    }
    permit_queue::reload_servers(shared);
    if decides_on(shared, server) {
        broadcast(shared, server, sighting);
    }
}

/// Tells all daemons of the limits of servers that this daemon decides on from now on.
pub fn broadcast_held(shared: &Arc<Shared>, is_new: impl Fn(&Incarnation) -> bool) {
    let limits: Vec<(Incarnation, LimitSighting)> = {
        let limits = shared.server_limits();
        let new = limits.iter().filter(|(server, ..)| is_new(server));
        new.map(|(server, rate, seen_at)| {
            (server.clone(), LimitSighting::Named(rate, seen_at))
        })
        .collect()
    };
    for (server, sighting) in limits {
        broadcast(shared, &server, sighting);
    }
}

/// Whether this daemon holds the claim of a runner, or the queue of a plain server's service.
fn decides_on(shared: &Shared, server: &Incarnation) -> bool {
    if shared.held_runner(&server.server).is_some() {
        return true;
    }
    let service = {
        let fleet = shared.fleet();
        let listed = fleet.key(&server.server).and_then(|key| fleet.get(key));
        listed.map(|server| server.entry.service.clone())
    };
    service.is_some_and(|service| shared.queues().contains_key(&service))
}

/// Tells all daemons of a limit, and repeats it.
///
/// A limit that changes all the time is broadcast now and then; the holder goes by each
/// change.
fn broadcast(shared: &Arc<Shared>, server: &Incarnation, sighting: LimitSighting) {
    let (me, now) = (shared.peers.me, shared.now());
    let is_due = shared.limit_reports().is_due(server, me, now);
    if is_due || matches!(sighting, LimitSighting::None(_)) {
        tokio::spawn(send_to_all(shared.clone(), server.clone(), sighting));
    }
}

async fn send_to_all(shared: Arc<Shared>, server: Incarnation, sighting: LimitSighting) {
    for delay in BROADCAST_DELAYS {
        sleep(delay).await;
        for (_, addr) in members::other_daemons(&shared) {
            send(&shared, addr, &server, sighting);
        }
    }
}

/// The daemons that decide by a server's limit, other than this one: the holder of the
/// server or of its service's queue, and the planner of its models.
fn receivers(
    shared: &Shared,
    service: &ServiceName,
    server: &Incarnation,
) -> Vec<(MemberId, SocketAddr)> {
    let holder = holder::holder(shared, &server.server);
    let pool_holder = permit::holder(shared, service);
    let mut receivers: Vec<_> = holder.into_iter().chain(pool_holder).collect();
    receivers.dedup();
    receivers.retain(|(member, _)| *member != shared.peers.me);
    receivers
}

/// Tells a daemon what a response named, unless it was told the same a moment ago.
fn report(
    shared: &Shared,
    server: &Incarnation,
    (member, addr): (MemberId, SocketAddr),
    sighting: LimitSighting,
    changed: bool,
) {
    let now = shared.now();
    let is_due = shared.limit_reports().is_due(server, member, now);
    if !is_due && !changed {
        return;
    }
    send(shared, addr, server, sighting);
}

fn send(
    shared: &Shared,
    addr: SocketAddr,
    server: &Incarnation,
    sighting: LimitSighting,
) {
    let (limit, at) = limit_and_time(sighting);
    let age_ms = shared.now().saturating_duration_since(at).as_millis() as u32;
    let server = server.clone();
    shared.peers.send(addr, Message::ServerLimit { server, limit, age_ms });
}

fn limit_and_time(sighting: LimitSighting) -> (Option<RequestRate>, Instant) {
    match sighting {
        LimitSighting::Named(rate, at) => (Some(rate), at),
        LimitSighting::None(at) => (None, at),
    }
}
