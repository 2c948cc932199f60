//! Calls of the platform's store, and of other daemons for their copies of it.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnut_edge::{Change, Page, Transaction, TransactionOutcome};
use http::{Request, Response, StatusCode};

use crate::metrics::{Span, Step};
use crate::shared::Shared;
use crate::table_replica::TableChanges;

/// How long the store may take for a call that does not wait for changes.
const CALL_TIME: Duration = Duration::from_millis(1500);

/// The largest answer that is read, in bytes; the store sends 1 MB at most, and
/// Base64 makes a row a third longer.
const ANSWER_LIMIT: usize = 8 << 20;

/// Why a call failed; a transaction may have acted nonetheless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError(pub String);

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the store did not answer ({}); it is asked again", self.0)
    }
}

impl std::error::Error for StoreError {}

/// Commits a transaction.
pub async fn commit(
    shared: &Shared,
    commit: &Transaction,
) -> Result<TransactionOutcome, StoreError> {
    let answer = call(shared, shared.dialect.write_commit(commit), CALL_TIME).await?;
    let (status, body) = (answer.status(), answer.into_body());
    let read = shared.dialect.read_commit(status, &body);
    read.map_err(|error| StoreError(error.to_string()))
}

/// Reads all rows of a table, and the version up to which they are complete.
pub async fn read_table(
    shared: &Shared,
    table: &str,
) -> Result<(Vec<Change>, u64), StoreError> {
    let mut rows: Vec<Change> = Vec::new();
    let mut version = None;
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = rows_after(shared, table, after.as_deref()).await?;
        // The first page is the oldest: changes after it are read again.
        let version = *version.get_or_insert(page.version);
        let more = page.more && !page.rows.is_empty();
        rows.extend(page.rows);
        if !more {
            return Ok((rows, version));
        }
    }
}

async fn rows_after(
    shared: &Shared,
    table: &str,
    after: Option<&str>,
) -> Result<Page, StoreError> {
    let answer = call(shared, shared.dialect.write_scan(table, after), CALL_TIME).await?;
    if answer.status() != StatusCode::OK {
        return Err(StoreError(format!("status {}", answer.status())));
    }
    let page = shared.dialect.read_page(answer.body());
    page.map_err(|error| StoreError(error.to_string()))
}

/// Makes a call.
pub async fn call(
    shared: &Shared,
    request: Request<Bytes>,
    wait: Duration,
) -> Result<Response<Bytes>, StoreError> {
    let store = shared.settings.store_addr;
    let began = shared.now();
    let answer = shared.client.call(store, request, ANSWER_LIMIT, wait).await;
    shared.metrics.observe(Span::Store, shared.now().saturating_duration_since(began));
    match &answer {
        Ok(answer) => shared.metrics.count(Step::Store, answer.status().as_str()),
        Err(_) => shared.metrics.count(Step::Store, "lost"),
    }
    answer.map_err(|fault| StoreError(fault.to_string()))
}

/// What is wanted of another daemon's copy.
#[derive(Debug, Clone, Copy)]
pub struct FetchLimits {
    /// The most bytes that it is to send.
    pub max_bytes: usize,
    /// How long it may take.
    pub timeout: Duration,
}

/// Asks another daemon what changed in its copy of a table.
pub async fn fetch_peer_changes(
    shared: &Shared,
    addr: SocketAddr,
    table: &str,
    after: u64,
    FetchLimits { max_bytes: limit, timeout: wait }: FetchLimits,
) -> Result<TableChanges, StoreError> {
    let uri = format!("/changes/{table}/{after}/{limit}");
    let request = Request::builder().uri(uri).body(Bytes::new());
    let request = request.map_err(|error| StoreError(error.to_string()))?;
    let answer = shared.client.call(addr, request, ANSWER_LIMIT, wait).await;
    let answer = answer.map_err(|fault| StoreError(fault.to_string()))?;
    if answer.status() != StatusCode::OK {
        return Err(StoreError(format!("status {} of a daemon", answer.status())));
    }
    let changes = postcard::from_bytes(answer.body());
    changes.map_err(|error| StoreError(format!("a daemon's changes: {error}")))
}
