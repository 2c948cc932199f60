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
//! 6. [`prefill_queue`] says when the runner gets which prompt, by the [`timing`] at which it
//!    reads,
//! 7. [`queue`] says which server of a plain service runs which request, and when,
//! 8. [`attempts`] says what may follow an attempt that brought no answer, and what is
//!    true of the request then,
//! 9. [`budget`] bounds how often requests are sent again.
//!
//! Beside them, [`placement`] says which runner holds which model, by [`demand`] and at
//! a [`pacer`] that the weight store allows, without servers that are [`unreachable`].

pub mod attempts;
pub mod budget;
pub mod choose;
pub mod demand;
pub mod fleet;
pub mod health;
pub mod moves;
pub mod pacer;
pub mod placement;
pub mod prefill_queue;
pub mod prefix;
pub mod queue;
pub mod runner;
pub mod timing;
pub mod unreachable;
pub mod usage;

pub use attempts::{AttemptOutcome, Attempts, Incarnation, RetryDecision};
pub use budget::RetryBudget;
pub use choose::{
    Bid, Candidate, GenerationRequest, bid, choose, estimate_wait_ms, local_cost_ms,
};
pub use demand::DemandCounts;
pub use fleet::{Fleet, Server, ServerKey};
pub use health::Health;
pub use pacer::{LoadBound, LoadPacer};
pub use prefill_queue::{
    Backlog, PrefillAction, PrefillQueue, QueuedPrompt, RunnerCapacity, Ticket,
};
pub use prefix::PrefixCache;
pub use queue::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
pub use runner::{AdapterNeed, AdapterState, RunnerView};
pub use timing::EngineTimings;
pub use usage::{InFlightRequest, Usage};
