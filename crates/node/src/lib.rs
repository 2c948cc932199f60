//! The daemon: everything between callers and backend servers.
//!
//! A request passes through these stages:
//!
//! 1. `entry` reads it and turns it into checked work,
//! 2. [`pick`] chooses a backend server, `relay` hands the request to its lead,
//!    retries and resumes; a non-idempotent request goes through [`slots`] first,
//! 3. `peer` carries it to the daemon that leads the backend server,
//! 4. [`lead`] admits, queues and dispatches it,
//! 5. `engine` calls the backend server and the answer streams back.
//!
//! Beside them run [`members`] (leases and claims), [`confsync`] (declarations),
//! [`planner`] and [`orders`] (which model is resident where). They meet in
//! [`shared`].

pub mod confsync;
pub mod lead;
pub mod members;
pub mod metrics;
pub mod opsconf;
pub mod opsrows;
pub mod orders;
pub mod pick;
pub mod planner;
pub mod shared;
pub mod slots;

use std::process::ExitCode;

/// Runs the daemon.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
