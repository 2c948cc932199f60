//! Who is a member, and who leads what.
//!
//! The crate decides and needs no network. A daemon runs these stages at each
//! poll of the platform's table:
//!
//! 1. [`rows`] takes in the rows that changed,
//! 2. [`lease`] tells whose lease lapsed and whether the own one holds,
//! 3. [`assignment`] tells which claims to take, hand over or give up,
//! 4. [`view`] is what the rest of the daemon reads.
//!
//! [`suspension`] tells what a daemon may still do after its VM has stood still.

pub mod assignment;
pub mod lease;
pub mod rows;
pub mod suspension;
pub mod view;

pub use assignment::{ClaimChange, ClaimPlan, plan_claims};
pub use lease::{Lease, expired, watched_vms, watchers};
pub use rows::{ClaimRow, LeaseRow, MemberRow, MembershipRows, ONE_CORE_WEIGHT};
pub use suspension::SuspensionDetector;
pub use view::{Claim, ClaimKey, Member, Server, ServerRole, View};
