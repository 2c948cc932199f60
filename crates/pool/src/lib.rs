//! Decisions on a pool of backend servers. Nothing here does I/O.
//!
//! The modules are listed in the order in which they concern a request:
//!
//! 1. [`fleet`] holds the servers that the registry lists,
//! 2. [`health`] tracks the recent failures of a server, and [`rests`] when it wants no
//!    requests,
//! 3. [`usage`] counts what is in flight at a server,
//! 4. [`runner`] is the view that the holder of a runner's claim has of it, with the
//!    [`prefix`]es in its KV cache,
//! 5. [`mod@choose`] estimates waits and picks the server for a request,
//! 6. [`prefill_queue`] decides when a runner gets which prompt, by the [`timing`] of its
//!    engine,
//! 7. [`queue`] decides which server of a plain service runs which request, and when,
//! 8. [`attempts`] decides what may follow an attempt without a complete response, and
//!    whether the request may have run,
//! 9. [`budget`] bounds how often requests are retried,
//! 10. [`paths`] decides whether the request goes to its server directly or through another
//!     daemon,
//! 11. [`exchanges`] tells whether a response is the one to the request,
//! 12. [`server_limits`] tracks how many requests servers say that they take, and the
//!     [`request_pacer`] spaces those that are sent to them.
//!
//! 13. [`profile`] tells whether the declared routes of a service call for the decisions of
//!     the modules that follow, and [`class`] what they need to know of a request,
//! 14. [`speed`] learns how fast one runner is, [`speed_reports`] compares runners, [`pace`]
//!     bounds what a fresh one gets, and [`sharing`] divides it between accounts,
//! 15. [`late_binding`] decides in which runners' queues a request waits, and [`forecast`]
//!     estimates when queued prompts start, so that those without a prospect are refused
//!     early.
//!
//! Independently of requests, [`placement`] plans which runner holds which model, by
//! [`demand`] and at the rate of the [`pacer`] for the weight store, without servers that
//! are [`mod@unreachable`]; [`moves`] tracks the progress of its plans.

pub mod attempts;
pub mod budget;
pub mod choose;
pub mod class;
pub mod demand;
pub mod exchanges;
pub mod fleet;
pub mod forecast;
pub mod health;
pub mod late_binding;
pub mod moves;
pub mod origins;
pub mod pace;
pub mod pacer;
pub mod paths;
pub mod placement;
pub mod prefill_queue;
pub mod prefix;
pub mod profile;
pub mod queue;
pub mod request_pacer;
pub mod rests;
pub mod runner;
pub mod server_limits;
pub mod sharing;
pub mod software;
pub mod speed;
pub mod speed_reports;
pub mod timing;
pub mod unreachable;
pub mod usage;

pub use attempts::{AttemptOutcome, Attempts, RetryDecision};
pub use budget::{RetryBound, RetryBudget, RetryGrant};
pub use choose::{
    Bid, Candidate, GenerationRequest, bid, choose, estimate_wait_ms, local_cost_ms,
};
pub use class::RequestClass;
pub use demand::DemandCounts;
pub use exchanges::{Attribution, Exchanges};
pub use fleet::{Fleet, Server, ServerKey};
pub use forecast::RunnerLoad;
pub use health::Health;
pub use origins::StreamOrigins;
pub use pace::{PaceChange, ServerPace, SilentEnd};
pub use pacer::{LoadBound, LoadPacer};
pub use paths::{Forwarder, Path, Paths, Reachability};
pub use prefill_queue::{
    Backlog, PrefillAction, PrefillQueue, QueuedPrompt, RunnerCapacity, Ticket,
};
pub use prefix::PrefixCache;
pub use profile::ServiceProfile;
pub use queue::{
    ListedServer, PermitOutcome, PermitQueue, PlainRequest, QueueDecision, RequestKey,
};
pub use request_pacer::RequestPacer;
pub use runner::{AdapterNeed, AdapterState, RunnerView};
pub use server_limits::{LimitSighting, ServerLimits};
pub use sharing::{RunnerOccupancy, SharingLimits};
pub use software::{SoftwareBinding, SoftwareHistory};
pub use timing::EngineTimings;
pub use usage::{InFlightRequest, Usage};
