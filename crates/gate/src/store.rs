//! Calls of the platform's store.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bytes::Bytes;
use chestnut_edge::{Commit, CommitAnswer, Page};
use http::{Request, Response, StatusCode};

use crate::shared::Shared;

/// How long the store may take for a call that does not wait for changes.
const CALL_TIME: Duration = Duration::from_millis(1500);

/// The largest answer that is read, in bytes; the store sends 1 MB at most, and
/// Base64 makes a row a third longer.
const ANSWER_LIMIT: usize = 8 << 20;

/// Why a call failed; a transaction may have acted nonetheless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreFault(pub String);

impl Display for StoreFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the store did not answer ({}); it is asked again", self.0)
    }
}

impl std::error::Error for StoreFault {}

/// Commits a transaction.
pub async fn commit(
    shared: &Shared,
    commit: &Commit,
) -> Result<CommitAnswer, StoreFault> {
    let answer = call(shared, shared.dialect.write_commit(commit), CALL_TIME).await?;
    let (status, body) = (answer.status(), answer.into_body());
    let read = shared.dialect.read_commit(status, &body);
    read.map_err(|error| StoreFault(error.to_string()))
}

/// Reads rows of a table from a key on.
pub async fn rows(
    shared: &Shared,
    table: &str,
    after: Option<&str>,
) -> Result<Page, StoreFault> {
    let answer = call(shared, shared.dialect.ask_rows(table, after), CALL_TIME).await?;
    if answer.status() != StatusCode::OK {
        return Err(StoreFault(format!("status {}", answer.status())));
    }
    let page = shared.dialect.read_rows(answer.body());
    page.map_err(|error| StoreFault(error.to_string()))
}

/// Makes a call.
pub async fn call(
    shared: &Shared,
    request: Request<Bytes>,
    wait: Duration,
) -> Result<Response<Bytes>, StoreFault> {
    let store = shared.settings.store;
    let answer = shared.client.call(store, request, ANSWER_LIMIT, wait).await;
    answer.map_err(|fault| StoreFault(fault.to_string()))
}
