//! The traits that a deployment's adapter implements.
//!
//! Each method translates one message and has no side effects: it doesn't wait, retry
//! or decide. The daemon knows of a message only what the returned types contain.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use chestnut_base::Refusal;
use http::{HeaderMap, Request, Response, StatusCode, request, response};

use crate::call::{Attempt, Call, CallError, ResponseHead};
use crate::declared::Declarations;
use crate::order::{EngineReport, Order, OrderResponse};
use crate::server::ServerEntry;
use crate::store::{Delta, Page, Transaction, TransactionOutcome};

/// The longest reason for an error, in characters. A reason may repeat a part of the message,
/// which can be long.
const MAX_REASON_CHARS: usize = 300;

/// A message that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    /// The kind of message; starts the error text.
    pub subject: &'static str,
    /// Why decoding failed.
    pub reason: String,
}

impl DecodeError {
    /// Creates an error about a message of the kind `subject`; a long reason is cut.
    pub fn new(subject: &'static str, reason: impl Display) -> Self {
        let mut reason = reason.to_string();
        if let Some((end, _)) = reason.char_indices().nth(MAX_REASON_CHARS) {
            reason.truncate(end);
            reason.push_str("...");
        }
        Self { subject, reason }
    }
}

impl Display for DecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} can't be decoded ({}); check that the sender follows the documented format",
            self.subject, self.reason
        )
    }
}

impl std::error::Error for DecodeError {}

/// The protocol between callers and the daemon.
pub trait CallerProtocol: Send + Sync {
    /// Parses the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> Result<Call, CallError>;

    /// Builds the response to a request that was refused or failed.
    ///
    /// `id` is the caller's id for the attempt; `None` if it could not be parsed.
    fn write_refusal(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes>;

    /// Parses the query of a directory request; returns the requested name, or `None` if
    /// the query has none.
    fn read_directory_query(&self, query: &str) -> Option<String>;

    /// Builds the response to a directory request: the addresses to connect to, valid
    /// for `ttl`.
    fn write_directory(
        &self,
        addresses: &[std::net::SocketAddr],
        ttl: std::time::Duration,
    ) -> Response<Bytes>;

    /// The path of directory requests, by which callers find the daemons' addresses.
    fn directory_path(&self) -> &'static str;

    /// The path of the platform's readiness probe.
    fn readiness_path(&self) -> &'static str;
}

/// The protocol between the daemon and backend servers.
pub trait BackendProtocol: Send + Sync {
    /// Builds the head of the request to the backend server from the caller's.
    ///
    /// Drops the caller's values of headers that are reserved for the daemon.
    fn write_attempt(&self, call: &request::Parts, attempt: &Attempt) -> request::Parts;

    /// Parses the head of a response.
    fn read_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Builds the headers of the response to the caller from the backend server's.
    fn write_response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Builds the request that sends an order to an engine.
    fn write_order(&self, order: &Order) -> Request<Bytes>;

    /// Interprets the response to an order.
    fn read_order_response(&self, status: StatusCode, head: &HeaderMap) -> OrderResponse;

    /// Builds the request for an engine's report.
    fn write_report_request(&self) -> Request<Bytes>;

    /// Decodes an engine's report.
    fn read_report(&self, body: &Bytes) -> Result<EngineReport, DecodeError>;
}

/// The protocol between the daemon and the platform's store.
pub trait StoreProtocol: Send + Sync {
    /// Builds the request that commits a transaction.
    fn write_commit(&self, transaction: &Transaction) -> Request<Bytes>;

    /// Decodes the response to a transaction; after an error it is unknown whether the
    /// transaction was committed.
    fn read_commit(
        &self,
        status: StatusCode,
        body: &Bytes,
    ) -> Result<TransactionOutcome, DecodeError>;

    /// Builds the request for the rows of a table with keys after `after`; `None` starts
    /// at the first row.
    fn write_scan(&self, table: &str, after: Option<&str>) -> Request<Bytes>;

    /// Decodes the response to a scan.
    fn read_page(&self, body: &Bytes) -> Result<Page, DecodeError>;

    /// Builds the request for the changes of a table after a version (a long poll):
    /// the store responds once there is a change, or after `wait`.
    fn write_changes_request(
        &self,
        table: &str,
        after: u64,
        wait: std::time::Duration,
    ) -> Request<Bytes>;

    /// Decodes the response to a request for changes; `None` if the store no longer has
    /// the history since the requested version.
    fn read_changes(
        &self,
        status: StatusCode,
        body: &Bytes,
    ) -> Result<Option<Delta>, DecodeError>;
}

/// The location and encoding of the declarations and of the backend servers' registry
/// in the store.
pub trait DeclarationSource: Send + Sync {
    /// The table that holds the declarations.
    fn declarations_table(&self) -> &'static str;

    /// The key of the row that holds the declarations.
    fn declarations_key(&self) -> &'static str;

    /// The table that holds the registry, one row per backend server.
    fn servers_table(&self) -> &'static str;

    /// Decodes the declarations.
    fn read_declarations(&self, value: &Bytes) -> Result<Declarations, DecodeError>;

    /// Decodes a registry entry.
    fn read_server(&self, key: &str, value: &Bytes) -> Result<ServerEntry, DecodeError>;
}

/// A deployment's adapter: all of its protocols together.
pub trait Dialect:
    CallerProtocol + BackendProtocol + StoreProtocol + DeclarationSource
{
}

impl<T: CallerProtocol + BackendProtocol + StoreProtocol + DeclarationSource> Dialect
    for T
{
}
