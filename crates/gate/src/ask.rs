//! Asks the holders of runners which one would answer a request soonest.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::id::rendezvous_rank;
use chestnut_base::{MemberId, ServerName};
use chestnut_edge::Engine;
use chestnut_member::ClaimKey;
use chestnut_pool::choose::UNRESPONSIVE_HOLDER_COST_MS;
use chestnut_pool::{
    Bid, Candidate, GenerationRequest, Incarnation, Server, ServerKey, bid,
    estimate_wait_ms, local_cost_ms,
};
use futures::future::join_all;
use indexmap::IndexMap;
use slog::info;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::admission::{self, AdmissionRequest};
use crate::holder::{self, HeldRunner};
use crate::job::Job;
use crate::message::{Message, Verdict};
use crate::metrics::{Span, Step};
use crate::peers::Reply;
use crate::shared::Shared;

/// How long other daemons may take to answer.
///
/// A link takes a millisecond or two and a busy daemon some more; what a late
/// answer could gain is less.
const BID_TIME: Duration = Duration::from_millis(12);

/// How long a holder may take to say that a request waits.
const TAKE_TIME: Duration = Duration::from_millis(20);

/// How long a holder may be silent about a request that waits.
const QUEUE_TIME: Duration = Duration::from_millis(250);

/// How long a request waits at one runner before all are looked at again.
///
/// Its place is by when it has to be served, not by when it came, so that it loses
/// nothing if it comes back.
const LOOK_AGAIN: Duration = Duration::from_millis(400);

/// The runners that are asked about one request, and how many of them suit it.
const SHORTLIST: usize = 8;
const SUITED: usize = 4;

/// Questions in a row without an answer after which a holder counts as gone.
const TAKE_TRIES: usize = 3;

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
    let runners = shortlist(job, runners(job, avoid));
    if runners.is_empty() {
        return None;
    }
    let want = job.want()?;
    let engine = job.engine()?;
    let mut bids = ask(&job.shared, &runners, &want, &engine).await;
    let cost = |runner: &Runner| {
        let bid = bids.get(&runner.name);
        let cost =
            bid.map_or(runner.own + UNRESPONSIVE_HOLDER_COST_MS, |bid| bid.cost_ms);
        cost + runner.local
    };
    let best = runners.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let silent = Bid { wait_ms: best.own, cost_ms: best.own, requests: 0 };
    let bid = bids.swap_remove(&best.name).unwrap_or(silent);
    if bid.cost_ms.is_infinite() {
        return None;
    }
    Some(Candidate { key: best.key, bid })
}

fn runners(job: &Job, avoid: &[ServerName]) -> Vec<Runner> {
    let shared = &job.shared;
    let Some(target) = &job.call.target else { return Vec::new() };
    let now = shared.now();
    let token = shared.engine_timings().token_time(&target.model);
    let fleet = shared.fleet();
    let only = job.attempts.restricted_to(|run| {
        let known = fleet.key(&run.server).and_then(|key| fleet.get(key));
        known.is_some_and(|server| is_run(server, run))
    });
    let holding = fleet
        .available(&job.service, now)
        .filter(|(_, server)| server.entry.has_model(&target.model))
        .filter(|(_, server)| !avoid.contains(&server.entry.name))
        .filter(|(_, server)| {
            only.is_none_or(|runs| runs.iter().any(|run| is_run(server, run)))
        });
    holding
        .map(|(key, server)| Runner {
            key,
            name: server.entry.name.clone(),
            own: estimate_wait_ms(server.own_usage, job.call.size, token),
            local: local_cost_ms(server, &shared.settings.domain, now),
        })
        .collect()
}

/// Whether a server is in that run still.
fn is_run(server: &Server, run: &Incarnation) -> bool {
    server.entry.name == run.server && server.entry.started_at_ms == run.started_at
}

/// Leaves a few of many runners: some that suit the request's adapter and prompt, and
/// some at random.
///
/// Those that suit are the same for all daemons, so that adapters and prompts stay
/// together; the random ones take what is too much for them. Asking all of a hundred
/// runners would cost more than it gains.
fn shortlist(job: &Job, mut runners: Vec<Runner>) -> Vec<Runner> {
    if runners.len() <= SHORTLIST {
        return runners;
    }
    let affinity = job.affinity();
    runners
        .sort_by_key(|runner| Reverse(rendezvous_rank(&affinity, runner.name.as_str())));
    let mut rest = runners.split_off(SUITED);
    for _ in SUITED..SHORTLIST {
        let index = rand::random_range(0..rest.len());
        runners.push(rest.swap_remove(index));
    }
    runners
}

async fn ask(
    shared: &Shared,
    runners: &[Runner],
    want: &GenerationRequest,
    engine: &Engine,
) -> IndexMap<ServerName, Bid> {
    let asked = sort_out(shared, runners);
    let now = shared.now();
    let mut bids = IndexMap::new();
    for name in asked.here {
        if let Some(holder) = shared.held_runner(&name) {
            bids.insert(
                name,
                bid(&holder.state(), want, &shared.engine_timings(), engine, now),
            );
        }
    }
    let questions = asked
        .there
        .into_iter()
        .filter(|((member, _), _)| shared.is_alive(*member, now))
        .map(|((_, addr), servers)| ask_one(shared, addr, servers, want));
    for answer in join_all(questions).await {
        bids.extend(answer);
    }
    bids
}

fn sort_out(shared: &Shared, runners: &[Runner]) -> Asked {
    let known = shared.membership();
    let mut asked = Asked::default();
    for runner in runners {
        let claim = known.claims.get(&ClaimKey::Server(runner.name.clone()));
        let Some(holder) = claim.and_then(|(row, _)| row.holder) else { continue };
        if holder == shared.peers.me {
            asked.here.push(runner.name.clone());
            continue;
        }
        if let Some(row) = known.member_row(holder) {
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
    want: &GenerationRequest,
) -> Vec<(ServerName, Bid)> {
    let (number, mut answer) = shared.peers.expect();
    let message = Message::Ask { number, servers, want: want.clone() };
    shared.peers.send(addr, message);
    match timeout(BID_TIME, answer.recv()).await {
        Ok(Some(Message::Bids { bids, .. })) => bids,
        // Lost or late: the runners are judged by this daemon's own counts.
        _ => Vec::new(),
    }
}

/// Answers another daemon's question.
pub fn answer(
    shared: &Shared,
    servers: Vec<ServerName>,
    want: &GenerationRequest,
) -> Vec<(ServerName, Bid)> {
    let now = shared.now();
    let place = |name: ServerName| {
        let holder = shared.held_runner(&name)?;
        let engine = shared.engine_of(&name)?;
        let bid = bid(&holder.state(), want, &shared.engine_timings(), &engine, now);
        Some((name, bid))
    };
    servers.into_iter().filter_map(place).collect()
}

/// What came of asking to send a request to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It is to be sent now; the number names it to the runner's holder.
    Send(u64),
    /// It can't be sent to this runner.
    Denied,
    /// The runner's holder does not answer.
    Silent,
    /// The daemon that claims the runner does not know that it does: it has just
    /// started, or the claim has moved.
    Moved,
    /// It has waited for a while; another runner may be sooner by now.
    Again,
}

impl Turn {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Send(_) => "sent",
            Self::Denied => "denied",
            Self::Silent => "silent",
            Self::Moved => "moved",
            Self::Again => "again",
        }
    }
}

/// Waits for a request's turn at a runner.
///
/// `missed` says that the runner has just said that it lacks the adapter.
pub async fn turn(job: &Job, server: &ServerName, missed: bool) -> Turn {
    let began = job.shared.now();
    let (number, receiver) = job.shared.peers.expect();
    let place = Place { job, server, number, settled: false };
    let turn = match job.shared.held_runner(server) {
        Some(holder) => place.here(&holder, missed).await,
        None => place.there(receiver, missed).await,
    };
    job.shared.metrics.count(Step::Turn, turn.name());
    let waited = job.shared.now().saturating_duration_since(began);
    job.shared.metrics.observe(Span::Turn, waited);
    info!(job.shared.log, "turn"; "id" => job.id(), "server" => server.to_string(),
        "turn" => format!("{turn:?}"), "missed" => missed,
        "waited_ms" => waited.as_millis() as u64);
    turn
}

/// A request's place in a runner's lane; given up when dropped before its turn.
struct Place<'a> {
    job: &'a Job,
    server: &'a ServerName,
    number: u64,
    settled: bool,
}

impl Place<'_> {
    async fn here(mut self, holder: &Arc<HeldRunner>, missed: bool) -> Turn {
        let shared = &self.job.shared;
        let (sender, receiver) = oneshot::channel();
        let Some(want) = self.job.want() else { return Turn::Denied };
        let asker = (shared.peers.me, self.number);
        let question =
            AdmissionRequest { key: asker, request: want, adapter_missing: missed };
        admission::request_admission(shared, holder, question, Reply::Here(sender));
        let Ok(verdict) = timeout(LOOK_AGAIN, receiver).await else { return Turn::Again };
        self.settled = true;
        match verdict {
            Ok(Verdict::Send) => Turn::Send(self.number),
            Ok(Verdict::Denied | Verdict::Queued) => Turn::Denied,
            // The claim was lost.
            Ok(Verdict::Moved) | Err(_) => Turn::Moved,
        }
    }

    async fn there(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        missed: bool,
    ) -> Turn {
        let shared = &self.job.shared;
        let mut silent = 0;
        let limit = shared.now() + LOOK_AGAIN;
        while silent < TAKE_TRIES {
            if shared.now() >= limit {
                return Turn::Again;
            }
            let Some(want) = self.job.want() else { return Turn::Denied };
            let Some(addr) = holder::holder_addr(shared, self.server) else { break };
            let (number, server) = (self.number, self.server.clone());
            shared.peers.send(addr, Message::Take { number, server, want, missed });
            let mut wait = TAKE_TIME;
            loop {
                let answer = timeout(wait, receiver.recv()).await;
                let Ok(Some(Message::Taken { verdict, .. })) = answer else { break };
                silent = 0;
                match verdict {
                    Verdict::Queued => {
                        wait =
                            limit.saturating_duration_since(shared.now()).min(QUEUE_TIME);
                    }
                    Verdict::Send => return self.settle(Turn::Send(number)),
                    Verdict::Denied => return self.settle(Turn::Denied),
                    Verdict::Moved => return self.settle(Turn::Moved),
                }
            }
            silent += 1;
        }
        Turn::Silent
    }

    fn settle(&mut self, turn: Turn) -> Turn {
        self.settled = true;
        turn
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let shared = &self.job.shared;
        let (number, server) = (self.number, self.server.clone());
        if let Some(holder) = shared.held_runner(&server) {
            admission::withdraw(&holder, (shared.peers.me, number));
        } else if let Some(addr) = holder::holder_addr(shared, &server) {
            shared.peers.send(addr, Message::Leave { number, server });
        }
    }
}
