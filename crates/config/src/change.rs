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

use chestnut_base::{PoolName, Revision, TeamName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::catalog::Catalog;
use crate::declare::TeamText;
use crate::problem::Problems;
use crate::rows::{self, Entry, FileRow, Files, Head};
use crate::union::Union;

/// How often an applier starts again before it leaves the change undecided.
///
/// Each round loses to another change that was accepted meanwhile. With 19,000
/// changes a day in bursts of 20 a second and a commit of 50 ms, one in two
/// rounds loses, so that 24 rounds lose together less than once in 10^7 changes.
pub const ROUNDS: u32 = 24;

/// The longest text of a file, in bytes.
pub const TEXT_LIMIT: usize = 512 << 10;

/// The longest id of a change, in bytes.
pub const ID_LIMIT: usize = 64;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The change's id, chosen by its author; a repeated change keeps it.
    pub id: String,
    /// The team whose files it edits.
    pub team: TeamName,
    /// Who makes it.
    pub author: String,
    /// What the author says of it.
    #[serde(default)]
    pub note: String,
    /// The revision that the author saw.
    pub base: Revision,
    /// The new text of each edited file; absent to remove the file.
    pub edits: IndexMap<String, Option<String>>,
}

/// The final answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The change is in the named revision and never reverts by itself.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
        /// Whether others' changes were accepted since the author's revision.
        rebased: bool,
    },
    /// The change has and will have no effect.
    Refused {
        /// The newest revision at that time.
        revision: Revision,
        /// Why.
        reason: Reason,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum Reason {
    /// Others changed the same files since the author's revision.
    Conflict {
        /// The author of the refused change.
        author: String,
        /// Each other change.
        others: Vec<Other>,
    },
    /// The declarations of all teams together would be wrong.
    Invalid {
        /// What would be wrong.
        problems: Problems,
    },
}

/// A change that got in first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Other {
    /// The file that both change.
    pub file: String,
    /// The author of the change that got in first.
    pub author: String,
    /// Its id.
    pub change: String,
    /// Its revision.
    pub revision: Revision,
}

/// What an applier wants done next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read the head, then the files, then the change's row.
    Read,
    /// Commit this.
    Commit(Commit),
    /// Nothing; this is the answer.
    Done(Answer),
}

/// A transaction on the configuration's table.
///
/// Requires that the head has just the given version (or does not exist) and
/// that the row `fresh` does not exist.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    /// The version that the head's row must have; it must not exist if absent.
    pub head: Option<u64>,
    /// The key of the row that must not exist.
    pub fresh: String,
    /// The rows to write.
    pub writes: Vec<(String, Value)>,
}

/// What a daemon answers to an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The final answer.
    Final(Verdict),
    /// Nothing is known of the change; the operator repeats it with the same id.
    Undecided(String),
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
    Unknown,
    /// The platform did nothing.
    Down(String),
}

/// What a step of reading found.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The head and the version of its row.
    pub head: Option<(Head, u64)>,
    /// All files, read after the head.
    pub files: Files,
    /// The final answer to the change, if there is one, read last.
    pub verdict: Option<Verdict>,
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
    pub fn on(&mut self, event: Event) -> Step {
        match event {
            Event::Read(found) => self.decide(*found),
            Event::Committed => match self.sent.take() {
                Some(verdict) => Step::Done(Answer::Final(verdict)),
                None => Step::Read,
            },
            Event::Conflict | Event::Unknown => self.again(),
            Event::Down(why) => Step::Done(Answer::Undecided(why)),
        }
    }

    fn again(&mut self) -> Step {
        self.sent = None;
        self.rounds += 1;
        if self.rounds < ROUNDS {
            return Step::Read;
        }
        Step::Done(Answer::Undecided("other changes were always faster".into()))
    }

    fn decide(&mut self, found: Snapshot) -> Step {
        if let Some(verdict) = found.verdict {
            return Step::Done(Answer::Final(verdict));
        }
        let current = found.head.as_ref().map_or(Revision(0), |(head, _)| head.revision);
        let next = Revision(current.0 + 1);
        let verdict = match judge(&self.change, &found, next) {
            Ok(()) => {
                Verdict::Accepted { revision: next, rebased: current > self.change.base }
            }
            Err(reason) => Verdict::Refused { revision: current, reason },
        };
        let fresh = rows::change_key(&self.change.id);
        let mut writes = vec![(fresh.clone(), json(&verdict))];
        if let Verdict::Accepted { revision, .. } = verdict {
            writes.extend(self.rows(&found.files, revision));
        }
        self.sent = Some(verdict);
        let head = found.head.map(|(_, version)| version);
        Step::Commit(Commit { head, fresh, writes })
    }

    fn rows(&self, files: &Files, revision: Revision) -> Vec<(String, Value)> {
        let change = &self.change;
        let head = Head { revision, change: change.id.clone() };
        let mut rows = vec![(rows::HEAD.to_owned(), json(&head))];
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
        let entry = Entry {
            revision,
            change: change.id.clone(),
            team: change.team.clone(),
            author: change.author.clone(),
            note: change.note.clone(),
            at: self.wall,
            before,
        };
        rows.push((rows::entry_key(revision), json(&entry)));
        rows
    }
}

/// Checks a change on top of what is in force.
pub fn judge(change: &Change, found: &Snapshot, next: Revision) -> Result<(), Reason> {
    let others = conflicts(change, &found.files);
    if !others.is_empty() {
        return Err(Reason::Conflict { author: change.author.clone(), others });
    }
    let mut teams = found.files.teams();
    let old = Catalog::union(next, &teams).ok();
    edit(teams.entry(change.team.clone()).or_default(), &change.edits);
    let union = Union::check(next, &teams);
    let union = union.map_err(|problems| Reason::Invalid { problems })?;
    union
        .fits(&found.runners, old.as_ref())
        .map_err(|problems| Reason::Invalid { problems })
}

/// Applies edits to a team's files.
pub fn edit(text: &mut TeamText, edits: &IndexMap<String, Option<String>>) {
    for (file, new) in edits {
        match new {
            Some(new) => {
                text.files.insert(file.clone(), new.clone());
            }
            None => {
                text.files.shift_remove(file);
            }
        }
    }
}

/// The edits that lead from one text of a team to another.
pub fn edits(old: &TeamText, new: &TeamText) -> IndexMap<String, Option<String>> {
    let mut edits = IndexMap::new();
    for (file, text) in &new.files {
        if old.files.get(file) != Some(text) {
            edits.insert(file.clone(), Some(text.clone()));
        }
    }
    for file in old.files.keys() {
        if !new.files.contains_key(file) {
            edits.insert(file.clone(), None);
        }
    }
    edits
}

fn conflicts(change: &Change, files: &Files) -> Vec<Other> {
    change
        .edits
        .keys()
        .filter_map(|file| files.get(&change.team, file))
        .filter(|row| row.revision > change.base)
        .map(|row| Other {
            file: row.file.clone(),
            author: row.author.clone(),
            change: row.change.clone(),
            revision: row.revision,
        })
        .collect()
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("these types have texts as keys")
}
