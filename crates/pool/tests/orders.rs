//! A runner's memory and adapter slots under any sequence of orders, lost responses, late
//! orders, outdated reports, restarts and changes of the holder.
//!
//! A runner that is ordered to load more than fits crashes with all requests that run on
//! it. The holder relies on its view: each order carries the number of orders that the
//! runner must have accepted before, and reports from before the last order are ignored.

mod support;

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ModelName};
use chestnut_edge::{Engine, EngineReport, LoadedModel, OrderAction, TargetModel};
use chestnut_pool::{AdapterNeed, RunnerView, Usage};
use proptest::prelude::*;

use support::{engine, model, with_adapter};

/// Models and their sizes in gigabytes; two or three fit.
const SIZES: [(&str, f64); 5] =
    [("a", 72.7), ("b", 72.7), ("c", 65.1), ("d", 34.3), ("e", 90.0)];

/// Age of the reports that the holder reads.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(1200);

/// The actual state of the runner.
struct SimulatedRunner {
    declared: Engine,
    models: Vec<LoadedModel>,
    order_count: u64,
    /// The load in progress, and its end.
    loading: Option<(OrderAction, Instant)>,
    /// Late orders: the action, the number of orders that must have been accepted before,
    /// and the time of arrival.
    late_orders: Vec<(OrderAction, u64, Instant)>,
    /// All reports, oldest first.
    reports: Vec<(Instant, EngineReport)>,
    incarnation: u64,
    /// Whether it was ever ordered to load more than fits.
    was_overfull: bool,
}

/// What happens to an order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    /// It takes effect, and the response is lost.
    ResponseLost,
    /// It arrives after so many milliseconds, and takes effect if no other order was
    /// accepted meanwhile.
    Late(u64),
}

#[derive(Debug, Clone)]
enum Op {
    /// Advances the time by so many milliseconds.
    Wait(u64),
    LoadAdapter {
        model: usize,
        number: usize,
        delivery: Delivery,
    },
    Load {
        model: usize,
        delivery: Delivery,
    },
    Unload {
        model: usize,
        delivery: Delivery,
    },
    /// The runner rejects a request because of a missing adapter, which may still be
    /// loading, while the holder can't give an order.
    AdapterMissing {
        model: usize,
        number: usize,
    },
    Restart,
    Takeover,
}

impl SimulatedRunner {
    fn new(now: Instant) -> Self {
        let mut runner = Self {
            declared: engine(&SIZES),
            models: Vec::new(),
            order_count: 0,
            loading: None,
            late_orders: Vec::new(),
            reports: Vec::new(),
            incarnation: 1,
            was_overfull: false,
        };
        runner.add_report(now);
        runner
    }

    fn add_report(&mut self, now: Instant) {
        let report = EngineReport {
            models: self.models.clone(),
            busy: self.loading.is_some(),
            accepted_orders: self.order_count,
            started_at_ms: Some(self.incarnation),
            ..EngineReport::default()
        };
        self.reports.push((now, report));
    }

    /// The last report that is at least `REPORT_LAG` old.
    fn report(&self, now: Instant) -> EngineReport {
        let is_visible = |at: Instant| at + REPORT_LAG <= now;
        let last = self.reports.iter().rev().find(|(at, _)| is_visible(*at));
        last.unwrap_or(&self.reports[0]).1.clone()
    }

    /// Finishes loads and delivers late orders that are due.
    fn advance(&mut self, now: Instant) {
        if let Some((action, at)) = self.loading.clone()
            && at <= now
        {
            self.loading = None;
            self.finish(action);
            self.add_report(at);
        }
        let is_due = |(.., at): &(OrderAction, u64, Instant)| *at <= now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late_orders).into_iter().partition(is_due);
        self.late_orders = later;
        for (action, orders_before, at) in due {
            self.order(action, orders_before, at);
        }
    }

    /// Handles an order; returns whether it was accepted, and whether its result was in
    /// force already.
    fn order(
        &mut self,
        action: OrderAction,
        orders_before: u64,
        now: Instant,
    ) -> (bool, bool) {
        if self.loading.is_some() || orders_before != self.order_count {
            return (false, false);
        }
        if self.is_in_force(&action) {
            return (false, true);
        }
        self.order_count += 1;
        match action {
            OrderAction::Load(_) => self.loading = Some((action, now + LOAD_TIME)),
            _ => self.finish(action),
        }
        self.check_capacity();
        self.add_report(now);
        (true, false)
    }

    fn is_in_force(&self, action: &OrderAction) -> bool {
        let held = |name: &ModelName| self.models.iter().find(|held| held.model == *name);
        match action {
            OrderAction::Load(name) => held(name).is_some(),
            OrderAction::Unload(name) => held(name).is_none(),
            OrderAction::LoadAdapter(name, adapter) => {
                held(name).is_none_or(|held| held.adapters.contains(adapter))
            }
            OrderAction::UnloadAdapter(name, adapter) => {
                held(name).is_none_or(|held| !held.adapters.contains(adapter))
            }
        }
    }

    fn finish(&mut self, action: OrderAction) {
        let position = |models: &[LoadedModel], name: ModelName| {
            models.iter().position(|held| held.model == name)
        };
        match action {
            OrderAction::Load(model) => {
                self.models.push(LoadedModel { model, version: 1, adapters: Vec::new() });
            }
            OrderAction::Unload(name) => self.models.retain(|held| held.model != name),
            OrderAction::LoadAdapter(name, adapter) => {
                if let Some(index) = position(&self.models, name) {
                    self.models[index].adapters.push(adapter);
                }
            }
            OrderAction::UnloadAdapter(name, adapter) => {
                if let Some(index) = position(&self.models, name) {
                    self.models[index].adapters.retain(|held| *held != adapter);
                }
            }
        }
    }

    fn check_capacity(&mut self) {
        let loading = self.loading.iter().filter_map(|(action, _)| match action {
            OrderAction::Load(model) => Some(model),
            _ => None,
        });
        let held = self.models.iter().map(|held| &held.model).chain(loading);
        let used_mb: f64 = held.map(|model| self.declared.models[model].weights_mb).sum();
        let adapters: usize = self.models.iter().map(|held| held.adapters.len()).sum();
        let slots_exceeded = adapters > self.declared.adapter_slots;
        self.was_overfull |= used_mb > self.declared.memory_mb || slots_exceeded;
    }

    fn restart(&mut self, now: Instant) {
        (self.models, self.order_count, self.loading) = (Vec::new(), 0, None);
        self.incarnation += 1;
        // Orders name an incarnation and don't reach the next one.
        self.late_orders.clear();
        self.add_report(now);
    }
}

/// A runner and the view of its holder.
struct Simulation {
    now: Instant,
    runner: SimulatedRunner,
    view: RunnerView,
    /// The runner's incarnation that the registry lists.
    listed_incarnation: u64,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            runner: SimulatedRunner::new(now),
            view: RunnerView::default(),
            listed_incarnation: 1,
        }
    }

    fn apply(&mut self, op: Op) {
        self.runner.advance(self.now);
        match op {
            Op::Wait(millis) => self.now += Duration::from_millis(millis),
            Op::LoadAdapter { model, number, delivery } => {
                self.load_adapter(&with_adapter(SIZES[model].0, number), delivery);
            }
            Op::Load { model: index, delivery } => {
                let name = model(SIZES[index].0);
                let fits =
                    self.refresh_view() && self.view.fits(&name, &self.runner.declared);
                let is_held = self.view.models().contains(&name);
                if fits && !is_held {
                    self.order(OrderAction::Load(name), delivery);
                }
            }
            Op::Unload { model: index, delivery } => {
                if self.refresh_view() {
                    self.order(OrderAction::Unload(model(SIZES[index].0)), delivery);
                }
            }
            Op::AdapterMissing { model, number } => {
                self.view.mark_adapter_missing(&with_adapter(SIZES[model].0, number));
            }
            Op::Restart => {
                self.runner.restart(self.now);
                // The registry lists the new incarnation, and the holder's view is reset.
                self.listed_incarnation = self.runner.incarnation;
                self.view = RunnerView::default();
            }
            Op::Takeover => self.view = RunnerView::default(),
        }
    }

    fn load_adapter(&mut self, target: &TargetModel, delivery: Delivery) {
        let is_held = self.view.models().contains(&target.model);
        if !self.refresh_view() || !is_held {
            return;
        }
        let slots = self.runner.declared.adapter_slots;
        if let AdapterNeed::Order(action) =
            self.view.adapter_need(target, slots, self.now)
        {
            self.order(action, delivery);
        }
    }

    /// Applies a report if the order count is unknown; returns whether it is known then.
    fn refresh_view(&mut self) -> bool {
        if self.view.order_count().is_some() {
            return true;
        }
        let report = self.runner.report(self.now);
        report.started_at_ms == Some(self.listed_incarnation)
            && self.view.apply_report(&report, self.now)
    }

    fn order(&mut self, action: OrderAction, delivery: Delivery) {
        let Some(orders_before) = self.view.order_count() else { return };
        if let Delivery::Late(millis) = delivery {
            let at = self.now + Duration::from_millis(millis);
            self.runner.late_orders.push((action, orders_before, at));
            return self.view.forget_order_count();
        }
        let (accepted, in_force) =
            self.runner.order(action.clone(), orders_before, self.now);
        let unloads_adapter = matches!(action, OrderAction::UnloadAdapter(..));
        match (delivery, accepted, in_force) {
            (Delivery::ResponseLost, ..) | (_, false, false) => {
                self.view.forget_order_count()
            }
            // An unused adapter is dropped at once.
            (_, true, _) if unloads_adapter => {
                self.view.record_in_force(&action, self.now)
            }
            (_, true, _) => self.view.record_accepted(&action, LOAD_TIME, self.now),
            (_, _, true) if unloads_adapter => self.view.forget_order_count(),
            (_, _, true) => self.view.record_in_force(&action, self.now),
        }
    }
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::ResponseLost),
        1 => (200u64..6000).prop_map(Delivery::Late),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (10u64..1500).prop_map(Op::Wait),
        8 => (0..5usize, 0..12usize, delivery())
            .prop_map(|(model, number, delivery)| Op::LoadAdapter { model, number, delivery }),
        5 => (0..5usize, delivery()).prop_map(|(model, delivery)| Op::Load { model, delivery }),
        2 => (0..5usize, delivery()).prop_map(|(model, delivery)| Op::Unload { model, delivery }),
        2 => (0..5usize, 0..12usize)
            .prop_map(|(model, number)| Op::AdapterMissing { model, number }),
        1 => Just(Op::Restart),
        1 => Just(Op::Takeover),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_runner_is_never_overfull(ops in prop::collection::vec(op(), 1..120)) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
            prop_assert!(!simulation.runner.was_overfull);
        }
    }

    // Once all orders are answered, a wanted model that fits is loaded: the safeguards must
    // not leave a runner to which no order can be given any more.
    #[test]
    fn a_runner_accepts_orders_again(ops in prop::collection::vec(op(), 1..60)) {
        let mut simulation = Simulation::new();
        ops.into_iter().for_each(|op| simulation.apply(op));
        for model in 0..5 {
            for _ in 0..6 {
                simulation.apply(Op::Wait(7000));
                simulation.apply(Op::Unload { model, delivery: Delivery::Answered });
            }
        }
        for _ in 0..6 {
            simulation.apply(Op::Wait(7000));
            simulation.apply(Op::Load { model: 0, delivery: Delivery::Answered });
        }
        simulation.apply(Op::Wait(7000));
        simulation.runner.advance(simulation.now);
        prop_assert!(simulation.runner.models.iter().any(|held| held.model == model("a")));
    }
}

/// Guards against a daemon that ends because a runner reports more orders than can be counted.
#[test]
fn any_number_of_orders_can_be_reported() {
    let (mut view, now) = (RunnerView::default(), Instant::now());
    let report = EngineReport { accepted_orders: u64::MAX, ..EngineReport::default() };
    assert!(view.apply_report(&report, now));
    view.record_accepted(&OrderAction::Load(model("a")), LOAD_TIME, now);
    view.record_accepted(&OrderAction::Unload(model("a")), LOAD_TIME, now);
    view.record_in_force(&OrderAction::Load(model("a")), now);
    assert_eq!(view.order_count(), Some(u64::MAX));
}

/// Guards against a daemon that ends because others report more requests than can be counted.
#[test]
fn any_usage_can_be_reported() {
    let (mut view, now) = (RunnerView::default(), Instant::now());
    let usage = Usage {
        requests: u32::MAX,
        pending_prompt_tokens: u64::MAX,
        kv_tokens: u64::MAX,
    };
    for member in 0..2 {
        view.update_usage(MemberId(member), usage, now);
    }
    assert_eq!(view.total_usage(now), usage);
}
