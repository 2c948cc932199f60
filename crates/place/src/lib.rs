//! Which model is resident on which runner.
//!
//! - [`residence`]: what is resident where, as entries know it.

pub mod residence;

pub use residence::{Residence, Resident};
