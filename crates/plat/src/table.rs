//! The client of the transactional table service.
//!
//! A row is a JSON value under a table's name and a key. A transaction checks
//! rows and then writes rows, all or nothing. The service stamps each row with
//! a version that grows over the whole service and with its own clock's time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;

/// The path of transactions; all other calls only read.
const COMMIT: &str = "/v1/table/commit";

/// A row as the service keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The table's name.
    pub table: String,
    /// The row's key within the table.
    pub key: String,
    /// The content.
    pub value: Value,
    /// The version of the service at the row's last write.
    pub version: u64,
    /// The time of the last write by the service's clock, in milliseconds.
    pub modified: u64,
}

/// A condition on a row, checked when the transaction commits.
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
    /// The row exists with just this version.
    Version {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
        /// The version the row must have.
        version: u64,
    },
    /// The row is absent or was not written for some time by the service's clock.
    Idle {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
        /// The least age of the row, in milliseconds.
        millis: u64,
    },
}

/// A change of a row.
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
    /// Removes the row if it exists.
    Delete {
        /// The table's name.
        table: String,
        /// The row's key.
        key: String,
    },
}

/// Checks and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// What must hold.
    pub checks: Vec<Precondition>,
    /// What is written if all checks hold.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that the row does not exist.
    pub fn absent(mut self, table: &str, key: impl Into<String>) -> Self {
        self.checks.push(Precondition::Absent { table: table.into(), key: key.into() });
        self
    }

    /// Requires that the row has just this version.
    pub fn version(mut self, table: &str, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(Precondition::Version {
            table: table.into(),
            key: key.into(),
            version,
        });
        self
    }

    /// Requires that the row is absent or was not written for `age`.
    pub fn idle(mut self, table: &str, key: impl Into<String>, age: Duration) -> Self {
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

    /// Removes a row.
    pub fn delete(mut self, table: &str, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { table: table.into(), key: key.into() });
        self
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum TxnResponse {
    /// All checks held and all writes took effect.
    Committed {
        /// The version of the rows that were written.
        version: u64,
        /// The service's clock, in milliseconds.
        now: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The index of the first check that failed.
        check: usize,
        /// The row as it is, if it exists.
        row: Option<Row>,
    },
}

/// The rows of a table that changed after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The rows that exist and were written after the version.
    pub rows: Vec<Row>,
    /// The keys of rows that were removed after the version.
    #[serde(rename = "gone")]
    pub deleted: Vec<String>,
    /// The version up to which this is complete; ask from here next.
    pub version: u64,
    /// Whether there are changes after that version.
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

/// What a read asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanQuery {
    /// The table's name.
    pub table: String,
    /// Only keys that start with this.
    #[serde(default)]
    pub prefix: String,
    /// Only changes after this version; 0 reads all rows.
    #[serde(default)]
    pub since: u64,
    /// About how many changes are wanted at once; those of one transaction stay
    /// together. All of them if absent.
    #[serde(default)]
    pub limit: Option<usize>,
}

/// What a read of several tables at once asks for.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// The tables' names.
    pub tables: Vec<String>,
    /// Only changes after this version.
    pub since: u64,
    /// Rows that are wanted whether they changed or not.
    #[serde(default)]
    #[serde(rename = "rows")]
    pub row_keys: Vec<RowKey>,
}

/// What changed in several tables after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The rows that exist and were written after the version.
    pub rows: Vec<Row>,
    /// The tables and keys of rows that were removed after the version.
    #[serde(rename = "gone")]
    pub deleted: Vec<(String, String)>,
    /// The rows that were wanted besides and exist.
    #[serde(rename = "wanted")]
    pub requested: Vec<Row>,
    /// The version up to which this is complete; ask from here next.
    pub version: u64,
    /// The service's clock, in milliseconds.
    pub now: u64,
}

/// Which row a read asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowKey {
    /// The table's name.
    pub table: String,
    /// The row's key.
    pub key: String,
}

#[derive(Deserialize)]
struct Found {
    row: Option<Row>,
}

/// The client of the transactional table service.
#[derive(Debug, Clone)]
pub struct TableClient {
    base: String,
    http: Client,
    traffic: Arc<TrafficCounters>,
}

/// How much a client has asked of the table service, bodies only.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Transactions that were sent.
    pub commits: AtomicU64,
    /// Reads that were sent.
    pub reads: AtomicU64,
    /// Bytes of bodies that were sent.
    pub sent: AtomicU64,
    /// Bytes of bodies that were received.
    pub received: AtomicU64,
}

impl TableClient {
    /// Creates a client of the service at `base`, such as `http://10.0.0.5:7000`.
    ///
    /// Calls that take longer than `timeout` fail.
    pub fn new(
        base: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        let http = Client::builder().timeout(timeout).no_proxy().build()?;
        Ok(Self { base: base.into(), http, traffic: Arc::default() })
    }

    /// How much this client and its clones have asked of the service.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Commits a transaction.
    pub async fn commit(&self, txn: &Txn) -> Result<TxnResponse, PlatformError> {
        self.traffic.commits.fetch_add(1, Ordering::Relaxed);
        self.call(COMMIT, txn).await
    }

    /// Reads the rows that changed after a version.
    pub async fn scan(
        &self,
        table: &str,
        prefix: &str,
        since: u64,
    ) -> Result<Delta, PlatformError> {
        let scan =
            ScanQuery { table: table.into(), prefix: prefix.into(), since, limit: None };
        self.call("/v1/table/scan", &scan).await
    }

    /// Reads the first of the rows that changed after a version.
    ///
    /// A table of thousands of rows, read at once, takes tens of megabytes that the
    /// process never gives back.
    pub async fn scan_page(
        &self,
        table: &str,
        since: u64,
        limit: usize,
    ) -> Result<Delta, PlatformError> {
        let (table, prefix, limit) = (table.into(), String::new(), Some(limit));
        let scan = ScanQuery { table, prefix, since, limit };
        self.call("/v1/table/scan", &scan).await
    }

    /// Reads what changed in several tables after a version.
    pub async fn changes(
        &self,
        changes: &ChangesQuery,
    ) -> Result<ChangesResponse, PlatformError> {
        self.call("/v1/table/changes", changes).await
    }

    /// Reads one row.
    pub async fn get(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<Row>, PlatformError> {
        let lookup = RowKey { table: table.into(), key: key.into() };
        let found: Found = self.call("/v1/table/get", &lookup).await?;
        Ok(found.row)
    }

    async fn call<Q: Serialize, A: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, PlatformError> {
        let url = format!("{}{path}", self.base);
        let body = serde_json::to_vec(question)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        if path != COMMIT {
            self.traffic.reads.fetch_add(1, Ordering::Relaxed);
        }
        self.traffic.sent.fetch_add(body.len() as u64, Ordering::Relaxed);
        let call = self.http.post(url).header("content-type", "application/json");
        let answer = call.body(body).send().await?;
        check_status(answer.status())?;
        let bytes = answer.bytes().await.map_err(response_lost)?;
        self.traffic.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        parse_json(&bytes)
    }
}

/// Reads an answer that says the call took effect.
///
/// An answer that broke off or can't be read does not undo the call, so that
/// both count as lost; to take them for a refusal would run a write twice.
pub(crate) async fn read_json<A: for<'de> Deserialize<'de>>(
    answer: reqwest::Response,
) -> Result<A, PlatformError> {
    parse_json(&answer.bytes().await.map_err(response_lost)?)
}

fn parse_json<A: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<A, PlatformError> {
    serde_json::from_slice(bytes)
        .map_err(|error| PlatformError::OutcomeUnknown(error.to_string()))
}

/// An answer that broke off after its status.
pub(crate) fn response_lost(error: reqwest::Error) -> PlatformError {
    PlatformError::OutcomeUnknown(error.to_string())
}

/// Turns a status into an error; the services answer 503 before they do anything.
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
