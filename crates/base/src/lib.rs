//! Types that every other crate shares.
//!
//! The crate has no stages of its own. It defines the vocabulary in which the
//! stages of the system talk to each other:
//!
//! - [`name`]: checked names of things that operators declare,
//! - [`id`]: small `Copy` numbers that the system hands out itself,
//! - [`clock`]: the time source that is passed in everywhere,
//! - [`request`]: one caller's request in the form in which it is queued and routed,
//! - [`outcome`]: what a caller is told when it does not get its answer.

pub mod clock;
pub mod id;
pub mod name;
pub mod outcome;
pub mod request;

pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{AttemptId, Digest, Fence, MemberId, OrderId, Revision, SlotId, slot_of};
pub use name::{
    AdapterName, CallerName, DomainName, KindName, ModelName, NameError, PoolName,
    ServerName, ServiceName, TeamName, VersionName, VmName,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use request::{RequestId, RequestSpec, Target, Urgency, prefix_hashes};
