//! Membership and claims: renews the lease, reads changes, takes claims.

mod counters;
mod list;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnut_base::{MemberId, ServerName, SlotId, VmName};
use chestnut_member::{
    ClaimKey, ClaimRow, Known, LeaseRow, MemberRow, Server, Step, WHOLE_CORE, lapsed,
    plan, watched,
};
use chestnut_plat::table::Lookup;
use chestnut_plat::{Delta, PlatError, Row, Txn, TxnAnswer, VmRow};
use chestnut_wire::Ask;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::{info, warn};

use self::counters::Counters;
use self::list::{leaving_entries, server};
use crate::feed::Feed;
use crate::node::Node;
use crate::shared::Shared;

/// The table of daemons, written when one joins, leaves or is removed.
pub const MEMBERS: &str = "members";
/// The table of leases, rewritten at each renewal and not read by all.
pub const LEASES: &str = "leases";
/// The table of claims.
pub const CLAIMS: &str = "claims";
/// The table of backend servers, kept by the holder of [`ClaimKey::Vms`].
pub const SERVERS: &str = "servers";
/// The table of operators' orders to drain a VM.
pub const DRAINS: &str = "drain";

/// After how many polls without news the claims are looked at all the same.
///
/// Looking through all claims takes milliseconds at thousands of runners.
const IDLE_POLLS: u32 = 4;

/// How many other daemons are asked whether they trust this one.
///
/// More than one, since some may have died; few, since thousands may start in a day.
const GREETED: usize = 3;

/// An order that a daemon leave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainRow {
    /// The start of the daemon that is meant.
    pub member: MemberId,
    /// Who gave the order.
    pub by: String,
}

/// Where this daemon can be reached, as it was bound.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub ops: SocketAddr,
}

/// Keeps the daemon a member until the process ends.
pub async fn run(node: Arc<Node>, addresses: Addresses) {
    let mut members = Members::new(node.shared.clone(), addresses);
    loop {
        if !members.admitted {
            members.admitted = members.is_trusted(&node).await;
        }
        members.poll().await;
        let pause = members.pause();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = members.shared.wake.notified() => {}
        }
    }
}

/// What the loop keeps between polls.
struct Members {
    shared: Arc<Shared>,
    addresses: Addresses,
    known: Known,
    leases: IndexMap<VmName, LeaseRow>,
    /// The versions up to which each table was read.
    read: IndexMap<&'static str, u64>,
    /// The table's clock at the last read, in milliseconds.
    now: u64,
    joined: bool,
    /// Whether another daemon has answered this one, or there is no other.
    ///
    /// Until then the own row says that it takes no work. A daemon whose keys the
    /// others don't trust can write to the table all the same; if it took claims
    /// or callers, what it leads could not be reached.
    admitted: bool,
    /// Whether no other daemon answered when it was last tried.
    refused: bool,
    /// Whether anything changed that was not published yet.
    changed: bool,
    /// Whether anything was published after the claims were looked at last.
    unplanned: bool,
    /// Polls since the claims were looked at last.
    idle_polls: u32,
    renew_at: std::time::Instant,
    reachable: bool,
    counters: Counters,
}

impl Members {
    fn new(shared: Arc<Shared>, addresses: Addresses) -> Self {
        let renew_at = shared.clock.now();
        let counters = Counters::register(&shared);
        Self {
            shared,
            addresses,
            known: Known::default(),
            leases: IndexMap::new(),
            read: IndexMap::new(),
            now: 0,
            joined: false,
            admitted: false,
            refused: false,
            changed: true,
            unplanned: true,
            idle_polls: 0,
            renew_at,
            reachable: true,
            counters,
        }
    }

    /// The time to the next poll, jittered so that daemons don't poll in step.
    ///
    /// After an outage of the table all daemons come back within one such pause
    /// and no faster than they always poll, so that the return is no stampede.
    fn pause(&self) -> Duration {
        let poll = self.shared.settings.times.poll;
        let pace = Feed::pace(poll, self.known.members.len());
        pace.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Whether this daemon has read who is there and what is resident where, and
    /// one of the others trusts it.
    async fn is_trusted(&mut self, node: &Node) -> bool {
        if !self.joined || !self.shared.knows_residence() {
            return false;
        }
        let mut others = others(&self.shared);
        if others.is_empty() {
            return true;
        }
        others.shuffle(&mut rand::rng());
        others.truncate(GREETED);
        let calls =
            others.iter().map(|(_, addr)| node.peers.ask_once(*addr, &Ask::Status));
        let answers = futures::future::join_all(calls).await;
        let trusted = answers.iter().any(Result::is_ok);
        if !trusted && !self.refused {
            let text = "no other daemon answers; check `tls` and `peer_addr`";
            warn!(self.shared.log, "{}", text);
        }
        self.refused = !trusted;
        trusted
    }

    async fn poll(&mut self) {
        let outcome = self.step().await;
        let reachable = outcome.is_ok();
        if let Err(error) = outcome {
            self.counters.failures.inc();
            // Also when the renewal failed before anything was read: those who
            // follow the feed must not take old rows for confirmed ones.
            self.shared.feed.note_failure(&error);
            if self.reachable {
                let why = error.to_string();
                warn!(self.shared.log, "the table can't be used"; "error" => why);
            }
        } else if !self.reachable {
            info!(self.shared.log, "the table can be used again");
        }
        self.reachable = reachable;
    }

    async fn step(&mut self) -> Result<(), PlatError> {
        self.renew().await?;
        self.read_all().await?;
        self.publish();
        self.remove_lapsed().await?;
        self.list_vms().await?;
        self.take_claims().await?;
        self.publish();
        Ok(())
    }

    /// Joins if this daemon has no row, else renews the lease when it is due.
    async fn renew(&mut self) -> Result<(), PlatError> {
        let now = self.shared.clock.now();
        let leaving = self.shared.is_leaving() || !self.admitted;
        let own = self.known.own(&self.shared.settings.vm, self.shared.me);
        let written = own.filter(|(row, _)| row.leaving == leaving);
        if self.joined && written.is_some() && now < self.renew_at {
            return Ok(());
        }
        let vm = self.shared.settings.vm.as_str();
        let revision = self.shared.catalog().revision;
        let lease = LeaseRow { member: self.shared.me, revision, modified: 0 };
        let mut txn = Txn::new().put(LEASES, vm, json!(lease));
        match written {
            // A daemon whose row was removed finds out here and joins again.
            Some((_, version)) => txn = txn.version(MEMBERS, vm, version),
            None => txn = txn.put(MEMBERS, vm, json!(self.row(leaving))),
        }
        let answer = self.shared.table.commit(&txn).await?;
        let mut own_lease = self.shared.lease.lock().expect("no holder panics");
        if let TxnAnswer::Committed { .. } = answer {
            own_lease.renewed(now);
            if !leaving {
                self.shared.listed.store(true, Ordering::Release);
            }
            self.counters.renewals.inc();
            self.joined = true;
            self.renew_at = now + self.shared.settings.times.renewal;
        } else {
            own_lease.lost();
            self.joined = false;
            warn!(self.shared.log, "the lease lapsed and others removed this daemon");
        }
        Ok(())
    }

    fn row(&self, leaving: bool) -> MemberRow {
        MemberRow {
            member: self.shared.me,
            domain: self.shared.settings.domain.clone(),
            caller_addr: self.addresses.caller,
            peer_addr: self.addresses.peer,
            ops_addr: self.addresses.ops,
            leaving,
            weight: WHOLE_CORE,
        }
    }

    async fn read_all(&mut self) -> Result<(), PlatError> {
        let watched = watched(&self.known, &self.shared.settings.vm);
        let wanted = watched
            .into_iter()
            .map(|vm| Lookup { table: LEASES.into(), key: vm.into() })
            .collect();
        let shared = self.shared.clone();
        let leases = shared.feed.refresh(&shared.table, &*shared.clock, wanted).await?;
        while self.read_members().await? {}
        while self.read_claims().await? {}
        while self.read_servers().await? {}
        self.read_drains().await?;
        self.note_leases(leases);
        Ok(())
    }

    fn note_leases(&mut self, rows: Vec<Row>) {
        for row in rows {
            let vm = VmName::try_from(row.key.as_str());
            let lease = serde_json::from_value::<LeaseRow>(row.value);
            if let (Ok(vm), Ok(mut lease)) = (vm, lease) {
                lease.modified = row.modified;
                self.leases.insert(vm, lease);
            }
        }
    }

    async fn read_members(&mut self) -> Result<bool, PlatError> {
        let delta = self.changes(MEMBERS).await?;
        for vm in delta.gone.iter().filter_map(|key| VmName::try_from(key.as_str()).ok())
        {
            self.known.members.swap_remove(&vm);
            self.leases.swap_remove(&vm);
        }
        for (vm, row, version) in parse::<VmName, MemberRow>(&delta.rows) {
            self.known.members.insert(vm, (row, version));
        }
        self.known.note_seen(self.shared.clock.now());
        Ok(delta.more)
    }

    async fn read_claims(&mut self) -> Result<bool, PlatError> {
        let delta = self.changes(CLAIMS).await?;
        for key in delta.gone.iter().filter_map(|key| key.parse::<ClaimKey>().ok()) {
            self.known.claims.swap_remove(&key);
        }
        for row in delta.rows {
            if let (Ok(key), Ok(claim)) =
                (row.key.parse(), serde_json::from_value::<ClaimRow>(row.value))
            {
                self.known.claims.insert(key, (claim, row.version));
            }
        }
        Ok(delta.more)
    }

    async fn read_servers(&mut self) -> Result<bool, PlatError> {
        let delta = self.changes(SERVERS).await?;
        let gone = delta.gone.iter();
        for name in gone.filter_map(|key| ServerName::try_from(key.as_str()).ok()) {
            self.known.servers.swap_remove(&name);
        }
        for (name, server, _) in parse::<ServerName, Server>(&delta.rows) {
            self.known.servers.insert(name, server);
        }
        Ok(delta.more)
    }

    /// Follows an operator's order that this VM be drained.
    async fn read_drains(&mut self) -> Result<(), PlatError> {
        let rows = self.changes(DRAINS).await?.rows;
        let vm = self.shared.settings.vm.as_str();
        // The row names the start of the daemon that is meant, so that the one
        // that takes its place does not leave at once as well.
        let meant = |row: &Row| {
            let drain = serde_json::from_value::<DrainRow>(row.value.clone());
            row.key == vm && drain.is_ok_and(|drain| drain.member == self.shared.me)
        };
        if rows.iter().any(meant) {
            self.shared.leaving.send_replace(true);
        }
        Ok(())
    }

    async fn changes(&mut self, table: &'static str) -> Result<Delta, PlatError> {
        let since = self.read.get(table).copied().unwrap_or(0);
        let (delta, _) = self.shared.changes(table, "", since).await?;
        self.read.insert(table, delta.version);
        self.now = delta.now;
        self.changed |= !delta.is_empty();
        Ok(delta)
    }

    /// Removes the rows of watched daemons whose lease lapsed.
    async fn remove_lapsed(&mut self) -> Result<(), PlatError> {
        let term = self.shared.settings.times.lease;
        for vm in lapsed(&self.known, &self.leases, self.now, term) {
            let Some((_, version)) = self.known.members.get(&vm) else {
                continue;
            };
            let key = vm.as_str();
            let txn = Txn::new()
                .version(MEMBERS, key, *version)
                .idle(LEASES, key, term + chestnut_member::lease::MARGIN)
                .delete(MEMBERS, key)
                .delete(LEASES, key);
            if let TxnAnswer::Committed { .. } = self.shared.table.commit(&txn).await? {
                self.counters.removals.inc();
                info!(self.shared.log, "a daemon's lease lapsed"; "vm" => key);
                self.changed = true;
                self.known.members.swap_remove(&vm);
                self.leases.swap_remove(&vm);
            }
        }
        Ok(())
    }

    /// Writes changes of the platform's list of VMs into the table.
    ///
    /// Only the holder of the claim reads the whole list, the others read what
    /// changed; at full size the list has some 14,000 entries.
    async fn list_vms(&mut self) -> Result<(), PlatError> {
        let Some((claim, version)) = self.known.claims.get(&ClaimKey::Vms).copied()
        else {
            return Ok(());
        };
        if claim.holder != Some(self.shared.me) {
            return Ok(());
        }
        let list = self.shared.vms.read().await?;
        self.follow_own(&list);
        let servers: IndexMap<ServerName, Server> =
            list.iter().filter_map(server).collect();
        let mut txn = Txn::new().version(CLAIMS, ClaimKey::Vms.to_string(), version);
        for (name, server) in &servers {
            if self.known.servers.get(name) != Some(server) {
                txn = txn.put(SERVERS, name.as_str(), json!(server));
            }
        }
        for name in self.known.servers.keys().filter(|name| !servers.contains_key(*name))
        {
            txn = txn.delete(SERVERS, name.as_str());
        }
        for vm in leaving_entries(&list) {
            if let Some((row, _)) = self.known.members.get(&vm)
                && !row.leaving
                && vm != self.shared.settings.vm
            {
                let drain = DrainRow { member: row.member, by: "the list of VMs".into() };
                txn = txn.put(DRAINS, vm.as_str(), json!(drain));
            }
        }
        if txn.writes.is_empty() {
            return Ok(());
        }
        if let TxnAnswer::Committed { .. } = self.shared.table.commit(&txn).await? {
            self.known.servers = servers;
            self.changed = true;
        }
        Ok(())
    }

    /// Starts leaving if the platform's list says that this VM does.
    fn follow_own(&self, list: &[VmRow]) {
        let vm = &self.shared.settings.vm;
        if leaving_entries(list).any(|leaving| leaving == *vm) {
            self.shared.leaving.send_replace(true);
        }
    }

    async fn take_claims(&mut self) -> Result<(), PlatError> {
        let now = self.shared.clock.now();
        if !self.shared.lease_holds(now) {
            return Ok(());
        }
        // Time alone changes little: only that a member has been there for long.
        self.idle_polls += 1;
        if !self.unplanned && self.idle_polls < IDLE_POLLS {
            return Ok(());
        }
        self.idle_polls = 0;
        let keys = self.keys();
        let steps =
            plan(&self.known, &self.shared.settings.vm, self.shared.me, &keys, now).steps;
        self.unplanned = !steps.is_empty();
        if steps.is_empty() {
            return Ok(());
        }
        if !self.commit_claims(&steps).await? {
            // One of them changed meanwhile; the others must not wait for it.
            for step in &steps {
                self.commit_claims(std::slice::from_ref(step)).await?;
            }
        }
        Ok(())
    }

    async fn commit_claims(&mut self, steps: &[Step]) -> Result<bool, PlatError> {
        let mut txn = Txn::new();
        for step in steps {
            let key = step.key.to_string();
            txn = match step.version {
                0 => txn.absent(CLAIMS, key.clone()),
                version => txn.version(CLAIMS, key.clone(), version),
            };
            txn = txn.put(CLAIMS, key, json!(step.row));
        }
        let TxnAnswer::Committed { version, .. } = self.shared.table.commit(&txn).await?
        else {
            return Ok(false);
        };
        for step in steps {
            self.known.claims.insert(step.key.clone(), (step.row, version));
            self.changed = true;
            self.counters.claims.inc();
        }
        Ok(true)
    }

    /// Everything that some daemon must hold.
    fn keys(&self) -> Vec<ClaimKey> {
        let mut keys = vec![ClaimKey::Vms];
        keys.extend(
            (0..self.shared.settings.limits.slots).map(|n| ClaimKey::Slot(SlotId(n))),
        );
        keys.extend(self.known.servers.keys().cloned().map(ClaimKey::Server));
        keys.extend(self.shared.catalog().pools.keys().cloned().map(ClaimKey::Pool));
        keys
    }

    /// Publishes what is known if any of it changed.
    ///
    /// Putting the view together takes milliseconds at thousands of runners, and
    /// most polls bring nothing new.
    fn publish(&mut self) {
        let left = self.shared.left.lock().expect("no holder of the list panics").clone();
        if !self.changed && left == self.known.leaving {
            return;
        }
        self.known.leaving = left;
        self.changed = false;
        self.unplanned = true;
        self.shared.view.send_replace(Arc::new(self.known.view()));
    }
}

/// Removes the rows of this start of the daemon, if they still stand.
pub async fn resign(shared: &Shared) -> Result<(), PlatError> {
    let vm = shared.settings.vm.as_str();
    let row = shared.table.get(MEMBERS, vm).await?;
    let own = |row: &Row| {
        serde_json::from_value::<MemberRow>(row.value.clone())
            .is_ok_and(|member| member.member == shared.me)
    };
    // The VM's next daemon may have joined already; its rows must stay.
    let Some(row) = row.filter(own) else {
        return Ok(());
    };
    let txn = Txn::new()
        .version(MEMBERS, vm, row.version)
        .delete(MEMBERS, vm)
        .delete(LEASES, vm);
    shared.table.commit(&txn).await.map(drop)
}

/// The members that stay, without `me`, and where they answer.
pub fn others(shared: &Shared) -> Vec<(MemberId, SocketAddr)> {
    let view = shared.view();
    let others = view.members.iter().filter(|(id, _)| **id != shared.me);
    others.map(|(id, member)| (*id, member.peer_addr)).collect()
}

fn parse<K, V>(rows: &[Row]) -> Vec<(K, V, u64)>
where
    K: for<'a> TryFrom<&'a str>,
    V: DeserializeOwned,
{
    let one = |row: &Row| {
        let key = K::try_from(row.key.as_str()).ok()?;
        let value = serde_json::from_value(row.value.clone()).ok()?;
        Some((key, value, row.version))
    };
    rows.iter().filter_map(one).collect()
}
