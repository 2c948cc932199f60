//! Membership and claims: renews the lease, reads changes, takes claims.
//!
//! - [`tables`] reads what changed,
//! - [`vms`] writes the platform's [`list`] of VMs into the table,
//! - [`claims`] takes claims.

mod claims;
mod counters;
mod list;
mod tables;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnut_base::{MemberId, VmName};
use chestnut_member::{LeaseRow, MemberRow, MembershipRows, ONE_CORE_WEIGHT, expired};
use chestnut_plat::{PlatformError, Row, Txn, TxnResponse};
use chestnut_wire::PeerRequest;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::{info, warn};

use self::counters::Counters;
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
    known: MembershipRows,
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
            known: MembershipRows::default(),
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
        let poll = self.shared.settings.times.poll_interval;
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
        let calls = others
            .iter()
            .map(|(_, addr)| node.peers.ask_once(*addr, &PeerRequest::Status));
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

    async fn step(&mut self) -> Result<(), PlatformError> {
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
    async fn renew(&mut self) -> Result<(), PlatformError> {
        let now = self.shared.clock.now();
        let leaving = self.shared.is_leaving() || !self.admitted;
        let own = self.known.own_row(&self.shared.settings.vm, self.shared.me);
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
        if let TxnResponse::Committed { .. } = answer {
            own_lease.record_renewal(now);
            if !leaving {
                self.shared.listed.store(true, Ordering::Release);
            }
            self.counters.renewals.inc();
            self.joined = true;
            self.renew_at = now + self.shared.settings.times.renewal_interval;
        } else {
            own_lease.revoke();
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
            weight: ONE_CORE_WEIGHT,
        }
    }

    /// Removes the rows of watched daemons whose lease lapsed.
    async fn remove_lapsed(&mut self) -> Result<(), PlatformError> {
        let term = self.shared.settings.times.lease_duration;
        for vm in expired(&self.known, &self.leases, self.now, term) {
            let Some((_, version)) = self.known.members.get(&vm) else {
                continue;
            };
            let key = vm.as_str();
            let txn = Txn::new()
                .version(MEMBERS, key, *version)
                .idle(LEASES, key, term + chestnut_member::lease::EXPIRY_MARGIN)
                .delete(MEMBERS, key)
                .delete(LEASES, key);
            if let TxnResponse::Committed { .. } = self.shared.table.commit(&txn).await? {
                self.counters.removals.inc();
                info!(self.shared.log, "a daemon's lease lapsed"; "vm" => key);
                self.changed = true;
                self.known.members.swap_remove(&vm);
                self.leases.swap_remove(&vm);
            }
        }
        Ok(())
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
pub async fn resign(shared: &Shared) -> Result<(), PlatformError> {
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
