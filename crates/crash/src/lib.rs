//! Attributes the crashes of backend servers to the requests that caused them. Nothing here
//! does I/O.
//!
//! The [`tracker`] counts the requests in flight at each server. After a crash they are
//! [`evidence`] against these requests; a request that caused two crashes is blocked. So is a
//! part of prompts ([`parts`]) that crashes servers in different requests. The reports of several
//! crashes are [`mod@collect`]ed.

pub mod collect;
pub mod evidence;
pub mod parts;
pub mod tracker;

pub use collect::{CollectedReport, ReportCollector, ReportTurn};
pub use evidence::{CrashReport, ReportedRequest, RunPhase};
pub use parts::{is_part, part_digest};
pub use tracker::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
