//! The view that the holder of a runner's claim has of the runner.
//!
//! Every daemon that sends requests to the runner sends the holder a usage report of its
//! own, so the holder's total is exact but for messages in flight. Only the holder gives
//! orders, so it also knows what the runner holds before the registry lists it.

use std::time::{Duration, Instant};

use chestnut_base::{AdapterName, MemberId, ModelName};
use chestnut_edge::{
    Engine, EngineReport, LoadedModel, OrderAction, RequestRate, TargetModel,
};
use indexmap::IndexMap;

use crate::choose::GenerationRequest;
use crate::pace::ServerPace;
use crate::prefill_queue::{PrefillQueue, Ticket};
use crate::prefix::PrefixCache;
use crate::request_pacer::{self, RequestPacer};
use crate::sharing::RunnerSharing;
use crate::speed::ServerSpeed;
use crate::timing::EngineTimings;
use crate::usage::Usage;

/// How long a daemon's usage report counts without being repeated.
///
/// Daemons repeat reports that are not zero every second; three lost messages in a row
/// mean that the daemon is gone.
const USAGE_TIMEOUT: Duration = Duration::from_millis(3500);

/// How long an adapter counts as in use after its last request.
///
/// A response of 70 tokens takes about a second; unloading an adapter that is in use blocks
/// the runner's orders until its requests have finished.
const ADAPTER_IN_USE: Duration = Duration::from_secs(2);

/// How long a runner counts as busy after it reported an order in progress.
const REPORTED_BUSY_TIME: Duration = Duration::from_millis(200);

/// An adapter on a runner.
#[derive(Debug, Clone, Copy, PartialEq)]
struct AdapterSlot {
    /// When its load is expected to be complete.
    ready_at: Instant,
    /// When it was last requested.
    last_used: Instant,
    /// Whether the runner rejected a request because the adapter was missing.
    reported_missing: bool,
}

impl AdapterSlot {
    fn new(ready_at: Instant, last_used: Instant) -> Self {
        Self { ready_at, last_used, reported_missing: false }
    }
}

/// How far a runner is from serving an adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdapterState {
    /// It is loaded, or none is needed.
    Ready,
    /// It is being loaded, and ready after this time.
    Loading(Duration),
    /// It is not loaded, and a slot is free.
    SlotFree,
    /// It is not loaded, and another one that is not in use has to be evicted.
    NeedsEviction,
    /// It is not loaded, and all slots are in use.
    SlotsInUse,
}

/// The next action to make an adapter available on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterNeed {
    /// None; it is ready after this time.
    ReadyIn(Duration),
    /// Give this order.
    Order(OrderAction),
    /// It can't be loaded: all slots are in use.
    SlotsInUse,
}

/// The view that the holder of a runner's claim has of the runner.
#[derive(Debug, Default)]
pub struct RunnerView {
    /// The last usage report of each daemon, and when it arrived.
    usage: IndexMap<MemberId, (Usage, Instant)>,
    /// Until when daemons may not have reported yet what they have in flight, since the claim
    /// has moved; `None` if it has not.
    reported_by: Option<Instant>,
    adapters: IndexMap<TargetModel, AdapterSlot>,
    models: Vec<ModelName>,
    /// The model that is being unloaded; the runner rejects requests for it.
    unloading: Option<ModelName>,
    /// Number of orders that the runner has accepted; `None` if unknown.
    order_count: Option<u64>,
    /// Number of orders that it is known to have accepted; reports with a lower number are
    /// outdated.
    min_order_count: u64,
    /// Until when an order is expected to be in progress.
    busy_until: Option<Instant>,
    /// Prompts that wait to be sent to the runner.
    pub prefill_queue: PrefillQueue,
    /// Prompt parts that the runner has probably cached.
    pub prefix_cache: PrefixCache,
    /// How fast the runner is, compared with others of its service.
    pub speed: ServerSpeed,
    /// Bounds the requests in flight after a start or a recovery.
    pub pace: ServerPace,
    /// How the runner is divided between requests.
    pub sharing: RunnerSharing,
    /// Spaces requests while the runner announces a limit; `None` without one.
    pacer: Option<RequestPacer>,
}

impl RunnerView {
    /// Updates what a daemon has in flight at the runner.
    pub fn update_usage(&mut self, from: MemberId, usage: Usage, now: Instant) {
        match usage == Usage::default() {
            true => drop(self.usage.swap_remove(&from)),
            false => drop(self.usage.insert(from, (usage, now))),
        }
    }

    /// Has [`Self::report_wait`] last until `at`, by when all daemons have reported what they
    /// have in flight.
    pub fn await_reports(&mut self, at: Instant) {
        self.reported_by = Some(at);
    }

    /// How long [`Self::total_usage`] may still be too low because the claim has just moved.
    pub fn report_wait(&self, now: Instant) -> Duration {
        self.reported_by.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Applies the limit on requests that the runner announces, if any.
    pub fn set_request_limit(&mut self, limit: Option<RequestRate>, now: Instant) {
        request_pacer::update(&mut self.pacer, limit, now);
    }

    /// When the announced limit allows the next request; `None` without a limit.
    pub fn next_request_at(&self) -> Option<Instant> {
        self.pacer.map(|pacer| pacer.ready_at())
    }

    /// How long the announced limit holds up a request that is sent after `ahead` others.
    pub fn limit_wait(&self, ahead: u32, now: Instant) -> Duration {
        self.pacer.map_or(Duration::ZERO, |pacer| pacer.wait(ahead, now))
    }

    /// Counts a request that is sent against the announced limit.
    pub fn record_request_sent(&mut self, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_sent(now);
        }
    }

    /// Undoes what was recorded at `sent_at` for a request that its daemon does not send
    /// after all; it had this many uncached tokens.
    ///
    /// Its slot and KV cache were never counted, since its daemon reports no usage for it.
    pub fn undo_sent_request(
        &mut self,
        request: &GenerationRequest,
        ticket: Ticket,
        uncached_tokens: u32,
        sent_at: Instant,
        now: Instant,
    ) {
        self.prefill_queue.withdraw_sent(ticket, now);
        let cached_tokens = request.size.prompt_tokens.saturating_sub(uncached_tokens);
        self.prefix_cache.forget_after(&request.target, &request.parts, cached_tokens);
        if let Some(pacer) = &mut self.pacer {
            pacer.undo_sent(sent_at);
        }
    }

    /// What all daemons together have in flight.
    pub fn total_usage(&self, now: Instant) -> Usage {
        let is_current = |at: Instant| now.saturating_duration_since(at) < USAGE_TIMEOUT;
        let mut total = Usage::default();
        for (usage, at) in self.usage.values() {
            if is_current(*at) {
                total += *usage;
            }
        }
        total
    }

    /// Applies a report; returns whether it shows what the runner holds now.
    ///
    /// Reports are some hundred milliseconds old. One from before the last order lists
    /// models that are gone and omits memory that is taken; a load based on it would crash
    /// the runner.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) -> bool {
        if report.accepted_orders < self.min_order_count {
            return false;
        }
        self.min_order_count = report.accepted_orders;
        if report.busy {
            // The report does not list a model that is being loaded.
            self.busy_until = Some(now + REPORTED_BUSY_TIME);
            return false;
        }
        self.order_count = Some(report.accepted_orders);
        self.busy_until = None;
        self.unloading = None;
        self.apply_models(&report.models, now);
        for (model, adapter) in &report.loading_adapters {
            let slot = AdapterSlot::new(now, now);
            self.adapters.entry(target(model, adapter)).or_insert(slot);
        }
        true
    }

    fn apply_models(&mut self, held: &[LoadedModel], now: Instant) {
        self.models = held.iter().map(|held| held.model.clone()).collect();
        let mut adapters = IndexMap::new();
        for model in held {
            for adapter in &model.adapters {
                let target = target(&model.model, adapter);
                let previous = self.adapters.get(&target).copied();
                let last_used = previous.map_or(now, |slot| slot.last_used);
                let ready_at = previous.map_or(now, |slot| slot.ready_at);
                adapters.insert(target, AdapterSlot::new(ready_at, last_used));
            }
        }
        self.adapters = adapters;
    }

    /// Forgets the order count, after a response to an order was lost or unexpected.
    pub fn forget_order_count(&mut self) {
        self.order_count = None;
    }

    /// Number of orders that the runner has accepted; `None` if unknown.
    pub fn order_count(&self) -> Option<u64> {
        self.order_count
    }

    /// The models that the runner holds, including one that is being loaded or unloaded.
    pub fn models(&self) -> &[ModelName] {
        &self.models
    }

    /// Whether a model is being unloaded.
    pub fn is_unloading(&self, model: &ModelName) -> bool {
        self.unloading.as_ref() == Some(model)
    }

    /// Prompt tokens of a request that the runner has to prefill.
    pub fn uncached_tokens(&self, request: &GenerationRequest) -> u32 {
        let cached = self.prefix_cache.cached_tokens(&request.target, &request.parts);
        request.size.prompt_tokens.saturating_sub(cached)
    }

    /// Estimated time that the runner takes to prefill a request's prompt.
    pub fn prefill_time(
        &self,
        request: &GenerationRequest,
        timings: &EngineTimings,
    ) -> Duration {
        let tokens = self.uncached_tokens(request);
        self.speed.prefill_time(&request.target.model, tokens, timings)
    }

    /// How much longer an order is expected to be in progress.
    pub fn order_time_left(&self, now: Instant) -> Duration {
        self.busy_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that the runner accepted an order that takes `time`.
    pub fn record_accepted(
        &mut self,
        action: &OrderAction,
        time: Duration,
        now: Instant,
    ) {
        self.order_count = self.order_count.map(|orders| orders.saturating_add(1));
        self.min_order_count = self.order_count.unwrap_or(self.min_order_count);
        match action {
            OrderAction::Load(model) => {
                self.busy_until = Some(now + time);
                self.models.push(model.clone());
            }
            // The model keeps its memory until its requests have finished.
            OrderAction::Unload(model) => {
                self.busy_until = Some(now + time);
                self.unloading = Some(model.clone());
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let slot = AdapterSlot::new(now + time, now);
                self.adapters.insert(target(model, adapter), slot);
            }
            OrderAction::UnloadAdapter(..) => {}
        }
    }

    /// Records that the result of an order is in force.
    pub fn record_in_force(&mut self, action: &OrderAction, now: Instant) {
        match action {
            OrderAction::Load(model) if !self.models.contains(model) => {
                self.models.push(model.clone());
            }
            OrderAction::Load(_) => {}
            OrderAction::Unload(model) => {
                self.models.retain(|held| held != model);
                self.adapters.retain(|target, _| target.model != *model);
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let slot = AdapterSlot::new(now, now);
                self.adapters.insert(target(model, adapter), slot);
            }
            // An unused adapter is dropped at once, by an accepted order.
            OrderAction::UnloadAdapter(model, adapter) => {
                self.adapters.swap_remove(&target(model, adapter));
                self.order_count =
                    self.order_count.map(|orders| orders.saturating_add(1));
                self.min_order_count = self.order_count.unwrap_or(self.min_order_count);
            }
        }
    }

    /// Records that a request for an adapter is sent.
    pub fn mark_adapter_used(&mut self, target: &TargetModel, now: Instant) {
        if let Some(slot) = self.adapters.get_mut(target) {
            slot.last_used = now;
        }
    }

    /// Records that the runner rejected a request because an adapter that this view lists
    /// was missing.
    ///
    /// The adapter may still be loading, so its slot counts as taken until an order or a
    /// report shows whether it is loaded. If it counted as free while no order can be
    /// given, the next adapter would exceed the runner's slots and crash it.
    pub fn mark_adapter_missing(&mut self, target: &TargetModel) {
        if let Some(slot) = self.adapters.get_mut(target) {
            slot.reported_missing = true;
        }
    }

    /// How far the runner, which has `slots` adapter slots, is from serving an adapter.
    pub fn adapter_state(
        &self,
        target: &TargetModel,
        slots: usize,
        now: Instant,
    ) -> AdapterState {
        if target.adapter.is_none() {
            return AdapterState::Ready;
        }
        if let Some(slot) = self.adapters.get(target) {
            if slot.reported_missing {
                // Its own slot is reserved for it.
                return AdapterState::SlotFree;
            }
            let left = slot.ready_at.saturating_duration_since(now);
            return match left.is_zero() {
                true => AdapterState::Ready,
                false => AdapterState::Loading(left),
            };
        }
        if self.adapters.len() < slots {
            return AdapterState::SlotFree;
        }
        match self.eviction_candidate(now) {
            Some(_) => AdapterState::NeedsEviction,
            None => AdapterState::SlotsInUse,
        }
    }

    /// The next action to make an adapter available on the runner, which has `slots`
    /// adapter slots.
    pub fn adapter_need(
        &self,
        target: &TargetModel,
        slots: usize,
        now: Instant,
    ) -> AdapterNeed {
        let Some(adapter) = target.adapter.clone() else {
            return AdapterNeed::ReadyIn(Duration::ZERO);
        };
        match self.adapter_state(target, slots, now) {
            AdapterState::Ready => AdapterNeed::ReadyIn(Duration::ZERO),
            AdapterState::Loading(left) => AdapterNeed::ReadyIn(left),
            AdapterState::SlotFree => {
                let action = OrderAction::LoadAdapter(target.model.clone(), adapter);
                AdapterNeed::Order(action)
            }
            AdapterState::NeedsEviction | AdapterState::SlotsInUse => {
                let evicted = self.eviction_candidate(now).cloned();
                let action = evicted.and_then(|evicted| {
                    Some(OrderAction::UnloadAdapter(evicted.model, evicted.adapter?))
                });
                action.map_or(AdapterNeed::SlotsInUse, AdapterNeed::Order)
            }
        }
    }

    /// Whether a model fits beside those that the runner holds or is loading.
    pub fn fits(&self, model: &ModelName, engine: &Engine) -> bool {
        let size = |name: &ModelName| engine.models.get(name).map(|m| m.weights_mb);
        let held: Option<f64> = self.models.iter().map(size).sum();
        match (held, size(model)) {
            (Some(held), Some(size)) => {
                held + size + engine.adapter_reserve_mb() <= engine.memory_mb
            }
            // A model of unknown size may take all of the memory.
            _ => false,
        }
    }

    /// The least recently used adapter, if it is not in use.
    pub fn eviction_candidate(&self, now: Instant) -> Option<&TargetModel> {
        let is_idle = |slot: &AdapterSlot| {
            now.saturating_duration_since(slot.last_used) >= ADAPTER_IN_USE
        };
        let oldest = self.adapters.iter().min_by_key(|(_, slot)| slot.last_used)?;
        is_idle(oldest.1).then_some(oldest.0)
    }
}

fn target(model: &ModelName, adapter: &AdapterName) -> TargetModel {
    TargetModel { model: model.clone(), adapter: Some(adapter.clone()) }
}
