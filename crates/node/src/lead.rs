//! The queues of the backend servers that this daemon leads.
//!
//! The state is the `admit` crate's and belongs to one actor, [`table`]; streams
//! of tokens pass beside it and only tell it, a few times a second, how far they
//! are.

mod table;

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

use self::table::{Decision, Event, Loads, Offer, Table};
use crate::engine::{self, CallEnd};
use crate::node::Node;
use crate::orders::usage;
use crate::pick::CALL;
use crate::shared::Shared;
use crate::single;

/// The time after which a request that a passing state refused may come back.
const COME_BACK: Duration = Duration::from_millis(500);

/// Requests that wait at one backend server's lead.
///
/// Eight full batches: with more waiting, the last ones would wait for longer
/// than the deadlines of most kinds, and each costs time in every decision.
const QUEUE: usize = 256;

/// Bytes of bodies that wait at this daemon's leads, of the 64 MB that it may use.
const BODIES: usize = 16 << 20;

/// How often leads look whether what waits can still be in time.
const TICK: Duration = Duration::from_millis(100);

/// How often a stream tells its lead of its tokens.
const TELL: Duration = Duration::from_millis(100);

/// The queues of the backend servers that this daemon leads.
pub struct Leads {
    shared: Arc<Shared>,
    table: ActorRef<Table>,
    loads: Loads,
    numbers: AtomicU64,
    /// Bytes of bodies that wait.
    bodies: Arc<AtomicUsize>,
    ticker: JoinHandle<()>,
}

/// The right to run one attempt; dropping it gives the capacity back.
pub struct Grant {
    /// Where the backend server listens.
    pub address: SocketAddr,
    hold: Hold,
    /// Keeps the model resident while the attempt runs.
    _used: Option<usage::Hold>,
    loads: Loads,
    stopped: Option<oneshot::Receiver<()>>,
    told: Mutex<Told>,
}

/// Tokens that the lead was not told of yet.
struct Told {
    count: u32,
    first: bool,
    at: Instant,
}

/// A request at its lead; dropping it ends it there.
struct Hold {
    shared: Arc<Shared>,
    table: ActorRef<Table>,
    server: ServerName,
    number: u64,
    call: bool,
    how: AttemptEnd,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// The answer is whole.
    Whole,
    /// The backend server refused or was not reached.
    Refused,
    /// The answer broke off.
    Broken,
    /// Nobody waits any more, or the stream was preempted.
    Abandoned,
}

impl Leads {
    /// Creates the queues of a daemon that leads nothing yet.
    ///
    /// Must be called within the runtime, since it starts the actor.
    pub fn new(shared: Arc<Shared>) -> Self {
        let loads = Loads::default();
        // Without a bound, so that the end of a request, which is told when its
        // guard is dropped, is never lost; the requests themselves are bounded.
        let state = Table::new(shared.clone(), loads.clone());
        let table = Table::spawn_with_mailbox(state, mailbox::unbounded());
        let ticker = tokio::spawn(tick(shared.clone(), table.clone()));
        Self {
            shared,
            table,
            loads,
            numbers: AtomicU64::new(0),
            bodies: Arc::default(),
            ticker,
        }
    }

    /// The load of each backend server that is led.
    pub fn loads(&self) -> IndexMap<ServerName, ServerLoad> {
        self.loads.lock().expect("no holder of the loads panics").clone()
    }

    /// Offers an attempt; returns when it may be dispatched or is refused.
    pub async fn offer(
        &self,
        run: &AttemptRequest,
    ) -> Result<Grant, (Refusal, RetryHint)> {
        let view = self.shared.view();
        let led = view
            .holder(&ClaimKey::Server(run.server.clone()))
            .is_some_and(|(claim, _)| claim.holder == self.shared.me);
        let info = view.servers.get(&run.server).filter(|_| led);
        let Some(info) = info.filter(|info| !info.leaving) else {
            return Err(passing(
                RefusalCode::Unavailable,
                "this daemon does not lead it",
            ));
        };
        // Before the check, so that the model is not unloaded in between.
        let used = self.shared.usage.hold_target(&run.server, &run.request.target);
        if !self.holds(run) {
            return Err(passing(
                RefusalCode::NotResident,
                "the model is not resident there",
            ));
        }
        let catalog = self.shared.catalog();
        let Some(limits) = limits(&catalog, &info.role) else {
            return Err(passing(
                RefusalCode::Unavailable,
                "what it serves is not declared",
            ));
        };
        let Some(_body) = Body::take(&self.bodies, run.call.body.len()) else {
            return Err(passing(
                RefusalCode::EntryFull,
                "too many bodies wait at its lead",
            ));
        };
        let (hold, decision) = self.send(run, job(&catalog, run, self.now()), limits);
        match decision.await {
            Ok(Decision::Dispatch(stopped)) => Ok(Grant {
                address: info.address,
                hold,
                _used: used,
                loads: self.loads.clone(),
                stopped: Some(stopped),
                told: Mutex::new(Told { count: 0, first: true, at: self.now() }),
            }),
            Ok(Decision::Refuse(rejection)) => Err(self.refusal(&run.server, rejection)),
            Err(_) => Err(passing(RefusalCode::Internal, "its lead has stopped")),
        }
    }

    /// Sends an offer to the actor.
    fn send(
        &self,
        run: &AttemptRequest,
        job: Job,
        limits: Limits,
    ) -> (Hold, oneshot::Receiver<Decision>) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let hold = Hold {
            shared: self.shared.clone(),
            table: self.table.clone(),
            server: run.server.clone(),
            number,
            call: matches!(run.request.target, Target::Service { .. }),
            how: AttemptEnd::Cancelled,
        };
        let (reply, decision) = oneshot::channel();
        let (server, at) = (run.server.clone(), self.now());
        let offer = Offer { number, server, job, limits, at, reply };
        hold.tell(Event::Offer(Box::new(offer)));
        (hold, decision)
    }

    fn refusal(&self, server: &ServerName, rejection: Rejection) -> (Refusal, RetryHint) {
        let Rejection { reason, retry_after } = rejection;
        let mut refusal = Refusal::not_run(reason.code(), reason.message());
        refusal.retry_after = retry_after;
        let elsewhere = reason.may_retry_elsewhere();
        (
            refusal,
            RetryHint { try_other_server: elsewhere, load: load(&self.loads, server) },
        )
    }

    fn holds(&self, run: &AttemptRequest) -> bool {
        let residence = self.shared.residence();
        match &run.request.target {
            Target::Model { model, version, adapter } => {
                residence.serves(&run.server, model, version, adapter.as_ref())
            }
            Target::Service { .. } => true,
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

impl Drop for Leads {
    fn drop(&mut self) {
        self.ticker.abort();
    }
}

impl Grant {
    /// Takes note of tokens that arrived; the lead is told of them in batches.
    pub fn tokens(&self, count: u32) {
        let now = self.hold.shared.clock.now();
        let mut told = self.told.lock().expect("no holder of the count panics");
        told.count += count;
        if told.first || now.saturating_duration_since(told.at) >= TELL {
            let (number, count) = (self.hold.number, told.count);
            *told = Told { count: 0, first: false, at: now };
            self.hold.tell(Event::Tokens { number, count, at: now });
        }
    }

    /// A future that ends when the attempt is to give way to urgent work.
    ///
    /// The first call takes it; others never end.
    pub fn preempted(&mut self) -> impl Future<Output = ()> + use<> {
        let stopped = self.stopped.take();
        async move {
            let told = match stopped {
                Some(stopped) => stopped.await.is_ok(),
                None => false,
            };
            if !told {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Ends the attempt and tells the load that remains.
    pub fn finish(mut self, how: How) -> ServerLoad {
        self.hold.how = match how {
            How::Whole => AttemptEnd::Completed,
            How::Refused | How::Broken => AttemptEnd::Failed,
            How::Abandoned => AttemptEnd::Cancelled,
        };
        let load = load(&self.loads, &self.hold.server).unwrap_or_default();
        ServerLoad { running: load.running.saturating_sub(1), ..load }
    }
}

impl Hold {
    fn tell(&self, event: Event) {
        // The actor stops only with the daemon; then nothing is left to count.
        drop(self.table.tell(event).try_send());
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let (number, how, call) = (self.number, self.how, self.call);
        let at = self.shared.clock.now();
        self.tell(Event::Finish { number, how, call, at });
    }
}

/// Bytes of a body that waits; dropping it gives them back.
struct Body {
    bodies: Arc<AtomicUsize>,
    bytes: usize,
}

impl Body {
    fn take(bodies: &Arc<AtomicUsize>, bytes: usize) -> Option<Self> {
        let body = Self { bodies: bodies.clone(), bytes };
        let before = bodies.fetch_add(bytes, Ordering::Relaxed);
        (before + bytes <= BODIES).then_some(body)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.bodies.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

async fn tick(shared: Arc<Shared>, table: ActorRef<Table>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        if table.tell(Event::Tick(now)).send().await.is_err() {
            return;
        }
    }
}

/// What a backend server takes, if what it serves is declared.
fn limits(catalog: &Catalog, role: &ServerRole) -> Option<Limits> {
    match role {
        ServerRole::Runner(pool) => {
            let pool = catalog.pools.get(pool)?;
            let (streams, tokens, step) =
                (pool.max_streams, pool.kv_tokens, pool.step_time);
            Some(Limits {
                max_streams: streams,
                max_cache_tokens: tokens,
                max_queued: QUEUE,
                step_time: step,
            })
        }
        ServerRole::Service(name) => {
            let streams = catalog.services.get(name)?.max_parallel;
            Some(Limits {
                max_streams: streams,
                max_cache_tokens: u64::MAX,
                max_queued: QUEUE,
                step_time: CALL,
            })
        }
    }
}

/// What the lead needs to know of a request.
fn job(catalog: &Catalog, run: &AttemptRequest, now: Instant) -> Job {
    let work = &run.request;
    let have = run.resume.as_ref().map_or(0, |resume| resume.tokens);
    let caller = catalog.callers.get(&work.caller);
    let (prompt, output) = match &work.target {
        Target::Model { .. } => (work.prompt_tokens, work.max_output_tokens),
        // A call of a plain service counts as one token, so that its time is
        // measured like a first token's.
        Target::Service { .. } => (0, 1),
    };
    Job {
        caller: work.caller.clone(),
        team: caller.map_or(&work.team, |caller| &caller.team).clone(),
        share: caller.map_or(1, |caller| caller.share),
        urgency: work.urgency,
        deadline: now + work.budget,
        prompt_tokens: prompt.saturating_add(have),
        max_output_tokens: output.saturating_sub(have),
        resumable: work.idempotent && matches!(work.target, Target::Model { .. }),
        resumed: have > 0,
    }
}

fn load(loads: &Loads, server: &ServerName) -> Option<ServerLoad> {
    loads.lock().expect("no holder of the loads panics").get(server).copied()
}

fn passing(code: RefusalCode, text: &str) -> (Refusal, RetryHint) {
    let text = format!("{text}; send the request again after the time given");
    let refusal = Refusal::not_run(code, text).with_retry_after(COME_BACK);
    (refusal, RetryHint { try_other_server: true, load: None })
}

/// Carries out one attempt at a backend server that this daemon leads.
pub async fn serve(
    node: &Arc<Node>,
    run: AttemptRequest,
    out: mpsc::Sender<PeerResponse>,
) {
    let out = single::outlive(node, &run, out);
    if out.send(PeerResponse::Queued).await.is_err() {
        return;
    }
    // Before the check that the model is resident, so that it is not unloaded
    // between the check and the end of the stream.
    let _hold = node.shared.usage.hold_target(&run.server, &run.request.target);
    let offered = tokio::select! {
        offered = node.leads.offer(&run) => offered,
        () = out.closed() => return,
    };
    let mut grant = match offered {
        Ok(grant) => grant,
        Err((refusal, hint)) => {
            // The daemon that asked may be gone; then nobody needs the answer.
            drop(out.send(PeerResponse::Refused { refusal, hint }).await);
            return;
        }
    };
    let address = grant.address;
    let flight = match node.poison.enter(&node.shared, &run, &out).await {
        Ok(flight) => flight,
        Err(refusal) => {
            drop(
                out.send(PeerResponse::Refused { refusal, hint: RetryHint::default() })
                    .await,
            );
            return;
        }
    };
    let preempted = grant.preempted();
    let call = engine::call(&node.http, address, &run, &out, |count| grant.tokens(count));
    let end = tokio::select! {
        end = call => end,
        () = preempted => {
            // The stream is free only when the engine has stopped it.
            engine::cancel(&node.http, address, &run).await;
            flight.end(node, address, &CallEnd::Abandoned).await;
            let load = grant.finish(How::Abandoned);
            drop(out.send(PeerResponse::Preempted { load }).await);
            return;
        }
    };
    let crashed = flight.end(node, address, &end).await;
    let last = match end {
        CallEnd::Whole(reason) => {
            PeerResponse::End { reason, load: grant.finish(How::Whole) }
        }
        CallEnd::NotSent(why) => {
            refused(RefusalCode::Unavailable, why, grant.finish(How::Refused))
        }
        CallEnd::Refused(why) => {
            refused(RefusalCode::Overloaded, why, grant.finish(How::Refused))
        }
        CallEnd::Broken { why, .. } => {
            grant.finish(How::Broken);
            PeerResponse::Broken { message: why, crashed }
        }
        CallEnd::Abandoned => {
            engine::cancel(&node.http, address, &run).await;
            grant.finish(How::Abandoned);
            return;
        }
    };
    drop(out.send(last).await);
}

fn refused(code: RefusalCode, why: String, load: ServerLoad) -> PeerResponse {
    let text = format!("the backend server did not take the request ({why}); wait");
    let refusal = Refusal::not_run(code, text).with_retry_after(COME_BACK);
    PeerResponse::Refused {
        refusal,
        hint: RetryHint { try_other_server: true, load: Some(load) },
    }
}
