//! Attributes the crashes of backend servers to the requests that caused them. Nothing here
//! does I/O.
//!
//! The [`tracker`] counts the requests in flight at each server. After a crash they are
//! [`evidence`] against these requests; a request that caused two crashes is blocked.

pub mod evidence;
pub mod tracker;

pub use evidence::{CrashReport, ReportedRequest, RunPhase};
pub use tracker::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
