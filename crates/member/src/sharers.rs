//! Which part of a bound on the whole cluster a daemon may use.
//!
//! Each daemon divides such a bound by the number of daemons and keeps to its part, so that
//! using the part needs no messages. What a daemon uses counts for the length of the bound's
//! window, also if the daemon ends meanwhile, and daemons learn of a change at different
//! times. The shares that are used within one window add up to at most [`SHARED_FRACTION`]
//! because
//!
//! - a daemon whose row is removed is still counted for longer than a window,
//! - a daemon uses no share while it may have missed that others have joined,
//! - a daemon that has joined uses no share until all others count it, and until what they,
//!   or an earlier process on its VM, used before has left the window.
//!
//! Until then a daemon that has joined may use a part of the rest, the reserve. A row for each
//! VM shows whether its last process has had a share; only the next one has a reserve. So a VM
//! has at most one reserve in a window, however often its process restarts.

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, VmName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// The fraction of a bound that settled daemons share.
const SHARED_FRACTION: f64 = 0.8;

/// The fraction of a bound that is kept for daemons that have joined a short time ago.
const RESERVED_FRACTION: f64 = 1.0 - SHARED_FRACTION;

/// How long a removed daemon is counted, and one that has joined uses no share, in windows.
///
/// A window, and the age of the list up to which a removed daemon may have used its share
/// after the removal, and another one its own without counting the one that has joined.
const HOLD_WINDOWS: f64 = 1.5;

/// How long a daemon that has joined may use its reserve, in windows; a window before it uses
/// a share.
const RESERVE_WINDOWS: f64 = HOLD_WINDOWS - 1.0;

/// The age up to which the list of daemons is used, in windows.
///
/// Below the half window that [`HOLD_WINDOWS`] leaves, since ages that other daemons report
/// are too low by the transit of the report.
const MAX_AGE_WINDOWS: f64 = 0.4;

/// The row of a VM's last process, which stays when that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The process.
    pub member: MemberId,
    /// Whether it has had a share.
    pub settled: bool,
}

/// The part of a bound that a daemon may use in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Nothing.
    None,
    /// The reserve, divided by this number of VMs.
    Reserve(usize),
    /// The share of a settled daemon, one of this number.
    Share(usize),
}

impl Part {
    /// The part as a fraction of the bound.
    pub fn fraction(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Reserve(vms) => RESERVED_FRACTION / vms.max(1) as f64,
            Self::Share(daemons) => SHARED_FRACTION / daemons.max(1) as f64,
        }
    }
}

/// The daemons that share a bound, as one of them knows them.
#[derive(Debug, Default)]
pub struct Sharers {
    /// The rows of the VMs' last processes, with their versions.
    rows: IndexMap<VmName, (ShareRow, u64)>,
    /// When the daemon of each VM was last removed from the list.
    removed: IndexMap<VmName, Instant>,
    /// Since when this daemon has been listed and has missed no other; `None` before it has
    /// joined.
    member_since: Option<Instant>,
    /// Whether it may use the reserve at first.
    has_reserve: bool,
    /// The last time of which the store has confirmed the list.
    confirmed_at: Option<Instant>,
}

impl Sharers {
    /// The row of a VM's last process and its version.
    pub fn row(&self, vm: &VmName) -> Option<(ShareRow, u64)> {
        self.rows.get(vm).copied()
    }

    /// Records the row of a VM's last process; `None` if it was removed.
    pub fn record_row(&mut self, vm: VmName, row: Option<(ShareRow, u64)>) {
        match row {
            Some(row) => drop(self.rows.insert(vm, row)),
            None => drop(self.rows.swap_remove(&vm)),
        }
    }

    /// Whether the next process of a VM may use the reserve: the last one has had a share, or
    /// there was none.
    pub fn offers_reserve(&self, vm: &VmName) -> bool {
        self.rows.get(vm).is_none_or(|(row, _)| row.settled)
    }

    /// Records that this daemon has joined, for the first time or again.
    pub fn record_join(&mut self, has_reserve: bool, now: Instant) {
        (self.member_since, self.has_reserve) = (Some(now), has_reserve);
    }

    /// Records that this daemon is no longer listed.
    pub fn record_own_removal(&mut self) {
        self.member_since = None;
    }

    /// Records that the store has confirmed the list as of `at`.
    ///
    /// If the time since the last confirmation exceeds the window, a daemon may have joined,
    /// used its part and ended unseen.
    pub fn record_confirmation(&mut self, at: Instant, window: Duration) {
        let last = self.confirmed_at.replace(at);
        if last.is_some_and(|last| at.saturating_duration_since(last) > window) {
            self.member_since = self.member_since.map(|since| since.max(at));
            self.has_reserve = false;
        }
    }

    /// Records that the daemon of another VM is no longer listed.
    pub fn record_removal(&mut self, vm: VmName, now: Instant) {
        self.removed.insert(vm, now);
    }

    /// The part of a bound with this window that this daemon may use now.
    ///
    /// `listed` includes this daemon. `age` is the time since the store confirmed the list;
    /// `None` before the first time.
    pub fn part<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a VmName>,
        age: Option<Duration>,
        window: Duration,
        now: Instant,
    ) -> Part {
        let hold = window.mul_f64(HOLD_WINDOWS);
        self.removed.retain(|_, at| now.saturating_duration_since(*at) <= hold);
        let is_recent = age.is_some_and(|age| age <= window.mul_f64(MAX_AGE_WINDOWS));
        let Some(since) = self.member_since.filter(|_| is_recent) else {
            return Part::None;
        };
        let listed: IndexSet<&VmName> = listed.collect();
        let not_listed = |vm: &&VmName| !listed.contains(vm);
        let member_for = now.saturating_duration_since(since);
        if member_for >= hold {
            let removed = self.removed.keys().filter(not_listed).count();
            Part::Share(listed.len() + removed)
        } else if self.has_reserve && member_for < window.mul_f64(RESERVE_WINDOWS) {
            let others = self.rows.keys().filter(not_listed).count();
            Part::Reserve(listed.len() + others)
        } else {
            Part::None
        }
    }
}
