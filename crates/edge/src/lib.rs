//! The data that the daemon exchanges with the outside, independent of wire formats.
//!
//! A deployment's adapter implements the traits in [`dialect`]: it translates between
//! messages on the wire and the types of the other modules. The adapter takes no
//! decisions; those and the network I/O are up to the daemon.
//!
//! - [`call`]: callers' requests and backend servers' responses,
//! - [`declared`]: routes, services and models that operators declare,
//! - [`server`]: backend servers' entries in the registry,
//! - [`order`]: orders to model engines and the engines' reports,
//! - [`store`]: rows and transactions of the platform's store.

pub mod call;
pub mod declared;
pub mod dialect;
pub mod order;
pub mod server;
pub mod store;

pub use call::{
    Attempt, Call, CallError, Caller, Credential, EchoedId, GenerationSize, InvalidRate,
    PromptPart, RequestRate, ResponseHead, TargetModel,
};
pub use declared::{
    Declarations, Engine, Model, RequestLimits, Route, RouteKind, Service, TrafficShare,
};
pub use dialect::{
    BackendProtocol, CallerProtocol, DeclarationSource, DecodeError, Dialect,
    StoreProtocol,
};
pub use order::{EngineReport, Order, OrderAction, OrderResponse};
pub use server::{EntryError, LoadedModel, MAX_SLOTS, Phase, ServerEntry};
pub use store::{
    Change, Delta, Page, Precondition, Transaction, TransactionOutcome, Write,
};
