//! What operators write, checked.
//!
//! A text passes through these stages:
//!
//! 1. [`source`] reads JSON with comments field by field and notes the place of
//!    every [`problem`],
//! 2. [`check`] turns it into [`settings`], or [`declare`] into one team's
//!    declarations,
//! 3. [`union`] checks all teams' declarations together and makes the
//!    [`catalog`] of a revision,
//! 4. [`change`] takes an operator's change to its one answer, in [`rows`] of the
//!    platform's table.

pub mod catalog;
pub mod change;
pub mod check;
pub mod declare;
pub mod keys;
pub mod problem;
pub mod rows;
pub mod settings;
pub mod source;
pub mod union;

pub use catalog::{Adapter, Caller, Catalog, Kind, Model, Pool, Route, Service};
pub use change::{Answer, Applier, Change, Verdict};
pub use declare::TeamText;
pub use problem::{Problem, Problems, Spot};
pub use rows::Files;
pub use settings::Settings;
