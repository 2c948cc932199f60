//! The capacity of a backend server and the policy of its admission controller.

use std::time::Duration;

/// The capacity of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Streams that run concurrently; at least 1.
    pub max_streams: u32,
    /// Tokens of KV cache that running streams may occupy together.
    ///
    /// A single request that needs more is dispatched alone, since the engine decides
    /// whether it fits.
    pub max_cache_tokens: u64,
    /// Requests that may wait in the controller's queue; resumed ones may exceed it.
    pub max_queued: usize,
    /// The declared time of an engine step, used until steps are measured.
    ///
    /// For a plain service, the declared time of a call.
    pub step_time: Duration,
}

/// The order in which waiting requests are dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// First come, first served.
    Fifo,
    /// The more urgent class first, then the earlier deadline, with ageing.
    Priority,
    /// The earlier deadline first, regardless of the class.
    Deadline,
}

/// Which requests are refused under overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SheddingPolicy {
    /// Only those that arrive while the queue is full.
    QueueFull,
    /// The newest.
    Newest,
    /// The least urgent, then those of the caller most over its share, then the longest.
    Costliest,
}

/// The policy by which a controller orders, refuses and preempts requests.
///
/// `docs/POLICY.md` compares the defaults with the alternatives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// The order of the queue.
    pub queue_order: QueueOrder,
    /// Which requests are refused under overload.
    pub shedding: SheddingPolicy,
    /// Whether callers over their share are refused first.
    pub fair_share: bool,
    /// Whether urgent requests preempt slow streams.
    pub preemption: bool,
    /// The fraction of the streams that is reserved for urgent requests.
    pub urgent_reserve: f64,
    /// The minimum fraction of the stream time that goes to slow requests.
    pub slow_floor: f64,
    /// The safety margin before the deadline, as a fraction of the estimated run time.
    pub deadline_margin: f64,
}

impl AdmissionPolicy {
    /// First come, first served, without regard to deadlines: the baseline.
    pub const FIFO: Self = Self {
        queue_order: QueueOrder::Fifo,
        shedding: SheddingPolicy::QueueFull,
        fair_share: false,
        preemption: false,
        urgent_reserve: 0.0,
        slow_floor: 0.0,
        deadline_margin: 0.0,
    };
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            queue_order: QueueOrder::Deadline,
            shedding: SheddingPolicy::Costliest,
            fair_share: true,
            preemption: true,
            urgent_reserve: 0.0,
            slow_floor: 0.05,
            deadline_margin: 0.15,
        }
    }
}
