//! Settings of a daemon and declarations of the teams.
//!
//! - [`reader`] reads JSON with comments field by field and records every
//!   [`problem`] with its location.
//! - [`settings_parser`] reads a daemon's [`settings`], [`declarations`] the
//!   files of one team.
//! - [`merge`] checks the declarations of all teams together and builds the
//!   [`catalog`] of a revision.
//! - [`change`] is an operator's request for a change, [`plan`] its expected
//!   effect. [`apply`] carries it out as a transaction on the [`rows`] of the
//!   platform's table; [`history`] restores earlier files.
//! - [`replica`] is a daemon's copy of the files and tracks whether it is fresh.

pub mod apply;
pub mod catalog;
pub mod change;
pub mod declarations;
pub mod history;
pub mod keys;
pub mod merge;
pub mod plan;
pub mod problem;
pub mod reader;
pub mod replica;
pub mod rows;
pub mod settings;
pub mod settings_parser;

pub use apply::{Applier, ApplyOutcome};
pub use catalog::{Adapter, Caller, Catalog, Kind, Model, Pool, Route, Service};
pub use change::{Change, RefusalReason, Verdict};
pub use declarations::TeamFiles;
pub use merge::MergedDeclarations;
pub use plan::Plan;
pub use problem::{Location, Problem, Problems};
pub use replica::{ConfigReplica, ReplicaUpdate};
pub use rows::Files;
pub use settings::Settings;
