//! The parts of a caller's request and of a backend server's response that the
//! daemon interprets.
//!
//! Bodies and all other headers are forwarded without being parsed.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use chestnut_account::{CredentialError, KeyDigest};
use chestnut_base::{AdapterName, CallerName, ModelName, ServerName};
use serde::{Deserialize, Serialize};

/// The model that a request names, optionally with an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetModel {
    /// The base model.
    pub model: ModelName,
    /// The adapter to apply to the base model.
    pub adapter: Option<AdapterName>,
}

impl Display for TargetModel {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSize {
    /// The length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// The maximum length of the output.
    #[serde(rename = "output")]
    pub max_output_tokens: u32,
}

impl GenerationSize {
    /// The maximum number of KV cache tokens that the generation occupies.
    pub fn max_kv_tokens(self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// A segment of a prompt that several requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the text: equal ids mean equal text.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// The key that a caller sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// None.
    #[default]
    Missing,
    /// Something that is no key.
    Invalid(CredentialError),
    /// A key, by its digest.
    Key(KeyDigest),
}

/// On whose behalf a backend server runs a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// No accounts are declared; the headers pass as the caller sent them.
    Unchecked,
    /// Nobody's: the route is public.
    Public,
    /// A client account's.
    Account(CallerName),
}

/// The parts of a caller's request that the daemon interprets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Call {
    /// The caller's id for this attempt; each retry by the caller has a new one.
    pub id: Option<String>,
    /// The requested host, in lower case, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the caller waits for the complete response.
    pub budget: Option<Duration>,
    /// The requested model; `None` for a request to a plain service.
    pub target: Option<TargetModel>,
    /// The size of the generation; zero if the caller states none.
    pub size: GenerationSize,
    /// The caller's estimate of the number of output tokens; often inaccurate.
    pub estimated_output_tokens: Option<u32>,
    /// The segments of the prompt, in order; the last one is specific to the caller's
    /// session.
    pub parts: Vec<PromptPart>,
    /// Whether the caller resumes a stream.
    pub resuming: bool,
    /// The number of the last event that the caller received, if it resumes a stream and the
    /// number is valid.
    pub resume_after: Option<u64>,
    /// The id of the caller's attempt that got the first event of the stream that this
    /// request resumes.
    pub resumed_id: Option<String>,
    /// The key.
    pub credential: Credential,
}

impl Call {
    /// The tokens that the request counts as; `None` if it states no size.
    pub fn counted_tokens(&self) -> Option<u64> {
        Some(self.size.max_kv_tokens()).filter(|tokens| *tokens > 0)
    }
}

/// A caller's request that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The named header is required and missing.
    Missing(&'static str),
    /// The named header has an invalid value.
    Malformed(&'static str),
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "the header {name} is missing; send it"),
            Self::Malformed(name) => {
                write!(f, "the header {name} is malformed; send it as documented")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// What the daemon adds to a request before it sends it to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The only server that may run the request.
    ///
    /// A new server can reuse the address of one that is gone, so the address alone
    /// does not identify the server.
    pub server: ServerName,
    /// The time left for the complete response.
    pub budget: Duration,
    /// On whose behalf it runs; the caller's key is not passed on.
    pub caller: Caller,
    /// The priority at the engine; 0 is the highest.
    pub priority: u8,
    /// The number of the last event that was forwarded, if the attempt resumes a
    /// broken stream.
    pub resume_after: Option<u64>,
}

/// The id of a request as a backend server's response echoes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum EchoedId {
    /// The response names no request.
    #[default]
    Missing,
    /// The response names one request.
    One(String),
    /// The response has several ids, or one that is no text.
    Ambiguous,
}

/// What the daemon reads from the head of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// The id of the attempt, as echoed by the server.
    pub id: EchoedId,
    /// Whether the server guarantees that it has not run the request and never will.
    pub not_run: bool,
    /// Whether the address now belongs to another server.
    pub misdirected: bool,
    /// Whether the response carries a backend server's signature; a success without one is not
    /// passed on. True for all responses of servers that sign none.
    pub signed: bool,
    /// How long the server keeps an idle connection open, if it announces it.
    pub keep_alive: Option<Duration>,
    /// How many requests the server takes from all daemons together, if it names a limit.
    pub request_limit: Option<RequestRate>,
    /// How long the server wants no requests from this daemon, if it rejected one and asks for
    /// that.
    pub rest: Option<Duration>,
    /// Whether the server shuts down.
    pub leaving: bool,
}

/// A number of requests a second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// A number that is no rate: it is negative or not finite.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InvalidRate(pub f64);

impl RequestRate {
    /// The number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// An equal share of the rate; `parts` of 0 count as 1.
    pub fn divided_by(self, parts: usize) -> Self {
        Self(self.0 / parts.max(1) as f64)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(rate: f64) -> Result<Self, InvalidRate> {
        match rate.is_finite() && rate >= 0.0 {
            true => Ok(Self(rate)),
            false => Err(InvalidRate(rate)),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

impl Display for InvalidRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no rate of requests; name a finite number of 0 or more", self.0)
    }
}

impl std::error::Error for InvalidRate {}
