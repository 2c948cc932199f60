//! How many daemons share a bound on the whole cluster.
//!
//! Each daemon divides such a bound by the number of daemons and keeps to its part, so that
//! using the part needs no messages. What a daemon uses counts for the length of the bound's
//! window, also if the daemon ends meanwhile, and daemons learn of a change at different
//! times. The parts that are used within one window add up to at most the bound because
//!
//! - a daemon whose row is removed is still counted for longer than a window,
//! - a daemon uses no part while it may have missed that others have joined.

use std::time::{Duration, Instant};

use chestnut_base::VmName;
use indexmap::{IndexMap, IndexSet};

/// How long a removed daemon is counted, in windows.
///
/// A window, and the age up to which the removed daemon may have used its part after the
/// removal.
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
}

impl Sharers {
    /// Records that the daemon of a VM is no longer listed.
    pub fn record_removal(&mut self, vm: VmName, now: Instant) {
        self.removed.insert(vm, now);
    }

    /// The number of daemons that share a bound with this window; `None` while this daemon
    /// must not use its part.
    ///
    /// `age` is the time since the store confirmed the list; `None` before the first time.
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
        let listed: IndexSet<&VmName> = listed.collect();
        let removed = self.removed.keys().filter(|vm| !listed.contains(vm)).count();
        Some((listed.len() + removed).max(1))
    }
}
