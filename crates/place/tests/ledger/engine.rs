//! An engine that carries out each order once and counts its memory.

use std::collections::BTreeMap;

use chestnut_base::{Fence, OrderId};
use chestnut_place::report::{ModelEntry, OrderEntry};
use chestnut_place::{Asset, AssetState, Order, OrderKind, OrderState, Report};

/// An engine that trusts its orders: it never refuses for lack of memory.
pub struct Engine {
    pub incarnation: u64,
    /// Whether orders with an old fencing number are refused.
    fenced: bool,
    seq: u64,
    capacity: u64,
    held: BTreeMap<Asset, (u64, AssetState, OrderId)>,
    orders: BTreeMap<OrderId, OrderState>,
    fence: Fence,
}

impl Engine {
    pub fn new(fenced: bool, capacity: u64) -> Self {
        Self {
            incarnation: 1,
            fenced,
            seq: 0,
            capacity,
            held: BTreeMap::new(),
            orders: BTreeMap::new(),
            fence: Fence(0),
        }
    }

    /// The memory that is really in use.
    pub fn used(&self) -> u64 {
        self.held.values().map(|(bytes, ..)| bytes).sum()
    }

    pub fn is_ready(&self, asset: &Asset) -> bool {
        self.held.get(asset).is_some_and(|(_, state, _)| *state == AssetState::Ready)
    }

    pub fn assets(&self) -> impl Iterator<Item = &Asset> {
        self.held.keys()
    }

    /// Takes a copy of an order.
    pub fn take(&mut self, order: &Order, fence: Fence) {
        if self.fenced && fence < self.fence {
            return;
        }
        self.fence = self.fence.max(fence);
        if self.orders.contains_key(&order.id) {
            return;
        }
        self.seq += 1;
        match (order.kind, self.held.get_mut(&order.asset)) {
            (OrderKind::Load, None) => {
                let held = (order.bytes, AssetState::Loading, order.id);
                self.held.insert(order.asset.clone(), held);
                self.orders.insert(order.id, OrderState::Running);
            }
            (OrderKind::Unload, Some((_, state, by))) if *state == AssetState::Ready => {
                *state = AssetState::Unloading;
                *by = order.id;
                self.orders.insert(order.id, OrderState::Running);
            }
            (OrderKind::Load, Some(_)) | (OrderKind::Unload, None) => {
                self.orders.insert(order.id, OrderState::Done);
            }
            (OrderKind::Unload, Some(_)) => {
                self.orders.insert(order.id, OrderState::Failed);
            }
        }
    }

    /// Ends the work on the asset that is in work at `pick`; it may fail.
    pub fn progress(&mut self, pick: u8, fails: bool) {
        let busy: Vec<_> = self
            .held
            .iter()
            .filter(|(_, (_, state, _))| *state != AssetState::Ready)
            .map(|(asset, _)| asset.clone())
            .collect();
        let Some(asset) = busy.get(usize::from(pick) % busy.len().max(1)) else { return };
        self.seq += 1;
        let (_, state, by) = &self.held[asset];
        let (state, by) = (*state, *by);
        let gone = (state == AssetState::Loading) == fails;
        let order = if fails { OrderState::Failed } else { OrderState::Done };
        self.orders.insert(by, order);
        if gone {
            self.held.remove(asset);
        } else if let Some((_, state, _)) = self.held.get_mut(asset) {
            *state = AssetState::Ready;
        }
    }

    /// Loses everything and starts anew.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.seq = 0;
        self.fence = Fence(0);
        self.held.clear();
        self.orders.clear();
    }

    pub fn report(&self) -> Report {
        let model =
            |(asset, (bytes, state, _)): (&Asset, &(u64, AssetState, OrderId))| {
                ModelEntry {
                    model: asset.model.clone(),
                    version: asset.version.clone(),
                    bytes: *bytes,
                    state: *state,
                }
            };
        let order = |(id, state): (&OrderId, &OrderState)| OrderEntry {
            order: *id,
            state: *state,
        };
        Report {
            incarnation: self.incarnation,
            seq: self.seq,
            capacity: self.capacity,
            used: self.used(),
            models: self.held.iter().map(model).collect(),
            orders: self.orders.iter().map(order).collect(),
            ..Report::default()
        }
    }
}
