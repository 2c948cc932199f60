//! The client of the transactional table service.
//!
//! A row is a JSON value, identified by its table and key. A transaction atomically
//! checks preconditions and writes rows. The service stamps each written row with a
//! version, which increases over all tables, and with the time of its own clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;
use crate::receive::{client, receive};

/// The path of transactions; all other calls are read-only.
const COMMIT_PATH: &str = "/v1/table/commit";

/// A row as stored by the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The table's name.
    pub table: String,
    /// The row's key within the table.
    pub key: String,
    /// The content, any JSON value.
    pub value: Value,
    /// The version that the row's last write was stamped with.
    pub version: u64,
    /// The time of the last write by the service's clock, in milliseconds.
    pub modified: u64,
}

/// A condition on a row, checked at commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "check")]
pub enum Precondition {
    /// The row does not exist.
    Absent {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
    },
    /// The row exists and has exactly this version.
    Version {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
        /// The required version.
        version: u64,
    },
    /// The row does not exist, or was last written at least this long ago by the
    /// service's clock.
    Idle {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
        /// The minimum time since the last write, in milliseconds.
        millis: u64,
    },
}

/// A write to a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "write")]
pub enum Write {
    /// Creates or replaces the row.
    Put {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
        /// The new content.
        value: Value,
    },
    /// Deletes the row if it exists.
    Delete {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
    },
}

/// A transaction: preconditions and writes that take effect atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// All of these must hold at commit.
    pub checks: Vec<Precondition>,
    /// Applied together if the preconditions hold.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that the row does not exist.
    pub fn require_absent(mut self, table: &str, key: impl Into<String>) -> Self {
        self.checks.push(Precondition::Absent { table: table.into(), key: key.into() });
        self
    }

    /// Requires that the row has exactly this version.
    pub fn require_version(
        mut self,
        table: &str,
        key: impl Into<String>,
        version: u64,
    ) -> Self {
        self.checks.push(Precondition::Version {
            table: table.into(),
            key: key.into(),
            version,
        });
        self
    }

    /// Requires that the row does not exist or was not written for at least `age`.
    pub fn require_idle(
        mut self,
        table: &str,
        key: impl Into<String>,
        age: Duration,
    ) -> Self {
        let millis = age.as_millis() as u64;
        self.checks.push(Precondition::Idle {
            table: table.into(),
            key: key.into(),
            millis,
        });
        self
    }

    /// Creates or replaces a row.
    pub fn put(mut self, table: &str, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write::Put { table: table.into(), key: key.into(), value });
        self
    }

    /// Deletes a row if it exists.
    pub fn delete(mut self, table: &str, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { table: table.into(), key: key.into() });
        self
    }
}

/// The response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum TxnResponse {
    /// The transaction was committed.
    Committed {
        /// The new version of the written rows.
        version: u64,
        /// The service's clock, in milliseconds.
        now: u64,
    },
    /// A precondition did not hold; nothing was written.
    Conflict {
        /// The index of the first precondition that did not hold.
        check: usize,
        /// The current row; `None` if it does not exist.
        row: Option<Row>,
    },
}

/// The changes of a table after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The existing rows that were written after the version.
    pub rows: Vec<Row>,
    /// The keys of the rows that were deleted after the version.
    #[serde(rename = "gone")]
    pub deleted: Vec<String>,
    /// The changes are complete up to this version; the next request continues here.
    pub version: u64,
    /// Whether there are more changes after that version.
    #[serde(default)]
    pub more: bool,
    /// The service's clock, in milliseconds.
    pub now: u64,
}

impl Delta {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.deleted.is_empty()
    }
}

/// A request for the changes of one table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanQuery {
    /// The table's name.
    pub table: String,
    /// Selects keys that start with this; empty for all keys.
    #[serde(default)]
    pub prefix: String,
    /// Selects changes after this version; 0 reads all rows.
    #[serde(default)]
    pub since: u64,
    /// The approximate maximum number of changes to return; changes of one transaction
    /// are not split. `None` for no limit.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// A request for the changes of several tables and for single rows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// The names of the tables whose changes to return.
    pub tables: Vec<String>,
    /// Selects changes after this version.
    pub since: u64,
    /// Rows to return in addition, whether they changed or not.
    #[serde(default)]
    #[serde(rename = "rows")]
    pub row_keys: Vec<RowKey>,
}

/// The response to a [`ChangesQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The existing rows that were written after the version.
    pub rows: Vec<Row>,
    /// The tables and keys of the rows that were deleted after the version.
    #[serde(rename = "gone")]
    pub deleted: Vec<(String, String)>,
    /// Those of [`ChangesQuery::row_keys`] that exist.
    #[serde(rename = "wanted")]
    pub requested: Vec<Row>,
    /// The changes are complete up to this version; the next request continues here.
    pub version: u64,
    /// The service's clock, in milliseconds.
    pub now: u64,
}

/// The table and key of a row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowKey {
    /// The table's name.
    pub table: String,
    /// The row's key.
    pub key: String,
}

#[derive(Deserialize)]
struct GetResponse {
    row: Option<Row>,
}

/// A client of the transactional table service; clones share their traffic counters.
#[derive(Debug, Clone)]
pub struct TableClient {
    base_url: String,
    http: Client,
    traffic: Arc<TrafficCounters>,
}

/// Counts a client's traffic with the table service; bytes are those of bodies, without
/// headers.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Transactions that were sent.
    pub commits: AtomicU64,
    /// Reads that were sent.
    pub reads: AtomicU64,
    /// Bytes of request bodies.
    pub sent_bytes: AtomicU64,
    /// Bytes of response bodies.
    pub received_bytes: AtomicU64,
}

impl TableClient {
    /// Creates a client of the service at `base_url`, such as `http://10.0.0.5:7000`.
    ///
    /// Calls that take longer than `timeout` fail.
    pub fn new(
        base_url: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        Ok(Self {
            base_url: base_url.into(),
            http: client(timeout)?,
            traffic: Arc::default(),
        })
    }

    /// The traffic of this client and its clones.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Commits a transaction.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnResponse, PlatformError> {
        self.traffic.commits.fetch_add(1, Ordering::Relaxed);
        self.call(COMMIT_PATH, txn).await
    }

    /// Reads all rows with a key prefix that changed after a version.
    pub async fn scan(
        &self,
        table: &str,
        prefix: &str,
        since: u64,
    ) -> Result<Delta, PlatformError> {
        let query =
            ScanQuery { table: table.into(), prefix: prefix.into(), since, limit: None };
        self.call("/v1/table/scan", &query).await
    }

    /// Reads one page of the rows that changed after a version.
    ///
    /// Reading a table of thousands of rows at once allocates tens of megabytes, which the
    /// process never returns to the operating system.
    pub async fn scan_page(
        &self,
        table: &str,
        since: u64,
        limit: usize,
    ) -> Result<Delta, PlatformError> {
        let (table, prefix, limit) = (table.into(), String::new(), Some(limit));
        let query = ScanQuery { table, prefix, since, limit };
        self.call("/v1/table/scan", &query).await
    }

    /// Reads the changes of several tables after a version.
    pub async fn changes(
        &self,
        query: &ChangesQuery,
    ) -> Result<ChangesResponse, PlatformError> {
        self.call("/v1/table/changes", query).await
    }

    /// Reads one row; `None` if it does not exist.
    pub async fn get(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<Row>, PlatformError> {
        let row_key = RowKey { table: table.into(), key: key.into() };
        let response: GetResponse = self.call("/v1/table/get", &row_key).await?;
        Ok(response.row)
    }

    async fn call<Q: Serialize, R: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<R, PlatformError> {
        let url = format!("{}{path}", self.base_url);
        let body = serde_json::to_vec(query)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        if path != COMMIT_PATH {
            self.traffic.reads.fetch_add(1, Ordering::Relaxed);
        }
        self.traffic.sent_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        let request = self.http.post(url).header("content-type", "application/json");
        let response = receive(request.body(body)).await?;
        check_status(response.status())?;
        let bytes = response.body();
        self.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        parse_json(bytes)
    }
}

/// Decodes the body of a response with a success status.
///
/// The call has taken effect even if the body can't be decoded, so that it counts as a lost
/// response. If it were reported as a rejection, a write would be repeated.
pub(crate) fn parse_json<R: for<'de> Deserialize<'de>>(
    bytes: &[u8],
) -> Result<R, PlatformError> {
    serde_json::from_slice(bytes)
        .map_err(|error| PlatformError::OutcomeUnknown(error.to_string()))
}

/// Maps a status to an error. 429 and 503 count as rejections without effect: the
/// services return 503 before they process a call.
pub(crate) fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        Ok(())
    } else if status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::TOO_MANY_REQUESTS
    {
        Err(PlatformError::Unavailable(format!("status {status}")))
    } else if status.is_server_error() {
        Err(PlatformError::OutcomeUnknown(format!("status {status}")))
    } else {
        Err(PlatformError::Protocol(format!("status {status}")))
    }
}
