//! What operators write, checked.
//!
//! - [`settings`]: what one daemon reads at its start,
//! - [`catalog`]: what all teams have declared together, in force at a revision.

pub mod catalog;
pub mod settings;

pub use catalog::{Adapter, Caller, Catalog, Kind, Model, Pool, Route, Service};
pub use settings::Settings;
