//! The messages themselves.

use bytes::Bytes;
use chestnut_base::{
    AttemptId, Digest, Fence, MemberId, Refusal, RequestId, RequestSpec, Revision,
    ServerName, VmName,
};
use serde::{Deserialize, Serialize};

/// What one daemon asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run a request on a backend server that the other daemon leads.
    Run(AttemptRequest),
    /// Run a non-idempotent request whose slot the other daemon leads.
    Once(OnceRequest),
    /// Tell what became of a non-idempotent request.
    Lookup(RequestId),
    /// Hand over what changed in the configuration after a revision.
    Config(Revision),
    /// Tell how the other daemon is.
    Status,
    /// Learn that a daemon is leaving and gives up its claims.
    #[serde(rename = "Leaving")]
    ShuttingDown(MemberId),
    /// Learn which requests were in flight when a backend server crashed.
    #[serde(rename = "Blame")]
    ReportSuspects(Vec<CrashSuspect>),
}

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The request's digest.
    pub digest: Digest,
    /// Whether it crashed a second backend server and is refused.
    #[serde(rename = "convicted")]
    pub confirmed: bool,
}

/// One attempt at a request on one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// The number of the attempt.
    pub attempt: AttemptId,
    /// The backend server that was picked.
    pub server: ServerName,
    /// The claim's fence as the asking daemon knows it.
    pub fence: Fence,
    /// The request.
    #[serde(rename = "work")]
    pub request: RequestSpec,
    /// How to call the backend server.
    pub call: HttpCall,
    /// Where to go on if an earlier attempt broke off.
    pub resume: Option<ResumePoint>,
    /// Whether a backend server crashed under an earlier attempt.
    pub suspect: bool,
}

/// The call as the caller made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HttpCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query at the backend server.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The tokens that a caller already has of a broken answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// How many tokens the caller has.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// A non-idempotent request on its way to the lead of its slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OnceRequest {
    /// The request; its id is always present.
    #[serde(rename = "work")]
    pub request: RequestSpec,
    /// How to call the backend server.
    pub call: HttpCall,
}

/// A frame of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The other daemon still works on it; sent when nothing else was for a while.
    #[serde(rename = "Alive")]
    Heartbeat,
    /// The request was admitted and will be dispatched; nothing was sent yet.
    Queued,
    /// The request was not dispatched, and this daemon will not dispatch it.
    ///
    /// Final.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// Whether another backend server may take it, and which are better.
        hint: RetryHint,
    },
    /// The request was handed to the backend server's connection.
    Dispatched,
    /// The backend server answered with a status.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
    },
    /// Tokens of a model's answer.
    Tokens {
        /// The number of the first token in the whole answer, from 0.
        first: u32,
        /// How many tokens the text holds.
        count: u32,
        /// The text.
        text: String,
    },
    /// Bytes of a plain service's answer.
    Chunk(Bytes),
    /// The answer is whole.
    ///
    /// Final. An answer without it was cut off.
    End {
        /// Why the model stopped, in the engine's words; empty for services.
        reason: String,
        /// The load of the backend server after this request.
        load: ServerLoad,
    },
    /// The attempt was handed to the backend server and broke off.
    ///
    /// Final.
    Broken {
        /// Why.
        message: String,
        /// Whether the backend server itself died.
        crashed: bool,
    },
    /// The attempt was cancelled for more urgent work; the rest is to be offered
    /// again from the tokens that were sent.
    ///
    /// Final.
    Preempted {
        /// The load of the backend server after it.
        load: ServerLoad,
    },
    /// The state of a non-idempotent request; the answer to [`PeerRequest::Lookup`].
    ///
    /// Final.
    Once(OnceState),
    /// What changed in the configuration, in the form of the `config` crate.
    ///
    /// Final.
    Config(Option<Bytes>),
    /// The answer to [`PeerRequest::Status`].
    ///
    /// Final.
    Status(DaemonStatus),
    /// The answer to [`PeerRequest::ShuttingDown`] and [`PeerRequest::ReportSuspects`].
    ///
    /// Final.
    #[serde(rename = "Noted")]
    Acknowledged,
}

impl PeerResponse {
    /// Whether no frame follows this one.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Self::Heartbeat
                | Self::Queued
                | Self::Dispatched
                | Self::Head { .. }
                | Self::Tokens { .. }
                | Self::Chunk(_)
        )
    }
}

/// Where a refused request may go instead.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryHint {
    /// Whether trying another backend server is of use.
    #[serde(rename = "elsewhere")]
    pub try_other_server: bool,
    /// The load of the backend server that refused.
    pub load: Option<ServerLoad>,
}

/// How loaded a backend server is, as its lead knows it exactly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that the backend server runs.
    pub running: u32,
    /// Requests that wait at the lead.
    pub queued: u32,
    /// Tokens that running and waiting requests may occupy.
    pub tokens: u64,
    /// The estimated wait of a normal request that comes now, in milliseconds.
    pub wait_ms: u32,
    /// The measured time of an engine step, in microseconds; 0 if not known.
    pub step_us: u32,
}

/// The state of a non-idempotent request in its slot's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OnceState {
    /// The id was never started.
    Unknown,
    /// The request runs now.
    Running,
    /// The request was started and its answer is not known.
    InDoubt,
    /// The request ended; its answer is stored.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body.
        body: Bytes,
    },
    /// The slot's lead can't tell now.
    Unreadable(String),
}

/// How a daemon is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon's VM.
    pub vm: VmName,
    /// This start of the daemon.
    pub member: MemberId,
    /// The revision in force.
    pub revision: Revision,
    /// Whether the daemon is leaving.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// Requests in flight at its entry.
    pub requests: u32,
}
