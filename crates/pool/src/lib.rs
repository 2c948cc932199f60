//! Decisions on a pool of backend servers; nothing here does I/O.
//!
//! Stages of a request's way, in order:
//!
//! 1. [`fleet`] is the table of servers as the registry lists them,
//! 2. [`health`] tells how far a server's recent answers can be trusted,
//! 3. [`usage`] counts what is in flight where,
//! 4. [`runner`] is what the holder of a runner's claim knows of it, with the
//!    [`prefix`]es that it has read,
//! 5. [`choose`] estimates and picks the server for a request,
//! 6. [`lane`] says when the runner gets which prompt, by the [`speed`] at which it
//!    reads,
//! 7. [`queue`] says which server of a plain service runs which request, and when,
//! 8. [`attempts`] says what may follow an attempt that brought no answer, and what is
//!    true of the request then,
//! 9. [`budget`] bounds how often requests are sent again.
//!
//! Beside them, [`placing`] says which runner holds which model, by [`demand`] and at
//! a [`pace`] that the weight store allows, without servers that are [`lost`].

pub mod attempts;
pub mod budget;
pub mod choose;
pub mod demand;
pub mod fleet;
pub mod health;
pub mod lane;
pub mod lost;
pub mod moving;
pub mod pace;
pub mod placing;
pub mod prefix;
pub mod queue;
pub mod runner;
pub mod speed;
pub mod usage;

pub use attempts::{Attempts, Ended, Follow, Run};
pub use budget::RetryBudget;
pub use choose::{Bid, Candidate, Want, bid, choose, estimate, local_cost};
pub use demand::Asked;
pub use fleet::{Fleet, Server, ServerKey};
pub use health::Health;
pub use lane::{Ahead, Lane, Next, Room, Ticket, Waiting};
pub use pace::{LoadBound, Pace};
pub use prefix::Prefixes;
pub use queue::{Asker, Listed, Outcome, PlainWant, Queue, QueueStep};
pub use runner::{AdapterNeed, AdapterState, Runner};
pub use speed::Speeds;
pub use usage::{Flight, Usage};
