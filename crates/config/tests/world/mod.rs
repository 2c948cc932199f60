//! A table, operators and daemons in memory, for random interleavings.

use std::time::{Duration, Instant};

use chestnut_base::{Revision, TeamName};
use chestnut_config::apply::{Event, Snapshot, Step, Transaction};
use chestnut_config::rows::{self, FileRow, Files, Head, StoredVerdict};
use chestnut_config::{
    Applier, ApplyOutcome, Change, ConfigReplica, ReplicaUpdate, Verdict,
};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub const STALE: Duration = Duration::from_secs(30);

/// The configuration's table: rows with versions, and transactions.
#[derive(Default)]
pub struct Table {
    rows: IndexMap<String, (Value, u64)>,
    version: u64,
    pub down: bool,
}

impl Table {
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let (value, _) = self.rows.get(key)?;
        Some(serde_json::from_value(value.clone()).unwrap())
    }

    pub fn changed(&self, since: u64) -> Vec<FileRow> {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(rows::FILE_PREFIX));
        let rows = rows.filter(|(_, (_, version))| *version > since);
        rows.map(|(_, (value, _))| serde_json::from_value(value.clone()).unwrap())
            .collect()
    }

    fn head(&self) -> Option<(Head, u64)> {
        Some((self.get(rows::HEAD_KEY)?, self.rows[rows::HEAD_KEY].1))
    }

    fn commit(&mut self, commit: &Transaction) -> bool {
        let head = self.rows.get(rows::HEAD_KEY).map(|(_, version)| *version);
        if head != commit.head_version || self.rows.contains_key(&commit.verdict_key) {
            return false;
        }
        self.version += 1;
        for (key, value) in &commit.writes {
            self.rows.insert(key.clone(), (value.clone(), self.version));
        }
        for key in &commit.deletes {
            self.rows.shift_remove(key);
        }
        true
    }
}

/// One attempt of an operator to get a change through, at some daemon.
struct Attempt {
    change: usize,
    applier: Applier,
    step: Step,
    /// The part of a read that was done already; the rest is done later.
    head: Option<Option<(Head, u64)>>,
}

/// What happens next.
#[derive(Debug, Clone)]
pub enum Act {
    /// An operator sends a change, perhaps once more.
    Send { change: usize },
    /// An attempt goes on by one call to the table.
    Go { attempt: usize },
    /// An attempt's commit takes effect and its acknowledgement is lost.
    LoseAck { attempt: usize },
    /// An attempt's commit is lost on the way.
    LoseCall { attempt: usize },
    /// An attempt ends without a word: the operator or the daemon was killed.
    Kill { attempt: usize },
    /// The table goes down or comes back.
    Flip,
    /// A daemon reads the table, unless it is frozen.
    Poll { daemon: usize },
    /// A daemon asks a peer.
    Ask { daemon: usize, peer: usize },
    /// An answer to a poll or a question arrives, perhaps after later ones.
    Arrive { answer: usize },
    /// A daemon freezes or thaws.
    Freeze { daemon: usize },
    /// A daemon is replaced by one that knows nothing.
    Replace { daemon: usize },
    /// Time passes.
    Wait { secs: u64 },
}

pub fn act() -> impl Strategy<Value = Act> {
    let change = 0usize..CHANGES;
    let attempt = 0usize..16;
    let daemon = 0usize..4;
    prop_oneof![
        3 => change.prop_map(|change| Act::Send { change }),
        12 => attempt.clone().prop_map(|attempt| Act::Go { attempt }),
        1 => attempt.clone().prop_map(|attempt| Act::LoseAck { attempt }),
        1 => attempt.clone().prop_map(|attempt| Act::LoseCall { attempt }),
        1 => attempt.prop_map(|attempt| Act::Kill { attempt }),
        1 => Just(Act::Flip),
        4 => daemon.clone().prop_map(|daemon| Act::Poll { daemon }),
        2 => (daemon.clone(), daemon.clone())
            .prop_map(|(daemon, peer)| Act::Ask { daemon, peer }),
        6 => (0usize..8).prop_map(|answer| Act::Arrive { answer }),
        1 => daemon.clone().prop_map(|daemon| Act::Freeze { daemon }),
        1 => daemon.prop_map(|daemon| Act::Replace { daemon }),
        1 => (1u64..40).prop_map(|secs| Act::Wait { secs }),
    ]
}

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).unwrap()
}

fn kind(name: &str, deadline: u64) -> String {
    format!(
        r#"{{ "kinds": {{ "{name}": {{ "urgency": "slow", "deadline_ms": {deadline}, "idempotent": true }} }} }}"#
    )
}

/// Changes of two teams: 0, 1 and 2 race for one file, 3 and 4 declare the same
/// name in different teams, 5 to 7 are disjoint. The authors of the later ones
/// look at the files first: 8 removes what 4 declared, 9 to 11 edit 7's file.
fn changes() -> Vec<Change> {
    let one = |id: &str, by: &str, file: &str, text: String| Change {
        id: id.into(),
        team: team(by),
        author: format!("author-{id}"),
        note: String::new(),
        base: Revision(0),
        edits: [(file.to_owned(), Some(text))].into_iter().collect(),
    };
    vec![
        one("c0", "a", "shared.jsonc", kind("k", 1)),
        one("c1", "a", "shared.jsonc", kind("k", 2)),
        one("c2", "a", "shared.jsonc", kind("k", 3)),
        one("c3", "a", "x.jsonc", kind("same", 4)),
        one("c4", "b", "x.jsonc", kind("same", 5)),
        one("c5", "a", "five.jsonc", kind("five", 6)),
        one("c6", "b", "six.jsonc", kind("six", 7)),
        one("c7", "b", "seven.jsonc", kind("seven", 8)),
        Change {
            edits: [("x.jsonc".to_owned(), None)].into_iter().collect(),
            ..one("c8", "b", "x.jsonc", String::new())
        },
        one("c9", "b", "seven.jsonc", kind("seven", 10)),
        one("c10", "b", "seven.jsonc", kind("seven", 11)),
        one("c11", "b", "seven.jsonc", kind("seven", 12)),
    ]
}

/// The number of changes.
pub const CHANGES: usize = 12;

/// The first change whose author looks at the files first.
pub const LATER: usize = 8;

/// A daemon and what is in force at it.
pub struct Daemon {
    start: usize,
    pub replica: ConfigReplica,
    pub frozen: bool,
    pub force: Revision,
    /// The newest revision of each file that was in force.
    seen: IndexMap<String, Revision>,
}

/// An answer on its way to a daemon.
struct Flying {
    daemon: usize,
    /// The daemon's start that asked; a later one never sees the answer.
    start: usize,
    asked: Instant,
    answer: Heard,
}

enum Heard {
    Table { rows: Vec<FileRow>, version: u64 },
    Peer(ReplicaUpdate),
}

pub struct World {
    pub table: Table,
    pub changes: Vec<Change>,
    attempts: Vec<Attempt>,
    /// The changes whose authors have looked at the files.
    looked: IndexSet<usize>,
    /// Commits that were sent, lost, and may still arrive.
    late: Vec<Transaction>,
    pub answers: IndexMap<usize, Verdict>,
    pub daemons: Vec<Daemon>,
    flying: Vec<Flying>,
    pub now: Instant,
    /// The highest revision ever accepted, with the time of its acceptance.
    pub accepted: Vec<(Revision, Instant)>,
}

impl World {
    pub fn new() -> Self {
        Self {
            table: Table::default(),
            changes: changes(),
            attempts: Vec::new(),
            looked: IndexSet::new(),
            late: Vec::new(),
            answers: IndexMap::new(),
            daemons: (0..4).map(Daemon::new).collect(),
            flying: Vec::new(),
            now: Instant::now(),
            accepted: Vec::new(),
        }
    }

    pub fn act(&mut self, act: &Act) {
        match *act {
            Act::Send { change } => {
                if change >= LATER && self.looked.insert(change) {
                    let head = self.table.head().map(|(head, _)| head.revision);
                    self.changes[change].base = head.unwrap_or_default();
                }
                let mut applier = Applier::new(self.changes[change].clone(), 0);
                let step = applier.start();
                self.attempts.push(Attempt { change, applier, step, head: None });
            }
            Act::Go { attempt } => self.go(attempt),
            Act::LoseAck { attempt } => self.lose(attempt, true),
            Act::LoseCall { attempt } => self.lose(attempt, false),
            Act::Kill { attempt } => {
                if !self.attempts.is_empty() {
                    let at = attempt % self.attempts.len();
                    self.attempts.swap_remove(at);
                }
            }
            Act::Flip => {
                self.table.down = !self.table.down;
                // What was on its way when the table went down may arrive after it.
                if !self.table.down {
                    for commit in std::mem::take(&mut self.late) {
                        self.commit(&commit);
                    }
                }
            }
            Act::Poll { daemon } => self.poll(daemon),
            Act::Ask { daemon, peer } => self.ask(daemon, peer),
            Act::Arrive { answer } => self.arrive(answer),
            Act::Freeze { daemon } => {
                let daemon = &mut self.daemons[daemon];
                daemon.frozen = !daemon.frozen;
            }
            Act::Replace { daemon } => {
                let start = self.daemons[daemon].start + 4;
                self.daemons[daemon] = Daemon::new(start);
            }
            Act::Wait { secs } => self.now += Duration::from_secs(secs),
        }
    }

    fn commit(&mut self, commit: &Transaction) -> bool {
        let done = self.table.commit(commit);
        let head = self.table.head().map_or(Revision(0), |(head, _)| head.revision);
        if self.accepted.last().is_none_or(|(last, _)| *last < head) && head.0 > 0 {
            self.accepted.push((head, self.now));
        }
        done
    }

    /// Lets an attempt make one call to the table.
    fn go(&mut self, attempt: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let at = attempt % self.attempts.len();
        let id = self.changes[self.attempts[at].change].id.clone();
        let by = self.changes[self.attempts[at].change].team.clone();
        let event = match self.attempts[at].step.clone() {
            _ if self.table.down => Event::Unavailable("down".into()),
            Step::Read => match self.attempts[at].head.take() {
                // Others may act between the reads of the head and of the files.
                None => {
                    self.attempts[at].head = Some(self.table.head());
                    return;
                }
                Some(head) => {
                    let mut files = Files::default();
                    self.table.changed(0).into_iter().for_each(|row| files.update(row));
                    let ruling: Option<StoredVerdict> =
                        self.table.get(&rows::change_key(&by, &id));
                    let runners = IndexMap::new();
                    let oldest = None;
                    let found = Snapshot {
                        head,
                        files,
                        stored_verdict: ruling,
                        expired_entry: oldest,
                        runners,
                    };
                    Event::Read(Box::new(found))
                }
            },
            Step::Commit(commit) => {
                if self.commit(&commit) {
                    Event::Committed
                } else {
                    Event::Conflict
                }
            }
            Step::Done(_) => unreachable!("attempts that are done are removed"),
        };
        self.tell(at, event);
    }

    /// Loses the acknowledgement of a commit, or the commit until later.
    fn lose(&mut self, attempt: usize, lands: bool) {
        if self.attempts.is_empty() || self.table.down {
            return;
        }
        let at = attempt % self.attempts.len();
        let Step::Commit(commit) = self.attempts[at].step.clone() else { return };
        if lands {
            self.commit(&commit);
        } else {
            self.late.push(commit);
        }
        self.tell(at, Event::OutcomeUnknown);
    }

    fn tell(&mut self, at: usize, event: Event) {
        let attempt = &mut self.attempts[at];
        attempt.head = None;
        attempt.step = attempt.applier.handle(event);
        let Step::Done(answer) = attempt.step.clone() else { return };
        let change = attempt.change;
        self.attempts.swap_remove(at);
        if let ApplyOutcome::Decided(verdict) = answer {
            let first = self.answers.entry(change).or_insert_with(|| verdict.clone());
            assert_eq!(*first, verdict, "two answers about change {change}");
        }
    }

    fn poll(&mut self, daemon: usize) {
        if self.daemons[daemon].frozen || self.table.down {
            return;
        }
        let rows = self.table.changed(self.daemons[daemon].replica.table_version());
        let version = self.table.version;
        self.fly(daemon, Heard::Table { rows, version });
    }

    fn ask(&mut self, daemon: usize, peer: usize) {
        if daemon == peer || self.daemons[daemon].frozen || self.daemons[peer].frozen {
            return;
        }
        let have = self.daemons[daemon].replica.files().revision();
        let handover = self.daemons[peer].replica.update_for(have, self.now, STALE);
        self.fly(daemon, Heard::Peer(handover));
    }

    fn fly(&mut self, daemon: usize, answer: Heard) {
        let start = self.daemons[daemon].start;
        self.flying.push(Flying { daemon, start, asked: self.now, answer });
    }

    fn arrive(&mut self, answer: usize) {
        if self.flying.is_empty() {
            return;
        }
        let at = answer % self.flying.len();
        if self.daemons[self.flying[at].daemon].frozen {
            return;
        }
        let flying = self.flying.remove(at);
        let daemon = &mut self.daemons[flying.daemon];
        if daemon.start != flying.start {
            return;
        }
        match flying.answer {
            Heard::Table { rows, version } => {
                daemon.replica.apply_changes(rows, version, flying.asked);
            }
            Heard::Peer(handover) => {
                let was = daemon.replica.is_fresh(self.now, STALE);
                let behind = handover.revision < daemon.replica.files().revision();
                daemon.replica.apply_update(handover, flying.asked);
                let is = daemon.replica.is_fresh(self.now, STALE);
                assert!(was || !is || !behind, "a peer that is behind confirmed");
            }
        }
        daemon.keep();
    }

    /// Lets everything that is under way end, with the table up.
    pub fn settle(&mut self) {
        self.table.down = false;
        for commit in std::mem::take(&mut self.late) {
            self.commit(&commit);
        }
        for change in 0..self.changes.len() {
            self.act(&Act::Send { change });
        }
        while !self.attempts.is_empty() {
            self.go(0);
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].frozen = false;
            self.poll(daemon);
        }
        while !self.flying.is_empty() {
            self.arrive(0);
        }
    }
}

impl Daemon {
    fn new(start: usize) -> Self {
        let replica = ConfigReplica::default();
        Self { start, replica, frozen: false, force: Revision(0), seen: IndexMap::new() }
    }

    /// Checks that no file and no revision goes back, and keeps the newest.
    fn keep(&mut self) {
        let files = self.replica.files();
        assert!(files.revision() >= self.force, "the revision went back");
        self.force = files.revision();
        for row in files.rows() {
            let seen = self.seen.entry(row.path()).or_default();
            assert!(row.revision >= *seen, "a file went back");
            *seen = row.revision;
        }
    }
}
