//! Applies a change in one transaction and gives it one final verdict.
//!
//! Operators of independent teams send up to 19,000 changes a day, at any time and
//! through any daemon, and retry a change if the response was lost. Without the
//! rules below a retry would be applied twice, a slower operator would undo the
//! work of a faster one, or a change that was reported as refused would take effect
//! later.
//!
//! - A change edits files relative to the revision that its author saw. If another
//!   change has edited one of them since, it is refused and the other author is
//!   named; otherwise it is applied to the newest revision.
//! - The transaction requires that the head has not changed, so that of two
//!   concurrent changes one conflicts and is evaluated again.
//! - Each final verdict, including a refusal, is stored under the change's id in
//!   the same transaction and is written only once. A retry finds it there. While
//!   it can't be written or read, no final verdict is reported.
//!
//! [`Applier`] does no I/O: it returns the next [`Step`] and is given its
//! result as an [`Event`].

use chestnut_base::{PoolName, Revision};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::change::{Change, Verdict};
use crate::rows::{self, FileRow, Files, Head, HistoryEntry, StoredVerdict};

/// Attempts before a change is left undecided.
///
/// An attempt conflicts only if another change was accepted during it, so 24 attempts
/// let 24 operators send changes at the same moment and all succeed. At 19,000
/// changes a day and 50 ms per attempt the mean number of concurrent changes is
/// 0.01.
pub const MAX_ATTEMPTS: u32 = 24;

/// The number of revisions that the history keeps; five days at 19,000 a day.
///
/// Each accepted change deletes the entry that exceeds this number, and the verdict on
/// its change.
pub const MAX_HISTORY_REVISIONS: u64 = 100_000;

/// The next action that an applier needs.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head, then the files, then the stored verdict on the change.
    Read,
    /// Commit the transaction.
    Commit(Transaction),
    /// Nothing; the change has this outcome.
    Done(ApplyOutcome),
}

/// A transaction on the configuration's tables.
///
/// It requires that the head has exactly the given version (or does not exist)
/// and that the row `verdict_key` does not exist.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    /// The required version of the head's row; if `None`, it must not exist.
    pub head_version: Option<u64>,
    /// The key of the stored verdict, which must not exist.
    pub verdict_key: String,
    /// The rows to write, with their keys.
    pub writes: Vec<(String, Value)>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The outcome of applying a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The final verdict.
    Decided(Verdict),
    /// No verdict is known, for this reason; the operator retries with the same id.
    Undecided(String),
    /// The id belongs to another change; this one has no effect and never will.
    IdReused,
}

/// The result of a step.
#[derive(Debug, Clone)]
pub enum Event {
    /// The rows were read.
    Read(Box<Snapshot>),
    /// The transaction was committed.
    Committed,
    /// The transaction was refused because another change was accepted first.
    Conflict,
    /// The transaction may or may not have been committed.
    OutcomeUnknown,
    /// The platform did not carry out the step, for this reason.
    Unavailable(String),
}

/// The rows that a change is evaluated against.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The head and the version of its row; `None` before the first change.
    pub head: Option<(Head, u64)>,
    /// All files, read after the head.
    pub files: Files,
    /// The final verdict on the change, if there is one, read last.
    pub stored_verdict: Option<StoredVerdict>,
    /// The history entry that expires with the next revision.
    pub expired_entry: Option<HistoryEntry>,
    /// The number of runners of each pool for which it is known.
    pub runners: IndexMap<PoolName, usize>,
}

/// A state machine that applies one change.
#[derive(Debug, Clone)]
pub struct Applier {
    change: Change,
    unix_time_s: u64,
    failed_attempts: u32,
    /// The verdict in the transaction that was last sent.
    sent_verdict: Option<Verdict>,
}

impl Applier {
    /// Creates an applier; `unix_time_s` is the time of acceptance in the history, in
    /// seconds since 1970.
    pub fn new(change: Change, unix_time_s: u64) -> Self {
        Self { change, unix_time_s, failed_attempts: 0, sent_verdict: None }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        Step::Read
    }

    /// Handles the result of the last step and returns the next one.
    pub fn handle(&mut self, event: Event) -> Step {
        match event {
            Event::Read(snapshot) => self.decide(*snapshot),
            Event::Committed => match self.sent_verdict.take() {
                Some(verdict) => Step::Done(ApplyOutcome::Decided(verdict)),
                None => Step::Read,
            },
            Event::Conflict | Event::OutcomeUnknown => self.retry(),
            Event::Unavailable(reason) => Step::Done(ApplyOutcome::Undecided(reason)),
        }
    }

    fn retry(&mut self) -> Step {
        self.sent_verdict = None;
        self.failed_attempts += 1;
        if self.failed_attempts < MAX_ATTEMPTS {
            return Step::Read;
        }
        Step::Done(ApplyOutcome::Undecided(
            "all attempts conflicted with other changes or had unknown outcomes".into(),
        ))
    }

    fn decide(&mut self, snapshot: Snapshot) -> Step {
        let digest = self.change.digest().to_string();
        if let Some(stored) = snapshot.stored_verdict {
            return Step::Done(if stored.digest == digest {
                ApplyOutcome::Decided(stored.verdict)
            } else {
                ApplyOutcome::IdReused
            });
        }
        let current =
            snapshot.head.as_ref().map_or(Revision(0), |(head, _)| head.revision);
        let next = Revision(current.0 + 1);
        let verdict = match self.change.evaluate(&snapshot.files, &snapshot.runners, next)
        {
            Ok(_) => {
                let rebased = current > self.change.base;
                Verdict::Accepted { revision: next, rebased }
            }
            Err(reason) => Verdict::Refused { revision: current, reason },
        };
        let verdict_key = rows::change_key(&self.change.team, &self.change.id);
        let stored = StoredVerdict { digest, verdict: verdict.clone() };
        let mut writes = vec![(verdict_key.clone(), to_json(&stored))];
        let mut deletes = Vec::new();
        if let Verdict::Accepted { revision, .. } = verdict {
            writes.extend(self.revision_rows(&snapshot.files, revision));
            if let Some(expired) = snapshot.expired_entry {
                deletes.push(rows::revision_key(expired.revision));
                deletes.push(rows::change_key(&expired.team, &expired.change));
            }
        }
        self.sent_verdict = Some(verdict);
        let head_version = snapshot.head.map(|(_, version)| version);
        Step::Commit(Transaction { head_version, verdict_key, writes, deletes })
    }

    fn revision_rows(&self, files: &Files, revision: Revision) -> Vec<(String, Value)> {
        let change = &self.change;
        let head = Head { revision, change: change.id.clone() };
        let mut rows = vec![(rows::HEAD_KEY.to_owned(), to_json(&head))];
        let mut previous_texts = IndexMap::new();
        for (file, text) in &change.edits {
            let old = files.get(&change.team, file).and_then(|row| row.text.clone());
            previous_texts.insert(file.clone(), old);
            let row = FileRow {
                team: change.team.clone(),
                file: file.clone(),
                revision,
                change: change.id.clone(),
                author: change.author.clone(),
                text: text.clone(),
            };
            rows.push((rows::file_key(&change.team, file), to_json(&row)));
        }
        let entry = HistoryEntry {
            revision,
            change: change.id.clone(),
            team: change.team.clone(),
            author: change.author.clone(),
            note: change.note.clone(),
            accepted_at: self.unix_time_s,
            previous_texts,
        };
        rows.push((rows::revision_key(revision), to_json(&entry)));
        rows
    }
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("all maps have string keys")
}
