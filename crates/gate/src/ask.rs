//! Asks the holders of runners which one would answer a request soonest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ServerName};
use chestnut_edge::{Engine, TargetModel};
use chestnut_member::ClaimKey;
use chestnut_pool::choose::SILENT_COST;
use chestnut_pool::{Bid, Candidate, ServerKey, Want, bid, estimate, local_cost};
use futures::future::join_all;
use indexmap::IndexMap;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::holder::{Holder, adapter_target};
use crate::job::Job;
use crate::message::Message;
use crate::shared::Shared;

/// How long other daemons may take to answer.
///
/// A link takes a millisecond or two and a busy daemon some more; what a late
/// answer could gain is less.
const BID_TIME: Duration = Duration::from_millis(12);

/// How long the load of an adapter may take to be ordered, in tries of this time.
const PREPARE_TIME: Duration = Duration::from_millis(60);

/// Tries to have an adapter loaded.
const PREPARE_TRIES: usize = 2;

/// What is left to an adapter's load after which a request may be sent.
const PREPARE_SLACK: Duration = Duration::from_millis(1);

/// A runner that could take a request.
struct Runner {
    key: ServerKey,
    name: ServerName,
    /// The estimate by this daemon's own counts.
    own: f64,
    /// What this daemon adds to any estimate.
    local: f64,
}

/// Who holds the claims of some runners.
#[derive(Default)]
struct Asked {
    /// Runners whose claims this daemon holds.
    here: Vec<ServerName>,
    /// Runners by the daemon that holds their claims.
    there: IndexMap<(MemberId, SocketAddr), Vec<ServerName>>,
}

/// Picks a runner that holds the request's model, if there is one.
///
/// Runners on `avoid` are left out.
pub async fn pick(job: &Job, avoid: &[ServerName]) -> Option<Candidate> {
    let runners = runners(job, avoid);
    if runners.is_empty() {
        return None;
    }
    let want = job.want();
    let mut bids = ask(&job.shared, &runners, &want, &job.engine()?).await;
    let cost = |runner: &Runner| {
        let bid = bids.get(&runner.name);
        let cost = bid.map_or(runner.own + SILENT_COST, |bid| bid.cost);
        cost + runner.local
    };
    let best = runners.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let silent = Bid { cost: best.own, prepare: want.target.is_some(), requests: 0 };
    let bid = bids.swap_remove(&best.name).unwrap_or(silent);
    if bid.cost.is_infinite() {
        return None;
    }
    Some(Candidate { key: best.key, bid })
}

fn runners(job: &Job, avoid: &[ServerName]) -> Vec<Runner> {
    let shared = &job.shared;
    let Some(target) = &job.call.target else { return Vec::new() };
    let now = shared.now();
    let fleet = shared.fleet();
    let holding = fleet
        .open(&job.service, now)
        .filter(|(_, server)| server.holds_base(target))
        .filter(|(_, server)| !avoid.contains(&server.entry.name));
    holding
        .map(|(key, server)| Runner {
            key,
            name: server.entry.name.clone(),
            own: estimate(server.own, job.call.size),
            local: local_cost(server, &shared.settings.domain, now),
        })
        .collect()
}

async fn ask(
    shared: &Shared,
    runners: &[Runner],
    want: &Want,
    engine: &Engine,
) -> IndexMap<ServerName, Bid> {
    let asked = sort_out(shared, runners);
    let now = shared.now();
    let mut bids = IndexMap::new();
    for name in asked.here {
        if let Some(holder) = shared.holder(&name) {
            bids.insert(name, bid(&holder.state(), want, engine.adapter_slots, now));
        }
    }
    let questions = asked
        .there
        .into_iter()
        .filter(|((member, _), _)| shared.peers.is_alive(*member, now))
        .map(|((_, addr), servers)| ask_one(shared, addr, servers, want));
    for answer in join_all(questions).await {
        bids.extend(answer);
    }
    bids
}

fn sort_out(shared: &Shared, runners: &[Runner]) -> Asked {
    let known = shared.known();
    let mut asked = Asked::default();
    for runner in runners {
        let claim = known.claims.get(&ClaimKey::Server(runner.name.clone()));
        let Some(holder) = claim.and_then(|(row, _)| row.holder) else { continue };
        if holder == shared.peers.me {
            asked.here.push(runner.name.clone());
            continue;
        }
        let mut rows = known.members.values();
        if let Some((row, _)) = rows.find(|(row, _)| row.member == holder) {
            let servers = asked.there.entry((holder, row.peer_addr)).or_default();
            servers.push(runner.name.clone());
        }
    }
    asked
}

async fn ask_one(
    shared: &Shared,
    addr: SocketAddr,
    servers: Vec<ServerName>,
    want: &Want,
) -> Vec<(ServerName, Bid)> {
    let (number, answer) = shared.peers.expect();
    let message = Message::Ask { number, servers, want: want.clone() };
    shared.peers.send(addr, message);
    match timeout(BID_TIME, answer).await {
        Ok(Ok(Message::Bids { bids, .. })) => bids,
        // Lost or late: the runners are judged by this daemon's own counts.
        _ => Vec::new(),
    }
}

/// Answers another daemon's question.
pub fn answer(
    shared: &Shared,
    servers: Vec<ServerName>,
    want: &Want,
) -> Vec<(ServerName, Bid)> {
    let now = shared.now();
    let place = |name: ServerName| {
        let holder = shared.holder(&name)?;
        let places = places(shared, &name)?;
        let bid = bid(&holder.state(), want, places, now);
        Some((name, bid))
    };
    servers.into_iter().filter_map(place).collect()
}

fn places(shared: &Shared, server: &ServerName) -> Option<usize> {
    let declared = shared.declared()?;
    let service = {
        let fleet = shared.fleet();
        let key = fleet.key(server)?;
        fleet.get(key)?.entry.service.clone()
    };
    Some(declared.services.get(&service)?.engine.as_ref()?.adapter_slots)
}

/// Has an adapter loaded on a runner and waits until it is there.
pub async fn prepare(job: &Job, server: &ServerName, missed: bool) -> bool {
    let Some(target) = job.call.target.clone() else { return true };
    let began = Instant::now();
    let ready = order_adapter(&job.shared, server, &target, missed).await;
    info!(job.shared.log, "adapter asked for"; "id" => job.id(), "server" => server.to_string(),
        "adapter" => target.to_string(), "missed" => missed,
        "took_ms" => began.elapsed().as_millis() as u64,
        "ready_ms" => ready.map(|ready| ready.as_millis() as u64));
    let Some(ready) = ready else { return false };
    if !ready.is_zero() {
        sleep(ready + PREPARE_SLACK).await;
    }
    true
}

async fn order_adapter(
    shared: &Shared,
    server: &ServerName,
    target: &TargetModel,
    missed: bool,
) -> Option<Duration> {
    if let Some(holder) = shared.holder(server) {
        return prepare_here(holder, target.clone(), missed).await;
    }
    let addr = holder_addr(shared, server)?;
    for attempt in 0..PREPARE_TRIES {
        let (number, answer) = shared.peers.expect();
        let message = Message::Prepare {
            number,
            server: server.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone()?,
            missed: missed && attempt == 0,
        };
        shared.peers.send(addr, message);
        if let Ok(Ok(Message::Prepared { ready_ms, .. })) =
            timeout(PREPARE_TIME, answer).await
        {
            return ready_ms.map(|ms| Duration::from_millis(ms.into()));
        }
    }
    None
}

async fn prepare_here(
    holder: Arc<Holder>,
    target: TargetModel,
    missed: bool,
) -> Option<Duration> {
    let limit = PREPARE_TIME * PREPARE_TRIES as u32;
    timeout(limit, holder.prepare(target, missed)).await.ok().flatten()
}

/// Answers another daemon that wants an adapter loaded.
pub async fn answer_prepare(
    shared: Arc<Shared>,
    from: SocketAddr,
    number: u64,
    server: ServerName,
    (model, adapter): (chestnut_base::ModelName, chestnut_base::AdapterName),
    missed: bool,
) {
    let Some(holder) = shared.holder(&server) else { return };
    let ready = holder.prepare(adapter_target(model, adapter), missed).await;
    let ready_ms = ready.map(|ready| ready.as_millis() as u32);
    shared.peers.send(from, Message::Prepared { number, ready_ms });
}

/// Where the holder of a runner's claim receives datagrams.
pub fn holder_addr(shared: &Shared, server: &ServerName) -> Option<SocketAddr> {
    let known = shared.known();
    let (row, _) = known.claims.get(&ClaimKey::Server(server.clone()))?;
    let holder = row.holder?;
    let mut rows = known.members.values();
    rows.find(|(row, _)| row.member == holder).map(|(row, _)| row.peer_addr)
}
