//! The table service and the object store of the world.

use std::time::Duration;

use chestnut_base::RequestId;
use chestnut_once::{
    AppendResult, Batch, Change, CommitResult, Condition, JournalRow, Record, SlotLog,
};

use super::{Guard, Late, Link, World};

impl World {
    pub(super) fn arrive(&mut self, late: Late) {
        match late {
            Late::Batch(batch) => drop(self.commit(&batch)),
            Late::Append(place, records) => {
                self.log.entry(place).or_insert(records);
            }
        }
    }

    /// Reads the log and takes its next place.
    pub(super) fn seal(&mut self) -> SlotLog {
        let records = match self.guard {
            Guard::NoLog => Vec::new(),
            _ => {
                let mut places: Vec<_> = self.log.iter().collect();
                places.sort_by_key(|(place, _)| **place);
                places.into_iter().flat_map(|(_, records)| records.clone()).collect()
            }
        };
        let next = self.log.keys().max().map_or(0, |place| place + 1);
        if self.guard == Guard::NoSeal {
            return SlotLog { records, next_position: next };
        }
        self.log.insert(next, Vec::new());
        SlotLog { records, next_position: next + 1 }
    }

    pub(super) fn append(
        &mut self,
        place: u64,
        records: Vec<Record>,
        link: Link,
    ) -> AppendResult {
        match link {
            Link::Good => self.put(place, records),
            Link::Lost => {
                self.put(place, records);
                AppendResult::Unknown
            }
            Link::Late => {
                self.late.push_back(Late::Append(place, records));
                AppendResult::Unknown
            }
            Link::Down => AppendResult::Unavailable,
        }
    }

    fn put(&mut self, place: u64, records: Vec<Record>) -> AppendResult {
        let held = self.log.entry(place).or_insert_with(|| records.clone());
        let own = *held == records;
        let last = self.log.keys().max() == Some(&place);
        if own && last { AppendResult::Appended } else { AppendResult::Conflict }
    }

    pub(super) fn read(&self) -> Vec<(JournalRow, Duration)> {
        if self.guard == Guard::NoRecovery {
            return Vec::new();
        }
        let known = |(record, version): &(Record, u64)| {
            let known = JournalRow { record: Some(record.clone()), version: *version };
            (known, Duration::ZERO)
        };
        self.rows.values().map(known).collect()
    }

    pub(super) fn send(&mut self, batch: &Batch, link: Link) -> CommitResult {
        let lost = match self.guard {
            Guard::NoReadBack => CommitResult::Committed { version: self.version },
            _ => CommitResult::Unknown,
        };
        match link {
            Link::Good => self.commit(batch),
            Link::Lost => {
                self.commit(batch);
                lost
            }
            Link::Late => {
                self.late.push_back(Late::Batch(batch.clone()));
                lost
            }
            Link::Down => CommitResult::Unavailable,
        }
    }

    pub(super) fn commit(&mut self, batch: &Batch) -> CommitResult {
        for (condition, check) in batch.conditions.iter().enumerate() {
            let (holds, row) = self.holds(check);
            if !holds {
                let row = row.map(|row| Box::new(self.stamped(row, batch)));
                return CommitResult::Conflict { condition, row };
            }
        }
        self.version += 1;
        for change in &batch.changes {
            match change {
                Change::Put(record) => {
                    let row = ((**record).clone(), self.version);
                    self.rows.insert(record.id.clone(), row);
                }
                Change::Delete { id, .. } => {
                    self.rows.swap_remove(id);
                }
            }
        }
        CommitResult::Committed { version: self.version }
    }

    /// Without the stamps, a row looks like the one that the batch writes.
    fn stamped(&self, mut row: JournalRow, batch: &Batch) -> JournalRow {
        let Some(held) = row.record.as_mut() else { return row };
        for change in &batch.changes {
            if let (Change::Put(record), Guard::NoStamp) = (change, self.guard)
                && record.attempt == held.attempt
            {
                held.transaction_id = record.transaction_id;
            }
        }
        row
    }

    fn holds(&self, check: &Condition) -> (bool, Option<JournalRow>) {
        let known = |id: &RequestId| {
            let row = self.rows.get(id);
            row.map(|(record, version)| JournalRow {
                record: Some(record.clone()),
                version: *version,
            })
        };
        match check {
            Condition::Claim { version, .. } => {
                (*version == self.claim || self.guard == Guard::NoFence, None)
            }
            Condition::Absent { id, .. } => {
                let ignored = [Guard::NoFence, Guard::NoAbsent, Guard::NoRecovery];
                let row = known(id);
                (row.is_none() || ignored.contains(&self.guard), row)
            }
            Condition::Version { id, version, .. } => {
                let row = known(id);
                let same = row.as_ref().is_some_and(|row| row.version == *version);
                (same || self.guard == Guard::NoVersion, row)
            }
        }
    }
}
