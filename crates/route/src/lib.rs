//! Load balancing and retries: which backend server gets the next attempt of a request.
//!
//! An entry knows which backend servers can serve a request, its own attempts in flight
//! at each of them, and the load that their leads reported with their last response. The
//! crate does no I/O and reads no clock. Steps of an attempt:
//!
//! 1. [`Router::choose`] gets the candidates, without those already tried,
//! 2. [`health`] excludes failing servers and gradually readmits them,
//! 3. [`prefix`] estimates where the start of the prompt is cached,
//! 4. [`RoutingPolicy`] picks a server; [`Router::begin_attempt`] counts the attempt as
//!    in flight until [`Router::end_attempt`],
//! 5. [`Router::record`] records the outcome and the reported load,
//! 6. [`retry`] decides whether the budget allows another attempt, and when.

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
