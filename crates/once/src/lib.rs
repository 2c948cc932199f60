//! At most one run and one answer for each non-idempotent request.
//!
//! The crate holds state machines without I/O: events and the time go in,
//! effects come out, and the daemon carries them out. A request passes through
//! these stages of the [`Journal`]:
//!
//! 1. [`Event::Submit`]: a known id joins its run, gets its stored answer or is told
//!    that it is in doubt; an unknown id is queued,
//! 2. [`Effect::Commit`]: a [`batch`] of many ids is written to the table service
//!    in one transaction that checks the claims of their slots,
//! 3. [`Effect::Run`]: only then the request is handed on, once,
//! 4. [`Event::RunFinished`]: the answer is stored, then the callers get its end mark.
//!
//! Beside it stand [`record`], the form in which the journal is kept, and
//! [`suspect`], which finds the request that crashes backend servers.
//!
//! # Load pattern
//!
//! Letters and bookings arrive in bursts, and callers repeat them when an answer
//! is late. The table service takes several hundred writes a second for the
//! whole system. Without grouping, each request costs it two transactions, so
//! that a burst of a few hundred requests a second takes all of its writes.
//! [`Limits`] gives the grounds for each figure.

pub mod batch;
pub mod event;
pub mod index;
pub mod journal;
pub mod limits;
pub mod record;
mod refuse;
pub mod suspect;

pub use batch::{Batch, Change, CommitResult, Condition};
pub use event::{AppendResult, Effect, Event, Recovered, Reply, SlotLog};
pub use index::WaiterId;
pub use journal::Journal;
pub use limits::Limits;
pub use record::{
    BodyLocation, JournalRow, PAGES_PER_SLOT, Record, Response, ResponseSummary,
    page_prefix, row_key,
};
pub use suspect::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
