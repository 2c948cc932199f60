//! Who is a member, and who leads what.
//!
//! The crate decides and needs no network. A daemon runs these stages at each
//! poll of the platform's table:
//!
//! 1. [`known`] takes in the rows that changed,
//! 2. [`lease`] tells whose lease lapsed and whether the own one holds,
//! 3. [`assign`] tells which claims to take, hand over or give up,
//! 4. [`view`] is what the rest of the daemon reads.
//!
//! [`wake`] tells what a daemon may still do after its VM has stood still.

pub mod assign;
pub mod known;
pub mod lease;
pub mod view;
pub mod wake;

pub use assign::{Plan, Step, plan};
pub use known::{ClaimRow, Known, LeaseRow, MemberRow, WHOLE_CORE};
pub use lease::{Lease, lapsed, watched, watchers};
pub use view::{Claim, ClaimKey, Member, Server, ServerRole, View};
pub use wake::Wake;
