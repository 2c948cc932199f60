//! The actor that owns the admission state of the backend servers that this daemon leads.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use chestnut_admit::{
    AdmissionController, AdmissionPolicy, AttemptEnd, Effect, Job, Limits, Rejection,
    Ticket,
};
use chestnut_base::ServerName;
use chestnut_member::ClaimKey;
use chestnut_wire::ServerLoad;
use indexmap::IndexMap;
use kameo::Actor;
use kameo::message::{Context, Message};
use prometheus_client::metrics::counter::Counter;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// The load of each led backend server, as of its last change.
pub type ServerLoads = Arc<Mutex<IndexMap<ServerName, ServerLoad>>>;

/// A message to the actor.
pub enum AdmissionEvent {
    /// A request for admission.
    Offer(Box<Offer>),
    /// Tokens of a dispatched request arrived.
    Tokens {
        /// The request's number.
        number: u64,
        /// The number of tokens since the last report.
        count: u32,
        /// When the last of them arrived.
        at: Instant,
    },
    /// A request has ended, whether it was dispatched or not.
    Finish {
        /// The request's number.
        number: u64,
        /// How it ended.
        end: AttemptEnd,
        /// Whether it is a call of a plain service, which counts as one token.
        is_service_call: bool,
        /// When it ended.
        at: Instant,
    },
    /// The periodic tick, with the current time.
    Tick(Instant),
}

/// A request for admission to a backend server.
pub struct Offer {
    /// The request's number, unique within this daemon.
    pub number: u64,
    /// The backend server to dispatch to.
    pub server: ServerName,
    /// The properties that admission depends on.
    pub job: Job,
    /// The limits of the backend server, as declared now.
    pub limits: Limits,
    /// When the request arrived.
    pub at: Instant,
    /// Receives the decision.
    pub reply: oneshot::Sender<Decision>,
}

/// The decision on a request for admission.
pub enum Decision {
    /// The request may be dispatched; the receiver completes when it is preempted.
    Dispatch(oneshot::Receiver<()>),
    /// The request is refused and did not run.
    Refuse(Rejection),
}

/// The admission state of all backend servers that this daemon leads.
#[derive(Actor)]
pub struct AdmissionActor {
    shared: Arc<Shared>,
    servers: IndexMap<ServerName, ServerState>,
    /// The backend server and ticket of each request that has not ended, by its number.
    tickets: IndexMap<u64, (ServerName, Ticket)>,
    loads: ServerLoads,
    counters: Counters,
}

/// The admission state of one backend server.
struct ServerState {
    controller: AdmissionController,
    waiting: IndexMap<Ticket, oneshot::Sender<Decision>>,
    running: IndexMap<Ticket, Option<oneshot::Sender<()>>>,
}

struct Counters {
    dispatched: Counter,
    refused: Counter,
    preempted: Counter,
}

impl AdmissionActor {
    /// Creates the state of a daemon that leads no backend server yet.
    pub fn new(shared: Arc<Shared>, loads: ServerLoads) -> Self {
        let counters = Counters::register(&shared);
        Self {
            shared,
            servers: IndexMap::new(),
            tickets: IndexMap::new(),
            loads,
            counters,
        }
    }

    fn offer(&mut self, offer: Offer) {
        let Offer { number, server, job, limits, at, reply } = offer;
        let server_state =
            self.servers.entry(server.clone()).or_insert_with(|| ServerState {
                controller: AdmissionController::new(
                    limits,
                    AdmissionPolicy::default(),
                    at,
                ),
                waiting: IndexMap::new(),
                running: IndexMap::new(),
            });
        server_state.controller.set_limits(limits);
        let ticket = server_state.controller.offer(job, at);
        server_state.waiting.insert(ticket, reply);
        self.tickets.insert(number, (server.clone(), ticket));
        self.apply_effects(&server, at);
    }

    fn record_tokens(&mut self, number: u64, count: u32, at: Instant) {
        let Some((server, ticket)) = self.tickets.get(&number) else { return };
        if let Some(server_state) = self.servers.get_mut(server) {
            server_state.controller.record_tokens(*ticket, count, at);
        }
    }

    fn finish(
        &mut self,
        number: u64,
        end: AttemptEnd,
        is_service_call: bool,
        at: Instant,
    ) {
        let Some((server, ticket)) = self.tickets.swap_remove(&number) else { return };
        if let Some(server_state) = self.servers.get_mut(&server) {
            server_state.waiting.swap_remove(&ticket);
            server_state.running.swap_remove(&ticket);
            if is_service_call && end == AttemptEnd::Completed {
                server_state.controller.record_tokens(ticket, 1, at);
            }
            server_state.controller.finish(ticket, end, at);
        }
        self.apply_effects(&server, at);
    }

    /// Advances the time, and drops the backend servers that other daemons have claimed once
    /// they have no request in flight.
    fn tick(&mut self, now: Instant) {
        let view = self.shared.view();
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let holder = view.holder(&ClaimKey::Server(name.clone()));
            let is_lead = holder.is_some_and(|(claim, _)| claim.holder == self.shared.me);
            let server_state = &mut self.servers[&name];
            if is_lead {
                server_state.controller.reopen();
                server_state.controller.tick(now);
            } else {
                server_state.controller.close(now);
            }
            let is_idle = server_state.controller.in_flight().0 == 0;
            self.apply_effects(&name, now);
            if !is_lead && is_idle {
                self.servers.swap_remove(&name);
                self.publish(|loads| {
                    loads.swap_remove(&name);
                });
            }
        }
    }

    /// Applies the controller's decisions on a backend server and publishes its load.
    fn apply_effects(&mut self, server: &ServerName, now: Instant) {
        let Some(server_state) = self.servers.get_mut(server) else { return };
        for effect in server_state.controller.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    self.counters.dispatched.inc();
                    let (preempt, preempted) = oneshot::channel();
                    server_state.running.insert(ticket, Some(preempt));
                    if let Some(reply) = server_state.waiting.swap_remove(&ticket) {
                        // A request that no longer waits has already reported its end.
                        drop(reply.send(Decision::Dispatch(preempted)));
                    }
                }
                Effect::Refuse(ticket, rejection) => {
                    self.counters.refused.inc();
                    if let Some(reply) = server_state.waiting.swap_remove(&ticket) {
                        drop(reply.send(Decision::Refuse(rejection)));
                    }
                }
                Effect::Preempt(ticket) => {
                    self.counters.preempted.inc();
                    let preempt =
                        server_state.running.get_mut(&ticket).and_then(Option::take);
                    // Fails only if the stream has just ended.
                    preempt.map(|preempt| preempt.send(()).ok());
                }
            }
        }
        let load = server_load(&server_state.controller, now);
        self.publish(|loads| {
            loads.insert(server.clone(), load);
        });
    }

    fn publish(&self, change: impl FnOnce(&mut IndexMap<ServerName, ServerLoad>)) {
        change(&mut self.loads.lock().expect("no holder of the loads panics"));
    }
}

impl Message<AdmissionEvent> for AdmissionActor {
    type Reply = ();

    async fn handle(&mut self, event: AdmissionEvent, _: &mut Context<Self, ()>) {
        match event {
            AdmissionEvent::Offer(offer) => self.offer(*offer),
            AdmissionEvent::Tokens { number, count, at } => {
                self.record_tokens(number, count, at)
            }
            AdmissionEvent::Finish { number, end, is_service_call, at } => {
                self.finish(number, end, is_service_call, at);
            }
            AdmissionEvent::Tick(now) => self.tick(now),
        }
    }
}

impl Counters {
    fn register(shared: &Shared) -> Self {
        let (dispatched, refused, preempted) =
            (Counter::default(), Counter::default(), Counter::default());
        shared.metrics.register(|registry| {
            let help = "Requests that leads handed to backend servers";
            registry.register("lead_dispatched", help, dispatched.clone());
            let help = "Requests that leads refused as not run";
            registry.register("lead_refused", help, refused.clone());
            let help = "Slow streams that leads preempted for urgent requests";
            registry.register("lead_preempted", help, preempted.clone());
        });
        Self { dispatched, refused, preempted }
    }
}

fn server_load(controller: &AdmissionController, now: Instant) -> ServerLoad {
    let snapshot = controller.snapshot(now);
    ServerLoad {
        running: snapshot.running,
        queued: snapshot.queued,
        tokens: snapshot.cache_tokens,
        wait_ms: u32::try_from(snapshot.estimated_wait.as_millis()).unwrap_or(u32::MAX),
        step_us: u32::try_from(snapshot.step_time.as_micros()).unwrap_or(u32::MAX),
    }
}
