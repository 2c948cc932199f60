//! The system on the users' platform, before embedded stand-ins of it.
//!
//! 1. [`stage`] starts the store, runners, plain servers and three daemons,
//! 2. [`burst`] sends a mix of requests and counts what came of them.

pub mod burst;
pub mod stage;
