//! What the holder of a runner's claim knows of it.
//!
//! Every daemon that sends requests to the runner tells the holder its own sum, so
//! that the holder's total is exact but for messages on their way. The holder alone
//! gives orders, so that it also knows what the runner holds before the registry
//! says so.

use std::time::{Duration, Instant};

use chestnut_base::{AdapterName, MemberId, ModelName};
use chestnut_edge::{Engine, EngineReport, LoadedModel, OrderAction, TargetModel};
use indexmap::IndexMap;

use crate::choose::GenerationRequest;
use crate::prefill_queue::PrefillQueue;
use crate::prefix::PrefixCache;
use crate::timing::EngineTimings;
use crate::usage::Usage;

/// How long a daemon's sum counts without being repeated.
///
/// Daemons repeat sums that are not zero every second; three lost messages in a
/// row mean that the daemon is gone.
const SUM_TIME: Duration = Duration::from_millis(3500);

/// How long an adapter counts as in use after it was last asked for.
///
/// A note of 70 tokens takes about a second; unloading an adapter that is in use
/// holds up the runner's orders until its runs have ended.
const ADAPTER_USE: Duration = Duration::from_secs(2);

/// How long a runner that reports an order in progress is left alone.
const BUSY_TIME: Duration = Duration::from_millis(200);

/// An adapter on a runner.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slot {
    /// When its load is expected to be complete.
    ready: Instant,
    /// When it was last asked for.
    used: Instant,
    /// Whether the runner has rejected a request for want of it.
    missed: bool,
}

impl Slot {
    fn new(ready: Instant, used: Instant) -> Self {
        Self { ready, used, missed: false }
    }
}

/// How far a runner is from serving an adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdapterState {
    /// It is there.
    Ready,
    /// It is on its way.
    Loading(Duration),
    /// It is not there, and a place is free.
    SlotFree,
    /// It is not there, and another one that is not in use has to go.
    NeedsEviction,
    /// It is not there, and all places are in use.
    SlotsInUse,
}

/// What is to be done to have an adapter on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterNeed {
    /// Nothing; it is there in this time.
    ReadyIn(Duration),
    /// This order.
    Order(OrderAction),
    /// It can't be had: all places are in use.
    SlotsInUse,
}

/// What the holder of a runner's claim knows of it.
#[derive(Debug, Default)]
pub struct RunnerView {
    /// What each daemon has in flight there.
    sums: IndexMap<MemberId, (Usage, Instant)>,
    adapters: IndexMap<TargetModel, Slot>,
    models: Vec<ModelName>,
    /// The model that is being unloaded; requests for it are rejected.
    leaving: Option<ModelName>,
    /// The number of orders that the runner has accepted; nothing if unknown.
    orders: Option<u64>,
    /// Orders that it is known to have accepted; older reports tell nothing.
    floor: u64,
    /// Until when an order is expected to be in progress.
    busy: Option<Instant>,
    /// Prompts that wait to be sent to the runner.
    pub prefill_queue: PrefillQueue,
    /// What it has read lately.
    pub prefix_cache: PrefixCache,
}

impl RunnerView {
    /// Takes in what a daemon has in flight.
    pub fn update_usage(&mut self, from: MemberId, usage: Usage, now: Instant) {
        match usage == Usage::default() {
            true => drop(self.sums.swap_remove(&from)),
            false => drop(self.sums.insert(from, (usage, now))),
        }
    }

    /// What all daemons have in flight.
    pub fn total_usage(&self, now: Instant) -> Usage {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SUM_TIME;
        let mut total = Usage::default();
        for (usage, at) in self.sums.values() {
            if fresh(*at) {
                total += *usage;
            }
        }
        total
    }

    /// Takes in a report; returns whether it tells what the runner holds now.
    ///
    /// Reports are some hundred milliseconds old. One from before the last order
    /// shows models that are gone and memory that is taken: loading by it would
    /// crash the runner.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) -> bool {
        if report.accepted_orders < self.floor {
            return false;
        }
        self.floor = report.accepted_orders;
        if report.busy {
            // A model on its way is not among those that the report lists.
            self.busy = Some(now + BUSY_TIME);
            return false;
        }
        self.orders = Some(report.accepted_orders);
        self.busy = None;
        self.leaving = None;
        self.learn_models(&report.models, now);
        for (model, adapter) in &report.loading_adapters {
            let slot = Slot::new(now, now);
            self.adapters.entry(target(model, adapter)).or_insert(slot);
        }
        true
    }

    /// Takes in which models and adapters the runner holds.
    fn learn_models(&mut self, held: &[LoadedModel], now: Instant) {
        self.models = held.iter().map(|held| held.model.clone()).collect();
        let mut adapters = IndexMap::new();
        for model in held {
            for adapter in &model.adapters {
                let target = target(&model.model, adapter);
                let known = self.adapters.get(&target).copied();
                let used = known.map_or(now, |slot| slot.used);
                let ready = known.map_or(now, |slot| slot.ready);
                adapters.insert(target, Slot::new(ready, used));
            }
        }
        self.adapters = adapters;
    }

    /// Forgets what is known of the runner's orders, after an answer that does not
    /// fit or was lost.
    pub fn forget_order_count(&mut self) {
        self.orders = None;
    }

    /// The number of orders that the runner has accepted.
    pub fn order_count(&self) -> Option<u64> {
        self.orders
    }

    /// The models that the runner holds.
    pub fn models(&self) -> &[ModelName] {
        &self.models
    }

    /// Whether a model is being unloaded.
    pub fn is_unloading(&self, model: &ModelName) -> bool {
        self.leaving.as_ref() == Some(model)
    }

    /// The tokens that the runner has to read of a prompt.
    pub fn uncached_tokens(&self, want: &GenerationRequest) -> u32 {
        let kept = self.prefix_cache.cached_tokens(&want.target, &want.parts);
        want.size.prompt.saturating_sub(kept)
    }

    /// How long the runner takes to read a prompt.
    pub fn prefill_time(
        &self,
        want: &GenerationRequest,
        speeds: &EngineTimings,
    ) -> Duration {
        speeds.prefill_time(&want.target.model, self.uncached_tokens(want))
    }

    /// How long an order is expected to be in progress.
    pub fn order_time_left(&self, now: Instant) -> Duration {
        self.busy.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes in that the runner has accepted an order that takes `time`.
    pub fn record_accepted(&mut self, step: &OrderAction, time: Duration, now: Instant) {
        self.orders = self.orders.map(|orders| orders + 1);
        self.floor = self.orders.unwrap_or(self.floor);
        match step {
            OrderAction::Load(model) => {
                self.busy = Some(now + time);
                self.models.push(model.clone());
            }
            // The model keeps its memory until its runs have ended.
            OrderAction::Unload(model) => {
                self.busy = Some(now + time);
                self.leaving = Some(model.clone());
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let slot = Slot::new(now + time, now);
                self.adapters.insert(target(model, adapter), slot);
            }
            OrderAction::UnloadAdapter(..) => {}
        }
    }

    /// Takes in that what was ordered holds.
    pub fn record_in_force(&mut self, step: &OrderAction, now: Instant) {
        match step {
            OrderAction::Load(model) if !self.models.contains(model) => {
                self.models.push(model.clone());
            }
            OrderAction::Load(_) => {}
            OrderAction::Unload(model) => {
                self.models.retain(|held| held != model);
                self.adapters.retain(|target, _| target.model != *model);
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let slot = Slot::new(now, now);
                self.adapters.insert(target(model, adapter), slot);
            }
            // An adapter that nothing uses is dropped at once, by an accepted order.
            OrderAction::UnloadAdapter(model, adapter) => {
                self.adapters.swap_remove(&target(model, adapter));
                self.orders = self.orders.map(|orders| orders + 1);
                self.floor = self.orders.unwrap_or(self.floor);
            }
        }
    }

    /// Takes note that a request for an adapter is sent.
    pub fn mark_adapter_used(&mut self, target: &TargetModel, now: Instant) {
        if let Some(slot) = self.adapters.get_mut(target) {
            slot.used = now;
        }
    }

    /// Takes note that the runner has rejected a request for want of an adapter that it was
    /// thought to have.
    ///
    /// It may be on its way there, so that its place counts as taken until an order or a
    /// report tells. Counted as free while no order could be given, the next adapter went
    /// beyond what the runner holds, and the runner crashed.
    pub fn mark_adapter_missing(&mut self, target: &TargetModel) {
        if let Some(slot) = self.adapters.get_mut(target) {
            slot.missed = true;
        }
    }

    /// How far the runner is from serving an adapter; it has `places` in all.
    pub fn adapter_state(
        &self,
        target: &TargetModel,
        places: usize,
        now: Instant,
    ) -> AdapterState {
        if target.adapter.is_none() {
            return AdapterState::Ready;
        }
        if let Some(slot) = self.adapters.get(target) {
            if slot.missed {
                // Its own place is there for it.
                return AdapterState::SlotFree;
            }
            let left = slot.ready.saturating_duration_since(now);
            return match left.is_zero() {
                true => AdapterState::Ready,
                false => AdapterState::Loading(left),
            };
        }
        if self.adapters.len() < places {
            return AdapterState::SlotFree;
        }
        match self.eviction_candidate(now) {
            Some(_) => AdapterState::NeedsEviction,
            None => AdapterState::SlotsInUse,
        }
    }

    /// What is to be done to have an adapter; the runner has `places` in all.
    pub fn adapter_need(
        &self,
        target: &TargetModel,
        places: usize,
        now: Instant,
    ) -> AdapterNeed {
        let Some(adapter) = target.adapter.clone() else {
            return AdapterNeed::ReadyIn(Duration::ZERO);
        };
        match self.adapter_state(target, places, now) {
            AdapterState::Ready => AdapterNeed::ReadyIn(Duration::ZERO),
            AdapterState::Loading(left) => AdapterNeed::ReadyIn(left),
            AdapterState::SlotFree => {
                let step = OrderAction::LoadAdapter(target.model.clone(), adapter);
                AdapterNeed::Order(step)
            }
            AdapterState::NeedsEviction | AdapterState::SlotsInUse => {
                let victim = self.eviction_candidate(now).cloned();
                let step = victim.and_then(|victim| {
                    Some(OrderAction::UnloadAdapter(victim.model, victim.adapter?))
                });
                step.map_or(AdapterNeed::SlotsInUse, AdapterNeed::Order)
            }
        }
    }

    /// Whether a model fits beside what the runner holds or has on its way.
    pub fn fits(&self, model: &ModelName, engine: &Engine) -> bool {
        let size = |name: &ModelName| engine.models.get(name).map(|m| m.weights_mb);
        let held: Option<f64> = self.models.iter().map(size).sum();
        match (held, size(model)) {
            (Some(held), Some(size)) => {
                held + size + engine.adapter_reserve_mb() <= engine.memory_mb
            }
            // A model of unknown size may take any room.
            _ => false,
        }
    }

    /// The adapter that was not asked for the longest, if it is not in use.
    pub fn eviction_candidate(&self, now: Instant) -> Option<&TargetModel> {
        let idle = |slot: &Slot| now.saturating_duration_since(slot.used) >= ADAPTER_USE;
        let oldest = self.adapters.iter().min_by_key(|(_, slot)| slot.used)?;
        idle(oldest.1).then_some(oldest.0)
    }
}

fn target(model: &ModelName, adapter: &AdapterName) -> TargetModel {
    TargetModel { model: model.clone(), adapter: Some(adapter.clone()) }
}
