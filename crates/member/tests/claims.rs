//! Claims and leases under any order of polls, freezes, deaths and departures.
//!
//! A frozen daemon wakes up and still takes itself for the holder: what it
//! decides then must not take effect, since others may have taken over. A dead
//! one's claims must find a holder. A live one must never be removed.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, Fence, MemberId, ServerName, SlotId, VmName};
use chestnut_member::{
    ClaimKey, ClaimRow, Lease, LeaseRow, MemberRow, MembershipRows, ONE_CORE_WEIGHT,
    expired, plan_claims, watched_vms,
};
use indexmap::IndexMap;
use proptest::prelude::*;

const DAEMONS: usize = 5;
const TERM: Duration = Duration::from_secs(6);
const RENEWAL: Duration = Duration::from_secs(2);

/// The platform's table, with just the transactions that daemons send.
#[derive(Default)]
struct Table {
    version: u64,
    now: Duration,
    members: IndexMap<VmName, (MemberRow, u64)>,
    leases: IndexMap<VmName, LeaseRow>,
    claims: IndexMap<ClaimKey, (ClaimRow, u64)>,
}

/// A daemon's own state between polls.
struct Daemon {
    vm: VmName,
    me: MemberId,
    lease: Lease,
    leaving: bool,
    alive: bool,
    known: MembershipRows,
}

#[derive(Debug, Clone)]
enum Event {
    Poll(usize),
    /// Decides by rows that were read before and commits only now.
    LatePoll(usize),
    Wait(u64),
    Kill(usize),
    Restart(usize),
    Leave(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..DAEMONS).prop_map(Event::Poll),
        2 => (0..DAEMONS).prop_map(Event::LatePoll),
        4 => (100u64..4000).prop_map(Event::Wait),
        1 => (0..DAEMONS).prop_map(Event::Kill),
        1 => (0..DAEMONS).prop_map(Event::Restart),
        1 => (0..DAEMONS).prop_map(Event::Leave),
    ]
}

struct World {
    start: Instant,
    table: Table,
    daemons: Vec<Daemon>,
    starts: u64,
    keys: Vec<ClaimKey>,
}

impl World {
    fn new() -> Self {
        let keys = (0..8)
            .map(|n| ClaimKey::Slot(SlotId(n)))
            .chain((0..6).map(|n| {
                let name = format!("runner-{n}");
                ClaimKey::Server(ServerName::try_from(name).expect("a valid name"))
            }))
            .collect();
        let mut world = Self {
            start: Instant::now(),
            table: Table::default(),
            daemons: Vec::new(),
            starts: 0,
            keys,
        };
        for n in 0..DAEMONS {
            let daemon = world.daemon(n);
            world.daemons.push(daemon);
        }
        world
    }

    fn daemon(&mut self, n: usize) -> Daemon {
        self.starts += 1;
        Daemon {
            vm: VmName::try_from(format!("vm-{n}")).expect("a valid name"),
            me: MemberId(self.starts),
            lease: Lease::new(TERM),
            leaving: false,
            alive: true,
            known: MembershipRows::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.table.now
    }

    fn run(&mut self, event: &Event) {
        match *event {
            Event::Poll(n) => {
                self.renew(n);
                self.read(n);
                self.act(n);
            }
            Event::LatePoll(n) => self.act(n),
            Event::Wait(millis) => self.table.now += Duration::from_millis(millis),
            Event::Kill(n) => self.daemons[n].alive = false,
            Event::Restart(n) => self.daemons[n] = self.daemon(n),
            Event::Leave(n) => self.daemons[n].leaving = true,
        }
    }

    fn renew(&mut self, n: usize) {
        let now = self.now();
        let millis = self.table.now.as_millis() as u64;
        let daemon = &mut self.daemons[n];
        if !daemon.alive {
            return;
        }
        let domain = DomainName::try_from("a").expect("a valid name");
        let addr = "127.0.0.1:1".parse().expect("an address");
        let row = MemberRow {
            member: daemon.me,
            domain,
            caller_addr: addr,
            peer_addr: addr,
            ops_addr: addr,
            leaving: daemon.leaving,
            weight: ONE_CORE_WEIGHT,
        };
        let known =
            daemon.known.own_row(&daemon.vm, daemon.me).map(|(_, version)| version);
        let current =
            self.table.members.get(&daemon.vm).map(|(row, version)| (row, *version));
        let fits = match (known, current) {
            (Some(known), Some((old, version))) => {
                known == version && old.leaving == daemon.leaving
            }
            (Some(_), None) => {
                daemon.known.members.swap_remove(&daemon.vm);
                daemon.lease.revoke();
                return;
            }
            (None, _) => false,
        };
        if !fits {
            self.table.version += 1;
            self.table.members.insert(daemon.vm.clone(), (row, self.table.version));
        }
        let revision = Default::default();
        let lease = LeaseRow { member: daemon.me, revision, modified: millis };
        self.table.leases.insert(daemon.vm.clone(), lease);
        daemon.lease.record_renewal(now);
    }

    fn read(&mut self, n: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[n];
        if daemon.alive {
            daemon.known.members = self.table.members.clone();
            daemon.known.claims = self.table.claims.clone();
            daemon.known.record_first_seen(now);
        }
    }

    fn act(&mut self, n: usize) {
        let now = self.now();
        let millis = self.table.now.as_millis() as u64;
        if !self.daemons[n].alive {
            return;
        }
        let known = self.daemons[n].known.clone();
        let vm = self.daemons[n].vm.clone();
        let others = known.members.keys().filter(|name| **name != vm).count();
        assert_eq!(watched_vms(&known, &vm).len(), others, "all of so few are watched");
        for gone in expired(&known, &self.table.leases.clone(), millis, TERM) {
            self.remove(&gone, known.members[&gone].1, now);
        }
        if !self.daemons[n].lease.is_valid(now) {
            return;
        }
        for step in plan_claims(&known, &vm, self.daemons[n].me, &self.keys, now).changes
        {
            let current = self.table.claims.get(&step.key);
            if current.map_or(0, |(_, version)| *version) != step.expected_version {
                continue;
            }
            let last = current.map_or(Fence(0), |(row, _)| row.fence);
            assert!(step.row.fence > last, "a fence must grow");
            self.table.version += 1;
            self.table.claims.insert(step.key, (step.row, self.table.version));
        }
    }

    fn remove(&mut self, vm: &VmName, version: u64, now: Instant) {
        let idle = self.table.leases.get(vm).is_none_or(|lease| {
            let age = self.table.now.as_millis() as u64 - lease.modified;
            age >= (TERM + chestnut_member::lease::EXPIRY_MARGIN).as_millis() as u64
        });
        let same = self.table.members.get(vm).is_some_and(|(_, v)| *v == version);
        if !idle || !same {
            return;
        }
        let removed = self.table.members[vm].0.member;
        for daemon in self.daemons.iter().filter(|daemon| daemon.me == removed) {
            assert!(
                !daemon.lease.is_valid(now),
                "a daemon was removed whose lease holds"
            );
        }
        self.table.members.swap_remove(vm);
        self.table.leases.swap_remove(vm);
    }

    /// Lets all living daemons poll until nothing changes any more.
    fn settle(&mut self) {
        for _ in 0..16 {
            self.table.now += RENEWAL;
            for n in 0..DAEMONS {
                self.run(&Event::Poll(n));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_claim_finds_one_living_holder(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new();
        for event in &events {
            world.run(event);
        }
        world.settle();
        let able: Vec<MemberId> = world
            .daemons
            .iter()
            .filter(|daemon| daemon.alive && !daemon.leaving)
            .map(|daemon| daemon.me)
            .collect();
        if able.is_empty() {
            return Ok(());
        }
        for key in &world.keys {
            let holder = world.table.claims.get(key).and_then(|(row, _)| row.holder);
            prop_assert!(
                holder.is_some_and(|holder| able.contains(&holder)),
                "{key} is held by {holder:?}, able are {able:?}",
            );
        }
    }
}

#[test]
fn one_departure_moves_only_its_own_claims() {
    for gone in 0..DAEMONS {
        let mut world = World::new();
        world.settle();
        let before = world.table.claims.clone();
        let left = world.daemons[gone].me;
        world.run(&Event::Leave(gone));
        world.settle();
        for (key, (row, _)) in &world.table.claims {
            let old = before[key].0;
            assert!(old.holder == Some(left) || old == *row, "{key} moved for nothing");
        }
    }
}

#[test]
fn a_lease_counts_from_before_its_renewal_was_sent() {
    let sent = Instant::now();
    let mut lease = Lease::new(TERM);
    assert!(!lease.is_valid(sent));
    lease.record_renewal(sent);
    assert!(lease.is_valid(sent + TERM - Duration::from_millis(1)));
    assert!(!lease.is_valid(sent + TERM));
    // An answer that arrives late must not prolong a newer renewal's lease.
    lease.record_renewal(sent + RENEWAL);
    lease.record_renewal(sent);
    assert!(lease.is_valid(sent + TERM));
    lease.revoke();
    assert!(!lease.is_valid(sent));
}
