//! The actor that owns the state of all backend servers that this daemon leads.

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
pub type Loads = Arc<Mutex<IndexMap<ServerName, ServerLoad>>>;

/// What happens to a request at its lead.
pub enum Event {
    /// A request comes.
    Offer(Box<Offer>),
    /// Tokens of a dispatched request came.
    Tokens {
        /// The request's number.
        number: u64,
        /// How many.
        count: u32,
        /// When the last of them came.
        at: Instant,
    },
    /// A request has ended, whether it was dispatched or not.
    Finish {
        /// The request's number.
        number: u64,
        /// How.
        how: AttemptEnd,
        /// Whether it was a call of a plain service, which counts as one token.
        call: bool,
        /// When.
        at: Instant,
    },
    /// Some time has passed.
    Tick(Instant),
}

/// A request that comes to its lead.
pub struct Offer {
    /// A number that no other request of this daemon has.
    pub number: u64,
    /// The backend server.
    pub server: ServerName,
    /// What the lead needs to know of it.
    pub job: Job,
    /// What the backend server takes.
    pub limits: Limits,
    /// When it came.
    pub at: Instant,
    /// Where the decision goes.
    pub reply: oneshot::Sender<Decision>,
}

/// What a lead decided about a request.
pub enum Decision {
    /// It may be dispatched; the receiver tells when it is preempted.
    Dispatch(oneshot::Receiver<()>),
    /// It was not run.
    Refuse(Rejection),
}

/// The state of all backend servers that this daemon leads.
#[derive(Actor)]
pub struct Table {
    shared: Arc<Shared>,
    led: IndexMap<ServerName, Led>,
    /// Where each request that has not ended is.
    places: IndexMap<u64, (ServerName, Ticket)>,
    loads: Loads,
    counters: Counters,
}

/// One backend server that this daemon leads.
struct Led {
    lead: AdmissionController,
    waiting: IndexMap<Ticket, oneshot::Sender<Decision>>,
    running: IndexMap<Ticket, Option<oneshot::Sender<()>>>,
}

struct Counters {
    dispatched: Counter,
    refused: Counter,
    preempted: Counter,
}

impl Table {
    /// Creates the state of a daemon that leads nothing yet.
    pub fn new(shared: Arc<Shared>, loads: Loads) -> Self {
        let counters = Counters::register(&shared);
        Self { shared, led: IndexMap::new(), places: IndexMap::new(), loads, counters }
    }

    fn offer(&mut self, offer: Offer) {
        let Offer { number, server, job, limits, at, reply } = offer;
        let led = self.led.entry(server.clone()).or_insert_with(|| Led {
            lead: AdmissionController::new(limits, AdmissionPolicy::default(), at),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
        });
        led.lead.set_limits(limits);
        let ticket = led.lead.offer(job, at);
        led.waiting.insert(ticket, reply);
        self.places.insert(number, (server.clone(), ticket));
        self.settle(&server, at);
    }

    fn tokens(&mut self, number: u64, count: u32, at: Instant) {
        let Some((server, ticket)) = self.places.get(&number) else { return };
        if let Some(led) = self.led.get_mut(server) {
            led.lead.record_tokens(*ticket, count, at);
        }
    }

    fn finish(&mut self, number: u64, how: AttemptEnd, call: bool, at: Instant) {
        let Some((server, ticket)) = self.places.swap_remove(&number) else { return };
        if let Some(led) = self.led.get_mut(&server) {
            led.waiting.swap_remove(&ticket);
            led.running.swap_remove(&ticket);
            if call && how == AttemptEnd::Completed {
                led.lead.record_tokens(ticket, 1, at);
            }
            led.lead.finish(ticket, how, at);
        }
        self.settle(&server, at);
    }

    /// Lets time pass, and stops leading what other daemons have claimed.
    fn tick(&mut self, now: Instant) {
        let view = self.shared.view();
        let names: Vec<_> = self.led.keys().cloned().collect();
        for name in names {
            let holder = view.holder(&ClaimKey::Server(name.clone()));
            let held = holder.is_some_and(|(claim, _)| claim.holder == self.shared.me);
            let led = &mut self.led[&name];
            if held {
                led.lead.reopen();
                led.lead.tick(now);
            } else {
                led.lead.close(now);
            }
            let idle = led.lead.in_flight().0 == 0;
            self.settle(&name, now);
            if !held && idle {
                self.led.swap_remove(&name);
                self.publish(|loads| {
                    loads.swap_remove(&name);
                });
            }
        }
    }

    /// Carries out what a lead has decided and publishes its load.
    fn settle(&mut self, server: &ServerName, now: Instant) {
        let Some(led) = self.led.get_mut(server) else { return };
        for effect in led.lead.take_effects() {
            match effect {
                Effect::Dispatch(ticket) => {
                    self.counters.dispatched.inc();
                    let (stop, stopped) = oneshot::channel();
                    led.running.insert(ticket, Some(stop));
                    if let Some(reply) = led.waiting.swap_remove(&ticket) {
                        // One that no longer waits has sent its end already.
                        drop(reply.send(Decision::Dispatch(stopped)));
                    }
                }
                Effect::Refuse(ticket, rejection) => {
                    self.counters.refused.inc();
                    if let Some(reply) = led.waiting.swap_remove(&ticket) {
                        drop(reply.send(Decision::Refuse(rejection)));
                    }
                }
                Effect::Preempt(ticket) => {
                    self.counters.preempted.inc();
                    let stop = led.running.get_mut(&ticket).and_then(Option::take);
                    // A stream that has just ended needs no stop.
                    stop.map(|stop| stop.send(()).ok());
                }
            }
        }
        let load = load(&led.lead, now);
        self.publish(|loads| {
            loads.insert(server.clone(), load);
        });
    }

    fn publish(&self, change: impl FnOnce(&mut IndexMap<ServerName, ServerLoad>)) {
        change(&mut self.loads.lock().expect("no holder of the loads panics"));
    }
}

impl Message<Event> for Table {
    type Reply = ();

    async fn handle(&mut self, event: Event, _: &mut Context<Self, ()>) {
        match event {
            Event::Offer(offer) => self.offer(*offer),
            Event::Tokens { number, count, at } => self.tokens(number, count, at),
            Event::Finish { number, how, call, at } => {
                self.finish(number, how, call, at);
            }
            Event::Tick(now) => self.tick(now),
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

fn load(lead: &AdmissionController, now: Instant) -> ServerLoad {
    let snapshot = lead.snapshot(now);
    ServerLoad {
        running: snapshot.running,
        queued: snapshot.queued,
        tokens: snapshot.cache_tokens,
        wait_ms: u32::try_from(snapshot.estimated_wait.as_millis()).unwrap_or(u32::MAX),
        step_us: u32::try_from(snapshot.step_time.as_micros()).unwrap_or(u32::MAX),
    }
}
