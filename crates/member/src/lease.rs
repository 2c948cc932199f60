//! Leases: who is alive, as far as anyone may rely on it.
//!
//! Load pattern: 110 VMs fail and 3,600 are replaced in a day among thousands.
//! Renewing one row per daemon and period costs `members / period` writes a
//! second; reading all renewals would cost each daemon that many rows a second,
//! so each daemon watches only [`WATCHED_VMS`] others, chosen by rendezvous hashing,
//! and removes the member row of one whose lease lapsed. The removal is the only
//! thing that all daemons read.

use std::time::{Duration, Instant};

use chestnut_base::VmName;
use chestnut_base::id::rendezvous_rank;
use indexmap::IndexMap;

use crate::rows::{LeaseRow, MembershipRows};

/// How many others a daemon watches.
///
/// A lapsed daemon is found late only if all its watchers failed with it; with
/// eight of 2,100 a lost rack of 40 takes all with a chance below 1 in 10^13,
/// and a lost failure domain (1 in 20) leaves one of 10^10 daemons unwatched.
/// Up to nine daemons everyone watches everyone.
pub const WATCHED_VMS: usize = 8;

/// Added to a lease before others take it for lapsed.
///
/// The holder counts from before its renewal was sent, the table's clock from
/// when it committed, so that the holder stops first in any case; the margin is
/// for clocks that run at different rates.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(250);

/// The own lease.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// How long a renewal holds.
    term: Duration,
    /// Until when the lease holds; counted from before the renewal was sent,
    /// since the table may have committed it at any time after.
    expires_at: Option<Instant>,
}

impl Lease {
    /// Creates a lease that was never granted.
    pub fn new(term: Duration) -> Self {
        Self { term, expires_at: None }
    }

    /// Takes note of a renewal that was committed after it was sent at `sent`.
    pub fn record_renewal(&mut self, sent: Instant) {
        let until = sent + self.term;
        self.expires_at = Some(self.expires_at.map_or(until, |old| old.max(until)));
    }

    /// Takes note that the lease was found removed.
    pub fn revoke(&mut self) {
        self.expires_at = None;
    }

    /// Whether the lease holds.
    ///
    /// A process that was frozen finds it lapsed when it wakes, and must not
    /// start anything that rests on a claim.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|until| now < until)
    }

    /// Until when the lease holds.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }
}

/// The VMs whose leases this daemon watches.
pub fn watched_vms(known: &MembershipRows, me: &VmName) -> Vec<VmName> {
    let others = known.members.keys().filter(|vm| *vm != me);
    first(others, |vm| rendezvous_rank(vm.as_str(), me.as_str()))
}

/// The VMs whose daemons watch this one's lease.
///
/// Each of the others watches [`WATCHED_VMS`]; those are found by ranking for each of
/// them, so that the result is kept until members change.
pub fn watchers(known: &MembershipRows, me: &VmName) -> Vec<VmName> {
    let others = known.members.keys().filter(|vm| *vm != me);
    others.filter(|vm| watched_vms(known, vm).contains(me)).cloned().collect()
}

/// The [`WATCHED_VMS`] VMs with the greatest rank.
fn first<'a>(
    vms: impl Iterator<Item = &'a VmName>,
    rank: impl Fn(&VmName) -> u64,
) -> Vec<VmName> {
    let mut ranked: Vec<_> = vms.map(|vm| (rank(vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(WATCHED_VMS);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// The watched VMs whose lease lapsed, by the table's clock at `now` (in ms).
///
/// The removal itself is checked again in the table's transaction.
pub fn expired(
    known: &MembershipRows,
    leases: &IndexMap<VmName, LeaseRow>,
    now: u64,
    term: Duration,
) -> Vec<VmName> {
    let limit = (term + EXPIRY_MARGIN).as_millis() as u64;
    let old = |vm: &&VmName| {
        let Some(lease) = leases.get(*vm) else {
            // Joined so recently that its lease was not read yet, or removed.
            return false;
        };
        now.saturating_sub(lease.modified) > limit
    };
    known.members.keys().filter(old).cloned().collect()
}
