//! The choice of a backend server for an attempt, and retries.
//!
//! An entry knows which backend servers may serve a request, what it sent to
//! each itself, and what their leads told it of their load with the last answer.
//! The crate holds no connection and reads no clock. For an attempt:
//!
//! 1. [`Router::choose`] takes the candidates, without those tried before,
//! 2. [`health`] leaves out those that fail and lets them back little by little,
//! 3. [`prefix`] tells where the start of the prompt is probably cached,
//! 4. [`RoutingPolicy`] picks one; [`Router::begin_attempt`] counts it in flight until
//!    [`Router::end_attempt`],
//! 5. [`Router::record`] takes the lead's answer,
//! 6. [`retry`] says whether another attempt is within the budget, and when.

pub mod health;
pub mod load;
pub mod policy;
pub mod prefix;
pub mod retry;
pub mod router;

pub use load::LoadReport;
pub use policy::RoutingPolicy;
pub use retry::{Backoff, RetryBudget};
pub use router::{Candidate, Feedback, RouteRequest, Router, ServerKey};
