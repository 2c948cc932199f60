//! Which model is resident on which runner.
//!
//! Stages of a placement, none of which needs a network:
//!
//! 1. [`planner`] says what each runner of a [`pool`] is to hold, by [`demand`],
//! 2. [`follow`] decides the next steps of one runner towards that,
//! 3. [`spare`] keeps the last replica of everything declared,
//! 4. [`ledger`] reserves the memory before an order is sent and frees it only
//!    when the engine's [`report`] proves that nothing can hold it any more,
//! 5. [`residence`] is what entries learn of the result.

pub mod asset;
pub mod balance;
pub mod demand;
pub mod follow;
pub mod ledger;
pub mod planner;
pub mod pool;
pub mod report;
pub mod residence;
pub mod spare;

pub use asset::Asset;
pub use demand::Demand;
pub use follow::{Follow, Situation, Want, follow};
pub use ledger::{Full, Item, ItemState, Ledger, Load, Order, OrderKind, Span};
pub use planner::plan;
pub use pool::{ModelState, Placement, PoolState, RunnerState};
pub use report::{AssetState, OrderState, Report};
pub use residence::{Residence, Resident};
pub use spare::witnesses;
