//! How a deployment's adapter translates.
//!
//! Every method is a pure translation of one message. Nothing here waits, retries
//! or decides; whatever the daemon does not know by these types it does not use.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use chestnut_base::Refusal;
use http::{HeaderMap, Request, Response, StatusCode, request, response};

use crate::call::{Attempt, Call, CallError, ResponseHead};
use crate::declared::Declarations;
use crate::order::{EngineReport, Order, OrderResponse};
use crate::server::ServerEntry;
use crate::store::{Delta, Page, Transaction, TransactionOutcome};

/// A message from outside that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    /// What was read.
    pub subject: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl DecodeError {
    /// Creates an error about a kind of message.
    pub fn new(subject: &'static str, reason: impl Display) -> Self {
        Self { subject, reason: reason.to_string() }
    }
}

impl Display for DecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} can't be read ({}); check that its writer follows the documented form",
            self.subject, self.reason
        )
    }
}

impl std::error::Error for DecodeError {}

/// The callers' protocol.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> Result<Call, CallError>;

    /// Writes the answer to a request that was refused or failed.
    ///
    /// `id` is the caller's name for the attempt, if it could be read.
    fn write_refusal(&self, refusal: &Refusal, id: Option<&str>) -> Response<Bytes>;

    /// The caller that asks where to connect: the name it asks for.
    fn read_directory_query(&self, query: &str) -> Option<String>;

    /// Writes the addresses to connect to, and for how long they hold.
    fn write_directory(
        &self,
        addresses: &[std::net::SocketAddr],
        ttl: std::time::Duration,
    ) -> Response<Bytes>;

    /// The path at which callers ask where to connect.
    fn directory_path(&self) -> &'static str;

    /// The path at which the platform asks whether the daemon is ready.
    fn readiness_path(&self) -> &'static str;
}

/// The backend servers' protocol.
pub trait BackendProtocol: Send + Sync {
    /// Writes the head of the request that is sent for an attempt.
    ///
    /// Headers of the caller that are the system's to set are dropped.
    fn write_attempt(&self, call: &request::Parts, attempt: &Attempt) -> request::Parts;

    /// Reads the head of an answer.
    fn read_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Writes the headers of the answer to the caller.
    fn write_response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Writes an order to an engine.
    fn write_order(&self, order: &Order) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order_response(&self, status: StatusCode, head: &HeaderMap) -> OrderResponse;

    /// Writes the question for an engine's report.
    fn write_report_request(&self) -> Request<Bytes>;

    /// Reads an engine's report.
    fn read_report(&self, body: &Bytes) -> Result<EngineReport, DecodeError>;
}

/// The protocol of the platform's store.
pub trait StoreProtocol: Send + Sync {
    /// Writes a transaction.
    fn write_commit(&self, commit: &Transaction) -> Request<Bytes>;

    /// Reads the answer to a transaction; an error leaves open whether it acted.
    fn read_commit(
        &self,
        status: StatusCode,
        body: &Bytes,
    ) -> Result<TransactionOutcome, DecodeError>;

    /// Asks for the rows of a table from a key on.
    fn write_scan(&self, table: &str, after: Option<&str>) -> Request<Bytes>;

    /// Reads rows of a table.
    fn read_page(&self, body: &Bytes) -> Result<Page, DecodeError>;

    /// Asks for changes of a table after a version; the store answers once there
    /// is one, or after `wait`.
    fn write_changes_request(
        &self,
        table: &str,
        after: u64,
        wait: std::time::Duration,
    ) -> Request<Bytes>;

    /// Reads changes; nothing if the store no longer has the history.
    fn read_changes(
        &self,
        status: StatusCode,
        body: &Bytes,
    ) -> Result<Option<Delta>, DecodeError>;
}

/// Where declarations and the registry of backend servers come from.
pub trait DeclarationSource: Send + Sync {
    /// The table of the store that holds the declarations.
    fn declarations_table(&self) -> &'static str;

    /// The key under which they lie.
    fn declarations_key(&self) -> &'static str;

    /// The table of the store that is the registry of backend servers.
    fn servers_table(&self) -> &'static str;

    /// Reads declarations.
    fn read_declarations(&self, value: &Bytes) -> Result<Declarations, DecodeError>;

    /// Reads an entry of the registry.
    fn read_server(&self, key: &str, value: &Bytes) -> Result<ServerEntry, DecodeError>;
}

/// A deployment's adapter.
pub trait Dialect:
    CallerProtocol + BackendProtocol + StoreProtocol + DeclarationSource
{
}

impl<T: CallerProtocol + BackendProtocol + StoreProtocol + DeclarationSource> Dialect
    for T
{
}
