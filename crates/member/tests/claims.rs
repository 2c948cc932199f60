//! Claims and leases under random sequences of polls, suspensions, crashes and
//! departures.
//!
//! A daemon that resumes after a suspension still considers itself the holder of its
//! claims. Its decisions must not take effect, since others may have taken over. The
//! claims of a crashed daemon must get a new holder. A live daemon must never be removed.

use std::time::{Duration, Instant};

use chestnut_base::{DomainName, Fence, MemberId, ServerName, SlotId, VmName};
use chestnut_member::{
    ClaimKey, ClaimRow, Lease, LeaseRow, MemberRow, MembershipRows, ONE_CORE_WEIGHT,
    expired, plan_claims, watched_vms,
};
use indexmap::IndexMap;
use proptest::prelude::*;

const DAEMONS: usize = 5;
const LEASE_TERM: Duration = Duration::from_secs(6);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// The platform's table, limited to the transactions that daemons send.
#[derive(Default)]
struct Table {
    version: u64,
    now: Duration,
    members: IndexMap<VmName, (MemberRow, u64)>,
    leases: IndexMap<VmName, LeaseRow>,
    claims: IndexMap<ClaimKey, (ClaimRow, u64)>,
}

/// The state of a daemon between polls.
struct Daemon {
    vm: VmName,
    me: MemberId,
    lease: Lease,
    leaving: bool,
    alive: bool,
    rows: MembershipRows,
}

#[derive(Debug, Clone)]
enum Event {
    Poll(usize),
    /// Decides by rows that were read earlier, as after a suspension.
    LatePoll(usize),
    Wait(u64),
    Crash(usize),
    Restart(usize),
    Leave(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..DAEMONS).prop_map(Event::Poll),
        2 => (0..DAEMONS).prop_map(Event::LatePoll),
        4 => (100u64..4000).prop_map(Event::Wait),
        1 => (0..DAEMONS).prop_map(Event::Crash),
        1 => (0..DAEMONS).prop_map(Event::Restart),
        1 => (0..DAEMONS).prop_map(Event::Leave),
    ]
}

struct World {
    start: Instant,
    table: Table,
    daemons: Vec<Daemon>,
    last_member: u64,
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
            last_member: 0,
            keys,
        };
        for n in 0..DAEMONS {
            let daemon = world.start_daemon(n);
            world.daemons.push(daemon);
        }
        world
    }

    fn start_daemon(&mut self, n: usize) -> Daemon {
        self.last_member += 1;
        Daemon {
            vm: VmName::try_from(format!("vm-{n}")).expect("a valid name"),
            me: MemberId(self.last_member),
            lease: Lease::new(LEASE_TERM),
            leaving: false,
            alive: true,
            rows: MembershipRows::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.table.now
    }

    fn run(&mut self, event: &Event) {
        match *event {
            Event::Poll(n) => {
                self.renew(n);
                self.read_rows(n);
                self.commit_claims(n);
            }
            Event::LatePoll(n) => self.commit_claims(n),
            Event::Wait(millis) => self.table.now += Duration::from_millis(millis),
            Event::Crash(n) => self.daemons[n].alive = false,
            Event::Restart(n) => self.daemons[n] = self.start_daemon(n),
            Event::Leave(n) => self.daemons[n].leaving = true,
        }
    }

    /// Renews the lease, and writes the member row if it is missing or outdated.
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
            unreachable: Vec::new(),
        };
        let read_version =
            daemon.rows.own_row(&daemon.vm, daemon.me).map(|(_, version)| version);
        let current =
            self.table.members.get(&daemon.vm).map(|(row, version)| (row, *version));
        let is_current = match (read_version, current) {
            (Some(read_version), Some((old, version))) => {
                read_version == version && old.leaving == daemon.leaving
            }
            (Some(_), None) => {
                daemon.rows.members.swap_remove(&daemon.vm);
                daemon.lease.revoke();
                return;
            }
            (None, _) => false,
        };
        if !is_current {
            self.table.version += 1;
            self.table.members.insert(daemon.vm.clone(), (row, self.table.version));
        }
        let revision = Default::default();
        let lease = LeaseRow { member: daemon.me, revision, modified: millis };
        self.table.leases.insert(daemon.vm.clone(), lease);
        daemon.lease.record_renewal(now);
    }

    fn read_rows(&mut self, n: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[n];
        if daemon.alive {
            daemon.rows.members = self.table.members.clone();
            daemon.rows.claims = self.table.claims.clone();
            daemon.rows.record_first_seen(now);
        }
    }

    /// Removes members with expired leases and commits the planned changes of claims.
    fn commit_claims(&mut self, n: usize) {
        let now = self.now();
        let millis = self.table.now.as_millis() as u64;
        if !self.daemons[n].alive {
            return;
        }
        let rows = self.daemons[n].rows.clone();
        let vm = self.daemons[n].vm.clone();
        let others = rows.members.keys().filter(|name| **name != vm).count();
        assert_eq!(
            watched_vms(&rows, &vm).len(),
            others,
            "few daemons all watch each other"
        );
        for vm_name in expired(&rows, &self.table.leases.clone(), millis, LEASE_TERM) {
            self.remove(&vm_name, rows.members[&vm_name].1, now);
        }
        if !self.daemons[n].lease.is_valid(now) {
            return;
        }
        for change in plan_claims(&rows, &vm, self.daemons[n].me, &self.keys, now).changes
        {
            let current = self.table.claims.get(&change.key);
            if current.map_or(0, |(_, version)| *version) != change.expected_version {
                continue;
            }
            let last_fence = current.map_or(Fence(0), |(row, _)| row.fence);
            assert!(change.row.fence > last_fence, "a fence must increase");
            self.table.version += 1;
            self.table.claims.insert(change.key, (change.row, self.table.version));
        }
    }

    /// Removes a member as the transaction does, which checks the lease and the row.
    fn remove(&mut self, vm: &VmName, version: u64, now: Instant) {
        let is_expired = self.table.leases.get(vm).is_none_or(|lease| {
            let age = self.table.now.as_millis() as u64 - lease.modified;
            age >= (LEASE_TERM + chestnut_member::lease::EXPIRY_MARGIN).as_millis() as u64
        });
        let is_unchanged = self.table.members.get(vm).is_some_and(|(_, v)| *v == version);
        if !is_expired || !is_unchanged {
            return;
        }
        let removed = self.table.members[vm].0.member;
        for daemon in self.daemons.iter().filter(|daemon| daemon.me == removed) {
            assert!(
                !daemon.lease.is_valid(now),
                "a daemon with a valid lease was removed"
            );
        }
        self.table.members.swap_remove(vm);
        self.table.leases.swap_remove(vm);
    }

    /// Lets all live daemons poll often enough for the claims to become stable.
    fn poll_until_stable(&mut self) {
        for _ in 0..16 {
            self.table.now += RENEWAL_INTERVAL;
            for n in 0..DAEMONS {
                self.run(&Event::Poll(n));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_claim_gets_a_live_holder(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new();
        for event in &events {
            world.run(event);
        }
        world.poll_until_stable();
        let eligible: Vec<MemberId> = world
            .daemons
            .iter()
            .filter(|daemon| daemon.alive && !daemon.leaving)
            .map(|daemon| daemon.me)
            .collect();
        if eligible.is_empty() {
            return Ok(());
        }
        for key in &world.keys {
            let holder = world.table.claims.get(key).and_then(|(row, _)| row.holder);
            prop_assert!(
                holder.is_some_and(|holder| eligible.contains(&holder)),
                "{key} is held by {holder:?}, eligible are {eligible:?}",
            );
        }
    }
}

#[test]
fn a_departure_moves_only_its_own_claims() {
    for leaving in 0..DAEMONS {
        let mut world = World::new();
        world.poll_until_stable();
        let before = world.table.claims.clone();
        let departed = world.daemons[leaving].me;
        world.run(&Event::Leave(leaving));
        world.poll_until_stable();
        for (key, (row, _)) in &world.table.claims {
            let old = before[key].0;
            assert!(
                old.holder == Some(departed) || old == *row,
                "{key} moved although its holder stayed"
            );
        }
    }
}

#[test]
fn a_lease_counts_from_before_its_renewal_was_sent() {
    let sent_at = Instant::now();
    let mut lease = Lease::new(LEASE_TERM);
    assert!(!lease.is_valid(sent_at));
    lease.record_renewal(sent_at);
    assert!(lease.is_valid(sent_at + LEASE_TERM - Duration::from_millis(1)));
    assert!(!lease.is_valid(sent_at + LEASE_TERM));
    // A response that arrives late must not shorten the lease of a newer renewal.
    lease.record_renewal(sent_at + RENEWAL_INTERVAL);
    lease.record_renewal(sent_at);
    assert!(lease.is_valid(sent_at + LEASE_TERM));
    lease.revoke();
    assert!(!lease.is_valid(sent_at));
}

/// Guards against a daemon that ends because a claim's row has the last fence that there is.
#[test]
fn a_claim_with_the_last_fence_is_taken() {
    let now = Instant::now();
    let mut rows = MembershipRows::default();
    let vm = VmName::try_from("vm0").expect("a valid name");
    let addr = "10.0.0.1:80".parse().expect("a valid address");
    let row = MemberRow {
        member: MemberId(1),
        domain: DomainName::try_from("a").expect("a valid name"),
        caller_addr: addr,
        peer_addr: addr,
        ops_addr: addr,
        leaving: false,
        weight: u32::MAX,
        unreachable: Vec::new(),
    };
    rows.members.insert(vm.clone(), (row, 1));
    rows.record_first_seen(now);
    let key = ClaimKey::Slot(SlotId(0));
    let fence = Fence(u64::MAX);
    let claim = ClaimRow { holder: None, fence, handed_over: false };
    rows.claims.insert(key.clone(), (claim, u64::MAX));
    let plan = plan_claims(&rows, &vm, MemberId(1), &[key], now);
    assert_eq!(plan.changes.len(), 1);
}
