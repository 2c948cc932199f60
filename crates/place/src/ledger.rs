//! The memory of one runner: what is held, reserved, or may still be taken.
//!
//! Load pattern: models are loaded, swapped and moved while orders to engines
//! are lost, arrive late or twice, engines restart and leads change. Without
//! the ledger a lead would free the memory of an order that it gave up; when a
//! late copy of it lands, the engine overcommits its accelerator and every
//! request on it dies.
//!
//! Every asset that may hold memory, now or after a late copy of an order
//! lands, has one [`Reservation`], and the items' bytes together never exceed the
//! capacity. An item is entered before its order is first sent, and removed
//! only when a report shows its unload as done *and* no copy of a load order
//! can be under way any more.
//!
//! Three facts about engines are used: an order that a report lists is not
//! carried out again in that incarnation; a restarted engine holds nothing,
//! remembers no orders and has another incarnation; loading what is loaded
//! takes no further memory. Fencing numbers are sent, but nothing here relies
//! on them, so that engines which ignore them are as safe.

use std::fmt::{self, Display, Formatter};

use chestnut_base::OrderId;
use serde::{Deserialize, Serialize};

use crate::asset::Asset;
use crate::report::{AssetState, OrderState, Report};

/// How long a copy of an order may be under way, in milliseconds.
///
/// The sender closes the connection when it gives up waiting, and operating
/// systems stop resending what a peer does not acknowledge after about 924 s
/// (Linux, `tcp_retries2` = 15). 1,000 s is above that.
pub const MAX_ORDER_DELAY_MS: u64 = 1_000_000;

/// The table service's time while a report was read, in milliseconds.
///
/// Of a range, since daemons know that time only from answers. A late landing
/// must not fall between a report and the time at which it is judged, and a
/// time kept from before an outage must not make copies look old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeRange {
    /// At most the time at which the report was asked for.
    pub earliest: u64,
    /// At least the time at which the report is judged.
    pub latest: u64,
}

/// The ledger of one runner, as its row in the table holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// The engine's incarnation at the last report.
    pub incarnation: u64,
    /// The number of the last order; grows only.
    #[serde(rename = "last")]
    pub last_order: u64,
    /// Whether the engine has not answered for some time.
    ///
    /// What it holds is still accounted for, but nobody can use it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub down: bool,
    /// Everything that may hold memory.
    ///
    /// At most one item per asset. The sum of their bytes exceeds `capacity`
    /// only if the engine reported assets that nobody ordered here.
    #[serde(rename = "items")]
    pub reservations: Vec<Reservation>,
}

/// An asset that holds memory or may come to hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The asset.
    pub asset: Asset,
    /// The memory that is reserved for it, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: ReservationState,
    /// Load orders of which copies may be under way; the last one counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadOrder>,
    /// The unload order; present exactly while the state is `Unloading`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unload: Option<OrderId>,
}

/// How far an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationState {
    /// The memory is reserved and the load order is sent until it is confirmed.
    Loading,
    /// A report has shown it as usable.
    Ready,
    /// It must not be used for new requests; earlier ones may still run.
    Draining,
    /// The unload order is sent until it is confirmed.
    Unloading,
    /// It is not loaded, but a late copy of a load order may still land.
    #[serde(rename = "spent")]
    Expiring,
}

/// A load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The order.
    pub order: OrderId,
    /// Whether the present incarnation has listed it.
    #[serde(rename = "seen")]
    pub listed: bool,
    /// Whether the engine has answered every copy that was sent.
    #[serde(rename = "clear")]
    pub answered: bool,
    /// When no copy can be under way any more, in the table service's time;
    /// not set while copies are sent.
    #[serde(rename = "until", default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<u64>,
}

/// An order that is to be sent, again and again until a report confirms it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The order; the same for each copy.
    pub id: OrderId,
    /// What it is about.
    pub asset: Asset,
    /// The asset's memory, in bytes.
    pub bytes: u64,
    /// What is to be done.
    pub kind: OrderKind,
}

/// What an order tells an engine to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the asset.
    Load,
    /// Unload the asset.
    Unload,
}

/// An asset does not fit into what is free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InsufficientMemory {
    /// The asset.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub needed: u64,
    /// The memory that is free, in bytes.
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
    /// The memory that is held or may come to be held, in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().map(|item| item.bytes).sum()
    }

    /// The memory that can be reserved, in bytes.
    pub fn free_bytes(&self) -> u64 {
        self.capacity.saturating_sub(self.reserved_bytes())
    }

    /// The item of an asset.
    pub fn reservation(&self, asset: &Asset) -> Option<&Reservation> {
        self.reservations.iter().find(|item| item.asset == *asset)
    }

    /// Whether an asset can be used.
    pub fn is_ready(&self, asset: &Asset) -> bool {
        self.reservation(asset).is_some_and(|item| item.state == ReservationState::Ready)
    }

    /// Whether requests can use an asset: it, and the model below, are loaded and
    /// the engine answers.
    pub fn is_usable(&self, asset: &Asset) -> bool {
        !self.down && self.is_ready(asset) && self.is_ready(&asset.base_model())
    }

    /// Reserves memory for an asset and creates its load order.
    ///
    /// An asset that is to be dropped is kept instead. One whose unload order
    /// exists is left alone until that is confirmed.
    pub fn reserve(
        &mut self,
        asset: &Asset,
        bytes: u64,
    ) -> Result<(), InsufficientMemory> {
        let free = self.free_bytes();
        let Some(at) = self.reservations.iter().position(|item| item.asset == *asset)
        else {
            if bytes > free {
                return Err(InsufficientMemory {
                    asset: asset.clone(),
                    needed: bytes,
                    free,
                });
            }
            let load = self.load();
            self.reservations.push(Reservation {
                asset: asset.clone(),
                bytes,
                state: ReservationState::Loading,
                loads: vec![load],
                unload: None,
            });
            return Ok(());
        };
        match self.reservations[at].state {
            ReservationState::Draining => {
                self.reservations[at].state = ReservationState::Ready
            }
            ReservationState::Expiring => {
                let load = self.load();
                let item = &mut self.reservations[at];
                item.loads.push(load);
                item.state = ReservationState::Loading;
            }
            ReservationState::Loading
            | ReservationState::Ready
            | ReservationState::Unloading => {}
        }
        Ok(())
    }

    /// Whether a load or an unload is under way.
    pub fn is_changing(&self) -> bool {
        self.reservations.iter().any(|item| {
            !matches!(item.state, ReservationState::Ready | ReservationState::Expiring)
        })
    }

    /// Whether an order is entered here, so that a copy of it may be sent.
    pub fn contains_order(&self, order: &Order) -> bool {
        self.reservation(&order.asset).is_some_and(|item| match order.kind {
            OrderKind::Load => item.loads.iter().any(|load| load.order == order.id),
            OrderKind::Unload => item.unload == Some(order.id),
        })
    }

    /// Marks an asset, and adapters on top of it, as not to be used any more.
    pub fn drain(&mut self, asset: &Asset) {
        for item in &mut self.reservations {
            let part = item.asset == *asset || item.asset.is_adapter_on(asset);
            if part && item.state == ReservationState::Ready {
                item.state = ReservationState::Draining;
            }
        }
    }

    /// Creates the unload order of an asset that is drained.
    ///
    /// Returns whether it did; a model waits for the adapters on top of it.
    pub fn start_unload(&mut self, asset: &Asset) -> bool {
        let covered = self.reservations.iter().any(|item| {
            item.asset.is_adapter_on(asset) && item.state != ReservationState::Expiring
        });
        let order = OrderId(self.last_order + 1);
        let item = self.reservations.iter_mut().find(|item| item.asset == *asset);
        let Some(item) = item.filter(|item| item.state == ReservationState::Draining)
        else {
            return false;
        };
        if covered {
            return false;
        }
        item.state = ReservationState::Unloading;
        item.unload = Some(order);
        self.last_order = order.0;
        true
    }

    /// Notes that the engine has answered every copy of a load order that any
    /// lead can have sent.
    pub fn mark_answered(&mut self, order: OrderId) {
        for item in &mut self.reservations {
            for load in item.loads.iter_mut().filter(|load| load.order == order) {
                load.answered = true;
            }
        }
    }

    /// Takes in a report that was asked for after the ledger was read.
    pub fn apply_report(&mut self, report: &Report, span: TimeRange) {
        self.down = false;
        if self.incarnation != report.incarnation {
            self.restart(span);
            self.incarnation = report.incarnation;
        }
        self.note_seen(report, span);
        for at in 0..self.reservations.len() {
            self.advance(at, report, span);
        }
        self.adopt(report);
        self.forget(span);
    }

    /// The orders to be sent until a later report confirms them.
    pub fn pending_orders(&self) -> Vec<Order> {
        let order = |item: &Reservation, id, kind| Order {
            id,
            asset: item.asset.clone(),
            bytes: item.bytes,
            kind,
        };
        self.reservations
            .iter()
            .filter_map(|item| match item.state {
                ReservationState::Loading => {
                    let load = item.loads.last().filter(|load| !load.listed)?;
                    Some(order(item, load.order, OrderKind::Load))
                }
                ReservationState::Unloading => {
                    Some(order(item, item.unload?, OrderKind::Unload))
                }
                ReservationState::Ready
                | ReservationState::Draining
                | ReservationState::Expiring => None,
            })
            .filter(|order| self.is_based(order))
            .collect()
    }

    /// Whether the model below an adapter is there to load it onto.
    fn is_based(&self, order: &Order) -> bool {
        order.kind == OrderKind::Unload
            || order.asset.adapter.is_none()
            || self.is_ready(&order.asset.base_model())
    }

    fn load(&mut self) -> LoadOrder {
        self.last_order += 1;
        LoadOrder {
            order: OrderId(self.last_order),
            listed: false,
            answered: false,
            expires_at: None,
        }
    }

    /// The engine has restarted: it holds nothing and has forgotten all orders.
    ///
    /// Copies that were under way still are, and the new incarnation would
    /// carry them out. What was wanted is ordered again with the same number,
    /// so that a late copy of it is a duplicate; what was to be dropped keeps
    /// its memory until no copy can land.
    fn restart(&mut self, span: TimeRange) {
        for item in &mut self.reservations {
            let wanted =
                matches!(item.state, ReservationState::Loading | ReservationState::Ready);
            let last = item.loads.last().map(|load| load.order);
            item.loads.retain(|load| {
                !is_accounted(load, span) || (wanted && Some(load.order) == last)
            });
            for load in &mut item.loads {
                load.listed = false;
            }
            item.unload = None;
            if wanted {
                item.state = ReservationState::Loading;
                if let Some(load) = item.loads.last_mut() {
                    load.answered = false;
                    load.expires_at = None;
                }
            } else {
                item.state = ReservationState::Expiring;
                stop_sending(item, span);
            }
        }
    }

    fn note_seen(&mut self, report: &Report, span: TimeRange) {
        for load in self.reservations.iter_mut().flat_map(|item| &mut item.loads) {
            if !load.listed && report.order_state(load.order).is_some() {
                load.listed = true;
                load.expires_at = Some(span.latest + MAX_ORDER_DELAY_MS);
            }
        }
    }

    /// Moves one item on by what the report says of it.
    fn advance(&mut self, at: usize, report: &Report, span: TimeRange) {
        let item = &self.reservations[at];
        let held = report.asset_state(&item.asset);
        let ready = held == Some(AssetState::Ready);
        match item.state {
            ReservationState::Loading if ready => {
                self.reservations[at].state = ReservationState::Ready
            }
            ReservationState::Loading if held.is_none() => {
                // The order has come to nothing: it failed, or a late unload
                // undid it. The engine ignores its number from now on.
                let over = item.loads.last().is_none_or(|load| {
                    match report.order_state(load.order) {
                        Some(OrderState::Running) => false,
                        Some(OrderState::Done | OrderState::Failed) => true,
                        None => load.listed,
                    }
                });
                if over {
                    let load = self.load();
                    self.reservations[at].loads.push(load);
                }
            }
            ReservationState::Ready if !ready => {
                self.reservations[at].state = ReservationState::Loading
            }
            ReservationState::Draining if held.is_none() => self.spend(at, span),
            ReservationState::Unloading => {
                let order = item.unload.and_then(|id| report.order_state(id));
                match (order, held) {
                    (Some(OrderState::Done), None) => self.spend(at, span),
                    // It failed, or a late copy of the load landed after it.
                    (Some(OrderState::Done | OrderState::Failed), Some(_)) if ready => {
                        self.reservations[at].state = ReservationState::Draining;
                        self.reservations[at].unload = None;
                    }
                    (Some(OrderState::Failed), None) => self.spend(at, span),
                    _ => {}
                }
            }
            ReservationState::Expiring => {
                if let Some(held) = held {
                    self.reservations[at].state = found(held);
                }
            }
            _ => {}
        }
    }

    fn spend(&mut self, at: usize, span: TimeRange) {
        let item = &mut self.reservations[at];
        item.state = ReservationState::Expiring;
        item.unload = None;
        stop_sending(item, span);
    }

    /// Enters what the engine holds though nobody ordered it here, such as a
    /// model that operators loaded by hand.
    fn adopt(&mut self, report: &Report) {
        for (asset, bytes, state) in report.assets() {
            if self.reservation(&asset).is_some() {
                continue;
            }
            let state = found(state);
            self.reservations.push(Reservation {
                asset,
                bytes,
                state,
                loads: Vec::new(),
                unload: None,
            });
        }
    }

    /// Removes what can't come to hold memory any more.
    fn forget(&mut self, span: TimeRange) {
        for item in &mut self.reservations {
            // The last order of what is held stays known, so that it can be
            // sent again after a restart even while the table is down.
            let held = item.state != ReservationState::Expiring;
            let last = item.loads.last().map(|load| load.order);
            item.loads.retain(|load| {
                !is_accounted(load, span) || (held && Some(load.order) == last)
            });
        }
        self.reservations.retain(|item| {
            item.state != ReservationState::Expiring || !item.loads.is_empty()
        });
    }
}

/// Whether no copy of a load order can land any more as anything but a duplicate.
fn is_accounted(load: &LoadOrder, span: TimeRange) -> bool {
    (load.listed && load.answered)
        || load.expires_at.is_some_and(|until| until <= span.earliest)
}

/// The state of an asset that is found at the engine without being expected.
fn found(state: AssetState) -> ReservationState {
    match state {
        AssetState::Loading => ReservationState::Loading,
        AssetState::Ready => ReservationState::Ready,
        AssetState::Unloading => ReservationState::Draining,
    }
}

fn stop_sending(item: &mut Reservation, span: TimeRange) {
    for load in &mut item.loads {
        load.expires_at.get_or_insert(span.latest + MAX_ORDER_DELAY_MS);
    }
}
