//! A runner, its leads, the table and the network between them.

use std::collections::BTreeMap;

use chestnut_base::{Fence, ModelName, OrderId, VersionName};
use chestnut_place::ledger::MAX_ORDER_DELAY_MS;
use chestnut_place::{
    Asset, DesiredAsset, DropChecks, Ledger, Order, Report, ReservationState, TimeRange,
    reconcile,
};

use crate::engine::Engine;

/// The memory of the smallest asset.
const UNIT: u64 = 10;

/// Which safeguard is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// None.
    On,
    /// Orders are sent before the reservation is committed.
    NoCommit,
    /// Memory is freed when the unload order is sent, not when it is confirmed.
    NoConfirm,
    /// Copies under way are forgotten when the engine restarts.
    NoLate,
}

/// What a world starts from.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
    /// How many assets there are; the sizes differ.
    pub assets: usize,
    /// How many of the smallest assets fit at the same time.
    pub room: u64,
    /// Which safeguard is switched off.
    pub guard: Guard,
}

/// A copy of an order on its way.
struct Packet {
    order: Order,
    fence: Fence,
    /// The lead that sent it and waits for the answer.
    sender: Fence,
    /// Set on the second copy of a doubled packet whose first copy was
    /// answered: it is held up inside the engine's own connection and dies
    /// with that incarnation.
    bound: Option<u64>,
}

/// A daemon that leads the runner or believes that it does.
struct Lead {
    fence: Fence,
    row: Option<(Ledger, u64)>,
    earlier: u64,
    copies: BTreeMap<OrderId, (u32, u32)>,
    /// A report that was read and not yet acted on, and when it was read.
    report: Option<(Report, u64)>,
}

pub struct World {
    setup: Setup,
    engine: Engine,
    row: (Ledger, u64),
    claim: Fence,
    leads: Vec<Lead>,
    network: Vec<Packet>,
    wanted: Vec<DesiredAsset>,
    now: u64,
    confirmed: u64,
    crashes: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let capacity = setup.room * UNIT;
        let mut world = Self {
            setup,
            engine: Engine::new(setup.fenced, capacity),
            row: (Ledger { capacity, ..Ledger::default() }, 1),
            claim: Fence(0),
            leads: Vec::new(),
            network: Vec::new(),
            wanted: Vec::new(),
            now: 1,
            confirmed: 0,
            crashes: 0,
        };
        world.take_over();
        world
    }

    /// One step of the world, chosen by random bytes.
    pub fn step(&mut self, kind: u8, first: u8, second: u8) {
        match kind {
            0..=79 => self.lead_step(usize::MAX, second),
            80..=94 => self.lead_step(usize::from(first), second),
            95..=149 => self.deliver(first, second.is_multiple_of(4)),
            150..=164 => self.lose(first),
            165..=174 => self.double(first),
            175..=219 => self.engine.progress(first, second.is_multiple_of(8)),
            220..=226 => self.crash(),
            227..=234 => self.take_over(),
            235..=253 => self.want(first, second),
            254..=255 => self.wait(),
        }
    }

    /// What is wrong, if anything.
    pub fn fault(&self) -> Option<String> {
        let (ledger, _) = &self.row;
        let used = self.engine.used();
        if used > ledger.capacity {
            return Some(format!("the engine holds {used} of {}", ledger.capacity));
        }
        if self.setup.guard != Guard::On {
            // Without a safeguard only real harm counts.
            return None;
        }
        if ledger.reserved_bytes() > ledger.capacity {
            return Some(format!(
                "{} of {} reserved",
                ledger.reserved_bytes(),
                ledger.capacity
            ));
        }
        let unknown =
            self.engine.assets().find(|asset| ledger.reservation(asset).is_none());
        unknown.map(|asset| format!("{asset} is held and not in the ledger"))
    }

    /// Ends all faults and runs until nothing changes.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.lead_step(usize::MAX, 255);
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
            for _ in 0..self.setup.assets {
                self.engine.progress(0, false);
            }
            self.wait();
        }
    }

    /// What is wanted and not there, or there and not wanted.
    pub fn missing(&self) -> Option<String> {
        let lacks = |want: &&DesiredAsset| !self.engine.is_ready(&want.asset);
        if let Some(want) = self.wanted.iter().find(lacks) {
            return Some(format!("{} is not resident: {:?}", want.asset, self.row.0));
        }
        let extra = self
            .engine
            .assets()
            .find(|asset| self.wanted.iter().all(|want| want.asset != **asset));
        extra.map(|asset| format!("{asset} is not wanted: {:?}", self.row.0))
    }

    /// Checks that a long run has really moved something.
    pub fn check_busy(&self, steps: usize) {
        let steps = steps as u64;
        assert!(self.confirmed > steps / 100, "{} models became ready", self.confirmed);
        assert!(self.crashes > steps / 100, "the engine crashed {} times", self.crashes);
    }

    fn asset(&self, at: usize) -> DesiredAsset {
        let model = ModelName::try_from(format!("m{at}")).expect("a valid name");
        let version = VersionName::try_from("v1").expect("a valid name");
        // Sizes of one to two units, so that different sets of assets fit.
        let bytes = UNIT + (at as u64 % 3) * (UNIT / 2);
        DesiredAsset { asset: Asset::model(model, version), bytes }
    }

    /// Chooses a wanted set that fits.
    fn want(&mut self, first: u8, second: u8) {
        let mut room = self.setup.room * UNIT;
        self.wanted.clear();
        for at in 0..self.setup.assets {
            let want = self.asset((at + usize::from(second)) % self.setup.assets);
            if first >> at & 1 == 1 && want.bytes <= room {
                room -= want.bytes;
                self.wanted.push(want);
            }
        }
    }

    fn take_over(&mut self) {
        self.claim.0 += 1;
        if self.leads.len() > 2 {
            self.leads.remove(0);
        }
        self.leads.push(Lead {
            fence: self.claim,
            row: None,
            earlier: 0,
            copies: BTreeMap::new(),
            report: None,
        });
    }

    fn crash(&mut self) {
        self.crashes += 1;
        self.engine.crash();
        let incarnation = self.engine.incarnation;
        self.network.retain(|packet| packet.bound.is_none_or(|at| at == incarnation));
    }

    /// Lets so much time pass that nothing old is under way any more.
    fn wait(&mut self) {
        self.now += MAX_ORDER_DELAY_MS;
        self.network.clear();
        let last = self.leads.len() - 1;
        self.leads.drain(..last);
    }

    /// One round of a lead, of the last one if there is none at `at`.
    fn lead_step(&mut self, at: usize, luck: u8) {
        let at = at.min(self.leads.len() - 1);
        let mut lead = self.leads.remove(at);
        let (held, version) = match lead.row.clone() {
            Some(row) => row,
            None => {
                if lead.copies.is_empty() {
                    lead.earlier = self.row.0.last_order;
                }
                self.row.clone()
            }
        };
        lead.row = Some((held.clone(), version));
        let report =
            lead.report.take().unwrap_or_else(|| (self.engine.report(), self.now));
        if luck % 4 == 2 {
            // The lead is held up between the report and what it does with it.
            lead.report = Some(report);
            self.leads.insert(at, lead);
            return;
        }
        let next = self.decide(&lead, &held, &report.0, report.1);
        if self.setup.guard == Guard::NoCommit {
            self.send(&mut lead, &next, None);
        }
        self.commit(&mut lead, &held, next.clone(), version, luck);
        if let Some((row, _)) = lead.row.clone() {
            self.send(&mut lead, &next, Some(&row));
        }
        self.leads.insert(at, lead);
    }

    fn decide(&self, lead: &Lead, held: &Ledger, report: &Report, from: u64) -> Ledger {
        let mut next = held.clone();
        next.apply_report(report, TimeRange { earliest: from, latest: self.now });
        let loads: Vec<_> =
            next.reservations.iter().flat_map(|item| item.loads.clone()).collect();
        for load in loads {
            let (sent, answered) =
                lead.copies.get(&load.order).copied().unwrap_or((0, 0));
            if load.listed && load.order.0 > lead.earlier && sent == answered {
                next.mark_answered(load.order);
            }
        }
        let spare = |_: &Ledger, _: &Asset| Some(Vec::new());
        let idle = |_: &Asset| true;
        let situation = DropChecks { witnesses: &spare, is_idle: &idle };
        reconcile(&mut next, &self.wanted, &situation);
        match self.setup.guard {
            Guard::NoConfirm => {
                next.reservations
                    .retain(|item| item.state != ReservationState::Unloading);
            }
            Guard::NoLate => {
                next.reservations.retain(|item| item.state != ReservationState::Expiring)
            }
            Guard::On | Guard::NoCommit => {}
        }
        next
    }

    /// The transaction checks the claim and the row; its answer may be lost.
    fn commit(
        &mut self,
        lead: &mut Lead,
        held: &Ledger,
        next: Ledger,
        version: u64,
        luck: u8,
    ) {
        if next == *held {
            return;
        }
        let allowed = lead.fence == self.claim && version == self.row.1;
        let down = luck.is_multiple_of(16);
        if allowed && !down {
            let ready = |ledger: &Ledger| {
                ledger
                    .reservations
                    .iter()
                    .filter(|item| item.state == ReservationState::Ready)
                    .count()
            };
            self.confirmed += ready(&next).saturating_sub(ready(held)) as u64;
            self.row = (next.clone(), version + 1);
        }
        let lost = luck % 16 == 1;
        if !down {
            // A report that was read before the row is not used with it.
            lead.report = None;
            lead.row = (allowed && !lost).then_some((next, version + 1));
        }
    }

    fn send(&mut self, lead: &mut Lead, next: &Ledger, row: Option<&Ledger>) {
        for order in next.pending_orders() {
            if row.is_some_and(|row| !row.contains_order(&order)) {
                continue;
            }
            lead.copies.entry(order.id).or_default().0 += 1;
            let (fence, sender) = (lead.fence, lead.fence);
            self.network.push(Packet { order, fence, sender, bound: None });
        }
        // The network holds a limited number; the oldest are lost.
        let excess = self.network.len().saturating_sub(24);
        self.network.drain(..excess);
    }

    fn pick(&self, pick: u8) -> Option<usize> {
        let len = self.network.len();
        (len > 0).then(|| usize::from(pick) % len)
    }

    fn deliver(&mut self, pick: u8, mute: bool) {
        let Some(at) = self.pick(pick) else { return };
        let packet = self.network.remove(at);
        self.engine.take(&packet.order, packet.fence);
        if mute || packet.bound.is_some() {
            return;
        }
        let sender = self.leads.iter_mut().find(|lead| lead.fence == packet.sender);
        if let Some(lead) = sender {
            lead.copies.entry(packet.order.id).or_default().1 += 1;
        }
    }

    fn lose(&mut self, pick: u8) {
        if let Some(at) = self.pick(pick) {
            self.network.remove(at);
        }
    }

    /// Delivers a copy and leaves a second one under way.
    fn double(&mut self, pick: u8) {
        let Some(at) = self.pick(pick) else { return };
        let order = self.network[at].order.clone();
        let (fence, sender) = (self.network[at].fence, self.network[at].sender);
        self.deliver(at as u8, false);
        let bound = Some(self.engine.incarnation);
        self.network.push(Packet { order, fence, sender, bound });
    }
}
