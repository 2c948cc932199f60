//! Gives a runner its orders while this daemon holds the runner's claim.
//!
//! A runner carries out one order at a time. Each order names the number of orders
//! that the runner has accepted before, so that one whose answer was lost can't act
//! after a later one: what the runner holds is known whenever an order is given.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::{AdapterName, ModelName, ServerName};
use chestnut_edge::{Order, OrderAnswer, OrderStep, TargetModel};
use chestnut_member::ClaimKey;
use chestnut_pool::{AdapterState, Runner};
use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::claims;
use crate::message::Move;
use crate::shared::Shared;

/// How long an engine may take to answer an order or a question.
///
/// It answers within its link's delay; an order without an answer may act later.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// The largest report that is read, in bytes.
const REPORT_LIMIT: usize = 1 << 20;

/// How old an engine's report may be, at most.
///
/// After an answer that did not fit, a newer report is needed.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// How long the load of an adapter takes, at first sight.
///
/// Engines fetch one in 5 to 14 ms while few are on their way.
const ADAPTER_TIME: Duration = Duration::from_millis(16);

/// How long a wanted change of models is good for.
///
/// The planner repeats it four times a second while it stands.
const MOVE_TIME: Duration = Duration::from_millis(1000);

/// Commands that wait for a runner.
const QUEUE: usize = 256;

/// How often models that are being unloaded are looked for.
const UNLOAD_POLL: Duration = Duration::from_millis(100);

/// How long runs on a model may take to end before its unload is given up.
const UNLOAD_TIME: Duration = Duration::from_secs(10);

/// A runner whose claim this daemon holds.
pub struct Holder {
    /// The runner's name.
    pub server: ServerName,
    state: Mutex<Runner>,
    commands: mpsc::Sender<Command>,
}

/// What a runner is to do.
enum Command {
    /// Load an adapter, and say when it is there.
    Adapter {
        target: TargetModel,
        /// Whether the runner has just said that it does not have it.
        missed: bool,
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// Change the models.
    Move(Move, Instant),
}

impl Holder {
    /// What is known of the runner.
    pub fn state(&self) -> MutexGuard<'_, Runner> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Asks for an adapter; returns in how long it is there.
    pub async fn prepare(&self, target: TargetModel, missed: bool) -> Option<Duration> {
        let (reply, answer) = oneshot::channel();
        // A full queue is a runner that does not answer orders.
        self.commands.try_send(Command::Adapter { target, missed, reply }).ok()?;
        answer.await.ok().flatten()
    }

    /// Asks for a change of models.
    pub fn change(&self, change: Move) {
        // The planner repeats what still stands.
        drop(self.commands.try_send(Command::Move(change, Instant::now())));
    }
}

/// Starts and ends holders as claims come and go.
pub fn follow_claims(shared: &Arc<Shared>) {
    let held: Vec<ServerName> = {
        let known = shared.known();
        let mine = known
            .claims
            .iter()
            .filter(|(_, (row, _))| row.holder == Some(shared.peers.me));
        mine.filter_map(|(key, _)| match key {
            ClaimKey::Server(name) => Some(name.clone()),
            ClaimKey::Slot(_) | ClaimKey::Pool(_) | ClaimKey::Vms => None,
        })
        .collect()
    };
    let mut holders = shared.holders();
    holders.retain(|name, _| held.contains(name));
    for name in held {
        holders.entry(name.clone()).or_insert_with(|| start(shared.clone(), name));
    }
}

fn start(shared: Arc<Shared>, server: ServerName) -> Arc<Holder> {
    let (commands, receiver) = mpsc::channel(QUEUE);
    let state = Mutex::default();
    let holder = Arc::new(Holder { server, state, commands });
    tokio::spawn(run(shared, Arc::downgrade(&holder), receiver));
    holder
}

/// Carries out commands one after another until the claim is lost.
async fn run(
    shared: Arc<Shared>,
    holder: std::sync::Weak<Holder>,
    mut commands: mpsc::Receiver<Command>,
) {
    while let Some(command) = commands.recv().await {
        let Some(holder) = holder.upgrade() else { return };
        let driver = Driver { shared: &shared, holder: &holder };
        match command {
            Command::Adapter { target, missed, reply } => {
                let ready = driver.adapter(&target, missed).await;
                // Whoever asked may have given up.
                let _ = reply.send(ready);
            }
            Command::Move(change, at) if at.elapsed() < MOVE_TIME => {
                driver.change(&change).await;
            }
            Command::Move(..) => {}
        }
    }
}

struct Driver<'a> {
    shared: &'a Shared,
    holder: &'a Holder,
}

impl Driver<'_> {
    /// Has an adapter loaded; returns in how long it is there.
    async fn adapter(&self, target: &TargetModel, missed: bool) -> Option<Duration> {
        let adapter = target.adapter.clone()?;
        if missed {
            self.holder.state().lacks(target);
        }
        for _ in 0..4 {
            self.known().await?;
            let places = self.places()?;
            let now = self.shared.now();
            let state = self.holder.state().adapter(target, places, now);
            let step = match state {
                AdapterState::Ready => return Some(Duration::ZERO),
                AdapterState::Coming(left) => return Some(left),
                AdapterState::Free => {
                    OrderStep::LoadAdapter(target.model.clone(), adapter.clone())
                }
                AdapterState::Evict => {
                    let victim = self.holder.state().victim(now).cloned()?;
                    OrderStep::UnloadAdapter(victim.model, victim.adapter?)
                }
                AdapterState::Full => return None,
            };
            self.order(step, ADAPTER_TIME).await;
        }
        None
    }

    /// Changes the models: makes room first, then loads.
    async fn change(&self, change: &Move) {
        if self.known().await.is_none() || !self.is_at_rest() {
            return;
        }
        if self.holder.state().models().contains(&change.load) {
            return;
        }
        for model in &change.drop {
            if self.fits(&change.load) {
                break;
            }
            if self.holder.state().models().contains(model) {
                self.unload(model).await;
            }
        }
        if !self.fits(&change.load) {
            info!(self.shared.log, "no room for a model"; "server" => self.holder.server.to_string(),
                "model" => change.load.to_string());
            return;
        }
        let time = self.load_time(&change.load);
        self.order(OrderStep::Load(change.load.clone()), time).await;
    }

    async fn unload(&self, model: &ModelName) {
        let answer = self.order(OrderStep::Unload(model.clone()), UNLOAD_POLL).await;
        if answer != Some(OrderAnswer::Accepted) {
            return;
        }
        // Its runs end first; nothing else may be ordered until then.
        self.holder.state().doubt();
        let limit = self.shared.now() + UNLOAD_TIME;
        while self.shared.now() < limit {
            sleep(UNLOAD_POLL).await;
            if self.known().await.is_some() {
                return;
            }
        }
    }

    /// Whether a model fits beside what the runner holds.
    fn fits(&self, model: &ModelName) -> bool {
        let Some(declared) = self.shared.declared() else { return false };
        let Some(server) = self.entry() else { return false };
        let service = declared.services.get(&server.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        let size = |name: &ModelName| engine.models.get(name).map(|m| m.weights_mb);
        let state = self.holder.state();
        let held: Option<f64> = state.models().iter().map(size).sum();
        let adapter =
            engine.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let reserved = adapter * engine.adapter_slots as f64;
        match (held, size(model)) {
            (Some(held), Some(size)) => held + size + reserved <= engine.memory_mb,
            // A model of unknown size may take any room.
            _ => false,
        }
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        let Some(declared) = self.shared.declared() else { return ANSWER_TIME };
        let Some(server) = self.entry() else { return ANSWER_TIME };
        let engine =
            declared.services.get(&server.service).and_then(|s| s.engine.as_ref());
        let Some(model) = engine.and_then(|engine| engine.models.get(model)) else {
            return ANSWER_TIME;
        };
        model.load
    }

    fn places(&self) -> Option<usize> {
        let declared = self.shared.declared()?;
        let server = self.entry()?;
        let engine = declared.services.get(&server.service)?.engine.as_ref()?;
        Some(engine.adapter_slots)
    }

    fn is_at_rest(&self) -> bool {
        self.holder.state().busy(self.shared.now()).is_zero()
    }

    fn entry(&self) -> Option<chestnut_edge::ServerEntry> {
        let fleet = self.shared.fleet();
        let key = fleet.key(&self.holder.server)?;
        fleet.get(key).map(|server| server.entry.clone())
    }

    fn addr(&self) -> Option<SocketAddr> {
        self.entry().map(|entry| entry.address)
    }

    /// Asks the runner what it holds unless that is known.
    async fn known(&self) -> Option<()> {
        if self.holder.state().orders().is_some() {
            return Some(());
        }
        if !self.is_at_rest() {
            return None;
        }
        let addr = self.addr()?;
        let request = self.shared.dialect.ask_report();
        let client = &self.shared.client;
        let answer = client.call(addr, request, REPORT_LIMIT, ANSWER_TIME).await;
        let report = match answer {
            Ok(answer) => self.shared.dialect.read_report(answer.body()),
            Err(fault) => {
                info!(self.shared.log, "no report"; "server" => self.holder.server.to_string(),
                    "error" => fault.to_string());
                return None;
            }
        };
        match report {
            Ok(report) => {
                let current = report.born == self.entry().and_then(|entry| entry.born);
                let now = self.shared.now();
                let taken = current && self.holder.state().learn(&report, now);
                info!(self.shared.log, "report"; "server" => self.holder.server.to_string(),
                    "orders" => report.orders, "busy" => report.busy, "taken" => taken,
                    "models" => report.models.len());
                taken.then_some(())
            }
            Err(error) => {
                warn!(self.shared.log, "report refused"; "server" => self.holder.server.to_string(),
                    "error" => error.to_string());
                None
            }
        }
    }

    /// Gives an order; returns the answer if the order could be given.
    async fn order(&self, step: OrderStep, time: Duration) -> Option<OrderAnswer> {
        let server = &self.holder.server;
        let fence = claims::fence(self.shared, server)?;
        let addr = self.addr()?;
        let after = self.holder.state().orders()?;
        let holder = self.shared.settings.vm.clone();
        let order = Order { server: server.clone(), step, after, holder, fence };
        let request = self.shared.dialect.write_order(&order);
        let client = &self.shared.client;
        let answer = client.call(addr, request, REPORT_LIMIT, ANSWER_TIME).await;
        let answer = match answer {
            Ok(answer) => {
                self.shared.dialect.read_order_answer(answer.status(), answer.headers())
            }
            Err(fault) => {
                info!(self.shared.log, "order not answered"; "server" => server.to_string(),
                    "error" => fault.to_string());
                OrderAnswer::Unknown
            }
        };
        info!(self.shared.log, "order"; "server" => server.to_string(),
            "step" => format!("{:?}", order.step), "after" => after,
            "fence" => fence.0, "answer" => format!("{answer:?}"));
        self.take_answer(&order.step, answer, time).await;
        Some(answer)
    }

    async fn take_answer(&self, step: &OrderStep, answer: OrderAnswer, time: Duration) {
        let now = self.shared.now();
        match answer {
            OrderAnswer::Accepted => {
                self.holder.state().accepted(step, time, now);
                if matches!(step, OrderStep::UnloadAdapter(..)) {
                    // Requests use it still; its place is free once a report says so.
                    self.holder.state().doubt();
                }
            }
            OrderAnswer::Holds => self.holder.state().holds(step, now),
            OrderAnswer::Conflict | OrderAnswer::Unknown | OrderAnswer::Busy => {
                self.holder.state().doubt();
                sleep(REPORT_AGE).await;
            }
            OrderAnswer::Fenced | OrderAnswer::Misdirected | OrderAnswer::Invalid => {
                self.holder.state().doubt();
            }
        }
    }
}

/// The adapter that a message names.
pub fn adapter_target(model: ModelName, adapter: AdapterName) -> TargetModel {
    TargetModel { model, adapter: Some(adapter) }
}
