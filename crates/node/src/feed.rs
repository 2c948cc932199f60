//! What changed in the platform's table, read once for all parts of the daemon.
//!
//! Membership, declarations, the ledger, plans and convictions are all rows that
//! every daemon follows. If each part asked for its own, 2,100 daemons would cost
//! some 8 reads a poll each, and with a budget of [`MAX_READS_PER_SECOND`] a change
//! would take 17 s to be seen by all. One read of all tables at once takes 2.1 s.
//! The feed keeps the last changes; each part takes from it what it has not seen.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use chestnut_base::Clock;
use chestnut_plat::table::RowKey;
use chestnut_plat::{
    ChangesQuery, ChangesResponse, Delta, PlatformError, Row, TableClient,
};

/// Table reads a second that the polls of all daemons may cost altogether.
///
/// Half of the two thousand that the platform serves; the rest is for starts,
/// journals and orders.
pub const MAX_READS_PER_SECOND: f64 = 1000.0;

/// The greatest number of changes that are kept.
///
/// A part that has not looked for longer reads its table anew. At full size some
/// three changes come in a second; this is over half an hour of them.
const KEPT: usize = 8192;

/// About how many rows are read at once when a part reads its table anew.
const PART: usize = 500;

/// The changes of the tables that every daemon follows.
pub struct ChangeFeed {
    tables: Vec<String>,
    state: Mutex<State>,
}

/// What was read so far.
struct State {
    /// Changes in the order of versions; a row stands once for each change read.
    log: VecDeque<Change>,
    /// All changes after this version and up to `version` are in the log.
    base: u64,
    /// The version up to which the tables were read; absent before the first read.
    version: Option<u64>,
    /// The table service's clock at the last read, in milliseconds.
    now: u64,
    /// When the last read that succeeded was sent.
    asked: Option<Instant>,
    /// Why the last read failed, if it did.
    failure: Option<PlatformError>,
}

/// A row that was written or removed.
struct Change {
    /// The version of the read that found it; the row itself may be older.
    version: u64,
    table: String,
    key: String,
    row: Option<Row>,
}

impl ChangeFeed {
    /// Creates a feed of `tables` that has read nothing yet.
    pub fn new(tables: &[&str]) -> Self {
        let state = State {
            log: VecDeque::new(),
            base: 0,
            version: None,
            now: 0,
            asked: None,
            failure: None,
        };
        let tables = tables.iter().map(|&name| name.to_owned()).collect();
        Self { tables, state: Mutex::new(state) }
    }

    /// The time between two reads of a daemon among `members`.
    pub fn poll_interval(poll: Duration, members: usize) -> Duration {
        poll.max(Duration::from_secs_f64(members as f64 / MAX_READS_PER_SECOND))
    }

    /// Reads what changed, and the rows that are wanted besides.
    pub async fn refresh(
        &self,
        table: &TableClient,
        clock: &dyn Clock,
        wanted: Vec<RowKey>,
    ) -> Result<Vec<Row>, PlatformError> {
        let since = self.lock().version;
        // The first read only finds out where to begin: each part reads its own
        // table whole then.
        let tables = if since.is_some() { self.tables.clone() } else { Vec::new() };
        let ask = ChangesQuery { tables, since: since.unwrap_or(0), row_keys: wanted };
        let asked = clock.now();
        match table.changes(&ask).await {
            Ok(changed) => Ok(self.lock().take(changed, asked)),
            Err(error) => {
                self.record_failure(&error);
                Err(error)
            }
        }
    }

    /// Takes note that the table can't be used.
    pub fn record_failure(&self, error: &PlatformError) {
        self.lock().failure = Some(error.clone());
    }

    /// The changes of one table after a version, and when they were asked for.
    ///
    /// Fails while the last read failed, as the table itself would.
    pub async fn scan(
        &self,
        table: &TableClient,
        clock: &dyn Clock,
        name: &str,
        prefix: &str,
        since: u64,
    ) -> Result<(Delta, Instant), PlatformError> {
        debug_assert!(self.tables.iter().any(|table| table == name));
        if let Some(found) = self.lock().find(name, prefix, since)? {
            return Ok(found);
        }
        let asked = clock.now();
        let delta = match prefix {
            "" => table.scan_page(name, since, PART).await?,
            prefix => table.scan(name, prefix, since).await?,
        };
        Ok((delta, asked))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the changes panics")
    }
}

impl State {
    fn take(&mut self, changed: ChangesResponse, asked: Instant) -> Vec<Row> {
        let version = changed.version;
        if self.version.is_none() {
            self.base = version;
        }
        for row in changed.rows {
            let (table, key) = (row.table.clone(), row.key.clone());
            self.log.push_back(Change { version, table, key, row: Some(row) });
        }
        for (table, key) in changed.deleted {
            self.log.push_back(Change { version, table, key, row: None });
        }
        while self.log.len() > KEPT
            && let Some(old) = self.log.pop_front()
        {
            self.base = self.base.max(old.version);
        }
        self.version = Some(version);
        self.now = changed.now;
        self.asked = Some(asked);
        self.failure = None;
        changed.requested
    }

    /// The changes, or nothing if the log does not reach back so far.
    fn find(
        &self,
        table: &str,
        prefix: &str,
        since: u64,
    ) -> Result<Option<(Delta, Instant)>, PlatformError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let (Some(version), Some(asked)) = (self.version, self.asked) else {
            return Ok(None);
        };
        // Version 0 asks for all rows, also when nothing was ever written.
        if since < self.base || since == 0 {
            return Ok(None);
        }
        let mut delta = Delta {
            rows: Vec::new(),
            deleted: Vec::new(),
            version,
            more: false,
            now: self.now,
        };
        delta.version = version.max(since);
        let newer = self.log.iter().rev().take_while(|change| change.version > since);
        for change in newer {
            let known = delta.rows.iter().any(|row| row.key == change.key)
                || delta.deleted.contains(&change.key);
            if change.table != table || !change.key.starts_with(prefix) || known {
                continue;
            }
            match &change.row {
                Some(row) => delta.rows.push(row.clone()),
                None => delta.deleted.push(change.key.clone()),
            }
        }
        delta.rows.reverse();
        Ok(Some((delta, asked)))
    }
}
