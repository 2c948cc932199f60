//! Which model is resident on which runner.
//!
//! Stages of a placement, none of which needs a network:
//!
//! 1. [`planner`] says what each runner of a [`pool`] is to hold, by [`demand`],
//! 2. [`reconcile`] decides the next steps of one runner towards that,
//! 3. [`witness`] keeps the last replica of everything declared,
//! 4. [`ledger`] reserves the memory before an order is sent and frees it only
//!    when the engine's [`report`] proves that nothing can hold it any more,
//! 5. [`residency`] is what entries learn of the result.

pub mod asset;
pub mod balance;
pub mod demand;
pub mod ledger;
pub mod planner;
pub mod pool;
pub mod reconcile;
pub mod report;
pub mod residency;
pub mod witness;

pub use asset::Asset;
pub use demand::DemandEstimate;
pub use ledger::{
    InsufficientMemory, Ledger, LoadOrder, Order, OrderKind, Reservation,
    ReservationState, TimeRange,
};
pub use planner::plan_placement;
pub use pool::{ModelState, Placement, PoolState, RunnerState};
pub use reconcile::{DesiredAsset, DropChecks, ReconcileResult, reconcile};
pub use report::{AssetState, OrderState, Report};
pub use residency::{Residency, ResidentAssets};
pub use witness::witnesses;
