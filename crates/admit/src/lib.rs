//! Admission, queueing and preemption at the lead of one backend server.
//!
//! The lead sees every request that is meant for its backend server, so that its
//! counts are exact. It holds no connection and reads no clock: events go in
//! with the time at which they happened, effects come out.
//!
//! A request passes through these stages:
//!
//! 1. [`AdmissionController::offer`] estimates with [`Pace`] and [`forecast`] when it would finish;
//!    what can't finish in time is refused at once, with the time to come back,
//! 2. it waits in the order of [`queue`]; [`Usage`] decides whose request goes
//!    when there is not room for all,
//! 3. it is dispatched within the [`Limits`] and holds a stream until
//!    [`AdmissionController::finish`],
//! 4. a slow stream may be preempted on the way for an urgent request; the shell
//!    cancels it and offers the rest again.
//!
//! [`forecast`]: mod@forecast
//! [`queue`]: mod@queue

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
pub use latency::{Line, Pace};
pub use limits::{AdmissionPolicy, Limits, Order, Shed};
pub use usage::Usage;
