//! The system on the users' platform, with embedded stand-ins for it.
//!
//! 1. [`cluster`] starts the store, runners, plain servers and three daemons.
//! 2. [`burst`] sends a mix of requests and counts the results.

pub mod burst;
pub mod cluster;
