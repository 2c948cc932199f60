//! The list of VMs and what it was a while ago.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_plat::VmRow;

/// How many former lists are kept.
const HISTORY: usize = 256;

/// The list of VMs and what it was a while ago.
#[derive(Debug, Default)]
pub struct VmHistory {
    /// The lists with the time from which each held, oldest first.
    lists: VecDeque<(Instant, Vec<VmRow>)>,
}

impl VmHistory {
    /// The list as it was `lag` before `now`; the oldest known if that is too long.
    pub fn read(&self, now: Instant, lag: Duration) -> Vec<VmRow> {
        let old = self.lists.iter().rev().find(|(from, _)| *from + lag <= now);
        old.or(self.lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Replaces the list.
    pub fn set(&mut self, now: Instant, list: Vec<VmRow>) {
        self.lists.push_back((now, list));
        if self.lists.len() > HISTORY {
            self.lists.pop_front();
        }
    }

    /// Adds or replaces one VM.
    pub fn put(&mut self, now: Instant, row: VmRow) {
        let mut list = self.latest();
        match list.iter_mut().find(|old| old.vm == row.vm) {
            Some(old) => *old = row,
            None => list.push(row),
        }
        self.set(now, list);
    }

    /// Removes one VM if it is there.
    pub fn delete(&mut self, now: Instant, vm: &str) {
        let mut list = self.latest();
        list.retain(|row| row.vm.as_str() != vm);
        self.set(now, list);
    }

    fn latest(&self) -> Vec<VmRow> {
        self.lists.back().map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
