//! Leases, by which daemons decide which members are alive.
//!
//! Of thousands of VMs, 110 fail and 3,600 are replaced per day. Renewing one row per
//! daemon and period costs `members / period` writes per second; if every daemon read all
//! renewals, each would read that many rows per second. Therefore each daemon watches
//! only [`WATCHED_VMS`] others, chosen by rendezvous hashing, and removes the member row
//! of one whose lease has expired. All daemons read only the removal.

use std::time::{Duration, Instant};

use chestnut_base::VmName;
use chestnut_base::id::rendezvous_rank;
use indexmap::IndexMap;

use crate::rows::{LeaseRow, MembershipRows};

/// The number of other daemons that a daemon watches.
///
/// An expired lease is detected late only if all watchers failed together with the
/// daemon. With eight watchers among 2,100 daemons, the loss of a rack of 40 includes all
/// of them with a probability below 1 in 10^13, and the loss of a failure domain (1 in
/// 20) leaves one of 10^10 daemons unwatched. Up to nine daemons, each watches all
/// others.
pub const WATCHED_VMS: usize = 8;

/// Added to the term of a lease before other daemons consider it expired.
///
/// The daemon counts the term from before it sent the renewal, others count it from the
/// commit by the table's clock, so that the daemon stops first in any case. The margin
/// allows for clocks that run at different rates.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(250);

/// The lease of this daemon.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// How long a renewal is valid.
    term: Duration,
    /// Counted from before the renewal was sent, since the table may have committed it at
    /// any time after; `None` while there is no lease.
    expires_at: Option<Instant>,
}

impl Lease {
    /// Creates a lease that was never granted.
    pub fn new(term: Duration) -> Self {
        Self { term, expires_at: None }
    }

    /// Records a committed renewal that was sent at `sent_at`.
    ///
    /// It never shortens the lease.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        let expires_at = sent_at + self.term;
        self.expires_at =
            Some(self.expires_at.map_or(expires_at, |old| old.max(expires_at)));
    }

    /// Ends the lease, after the daemon found its member row removed.
    pub fn revoke(&mut self) {
        self.expires_at = None;
    }

    /// Whether the lease is valid at `now`.
    ///
    /// A process that resumes after a suspension finds it expired, and must not start
    /// anything that relies on a claim.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// When the lease expires; `None` if it was never granted or was revoked.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }
}

/// The VMs whose leases this daemon watches.
pub fn watched_vms(rows: &MembershipRows, me: &VmName) -> Vec<VmName> {
    ranked_vms(rows, me, WATCHED_VMS)
}

/// The VMs of the highest rank among those that this daemon may watch, the highest first.
pub fn ranked_vms(rows: &MembershipRows, me: &VmName, count: usize) -> Vec<VmName> {
    let others = rows.members.keys().filter(|vm| *vm != me);
    let rank = |vm: &VmName| rendezvous_rank(vm.as_str(), me.as_str());
    let mut ranked: Vec<_> = others.map(|vm| (rank(vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// The VMs whose daemons watch this daemon's lease.
///
/// This ranks the [`WATCHED_VMS`] of every other daemon, so callers cache the result
/// until members change.
pub fn watchers(rows: &MembershipRows, me: &VmName) -> Vec<VmName> {
    let others = rows.members.keys().filter(|vm| *vm != me);
    others.filter(|vm| watched_vms(rows, vm).contains(me)).cloned().collect()
}

/// The VMs among `leases` whose lease expired, by the table's clock at `now` in
/// milliseconds.
///
/// The transaction that removes the member checks the expiry again.
pub fn expired(
    rows: &MembershipRows,
    leases: &IndexMap<VmName, LeaseRow>,
    now: u64,
    term: Duration,
) -> Vec<VmName> {
    let max_age = (term + EXPIRY_MARGIN).as_millis() as u64;
    let is_expired = |vm: &&VmName| {
        let Some(lease) = leases.get(*vm) else {
            // The member joined so recently that its lease was not read yet, or the lease
            // was removed.
            return false;
        };
        now.saturating_sub(lease.modified) > max_age
    };
    rows.members.keys().filter(is_expired).cloned().collect()
}
