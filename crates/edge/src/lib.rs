//! What the daemon exchanges with the outside, free of any wire format.
//!
//! A deployment's adapter implements the traits in [`dialect`]: it turns bytes
//! and headers into the types of the other modules and back, and decides
//! nothing. The daemon does the network I/O and takes the decisions.
//!
//! - [`call`]: a caller's request as far as the system reads it,
//! - [`declared`]: routes, services and models that operators declare,
//! - [`server`]: what a backend server says of itself in the registry,
//! - [`order`]: orders to model engines and their reports,
//! - [`store`]: rows of the platform's store.

pub mod call;
pub mod declared;
pub mod dialect;
pub mod order;
pub mod server;
pub mod store;

pub use call::{
    Attempt, Call, CallError, GenerationSize, PromptPart, ResponseHead, TargetModel,
};
pub use declared::{
    Declarations, Engine, Model, RequestLimits, Route, RouteKind, Service, TrafficShare,
};
pub use dialect::{
    BackendProtocol, CallerProtocol, DeclarationSource, DecodeError, Dialect,
    StoreProtocol,
};
pub use order::{EngineReport, Order, OrderAction, OrderResponse};
pub use server::{LoadedModel, Phase, ServerEntry};
pub use store::{
    Change, Delta, Page, Precondition, Transaction, TransactionOutcome, Write,
};
