//! The messages between daemons.
//!
//! The lead of a backend server or slot is the daemon that holds the claim on it.
//!
//! `postcard` encodes variants and fields by their position: reordering them breaks
//! compatibility.

use bytes::Bytes;
use chestnut_account::{Slice, Verdict};
use chestnut_base::{
    AttemptId, Digest, Fence, MemberId, Refusal, RequestId, RequestSpec, Revision,
    ServerName, VmName,
};
use serde::{Deserialize, Serialize};

/// A request from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs an attempt on a backend server that the receiver leads.
    Run(AttemptRequest),
    /// Runs a non-idempotent request whose slot the receiver leads.
    Once(OnceRequest),
    /// Looks up the state of a non-idempotent request.
    Lookup(RequestId),
    /// Requests the changes to the configuration after a revision.
    Config(Revision),
    /// Requests the receiver's status.
    Status,
    /// Announces that a daemon is shutting down and releases its claims.
    #[serde(rename = "Leaving")]
    ShuttingDown(MemberId),
    /// Reports the requests that were in flight when a backend server crashed.
    #[serde(rename = "Blame")]
    ReportSuspects(Vec<CrashSuspect>),
    /// Charges a request to a slice of its caller's limit, which the receiver holds.
    Charge(ChargeRequest),
    /// Gives back the cost of an earlier charge; the cost in the request is not used.
    Refund(ChargeRequest),
}

/// A charge to a slice of a caller's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// The daemon that received the caller's request.
    pub member: MemberId,
    /// The number of the charge at that daemon.
    pub number: u64,
    /// The slice.
    pub slice: Slice,
    /// What the request counts, in the units of the limit.
    pub cost: f64,
}

/// A request that was in flight when a backend server crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Identifies the request by its target and body.
    pub digest: Digest,
    /// Whether it crashed a second backend server and is rejected from now on.
    #[serde(rename = "convicted")]
    pub confirmed: bool,
}

/// A request to run one attempt on one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The selected backend server.
    pub server: ServerName,
    /// The fence of the claim on the server, in the sender's view.
    pub fence: Fence,
    /// The metadata of the request.
    #[serde(rename = "work")]
    pub request: RequestSpec,
    /// The HTTP request to the backend server.
    pub call: HttpCall,
    /// Where to resume if an earlier attempt was interrupted.
    pub resume: Option<ResumePoint>,
    /// Whether a backend server crashed during an earlier attempt.
    pub suspect: bool,
}

/// The caller's HTTP request, as sent to the backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HttpCall {
    /// The request method.
    pub method: String,
    /// The path and query on the backend server.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The complete request body.
    pub body: Bytes,
}

/// The part of an interrupted response that the caller has already received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The number of tokens.
    pub tokens: u32,
    /// The text of the tokens.
    pub text: String,
}

/// A request to run a non-idempotent request at the lead of its slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OnceRequest {
    /// The metadata of the request; its id is always present.
    #[serde(rename = "work")]
    pub request: RequestSpec,
    /// The HTTP request to the backend server.
    pub call: HttpCall,
}

/// A frame of the response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The request is still in progress; sent while there is no other frame to send.
    #[serde(rename = "Alive")]
    Heartbeat,
    /// The request was admitted and waits to be dispatched.
    Queued,
    /// The request was refused or failed.
    ///
    /// Final.
    Refused {
        /// The reason, the retry delay, and whether the request may have run.
        refusal: Refusal,
        /// Whether to retry at another backend server, and the load of this one.
        hint: RetryHint,
    },
    /// The request is about to be sent to the backend server, so that it may run from now
    /// on.
    Dispatched,
    /// The backend server sent the head of its response.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
    },
    /// Tokens of a model's response.
    Tokens {
        /// The index of the first token in the complete response, from 0.
        first: u32,
        /// The number of tokens in the text.
        count: u32,
        /// The text of the tokens.
        text: String,
    },
    /// Part of the body of a plain service's response.
    Chunk(Bytes),
    /// The backend server's response is complete.
    ///
    /// Final. A response without this frame was truncated.
    End {
        /// The engine's finish reason; empty for plain services.
        reason: String,
        /// The load of the backend server after the request.
        load: ServerLoad,
    },
    /// The attempt was sent to the backend server and was interrupted.
    ///
    /// Final.
    Broken {
        /// The cause.
        message: String,
        /// Whether the backend server crashed.
        crashed: bool,
    },
    /// The attempt was cancelled in favour of a more urgent request; the requesting daemon
    /// is to resume it after the tokens that it has received.
    ///
    /// Final.
    Preempted {
        /// The load of the backend server after the cancellation.
        load: ServerLoad,
    },
    /// The response to [`PeerRequest::Lookup`].
    ///
    /// Final.
    Once(OnceState),
    /// The response to [`PeerRequest::Config`]: the changes as JSON. Never `None`; the
    /// `Option` is part of the encoding.
    ///
    /// Final.
    Config(Option<Bytes>),
    /// The response to [`PeerRequest::Status`].
    ///
    /// Final.
    Status(DaemonStatus),
    /// The response to [`PeerRequest::ShuttingDown`], [`PeerRequest::ReportSuspects`] and
    /// [`PeerRequest::Refund`].
    ///
    /// Final.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The response to [`PeerRequest::Charge`].
    ///
    /// Final.
    Charged(Verdict),
}

impl PeerResponse {
    /// Whether this is the last frame of the response.
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

/// How to retry a refused request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryHint {
    /// Whether another backend server may accept the request.
    #[serde(rename = "elsewhere")]
    pub try_other_server: bool,
    /// The load of the backend server at which the request was refused.
    pub load: Option<ServerLoad>,
}

/// The load of a backend server, as counted by its lead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that are running on the backend server.
    pub running: u32,
    /// Requests that are queued at the lead.
    pub queued: u32,
    /// The maximum number of KV cache tokens that running and queued requests occupy.
    pub tokens: u64,
    /// The estimated queueing time of a new request of normal urgency, in milliseconds.
    pub wait_ms: u32,
    /// The measured time of an engine step, in microseconds; 0 if unknown.
    pub step_us: u32,
}

/// The state of a non-idempotent request in its slot's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OnceState {
    /// No request with the id was started.
    Unknown,
    /// The request is running.
    Running,
    /// The request was started and its result is unknown.
    InDoubt,
    /// The request is complete; holds the stored response.
    Done {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The complete response body.
        body: Bytes,
    },
    /// The state can't be determined at the moment; holds the reason.
    Unreadable(String),
}

/// The state of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// Identifies the run of the daemon.
    pub member: MemberId,
    /// The revision of the configuration that the daemon uses.
    pub revision: Revision,
    /// Whether the daemon is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// Requests in flight that callers sent to this daemon.
    pub requests: u32,
}
