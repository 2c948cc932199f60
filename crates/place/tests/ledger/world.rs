//! Simulation of a runner, its holders, the table and the network between them.

use std::collections::BTreeMap;

use chestnut_base::{Fence, ModelName, OrderId, VersionName};
use chestnut_place::ledger::MAX_ORDER_DELAY_MS;
use chestnut_place::{
    Asset, DesiredAsset, DropChecks, Ledger, Order, Report, ReservationState, TimeRange,
    reconcile,
};

use crate::engine::Engine;

/// The memory of the smallest asset, in bytes.
const UNIT_BYTES: u64 = 10;

/// The safeguards that are in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguards {
    /// All of them.
    All,
    /// Orders are sent before the reservation is committed.
    NoCommitFirst,
    /// Memory is freed when the unload order is sent, not when a report confirms it.
    NoUnloadReport,
    /// Memory is freed although copies of load orders may be in transit.
    NoExpiryWait,
}

/// The parameters of a world.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Whether the engine rejects orders with an outdated fence.
    pub fenced: bool,
    /// The number of assets, whose sizes differ.
    pub assets: usize,
    /// How many of the smallest assets fit into the memory together.
    pub room: u64,
    /// The safeguards that are in effect.
    pub safeguards: Safeguards,
}

/// A copy of an order in transit.
struct Packet {
    order: Order,
    fence: Fence,
    /// The holder that sent it and waits for the response.
    sender: Fence,
    /// The incarnation of the engine in whose connection the packet is delayed; it is
    /// lost with that incarnation. Set on the second copy of a duplicated packet, after
    /// the first copy was answered.
    bound_to: Option<u64>,
}

/// A daemon that holds the runner, or that has not noticed that it no longer does.
struct Holder {
    fence: Fence,
    /// The row as the holder last read it, with its version.
    row: Option<(Ledger, u64)>,
    /// The last order of former holders, whose responses this holder can't count.
    last_foreign_order: u64,
    /// For each order, the number of copies sent and of responses received.
    copies: BTreeMap<OrderId, (u32, u32)>,
    /// A report that was read and not evaluated yet, and when it was read.
    pending_report: Option<(Report, u64)>,
}

pub struct World {
    setup: Setup,
    engine: Engine,
    row: (Ledger, u64),
    claim_fence: Fence,
    holders: Vec<Holder>,
    network: Vec<Packet>,
    desired: Vec<DesiredAsset>,
    now: u64,
    loads_completed: u64,
    crashes: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let capacity = setup.room * UNIT_BYTES;
        let mut world = Self {
            setup,
            engine: Engine::new(setup.fenced, capacity),
            row: (Ledger { capacity, ..Ledger::default() }, 1),
            claim_fence: Fence(0),
            holders: Vec::new(),
            network: Vec::new(),
            desired: Vec::new(),
            now: 1,
            loads_completed: 0,
            crashes: 0,
        };
        world.take_over();
        world
    }

    /// Executes one step; the three random bytes choose its kind and parameters.
    pub fn step(&mut self, kind: u8, first: u8, second: u8) {
        match kind {
            0..=79 => self.poll_holder(usize::MAX, second),
            80..=94 => self.poll_holder(usize::from(first), second),
            95..=149 => self.deliver(first, second.is_multiple_of(4)),
            150..=164 => self.lose(first),
            165..=174 => self.duplicate(first),
            175..=219 => self.engine.progress(first, second.is_multiple_of(8)),
            220..=226 => self.crash(),
            227..=234 => self.take_over(),
            235..=253 => self.choose_desired(first, second),
            254..=255 => self.wait(),
        }
    }

    /// The first violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        let (ledger, _) = &self.row;
        let used = self.engine.used();
        if used > ledger.capacity {
            return Some(format!("the engine holds {used} of {}", ledger.capacity));
        }
        if self.setup.safeguards != Safeguards::All {
            // With a safeguard disabled, only overcommitted memory is a violation.
            return None;
        }
        if ledger.reserved_bytes() > ledger.capacity {
            return Some(format!(
                "{} of {} reserved",
                ledger.reserved_bytes(),
                ledger.capacity
            ));
        }
        let untracked =
            self.engine.assets().find(|asset| ledger.reservation(asset).is_none());
        untracked.map(|asset| format!("{asset} is held and not in the ledger"))
    }

    /// Ends all faults and runs long enough for the state to become stable.
    pub fn run_without_faults(&mut self) {
        for _ in 0..60 {
            self.poll_holder(usize::MAX, 255);
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
            for _ in 0..self.setup.assets {
                self.engine.progress(0, false);
            }
            self.wait();
        }
    }

    /// A difference between the desired assets and those at the engine, if any.
    pub fn difference(&self) -> Option<String> {
        let is_missing = |item: &&DesiredAsset| !self.engine.is_ready(&item.asset);
        if let Some(item) = self.desired.iter().find(is_missing) {
            return Some(format!("{} is not resident: {:?}", item.asset, self.row.0));
        }
        let extra = self
            .engine
            .assets()
            .find(|asset| self.desired.iter().all(|item| item.asset != **asset));
        extra.map(|asset| format!("{asset} is not desired: {:?}", self.row.0))
    }

    /// Checks that a long run loaded models and crashed the engine often enough to be
    /// meaningful.
    pub fn assert_progress(&self, steps: usize) {
        let steps = steps as u64;
        assert!(
            self.loads_completed > steps / 100,
            "{} models became ready",
            self.loads_completed
        );
        assert!(self.crashes > steps / 100, "the engine crashed {} times", self.crashes);
    }

    fn desired_asset(&self, index: usize) -> DesiredAsset {
        let model = ModelName::try_from(format!("m{index}")).expect("a valid name");
        let version = VersionName::try_from("v1").expect("a valid name");
        // Sizes of one to two units, so that different sets of assets fit.
        let bytes = UNIT_BYTES + (index as u64 % 3) * (UNIT_BYTES / 2);
        DesiredAsset { asset: Asset::model(model, version), bytes }
    }

    /// Chooses a set of desired assets that fits.
    fn choose_desired(&mut self, first: u8, second: u8) {
        let mut room = self.setup.room * UNIT_BYTES;
        self.desired.clear();
        for index in 0..self.setup.assets {
            let item =
                self.desired_asset((index + usize::from(second)) % self.setup.assets);
            if first >> index & 1 == 1 && item.bytes <= room {
                room -= item.bytes;
                self.desired.push(item);
            }
        }
    }

    /// Adds a holder that takes over the claim; at most three remain.
    fn take_over(&mut self) {
        self.claim_fence.0 += 1;
        if self.holders.len() > 2 {
            self.holders.remove(0);
        }
        self.holders.push(Holder {
            fence: self.claim_fence,
            row: None,
            last_foreign_order: 0,
            copies: BTreeMap::new(),
            pending_report: None,
        });
    }

    fn crash(&mut self) {
        self.crashes += 1;
        self.engine.crash();
        let incarnation = self.engine.incarnation;
        self.network
            .retain(|packet| packet.bound_to.is_none_or(|other| other == incarnation));
    }

    /// Lets so much time pass that no copy of an order is in transit any more.
    fn wait(&mut self) {
        self.now += MAX_ORDER_DELAY_MS;
        self.network.clear();
        let last = self.holders.len() - 1;
        self.holders.drain(..last);
    }

    /// One poll of the holder at `index`, or of the last holder if there is none.
    ///
    /// `fault` chooses whether it is suspended, its commit fails or the response is lost;
    /// 255 chooses no fault.
    fn poll_holder(&mut self, index: usize, fault: u8) {
        let index = index.min(self.holders.len() - 1);
        let mut holder = self.holders.remove(index);
        let (current, version) = match holder.row.clone() {
            Some(row) => row,
            None => {
                if holder.copies.is_empty() {
                    holder.last_foreign_order = self.row.0.last_order;
                }
                self.row.clone()
            }
        };
        holder.row = Some((current.clone(), version));
        let report = holder
            .pending_report
            .take()
            .unwrap_or_else(|| (self.engine.report(), self.now));
        if fault % 4 == 2 {
            // The holder is suspended between reading the report and evaluating it.
            holder.pending_report = Some(report);
            self.holders.insert(index, holder);
            return;
        }
        let next = self.next_ledger(&holder, &current, &report.0, report.1);
        if self.setup.safeguards == Safeguards::NoCommitFirst {
            self.send(&mut holder, &next, None);
        }
        self.commit(&mut holder, &current, next.clone(), version, fault);
        if let Some((row, _)) = holder.row.clone() {
            self.send(&mut holder, &next, Some(&row));
        }
        self.holders.insert(index, holder);
    }

    /// The ledger that the holder should commit, with the disabled safeguard left out.
    fn next_ledger(
        &self,
        holder: &Holder,
        current: &Ledger,
        report: &Report,
        requested_at: u64,
    ) -> Ledger {
        let mut next = current.clone();
        next.apply_report(report, TimeRange { earliest: requested_at, latest: self.now });
        let loads: Vec<_> = next
            .reservations
            .iter()
            .flat_map(|reservation| reservation.loads.clone())
            .collect();
        for load in loads {
            let (sent, answered) =
                holder.copies.get(&load.order).copied().unwrap_or((0, 0));
            if load.listed && load.order.0 > holder.last_foreign_order && sent == answered
            {
                next.mark_answered(load.order);
            }
        }
        let find_witnesses = |_: &Ledger, _: &Asset| Some(Vec::new());
        let is_idle = |_: &Asset| true;
        let checks = DropChecks { witnesses: &find_witnesses, is_idle: &is_idle };
        reconcile(&mut next, &self.desired, &checks);
        match self.setup.safeguards {
            Safeguards::NoUnloadReport => {
                next.reservations.retain(|reservation| {
                    reservation.state != ReservationState::Unloading
                });
            }
            Safeguards::NoExpiryWait => next
                .reservations
                .retain(|reservation| reservation.state != ReservationState::Expiring),
            Safeguards::All | Safeguards::NoCommitFirst => {}
        }
        next
    }

    /// Commits a change of the row. The transaction checks the claim and the row; `fault`
    /// chooses whether it fails or its response is lost.
    fn commit(
        &mut self,
        holder: &mut Holder,
        current: &Ledger,
        next: Ledger,
        version: u64,
        fault: u8,
    ) {
        if next == *current {
            return;
        }
        let is_allowed = holder.fence == self.claim_fence && version == self.row.1;
        let fails = fault.is_multiple_of(16);
        if is_allowed && !fails {
            let count_ready = |ledger: &Ledger| {
                ledger
                    .reservations
                    .iter()
                    .filter(|reservation| reservation.state == ReservationState::Ready)
                    .count()
            };
            self.loads_completed +=
                count_ready(&next).saturating_sub(count_ready(current)) as u64;
            self.row = (next.clone(), version + 1);
        }
        let response_lost = fault % 16 == 1;
        if !fails {
            // A report that was read before the row must not be applied to it.
            holder.pending_report = None;
            holder.row = (is_allowed && !response_lost).then_some((next, version + 1));
        }
    }

    fn send(&mut self, holder: &mut Holder, next: &Ledger, row: Option<&Ledger>) {
        for order in next.pending_orders() {
            if row.is_some_and(|row| !row.contains_order(&order)) {
                continue;
            }
            holder.copies.entry(order.id).or_default().0 += 1;
            let (fence, sender) = (holder.fence, holder.fence);
            self.network.push(Packet { order, fence, sender, bound_to: None });
        }
        // The network holds a limited number of packets; the oldest are lost.
        let excess = self.network.len().saturating_sub(24);
        self.network.drain(..excess);
    }

    fn packet_index(&self, pick: u8) -> Option<usize> {
        let len = self.network.len();
        (len > 0).then(|| usize::from(pick) % len)
    }

    fn deliver(&mut self, pick: u8, lose_response: bool) {
        let Some(index) = self.packet_index(pick) else { return };
        let packet = self.network.remove(index);
        self.engine.receive(&packet.order, packet.fence);
        if lose_response || packet.bound_to.is_some() {
            return;
        }
        let sender = self.holders.iter_mut().find(|holder| holder.fence == packet.sender);
        if let Some(holder) = sender {
            holder.copies.entry(packet.order.id).or_default().1 += 1;
        }
    }

    fn lose(&mut self, pick: u8) {
        if let Some(index) = self.packet_index(pick) {
            self.network.remove(index);
        }
    }

    /// Delivers a copy and leaves a second one in transit.
    fn duplicate(&mut self, pick: u8) {
        let Some(index) = self.packet_index(pick) else { return };
        let order = self.network[index].order.clone();
        let (fence, sender) = (self.network[index].fence, self.network[index].sender);
        self.deliver(index as u8, false);
        let bound_to = Some(self.engine.incarnation);
        self.network.push(Packet { order, fence, sender, bound_to });
    }
}
