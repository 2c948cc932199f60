//! The system on its own interface, with embedded stand-ins.
//!
//! 1. [`cluster`] starts the stand-ins and three daemons in two failure domains, and
//!    declares models, adapters and a plain service.
//! 2. [`burst`] sends a mix of requests from several callers.
//! 3. [`limits`] sends more than a client account may.
//! 4. [`run_counts`] reads from the stand-ins what actually ran.

pub mod burst;
pub mod cluster;
pub mod limits;
pub mod run_counts;
