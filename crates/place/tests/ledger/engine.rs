//! Simulation of an engine that executes each order once and counts its memory.

use std::collections::BTreeMap;

use chestnut_base::{Fence, OrderId};
use chestnut_place::report::{ModelEntry, OrderEntry};
use chestnut_place::{Asset, AssetState, Order, OrderKind, OrderState, Report};

/// An engine that never refuses an order for lack of memory.
pub struct Engine {
    pub incarnation: u64,
    /// Whether orders with an outdated fence are rejected.
    fenced: bool,
    seq: u64,
    capacity: u64,
    /// For each asset, its bytes, its state and the order that it executes or executed
    /// last.
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

    /// The memory in use, in bytes.
    pub fn used(&self) -> u64 {
        self.held.values().map(|(bytes, ..)| bytes).sum()
    }

    pub fn is_ready(&self, asset: &Asset) -> bool {
        self.held.get(asset).is_some_and(|(_, state, _)| *state == AssetState::Ready)
    }

    pub fn assets(&self) -> impl Iterator<Item = &Asset> {
        self.held.keys()
    }

    /// Receives a copy of an order.
    pub fn receive(&mut self, order: &Order, fence: Fence) {
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
            (OrderKind::Unload, Some((_, state, current_order)))
                if *state == AssetState::Ready =>
            {
                *state = AssetState::Unloading;
                *current_order = order.id;
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

    /// Completes a load or unload that `pick` chooses, successfully or not.
    pub fn progress(&mut self, pick: u8, fails: bool) {
        let in_progress: Vec<_> = self
            .held
            .iter()
            .filter(|(_, (_, state, _))| *state != AssetState::Ready)
            .map(|(asset, _)| asset.clone())
            .collect();
        let Some(asset) = in_progress.get(usize::from(pick) % in_progress.len().max(1))
        else {
            return;
        };
        self.seq += 1;
        let (_, state, current_order) = &self.held[asset];
        let (state, current_order) = (*state, *current_order);
        let is_removed = (state == AssetState::Loading) == fails;
        let order_state = if fails { OrderState::Failed } else { OrderState::Done };
        self.orders.insert(current_order, order_state);
        if is_removed {
            self.held.remove(asset);
        } else if let Some((_, state, _)) = self.held.get_mut(asset) {
            *state = AssetState::Ready;
        }
    }

    /// Restarts as another incarnation without assets, orders and fence.
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
