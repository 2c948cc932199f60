//! A caller's request as far as the system reads it.
//!
//! The body and all other headers travel beside it, unread.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use chestnut_base::{AdapterName, ModelName, ServerName};
use serde::{Deserialize, Serialize};

/// The model that a request is for, with an adapter on top if it names one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetModel {
    /// The base model.
    pub model: ModelName,
    /// The adapter on top of it.
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

/// How large a generation is, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The greatest number of tokens of the answer.
    pub output: u32,
}

impl GenerationSize {
    /// The tokens that the generation takes in the KV cache.
    pub fn tokens(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// The part's name; equal names mean equal text.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// A caller's request as far as the system reads it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Call {
    /// The caller's name for this attempt; every retry of the caller has a new one.
    pub id: Option<String>,
    /// The host that the request is addressed to, in lower case, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the caller waits for the whole answer.
    pub budget: Option<Duration>,
    /// The model that is to answer.
    pub target: Option<TargetModel>,
    /// The size of the generation.
    pub size: GenerationSize,
    /// The caller's guess at the number of output tokens; often far off.
    pub estimated_output: Option<u32>,
    /// The prompt's parts, in order; the last belongs to the caller's session.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Why a caller's request can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// A header that must be there is missing.
    Missing(&'static str),
    /// A header's value is malformed.
    Malformed(&'static str),
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(name) => write!(f, "the header {name} is missing; send it"),
            Self::Malformed(name) => {
                write!(f, "the header {name} can't be read; send it as documented")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// What the system adds to a request when it sends it to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The only server that may run the request.
    ///
    /// Addresses of servers that are gone are used again by others.
    pub server: ServerName,
    /// The time that is left for the whole answer.
    pub budget: Duration,
    /// How urgent the request is at the engine; 0 goes first.
    pub priority: u8,
    /// The last event that was passed on, if a broken stream goes on here.
    pub resume_after: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The attempt that is answered, as the server echoes it.
    pub id: Option<String>,
    /// Whether the server says that it did not run the request and never will.
    pub not_run: bool,
    /// Whether another server has the address now.
    pub misdirected: bool,
    /// Whether the answer bears a runner's signature.
    pub signed: bool,
    /// How long the server keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}
