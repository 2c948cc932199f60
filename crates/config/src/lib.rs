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
//! 4. [`change`] says what an operator asks for, [`plan`] what it would do, and
//!    [`apply`] takes it to its one answer, in [`rows`] of the platform's table
//!    (with their [`history`]),
//! 5. [`replica`] is what each daemon has of them, and whether it is fresh.

pub mod apply;
pub mod catalog;
pub mod change;
pub mod check;
pub mod declare;
pub mod history;
pub mod keys;
pub mod plan;
pub mod problem;
pub mod replica;
pub mod rows;
pub mod settings;
pub mod source;
pub mod union;

pub use apply::{Answer, Applier};
pub use catalog::{Adapter, Caller, Catalog, Kind, Model, Pool, Route, Service};
pub use change::{Change, Reason, Verdict};
pub use declare::TeamText;
pub use plan::Plan;
pub use problem::{Problem, Problems, Spot};
pub use replica::{Handover, Replica};
pub use rows::Files;
pub use settings::Settings;
pub use union::Union;
