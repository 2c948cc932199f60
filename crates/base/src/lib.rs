//! Types that all other crates share.
//!
//! - [`name`]: validated names of declared objects,
//! - [`id`]: identifiers that the system generates, and hashes for placement,
//! - [`clock`]: the time source, which tests replace,
//! - [`request`]: the metadata of a request, for queueing and routing,
//! - [`outcome`]: error responses to callers,
//! - [`software`]: versions of backend servers' software.

pub mod clock;
pub mod id;
pub mod name;
pub mod outcome;
pub mod request;
pub mod software;

pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{
    AttemptId, Digest, Fence, Incarnation, MemberId, OrderId, Revision, SlotId, slot_of,
};
pub use name::{
    AdapterName, CallerName, DomainName, KindName, ModelName, NameError, PoolName,
    ServerName, ServiceName, TeamName, VersionName, VmName,
};
pub use outcome::{Outcome, Refusal, RefusalCode};
pub use request::{RequestId, RequestSpec, Target, Urgency, prefix_hashes};
pub use software::{SoftwareVersion, SoftwareVersionError};
