//! Change feed: reads the changes of the platform's tables once for the whole daemon.
//!
//! Every daemon watches the rows of membership, declarations, ledgers, plans and
//! blocked request digests. If each component read its own tables, each of 2,100
//! daemons would make about 8 reads per poll, and within [`MAX_READS_PER_SECOND`] a
//! change would take 17 s to reach all of them. With one read of all tables per poll it
//! takes 2.1 s.
//! The feed buffers recent changes; each component scans those it has not applied.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use chestnut_base::Clock;
use chestnut_plat::table::RowKey;
use chestnut_plat::{
    ChangesQuery, ChangesResponse, Delta, PlatformError, Row, TableClient,
};

/// Limit on the table reads per second by the polls of all daemons together.
///
/// Half of the 2,000 reads per second that the platform serves; the rest is left for
/// daemon starts, journals and orders.
pub const MAX_READS_PER_SECOND: f64 = 1000.0;

/// Maximum number of changes in the buffer.
///
/// A component that falls further behind reads its whole table again. At full size
/// about three changes arrive per second, so the buffer covers over half an hour.
const MAX_BUFFERED_CHANGES: usize = 8192;

/// Approximate number of rows per page when a whole table is read again.
const PAGE_ROWS: usize = 500;

/// The buffered changes of the tables that every daemon watches.
pub struct ChangeFeed {
    tables: Vec<String>,
    state: Mutex<State>,
}

struct State {
    /// Changes in version order; a row appears once for each change that was read.
    log: VecDeque<Change>,
    /// The log holds all changes after this version up to `version`.
    start_version: u64,
    /// The version up to which the tables were read; absent before the first read.
    version: Option<u64>,
    /// The table service's clock at the last read, in milliseconds.
    table_time: u64,
    /// When the last successful read was sent.
    requested_at: Option<Instant>,
    /// The error of the last read, if it failed.
    failure: Option<PlatformError>,
}

/// A row that was written, or deleted if `row` is absent.
struct Change {
    /// The version of the read that returned the change; the row may be older.
    version: u64,
    table: String,
    key: String,
    row: Option<Row>,
}

impl ChangeFeed {
    /// Creates an empty feed of `tables`.
    pub fn new(tables: &[&str]) -> Self {
        let state = State {
            log: VecDeque::new(),
            start_version: 0,
            version: None,
            table_time: 0,
            requested_at: None,
            failure: None,
        };
        let tables = tables.iter().map(|&name| name.to_owned()).collect();
        Self { tables, state: Mutex::new(state) }
    }

    /// Time between two reads of each daemon when there are `members` daemons.
    pub fn poll_interval(poll: Duration, members: usize) -> Duration {
        poll.max(Duration::from_secs_f64(members as f64 / MAX_READS_PER_SECOND))
    }

    /// Reads the new changes into the feed; returns the rows of `row_keys`.
    pub async fn refresh(
        &self,
        table: &TableClient,
        clock: &dyn Clock,
        row_keys: Vec<RowKey>,
    ) -> Result<Vec<Row>, PlatformError> {
        let since = self.lock().version;
        // The first read only returns the current version: each component then reads
        // its whole table.
        let tables = if since.is_some() { self.tables.clone() } else { Vec::new() };
        let query = ChangesQuery { tables, since: since.unwrap_or(0), row_keys };
        let requested_at = clock.now();
        match table.changes(&query).await {
            Ok(changed) => Ok(self.lock().append(changed, requested_at)),
            Err(error) => {
                self.record_failure(&error);
                Err(error)
            }
        }
    }

    /// Marks the table as unavailable: scans fail with `error` until the next
    /// successful read.
    pub fn record_failure(&self, error: &PlatformError) {
        self.lock().failure = Some(error.clone());
    }

    /// The changes of one table after a version, and when they were requested.
    ///
    /// Reads the table itself if the buffer does not reach back to `since`. Fails
    /// if the last read failed, as a read of the table would.
    pub async fn scan(
        &self,
        table: &TableClient,
        clock: &dyn Clock,
        name: &str,
        prefix: &str,
        since: u64,
    ) -> Result<(Delta, Instant), PlatformError> {
        debug_assert!(self.tables.iter().any(|table| table == name));
        if let Some(buffered) = self.lock().changes_after(name, prefix, since)? {
            return Ok(buffered);
        }
        let requested_at = clock.now();
        let delta = match prefix {
            "" => table.scan_page(name, since, PAGE_ROWS).await?,
            prefix => table.scan(name, prefix, since).await?,
        };
        Ok((delta, requested_at))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the feed's state panics")
    }
}

impl State {
    /// Appends the changes of a read to the log; returns the rows requested by key.
    fn append(&mut self, changed: ChangesResponse, requested_at: Instant) -> Vec<Row> {
        let version = changed.version;
        if self.version.is_none() {
            self.start_version = version;
        }
        for row in changed.rows {
            let (table, key) = (row.table.clone(), row.key.clone());
            self.log.push_back(Change { version, table, key, row: Some(row) });
        }
        for (table, key) in changed.deleted {
            self.log.push_back(Change { version, table, key, row: None });
        }
        while self.log.len() > MAX_BUFFERED_CHANGES
            && let Some(oldest) = self.log.pop_front()
        {
            self.start_version = self.start_version.max(oldest.version);
        }
        self.version = Some(version);
        self.table_time = changed.now;
        self.requested_at = Some(requested_at);
        self.failure = None;
        changed.requested
    }

    /// The changes after `since`, or nothing if the log does not reach back so far.
    fn changes_after(
        &self,
        table: &str,
        prefix: &str,
        since: u64,
    ) -> Result<Option<(Delta, Instant)>, PlatformError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let (Some(version), Some(requested_at)) = (self.version, self.requested_at)
        else {
            return Ok(None);
        };
        // Version 0 requests all rows, even if nothing was ever written.
        if since < self.start_version || since == 0 {
            return Ok(None);
        }
        let mut delta = Delta {
            rows: Vec::new(),
            deleted: Vec::new(),
            version,
            more: false,
            now: self.table_time,
        };
        delta.version = version.max(since);
        let newer = self.log.iter().rev().take_while(|change| change.version > since);
        for change in newer {
            // Newest first: an older change of the same row is superseded.
            let superseded = delta.rows.iter().any(|row| row.key == change.key)
                || delta.deleted.contains(&change.key);
            if change.table != table || !change.key.starts_with(prefix) || superseded {
                continue;
            }
            match &change.row {
                Some(row) => delta.rows.push(row.clone()),
                None => delta.deleted.push(change.key.clone()),
            }
        }
        delta.rows.reverse();
        Ok(Some((delta, requested_at)))
    }
}
