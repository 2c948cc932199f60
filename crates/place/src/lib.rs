//! Placement of models on runners.
//!
//! A placement passes through these stages, none of which needs a network:
//!
//! 1. [`planner`] decides which models each runner of a [`pool`] should hold, by their
//!    [`demand`] and the resulting [load](balance),
//! 2. [`reconcile`](mod@reconcile) decides the next steps of one runner towards that,
//! 3. [`witness`] protects the last replica of each declared model and adapter,
//! 4. [`ledger`] reserves memory before an order is sent and frees it only when the
//!    engine's [`report`] proves that nothing can hold it any more,
//! 5. [`residency`] gives entries an index of the result.

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
