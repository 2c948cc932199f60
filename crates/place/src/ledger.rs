//! Accounting for the memory of one runner: what is in use, reserved, or may still be
//! taken by a late order.
//!
//! Models are loaded, swapped and moved while orders to engines are lost, delayed or
//! duplicated, engines restart and holders change. Without the ledger, a holder would
//! free the memory of an order that timed out; when a late copy of it arrives, the engine
//! overcommits its accelerator and every request on it fails.
//!
//! Every asset that may hold memory, now or once a late copy of an order arrives, has one
//! [`Reservation`], and together the reservations never exceed the capacity. A
//! reservation is made before its order is first sent. It is removed only when a report
//! shows the unload as done *and* no copy of a load order can be in transit any more.
//!
//! The ledger relies on three properties of engines: an order that a report lists is not
//! executed again in that incarnation; a restarted engine holds nothing, remembers no
//! orders and has another incarnation; loading an asset that is already loaded takes no
//! further memory. Fence numbers are sent, but the ledger does not rely on them, so it is
//! equally safe with engines that ignore them.

use std::fmt::{self, Display, Formatter};

use chestnut_base::OrderId;
use serde::{Deserialize, Serialize};

use crate::asset::Asset;
use crate::report::{AssetState, OrderState, Report};

/// The longest time that a copy of an order may be in transit, in milliseconds.
///
/// The sender closes the connection when its request times out, and operating systems
/// stop retransmitting unacknowledged data after about 924 s (Linux, `tcp_retries2` =
/// 15). 1,000 s is above that.
pub const MAX_ORDER_DELAY_MS: u64 = 1_000_000;

/// Bounds of the table service's time while a report was requested and evaluated, in
/// milliseconds.
///
/// A range, since daemons know that time only from responses. An order must not arrive
/// unnoticed between a report and the time at which it is evaluated, and a time cached
/// from before an outage must not make copies in transit appear expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeRange {
    /// Lower bound of the time at which the report was requested.
    pub earliest: u64,
    /// Upper bound of the time at which the report is evaluated.
    pub latest: u64,
}

/// The ledger of one runner, stored as its row in the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// Incarnation of the engine in the last report.
    pub incarnation: u64,
    /// Number of the last order that was created; never decreases.
    #[serde(rename = "last")]
    pub last_order: u64,
    /// Whether the engine is unresponsive.
    ///
    /// Its memory stays accounted for, but requests can't use its assets.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub down: bool,
    /// Assets that hold memory or may come to hold it, at most one reservation each.
    ///
    /// Their sum exceeds `capacity` only if the engine reported assets that were not
    /// loaded by an order of this ledger.
    #[serde(rename = "items")]
    pub reservations: Vec<Reservation>,
}

/// Memory that is accounted for one asset, in use or not yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The asset that holds the memory or may come to hold it.
    pub asset: Asset,
    /// The memory that is reserved for it, in bytes.
    pub bytes: u64,
    /// Progress of the load or unload.
    pub state: ReservationState,
    /// Load orders of which copies may be in transit; only the last one is sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadOrder>,
    /// The unload order; set exactly while the state is `Unloading`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unload: Option<OrderId>,
}

/// The state of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationState {
    /// Memory is reserved, and the load order is sent repeatedly until a report confirms
    /// it.
    Loading,
    /// A report has shown the asset as usable.
    Ready,
    /// New requests must not use the asset; earlier ones may still run.
    Draining,
    /// The unload order is sent repeatedly until a report confirms it.
    Unloading,
    /// The asset is not loaded, but a late copy of a load order may still arrive.
    #[serde(rename = "spent")]
    Expiring,
}

/// A load order of which copies may be in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Number of the order, the same in each copy.
    pub order: OrderId,
    /// Whether the current incarnation has listed it in a report.
    #[serde(rename = "seen")]
    pub listed: bool,
    /// Whether the engine has responded to every copy that was sent.
    #[serde(rename = "clear")]
    pub answered: bool,
    /// When no copy can be in transit any more, in milliseconds of the table service's
    /// time; `None` while copies are sent.
    #[serde(rename = "until", default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<u64>,
}

/// An order to an engine, sent repeatedly until a report confirms it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number of the order, the same in each copy.
    pub id: OrderId,
    /// The asset to load or unload.
    pub asset: Asset,
    /// The memory of the asset, in bytes.
    pub bytes: u64,
    /// Whether to load or unload.
    pub kind: OrderKind,
}

/// The operation that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the asset.
    Load,
    /// Unload the asset.
    Unload,
}

/// An asset does not fit into the free memory of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// The asset that was to be loaded.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub needed: u64,
    /// The memory that is not reserved, in bytes.
    pub free: u64,
}

impl Display for InsufficientMemory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` needs {} bytes and {} are free; drop another model first",
            self.asset, self.needed, self.free
        )
    }
}

impl std::error::Error for InsufficientMemory {}

impl Ledger {
    /// The sum of all reservations, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().map(|reservation| reservation.bytes).sum()
    }

    /// The memory that can still be reserved, in bytes.
    pub fn free_bytes(&self) -> u64 {
        self.capacity.saturating_sub(self.reserved_bytes())
    }

    /// The reservation of an asset; `None` if it holds no memory and no order can load it
    /// any more.
    pub fn reservation(&self, asset: &Asset) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| reservation.asset == *asset)
    }

    /// Whether an asset is loaded and not being dropped.
    pub fn is_ready(&self, asset: &Asset) -> bool {
        self.reservation(asset)
            .is_some_and(|reservation| reservation.state == ReservationState::Ready)
    }

    /// Whether requests can use an asset: it and its base model are loaded, and the
    /// engine is responsive.
    pub fn is_usable(&self, asset: &Asset) -> bool {
        !self.down && self.is_ready(asset) && self.is_ready(&asset.base_model())
    }

    /// Reserves memory for an asset and creates its load order.
    ///
    /// A draining asset becomes ready again. One that is being unloaded stays as it is
    /// until the unload is confirmed.
    pub fn reserve(
        &mut self,
        asset: &Asset,
        bytes: u64,
    ) -> Result<(), InsufficientMemory> {
        let free = self.free_bytes();
        let Some(index) =
            self.reservations.iter().position(|reservation| reservation.asset == *asset)
        else {
            if bytes > free {
                return Err(InsufficientMemory {
                    asset: asset.clone(),
                    needed: bytes,
                    free,
                });
            }
            let load = self.new_load_order();
            self.reservations.push(Reservation {
                asset: asset.clone(),
                bytes,
                state: ReservationState::Loading,
                loads: vec![load],
                unload: None,
            });
            return Ok(());
        };
        match self.reservations[index].state {
            ReservationState::Draining => {
                self.reservations[index].state = ReservationState::Ready
            }
            ReservationState::Expiring => {
                let load = self.new_load_order();
                let reservation = &mut self.reservations[index];
                reservation.loads.push(load);
                reservation.state = ReservationState::Loading;
            }
            ReservationState::Loading
            | ReservationState::Ready
            | ReservationState::Unloading => {}
        }
        Ok(())
    }

    /// Whether an asset is being loaded, drained or unloaded.
    pub fn is_changing(&self) -> bool {
        self.reservations.iter().any(|reservation| {
            !matches!(
                reservation.state,
                ReservationState::Ready | ReservationState::Expiring
            )
        })
    }

    /// Whether the ledger contains an order, so that a copy of it may be sent.
    pub fn contains_order(&self, order: &Order) -> bool {
        self.reservation(&order.asset).is_some_and(|reservation| match order.kind {
            OrderKind::Load => {
                reservation.loads.iter().any(|load| load.order == order.id)
            }
            OrderKind::Unload => reservation.unload == Some(order.id),
        })
    }

    /// Marks an asset, and adapters on top of it, as closed to new requests.
    pub fn drain(&mut self, asset: &Asset) {
        for reservation in &mut self.reservations {
            let is_part =
                reservation.asset == *asset || reservation.asset.is_adapter_on(asset);
            if is_part && reservation.state == ReservationState::Ready {
                reservation.state = ReservationState::Draining;
            }
        }
    }

    /// Creates the unload order of a draining asset and returns whether it did.
    ///
    /// A model is not unloaded before the adapters on top of it.
    pub fn start_unload(&mut self, asset: &Asset) -> bool {
        let has_adapters = self.reservations.iter().any(|reservation| {
            reservation.asset.is_adapter_on(asset)
                && reservation.state != ReservationState::Expiring
        });
        let order = OrderId(self.last_order + 1);
        let reservation =
            self.reservations.iter_mut().find(|reservation| reservation.asset == *asset);
        let Some(reservation) = reservation
            .filter(|reservation| reservation.state == ReservationState::Draining)
        else {
            return false;
        };
        if has_adapters {
            return false;
        }
        reservation.state = ReservationState::Unloading;
        reservation.unload = Some(order);
        self.last_order = order.0;
        true
    }

    /// Records that the engine has responded to every copy of a load order that any
    /// holder can have sent.
    pub fn mark_answered(&mut self, order: OrderId) {
        for reservation in &mut self.reservations {
            for load in reservation.loads.iter_mut().filter(|load| load.order == order) {
                load.answered = true;
            }
        }
    }

    /// Updates the ledger with a report that was requested after the ledger was read.
    pub fn apply_report(&mut self, report: &Report, time: TimeRange) {
        self.down = false;
        if self.incarnation != report.incarnation {
            self.handle_restart(time);
            self.incarnation = report.incarnation;
        }
        self.mark_listed(report, time);
        for index in 0..self.reservations.len() {
            self.update_state(index, report, time);
        }
        self.adopt(report);
        self.prune(time);
    }

    /// The orders to send until a later report confirms them.
    pub fn pending_orders(&self) -> Vec<Order> {
        let new_order = |reservation: &Reservation, id, kind| Order {
            id,
            asset: reservation.asset.clone(),
            bytes: reservation.bytes,
            kind,
        };
        self.reservations
            .iter()
            .filter_map(|reservation| match reservation.state {
                ReservationState::Loading => {
                    let load = reservation.loads.last().filter(|load| !load.listed)?;
                    Some(new_order(reservation, load.order, OrderKind::Load))
                }
                ReservationState::Unloading => {
                    Some(new_order(reservation, reservation.unload?, OrderKind::Unload))
                }
                ReservationState::Ready
                | ReservationState::Draining
                | ReservationState::Expiring => None,
            })
            .filter(|order| self.has_base(order))
            .collect()
    }

    /// Whether the base model that a load order needs is loaded.
    fn has_base(&self, order: &Order) -> bool {
        order.kind == OrderKind::Unload
            || order.asset.adapter.is_none()
            || self.is_ready(&order.asset.base_model())
    }

    fn new_load_order(&mut self) -> LoadOrder {
        self.last_order += 1;
        LoadOrder {
            order: OrderId(self.last_order),
            listed: false,
            answered: false,
            expires_at: None,
        }
    }

    /// Handles a restart of the engine: it holds nothing and has forgotten all orders.
    ///
    /// Copies in transit remain, and the new incarnation would execute them. An asset
    /// that is still needed is ordered again with the same number, so that a late copy is
    /// a duplicate; one that was being dropped keeps its memory until no copy can arrive.
    fn handle_restart(&mut self, time: TimeRange) {
        for reservation in &mut self.reservations {
            let is_needed = matches!(
                reservation.state,
                ReservationState::Loading | ReservationState::Ready
            );
            let last = reservation.loads.last().map(|load| load.order);
            reservation.loads.retain(|load| {
                !is_obsolete(load, time) || (is_needed && Some(load.order) == last)
            });
            for load in &mut reservation.loads {
                load.listed = false;
            }
            reservation.unload = None;
            if is_needed {
                reservation.state = ReservationState::Loading;
                if let Some(load) = reservation.loads.last_mut() {
                    load.answered = false;
                    load.expires_at = None;
                }
            } else {
                reservation.state = ReservationState::Expiring;
                start_expiry(reservation, time);
            }
        }
    }

    fn mark_listed(&mut self, report: &Report, time: TimeRange) {
        for load in
            self.reservations.iter_mut().flat_map(|reservation| &mut reservation.loads)
        {
            if !load.listed && report.order_state(load.order).is_some() {
                load.listed = true;
                load.expires_at = Some(time.latest + MAX_ORDER_DELAY_MS);
            }
        }
    }

    /// Updates the state of one reservation from the reported state of its asset.
    fn update_state(&mut self, index: usize, report: &Report, time: TimeRange) {
        let reservation = &self.reservations[index];
        let reported = report.asset_state(&reservation.asset);
        let is_ready = reported == Some(AssetState::Ready);
        match reservation.state {
            ReservationState::Loading if is_ready => {
                self.reservations[index].state = ReservationState::Ready
            }
            ReservationState::Loading if reported.is_none() => {
                // The order failed, or a late unload undid it. The engine ignores its
                // number from now on.
                let is_over = reservation.loads.last().is_none_or(|load| {
                    match report.order_state(load.order) {
                        Some(OrderState::Running) => false,
                        Some(OrderState::Done | OrderState::Failed) => true,
                        None => load.listed,
                    }
                });
                if is_over {
                    let load = self.new_load_order();
                    self.reservations[index].loads.push(load);
                }
            }
            ReservationState::Ready if !is_ready => {
                self.reservations[index].state = ReservationState::Loading
            }
            ReservationState::Draining if reported.is_none() => self.expire(index, time),
            ReservationState::Unloading => {
                let order = reservation.unload.and_then(|id| report.order_state(id));
                match (order, reported) {
                    (Some(OrderState::Done), None) => self.expire(index, time),
                    // The unload failed, or a late copy of the load arrived after it.
                    (Some(OrderState::Done | OrderState::Failed), Some(_))
                        if is_ready =>
                    {
                        self.reservations[index].state = ReservationState::Draining;
                        self.reservations[index].unload = None;
                    }
                    (Some(OrderState::Failed), None) => self.expire(index, time),
                    _ => {}
                }
            }
            ReservationState::Expiring => {
                if let Some(reported) = reported {
                    self.reservations[index].state = unexpected_state(reported);
                }
            }
            _ => {}
        }
    }

    fn expire(&mut self, index: usize, time: TimeRange) {
        let reservation = &mut self.reservations[index];
        reservation.state = ReservationState::Expiring;
        reservation.unload = None;
        start_expiry(reservation, time);
    }

    /// Adds reservations for assets that the engine holds without an order of this
    /// ledger, such as a model that an operator loaded by hand.
    fn adopt(&mut self, report: &Report) {
        for (asset, bytes, state) in report.assets() {
            if self.reservation(&asset).is_some() {
                continue;
            }
            let state = unexpected_state(state);
            self.reservations.push(Reservation {
                asset,
                bytes,
                state,
                loads: Vec::new(),
                unload: None,
            });
        }
    }

    /// Removes load orders that can take no memory any more, and expiring reservations
    /// without load orders.
    fn prune(&mut self, time: TimeRange) {
        for reservation in &mut self.reservations {
            // The last order of a loaded asset is retained, so that it can be sent again
            // after a restart even while the table service is down.
            let is_active = reservation.state != ReservationState::Expiring;
            let last = reservation.loads.last().map(|load| load.order);
            reservation.loads.retain(|load| {
                !is_obsolete(load, time) || (is_active && Some(load.order) == last)
            });
        }
        self.reservations.retain(|reservation| {
            reservation.state != ReservationState::Expiring
                || !reservation.loads.is_empty()
        });
    }
}

/// Whether no copy of a load order can take effect any more: none can arrive, or only as
/// a duplicate.
fn is_obsolete(load: &LoadOrder, time: TimeRange) -> bool {
    (load.listed && load.answered)
        || load.expires_at.is_some_and(|expires_at| expires_at <= time.earliest)
}

/// The state of a reservation for an asset that the engine holds unexpectedly.
fn unexpected_state(state: AssetState) -> ReservationState {
    match state {
        AssetState::Loading => ReservationState::Loading,
        AssetState::Ready => ReservationState::Ready,
        AssetState::Unloading => ReservationState::Draining,
    }
}

fn start_expiry(reservation: &mut Reservation, time: TimeRange) {
    for load in &mut reservation.loads {
        load.expires_at.get_or_insert(time.latest + MAX_ORDER_DELAY_MS);
    }
}
