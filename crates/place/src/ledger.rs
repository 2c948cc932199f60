//! The memory of one runner: what is held, reserved, or may still be taken.
//!
//! Load pattern: models are loaded, swapped and moved while orders to engines
//! are lost, arrive late or twice, engines restart and leads change. Without
//! the ledger a lead would free the memory of an order that it gave up; when a
//! late copy of it lands, the engine overcommits its accelerator and every
//! request on it dies.
//!
//! Every asset that may hold memory, now or after a late copy of an order
//! lands, has one [`Item`], and the items' bytes together never exceed the
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
pub const COPY_LIFE: u64 = 1_000_000;

/// The table service's time while a report was read, in milliseconds.
///
/// Of a range, since daemons know that time only from answers. A late landing
/// must not fall between a report and the time at which it is judged, and a
/// time kept from before an outage must not make copies look old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// At most the time at which the report was asked for.
    pub from: u64,
    /// At least the time at which the report is judged.
    pub to: u64,
}

/// The ledger of one runner, as its row in the table holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// The engine's incarnation at the last report.
    pub incarnation: u64,
    /// The number of the last order; grows only.
    pub last: u64,
    /// Whether the engine has not answered for some time.
    ///
    /// What it holds is still accounted for, but nobody can use it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub down: bool,
    /// Everything that may hold memory.
    ///
    /// At most one item per asset. The sum of their bytes exceeds `capacity`
    /// only if the engine reported assets that nobody ordered here.
    pub items: Vec<Item>,
}

/// An asset that holds memory or may come to hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The asset.
    pub asset: Asset,
    /// The memory that is reserved for it, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: ItemState,
    /// Load orders of which copies may be under way; the last one counts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// The unload order; present exactly while the state is `Unloading`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unload: Option<OrderId>,
}

/// How far an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// The memory is reserved and the load order is sent until it is confirmed.
    Loading,
    /// A report has shown it as usable.
    Ready,
    /// It must not be used for new requests; earlier ones may still run.
    Draining,
    /// The unload order is sent until it is confirmed.
    Unloading,
    /// It is not loaded, but a late copy of a load order may still land.
    Spent,
}

/// A load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The order.
    pub order: OrderId,
    /// Whether the present incarnation has listed it.
    pub seen: bool,
    /// Whether the engine has answered every copy that was sent.
    pub clear: bool,
    /// When no copy can be under way any more, in the table service's time;
    /// not set while copies are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<u64>,
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
pub struct Full {
    /// The asset.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub needed: u64,
    /// The memory that is free, in bytes.
    pub free: u64,
}

impl Display for Full {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` needs {} bytes and {} are free; drop another model first",
            self.asset, self.needed, self.free
        )
    }
}

impl std::error::Error for Full {}

impl Ledger {
    /// The memory that is held or may come to be held, in bytes.
    pub fn reserved(&self) -> u64 {
        self.items.iter().map(|item| item.bytes).sum()
    }

    /// The memory that can be reserved, in bytes.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.reserved())
    }

    /// The item of an asset.
    pub fn item(&self, asset: &Asset) -> Option<&Item> {
        self.items.iter().find(|item| item.asset == *asset)
    }

    /// Whether an asset can be used.
    pub fn is_ready(&self, asset: &Asset) -> bool {
        self.item(asset).is_some_and(|item| item.state == ItemState::Ready)
    }

    /// Whether requests can use an asset: it, and the model below, are loaded and
    /// the engine answers.
    pub fn is_usable(&self, asset: &Asset) -> bool {
        !self.down && self.is_ready(asset) && self.is_ready(&asset.base())
    }

    /// Reserves memory for an asset and creates its load order.
    ///
    /// An asset that is to be dropped is kept instead. One whose unload order
    /// exists is left alone until that is confirmed.
    pub fn want(&mut self, asset: &Asset, bytes: u64) -> Result<(), Full> {
        let free = self.free();
        let Some(at) = self.items.iter().position(|item| item.asset == *asset) else {
            if bytes > free {
                return Err(Full { asset: asset.clone(), needed: bytes, free });
            }
            let load = self.load();
            self.items.push(Item {
                asset: asset.clone(),
                bytes,
                state: ItemState::Loading,
                loads: vec![load],
                unload: None,
            });
            return Ok(());
        };
        match self.items[at].state {
            ItemState::Draining => self.items[at].state = ItemState::Ready,
            ItemState::Spent => {
                let load = self.load();
                let item = &mut self.items[at];
                item.loads.push(load);
                item.state = ItemState::Loading;
            }
            ItemState::Loading | ItemState::Ready | ItemState::Unloading => {}
        }
        Ok(())
    }

    /// Whether a load or an unload is under way.
    pub fn is_moving(&self) -> bool {
        self.items
            .iter()
            .any(|item| !matches!(item.state, ItemState::Ready | ItemState::Spent))
    }

    /// Whether an order is entered here, so that a copy of it may be sent.
    pub fn knows(&self, order: &Order) -> bool {
        self.item(&order.asset).is_some_and(|item| match order.kind {
            OrderKind::Load => item.loads.iter().any(|load| load.order == order.id),
            OrderKind::Unload => item.unload == Some(order.id),
        })
    }

    /// Marks an asset, and adapters on top of it, as not to be used any more.
    pub fn drain(&mut self, asset: &Asset) {
        for item in &mut self.items {
            let part = item.asset == *asset || item.asset.is_on(asset);
            if part && item.state == ItemState::Ready {
                item.state = ItemState::Draining;
            }
        }
    }

    /// Creates the unload order of an asset that is drained.
    ///
    /// Returns whether it did; a model waits for the adapters on top of it.
    pub fn unload(&mut self, asset: &Asset) -> bool {
        let covered = self
            .items
            .iter()
            .any(|item| item.asset.is_on(asset) && item.state != ItemState::Spent);
        let order = OrderId(self.last + 1);
        let item = self.items.iter_mut().find(|item| item.asset == *asset);
        let Some(item) = item.filter(|item| item.state == ItemState::Draining) else {
            return false;
        };
        if covered {
            return false;
        }
        item.state = ItemState::Unloading;
        item.unload = Some(order);
        self.last = order.0;
        true
    }

    /// Notes that the engine has answered every copy of a load order that any
    /// lead can have sent.
    pub fn clear(&mut self, order: OrderId) {
        for item in &mut self.items {
            for load in item.loads.iter_mut().filter(|load| load.order == order) {
                load.clear = true;
            }
        }
    }

    /// Takes in a report that was asked for after the ledger was read.
    pub fn observe(&mut self, report: &Report, span: Span) {
        self.down = false;
        if self.incarnation != report.incarnation {
            self.restart(span);
            self.incarnation = report.incarnation;
        }
        self.note_seen(report, span);
        for at in 0..self.items.len() {
            self.advance(at, report, span);
        }
        self.adopt(report);
        self.forget(span);
    }

    /// The orders to be sent until a later report confirms them.
    pub fn orders(&self) -> Vec<Order> {
        let order = |item: &Item, id, kind| Order {
            id,
            asset: item.asset.clone(),
            bytes: item.bytes,
            kind,
        };
        self.items
            .iter()
            .filter_map(|item| match item.state {
                ItemState::Loading => {
                    let load = item.loads.last().filter(|load| !load.seen)?;
                    Some(order(item, load.order, OrderKind::Load))
                }
                ItemState::Unloading => {
                    Some(order(item, item.unload?, OrderKind::Unload))
                }
                ItemState::Ready | ItemState::Draining | ItemState::Spent => None,
            })
            .filter(|order| self.is_based(order))
            .collect()
    }

    /// Whether the model below an adapter is there to load it onto.
    fn is_based(&self, order: &Order) -> bool {
        order.kind == OrderKind::Unload
            || order.asset.adapter.is_none()
            || self.is_ready(&order.asset.base())
    }

    fn load(&mut self) -> Load {
        self.last += 1;
        Load { order: OrderId(self.last), seen: false, clear: false, until: None }
    }

    /// The engine has restarted: it holds nothing and has forgotten all orders.
    ///
    /// Copies that were under way still are, and the new incarnation would
    /// carry them out. What was wanted is ordered again with the same number,
    /// so that a late copy of it is a duplicate; what was to be dropped keeps
    /// its memory until no copy can land.
    fn restart(&mut self, span: Span) {
        for item in &mut self.items {
            let wanted = matches!(item.state, ItemState::Loading | ItemState::Ready);
            let last = item.loads.last().map(|load| load.order);
            item.loads.retain(|load| {
                !is_accounted(load, span) || (wanted && Some(load.order) == last)
            });
            for load in &mut item.loads {
                load.seen = false;
            }
            item.unload = None;
            if wanted {
                item.state = ItemState::Loading;
                if let Some(load) = item.loads.last_mut() {
                    load.clear = false;
                    load.until = None;
                }
            } else {
                item.state = ItemState::Spent;
                stop_sending(item, span);
            }
        }
    }

    fn note_seen(&mut self, report: &Report, span: Span) {
        for load in self.items.iter_mut().flat_map(|item| &mut item.loads) {
            if !load.seen && report.order(load.order).is_some() {
                load.seen = true;
                load.until = Some(span.to + COPY_LIFE);
            }
        }
    }

    /// Moves one item on by what the report says of it.
    fn advance(&mut self, at: usize, report: &Report, span: Span) {
        let item = &self.items[at];
        let held = report.state(&item.asset);
        let ready = held == Some(AssetState::Ready);
        match item.state {
            ItemState::Loading if ready => self.items[at].state = ItemState::Ready,
            ItemState::Loading if held.is_none() => {
                // The order has come to nothing: it failed, or a late unload
                // undid it. The engine ignores its number from now on.
                let over =
                    item.loads.last().is_none_or(|load| match report.order(load.order) {
                        Some(OrderState::Running) => false,
                        Some(OrderState::Done | OrderState::Failed) => true,
                        None => load.seen,
                    });
                if over {
                    let load = self.load();
                    self.items[at].loads.push(load);
                }
            }
            ItemState::Ready if !ready => self.items[at].state = ItemState::Loading,
            ItemState::Draining if held.is_none() => self.spend(at, span),
            ItemState::Unloading => {
                let order = item.unload.and_then(|id| report.order(id));
                match (order, held) {
                    (Some(OrderState::Done), None) => self.spend(at, span),
                    // It failed, or a late copy of the load landed after it.
                    (Some(OrderState::Done | OrderState::Failed), Some(_)) if ready => {
                        self.items[at].state = ItemState::Draining;
                        self.items[at].unload = None;
                    }
                    (Some(OrderState::Failed), None) => self.spend(at, span),
                    _ => {}
                }
            }
            ItemState::Spent => {
                if let Some(held) = held {
                    self.items[at].state = found(held);
                }
            }
            _ => {}
        }
    }

    fn spend(&mut self, at: usize, span: Span) {
        let item = &mut self.items[at];
        item.state = ItemState::Spent;
        item.unload = None;
        stop_sending(item, span);
    }

    /// Enters what the engine holds though nobody ordered it here, such as a
    /// model that operators loaded by hand.
    fn adopt(&mut self, report: &Report) {
        for (asset, bytes, state) in report.holdings() {
            if self.item(&asset).is_some() {
                continue;
            }
            let state = found(state);
            self.items.push(Item {
                asset,
                bytes,
                state,
                loads: Vec::new(),
                unload: None,
            });
        }
    }

    /// Removes what can't come to hold memory any more.
    fn forget(&mut self, span: Span) {
        for item in &mut self.items {
            // The last order of what is held stays known, so that it can be
            // sent again after a restart even while the table is down.
            let held = item.state != ItemState::Spent;
            let last = item.loads.last().map(|load| load.order);
            item.loads.retain(|load| {
                !is_accounted(load, span) || (held && Some(load.order) == last)
            });
        }
        self.items
            .retain(|item| item.state != ItemState::Spent || !item.loads.is_empty());
    }
}

/// Whether no copy of a load order can land any more as anything but a duplicate.
fn is_accounted(load: &Load, span: Span) -> bool {
    (load.seen && load.clear) || load.until.is_some_and(|until| until <= span.from)
}

/// The state of an asset that is found at the engine without being expected.
fn found(state: AssetState) -> ItemState {
    match state {
        AssetState::Loading => ItemState::Loading,
        AssetState::Ready => ItemState::Ready,
        AssetState::Unloading => ItemState::Draining,
    }
}

fn stop_sending(item: &mut Item, span: Span) {
    for load in &mut item.loads {
        load.until.get_or_insert(span.to + COPY_LIFE);
    }
}
