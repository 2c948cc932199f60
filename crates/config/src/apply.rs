//! Accepting a change: one transaction on the head, one answer for ever.
//!
//! Load pattern: operators of teams that never coordinate send changes at any
//! moment (up to 19,000 a day), through any daemon, and repeat a change whose
//! acknowledgement was lost. Without these rules a repeated change is applied
//! twice, a slower operator silently undoes a faster one, or an operator is told
//! "refused" of a change that takes effect later.
//!
//! The rules:
//! - A change edits files relative to the revision that its author saw. If a
//!   file that it edits was changed since, it is refused and the other author
//!   is named; otherwise it is applied on top of the head.
//! - The transaction checks the head, so that of two racing changes one sees the
//!   other and starts again.
//! - Each final answer, also a refusal, is a row under the change's id that is
//!   written once, in the same transaction. A repeated change finds it. While
//!   that row can't be written or read, nobody gets a final answer.
//!
//! [`Applier`] holds no connection: it says what to do next ([`Step`]) and is
//! told what came of it ([`Event`]).

use chestnut_base::{PoolName, Revision};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::change::{Change, Verdict};
use crate::rows::{self, FileRow, Files, Head, HistoryEntry, StoredVerdict};

/// How often an applier starts again before it leaves the change undecided.
///
/// A round is lost only to another change that was accepted meanwhile, so that
/// 24 rounds let 24 operators race at the same moment and all land. At 19,000
/// changes a day and 50 ms a round the mean number of rivals is 0.01.
pub const MAX_ATTEMPTS: u32 = 24;

/// How many revisions the history keeps; five days of 19,000 changes.
pub const MAX_HISTORY_REVISIONS: u64 = 100_000;

/// What an applier wants done next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head, then the files, then the change's row.
    Read,
    /// Commit this.
    Commit(Transaction),
    /// Nothing; this is the answer.
    Done(ApplyOutcome),
}

/// A transaction on the configuration's table.
///
/// Requires that the head has just the given version (or does not exist) and
/// that the row `fresh` does not exist.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    /// The version that the head's row must have; it must not exist if absent.
    pub head_version: Option<u64>,
    /// The key of the row that must not exist.
    pub verdict_key: String,
    /// The rows to write.
    pub writes: Vec<(String, Value)>,
    /// The rows to remove.
    pub deletes: Vec<String>,
}

/// What a daemon answers to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The final answer.
    Decided(Verdict),
    /// Nothing is known of the change; the operator repeats it with the same id.
    Undecided(String),
    /// The id was used for another change; this one has and will have no effect.
    IdReused,
}

/// What came of a step.
#[derive(Debug, Clone)]
pub enum Event {
    /// What was read.
    Read(Box<Snapshot>),
    /// The transaction was committed.
    Committed,
    /// The transaction was refused; others were faster.
    Conflict,
    /// The transaction may have been committed.
    OutcomeUnknown,
    /// The platform did nothing.
    Unavailable(String),
}

/// What a step of reading found.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The head and the version of its row.
    pub head: Option<(Head, u64)>,
    /// All files, read after the head.
    pub files: Files,
    /// The final answer to the change, if there is one, read last.
    pub stored_verdict: Option<StoredVerdict>,
    /// The entry of the history that the next revision pushes out.
    pub expired_entry: Option<HistoryEntry>,
    /// The number of runners of each pool, where it is known.
    pub runners: IndexMap<PoolName, usize>,
}

/// Takes one change to its answer.
#[derive(Debug, Clone)]
pub struct Applier {
    change: Change,
    wall: u64,
    rounds: u32,
    sent: Option<Verdict>,
}

impl Applier {
    /// Creates an applier; `wall` is the time for the history, in seconds since 1970.
    pub fn new(change: Change, wall: u64) -> Self {
        Self { change, wall, rounds: 0, sent: None }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        Step::Read
    }

    /// The step after what came of the last one.
    pub fn handle(&mut self, event: Event) -> Step {
        match event {
            Event::Read(found) => self.decide(*found),
            Event::Committed => match self.sent.take() {
                Some(verdict) => Step::Done(ApplyOutcome::Decided(verdict)),
                None => Step::Read,
            },
            Event::Conflict | Event::OutcomeUnknown => self.again(),
            Event::Unavailable(why) => Step::Done(ApplyOutcome::Undecided(why)),
        }
    }

    fn again(&mut self) -> Step {
        self.sent = None;
        self.rounds += 1;
        if self.rounds < MAX_ATTEMPTS {
            return Step::Read;
        }
        Step::Done(ApplyOutcome::Undecided("other changes were always faster".into()))
    }

    fn decide(&mut self, found: Snapshot) -> Step {
        let digest = self.change.digest().to_string();
        if let Some(ruling) = found.stored_verdict {
            return Step::Done(if ruling.digest == digest {
                ApplyOutcome::Decided(ruling.verdict)
            } else {
                ApplyOutcome::IdReused
            });
        }
        let current = found.head.as_ref().map_or(Revision(0), |(head, _)| head.revision);
        let next = Revision(current.0 + 1);
        let verdict = match self.change.evaluate(&found.files, &found.runners, next) {
            Ok(_) => {
                let rebased = current > self.change.base;
                Verdict::Accepted { revision: next, rebased }
            }
            Err(reason) => Verdict::Refused { revision: current, reason },
        };
        let fresh = rows::change_key(&self.change.team, &self.change.id);
        let ruling = StoredVerdict { digest, verdict: verdict.clone() };
        let mut writes = vec![(fresh.clone(), json(&ruling))];
        let mut removals = Vec::new();
        if let Verdict::Accepted { revision, .. } = verdict {
            writes.extend(self.rows(&found.files, revision));
            if let Some(old) = found.expired_entry {
                removals.push(rows::revision_key(old.revision));
                removals.push(rows::change_key(&old.team, &old.change));
            }
        }
        self.sent = Some(verdict);
        let head = found.head.map(|(_, version)| version);
        Step::Commit(Transaction {
            head_version: head,
            verdict_key: fresh,
            writes,
            deletes: removals,
        })
    }

    fn rows(&self, files: &Files, revision: Revision) -> Vec<(String, Value)> {
        let change = &self.change;
        let head = Head { revision, change: change.id.clone() };
        let mut rows = vec![(rows::HEAD_KEY.to_owned(), json(&head))];
        let mut before = IndexMap::new();
        for (file, text) in &change.edits {
            let old = files.get(&change.team, file).and_then(|row| row.text.clone());
            before.insert(file.clone(), old);
            let row = FileRow {
                team: change.team.clone(),
                file: file.clone(),
                revision,
                change: change.id.clone(),
                author: change.author.clone(),
                text: text.clone(),
            };
            rows.push((rows::file_key(&change.team, file), json(&row)));
        }
        let entry = HistoryEntry {
            revision,
            change: change.id.clone(),
            team: change.team.clone(),
            author: change.author.clone(),
            note: change.note.clone(),
            accepted_at: self.wall,
            previous_texts: before,
        };
        rows.push((rows::revision_key(revision), json(&entry)));
        rows
    }
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("these types have texts as keys")
}
