//! Owns the journal: passes messages to it as events and carries out its effects.

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
use slog::info;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

use super::{JournalStatus, Message, TICK_INTERVAL, refused, shutting_down};
use crate::journal::{self, RecoveryRequest};
use crate::node::Node;
use crate::shared::Shared;
use crate::single;
use crate::slotlog::{self, SlotClaim};

/// A request or query that waits for a reply of the journal.
enum Waiter {
    /// A caller's request; `once` is taken when the run starts.
    Caller { once: Option<Box<OnceRequest>>, out: UnboundedSender<PeerResponse> },
    /// A query for the state of a request.
    Lookup(oneshot::Sender<OnceState>),
}

/// The journal's metrics.
struct Metrics {
    batches: Counter,
    changes: Counter,
    failures: Counter,
    runs: Counter,
    appends: Counter,
    ids: Gauge,
}

/// The task that owns the journal.
pub(super) struct Driver {
    node: Arc<Node>,
    journal: Journal,
    waiters: IndexMap<WaiterId, Waiter>,
    /// The slots that this daemon leads in the current view, with the versions of
    /// their claims.
    led_slots: IndexMap<SlotId, u64>,
    last_waiter_id: u64,
    metrics: Metrics,
}

impl Driver {
    pub(super) fn new(node: Arc<Node>) -> Self {
        let shared = &node.shared;
        let journal = Journal::new(Limits::default(), shared.me.0, shared.clock.now());
        let metrics = Metrics::register(shared);
        let (waiters, led_slots) = (IndexMap::new(), IndexMap::new());
        Self { node, journal, waiters, led_slots, last_waiter_id: 0, metrics }
    }

    pub(super) async fn run(mut self, mut receiver: UnboundedReceiver<Message>) {
        let mut view = self.node.shared.view.subscribe();
        self.update_slots();
        loop {
            let now = self.node.shared.clock.now();
            let deadline = self
                .journal
                .next_deadline()
                .unwrap_or(now + TICK_INTERVAL)
                .min(now + TICK_INTERVAL);
            let message = tokio::select! {
                message = receiver.recv() => message,
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_slots();
                    None
                }
                () = tokio::time::sleep_until(deadline.into()) => None,
            };
            self.update_lease();
            if let Some(message) = message {
                self.handle_message(message);
            }
            self.journal.tick(self.node.shared.clock.now());
            self.run_effects();
            self.publish_status();
        }
    }

    /// Reports gained and lost slots to the journal.
    fn update_slots(&mut self) {
        self.update_lease();
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
        let old = std::mem::replace(&mut self.led_slots, led.clone());
        for slot in old.keys().filter(|slot| !led.contains_key(*slot)) {
            self.handle_event(Event::ClaimLost(*slot));
        }
        for (slot, version) in led {
            if old.get(&slot) != Some(&version) {
                self.handle_event(Event::SlotClaimed { slot, version });
            }
        }
    }

    fn update_lease(&mut self) {
        let shared = &self.node.shared;
        let lease = *shared.lease.lock().expect("no holder of the lease panics");
        let expires_at = lease.expires_at().unwrap_or_else(|| shared.clock.now());
        self.handle_event(Event::LeaseExpiry(expires_at));
    }

    fn handle_event(&mut self, event: Event) {
        self.journal.handle(event, self.node.shared.clock.now());
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submit { once, out } => {
                let Some(id) = once.request.id.clone() else {
                    let refusal = Refusal::not_run(
                        RefusalCode::BadRequest,
                        "a non-idempotent request needs an id",
                    );
                    return drop(out.send(refused(refusal)));
                };
                let slot = self.slot_of(&id);
                let digest = once.request.digest;
                let target = once.request.target.clone();
                let attempt = self.node.shared.next_attempt_id();
                let waiter = self.add_waiter(Waiter::Caller { once: Some(once), out });
                self.handle_event(Event::Submit {
                    waiter,
                    slot,
                    id,
                    digest,
                    attempt,
                    target,
                });
            }
            Message::Lookup { id, reply } => {
                let slot = self.slot_of(&id);
                let waiter = self.add_waiter(Waiter::Lookup(reply));
                self.handle_event(Event::Lookup { waiter, slot, id });
            }
            Message::Event(event) => {
                self.log_run_end(&event);
                self.handle_event(event);
            }
        }
    }

    fn log_run_end(&self, event: &Event) {
        let (id, attempt, end, why) = match event {
            Event::RunRefused { id, attempt, refusal } => {
                (id, attempt, "refused", refusal.to_string())
            }
            Event::RunInterrupted { id, attempt, refusal } => {
                (id, attempt, "interrupted", refusal.to_string())
            }
            Event::RunFinished { id, attempt, response, .. } => {
                (id, attempt, "finished", response.status.to_string())
            }
            _ => return,
        };
        info!(self.node.shared.log, "run ended"; "id" => &id.key,
            "attempt" => attempt.to_string(), "end" => end, "why" => why);
    }

    fn slot_of(&self, id: &RequestId) -> SlotId {
        slot_of(id, self.node.shared.settings.limits.journal_slots)
    }

    fn add_waiter(&mut self, waiter: Waiter) -> WaiterId {
        self.last_waiter_id += 1;
        let id = WaiterId(self.last_waiter_id);
        self.waiters.insert(id, waiter);
        id
    }

    /// Carries out the effects that the journal requests.
    fn run_effects(&mut self) {
        while let Some(effect) = self.journal.next_effect() {
            match effect {
                Effect::Reply { waiter, reply } => self.reply(waiter, reply),
                Effect::Run { waiter, id, attempt } => {
                    self.start_run(waiter, id, attempt)
                }
                Effect::LoadSlot { slot, version } => {
                    self.spawn(move |node| async move {
                        let _permit = node.slots.load_permits.acquire().await;
                        let shared = &node.shared;
                        let (table, objects) = (&shared.table, &shared.objects);
                        journal::load(table, objects, slot, version, shared.me).await
                    })
                }
                Effect::Commit(batch) => {
                    self.metrics.batches.inc();
                    self.metrics.changes.inc_by(batch.changes.len() as u64);
                    let failures = self.metrics.failures.clone();
                    self.spawn(move |node| async move {
                        let result = journal::commit(&node.shared.table, &batch).await;
                        if matches!(
                            result,
                            chestnut_once::CommitResult::Unavailable
                                | chestnut_once::CommitResult::Unknown
                        ) {
                            failures.inc();
                        }
                        Event::CommitFinished { number: batch.number, result }
                    });
                }
                Effect::RecoverResponse { slot, id, attempt, target, server } => {
                    let request = RecoveryRequest { slot, id, attempt, target, server };
                    self.spawn(move |node| async move {
                        let recovered = journal::recover(&node, &request).await;
                        Event::RecoveryFinished { id: request.id, attempt, recovered }
                    });
                }
                Effect::FetchBody { id, key } => self.spawn(move |node| async move {
                    let body = journal::fetch_body(&node, &key).await;
                    Event::BodyFetched { id, body }
                }),
                Effect::AppendToLog { slot, version, number, position, records } => {
                    self.metrics.appends.inc();
                    self.spawn(move |node| async move {
                        let shared = &node.shared;
                        let claim = SlotClaim { member: shared.me, version };
                        let append = slotlog::append(
                            &shared.objects,
                            slot,
                            claim,
                            position,
                            &records,
                        );
                        let result = append.await;
                        Event::AppendFinished { slot, number, result }
                    });
                }
                Effect::TrimLog { slot, version, position } => {
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        let shared = &node.shared;
                        let claim = SlotClaim { member: shared.me, version };
                        let trim = slotlog::trim(&shared.objects, slot, claim, position);
                        // Entries that remain are read again by the next lead, without
                        // effect.
                        drop(trim.await);
                    });
                }
                Effect::ReadState { waiter, slot, id } => {
                    self.read_state(waiter, slot, id)
                }
                Effect::DeleteBody(key) => {
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        // A body that remains only takes space in the store.
                        drop(node.shared.objects.delete(&key).await);
                    });
                }
            }
        }
    }

    /// Runs a job in a task of its own and passes its event to the journal.
    fn spawn<F>(&self, job: impl FnOnce(Arc<Node>) -> F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let job = job(self.node.clone());
        let sender = self.node.slots.sender.clone();
        tokio::spawn(async move {
            let event = job.await;
            // Sending fails only when the daemon stops.
            drop(sender.send(Message::Event(event)));
        });
    }

    fn start_run(
        &mut self,
        waiter: WaiterId,
        id: RequestId,
        attempt: chestnut_base::AttemptId,
    ) {
        self.metrics.runs.inc();
        let Some(Waiter::Caller { once, out }) = self.waiters.get_mut(&waiter) else {
            return;
        };
        let Some(once) = once.take() else { return };
        debug_assert_eq!(once.request.id.as_ref(), Some(&id));
        info!(self.node.shared.log, "run started"; "id" => &id.key,
            "attempt" => attempt.to_string());
        let out = out.clone();
        self.spawn(move |node| single::run(node, *once, attempt, Some(out)));
    }

    fn read_state(&mut self, waiter: WaiterId, slot: SlotId, id: RequestId) {
        let Some(Waiter::Lookup(reply)) = self.waiters.swap_remove(&waiter) else {
            return;
        };
        let node = self.node.clone();
        tokio::spawn(async move {
            let state = journal::read_state(&node, slot, &id).await;
            // The query may have been cancelled.
            drop(reply.send(state));
        });
    }

    fn reply(&mut self, waiter: WaiterId, reply: Reply) {
        match self.waiters.swap_remove(&waiter) {
            Some(Waiter::Caller { once, out }) => {
                for frame in caller_frames(once.is_none(), reply) {
                    // The caller may have disconnected.
                    drop(out.send(frame));
                }
            }
            // The query may have been cancelled.
            Some(Waiter::Lookup(out)) => drop(out.send(lookup_state(reply))),
            None => {}
        }
    }

    fn publish_status(&mut self) {
        self.metrics.ids.set(self.journal.id_count() as i64);
        let status = JournalStatus {
            open_slots: self.journal.open_slots(),
            id_count: self.journal.id_count(),
            cached_bytes: self.journal.cached_bytes(),
            queued_changes: self.journal.queued(),
            running: self.journal.running(),
            is_table_up: self.journal.is_table_up(),
        };
        *self.node.slots.status.lock().expect("no holder of the status panics") = status;
    }
}

impl Metrics {
    fn register(shared: &Shared) -> Self {
        let metrics = Self {
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
            add("journal_batches", "Transactions sent by the journal", &metrics.batches);
            add(
                "journal_changes",
                "Rows changed by transactions of the journal",
                &metrics.changes,
            );
            add(
                "journal_failures",
                "Transactions of the journal without a known result",
                &metrics.failures,
            );
            add("journal_runs", "Runs of non-idempotent requests started", &metrics.runs);
            let help = "Appends to slots' logs while the table was down";
            add("journal_appends", help, &metrics.appends);
            let help = "Ids that the journal holds in memory";
            registry.register("journal_ids", help, metrics.ids.clone());
        });
        metrics
    }
}

/// The frames for a reply; if the body was streamed already, only the end frame.
fn caller_frames(streamed: bool, reply: Reply) -> Vec<PeerResponse> {
    match reply {
        Reply::Response(response) if streamed => vec![single::end_frame(&response)],
        Reply::Response(response) => single::response_frames(&response),
        Reply::Refused(refusal) => vec![refused(refusal)],
        Reply::Running => vec![refused(shutting_down())],
    }
}

fn lookup_state(reply: Reply) -> OnceState {
    let done = |response: Arc<Response>| single::response_state(&response);
    match reply {
        Reply::Response(response) => done(response),
        Reply::Running => OnceState::Running,
        Reply::Refused(refusal) if refusal.outcome == Outcome::InDoubt => {
            OnceState::InDoubt
        }
        Reply::Refused(refusal) => OnceState::Unreadable(refusal.message),
    }
}
