//! Stand-ins of the platform, model engines and plain services, for tests.
//!
//! Each is an HTTP server that keeps its state in memory, can be embedded or
//! run as a process, and has faults that are switched while it runs:
//!
//! - [`platform`]: the [`table`] service, the store of [`objects`], the list of
//!   [`vms`] and the store of [`weights`], behind one port,
//! - [`engine`]: a model engine,
//! - [`service`]: a plain service.
//!
//! [`caller`] sends requests and judges the answers, [`certs`] makes daemons'
//! certificates.
//!
//! `POST /faults` switches [`faults`], `GET /counts` tells what really ran.

pub mod caller;
pub mod certs;
mod cli;
pub mod engine;
pub mod faults;
pub mod objects;
pub mod platform;
mod port;
pub mod service;
pub mod table;
pub mod vms;
pub mod weights;

pub use cli::main;
pub use engine::text::expected_text;
pub use engine::{EngineConfig, EngineCounts};
pub use platform::PlatformCounts;
pub use port::ServerHandle;
pub use service::{ServiceConfig, ServiceCounts};
pub use weights::WeightStoreConfig;
