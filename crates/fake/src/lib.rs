//! Stand-ins for the platform, model engines and plain services, for tests.
//!
//! Each stand-in is an HTTP server that keeps its state in memory. It can be embedded
//! or run as a process, and faults can be injected while it runs:
//!
//! - [`platform`]: the [`table`] service, the [`objects`] store, the list of [`vms`]
//!   and the [`weights`] store, on one port,
//! - [`engine`]: a model engine,
//! - [`service`]: a plain service.
//!
//! [`caller`] sends requests and checks the responses; [`certs`] creates the daemons'
//! certificates.
//!
//! `POST /faults` injects [`faults`]; `GET /counts` returns what actually ran.

pub mod caller;
pub mod certs;
mod cli;
pub mod engine;
pub mod faults;
mod listener;
pub mod objects;
pub mod platform;
pub mod service;
pub mod table;
pub mod vms;
pub mod weights;

pub use cli::main;
pub use engine::text::expected_text;
pub use engine::{EngineConfig, EngineCounts};
pub use listener::{Connection, CrashSwitch, ServerHandle};
pub use platform::PlatformCounts;
pub use service::{ServiceConfig, ServiceCounts};
pub use weights::WeightStoreConfig;
