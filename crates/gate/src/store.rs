//! Calls to the platform's store, and to other daemons for their replicas of its tables.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnut_edge::{Change, Page, Transaction, TransactionOutcome};
use http::{Request, Response, StatusCode};

use crate::client::CallLimits;
use crate::metrics::{Span, Step};
use crate::shared::Shared;
use crate::table_replica::TableChanges;

/// Time limit of a store call that doesn't wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The largest response body that is read. The store sends 1 MB at most, and Base64 makes
/// a row a third longer.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a call failed. A transaction may have taken effect nonetheless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError(pub String);

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the call to the store failed ({}); it is retried", self.0)
    }
}

impl std::error::Error for StoreError {}

/// Commits a transaction. After an error it is unknown whether it took effect.
pub async fn commit(
    shared: &Shared,
    transaction: &Transaction,
) -> Result<TransactionOutcome, StoreError> {
    let response =
        call(shared, shared.dialect.write_commit(transaction), CALL_TIMEOUT).await?;
    let (status, body) = (response.status(), response.into_body());
    let outcome = shared.dialect.read_commit(status, &body);
    outcome.map_err(|error| StoreError(error.to_string()))
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
        // The first page is the oldest; changes made after it are read again later.
        let version = *version.get_or_insert(page.version);
        let more = page.has_more && !page.rows.is_empty();
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
    let response =
        call(shared, shared.dialect.write_scan(table, after), CALL_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(StoreError(format!("status {}", response.status())));
    }
    let page = shared.dialect.read_page(response.body());
    page.map_err(|error| StoreError(error.to_string()))
}

/// Sends a request to the store and records its duration and status.
pub async fn call(
    shared: &Shared,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, StoreError> {
    let store = shared.settings.store_addr;
    let started_at = shared.now();
    let limits = CallLimits { max_bytes: MAX_RESPONSE_BYTES, head_timeout: timeout };
    let response = shared.store_client.call(store, request, limits).await;
    shared
        .metrics
        .observe(Span::Store, shared.now().saturating_duration_since(started_at));
    match &response {
        Ok(response) => shared.metrics.count(Step::Store, response.status().as_str()),
        Err(_) => shared.metrics.count(Step::Store, "lost"),
    }
    response.map_err(|error| StoreError(error.to_string()))
}

/// Limits of a request for another daemon's changes.
#[derive(Debug, Clone, Copy)]
pub struct FetchLimits {
    /// The largest response that the other daemon may send, in bytes.
    pub max_bytes: usize,
    /// How long the request may take.
    pub timeout: Duration,
}

/// Fetches the changes after a version from another daemon's replica of a table.
pub async fn fetch_peer_changes(
    shared: &Shared,
    addr: SocketAddr,
    table: &str,
    after: u64,
    FetchLimits { max_bytes: limit, timeout }: FetchLimits,
) -> Result<TableChanges, StoreError> {
    let uri = format!("/changes/{table}/{after}/{limit}");
    let request = Request::builder().uri(uri).body(Bytes::new());
    let request = request.map_err(|error| StoreError(error.to_string()))?;
    let limits = CallLimits { max_bytes: MAX_RESPONSE_BYTES, head_timeout: timeout };
    let response = shared.store_client.call(addr, request, limits).await;
    let response = response.map_err(|error| StoreError(error.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(StoreError(format!("peer returned status {}", response.status())));
    }
    let changes = postcard::from_bytes(response.body());
    changes.map_err(|error| StoreError(format!("invalid changes from a peer: {error}")))
}
