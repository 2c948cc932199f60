//! Membership of daemons and assignment of claims to them.
//!
//! The crate makes decisions and needs no network. A daemon runs these stages at each
//! poll of the platform's table:
//!
//! 1. [`rows`] holds the rows as the daemon has read them,
//! 2. [`lease`] finds expired leases and checks whether the daemon's own lease is valid,
//! 3. [`assignment`] decides which claims to take, hand over or release,
//! 4. [`view`] is the result that the rest of the daemon reads.
//!
//! A daemon that needs no leases exchanges heartbeats with its [`neighbours`] instead.
//! [`sharers`] decides which part of a bound on the whole cluster a daemon may use;
//! [`suspension`] limits what a daemon may do after its VM was suspended.

pub mod assignment;
pub mod lease;
pub mod neighbours;
pub mod rows;
pub mod sharers;
pub mod suspension;
pub mod view;

pub use assignment::{ClaimChange, ClaimPlan, plan_claims};
pub use lease::{Lease, expired, watched_vms, watchers};
pub use neighbours::{Neighbours, reader_rank};
pub use rows::{ClaimRow, LeaseRow, MemberRow, MembershipRows, ONE_CORE_WEIGHT};
pub use sharers::{Part, ShareRow, Sharers};
pub use suspension::SuspensionDetector;
pub use view::{Claim, ClaimKey, Member, Server, ServerRole, View};
