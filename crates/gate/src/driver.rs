//! Sends a runner its orders.
//!
//! A runner executes one order at a time. Each order states how many orders the runner
//! must have accepted before it, so that an order whose response was lost can't take
//! effect after a later one. What the runner holds is therefore known whenever an order
//! is sent.

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

use crate::client::CallLimits;
use crate::holder::HeldRunner;
use crate::metrics::Step;
use crate::shared::Shared;
use crate::{claims, paths};

/// How long an engine may take to respond to an order or a report request.
///
/// It responds within the delay of its link. An order without a response may still take
/// effect later.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Limits of an order or a report request.
const CALL_LIMITS: CallLimits =
    CallLimits { max_bytes: 1 << 20, head_timeout: RESPONSE_TIMEOUT };

/// How far an engine's report may lag behind its state.
///
/// After a response that contradicts this daemon's view, a report is requested only after
/// this time.
const MAX_REPORT_LAG: Duration = Duration::from_millis(300);

/// The assumed load time of an adapter.
///
/// Engines fetch an adapter in 5 to 14 ms while few are being fetched.
const ADAPTER_TIME: Duration = Duration::from_millis(16);

/// How often the end of a model's unload is checked for.
const UNLOAD_POLL_PERIOD: Duration = Duration::from_millis(100);

/// How long the requests on a model may take to end before its unload is abandoned.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long after the start of its move a model's load may be ordered.
///
/// The planner limits the rate of loads from the weight store; loads that waited for memory
/// would coincide with later ones.
const MAX_LOAD_DELAY: Duration = Duration::from_millis(1500);

/// Rounds of orders for one adapter: unloading another, loading, and both once more after
/// a response that contradicts this daemon's view.
const MAX_ADAPTER_ORDERS: usize = 4;

/// Sends a runner its orders.
pub struct Driver<'a> {
    /// The daemon's shared state.
    pub shared: &'a Shared,
    /// The runner.
    pub runner: &'a HeldRunner,
}

impl Driver<'_> {
    /// Orders the load of an adapter; returns the time until it is ready, or `None` if it
    /// can't be loaded.
    pub async fn load_adapter(
        &self,
        target: &TargetModel,
        adapter_missing: bool,
    ) -> Option<Duration> {
        if adapter_missing {
            self.runner.state().mark_adapter_missing(target);
        }
        for _ in 0..MAX_ADAPTER_ORDERS {
            self.ensure_report().await?;
            let slots = self.engine()?.adapter_slots;
            let need = self.runner.state().adapter_need(target, slots, self.shared.now());
            match need {
                AdapterNeed::ReadyIn(duration) => return Some(duration),
                AdapterNeed::SlotsInUse => return None,
                AdapterNeed::Order(action) => drop(self.send(action, ADAPTER_TIME).await),
            }
        }
        None
    }

    /// Executes a move: unloads models until the new one fits, then loads it. Returns
    /// whether the move was made or is in progress.
    pub async fn apply_move(&self, planned: &Move) -> bool {
        if !self.is_idle() {
            // An earlier move is in progress.
            return true;
        }
        if self.ensure_report().await.is_none() {
            return false;
        }
        let started_at = self.shared.now();
        let is_loaded = |model: &ModelName| self.runner.state().models().contains(model);
        if planned.load.as_ref().is_some_and(is_loaded) {
            return true;
        }
        for model in planned.drop.iter().filter(|model| is_loaded(model)) {
            if planned.load.as_ref().is_some_and(|load| self.fits(load)) {
                break;
            }
            if !self.unload_model(model).await {
                return false;
            }
        }
        let is_late = self.shared.now().duration_since(started_at) > MAX_LOAD_DELAY;
        match &planned.load {
            // The load was planned for an earlier time; the planner plans it again.
            Some(_) if is_late => true,
            Some(model) => self.load_model(model).await,
            None => true,
        }
    }

    async fn load_model(&self, model: &ModelName) -> bool {
        if !self.fits(model) {
            let server = self.runner.server.to_string();
            info!(self.shared.log, "not enough memory for a model"; "server" => server,
                "model" => model.to_string());
            return false;
        }
        let duration = self.load_time(model);
        let response = self.send(OrderAction::Load(model.clone()), duration).await;
        matches!(response, Some(OrderResponse::Accepted | OrderResponse::Holds))
    }

    /// Orders the unload of a model and waits until the requests on it have ended.
    async fn unload_model(&self, model: &ModelName) -> bool {
        let response =
            self.send(OrderAction::Unload(model.clone()), UNLOAD_POLL_PERIOD).await;
        match response {
            Some(OrderResponse::Holds) => return true,
            Some(OrderResponse::Accepted) => {}
            _ => return false,
        }
        // The model's requests end first; no other order may be sent until then.
        self.runner.state().forget_order_count();
        let deadline = self.shared.now() + UNLOAD_TIMEOUT;
        while self.shared.now() < deadline {
            sleep(UNLOAD_POLL_PERIOD).await;
            if self.ensure_report().await.is_some() {
                return true;
            }
        }
        false
    }

    /// Whether the runner has memory for a model besides those that it holds.
    fn fits(&self, model: &ModelName) -> bool {
        self.engine().is_some_and(|engine| self.runner.state().fits(model, &engine))
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        let engine = self.engine();
        let declared = engine.as_ref().and_then(|engine| engine.models.get(model));
        let entry = self.entry();
        let declared_and_entry = declared.zip(entry);
        declared_and_entry.map_or(RESPONSE_TIMEOUT, |(declared, entry)| {
            entry.load_time(model, declared)
        })
    }

    fn engine(&self) -> Option<Arc<Engine>> {
        self.shared.engine_of(&self.runner.server)
    }

    fn is_idle(&self) -> bool {
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

    /// Requests a report from the runner unless its state is known; `None` if it stays
    /// unknown.
    async fn ensure_report(&self) -> Option<()> {
        if self.runner.state().order_count().is_some() {
            return Some(());
        }
        if !self.is_idle() {
            return None;
        }
        let addr = self.addr()?;
        let request = self.shared.dialect.write_report_request();
        let response = self.shared.client.call(addr, request, CALL_LIMITS).await;
        let report = match response {
            Ok(response) => self.shared.dialect.read_report(response.body()),
            Err(error) => {
                info!(self.shared.log, "no response to report request"; "server" => self.runner.server.to_string(),
                    "error" => error.to_string());
                self.check_path().await;
                return None;
            }
        };
        match report {
            Ok(report) => {
                let same_process = report.started_at_ms
                    == self.entry().and_then(|entry| entry.started_at_ms);
                let now = self.shared.now();
                let applied =
                    same_process && self.runner.state().apply_report(&report, now);
                info!(self.shared.log, "report"; "server" => self.runner.server.to_string(),
                    "orders" => report.accepted_orders, "busy" => report.busy, "taken" => applied,
                    "models" => report.models.len());
                applied.then_some(())
            }
            Err(error) => {
                warn!(self.shared.log, "invalid report ignored"; "server" => self.runner.server.to_string(),
                    "error" => error.to_string());
                None
            }
        }
    }

    /// Whether the replica of the claims is recent enough to send an order under them.
    fn has_current_claims(&self) -> bool {
        let now = self.shared.now();
        let fenced = self.shared.bounds.borrow().fenced;
        let age = match self.shared.is_resuming() {
            true => None,
            false => self.shared.tables.system.age(now),
        };
        suspension::may_send_order(fenced, age)
    }

    /// Sends an order that is assumed to take `duration`; returns the response, or `None`
    /// if the order could not be sent.
    async fn send(
        &self,
        action: OrderAction,
        duration: Duration,
    ) -> Option<OrderResponse> {
        let server = &self.runner.server;
        let fence = claims::fence(self.shared, server)?;
        if !self.has_current_claims() {
            info!(self.shared.log, "order withheld, claims are outdated"; "server" => server.to_string());
            return None;
        }
        let addr = self.addr()?;
        let expected_orders = self.runner.state().order_count()?;
        let holder = self.shared.settings.vm.clone();
        let order =
            Order { server: server.clone(), action, expected_orders, holder, fence };
        let request = self.shared.dialect.write_order(&order);
        let response = self.shared.client.call(addr, request, CALL_LIMITS).await;
        let response = match response {
            Ok(response) => self
                .shared
                .dialect
                .read_order_response(response.status(), response.headers()),
            Err(error) => {
                info!(self.shared.log, "no response to order"; "server" => server.to_string(),
                    "error" => error.to_string());
                self.check_path().await;
                OrderResponse::Unknown
            }
        };
        self.shared.metrics.count(Step::Order, response.name());
        info!(self.shared.log, "order"; "server" => server.to_string(),
            "step" => format!("{:?}", order.action), "after" => expected_orders,
            "fence" => fence.0, "answer" => format!("{response:?}"));
        self.apply_response(&order.action, response, duration).await;
        Some(response)
    }

    /// Checks whether the runner accepts connections, after a call got no response.
    async fn check_path(&self) {
        if let Some(entry) = self.entry() {
            paths::check(self.shared, &entry.incarnation(), entry.address).await;
        }
    }

    async fn apply_response(
        &self,
        action: &OrderAction,
        response: OrderResponse,
        duration: Duration,
    ) {
        let now = self.shared.now();
        match response {
            OrderResponse::Accepted => {
                self.runner.state().record_accepted(action, duration, now);
                if matches!(action, OrderAction::UnloadAdapter(..)) {
                    // Requests may still use the adapter; its slot is free once a report
                    // shows that.
                    self.runner.state().forget_order_count();
                }
            }
            OrderResponse::Holds => self.runner.state().record_in_force(action, now),
            OrderResponse::Conflict | OrderResponse::Unknown | OrderResponse::Busy => {
                self.runner.state().forget_order_count();
                sleep(MAX_REPORT_LAG).await;
            }
            OrderResponse::Fenced
            | OrderResponse::Misdirected
            | OrderResponse::Invalid => {
                self.runner.state().forget_order_count();
            }
        }
    }
}
