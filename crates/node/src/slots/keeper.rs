//! The owner of the journal: takes in what it is told, and does what the journal decides.

use std::sync::Arc;

use chestnut_base::{
    MemberId, Outcome, Refusal, RefusalCode, RequestId, SlotId, slot_of,
};
use chestnut_member::ClaimKey;
use chestnut_once::limits::batch_interval;
use chestnut_once::{Effect, Event, Journal, Limits, Reply, Response, WaiterId};
use chestnut_wire::{OnceRequest, OnceState, PeerResponse};
use indexmap::{IndexMap, IndexSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::{IDLE, SlotsState, Told, refused, stopped};
use crate::journal::{self, Sought};
use crate::node::Node;
use crate::shared::Shared;
use crate::{single, slotlog};

/// Who waits for the journal.
enum Waiter {
    /// A caller's request; its parts are needed until it runs.
    Caller { once: Option<Box<OnceRequest>>, out: UnboundedSender<PeerResponse> },
    /// Somebody who wants to know what became of an id.
    Lookup(oneshot::Sender<OnceState>),
}

/// What the journal counts.
struct Counters {
    batches: Counter,
    changes: Counter,
    failures: Counter,
    runs: Counter,
    appends: Counter,
    ids: Gauge,
}

/// The owner of the journal.
pub(super) struct Keeper {
    node: Arc<Node>,
    journal: Journal,
    waiters: IndexMap<WaiterId, Waiter>,
    /// The slots that the view says are this daemon's, with the claims' versions.
    led: IndexMap<SlotId, u64>,
    tickets: u64,
    counters: Counters,
}

impl Keeper {
    pub(super) fn new(node: Arc<Node>) -> Self {
        let shared = &node.shared;
        let journal = Journal::new(Limits::default(), shared.me.0, shared.clock.now());
        let counters = Counters::register(shared);
        let (waiters, led) = (IndexMap::new(), IndexMap::new());
        Self { node, journal, waiters, led, tickets: 0, counters }
    }

    pub(super) async fn run(mut self, mut told: UnboundedReceiver<Told>) {
        let mut view = self.node.shared.view.subscribe();
        self.follow();
        loop {
            let now = self.node.shared.clock.now();
            let wake = self.journal.next_deadline().unwrap_or(now + IDLE).min(now + IDLE);
            let event = tokio::select! {
                event = told.recv() => event,
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.follow();
                    None
                }
                () = tokio::time::sleep_until(wake.into()) => None,
            };
            self.note_lease();
            if let Some(event) = event {
                self.take(event);
            }
            self.journal.tick(self.node.shared.clock.now());
            self.act();
            self.publish();
        }
    }

    /// Tells the journal which slots are this daemon's.
    fn follow(&mut self) {
        self.note_lease();
        let view = self.node.shared.view();
        let mut holders: IndexSet<MemberId> = IndexSet::new();
        let mut led = IndexMap::new();
        for (key, claim) in &view.claims {
            let ClaimKey::Slot(slot) = key else { continue };
            holders.insert(claim.holder);
            if claim.holder == self.node.shared.me {
                led.insert(*slot, claim.version);
            }
        }
        self.journal.set_batch_interval(batch_interval(holders.len()));
        let old = std::mem::replace(&mut self.led, led.clone());
        for slot in old.keys().filter(|slot| !led.contains_key(*slot)) {
            self.tell(Event::ClaimLost(*slot));
        }
        for (slot, version) in led {
            if old.get(&slot) != Some(&version) {
                self.tell(Event::SlotClaimed { slot, version });
            }
        }
    }

    fn note_lease(&mut self) {
        let shared = &self.node.shared;
        let lease = *shared.lease.lock().expect("no holder of the lease panics");
        let until = lease.expires_at().unwrap_or_else(|| shared.clock.now());
        self.tell(Event::LeaseExpiry(until));
    }

    fn tell(&mut self, event: Event) {
        self.journal.handle(event, self.node.shared.clock.now());
    }

    fn take(&mut self, told: Told) {
        match told {
            Told::Run { once, out } => {
                let Some(id) = once.request.id.clone() else {
                    let refusal =
                        Refusal::not_run(RefusalCode::BadRequest, "an id is missing");
                    return drop(out.send(refused(refusal)));
                };
                let slot = self.slot(&id);
                let digest = once.request.digest;
                let target = once.request.target.clone();
                let attempt = self.node.shared.attempt();
                let ticket = self.wait(Waiter::Caller { once: Some(once), out });
                self.tell(Event::Submit {
                    waiter: ticket,
                    slot,
                    id,
                    digest,
                    attempt,
                    target,
                });
            }
            Told::Lookup { id, reply } => {
                let slot = self.slot(&id);
                let ticket = self.wait(Waiter::Lookup(reply));
                self.tell(Event::Lookup { waiter: ticket, slot, id });
            }
            Told::Done(event) => self.tell(event),
        }
    }

    fn slot(&self, id: &RequestId) -> SlotId {
        slot_of(id, self.node.shared.settings.limits.journal_slots)
    }

    fn wait(&mut self, waiter: Waiter) -> WaiterId {
        self.tickets += 1;
        let ticket = WaiterId(self.tickets);
        self.waiters.insert(ticket, waiter);
        ticket
    }

    /// Carries out what the journal wants.
    fn act(&mut self) {
        while let Some(effect) = self.journal.next_effect() {
            match effect {
                Effect::Reply { waiter: ticket, reply } => self.reply(ticket, reply),
                Effect::Run { waiter: ticket, id, attempt } => {
                    self.start(ticket, id, attempt)
                }
                Effect::LoadSlot { slot, version } => {
                    self.spawn(move |node| async move {
                        let _turn = node.slots.loads.acquire().await;
                        let shared = &node.shared;
                        let (table, objects) = (&shared.table, &shared.objects);
                        journal::load(table, objects, slot, version, shared.me).await
                    })
                }
                Effect::Commit(batch) => {
                    self.counters.batches.inc();
                    self.counters.changes.inc_by(batch.changes.len() as u64);
                    let failures = self.counters.failures.clone();
                    self.spawn(move |node| async move {
                        let stored = journal::commit(&node.shared.table, &batch).await;
                        if matches!(
                            stored,
                            chestnut_once::CommitResult::Unavailable
                                | chestnut_once::CommitResult::Unknown
                        ) {
                            failures.inc();
                        }
                        Event::CommitFinished { number: batch.number, result: stored }
                    });
                }
                Effect::RecoverResponse { slot, id, attempt, target, server } => {
                    let sought = Sought { slot, id, attempt, target, server };
                    self.spawn(move |node| async move {
                        let found = journal::seek(&node, &sought).await;
                        Event::RecoveryFinished {
                            id: sought.id,
                            attempt,
                            recovered: found,
                        }
                    });
                }
                Effect::FetchBody { id, key } => self.spawn(move |node| async move {
                    let body = journal::fetch(&node, &key).await;
                    Event::BodyFetched { id, body }
                }),
                Effect::AppendToLog { slot, number, position: place, records } => {
                    self.counters.appends.inc();
                    self.spawn(move |node| async move {
                        let objects = &node.shared.objects;
                        let appended =
                            slotlog::append(objects, slot, place, &records).await;
                        Event::AppendFinished { slot, number, result: appended }
                    });
                }
                Effect::TrimLog { slot, position: place } => {
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        // What stays is read again by the next lead, to no harm.
                        drop(slotlog::trim(&node.shared.objects, slot, place).await);
                    });
                }
                Effect::ReadState { waiter: ticket, slot, id } => {
                    self.confirm(ticket, slot, id)
                }
                Effect::DeleteBody(key) => {
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        // What stays in the store harms nothing but its size.
                        drop(node.shared.objects.delete(&key).await);
                    });
                }
            }
        }
    }

    /// Does something that takes time and tells the journal the outcome.
    fn spawn<F>(&self, job: impl FnOnce(Arc<Node>) -> F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let job = job(self.node.clone());
        let inbox = self.node.slots.inbox.clone();
        tokio::spawn(async move {
            let event = job.await;
            // The owner is gone only when the daemon stops.
            drop(inbox.send(Told::Done(event)));
        });
    }

    fn start(
        &mut self,
        ticket: WaiterId,
        id: RequestId,
        attempt: chestnut_base::AttemptId,
    ) {
        self.counters.runs.inc();
        let Some(Waiter::Caller { once, out }) = self.waiters.get_mut(&ticket) else {
            return;
        };
        let Some(once) = once.take() else { return };
        debug_assert_eq!(once.request.id.as_ref(), Some(&id));
        let out = out.clone();
        self.spawn(move |node| single::run(node, *once, attempt, Some(out)));
    }

    fn confirm(&mut self, ticket: WaiterId, slot: SlotId, id: RequestId) {
        let Some(Waiter::Lookup(reply)) = self.waiters.swap_remove(&ticket) else {
            return;
        };
        let node = self.node.clone();
        tokio::spawn(async move {
            let state = journal::confirm(&node, slot, &id).await;
            // Whoever asked may be gone; then nobody needs the answer.
            drop(reply.send(state));
        });
    }

    fn reply(&mut self, ticket: WaiterId, reply: Reply) {
        match self.waiters.swap_remove(&ticket) {
            Some(Waiter::Caller { once, out }) => {
                for say in caller_frames(once.is_none(), reply) {
                    // The caller may be gone; then nobody needs the answer.
                    drop(out.send(say));
                }
            }
            // Whoever asked may be gone; then nobody needs the answer.
            Some(Waiter::Lookup(out)) => drop(out.send(lookup_state(reply))),
            None => {}
        }
    }

    fn publish(&mut self) {
        self.counters.ids.set(self.journal.id_count() as i64);
        let state = SlotsState {
            open: self.journal.open_slots(),
            ids: self.journal.id_count(),
            answers: self.journal.cached_bytes(),
            queued: self.journal.queued(),
            running: self.journal.running(),
            up: self.journal.is_table_up(),
        };
        *self.node.slots.state.lock().expect("no holder of the state panics") = state;
    }
}

impl Counters {
    fn register(shared: &Shared) -> Self {
        let counters = Self {
            batches: Counter::default(),
            changes: Counter::default(),
            failures: Counter::default(),
            runs: Counter::default(),
            appends: Counter::default(),
            ids: Gauge::default(),
        };
        shared.metrics.register(|registry| {
            let mut add = |name, help, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            add("journal_batches", "Transactions sent by the journal", &counters.batches);
            add("journal_changes", "Rows changed by them", &counters.changes);
            add("journal_failures", "Transactions not answered", &counters.failures);
            add("journal_runs", "Non-idempotent requests handed on", &counters.runs);
            let help = "Appends to slots' logs while the table was down";
            add("journal_appends", help, &counters.appends);
            let help = "Ids that the journal holds in memory";
            registry.register("journal_ids", help, counters.ids.clone());
        });
        counters
    }
}

/// What a caller gets; one that has the parts already gets the end mark.
fn caller_frames(streamed: bool, reply: Reply) -> Vec<PeerResponse> {
    match reply {
        Reply::Response(answer) if streamed => vec![single::end(&answer)],
        Reply::Response(answer) => single::frames(&answer),
        Reply::Refused(refusal) => vec![refused(refusal)],
        Reply::Running => vec![refused(stopped())],
    }
}

fn lookup_state(reply: Reply) -> OnceState {
    let done = |answer: Arc<Response>| single::state(&answer);
    match reply {
        Reply::Response(answer) => done(answer),
        Reply::Running => OnceState::Running,
        Reply::Refused(refusal) if refusal.outcome == Outcome::InDoubt => {
            OnceState::InDoubt
        }
        Reply::Refused(refusal) => OnceState::Unreadable(refusal.message),
    }
}
