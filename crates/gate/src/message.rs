//! The datagrams between daemons.
//!
//! Each is independent of the others: usage reports hold totals, and requests carry a number
//! that their responses repeat. Lost datagrams are sent again or not needed.
//!
//! `postcard` encodes variants and fields by their position: reordering them breaks
//! compatibility. New variants of [`Message`] go to the end, so that daemons of two versions
//! understand each other during an upgrade.

use chestnut_account::{Slice, Verdict};
use chestnut_base::{
    Digest, Incarnation, MemberId, ModelName, ServerName, ServiceName, SoftwareVersion,
};
use chestnut_crash::{CollectedReport, CrashReport};
use chestnut_edge::{RequestRate, TargetModel};
use chestnut_pool::moves::Move;
use chestnut_pool::origins::OriginRecord;
use chestnut_pool::software::OriginKnowledge;
use chestnut_pool::timing::LearnedTimings;
use chestnut_pool::{
    Bid, DemandCounts, GenerationRequest, PermitOutcome, PlainRequest, Reachability,
    RequestClass, Usage,
};
use serde::{Deserialize, Serialize};

/// A datagram with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sending process; a restarted daemon has a new id.
    pub from: MemberId,
    /// The content.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Shows that the daemon is alive.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Reports what the sender has in flight at a runner that the receiver holds.
    #[serde(rename = "Sum")]
    UsageReport {
        /// The runner.
        server: ServerName,
        /// The total of the sender's requests in flight there.
        usage: Usage,
        /// The model and adapter of a request that was just sent; `None` otherwise.
        target: Option<TargetModel>,
        /// The first event of a request that an `AdmissionRequest` admitted; `None`
        /// otherwise.
        #[serde(rename = "begun")]
        first_event: Option<FirstEvent>,
    },
    /// Requests bids for runners that the receiver holds.
    #[serde(rename = "Ask")]
    BidRequest {
        /// Identifies the response.
        number: u64,
        /// The runners to bid for.
        servers: Vec<ServerName>,
        /// What the request needs.
        #[serde(rename = "want")]
        request: GenerationRequest,
    },
    /// The response to `BidRequest`.
    Bids {
        /// The number of the `BidRequest`.
        number: u64,
        /// The bids; runners that the sender does not hold are left out.
        bids: Vec<(ServerName, Bid)>,
    },
    /// Requests admission of a request to a runner that the receiver holds.
    ///
    /// Sent again until it is decided.
    #[serde(rename = "Take")]
    AdmissionRequest {
        /// Identifies the request at its daemon.
        number: u64,
        /// The runner.
        server: ServerName,
        /// What the request needs.
        #[serde(rename = "want")]
        request: GenerationRequest,
        /// Whether the runner has just rejected the request for lack of the adapter.
        #[serde(rename = "missed")]
        adapter_missing: bool,
    },
    /// The response to `AdmissionRequest`: at once if the request is queued, and again once
    /// it is decided.
    #[serde(rename = "Taken")]
    AdmissionResponse {
        /// The number of the request.
        number: u64,
        /// The decision, or that the request is queued.
        verdict: AdmissionVerdict,
    },
    /// Withdraws an `AdmissionRequest`: the request is not sent to the runner.
    #[serde(rename = "Leave")]
    Withdrawal {
        /// The number of the request.
        number: u64,
        /// The runner.
        server: ServerName,
    },
    /// Requests a permit at a server of a plain service whose queue the receiver holds.
    ///
    /// Sent again until it is decided.
    #[serde(rename = "Enqueue")]
    PermitRequest {
        /// Identifies the request at its daemon.
        number: u64,
        /// The service.
        service: ServiceName,
        /// What the request needs.
        #[serde(rename = "want")]
        request: PlainRequest,
    },
    /// The response to `PermitRequest`, sent once it is decided. If the request is sent again
    /// before that, the response says that it is queued.
    #[serde(rename = "Dequeued")]
    PermitResponse {
        /// The number of the request.
        number: u64,
        /// The decision, or that the request is queued.
        verdict: PermitVerdict,
    },
    /// Releases the permit of a request, or withdraws its `PermitRequest`.
    #[serde(rename = "Finished")]
    PermitRelease {
        /// The number of the request.
        number: u64,
        /// The service.
        service: ServiceName,
        /// How the permit was used; the queue derives the server's failure rate from it.
        outcome: PermitOutcome,
    },
    /// Reports the demand for a service's models to its planner, in parts, since all models
    /// may not fit in a datagram.
    #[serde(rename = "Demand")]
    DemandReport {
        /// The service.
        service: ServiceName,
        /// The index of the part.
        part: usize,
        /// The demand since the daemon's start, by model.
        #[serde(rename = "asked")]
        demand: Vec<(ModelName, DemandCounts)>,
        /// Servers that the sender can't connect to.
        #[serde(rename = "lost")]
        unreachable: Vec<ServerName>,
        /// The engine timings that the sender has learned; `None` if they have not changed or
        /// were sent recently.
        #[serde(rename = "learnt")]
        learned: Option<LearnedTimings>,
    },
    /// Requests a load or unload of models from the holder of a runner; sent by the planner.
    Move(Move),
    /// Reports to the planner that the holder could not carry out a move.
    #[serde(rename = "Failed")]
    MoveFailed(Move),
    /// The sender's view of the store's tables, sent to a few daemons at once when it changes.
    #[serde(rename = "News")]
    TableUpdate(Vec<TableFreshness>),
    /// Charges a request to a slice of its account's limit, which the receiver holds.
    ///
    /// Sent again if no response arrives.
    ChargeRequest {
        /// Identifies the charge at its daemon.
        number: u64,
        /// The slice.
        slice: Slice,
        /// What the request counts, in the units of the limit.
        cost: f64,
    },
    /// The response to `ChargeRequest`.
    ChargeResponse {
        /// The number of the charge.
        number: u64,
        /// The decision.
        verdict: Verdict,
    },
    /// Gives back the cost of a charge whose request was not sent.
    ChargeRefund {
        /// The number of the charge.
        number: u64,
        /// The slice.
        slice: Slice,
    },
    /// Reports what the sender had in flight at a server that crashed.
    CrashReport(CrashReport),
    /// Suspects that completed at the sender.
    SuspectsCleared(Vec<Digest>),
    /// What a response told about the limit on requests of a server, whose requests or models
    /// the receiver decides on.
    ServerLimit {
        /// The server.
        server: Incarnation,
        /// The limit that the response named, in requests a second; `None` if it named none.
        limit: Option<RequestRate>,
        /// How long ago that was, in milliseconds: since a response that named a limit
        /// arrived, or since the request was sent whose response named none.
        age_ms: u32,
    },
    /// Asks whether the receiver can connect to a server.
    ReachabilityRequest {
        /// Identifies the response.
        number: u64,
        /// The server.
        server: Incarnation,
    },
    /// The response to `ReachabilityRequest`; none comes from a daemon that doesn't list the
    /// server, or whose own link may be at fault.
    ReachabilityResponse {
        /// The number of the request.
        number: u64,
        /// What became of the connection.
        reachability: Reachability,
    },
    /// Like `AdmissionRequest`, with the class of the request.
    ///
    /// Daemons of versions before this message don't respond to it.
    ClassifiedRequest {
        /// Identifies the request at its daemon.
        number: u64,
        /// The runner.
        server: ServerName,
        /// What the request needs.
        request: GenerationRequest,
        /// Whether the runner has just rejected the request for lack of the adapter.
        adapter_missing: bool,
        /// What distinguishes it from others of the same urgency.
        class: RequestClass,
    },
    /// Reports the event times of a stream that has ended, to the holder of its runner.
    StreamTiming {
        /// The runner.
        server: Incarnation,
        /// The time for each token without prefill, in microseconds.
        step_us: u32,
        /// The number of gaps between events that `step_us` is based on.
        gaps: u32,
    },
    /// Reports the speeds of runners that the sender holds, to the planner of their service.
    ServerSpeeds {
        /// The service.
        service: ServiceName,
        /// The runners, each with the ratio of its times to nominal ones, in thousandths.
        speeds: Vec<(ServerName, u32)>,
    },
    /// Asks the receiver to stop patient streams at a runner, so that urgent requests can
    /// start; it resumes them later.
    YieldRequest {
        /// The runner.
        server: Incarnation,
        /// The largest number of streams to stop.
        count: u32,
    },
    /// Reports to a runner's holder that an attempt which it admitted ended without a first
    /// event.
    AttemptEnded {
        /// The number of the request for admission.
        number: u64,
        /// The runner.
        server: ServerName,
        /// How the attempt ended.
        outcome: PermitOutcome,
    },
    /// Like several `CrashReport`s; sent only to daemons that have sent
    /// `CollectedReportsOffer`.
    CollectedReports(Vec<CollectedReport>),
    /// Tells the sender of a `CrashReport` that this daemon reads `CollectedReports`.
    CollectedReportsOffer,
    /// Where streams began that callers may resume; the receiver keeps it.
    StreamOrigins(Vec<OriginRecord>),
    /// Asks what the receiver knows of where the stream of an attempt began.
    OriginRequest {
        /// Identifies the response.
        number: u64,
        /// The attempt that got the first event.
        attempt: Digest,
        /// The service that the request to resume the stream is for.
        service: ServiceName,
    },
    /// The response to `OriginRequest`.
    OriginResponse {
        /// The number of the request.
        number: u64,
        /// What the sender knows.
        knowledge: OriginKnowledge,
    },
    /// Tells a service's planner that a stream can go on only at runners of a software
    /// version, of which none has its model.
    ModelWanted {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
        /// The version; `None` for servers that name none.
        software: Option<SoftwareVersion>,
    },
    /// Like `AdmissionRequest`, for a stream that goes before all other requests: the sender is
    /// shutting down, and its caller has part of the response.
    ///
    /// Daemons of versions before this message don't respond to it.
    ContinuationRequest {
        /// Identifies the request at its daemon.
        number: u64,
        /// The runner.
        server: ServerName,
        /// What the request needs.
        request: GenerationRequest,
        /// Whether the runner has just rejected the request for lack of the adapter.
        adapter_missing: bool,
    },
}

impl Message {
    /// The kind of message, in logs and in the daemon's state.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::UsageReport { .. } => "usage report",
            Self::BidRequest { .. } => "bid request",
            Self::Bids { .. } => "bids",
            Self::AdmissionRequest { .. } => "admission request",
            Self::AdmissionResponse { .. } => "admission response",
            Self::Withdrawal { .. } => "withdrawal",
            Self::PermitRequest { .. } => "permit request",
            Self::PermitResponse { .. } => "permit response",
            Self::PermitRelease { .. } => "permit release",
            Self::DemandReport { .. } => "demand report",
            Self::Move(_) => "move",
            Self::MoveFailed(_) => "failed move",
            Self::TableUpdate(_) => "table update",
            Self::ChargeRequest { .. } => "charge request",
            Self::ChargeResponse { .. } => "charge response",
            Self::ChargeRefund { .. } => "charge refund",
            Self::CrashReport(_) => "crash report",
            Self::SuspectsCleared(_) => "cleared suspects",
            Self::ServerLimit { .. } => "server limit",
            Self::ReachabilityRequest { .. } => "reachability request",
            Self::ReachabilityResponse { .. } => "reachability response",
            Self::ClassifiedRequest { .. } => "classified request",
            Self::StreamTiming { .. } => "stream timing",
            Self::ServerSpeeds { .. } => "server speeds",
            Self::YieldRequest { .. } => "yield request",
            Self::AttemptEnded { .. } => "ended attempt",
            Self::CollectedReports(_) => "collected crash reports",
            Self::CollectedReportsOffer => "offer to read collected reports",
            Self::StreamOrigins(_) => "stream origins",
            Self::OriginRequest { .. } => "origin request",
            Self::OriginResponse { .. } => "origin response",
            Self::ModelWanted { .. } => "wanted model",
            Self::ContinuationRequest { .. } => "continuation request",
        }
    }
}

/// The first event of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstEvent {
    /// The number of the request.
    pub number: u64,
    /// The time from sending the request to its first event, in milliseconds.
    pub after_ms: u32,
}

/// The decision about a request for admission to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionVerdict {
    /// It waits in the queue.
    Queued,
    /// It may be sent now.
    Send,
    /// It can't be sent to this runner.
    Denied,
    /// The daemon does not hold the runner.
    Moved,
    /// It can't be sent to this runner before its caller leaves; the estimated wait in
    /// milliseconds. Only given to a `ClassifiedRequest`.
    Full(u32),
}

/// The decision about a request for a permit of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// It waits in the queue.
    Queued,
    /// It may be sent to this server now.
    Send(ServerName),
    /// No permit is free before its caller times out; the estimated wait in milliseconds.
    Full(u32),
    /// No server accepts requests.
    Nowhere,
    /// The daemon does not hold the queue.
    Moved,
}

/// Shows that a daemon is alive, and reports its view of other daemons and of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the daemon is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// The daemons that sent it anything within the heartbeat timeout.
    ///
    /// Daemons that were recently partitioned from the store disagree on which daemon watches
    /// which. Without these reports they would remove each other's rows.
    #[serde(rename = "heard")]
    pub alive_members: Vec<MemberId>,
    /// Its view of the store's tables, in a fixed order; empty in the announcement of a
    /// shutdown, which is sent to all daemons at once.
    pub tables: Vec<TableFreshness>,
}

impl Heartbeat {
    /// Whether the sender must be answered; `is_expected` is whether it is a neighbour.
    ///
    /// One that isn't a neighbour sends heartbeats because the two daemons know different
    /// members. It may watch this daemon, which must not seem silent, or its row may have
    /// been removed, which it learns from newer tables. Both hold until the end of a daemon
    /// that is shutting down.
    pub fn needs_answer(&self, is_expected: bool) -> bool {
        !is_expected && !self.tables.is_empty()
    }
}

/// A daemon's view of one of the store's tables: the version of its replica, and the
/// milliseconds since the store confirmed it. `None` if it has not read the table.
pub type TableFreshness = Option<(u64, u32)>;
