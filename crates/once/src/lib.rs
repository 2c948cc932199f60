//! At most one run and one response for each non-idempotent request.
//!
//! The crate holds state machines without I/O: they take events and the current time
//! and return effects, which the daemon carries out. A request passes through these
//! stages of the [`Journal`]:
//!
//! 1. [`Event::Submit`]: a known id joins its run, gets its stored response or a
//!    refusal that says it is in doubt; a new id is queued,
//! 2. [`Effect::Commit`]: a [`batch`] of many ids is written to the table service
//!    in one transaction that checks the claims of their slots,
//! 3. [`Effect::Run`]: only then the request is dispatched, once,
//! 4. [`Event::RunFinished`]: the response is stored, then its end is sent to the
//!    callers.
//!
//! [`record`] defines how the journal is stored.
//!
//! # Load pattern
//!
//! Letters and bookings arrive in bursts, and callers retry them when a response is
//! late. The table service takes several hundred writes per second for the whole
//! system. Without group commit, each request would cost it two transactions, so a
//! burst of a few hundred requests per second would take all of its writes.
//! [`Limits`] gives the reasons for the individual limits.

pub mod batch;
pub mod event;
pub mod index;
pub mod journal;
pub mod limits;
pub mod record;
mod refusals;

pub use batch::{Batch, Change, CommitResult, Condition};
pub use event::{AppendResult, Effect, Event, Recovered, Reply, SlotLog};
pub use index::WaiterId;
pub use journal::Journal;
pub use limits::Limits;
pub use record::{
    BodyLocation, JournalRow, PAGES_PER_SLOT, Record, Response, ResponseSummary,
    page_prefix, row_key,
};
