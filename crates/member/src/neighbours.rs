//! The daemons that a daemon exchanges heartbeats with, and how long they have been silent.
//!
//! In a small cluster these are all others, else those that it watches and those that watch
//! it. Daemons learn of changed members at different times, so a daemon may watch another
//! that doesn't send it heartbeats yet. What it last received from that one, perhaps long
//! ago, says nothing about its state; silence counts from when heartbeats are expected.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_base::id::weighted_rendezvous_rank;
use chestnut_base::{MemberId, VmName};
use indexmap::IndexMap;

use crate::lease::{WATCHED_VMS, ranked_vms, watchers};
use crate::rows::{MemberRow, MembershipRows};

/// Up to this many daemons, each exchanges heartbeats with every other.
///
/// Ten daemons send 400 heartbeats a second in all; 78 would send 24,000.
const MAX_FULL_MESH: usize = 12;

/// How many more daemons are watched for each watched one that is silent.
///
/// If most daemons fail at once, the few that are left have no other watchers. With two
/// more for each, the number that they watch triples with every timeout.
const REPLACEMENTS: usize = 2;

/// The daemons that a daemon exchanges heartbeats with.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// How many VMs to watch, if there are that many others.
    watch_count: usize,
    /// The watched VMs, the highest rank first.
    watched: Vec<VmName>,
    /// Neighbours besides the watched ones.
    others: Vec<VmName>,
    /// The neighbours that have a row.
    expected: IndexMap<MemberId, Expected>,
}

/// A daemon whose heartbeats are expected.
#[derive(Debug, Clone, Copy)]
struct Expected {
    /// Where it receives heartbeats.
    addr: SocketAddr,
    /// Since when heartbeats have been expected of this process.
    since: Instant,
}

impl Neighbours {
    /// Selects the neighbours after a change of the members.
    pub fn update(&mut self, rows: &MembershipRows, vm: &VmName, now: Instant) {
        let is_small = rows.members.len() <= MAX_FULL_MESH;
        self.others = match is_small {
            true => rows.members.keys().cloned().collect(),
            false => watchers(rows, vm),
        };
        self.watch_count = self.watch_count.max(WATCHED_VMS);
        self.select(rows, vm, now);
    }

    /// Watches [`REPLACEMENTS`] for each silent one among the watched daemons.
    pub fn replace_silent(
        &mut self,
        rows: &MembershipRows,
        vm: &VmName,
        silent: usize,
        now: Instant,
    ) {
        let count = WATCHED_VMS + REPLACEMENTS * silent;
        if count != self.watch_count {
            self.watch_count = count;
            self.select(rows, vm, now);
        }
    }

    fn select(&mut self, rows: &MembershipRows, vm: &VmName, now: Instant) {
        self.watched = ranked_vms(rows, vm, self.watch_count);
        let nearby = self.watched.iter().chain(&self.others).filter(|name| *name != vm);
        let present = nearby.filter_map(|vm| rows.members.get(vm));
        let expect = |row: &MemberRow| {
            let since = self.expected.get(&row.member).map_or(now, |known| known.since);
            (row.member, Expected { addr: row.peer_addr, since })
        };
        self.expected = present.map(|(row, _)| expect(row)).collect();
    }

    /// The watched VMs, the highest rank first.
    pub fn watched(&self) -> &[VmName] {
        &self.watched
    }

    /// The neighbours and the addresses where they receive heartbeats.
    pub fn addrs(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        self.expected.iter().map(|(member, expected)| (*member, expected.addr))
    }

    /// Whether heartbeats of a daemon are expected.
    pub fn expects(&self, member: MemberId) -> bool {
        self.expected.contains_key(&member)
    }

    /// How long an expected daemon has been silent; `None` if no heartbeats are expected.
    pub fn silence(
        &self,
        member: MemberId,
        last_received_at: Option<Instant>,
        now: Instant,
    ) -> Option<Duration> {
        let since = self.expected.get(&member)?.since;
        let since = last_received_at.map_or(since, |at| at.max(since));
        Some(now.saturating_duration_since(since))
    }

    /// Whether this daemon hears from no neighbour, so that none can pass tables on to it.
    ///
    /// `last_received_at` tells when a daemon last sent anything.
    pub fn is_cut_off(
        &self,
        last_received_at: impl Fn(MemberId) -> Option<Instant>,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        let has_waited = self.expected.values().any(|one| !is_recent(one.since));
        let mut members = self.expected.keys();
        has_waited && !members.any(|one| last_received_at(*one).is_some_and(is_recent))
    }

    /// Whether a watched daemon has been silent for longer than `timeout`.
    ///
    /// One that was never heard has just joined, or had failed before this daemon started.
    /// It may take twice as long.
    pub fn is_unresponsive(
        &self,
        rows: &MembershipRows,
        member: MemberId,
        last_received_at: Option<Instant>,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let silence = self.silence(member, last_received_at, now);
        let is_known = last_received_at.is_some();
        silence.is_some_and(|silence| silence > timeout)
            && (is_known || rows.is_stable(member, now, timeout * 2))
    }
}

/// A daemon's rank among those that may read a table for the others; 0 is the reader.
///
/// `is_alive` tells whether another daemon is not known to have failed.
pub fn reader_rank(
    rows: &MembershipRows,
    vm: &VmName,
    weight: u32,
    table: &str,
    is_alive: impl Fn(MemberId) -> bool,
) -> usize {
    let rank = |vm: &VmName, weight| weighted_rendezvous_rank(table, vm.as_str(), weight);
    let own = rank(vm, weight);
    let others = rows.members.iter().filter(|(name, (row, _))| {
        *name != vm && rows.accepts_claims(row) && is_alive(row.member)
    });
    others.filter(|(name, (row, _))| rank(name, row.weight) > own).count()
}
