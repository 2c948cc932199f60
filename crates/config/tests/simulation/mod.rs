//! A simulation of the table, operators and daemons for random interleavings.

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

/// How long the simulated daemons may go without confirmation of their declarations.
pub const MAX_STALENESS: Duration = Duration::from_secs(30);

/// A table in memory: rows with versions, and transactions.
#[derive(Default)]
pub struct Table {
    rows: IndexMap<String, (Value, u64)>,
    version: u64,
    pub unavailable: bool,
}

impl Table {
    fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let (value, _) = self.rows.get(key)?;
        Some(serde_json::from_value(value.clone()).unwrap())
    }

    /// The rows of files that were written after version `since`.
    pub fn changed(&self, since: u64) -> Vec<FileRow> {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(rows::FILE_PREFIX));
        let rows = rows.filter(|(_, (_, version))| *version > since);
        rows.map(|(_, (value, _))| serde_json::from_value(value.clone()).unwrap())
            .collect()
    }

    fn head(&self) -> Option<(Head, u64)> {
        Some((self.get(rows::HEAD_KEY)?, self.rows[rows::HEAD_KEY].1))
    }

    fn commit(&mut self, transaction: &Transaction) -> bool {
        let head_version = self.rows.get(rows::HEAD_KEY).map(|(_, version)| *version);
        if head_version != transaction.head_version
            || self.rows.contains_key(&transaction.verdict_key)
        {
            return false;
        }
        self.version += 1;
        for (key, value) in &transaction.writes {
            self.rows.insert(key.clone(), (value.clone(), self.version));
        }
        for key in &transaction.deletes {
            self.rows.shift_remove(key);
        }
        true
    }
}

/// A daemon that applies a change for an operator.
struct Attempt {
    change: usize,
    applier: Applier,
    step: Step,
    /// The result of reading the head; `None` unless the files are to be read next.
    head: Option<Option<(Head, u64)>>,
}

/// One action of an operator, a daemon or the table.
#[derive(Debug, Clone)]
pub enum Action {
    /// An operator sends a change, perhaps again.
    Send { change: usize },
    /// An attempt makes one call to the table.
    Advance { attempt: usize },
    /// An attempt's transaction is committed but the response is lost.
    LoseResponse { attempt: usize },
    /// An attempt's transaction is delayed and its outcome is unknown.
    DelayCommit { attempt: usize },
    /// An attempt ends without a verdict: the operator or the daemon was killed.
    Kill { attempt: usize },
    /// The table becomes unavailable or available again.
    ToggleTable,
    /// A daemon polls the table, unless it is suspended.
    Poll { daemon: usize },
    /// A daemon requests an update from a peer.
    QueryPeer { daemon: usize, peer: usize },
    /// A response to a daemon arrives, perhaps out of order.
    Deliver { response: usize },
    /// A daemon is suspended or resumes.
    ToggleSuspended { daemon: usize },
    /// A daemon restarts without state.
    Restart { daemon: usize },
    /// Time passes.
    Wait { secs: u64 },
}

pub fn action() -> impl Strategy<Value = Action> {
    let change = 0usize..CHANGES;
    let attempt = 0usize..16;
    let daemon = 0usize..4;
    prop_oneof![
        3 => change.prop_map(|change| Action::Send { change }),
        12 => attempt.clone().prop_map(|attempt| Action::Advance { attempt }),
        1 => attempt.clone().prop_map(|attempt| Action::LoseResponse { attempt }),
        1 => attempt.clone().prop_map(|attempt| Action::DelayCommit { attempt }),
        1 => attempt.prop_map(|attempt| Action::Kill { attempt }),
        1 => Just(Action::ToggleTable),
        4 => daemon.clone().prop_map(|daemon| Action::Poll { daemon }),
        2 => (daemon.clone(), daemon.clone())
            .prop_map(|(daemon, peer)| Action::QueryPeer { daemon, peer }),
        6 => (0usize..8).prop_map(|response| Action::Deliver { response }),
        1 => daemon.clone().prop_map(|daemon| Action::ToggleSuspended { daemon }),
        1 => daemon.prop_map(|daemon| Action::Restart { daemon }),
        1 => (1u64..40).prop_map(|secs| Action::Wait { secs }),
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

/// Changes of two teams: 0, 1 and 2 edit the same file, 3 and 4 declare the same
/// name in different teams, 5 to 7 are disjoint. The later ones are based on the
/// newest revision: 8 removes the declaration of 4, 9 to 11 edit the file of 7.
fn changes() -> Vec<Change> {
    let change = |id: &str, by: &str, file: &str, text: String| Change {
        id: id.into(),
        team: team(by),
        author: format!("author-{id}"),
        note: String::new(),
        base: Revision(0),
        edits: [(file.to_owned(), Some(text))].into_iter().collect(),
    };
    vec![
        change("c0", "a", "shared.jsonc", kind("k", 1)),
        change("c1", "a", "shared.jsonc", kind("k", 2)),
        change("c2", "a", "shared.jsonc", kind("k", 3)),
        change("c3", "a", "x.jsonc", kind("same", 4)),
        change("c4", "b", "x.jsonc", kind("same", 5)),
        change("c5", "a", "five.jsonc", kind("five", 6)),
        change("c6", "b", "six.jsonc", kind("six", 7)),
        change("c7", "b", "seven.jsonc", kind("seven", 8)),
        Change {
            edits: [("x.jsonc".to_owned(), None)].into_iter().collect(),
            ..change("c8", "b", "x.jsonc", String::new())
        },
        change("c9", "b", "seven.jsonc", kind("seven", 10)),
        change("c10", "b", "seven.jsonc", kind("seven", 11)),
        change("c11", "b", "seven.jsonc", kind("seven", 12)),
    ]
}

/// The number of [`changes`].
pub const CHANGES: usize = 12;

/// The first change whose base is the newest revision instead of 0.
pub const FIRST_REBASED: usize = 8;

/// A daemon and the revision in force on it.
pub struct Daemon {
    incarnation: usize,
    pub replica: ConfigReplica,
    pub suspended: bool,
    pub revision: Revision,
    /// The newest revision of each file that was in force.
    file_revisions: IndexMap<String, Revision>,
}

/// A response on its way to a daemon.
struct ResponseInFlight {
    daemon: usize,
    /// The incarnation that sent the request; a later one does not receive it.
    incarnation: usize,
    requested_at: Instant,
    response: Response,
}

enum Response {
    Table { rows: Vec<FileRow>, version: u64 },
    Peer(ReplicaUpdate),
}

pub struct Simulation {
    pub table: Table,
    pub changes: Vec<Change>,
    attempts: Vec<Attempt>,
    /// The changes whose base has been set to the newest revision.
    rebased: IndexSet<usize>,
    /// Transactions with an unknown outcome that may still be committed.
    delayed: Vec<Transaction>,
    pub verdicts: IndexMap<usize, Verdict>,
    pub daemons: Vec<Daemon>,
    responses: Vec<ResponseInFlight>,
    pub now: Instant,
    /// The accepted revisions with the times of their acceptance.
    pub accepted: Vec<(Revision, Instant)>,
}

impl Simulation {
    pub fn new() -> Self {
        Self {
            table: Table::default(),
            changes: changes(),
            attempts: Vec::new(),
            rebased: IndexSet::new(),
            delayed: Vec::new(),
            verdicts: IndexMap::new(),
            daemons: (0..4).map(Daemon::new).collect(),
            responses: Vec::new(),
            now: Instant::now(),
            accepted: Vec::new(),
        }
    }

    pub fn apply(&mut self, action: &Action) {
        match *action {
            Action::Send { change } => {
                if change >= FIRST_REBASED && self.rebased.insert(change) {
                    let head = self.table.head().map(|(head, _)| head.revision);
                    self.changes[change].base = head.unwrap_or_default();
                }
                let mut applier = Applier::new(self.changes[change].clone(), 0);
                let step = applier.start();
                self.attempts.push(Attempt { change, applier, step, head: None });
            }
            Action::Advance { attempt } => self.advance(attempt),
            Action::LoseResponse { attempt } => self.lose_response(attempt, true),
            Action::DelayCommit { attempt } => self.lose_response(attempt, false),
            Action::Kill { attempt } => {
                if !self.attempts.is_empty() {
                    let at = attempt % self.attempts.len();
                    self.attempts.swap_remove(at);
                }
            }
            Action::ToggleTable => {
                self.table.unavailable = !self.table.unavailable;
                // Transactions that were sent before an outage may be committed after it.
                if !self.table.unavailable {
                    for transaction in std::mem::take(&mut self.delayed) {
                        self.commit(&transaction);
                    }
                }
            }
            Action::Poll { daemon } => self.poll(daemon),
            Action::QueryPeer { daemon, peer } => self.query_peer(daemon, peer),
            Action::Deliver { response } => self.deliver(response),
            Action::ToggleSuspended { daemon } => {
                let daemon = &mut self.daemons[daemon];
                daemon.suspended = !daemon.suspended;
            }
            Action::Restart { daemon } => {
                let incarnation = self.daemons[daemon].incarnation + 4;
                self.daemons[daemon] = Daemon::new(incarnation);
            }
            Action::Wait { secs } => self.now += Duration::from_secs(secs),
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> bool {
        let committed = self.table.commit(transaction);
        let head = self.table.head().map_or(Revision(0), |(head, _)| head.revision);
        if self.accepted.last().is_none_or(|(last, _)| *last < head) && head.0 > 0 {
            self.accepted.push((head, self.now));
        }
        committed
    }

    /// Makes one call of an attempt to the table.
    fn advance(&mut self, attempt: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let at = attempt % self.attempts.len();
        let id = self.changes[self.attempts[at].change].id.clone();
        let team = self.changes[self.attempts[at].change].team.clone();
        let event = match self.attempts[at].step.clone() {
            _ if self.table.unavailable => Event::Unavailable("down".into()),
            Step::Read => match self.attempts[at].head.take() {
                // Other actions may happen between the reads of the head and of the files.
                None => {
                    self.attempts[at].head = Some(self.table.head());
                    return;
                }
                Some(head) => {
                    let mut files = Files::default();
                    self.table.changed(0).into_iter().for_each(|row| files.update(row));
                    let stored_verdict: Option<StoredVerdict> =
                        self.table.get(&rows::change_key(&team, &id));
                    let runners = IndexMap::new();
                    let expired_entry = None;
                    let snapshot =
                        Snapshot { head, files, stored_verdict, expired_entry, runners };
                    Event::Read(Box::new(snapshot))
                }
            },
            Step::Commit(transaction) => {
                if self.commit(&transaction) {
                    Event::Committed
                } else {
                    Event::Conflict
                }
            }
            Step::Done(_) => unreachable!("finished attempts are removed"),
        };
        self.handle_event(at, event);
    }

    /// Commits the transaction or delays it; either way the attempt gets no response.
    fn lose_response(&mut self, attempt: usize, commit: bool) {
        if self.attempts.is_empty() || self.table.unavailable {
            return;
        }
        let at = attempt % self.attempts.len();
        let Step::Commit(transaction) = self.attempts[at].step.clone() else { return };
        if commit {
            self.commit(&transaction);
        } else {
            self.delayed.push(transaction);
        }
        self.handle_event(at, Event::OutcomeUnknown);
    }

    fn handle_event(&mut self, at: usize, event: Event) {
        let attempt = &mut self.attempts[at];
        attempt.head = None;
        attempt.step = attempt.applier.handle(event);
        let Step::Done(outcome) = attempt.step.clone() else { return };
        let change = attempt.change;
        self.attempts.swap_remove(at);
        if let ApplyOutcome::Decided(verdict) = outcome {
            let first = self.verdicts.entry(change).or_insert_with(|| verdict.clone());
            assert_eq!(*first, verdict, "two verdicts on change {change}");
        }
    }

    fn poll(&mut self, daemon: usize) {
        if self.daemons[daemon].suspended || self.table.unavailable {
            return;
        }
        let rows = self.table.changed(self.daemons[daemon].replica.table_version());
        let version = self.table.version;
        self.send_response(daemon, Response::Table { rows, version });
    }

    fn query_peer(&mut self, daemon: usize, peer: usize) {
        if daemon == peer
            || self.daemons[daemon].suspended
            || self.daemons[peer].suspended
        {
            return;
        }
        let revision = self.daemons[daemon].replica.files().revision();
        let update =
            self.daemons[peer].replica.update_for(revision, self.now, MAX_STALENESS);
        self.send_response(daemon, Response::Peer(update));
    }

    fn send_response(&mut self, daemon: usize, response: Response) {
        let incarnation = self.daemons[daemon].incarnation;
        self.responses.push(ResponseInFlight {
            daemon,
            incarnation,
            requested_at: self.now,
            response,
        });
    }

    fn deliver(&mut self, response: usize) {
        if self.responses.is_empty() {
            return;
        }
        let at = response % self.responses.len();
        if self.daemons[self.responses[at].daemon].suspended {
            return;
        }
        let in_flight = self.responses.remove(at);
        let daemon = &mut self.daemons[in_flight.daemon];
        if daemon.incarnation != in_flight.incarnation {
            return;
        }
        match in_flight.response {
            Response::Table { rows, version } => {
                daemon.replica.apply_changes(rows, version, in_flight.requested_at);
            }
            Response::Peer(update) => {
                let was_fresh = daemon.replica.is_fresh(self.now, MAX_STALENESS);
                let is_behind = update.revision < daemon.replica.files().revision();
                daemon.replica.apply_update(update, in_flight.requested_at);
                let is_fresh = daemon.replica.is_fresh(self.now, MAX_STALENESS);
                assert!(
                    was_fresh || !is_fresh || !is_behind,
                    "a peer with an older revision confirmed the replica"
                );
            }
        }
        daemon.check_monotonic();
    }

    /// Sends every change, finishes all attempts and updates all daemons, with the
    /// table available.
    pub fn run_until_idle(&mut self) {
        self.table.unavailable = false;
        for transaction in std::mem::take(&mut self.delayed) {
            self.commit(&transaction);
        }
        for change in 0..self.changes.len() {
            self.apply(&Action::Send { change });
        }
        while !self.attempts.is_empty() {
            self.advance(0);
        }
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].suspended = false;
            self.poll(daemon);
        }
        while !self.responses.is_empty() {
            self.deliver(0);
        }
    }
}

impl Daemon {
    fn new(incarnation: usize) -> Self {
        let replica = ConfigReplica::default();
        Self {
            incarnation,
            replica,
            suspended: false,
            revision: Revision(0),
            file_revisions: IndexMap::new(),
        }
    }

    /// Checks that neither the revision of the replica nor that of a file decreases.
    fn check_monotonic(&mut self) {
        let files = self.replica.files();
        assert!(files.revision() >= self.revision, "the revision went back");
        self.revision = files.revision();
        for row in files.rows() {
            let newest = self.file_revisions.entry(row.path()).or_default();
            assert!(row.revision >= *newest, "a file went back");
            *newest = row.revision;
        }
    }
}
