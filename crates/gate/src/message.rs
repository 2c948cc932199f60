//! Datagrams between daemons.
//!
//! Each stands for itself: sums are whole, questions carry a number, and whatever
//! is lost is repeated or done without.

use chestnut_base::{MemberId, ModelName, ServerName, ServiceName};
use chestnut_edge::TargetModel;
use chestnut_pool::moves::Move;
use chestnut_pool::timing::LearnedTimings;
use chestnut_pool::{
    Bid, DemandCounts, GenerationRequest, PermitOutcome, PlainRequest, Usage,
};
use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The start of the daemon that sent it.
    pub from: MemberId,
    /// What it says.
    pub message: Message,
}

/// What a datagram says.
///
/// Kinds are told apart by their order: new ones come last, so that daemons of two versions
/// understand each other while one replaces the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The daemon lives.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// What the daemon has in flight at a runner that the receiver holds.
    #[serde(rename = "Sum")]
    UsageReport {
        /// The runner.
        server: ServerName,
        /// All that the daemon has in flight there.
        usage: Usage,
        /// The model of a request that was just sent.
        target: Option<TargetModel>,
        /// The first event of a request that was asked for with `Take`.
        #[serde(rename = "begun")]
        first_event: Option<FirstEvent>,
    },
    /// Asks how soon runners that the receiver holds would answer.
    #[serde(rename = "Ask")]
    BidRequest {
        /// Names the question in the answer.
        number: u64,
        /// The runners.
        servers: Vec<ServerName>,
        /// What the request needs.
        #[serde(rename = "want")]
        request: GenerationRequest,
    },
    /// Answers `Ask`.
    Bids {
        /// The question's number.
        number: u64,
        /// The estimates; runners that the daemon does not hold are left out.
        bids: Vec<(ServerName, Bid)>,
    },
    /// Asks when a runner that the receiver holds can be sent a request.
    ///
    /// Repeated while the answer is awaited; the number names the request.
    #[serde(rename = "Take")]
    AdmissionRequest {
        /// Names the request.
        number: u64,
        /// The runner.
        server: ServerName,
        /// What the request needs.
        #[serde(rename = "want")]
        request: GenerationRequest,
        /// Whether the runner has just said that it does not have the adapter.
        #[serde(rename = "missed")]
        adapter_missing: bool,
    },
    /// Answers `Take`.
    #[serde(rename = "Taken")]
    AdmissionResponse {
        /// The request's number.
        number: u64,
        /// What became of it.
        verdict: AdmissionVerdict,
    },
    /// A request that was asked for with `Take` is not sent after all.
    #[serde(rename = "Leave")]
    Withdrawal {
        /// The request's number.
        number: u64,
        /// The runner.
        server: ServerName,
    },
    /// Asks for a place at a server of a plain service whose queue the receiver holds.
    ///
    /// Repeated while the answer is awaited; the number names the request.
    #[serde(rename = "Enqueue")]
    PermitRequest {
        /// Names the request.
        number: u64,
        /// The service.
        service: ServiceName,
        /// What the request needs.
        #[serde(rename = "want")]
        request: PlainRequest,
    },
    /// Answers `Enqueue`.
    #[serde(rename = "Dequeued")]
    PermitResponse {
        /// The request's number.
        number: u64,
        /// What became of it.
        verdict: PermitVerdict,
    },
    /// A request that was asked for with `Enqueue` needs its place no more.
    #[serde(rename = "Finished")]
    PermitRelease {
        /// The request's number.
        number: u64,
        /// The service.
        service: ServiceName,
        /// What came of it.
        outcome: PermitOutcome,
    },
    /// What callers have asked of a service's models, to the planner; in parts, since all
    /// models may be too many for a datagram.
    #[serde(rename = "Demand")]
    DemandReport {
        /// The service.
        service: ServiceName,
        /// The number of the part.
        part: usize,
        /// What was asked for since the daemon's start, by model.
        #[serde(rename = "asked")]
        demand: Vec<(ModelName, DemandCounts)>,
        /// Servers that the daemon can't connect to.
        #[serde(rename = "lost")]
        unreachable: Vec<ServerName>,
        /// What it has learnt of its runners since it last told.
        #[serde(rename = "learnt")]
        learned: Option<LearnedTimings>,
    },
    /// The planner asks a runner's holder to change what the runner holds.
    Move(Move),
    /// The holder could not make a move.
    #[serde(rename = "Failed")]
    MoveFailed(Move),
    /// What the daemon knows of the store's tables, when that has just changed.
    #[serde(rename = "News")]
    TableUpdate(Vec<TableFreshness>),
}

/// The first event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstEvent {
    /// The request's number.
    pub number: u64,
    /// How long after its sending the event came, in milliseconds.
    pub after_ms: u32,
}

/// What becomes of a request that waits to be sent to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionVerdict {
    /// It waits.
    Queued,
    /// It is to be sent now.
    Send,
    /// It can't be sent to this runner.
    Denied,
    /// The daemon that was asked does not hold the runner.
    Moved,
}

/// What becomes of a request that waits for a place at a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// It waits.
    Queued,
    /// It is to be sent to this server now.
    Send(ServerName),
    /// There is room only after this time in milliseconds, which its caller won't wait.
    Full(u32),
    /// No server takes requests.
    Nowhere,
    /// Another daemon holds the queue.
    Moved,
}

/// The daemon lives.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether it was told to stop.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// The daemons that it has heard from lately.
    ///
    /// All of them: daemons that have lately been cut off from the store differ in who
    /// watches whom, and would remove each other's rows without the word of the rest.
    #[serde(rename = "heard")]
    pub heard_from: Vec<MemberId>,
    /// What it knows of the store's tables.
    pub tables: Vec<TableFreshness>,
}

/// What a daemon knows of one of the store's tables: the version, and how many
/// milliseconds ago the store confirmed it.
pub type TableFreshness = Option<(u64, u32)>;
