//! How many daemons share a bound on the whole cluster.
//!
//! Each daemon divides such a bound by the number of daemons and keeps to its part, so that
//! using the part needs no messages. What a daemon uses counts for the length of the bound's
//! window, also if the daemon ends meanwhile, and daemons learn of a change at different
//! times. The parts that are used within one window add up to at most the bound because
//!
//! - a daemon whose row is removed is still counted for longer than a window,
//! - a daemon uses no part while it may have missed that others have joined,
//! - a daemon that has joined uses no part until all others count it, and until what they,
//!   or an earlier process on its VM, used before has left the window.

use std::time::{Duration, Instant};

use chestnut_base::VmName;
use indexmap::{IndexMap, IndexSet};

/// How long a removed daemon is counted, and one that has joined uses no part, in windows.
///
/// A window, and the age of the list up to which a removed daemon may have used its part
/// after the removal, and another one its own without counting the one that has joined.
const HOLD_WINDOWS: f64 = 1.5;

/// The age up to which the list of daemons is used, in windows.
///
/// Below the half window that [`HOLD_WINDOWS`] leaves, since ages that other daemons report
/// are too low by the transit of the report.
const MAX_AGE_WINDOWS: f64 = 0.4;

/// The daemons that were listed recently.
#[derive(Debug, Default)]
pub struct Sharers {
    /// When the daemon of each VM was last removed from the list.
    removed: IndexMap<VmName, Instant>,
    /// Since when this daemon has been listed and has missed no other; `None` before it has
    /// joined.
    member_since: Option<Instant>,
    /// The last time of which the store has confirmed the list.
    confirmed_at: Option<Instant>,
}

impl Sharers {
    /// Records that this daemon has joined, for the first time or again.
    pub fn record_join(&mut self, now: Instant) {
        self.member_since = Some(now);
    }

    /// Records that the store has confirmed the list as of `at`.
    ///
    /// If the time since the last confirmation exceeds the window, a daemon may have joined,
    /// used its part and ended unseen.
    pub fn record_confirmation(&mut self, at: Instant, window: Duration) {
        let last = self.confirmed_at.replace(at);
        if last.is_some_and(|last| at.saturating_duration_since(last) > window) {
            self.member_since = self.member_since.map(|since| since.max(at));
        }
    }

    /// Records that the daemon of a VM is no longer listed.
    pub fn record_removal(&mut self, vm: VmName, now: Instant) {
        self.removed.insert(vm, now);
    }

    /// The number of daemons that share a bound with this window; `None` while this daemon
    /// must not use its part.
    ///
    /// `listed` includes this daemon. `age` is the time since the store confirmed the list;
    /// `None` before the first time.
    pub fn count<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a VmName>,
        age: Option<Duration>,
        window: Duration,
        now: Instant,
    ) -> Option<usize> {
        let hold = window.mul_f64(HOLD_WINDOWS);
        self.removed.retain(|_, at| now.saturating_duration_since(*at) <= hold);
        if age? > window.mul_f64(MAX_AGE_WINDOWS) {
            return None;
        }
        if now.saturating_duration_since(self.member_since?) < hold {
            return None;
        }
        let listed: IndexSet<&VmName> = listed.collect();
        let removed = self.removed.keys().filter(|vm| !listed.contains(vm)).count();
        Some(listed.len() + removed)
    }
}
