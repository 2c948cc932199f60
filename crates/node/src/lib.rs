//! The daemon: everything between callers and backend servers.
//!
//! A request passes through these stages:
//!
//! 1. [`entry`] accepts it, [`parse`] validates it,
//! 2. [`pick`] chooses a backend server, [`relay`] sends the request to its lead, retries
//!    and resumes; a non-idempotent request goes through [`slots`] first,
//! 3. [`peer`] sends it to the daemon that leads the backend server,
//! 4. [`lead`] admits, queues and dispatches it,
//! 5. [`engine`] calls the backend server; the response streams back and [`response`]
//!    writes it in the format that the caller expects.
//!
//! Independent of requests run [`members`] (leases and claims), [`config_sync`]
//! (declarations), [`planner`] and [`orders`] (residency of models). They exchange state
//! through [`shared`]; [`run`] starts and stops them.

pub mod account_limits;
mod command;
pub mod config_api;
pub mod config_sync;
pub mod demand;
pub mod engine;
pub mod entry;
pub mod explain;
pub mod feed;
pub mod handshakes;
pub mod journal;
pub mod lead;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod node;
pub mod ops;
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
pub mod show_rows;
pub mod single;
pub mod slotlog;
pub mod slots;
pub mod tls;

pub use command::main;
