//! Attributes the crashes of backend servers to the requests that caused them. Nothing here
//! does I/O.
//!
//! The [`tracker`] counts the requests in flight at each server. After a crash it decides
//! which of them are suspects, and which one crashes every server that runs it.

pub mod tracker;

pub use tracker::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
