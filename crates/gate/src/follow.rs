//! Keeps a copy of a table of the store up to date.
//!
//! The table is read whole once; from then on the store answers a waiting call as
//! soon as a row changes. Where the store no longer has the history that the copy
//! lacks, the table is read whole again.

use std::sync::Arc;
use std::time::Duration;

use chestnut_edge::Change;
use indexmap::IndexMap;
use slog::{info, warn};
use tokio::time::sleep;

use crate::shared::Shared;
use crate::store::{self, StoreFault};

/// How long the store may hold a call that waits for changes.
///
/// A connection that fell silent is noticed by its probes within seconds; the
/// limit is for a store that forgot the call.
const HOLD: Duration = Duration::from_secs(10);

/// How much later than `HOLD` an answer may come.
const HOLD_SLACK: Duration = Duration::from_secs(1);

/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause after failed calls.
///
/// Changes must be in force within two seconds of an outage's end.
const LAST_PAUSE: Duration = Duration::from_millis(500);

/// Who takes in what changed.
pub trait Follower: Send {
    /// A row was written or removed.
    fn changed(&mut self, change: Change);

    /// The changes that were known are all taken in.
    fn settled(&mut self) {}

    /// The store could not be read for a while and can be again.
    fn regained(&mut self) {}
}

/// A copy of a table of the store.
struct Copy {
    table: &'static str,
    /// The versions of the rows, to tell old reads from new ones.
    rows: IndexMap<String, u64>,
    /// Up to where the copy is complete; nothing before the first whole read.
    version: Option<u64>,
    /// The newest version that was ever seen.
    newest: u64,
}

/// Follows a table for as long as the daemon runs.
pub async fn run(shared: Arc<Shared>, table: &'static str, mut follower: impl Follower) {
    let mut copy = Copy { table, rows: IndexMap::new(), version: None, newest: 0 };
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    loop {
        match copy.advance(&shared, &mut follower).await {
            Ok(()) => {
                pause = FIRST_PAUSE;
                if std::mem::take(&mut lost) {
                    info!(shared.log, "store regained"; "table" => table);
                    follower.regained();
                }
                follower.settled();
            }
            Err(StoreFault(why)) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(shared.log, "store lost"; "table" => table, "error" => why);
                }
                sleep(pause).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

impl Copy {
    async fn advance(
        &mut self,
        shared: &Shared,
        follower: &mut impl Follower,
    ) -> Result<(), StoreFault> {
        match self.version {
            None => self.read_whole(shared, follower).await,
            Some(version) => self.read_changes(shared, follower, version).await,
        }
    }

    async fn read_changes(
        &mut self,
        shared: &Shared,
        follower: &mut impl Follower,
        after: u64,
    ) -> Result<(), StoreFault> {
        let request = shared.dialect.ask_changes(self.table, after, HOLD);
        let answer = store::call(shared, request, HOLD + HOLD_SLACK).await?;
        let (status, body) = (answer.status(), answer.into_body());
        match shared.dialect.read_changes(status, &body) {
            Ok(Some(delta)) => {
                for change in delta.changes {
                    self.take(change, follower);
                }
                self.newest = after.max(delta.version);
                self.version = Some(self.newest);
                Ok(())
            }
            Ok(None) => {
                info!(shared.log, "history gone, reading the table whole"; "table" => self.table);
                self.version = None;
                Ok(())
            }
            Err(error) => Err(StoreFault(error.to_string())),
        }
    }

    async fn read_whole(
        &mut self,
        shared: &Shared,
        follower: &mut impl Follower,
    ) -> Result<(), StoreFault> {
        let mut listed = IndexMap::new();
        let mut version = None;
        let mut after: Option<String> = None;
        loop {
            let page = store::rows(shared, self.table, after.as_deref()).await?;
            // The first page is the oldest: changes after it are read again.
            version.get_or_insert(page.version);
            if self.newest > page.version {
                return Err(StoreFault(format!("an old read, {} behind", self.newest)));
            }
            after = page.rows.last().map(|row| row.key.clone());
            listed.extend(page.rows.into_iter().map(|row| (row.key.clone(), row)));
            if !page.more || after.is_none() {
                break;
            }
        }
        let version = version.unwrap_or_default();
        self.remove_missing(&listed, version, follower);
        for row in listed.into_values() {
            self.take(row, follower);
        }
        self.newest = version;
        self.version = Some(version);
        Ok(())
    }

    fn remove_missing(
        &mut self,
        listed: &IndexMap<String, Change>,
        version: u64,
        follower: &mut impl Follower,
    ) {
        let missing = |key: &&String| !listed.contains_key(*key);
        let missing: Vec<String> = self.rows.keys().filter(missing).cloned().collect();
        for key in missing {
            self.take(Change { key, version, value: None }, follower);
        }
    }

    /// Takes in a row unless a newer state of it is known: a call that was answered
    /// late must not bring back what was replaced.
    fn take(&mut self, change: Change, follower: &mut impl Follower) {
        let known = self.rows.get(&change.key).copied().unwrap_or_default();
        if change.version <= known {
            return;
        }
        self.rows.insert(change.key.clone(), change.version);
        if change.value.is_none() {
            self.rows.swap_remove(&change.key);
        }
        follower.changed(change);
    }
}
