//! Who is a member, and who leads what.
//!
//! - [`view`]: what a daemon knows of members, backend servers and claims.

pub mod view;

pub use view::{Claim, ClaimKey, Member, Server, ServerRole, View};
