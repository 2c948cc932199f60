//! Admission and dispatch at the backend servers that this daemon leads.
//!
//! The `admit` crate decides on admission; one actor, in `actor`, owns its state. Token
//! streams bypass the actor and only report their progress to it a few times a second.

mod actor;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_admit::{AttemptEnd, Job, Limits, Rejection};
use chestnut_base::{Refusal, RefusalCode, ServerName, Target};
use chestnut_config::Catalog;
use chestnut_member::{ClaimKey, ServerRole};
use chestnut_wire::{AttemptRequest, PeerResponse, RetryHint, ServerLoad};
use indexmap::IndexMap;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use self::actor::{AdmissionActor, AdmissionEvent, Decision, Offer, ServerLoads};
use crate::engine::{self, CallOutcome};
use crate::node::Node;
use crate::orders::usage;
use crate::pick::SERVICE_STEP_TIME;
use crate::shared::Shared;
use crate::single;

/// The `Retry-After` of requests that were refused for a transient reason, or by the
/// backend server.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The maximum number of requests that wait at the lead of one backend server.
///
/// Eight full batches: with more, the last requests would wait for longer than the deadlines
/// of most kinds, and each one costs time in every decision.
const MAX_QUEUED: usize = 256;

/// The maximum size of all request bodies that wait at this daemon, of the 64 MB of memory
/// that it may use.
const MAX_QUEUED_BODY_BYTES: usize = 16 << 20;

/// The interval at which the actor refuses waiting requests that can no longer meet their
/// deadline, and checks which backend servers this daemon still leads.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a stream reports its tokens to the actor.
const TOKEN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The backend servers that this daemon leads.
pub struct LedServers {
    shared: Arc<Shared>,
    actor: ActorRef<AdmissionActor>,
    loads: ServerLoads,
    next_number: AtomicU64,
    /// The size of all request bodies that wait, in bytes.
    queued_body_bytes: Arc<AtomicUsize>,
    ticker: JoinHandle<()>,
}

/// Permission to run one attempt; dropping it releases the capacity.
pub struct Grant {
    /// The address of the backend server.
    pub address: SocketAddr,
    guard: RequestGuard,
    /// Keeps the model resident while the attempt runs.
    _model_in_use: Option<usage::UsageGuard>,
    loads: ServerLoads,
    preemption: Option<oneshot::Receiver<()>>,
    unreported: Mutex<UnreportedTokens>,
}

/// Tokens that were not reported to the actor yet.
struct UnreportedTokens {
    count: u32,
    /// Whether no token of the attempt was reported yet.
    first: bool,
    reported_at: Instant,
}

/// A request that is known to the actor; dropping it reports the end of the request.
struct RequestGuard {
    shared: Arc<Shared>,
    actor: ActorRef<AdmissionActor>,
    server: ServerName,
    number: u64,
    is_service_call: bool,
    end: AttemptEnd,
}

/// How a dispatched attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The response is complete.
    Completed,
    /// The backend server refused the request or was unreachable.
    Refused,
    /// The response was interrupted.
    Interrupted,
    /// The receiver of the response was dropped, or the stream was preempted.
    Cancelled,
}

impl LedServers {
    /// Starts the actor of a daemon that leads no backend server yet.
    ///
    /// Must be called within the runtime, since it spawns the actor.
    pub fn new(shared: Arc<Shared>) -> Self {
        let loads = ServerLoads::default();
        // Unbounded, so that the end of a request, which is reported when its guard is
        // dropped, is never lost; the number of requests is bounded.
        let state = AdmissionActor::new(shared.clone(), loads.clone());
        let actor = AdmissionActor::spawn_with_mailbox(state, mailbox::unbounded());
        let ticker = tokio::spawn(run_ticker(shared.clone(), actor.clone()));
        Self {
            shared,
            actor,
            loads,
            next_number: AtomicU64::new(0),
            queued_body_bytes: Arc::default(),
            ticker,
        }
    }

    /// The load of each backend server that this daemon leads.
    pub fn loads(&self) -> IndexMap<ServerName, ServerLoad> {
        self.loads.lock().expect("no holder of the loads panics").clone()
    }

    /// Waits until an attempt may be dispatched or is refused.
    ///
    /// Dropping the future withdraws the attempt.
    pub async fn admit(
        &self,
        attempt: &AttemptRequest,
    ) -> Result<Grant, (Refusal, RetryHint)> {
        let view = self.shared.view();
        let is_lead = view
            .holder(&ClaimKey::Server(attempt.server.clone()))
            .is_some_and(|(claim, _)| claim.holder == self.shared.me);
        let info = view.servers.get(&attempt.server).filter(|_| is_lead);
        let Some(info) = info.filter(|info| !info.leaving) else {
            return Err(transient_refusal(
                RefusalCode::Unavailable,
                "this daemon is not the backend server's lead",
            ));
        };
        // Held before the check, so that the model is not unloaded after it.
        let model_in_use =
            self.shared.usage.acquire_target(&attempt.server, &attempt.request.target);
        if !self.is_resident(attempt) {
            return Err(transient_refusal(
                RefusalCode::NotResident,
                "the model is not resident on the backend server",
            ));
        }
        let catalog = self.shared.catalog();
        let Some(limits) = limits(&catalog, &info.role) else {
            return Err(transient_refusal(
                RefusalCode::Unavailable,
                "the backend server's pool or service is not declared",
            ));
        };
        let Some(_queued_body) =
            QueuedBody::try_reserve(&self.queued_body_bytes, attempt.call.body.len())
        else {
            return Err(transient_refusal(
                RefusalCode::EntryFull,
                "too many request bodies wait at the lead",
            ));
        };
        let (guard, decision) =
            self.send_offer(attempt, job(&catalog, attempt, self.now()), limits);
        match decision.await {
            Ok(Decision::Dispatch(preemption)) => Ok(Grant {
                address: info.address,
                guard,
                _model_in_use: model_in_use,
                loads: self.loads.clone(),
                preemption: Some(preemption),
                unreported: Mutex::new(UnreportedTokens {
                    count: 0,
                    first: true,
                    reported_at: self.now(),
                }),
            }),
            Ok(Decision::Refuse(rejection)) => {
                Err(self.refusal(&attempt.server, rejection))
            }
            Err(_) => {
                Err(transient_refusal(RefusalCode::Internal, "the lead has stopped"))
            }
        }
    }

    /// Offers a request to the actor; the receiver gets the decision.
    fn send_offer(
        &self,
        attempt: &AttemptRequest,
        job: Job,
        limits: Limits,
    ) -> (RequestGuard, oneshot::Receiver<Decision>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let guard = RequestGuard {
            shared: self.shared.clone(),
            actor: self.actor.clone(),
            server: attempt.server.clone(),
            number,
            is_service_call: matches!(attempt.request.target, Target::Service { .. }),
            end: AttemptEnd::Cancelled,
        };
        let (reply, decision) = oneshot::channel();
        let (server, at) = (attempt.server.clone(), self.now());
        let offer = Offer { number, server, job, limits, at, reply };
        guard.notify(AdmissionEvent::Offer(Box::new(offer)));
        (guard, decision)
    }

    fn refusal(&self, server: &ServerName, rejection: Rejection) -> (Refusal, RetryHint) {
        let Rejection { reason, retry_after } = rejection;
        let mut refusal = Refusal::not_run(reason.code(), reason.message());
        refusal.retry_after = retry_after;
        let try_other_server = reason.may_retry_elsewhere();
        (refusal, RetryHint { try_other_server, load: server_load(&self.loads, server) })
    }

    fn is_resident(&self, attempt: &AttemptRequest) -> bool {
        let residency = self.shared.residency();
        match &attempt.request.target {
            Target::Model { model, version, adapter } => {
                residency.serves(&attempt.server, model, version, adapter.as_ref())
            }
            Target::Service { .. } => true,
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

impl Drop for LedServers {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

impl Grant {
    /// Records tokens that arrived; they are reported to the actor in batches, the first
    /// ones at once.
    pub fn record_tokens(&self, count: u32) {
        let now = self.guard.shared.clock.now();
        let mut unreported =
            self.unreported.lock().expect("no holder of the count panics");
        unreported.count += count;
        if unreported.first
            || now.saturating_duration_since(unreported.reported_at)
                >= TOKEN_REPORT_INTERVAL
        {
            let (number, count) = (self.guard.number, unreported.count);
            *unreported = UnreportedTokens { count: 0, first: false, reported_at: now };
            self.guard.notify(AdmissionEvent::Tokens { number, count, at: now });
        }
    }

    /// Completes when the attempt is preempted by an urgent request.
    ///
    /// Only the future of the first call does; those of later calls never complete.
    pub fn preempted(&mut self) -> impl Future<Output = ()> + use<> {
        let preemption = self.preemption.take();
        async move {
            let preempted = match preemption {
                Some(preemption) => preemption.await.is_ok(),
                None => false,
            };
            if !preempted {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Ends the attempt and returns the backend server's load without it.
    pub fn finish(mut self, end: DispatchEnd) -> ServerLoad {
        self.guard.end = match end {
            DispatchEnd::Completed => AttemptEnd::Completed,
            DispatchEnd::Refused | DispatchEnd::Interrupted => AttemptEnd::Failed,
            DispatchEnd::Cancelled => AttemptEnd::Cancelled,
        };
        let load = server_load(&self.loads, &self.guard.server).unwrap_or_default();
        ServerLoad { running: load.running.saturating_sub(1), ..load }
    }
}

impl RequestGuard {
    fn notify(&self, event: AdmissionEvent) {
        // The actor stops only with the daemon, which then no longer needs the counts.
        drop(self.actor.tell(event).try_send());
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let (number, end, is_service_call) =
            (self.number, self.end, self.is_service_call);
        let at = self.shared.clock.now();
        self.notify(AdmissionEvent::Finish { number, end, is_service_call, at });
    }
}

/// The reserved bytes of a body that waits; dropping it releases them.
struct QueuedBody {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl QueuedBody {
    fn try_reserve(queued_body_bytes: &Arc<AtomicUsize>, bytes: usize) -> Option<Self> {
        let body = Self { total: queued_body_bytes.clone(), bytes };
        let reserved = queued_body_bytes.fetch_add(bytes, Ordering::Relaxed);
        (reserved + bytes <= MAX_QUEUED_BODY_BYTES).then_some(body)
    }
}

impl Drop for QueuedBody {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

async fn run_ticker(shared: Arc<Shared>, actor: ActorRef<AdmissionActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        if actor.tell(AdmissionEvent::Tick(now)).send().await.is_err() {
            return;
        }
    }
}

/// The limits of a backend server; `None` if its pool or service is not declared.
fn limits(catalog: &Catalog, role: &ServerRole) -> Option<Limits> {
    match role {
        ServerRole::Runner(pool) => {
            let pool = catalog.pools.get(pool)?;
            let (streams, tokens, step) =
                (pool.max_streams, pool.kv_tokens, pool.step_time);
            Some(Limits {
                max_streams: streams,
                max_cache_tokens: tokens,
                max_queued: MAX_QUEUED,
                step_time: step,
            })
        }
        ServerRole::Service(name) => {
            let streams = catalog.services.get(name)?.max_parallel;
            Some(Limits {
                max_streams: streams,
                max_cache_tokens: u64::MAX,
                max_queued: MAX_QUEUED,
                step_time: SERVICE_STEP_TIME,
            })
        }
    }
}

/// The properties of a request that admission depends on.
fn job(catalog: &Catalog, attempt: &AttemptRequest, now: Instant) -> Job {
    let request = &attempt.request;
    let received = attempt.resume.as_ref().map_or(0, |resume| resume.tokens);
    let caller = catalog.callers.get(&request.caller);
    let (prompt, output) = match &request.target {
        Target::Model { .. } => (request.prompt_tokens, request.max_output_tokens),
        // A call of a plain service counts as one token, so that its service time is
        // measured as a step.
        Target::Service { .. } => (0, 1),
    };
    Job {
        caller: request.caller.clone(),
        team: caller.map_or(&request.team, |caller| &caller.team).clone(),
        share: caller.map_or(1, |caller| caller.account.share),
        urgency: request.urgency,
        deadline: now + request.budget,
        prompt_tokens: prompt.saturating_add(received),
        max_output_tokens: output.saturating_sub(received),
        resumable: request.idempotent && matches!(request.target, Target::Model { .. }),
        resumed: received > 0,
    }
}

fn server_load(loads: &ServerLoads, server: &ServerName) -> Option<ServerLoad> {
    loads.lock().expect("no holder of the loads panics").get(server).copied()
}

fn transient_refusal(code: RefusalCode, text: &str) -> (Refusal, RetryHint) {
    let text = format!("{text}; send the request again after the given time");
    let refusal = Refusal::not_run(code, text).with_retry_after(RETRY_AFTER);
    (refusal, RetryHint { try_other_server: true, load: None })
}

/// Runs one attempt at a backend server that this daemon leads, and sends its frames to
/// `out`.
pub async fn serve(
    node: &Arc<Node>,
    attempt: AttemptRequest,
    out: mpsc::Sender<PeerResponse>,
) {
    let out = single::detach_run(node, &attempt, out);
    if out.send(PeerResponse::Queued).await.is_err() {
        return;
    }
    // Held before the check that the model is resident, so that it is not unloaded
    // between the check and the end of the stream.
    let _model_in_use =
        node.shared.usage.acquire_target(&attempt.server, &attempt.request.target);
    let admitted = tokio::select! {
        admitted = node.led_servers.admit(&attempt) => admitted,
        () = out.closed() => return,
    };
    let mut grant = match admitted {
        Ok(grant) => grant,
        Err((refusal, hint)) => {
            // Fails only if the requesting daemon has disconnected.
            drop(out.send(PeerResponse::Refused { refusal, hint }).await);
            return;
        }
    };
    let address = grant.address;
    let dispatch = match node.poison.begin_dispatch(&node.shared, &attempt, &out).await {
        Ok(dispatch) => dispatch,
        Err(refusal) => {
            drop(
                out.send(PeerResponse::Refused { refusal, hint: RetryHint::default() })
                    .await,
            );
            return;
        }
    };
    let preempted = grant.preempted();
    let call = engine::call(&node.http, address, &attempt, &out, |count| {
        grant.record_tokens(count)
    });
    let end = tokio::select! {
        end = call => end,
        () = preempted => {
            // The stream is free only once the engine has stopped it.
            engine::cancel(&node.http, address, &attempt).await;
            dispatch.finish(node, address, &CallOutcome::Cancelled).await;
            let load = grant.finish(DispatchEnd::Cancelled);
            drop(out.send(PeerResponse::Preempted { load }).await);
            return;
        }
    };
    let crashed = dispatch.finish(node, address, &end).await;
    let last = match end {
        CallOutcome::Completed(reason) => {
            PeerResponse::End { reason, load: grant.finish(DispatchEnd::Completed) }
        }
        CallOutcome::NotSent(reason) => server_refusal(
            RefusalCode::Unavailable,
            reason,
            grant.finish(DispatchEnd::Refused),
        ),
        CallOutcome::Refused(reason) => server_refusal(
            RefusalCode::Overloaded,
            reason,
            grant.finish(DispatchEnd::Refused),
        ),
        CallOutcome::Interrupted { reason, .. } => {
            grant.finish(DispatchEnd::Interrupted);
            PeerResponse::Broken { message: reason, crashed }
        }
        CallOutcome::Cancelled => {
            engine::cancel(&node.http, address, &attempt).await;
            grant.finish(DispatchEnd::Cancelled);
            return;
        }
    };
    drop(out.send(last).await);
}

fn server_refusal(code: RefusalCode, reason: String, load: ServerLoad) -> PeerResponse {
    let text =
        format!("the backend server did not accept the request ({reason}); retry later");
    let refusal = Refusal::not_run(code, text).with_retry_after(RETRY_AFTER);
    PeerResponse::Refused {
        refusal,
        hint: RetryHint { try_other_server: true, load: Some(load) },
    }
}
