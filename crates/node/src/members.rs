//! Membership and claims of this daemon.
//!
//! One task polls the platform's table: it renews the lease, reads changes and publishes
//! them as a view, removes daemons whose lease expired, and updates claims.
//!
//! - `tables` reads changed rows,
//! - `vms` writes the platform's list of VMs (`list`) into the table,
//! - `claims` takes claims and hands them over.

mod claims;
mod counters;
mod list;
mod tables;
mod vms;

use std::net::SocketAddr;
use std::sync::Arc;
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
use crate::feed::ChangeFeed;
use crate::node::Node;
use crate::shared::{JoinPhase, Shared};

/// The table of daemons; a row changes when its daemon joins, shuts down or is removed.
pub const MEMBERS: &str = "members";
/// The table of leases, rewritten at each renewal; a daemon reads only those it watches.
pub const LEASES: &str = "leases";
/// The table of claims, which name the holder of a slot, server, pool or the VM list.
pub const CLAIMS: &str = "claims";
/// The table of backend servers, written by the holder of the claim on the VM list.
pub const SERVERS: &str = "servers";
/// The table of requests to drain a VM.
pub const DRAINS: &str = "drain";

/// The number of polls after which claims are planned even if no row has changed.
///
/// Planning iterates over all claims, which takes milliseconds with thousands of runners.
const IDLE_POLL_LIMIT: u32 = 4;

/// The number of other daemons that are contacted to check that they trust this one.
///
/// More than one, since some may have died; few, since thousands may start in a day.
const TRUST_CHECK_PEERS: usize = 3;

/// A request that a daemon shut down.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DrainRow {
    /// The incarnation of the daemon that is to shut down.
    pub member: MemberId,
    /// The operator and team, or the platform's list of VMs.
    #[serde(rename = "by")]
    pub requested_by: String,
}

/// The addresses that this daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub ops: SocketAddr,
}

/// Polls the table and keeps this daemon a member until the process ends.
pub async fn run(node: Arc<Node>, addresses: Addresses) {
    let mut membership = Membership::new(node.shared.clone(), addresses);
    loop {
        if !membership.trusted {
            membership.trusted = membership.check_trust(&node).await;
        }
        membership.poll().await;
        let interval = membership.poll_interval();
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = membership.shared.poll_now.notified() => {}
        }
    }
}

/// The state between polls.
struct Membership {
    shared: Arc<Shared>,
    addresses: Addresses,
    rows: MembershipRows,
    leases: IndexMap<VmName, LeaseRow>,
    /// The version up to which each table was read.
    read_versions: IndexMap<&'static str, u64>,
    /// The table's clock at the last read, in milliseconds.
    table_time_ms: u64,
    /// Whether this daemon is a member, by its last renewal.
    joined: bool,
    /// Whether another daemon has responded to this one, or there is no other.
    ///
    /// Until then this daemon's row says that it accepts no work. A daemon whose keys
    /// the others don't trust can still write to the table; if it took claims or
    /// callers, the servers and slots that it leads could not be reached.
    trusted: bool,
    /// Whether the last trust check failed; its warning is logged once.
    trust_check_failed: bool,
    /// Whether rows changed that are not published yet.
    changed: bool,
    /// Whether claims may have to change since they were planned last.
    needs_planning: bool,
    /// Polls since the claims were planned last.
    idle_polls: u32,
    /// When the lease is due for renewal.
    renew_at: std::time::Instant,
    /// Whether the last poll succeeded.
    table_reachable: bool,
    counters: Counters,
}

impl Membership {
    fn new(shared: Arc<Shared>, addresses: Addresses) -> Self {
        let renew_at = shared.clock.now();
        let counters = Counters::register(&shared);
        Self {
            shared,
            addresses,
            rows: MembershipRows::default(),
            leases: IndexMap::new(),
            read_versions: IndexMap::new(),
            table_time_ms: 0,
            joined: false,
            trusted: false,
            trust_check_failed: false,
            changed: true,
            needs_planning: true,
            idle_polls: 0,
            renew_at,
            table_reachable: true,
            counters,
        }
    }

    /// The time to the next poll, jittered so that daemons don't poll in step.
    ///
    /// Daemons poll at this interval during an outage of the table too: all of them
    /// resume within one interval, and the recovery causes no thundering herd.
    fn poll_interval(&self) -> Duration {
        let poll = self.shared.settings.times.poll_interval;
        let interval = ChangeFeed::poll_interval(poll, self.rows.members.len());
        interval.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Whether another daemon, if there is one, responds to this one; false until this
    /// daemon has read members and residency.
    async fn check_trust(&mut self, node: &Node) -> bool {
        if !self.joined || !self.shared.has_read_residency() {
            return false;
        }
        let mut others = other_members(&self.shared);
        if others.is_empty() {
            return true;
        }
        others.shuffle(&mut rand::rng());
        others.truncate(TRUST_CHECK_PEERS);
        let calls = others
            .iter()
            .map(|(_, addr)| node.peers.request(*addr, &PeerRequest::Status));
        let responses = futures::future::join_all(calls).await;
        let trusted = responses.iter().any(Result::is_ok);
        if !trusted && !self.trust_check_failed {
            let text = "no other daemon responds; check `tls` and `peer_addr`";
            warn!(self.shared.log, "{}", text);
        }
        self.trust_check_failed = !trusted;
        let phase = if trusted { JoinPhase::Joining } else { JoinPhase::Untrusted };
        self.shared.join_phase.send_replace(phase);
        trusted
    }

    async fn poll(&mut self) {
        let result = self.poll_table().await;
        let reachable = result.is_ok();
        if let Err(error) = result {
            self.counters.failures.inc();
            // Also if the renewal failed before anything was read, so that users of the
            // feed don't take cached rows for confirmed ones.
            self.shared.feed.record_failure(&error);
            if self.table_reachable {
                let why = error.to_string();
                warn!(self.shared.log, "the table is unavailable"; "error" => why);
            }
        } else if !self.table_reachable {
            info!(self.shared.log, "the table is available again");
        }
        self.table_reachable = reachable;
    }

    async fn poll_table(&mut self) -> Result<(), PlatformError> {
        self.renew_lease().await?;
        self.read_tables().await?;
        self.publish();
        self.remove_expired().await?;
        self.sync_vms().await?;
        self.update_claims().await?;
        self.publish();
        Ok(())
    }

    /// Renews the lease when it is due, and writes this daemon's row if it is missing or
    /// outdated.
    async fn renew_lease(&mut self) -> Result<(), PlatformError> {
        let now = self.shared.clock.now();
        let leaving = self.shared.is_shutting_down() || !self.trusted;
        let own = self.rows.own_row(&self.shared.settings.vm, self.shared.me);
        let current = own.filter(|(row, _)| row.leaving == leaving);
        if self.joined && current.is_some() && now < self.renew_at {
            return Ok(());
        }
        let vm = self.shared.settings.vm.as_str();
        let revision = self.shared.catalog().revision;
        let lease = LeaseRow { member: self.shared.me, revision, modified: 0 };
        let mut txn = Txn::new().put(LEASES, vm, json!(lease));
        match current {
            // Conflicts if this daemon's row was removed; it then joins again.
            Some((_, version)) => txn = txn.require_version(MEMBERS, vm, version),
            None => txn = txn.put(MEMBERS, vm, json!(self.own_row(leaving))),
        }
        let response = self.shared.table.commit(&txn).await?;
        let mut own_lease = self.shared.lease.lock().expect("no holder panics");
        if let TxnResponse::Committed { .. } = response {
            own_lease.record_renewal(now);
            if !leaving {
                self.shared.join_phase.send_replace(JoinPhase::Serving);
            }
            self.counters.renewals.inc();
            self.joined = true;
            self.renew_at = now + self.shared.settings.times.renewal_interval;
        } else {
            own_lease.revoke();
            self.joined = false;
            warn!(
                self.shared.log,
                "the lease expired and another daemon removed this one"
            );
        }
        Ok(())
    }

    fn own_row(&self, leaving: bool) -> MemberRow {
        MemberRow {
            member: self.shared.me,
            domain: self.shared.settings.domain.clone(),
            caller_addr: self.addresses.caller,
            peer_addr: self.addresses.peer,
            ops_addr: self.addresses.ops,
            leaving,
            weight: ONE_CORE_WEIGHT,
            unreachable: Vec::new(),
        }
    }

    /// Removes the rows of watched daemons whose lease expired.
    async fn remove_expired(&mut self) -> Result<(), PlatformError> {
        let term = self.shared.settings.times.lease_duration;
        for vm in expired(&self.rows, &self.leases, self.table_time_ms, term) {
            let Some((_, version)) = self.rows.members.get(&vm) else {
                continue;
            };
            let key = vm.as_str();
            let txn = Txn::new()
                .require_version(MEMBERS, key, *version)
                .require_idle(LEASES, key, term + chestnut_member::lease::EXPIRY_MARGIN)
                .delete(MEMBERS, key)
                .delete(LEASES, key);
            if let TxnResponse::Committed { .. } = self.shared.table.commit(&txn).await? {
                self.counters.removals.inc();
                info!(self.shared.log, "removed a daemon whose lease expired"; "vm" => key);
                self.changed = true;
                self.rows.members.swap_remove(&vm);
                self.leases.swap_remove(&vm);
            }
        }
        Ok(())
    }

    /// Publishes a new view if rows or announced shutdowns changed.
    ///
    /// Building the view takes milliseconds at thousands of runners, and most polls
    /// read no changes.
    fn publish(&mut self) {
        let announced = self
            .shared
            .announced_shutdowns
            .lock()
            .expect("no holder of the list panics")
            .clone();
        if !self.changed && announced == self.rows.leaving {
            return;
        }
        self.rows.leaving = announced;
        self.changed = false;
        self.needs_planning = true;
        self.shared.view.send_replace(Arc::new(self.rows.view()));
    }
}

/// Removes the rows of this incarnation of the daemon, if they still exist.
pub async fn remove_own_rows(shared: &Shared) -> Result<(), PlatformError> {
    let vm = shared.settings.vm.as_str();
    let row = shared.table.get(MEMBERS, vm).await?;
    let own = |row: &Row| {
        serde_json::from_value::<MemberRow>(row.value.clone())
            .is_ok_and(|member| member.member == shared.me)
    };
    // The VM's next daemon may have joined already; its rows must remain.
    let Some(row) = row.filter(own) else {
        return Ok(());
    };
    let txn = Txn::new()
        .require_version(MEMBERS, vm, row.version)
        .delete(MEMBERS, vm)
        .delete(LEASES, vm);
    shared.table.commit(&txn).await.map(drop)
}

/// The other members and the addresses at which they accept other daemons.
pub fn other_members(shared: &Shared) -> Vec<(MemberId, SocketAddr)> {
    let view = shared.view();
    let others = view.members.iter().filter(|(id, _)| **id != shared.me);
    others.map(|(id, member)| (*id, member.peer_addr)).collect()
}
