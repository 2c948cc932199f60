//! What a backend server takes, and by which rules its lead decides.

use std::time::Duration;

/// What a backend server takes at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Streams that run at the same time; at least 1.
    pub max_streams: u32,
    /// Tokens that running streams may occupy together.
    ///
    /// A single request that needs more is let in alone, since the engine decides
    /// whether it fits.
    pub max_cache_tokens: u64,
    /// Requests that wait at the lead.
    pub max_queued: usize,
    /// The expected time of an engine step, until it is measured.
    ///
    /// For a plain service, the expected time of a call.
    pub step_time: Duration,
}

/// The order in which waiting requests are dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// The more urgent class first, then the earlier deadline, with ageing.
    Class,
    /// The earlier deadline first, whatever the class.
    Deadline,
}

/// What is refused when there is not room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shed {
    /// Nothing but what finds the queue full.
    Full,
    /// What comes last.
    Newest,
    /// The least urgent, then the caller most over its share, then the longest.
    Costliest,
}

/// The rules by which a lead decides.
///
/// The defaults are the ones chosen in `docs/POLICY.md`; the others are there to
/// be compared with them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// The order of the queue.
    pub order: Order,
    /// What is refused when there is not room for all.
    pub shed: Shed,
    /// Whether callers over their share are refused first.
    pub fair: bool,
    /// Whether slow streams are preempted by urgent requests.
    pub preempt: bool,
    /// The part of the streams that only urgent requests may take.
    pub reserve: f64,
    /// The part of the backend server's time that slow requests get at least.
    pub floor: f64,
    /// The part of the estimated run time that is kept as a margin.
    pub margin: f64,
}

impl AdmissionPolicy {
    /// First come, first served, and no look at deadlines: the naive baseline.
    pub const FIFO: Self = Self {
        order: Order::Arrival,
        shed: Shed::Full,
        fair: false,
        preempt: false,
        reserve: 0.0,
        floor: 0.0,
        margin: 0.0,
    };
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            order: Order::Deadline,
            shed: Shed::Costliest,
            fair: true,
            preempt: true,
            reserve: 0.0,
            floor: 0.05,
            margin: 0.15,
        }
    }
}
