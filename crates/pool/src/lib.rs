//! Decisions on a pool of backend servers; nothing here does I/O.
//!
//! Stages of a request's way, in order:
//!
//! 1. [`fleet`] is the table of servers as the registry lists them,
//! 2. [`health`] tells how far a server's recent answers can be trusted,
//! 3. [`usage`] counts what is in flight where,
//! 4. [`choose`] picks the server for a request,
//! 5. [`budget`] bounds how often requests are sent again.

pub mod budget;
pub mod choose;
pub mod fleet;
pub mod health;
pub mod usage;

pub use budget::RetryBudget;
pub use choose::{Candidate, Want, choose};
pub use fleet::{Fleet, Server, ServerKey};
pub use health::Health;
pub use usage::{Flight, Usage};
