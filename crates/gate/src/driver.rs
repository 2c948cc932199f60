//! Gives a runner its orders.
//!
//! A runner carries out one order at a time. Each order names the number of orders
//! that the runner has accepted before, so that one whose answer was lost can't act
//! after a later one: what the runner holds is known whenever an order is given.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::ModelName;
use chestnut_edge::{
    Engine, Order, OrderAction, OrderResponse, ServerEntry, TargetModel,
};
use chestnut_member::suspension;
use chestnut_pool::AdapterNeed;
use chestnut_pool::moves::Move;
use slog::{info, warn};
use tokio::time::sleep;

use crate::claims;
use crate::holder::HeldRunner;
use crate::metrics::Step;
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

/// How long the load of an adapter takes.
///
/// Engines fetch one in 5 to 14 ms while few are on their way.
const ADAPTER_TIME: Duration = Duration::from_millis(16);

/// How often models that are being unloaded are looked for.
const UNLOAD_POLL: Duration = Duration::from_millis(100);

/// How long runs on a model may take to end before its unload is given up.
const UNLOAD_TIME: Duration = Duration::from_secs(10);

/// How long after its decision a model's load may begin.
///
/// Loads from the weight store are paced when they are decided; loads that waited for
/// room would begin together with later ones.
const CHANGE_TIME: Duration = Duration::from_millis(1500);

/// Steps that the load of an adapter may take: making room, loading, and both once
/// more after an answer that did not fit.
const ADAPTER_STEPS: usize = 4;

/// Gives a runner its orders.
pub struct Driver<'a> {
    /// The daemon.
    pub shared: &'a Shared,
    /// The runner.
    pub runner: &'a HeldRunner,
}

impl Driver<'_> {
    /// Has an adapter loaded; returns in how long it is there.
    pub async fn load_adapter(
        &self,
        target: &TargetModel,
        missed: bool,
    ) -> Option<Duration> {
        if missed {
            self.runner.state().mark_adapter_missing(target);
        }
        for _ in 0..ADAPTER_STEPS {
            self.known().await?;
            let places = self.engine()?.adapter_slots;
            let need =
                self.runner.state().adapter_need(target, places, self.shared.now());
            match need {
                AdapterNeed::ReadyIn(time) => return Some(time),
                AdapterNeed::SlotsInUse => return None,
                AdapterNeed::Order(step) => drop(self.order(step, ADAPTER_TIME).await),
            }
        }
        None
    }

    /// Changes the models: makes room first, then loads; returns whether it was or is
    /// being done.
    pub async fn apply_move(&self, change: &Move) -> bool {
        if !self.is_at_rest() {
            // An earlier move is under way.
            return true;
        }
        if self.known().await.is_none() {
            return false;
        }
        let began = self.shared.now();
        let held = |model: &ModelName| self.runner.state().models().contains(model);
        if change.load.as_ref().is_some_and(held) {
            return true;
        }
        for model in change.drop.iter().filter(|model| held(model)) {
            if change.load.as_ref().is_some_and(|load| self.fits(load)) {
                break;
            }
            if !self.unload(model).await {
                return false;
            }
        }
        let late = self.shared.now().duration_since(began) > CHANGE_TIME;
        match &change.load {
            // The load was counted for its time; the planner counts it again.
            Some(_) if late => true,
            Some(model) => self.load(model).await,
            None => true,
        }
    }

    async fn load(&self, model: &ModelName) -> bool {
        if !self.fits(model) {
            let server = self.runner.server.to_string();
            info!(self.shared.log, "no room for a model"; "server" => server,
                "model" => model.to_string());
            return false;
        }
        let time = self.load_time(model);
        let answer = self.order(OrderAction::Load(model.clone()), time).await;
        matches!(answer, Some(OrderResponse::Accepted | OrderResponse::Holds))
    }

    /// Has a model unloaded and waits until its runs have ended.
    async fn unload(&self, model: &ModelName) -> bool {
        let answer = self.order(OrderAction::Unload(model.clone()), UNLOAD_POLL).await;
        match answer {
            Some(OrderResponse::Holds) => return true,
            Some(OrderResponse::Accepted) => {}
            _ => return false,
        }
        // Its runs end first; nothing else may be ordered until then.
        self.runner.state().forget_order_count();
        let limit = self.shared.now() + UNLOAD_TIME;
        while self.shared.now() < limit {
            sleep(UNLOAD_POLL).await;
            if self.known().await.is_some() {
                return true;
            }
        }
        false
    }

    /// Whether a model fits beside what the runner holds.
    fn fits(&self, model: &ModelName) -> bool {
        self.engine().is_some_and(|engine| self.runner.state().fits(model, &engine))
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        let engine = self.engine();
        let declared = engine.as_ref().and_then(|engine| engine.models.get(model));
        let entry = self.entry();
        let known = declared.zip(entry);
        known.map_or(ANSWER_TIME, |(declared, entry)| entry.load_time(model, declared))
    }

    fn engine(&self) -> Option<Arc<Engine>> {
        self.shared.engine_of(&self.runner.server)
    }

    fn is_at_rest(&self) -> bool {
        self.runner.state().order_time_left(self.shared.now()).is_zero()
    }

    fn entry(&self) -> Option<ServerEntry> {
        let fleet = self.shared.fleet();
        let key = fleet.key(&self.runner.server)?;
        fleet.get(key).map(|server| server.entry.clone())
    }

    fn addr(&self) -> Option<SocketAddr> {
        self.entry().map(|entry| entry.address)
    }

    /// Asks the runner what it holds unless that is known.
    async fn known(&self) -> Option<()> {
        if self.runner.state().order_count().is_some() {
            return Some(());
        }
        if !self.is_at_rest() {
            return None;
        }
        let addr = self.addr()?;
        let request = self.shared.dialect.write_report_request();
        let client = &self.shared.client;
        let answer = client.call(addr, request, REPORT_LIMIT, ANSWER_TIME).await;
        let report = match answer {
            Ok(answer) => self.shared.dialect.read_report(answer.body()),
            Err(fault) => {
                info!(self.shared.log, "no report"; "server" => self.runner.server.to_string(),
                    "error" => fault.to_string());
                return None;
            }
        };
        match report {
            Ok(report) => {
                let current = report.started_at_ms
                    == self.entry().and_then(|entry| entry.started_at_ms);
                let now = self.shared.now();
                let taken = current && self.runner.state().apply_report(&report, now);
                info!(self.shared.log, "report"; "server" => self.runner.server.to_string(),
                    "orders" => report.accepted_orders, "busy" => report.busy, "taken" => taken,
                    "models" => report.models.len());
                taken.then_some(())
            }
            Err(error) => {
                warn!(self.shared.log, "report refused"; "server" => self.runner.server.to_string(),
                    "error" => error.to_string());
                None
            }
        }
    }

    /// Whether the claims are known well enough to give an order by them.
    fn is_sure(&self) -> bool {
        let now = self.shared.now();
        let fenced = self.shared.bounds.borrow().fenced;
        let age = match self.shared.is_resuming() {
            true => None,
            false => self.shared.tables.system.age(now),
        };
        suspension::may_send_order(fenced, age)
    }

    /// Gives an order; returns the answer if the order could be given.
    async fn order(&self, step: OrderAction, time: Duration) -> Option<OrderResponse> {
        let server = &self.runner.server;
        let fence = claims::fence(self.shared, server)?;
        if !self.is_sure() {
            info!(self.shared.log, "no order on old claims"; "server" => server.to_string());
            return None;
        }
        let addr = self.addr()?;
        let after = self.runner.state().order_count()?;
        let holder = self.shared.settings.vm.clone();
        let order = Order {
            server: server.clone(),
            action: step,
            expected_orders: after,
            holder,
            fence,
        };
        let request = self.shared.dialect.write_order(&order);
        let client = &self.shared.client;
        let answer = client.call(addr, request, REPORT_LIMIT, ANSWER_TIME).await;
        let answer = match answer {
            Ok(answer) => {
                self.shared.dialect.read_order_response(answer.status(), answer.headers())
            }
            Err(fault) => {
                info!(self.shared.log, "order not answered"; "server" => server.to_string(),
                    "error" => fault.to_string());
                OrderResponse::Unknown
            }
        };
        self.shared.metrics.count(Step::Order, answer.name());
        info!(self.shared.log, "order"; "server" => server.to_string(),
            "step" => format!("{:?}", order.action), "after" => after,
            "fence" => fence.0, "answer" => format!("{answer:?}"));
        self.take_answer(&order.action, answer, time).await;
        Some(answer)
    }

    async fn take_answer(
        &self,
        step: &OrderAction,
        answer: OrderResponse,
        time: Duration,
    ) {
        let now = self.shared.now();
        match answer {
            OrderResponse::Accepted => {
                self.runner.state().record_accepted(step, time, now);
                if matches!(step, OrderAction::UnloadAdapter(..)) {
                    // Requests use it still; its place is free once a report says so.
                    self.runner.state().forget_order_count();
                }
            }
            OrderResponse::Holds => self.runner.state().record_in_force(step, now),
            OrderResponse::Conflict | OrderResponse::Unknown | OrderResponse::Busy => {
                self.runner.state().forget_order_count();
                sleep(REPORT_AGE).await;
            }
            OrderResponse::Fenced
            | OrderResponse::Misdirected
            | OrderResponse::Invalid => {
                self.runner.state().forget_order_count();
            }
        }
    }
}
