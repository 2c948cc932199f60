//! The table service and the object store of the simulation.

use std::time::Duration;

use chestnut_base::RequestId;
use chestnut_once::{
    AppendResult, Batch, Change, CommitResult, Condition, JournalRow, Record, SlotLog,
};

use super::{DelayedWrite, Delivery, Disabled, LogEntry, Simulation};

/// The result of sealing the log.
pub(super) enum SealResult {
    Sealed(SlotLog),
    /// The log was written to under a later claim.
    Superseded,
    Failed,
}

impl Simulation {
    pub(super) fn apply_delayed(&mut self, write: DelayedWrite) {
        match write {
            DelayedWrite::Batch(batch) => drop(self.commit(&batch)),
            DelayedWrite::Append(position, entry) => {
                self.log.entry(position).or_insert(entry);
            }
            DelayedWrite::Trim(position, mark) => self.trim(position, mark),
        }
    }

    /// Whether the table serves a daemon.
    pub(super) fn can_read_table(&self, daemon: usize) -> bool {
        self.daemons[daemon].table_reachable
    }

    /// Reads the log and seals it at its next position.
    pub(super) fn seal_log(&mut self, claim: u64, delivery: Delivery) -> SealResult {
        if delivery == Delivery::Unavailable {
            return SealResult::Failed;
        }
        let records = self.log_records();
        let next = self.log.keys().max().map_or(0, |position| position + 1);
        if self.disabled == Disabled::LogSeal {
            return SealResult::Sealed(SlotLog { records, next_position: next });
        }
        let superseded = self.log.values().any(|entry| entry.claim > claim);
        if superseded && self.disabled != Disabled::SealClaims {
            return SealResult::Superseded;
        }
        let seal = LogEntry { claim, trimmed: false, records: Vec::new() };
        if delivery == Delivery::Delayed {
            self.delayed.push_back(DelayedWrite::Append(next, seal));
            return SealResult::Failed;
        }
        self.log.insert(next, seal);
        match delivery {
            Delivery::Normal => {
                SealResult::Sealed(SlotLog { records, next_position: next + 1 })
            }
            _ => SealResult::Failed,
        }
    }

    /// The records of the log that count.
    pub(super) fn log_records(&self) -> Vec<Record> {
        if self.disabled == Disabled::LogReading {
            return Vec::new();
        }
        let mut log: Vec<_> = self.log.iter().collect();
        log.sort_by_key(|(position, _)| **position);
        let is_trimmed = |(_, entry): &(&u64, &LogEntry)| entry.trimmed;
        let first = match self.disabled {
            Disabled::TrimMarks => 0,
            _ => log.iter().rposition(is_trimmed).unwrap_or(0),
        };
        let counted = log.into_iter().skip(first);
        counted.flat_map(|(_, entry)| entry.records.clone()).collect()
    }

    /// Empties a position and deletes those before it.
    pub(super) fn trim(&mut self, position: u64, mark: LogEntry) {
        self.log.insert(position, mark);
        self.log.retain(|stored, _| *stored >= position);
    }

    pub(super) fn append(
        &mut self,
        position: u64,
        entry: LogEntry,
        delivery: Delivery,
    ) -> AppendResult {
        match delivery {
            Delivery::Normal => self.append_now(position, entry),
            Delivery::ResponseLost => {
                self.append_now(position, entry);
                AppendResult::Unknown
            }
            Delivery::Delayed => {
                self.delayed.push_back(DelayedWrite::Append(position, entry));
                AppendResult::Unknown
            }
            Delivery::Unavailable => AppendResult::Unavailable,
        }
    }

    fn append_now(&mut self, position: u64, entry: LogEntry) -> AppendResult {
        let stored = self.log.entry(position).or_insert_with(|| entry.clone());
        let same = *stored == entry;
        let last = self.log.keys().max() == Some(&position);
        if same && last { AppendResult::Appended } else { AppendResult::Conflict }
    }

    pub(super) fn read_rows(&self) -> Vec<(JournalRow, Duration)> {
        if self.disabled == Disabled::RowLoading {
            return Vec::new();
        }
        let row_with_age = |(record, version): &(Record, u64)| {
            let row = JournalRow { record: Some(record.clone()), version: *version };
            (row, Duration::ZERO)
        };
        self.rows.values().map(row_with_age).collect()
    }

    pub(super) fn send_batch(
        &mut self,
        batch: &Batch,
        delivery: Delivery,
    ) -> CommitResult {
        let unknown = match self.disabled {
            Disabled::UnknownResults => {
                CommitResult::Committed { version: self.last_version }
            }
            _ => CommitResult::Unknown,
        };
        match delivery {
            Delivery::Normal => self.commit(batch),
            Delivery::ResponseLost => {
                self.commit(batch);
                unknown
            }
            Delivery::Delayed => {
                self.delayed.push_back(DelayedWrite::Batch(batch.clone()));
                unknown
            }
            Delivery::Unavailable => CommitResult::Unavailable,
        }
    }

    pub(super) fn commit(&mut self, batch: &Batch) -> CommitResult {
        for (condition, check) in batch.conditions.iter().enumerate() {
            let (holds, row) = self.check_condition(check);
            if !holds {
                let row = row.map(|row| Box::new(self.conflicting_row(row, batch)));
                return CommitResult::Conflict { condition, row };
            }
        }
        self.last_version += 1;
        for change in &batch.changes {
            match change {
                Change::Put(record) => {
                    let row = ((**record).clone(), self.last_version);
                    self.rows.insert(record.id.clone(), row);
                }
                Change::Delete { id, .. } => {
                    self.rows.swap_remove(id);
                }
            }
        }
        CommitResult::Committed { version: self.last_version }
    }

    /// The row as reported to the daemon.
    ///
    /// With transaction ids disabled, a row of the same attempt looks as if the batch
    /// had written it.
    fn conflicting_row(&self, mut row: JournalRow, batch: &Batch) -> JournalRow {
        let Some(stored) = row.record.as_mut() else { return row };
        for change in &batch.changes {
            if let (Change::Put(record), Disabled::TransactionIds) =
                (change, self.disabled)
                && record.attempt == stored.attempt
            {
                stored.transaction_id = record.transaction_id;
            }
        }
        row
    }

    /// Returns whether the condition holds, and the row that it is about.
    fn check_condition(&self, check: &Condition) -> (bool, Option<JournalRow>) {
        let journal_row = |id: &RequestId| {
            let row = self.rows.get(id);
            row.map(|(record, version)| JournalRow {
                record: Some(record.clone()),
                version: *version,
            })
        };
        match check {
            Condition::Claim { version, .. } => (
                *version == self.claim_version
                    || self.disabled == Disabled::ClaimAndAbsenceChecks,
                None,
            ),
            Condition::Absent { id, .. } => {
                let ignored = [
                    Disabled::ClaimAndAbsenceChecks,
                    Disabled::AbsenceChecks,
                    Disabled::RowLoading,
                ];
                let row = journal_row(id);
                (row.is_none() || ignored.contains(&self.disabled), row)
            }
            Condition::Version { id, version, .. } => {
                let row = journal_row(id);
                let same = row.as_ref().is_some_and(|row| row.version == *version);
                (same || self.disabled == Disabled::VersionChecks, row)
            }
        }
    }
}
