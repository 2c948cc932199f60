//! What a caller is told when it does not get its answer.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No attempt was ever handed to a backend server's connection.
    NotRun,
    /// A backend server ran the request.
    Ran,
    /// An attempt was handed over and its end is not known.
    InDoubt,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No model, adapter or version of that name is declared.
    UnknownModel,
    /// No plain service of that name is declared.
    UnknownService,
    /// No kind of request of that name is declared.
    UnknownKind,
    /// No route leads from the request's host and path to a service.
    UnknownRoute,
    /// The request can't be read.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The caller did not say who it is, or with a wrong key.
    Unauthorised,
    /// The deadline can't be met.
    Deadline,
    /// All queues that could take the request are full.
    Overloaded,
    /// The caller has used up its share.
    CallerLimit,
    /// The entry's own memory limit is reached.
    EntryFull,
    /// The model is declared and not resident yet.
    NotResident,
    /// No backend server answers.
    Unavailable,
    /// The journal can't be written, so a non-idempotent request may not start.
    JournalDown,
    /// The id was used before with another body.
    IdReused,
    /// The request was started before and its answer is not known.
    Started,
    /// The request crashed backend servers before and is refused for good.
    Poison,
    /// The daemon is leaving or not up to date; use another address.
    Leaving,
    /// The time ran out after the request was handed over.
    Late,
    /// The backend server broke off.
    Broken,
    /// The caller cancelled the request.
    Cancelled,
    /// The system itself failed.
    Internal,
}

impl RefusalCode {
    /// The HTTP status that carries the code.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownModel | Self::UnknownService | Self::UnknownRoute => 404,
            Self::Late => 504,
            Self::UnknownKind | Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::Unauthorised => 401,
            Self::Overloaded | Self::CallerLimit => 429,
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

    /// Whether the same request may succeed when it is sent again later.
    pub fn is_final(self) -> bool {
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

/// The answer to a request that was refused or failed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub code: RefusalCode,
    /// A sentence for people that names the remedy.
    pub message: String,
    /// How long to wait before sending again; absent if that is of no use.
    #[serde(rename = "retry_after_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, code, message)
    }

    /// Creates a refusal of a request whose end is not known.
    pub fn in_doubt(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(Outcome::InDoubt, code, message)
    }

    /// Creates a refusal.
    pub fn new(outcome: Outcome, code: RefusalCode, message: impl Into<String>) -> Self {
        Self { outcome, code, message: message.into(), retry_after: None }
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({:?}): {}", self.code, self.outcome, self.message)
    }
}

impl std::error::Error for Refusal {}
