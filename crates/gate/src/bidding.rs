//! Chooses a runner by the bids of the runners' holders, and requests admission to it.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::id::rendezvous_rank;
use chestnut_base::{Incarnation, MemberId, ServerName};
use chestnut_edge::Engine;
use chestnut_member::ClaimKey;
use chestnut_pool::choose::UNRESPONSIVE_HOLDER_COST_MS;
use chestnut_pool::{
    Bid, Candidate, GenerationRequest, Server, ServerKey, bid, estimate_wait_ms,
    local_cost_ms,
};
use futures::future::join_all;
use indexmap::IndexMap;
use slog::info;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::admission::{self, AdmissionRequest};
use crate::attempt::Target;
use crate::holder::{self, HeldRunner};
use crate::job::Job;
use crate::message::{AdmissionVerdict, Message};
use crate::metrics::{Span, Step};
use crate::peers::ReplyTo;
use crate::shared::Shared;
use crate::{members, server_limits};

/// How long other daemons may take to send their bids.
///
/// A link takes a millisecond or two, and a busy daemon some more. Waiting longer costs more
/// than a late bid could gain.
const BID_TIMEOUT: Duration = Duration::from_millis(12);

/// How long a holder may take to confirm that a request is queued.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// How long a holder may take to send anything about a queued request.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a request waits for admission to one runner before all are compared again.
///
/// The queue is ordered by when requests have to be served, not by arrival, so that a request
/// that joins it again keeps its position.
pub const ADMISSION_WAIT: Duration = Duration::from_millis(400);

/// How long a request that was told of a moved claim waits for a response of its new holder.
///
/// The new holder learns of its claim within a heartbeat period, and may learn of it later than
/// this daemon, or earlier.
const MOVE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long after a response without a verdict admission is requested again.
const NO_VERDICT_DELAY: Duration = Duration::from_millis(50);

/// The number of runners that are compared for one request.
const SHORTLIST_LEN: usize = 8;

/// How many runners of the shortlist are chosen by affinity; the others are random.
const AFFINE_LEN: usize = 4;

/// Consecutive admission requests without a response after which a holder counts as
/// unresponsive.
const MAX_UNANSWERED: usize = 3;

/// A runner that could serve a request.
struct Runner {
    key: ServerKey,
    name: ServerName,
    /// The wait in milliseconds, estimated by this daemon's own counts.
    own_wait_ms: f64,
    /// The cost in milliseconds that this daemon adds to the bid, for the runner's failure
    /// domain and for failures that it observed.
    local_cost_ms: f64,
}

/// Runners grouped by the holders of their claims; runners without a holder are left out.
#[derive(Default)]
struct ByHolder {
    /// Runners whose claims this daemon holds.
    local: Vec<ServerName>,
    /// Runners whose claims other daemons hold, by daemon and its address.
    remote: IndexMap<(MemberId, SocketAddr), Vec<ServerName>>,
}

/// A runner with its bid.
#[derive(Debug, Clone)]
pub struct RankedRunner {
    /// The runner's name.
    pub name: ServerName,
    /// Its key and its holder's estimate.
    pub candidate: Candidate,
    /// The cost in milliseconds by which runners are compared.
    pub cost_ms: f64,
}

/// Picks the runner with the lowest cost among those that have the request's model; `None`
/// if there is none.
///
/// Runners in `avoid` are left out.
pub async fn pick(job: &Job, avoid: &[ServerName]) -> Option<Candidate> {
    let ranked = rank(job, avoid, &[]).await;
    ranked.first().map(|best| best.candidate)
}

/// Compares runners that have the request's model; the one with the lowest cost is first.
///
/// Runners in `avoid` are left out, and those in `joined` are compared in any case.
pub async fn rank(
    job: &Job,
    avoid: &[ServerName],
    joined: &[ServerName],
) -> Vec<RankedRunner> {
    let is_joined = |runner: &Runner| joined.contains(&runner.name);
    let (kept, others): (Vec<_>, Vec<_>) =
        runners(job, avoid).into_iter().partition(is_joined);
    let mut runners = shortlist(job, others);
    runners.extend(kept);
    let (Some(request), Some(engine)) = (job.generation_request(), job.engine()) else {
        return Vec::new();
    };
    if runners.is_empty() {
        return Vec::new();
    }
    let bids = collect_bids(&job.shared, &runners, &request, &engine).await;
    let ranked = |runner: Runner| {
        let unanswered = runner.own_wait_ms + UNRESPONSIVE_HOLDER_COST_MS;
        let bid = bids.get(&runner.name).copied();
        let cost_ms = bid.map_or(unanswered, |bid| bid.cost_ms) + runner.local_cost_ms;
        let wait_ms = runner.own_wait_ms;
        let own_bid = Bid { wait_ms, cost_ms: wait_ms, requests: 0 };
        let candidate = Candidate { key: runner.key, bid: bid.unwrap_or(own_bid) };
        RankedRunner { name: runner.name, candidate, cost_ms }
    };
    let mut ranked: Vec<RankedRunner> = runners.into_iter().map(ranked).collect();
    ranked.retain(|runner| !runner.candidate.bid.cost_ms.is_infinite());
    ranked.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    ranked
}

/// The available runners that have the request's model and that its earlier attempts allow.
fn runners(job: &Job, avoid: &[ServerName]) -> Vec<Runner> {
    let shared = &job.shared;
    let Some(target) = &job.call.target else { return Vec::new() };
    let now = shared.now();
    let token_time = shared.engine_timings().token_time(&target.model);
    let fleet = shared.fleet();
    let allowed = job.attempts.restricted_to(|incarnation| {
        let listed = fleet.key(&incarnation.server).and_then(|key| fleet.get(key));
        listed.is_some_and(|server| is_incarnation(server, incarnation))
    });
    let with_model = fleet
        .available(&job.service, now)
        .filter(|(_, server)| server.entry.has_model(&target.model))
        .filter(|(_, server)| !avoid.contains(&server.entry.name))
        .filter(|(_, server)| job.software.permits(server.entry.software.as_ref()))
        .filter(|(_, server)| {
            allowed.is_none_or(|allowed| {
                allowed.iter().any(|incarnation| is_incarnation(server, incarnation))
            })
        });
    with_model
        .map(|(key, server)| Runner {
            key,
            name: server.entry.name.clone(),
            own_wait_ms: estimate_wait_ms(server.own_usage, job.call.size, token_time)
                + share_wait_ms(shared, server, now),
            local_cost_ms: local_cost_ms(server, &shared.settings.domain, now),
        })
        .collect()
}

/// How long a server's limit holds up what this daemon sends by its own counts.
fn share_wait_ms(shared: &Shared, server: &Server, now: Instant) -> f64 {
    let limits = shared.server_limits();
    if limits.is_empty() {
        return 0.0;
    }
    let daemons = members::daemon_count(shared);
    let wait = limits.share_wait(&server.incarnation(), daemons, now);
    wait.as_secs_f64() * 1000.0
}

/// Whether a server has not restarted since that incarnation.
fn is_incarnation(server: &Server, incarnation: &Incarnation) -> bool {
    server.entry.name == incarnation.server
        && server.entry.started_at_ms == incarnation.started_at
}

/// Reduces many runners to a few: some with affinity to the request's adapter or prompt, and
/// some at random.
///
/// All daemons choose the same runners by affinity, so that requests with the same adapter
/// or prompt stay together. The random ones take the overflow. Requesting bids for all of a
/// hundred runners would cost more than it gains.
fn shortlist(job: &Job, mut runners: Vec<Runner>) -> Vec<Runner> {
    if runners.len() <= SHORTLIST_LEN {
        return runners;
    }
    let affinity = job.affinity();
    runners
        .sort_by_key(|runner| Reverse(rendezvous_rank(&affinity, runner.name.as_str())));
    let mut rest = runners.split_off(AFFINE_LEN);
    for _ in AFFINE_LEN..SHORTLIST_LEN {
        let index = rand::random_range(0..rest.len());
        runners.push(rest.swap_remove(index));
    }
    runners
}

async fn collect_bids(
    shared: &Shared,
    runners: &[Runner],
    request: &GenerationRequest,
    engine: &Engine,
) -> IndexMap<ServerName, Bid> {
    let by_holder = group_by_holder(shared, runners);
    let now = shared.now();
    let mut bids = IndexMap::new();
    for name in by_holder.local {
        if let Some(holder) = shared.held_runner(&name) {
            bids.insert(
                name,
                bid(&holder.state(), request, &shared.engine_timings(), engine, now),
            );
        }
    }
    let remote = by_holder
        .remote
        .into_iter()
        .filter(|((member, _), _)| shared.is_alive(*member, now))
        .map(|((_, addr), servers)| request_bids(shared, addr, servers, request));
    for response in join_all(remote).await {
        bids.extend(response);
    }
    bids
}

fn group_by_holder(shared: &Shared, runners: &[Runner]) -> ByHolder {
    let membership = shared.membership();
    let mut by_holder = ByHolder::default();
    for runner in runners {
        let claim = membership.claims.get(&ClaimKey::Server(runner.name.clone()));
        let Some(holder) = claim.and_then(|(row, _)| row.holder) else { continue };
        if holder == shared.peers.me {
            by_holder.local.push(runner.name.clone());
            continue;
        }
        if let Some(row) = membership.member_row(holder) {
            let servers = by_holder.remote.entry((holder, row.peer_addr)).or_default();
            servers.push(runner.name.clone());
        }
    }
    by_holder
}

async fn request_bids(
    shared: &Shared,
    addr: SocketAddr,
    servers: Vec<ServerName>,
    request: &GenerationRequest,
) -> Vec<(ServerName, Bid)> {
    let (number, mut response) = shared.peers.open_request();
    let message = Message::BidRequest { number, servers, request: request.clone() };
    shared.peers.send(addr, message);
    match timeout(BID_TIMEOUT, response.recv()).await {
        Ok(Some(Message::Bids { bids, .. })) => bids,
        // Lost or late: this daemon estimates the runners by its own counts.
        _ => Vec::new(),
    }
}

/// Bids on another daemon's request for those of the runners that this daemon holds.
pub fn local_bids(
    shared: &Shared,
    servers: Vec<ServerName>,
    request: &GenerationRequest,
) -> Vec<(ServerName, Bid)> {
    let now = shared.now();
    let bid_for = |name: ServerName| {
        let holder = shared.held_runner(&name)?;
        let engine = shared.engine_of(&name)?;
        let bid = bid(&holder.state(), request, &shared.engine_timings(), &engine, now);
        Some((name, bid))
    };
    servers.into_iter().filter_map(bid_for).collect()
}

/// The result of requesting admission to a runner.
///
/// The names of the variants are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now; the number identifies it to the runner's holder.
    Send(u64),
    /// It can't be sent to this runner.
    Denied,
    /// It is not expected to start at this runner before its caller leaves; the expected
    /// wait.
    Full(Duration),
    /// The runner's holder does not respond.
    Silent,
    /// The daemon that received the request does not hold the claim: it has just started, or
    /// the claim has moved.
    Moved,
    /// It was not decided within the wait limit; another runner may be faster by now.
    Again,
}

impl Admission {
    /// The label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Send(_) => "sent",
            Self::Denied => "denied",
            Self::Full(_) => "full",
            Self::Silent => "silent",
            Self::Moved => "moved",
            Self::Again => "again",
        }
    }
}

/// Waits for admission of a request to a runner.
///
/// `adapter_missing` says that the runner has just rejected the request for lack of its
/// adapter.
pub async fn request_admission(
    job: &Job,
    incarnation: &Incarnation,
    adapter_missing: bool,
) -> Admission {
    let limit = job.shared.now() + ADMISSION_WAIT;
    request_admission_until(job, incarnation, adapter_missing, limit).await
}

/// Like [`request_admission`], but waits until `limit`.
pub async fn request_admission_until(
    job: &Job,
    incarnation: &Incarnation,
    adapter_missing: bool,
    limit: Instant,
) -> Admission {
    let server = &incarnation.server;
    let started = job.shared.now();
    let classified = job.shared.policy(&job.service).uses_class() || job.must_continue();
    let mut moved_at = None;
    let admission = loop {
        let requested_at = job.shared.now();
        let (number, receiver) = job.shared.peers.open_request();
        let decided = false;
        let pending = PendingAdmission {
            job,
            incarnation,
            server,
            number,
            classified,
            limit,
            decided,
        };
        let admission = match job.shared.held_runner(server) {
            Some(holder) => pending.request_local(&holder, adapter_missing).await,
            None => pending.request_remote(receiver, adapter_missing).await,
        };
        match admission {
            // A response that has started is not refused. It is queued again with its class,
            // without which the holder would not count it as latency-tolerant; the next
            // refusal takes the holder two forecasts.
            Admission::Full(_) if job.response_started => {}
            Admission::Moved | Admission::Silent => {
                let now = job.shared.now();
                let is_leaving = *job.shared.shutting_down.borrow();
                // It was queued, so that this is not the move that it was told of before.
                if now.saturating_duration_since(requested_at) > RESPONSE_TIMEOUT {
                    moved_at = None;
                }
                let waits_until = match admission {
                    _ if is_leaving => limit,
                    Admission::Moved => *moved_at.get_or_insert(now) + MOVE_TIMEOUT,
                    _ => now,
                };
                match now + NO_VERDICT_DELAY <= waits_until.min(limit) {
                    true => sleep(NO_VERDICT_DELAY).await,
                    // Sent without a verdict, it might wait at a full runner until the exit.
                    false if is_leaving => break Admission::Again,
                    false => break admission,
                }
            }
            admission => break admission,
        }
    };
    job.shared.metrics.count(Step::Turn, admission.label());
    let waited = job.shared.now().saturating_duration_since(started);
    job.shared.metrics.observe(Span::Turn, waited);
    let (holder, claim_version) = holder::claim(&job.shared, server).unzip();
    info!(job.shared.log, "turn"; "id" => job.id(), "server" => server.to_string(),
        "turn" => format!("{admission:?}"), "missed" => adapter_missing,
        "holder" => holder.map(|holder| holder.to_string()),
        "claim_version" => claim_version,
        "leaving" => *job.shared.shutting_down.borrow(),
        "waited_ms" => waited.as_millis() as u64);
    admission
}

/// Decides whether the next try to request admission is sent with the class of the request.
///
/// Daemons of older versions don't read the message with the class and don't respond, so that
/// a try without a response is followed by one without the class.
#[derive(Debug)]
pub struct ClassSending {
    uses_class: bool,
    unanswered: u32,
}

impl ClassSending {
    /// Starts with the class if it is used at all.
    pub fn new(uses_class: bool) -> Self {
        Self { uses_class, unanswered: 0 }
    }

    /// Whether the next try is sent with the class.
    pub fn next_try(&mut self) -> bool {
        self.unanswered += 1;
        self.uses_class && self.unanswered % 2 == 1
    }

    /// Records that the holder responded.
    pub fn record_response(&mut self) {
        self.unanswered = 0;
    }
}

/// A request for admission; withdraws itself if dropped before it is decided.
struct PendingAdmission<'a> {
    job: &'a Job,
    incarnation: &'a Incarnation,
    server: &'a ServerName,
    number: u64,
    /// Whether the holder is sent the class of the request.
    classified: bool,
    /// Until when to wait.
    limit: Instant,
    decided: bool,
}

impl PendingAdmission<'_> {
    /// Waits for admission to a runner that this daemon holds.
    async fn request_local(
        mut self,
        holder: &Arc<HeldRunner>,
        adapter_missing: bool,
    ) -> Admission {
        let shared = &self.job.shared;
        let (sender, receiver) = oneshot::channel();
        let Some(request) = self.job.generation_request() else {
            return Admission::Denied;
        };
        let key = (shared.peers.me, self.number);
        let class = self.job.class();
        let refusable = self.classified && !self.job.response_started;
        let admission_request =
            AdmissionRequest { key, request, adapter_missing, class, refusable };
        admission::request_admission(
            shared,
            holder,
            admission_request,
            ReplyTo::Local(sender),
        );
        let wait = self.limit.saturating_duration_since(shared.now());
        let Ok(verdict) = timeout(wait, receiver).await else {
            return Admission::Again;
        };
        self.decided = true;
        match verdict {
            Ok(AdmissionVerdict::Send) => Admission::Send(self.number),
            Ok(AdmissionVerdict::Full(millis)) => {
                Admission::Full(Duration::from_millis(millis.into()))
            }
            Ok(AdmissionVerdict::Denied | AdmissionVerdict::Queued) => Admission::Denied,
            // The claim was lost.
            Ok(AdmissionVerdict::Moved) | Err(_) => Admission::Moved,
        }
    }

    /// Waits for admission to a runner that another daemon holds.
    async fn request_remote(
        mut self,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        adapter_missing: bool,
    ) -> Admission {
        let shared = &self.job.shared;
        let mut unanswered = 0;
        let mut sending = ClassSending::new(self.classified);
        while unanswered < MAX_UNANSWERED {
            if shared.now() >= self.limit {
                return Admission::Again;
            }
            let Some(request) = self.job.generation_request() else {
                return Admission::Denied;
            };
            let Some((member, addr)) = holder::holder(shared, self.server) else { break };
            server_limits::announce(shared, self.incarnation, (member, addr));
            let number = self.number;
            let with_class = sending.next_try();
            shared.peers.send(addr, self.message(request, adapter_missing, with_class));
            let mut wait = RESPONSE_TIMEOUT;
            loop {
                let response = timeout(wait, receiver.recv()).await;
                let Ok(Some(Message::AdmissionResponse { verdict, .. })) = response
                else {
                    break;
                };
                unanswered = 0;
                sending.record_response();
                match verdict {
                    AdmissionVerdict::Queued => {
                        wait = self
                            .limit
                            .saturating_duration_since(shared.now())
                            .min(QUEUED_TIMEOUT);
                    }
                    AdmissionVerdict::Send => {
                        return self.decide(Admission::Send(number));
                    }
                    AdmissionVerdict::Denied => return self.decide(Admission::Denied),
                    AdmissionVerdict::Full(millis) => {
                        let wait = Duration::from_millis(millis.into());
                        return self.decide(Admission::Full(wait));
                    }
                    AdmissionVerdict::Moved => return self.decide(Admission::Moved),
                }
            }
            unanswered += 1;
        }
        Admission::Silent
    }

    /// The message that requests admission.
    fn message(
        &self,
        request: GenerationRequest,
        adapter_missing: bool,
        with_class: bool,
    ) -> Message {
        let (number, server) = (self.number, self.server.clone());
        if !with_class {
            return Message::AdmissionRequest {
                number,
                server,
                request,
                adapter_missing,
            };
        }
        let class = self.job.class();
        if class.must_continue {
            return Message::ContinuationRequest {
                number,
                server,
                request,
                adapter_missing,
            };
        }
        Message::ClassifiedRequest { number, server, request, adapter_missing, class }
    }

    fn decide(&mut self, admission: Admission) -> Admission {
        self.decided = true;
        admission
    }
}

impl Drop for PendingAdmission<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        withdraw(&self.job.shared, self.server.clone(), self.number);
    }
}

/// Gives an admission back, with which no byte of the request was sent.
///
/// Otherwise the holder counts its prefill and its stream as running for seconds. Holders
/// undo an admission only for late binding.
pub fn give_back(job: &Job, target: &Target) {
    if let Some(number) = target.number
        && job.call.target.is_some()
        && job.shared.policy(&job.service).late_binding
    {
        withdraw(&job.shared, target.name.clone(), number);
    }
}

/// Tells a runner's holder that a request is not sent there.
fn withdraw(shared: &Shared, server: ServerName, number: u64) {
    if let Some(holder) = shared.held_runner(&server) {
        admission::withdraw(shared, &holder, (shared.peers.me, number));
    } else if let Some(addr) = holder::holder_addr(shared, &server) {
        shared.peers.send(addr, Message::Withdrawal { number, server });
    }
}
