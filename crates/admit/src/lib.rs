//! Admission control, queueing and preemption for one backend server.
//!
//! The daemon that leads a backend server runs one [`AdmissionController`] for it. All
//! requests for the server pass through it, so its counts are exact. It does no I/O and
//! reads no clock: events go in with the time at which they happened, and [`Effect`]s
//! come out.
//!
//! A request passes through these stages:
//!
//! 1. [`AdmissionController::offer`] estimates its end with [`LatencyModel`] and
//!    [`forecast`]; a request that can't meet its deadline is refused at once, with a
//!    retry delay if a later attempt could meet it,
//! 2. it waits in the order of [`queue`]; under overload, [`shedding`] and
//!    [`UsageTracker`] determine which request is refused,
//! 3. it is dispatched within the [`Limits`] and holds a stream until
//!    [`AdmissionController::finish`],
//! 4. a slow stream may be preempted for an urgent request: the daemon cancels it and
//!    offers the remainder again.

pub mod controller;
pub mod forecast;
pub mod job;
pub mod latency;
pub mod limits;
pub mod queue;
pub mod shedding;
pub mod usage;

pub use controller::{AdmissionController, AttemptEnd, LoadSnapshot};
pub use job::{Effect, Job, RejectReason, Rejection, Ticket};
pub use latency::{DecayingRegression, LatencyModel};
pub use limits::{AdmissionPolicy, Limits, QueueOrder, SheddingPolicy};
pub use usage::UsageTracker;
