//! The daemon: everything between callers and backend servers.
//!
//! A request passes through these stages:
//!
//! 1. [`entry`] takes it, [`parse`] turns it into checked work,
//! 2. [`pick`] chooses a backend server, [`relay`] hands the request to its lead,
//!    retries and resumes; a non-idempotent request goes through [`slots`] first,
//! 3. [`peer`] carries it to the daemon that leads the backend server,
//! 4. [`lead`] admits, queues and dispatches it,
//! 5. [`engine`] calls the backend server; the answer streams back and
//!    [`response`] gives it the form that the caller expects.
//!
//! Beside them run [`members`] (leases and claims), [`confsync`] (declarations),
//! [`planner`] and [`orders`] (which model is resident where). They meet in
//! [`shared`]; [`run`] starts and stops them.

mod command;
pub mod confsync;
pub mod demand;
pub mod engine;
pub mod entry;
pub mod explain;
pub mod feed;
pub mod journal;
pub mod lead;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod node;
pub mod ops;
pub mod opsconf;
pub mod opsrows;
pub mod orders;
pub mod parse;
pub mod peer;
pub mod pick;
pub mod planner;
pub mod poison;
pub mod relay;
pub mod response;
pub mod run;
pub mod shared;
pub mod single;
pub mod slotlog;
pub mod slots;
pub mod tls;

pub use command::main;
