//! The daemon of an entry VM, which forwards callers' requests to backend servers.
//!
//! Stages of a request, one module each:
//!
//! 1. [`listener`] accepts the caller's connection,
//! 2. [`read`] reads the request, matches its route and makes it a [`job`],
//!    after [`accounts`] has found the client account that sent it,
//! 3. [`resumption`] finds out which software version began the stream that it resumes, if
//!    any, from records of daemons and from [`software_rows`],
//! 4. [`charge`] charges it to the account's limit, which other daemons' [`account_slices`]
//!    keep,
//! 5. [`serve`] has [`pick`] choose one of the [`eligible`] servers, and retries within the
//!    operators' bound ([`retries`]),
//! 6. [`attempt`] sends it to one server and waits for the response head, unless the request
//!    has crashed servers ([`crashes`], [`blocked_requests`]); it goes directly or, if the
//!    daemon can't connect to the server ([`mod@paths`]), through another daemon ([`forward`]),
//! 7. [`relay`] relays the response as far as its [`framing`] tells its end, and lets another server continue where a
//!    stream of numbered [`events`] breaks or stops for more urgent requests ([`yielding`]).
//!
//! To pick a runner, a daemon requests bids ([`bidding`]), which estimate the time to the
//! first event, from the daemons that hold the runners' claims. To pick a plain service's
//! server, it requests a permit ([`permit`]) from the service's [`permit_queue`].
//! [`members`] and [`claims`] determine the holders, [`share_rows`] a daemon's part of bounds
//! on the cluster. The [`holder`] of a runner collects
//! [`usage_reports`], decides on [`admission`] and on the [`sharing`] of the runner between
//! requests, and sends orders with its [`driver`]; [`server_speeds`] learns how fast the
//! runner is. The
//! [`planner`] assigns models to runners and writes [`persisted_timings`]. Daemons exchange
//! datagrams: [`message`], [`peers`], [`receive`].
//!
//! [`table_sync`] keeps a [`table_replica`] of each of the [`store`]'s tables, and
//! [`table_source`] decides from where it is updated. From the replicas [`registry`] reads
//! declarations and backend servers. [`directory`] serves the addresses that callers connect
//! to; [`introspection`] serves [`metrics`] and the daemon's state. All requests go through
//! one [`client`], within its [`read_limit`]; modules share their state in [`shared`].

pub mod account_slices;
pub mod accounts;
pub mod admission;
pub mod attempt;
pub mod backoff;
pub mod bidding;
pub mod blocked_requests;
pub mod charge;
pub mod claims;
pub mod client;
mod command;
pub mod crashes;
pub mod directory;
pub mod driver;
pub mod eligible;
pub mod events;
pub mod forward;
pub mod framing;
pub mod holder;
pub mod introspection;
pub mod job;
pub mod late_binding;
pub mod listener;
pub mod logs;
pub mod members;
pub mod message;
pub mod metrics;
pub mod pace;
pub mod paths;
pub mod peers;
pub mod permit;
pub mod permit_queue;
pub mod persisted_timings;
pub mod pick;
pub mod plan;
pub mod planner;
pub mod read;
pub mod read_limit;
pub mod receive;
pub mod registry;
pub mod relay;
pub mod resumption;
pub mod retries;
pub mod run;
pub mod serve;
pub mod server_limits;
pub mod server_speeds;
pub mod settings;
pub mod share_rows;
pub mod shared;
pub mod sharing;
pub mod software_rows;
pub mod store;
pub mod table_replica;
pub mod table_source;
pub mod table_sync;
pub mod usage_reports;
pub mod yielding;

pub use command::main;
pub use settings::Settings;
