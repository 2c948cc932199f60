//! The list of VMs with its history, so that reads can be stale.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_plat::VmRow;

/// The number of lists retained.
const MAX_HISTORY: usize = 256;

/// The list of VMs with its history.
#[derive(Debug, Default)]
pub struct VmHistory {
    /// Each list with the time at which it was set, oldest first.
    lists: VecDeque<(Instant, Vec<VmRow>)>,
}

impl VmHistory {
    /// The list as it was `lag` before `now`, or the oldest one retained; empty if none
    /// was set.
    pub fn read(&self, now: Instant, lag: Duration) -> Vec<VmRow> {
        let current = self.lists.iter().rev().find(|(set_at, _)| *set_at + lag <= now);
        current.or(self.lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Replaces the whole list.
    pub fn set(&mut self, now: Instant, list: Vec<VmRow>) {
        self.lists.push_back((now, list));
        if self.lists.len() > MAX_HISTORY {
            self.lists.pop_front();
        }
    }

    /// Adds a VM or replaces its row.
    pub fn put(&mut self, now: Instant, row: VmRow) {
        let mut list = self.latest();
        match list.iter_mut().find(|existing| existing.vm == row.vm) {
            Some(existing) => *existing = row,
            None => list.push(row),
        }
        self.set(now, list);
    }

    /// Removes a VM if it is listed.
    pub fn delete(&mut self, now: Instant, vm: &str) {
        let mut list = self.latest();
        list.retain(|row| row.vm.as_str() != vm);
        self.set(now, list);
    }

    fn latest(&self) -> Vec<VmRow> {
        self.lists.back().map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
