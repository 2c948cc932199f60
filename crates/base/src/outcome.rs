//! Error responses to callers.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server has run the request or will run it.
    NotRun,
    /// A backend server ran the request.
    Ran,
    /// An attempt was sent to a backend server and its result is unknown.
    InDoubt,
}

/// Why a request was refused or failed.
///
/// Daemons encode the code by its position: new ones go to the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The named model, adapter or version is not declared.
    UnknownModel,
    /// The named plain service is not declared.
    UnknownService,
    /// The named kind of request is not declared.
    UnknownKind,
    /// No route matches the request's host and path.
    UnknownRoute,
    /// The request can't be parsed.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller sent no credentials or an invalid key.
    Unauthorised,
    /// The deadline can't be met.
    Deadline,
    /// All queues that accept such requests are full.
    Overloaded,
    /// The caller exceeds its share of an overloaded backend server.
    CallerLimit,
    /// The entry has reached its memory limit.
    EntryFull,
    /// The model is declared, but not loaded on any runner yet.
    NotResident,
    /// No backend server, or no daemon that holds the required claim, is available.
    Unavailable,
    /// The journal, which a non-idempotent request requires, can't be read or written.
    JournalDown,
    /// The request id was used before with a different target or body.
    IdReused,
    /// The request was started before and its result is unknown.
    Started,
    /// The request has crashed backend servers repeatedly and is rejected permanently.
    Poison,
    /// The daemon is shutting down or starting, or can't confirm its configuration; use
    /// another address.
    Leaving,
    /// The deadline passed after the request was sent to a backend server.
    Late,
    /// A backend server's response was interrupted.
    Broken,
    /// The caller cancelled the request.
    Cancelled,
    /// The serving system itself failed.
    Internal,
    /// The caller's account has used up its limit.
    AccountLimit,
}

impl RefusalCode {
    /// The HTTP status for responses with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownModel | Self::UnknownService | Self::UnknownRoute => 404,
            Self::Late => 504,
            Self::UnknownKind | Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::Unauthorised => 401,
            Self::Overloaded | Self::CallerLimit | Self::AccountLimit => 429,
            Self::IdReused | Self::Started => 409,
            Self::Poison => 422,
            Self::Broken => 502,
            Self::Cancelled => 499,
            Self::Internal => 500,
            Self::Deadline
            | Self::EntryFull
            | Self::NotResident
            | Self::Unavailable
            | Self::JournalDown
            | Self::Leaving => 503,
        }
    }

    /// Whether the request would fail again if it were resent unchanged.
    pub fn is_permanent(self) -> bool {
        matches!(
            self,
            Self::UnknownModel
                | Self::UnknownService
                | Self::UnknownKind
                | Self::UnknownRoute
                | Self::BadRequest
                | Self::TooLarge
                | Self::Unauthorised
                | Self::IdReused
                | Self::Poison
        )
    }
}

/// The response to a request that was refused or failed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Why the request was refused or failed.
    pub code: RefusalCode,
    /// An explanation for people, including what they can do about it.
    pub message: String,
    /// How long to wait before a retry; `None` if the refusal suggests no retry.
    #[serde(rename = "retry_after_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, code, message)
    }

    /// Creates a refusal of a request whose result is unknown.
    pub fn in_doubt(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(Outcome::InDoubt, code, message)
    }

    /// Creates a refusal without a retry delay.
    pub fn new(outcome: Outcome, code: RefusalCode, message: impl Into<String>) -> Self {
        Self { outcome, code, message: message.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({:?}): {}", self.code, self.outcome, self.message)
    }
}

impl std::error::Error for Refusal {}
