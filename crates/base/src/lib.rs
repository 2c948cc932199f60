//! Types that every other crate shares.
//!
//! The crate has no stages of its own. It defines the vocabulary in which the
//! stages of the system talk to each other:
//!
//! - [`name`]: checked names of things that operators declare,
//! - [`id`]: small `Copy` numbers that the system hands out itself,
//! - [`clock`]: the time source that is passed in everywhere,
//! - [`work`]: one caller's request in the form in which it is queued and routed,
//! - [`outcome`]: what a caller is told when it does not get its answer.

pub mod clock;
pub mod id;
pub mod name;
pub mod outcome;
pub mod work;

pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{AttemptId, Digest, Fence, MemberId, OrderId, Revision, SlotId, slot_of};
pub use name::{
    AdapterName, CallerName, DomainName, KindName, ModelName, NameError, PoolName,
    ServerName, ServiceName, TeamName, VersionName, VmName,
};
pub use outcome::{Code, Outcome, Refusal};
pub use work::{RequestId, Target, Urgency, Work, prefix_hashes};
