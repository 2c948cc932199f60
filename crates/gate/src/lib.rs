//! The daemon of an entry VM: callers on one side, backend servers on the other.
//!
//! Stages of a request, one module each:
//!
//! 1. [`front`] accepts the caller's connection,
//! 2. [`read`] reads the request and finds its route; from then on it is a [`job`],
//! 3. [`serve`] has a server [`pick`]ed and tries others as long as that is allowed,
//! 4. [`attempt`] sends it to one server and waits for the answer's head,
//! 5. [`answer`] passes the answer on, and lets another server go on where a
//!    stream of numbered [`events`] breaks.
//!
//! A runner is picked by asking ([`ask`]) the daemons that hold the runners' claims; a
//! plain service's server by waiting ([`enqueue`]) in the service's [`queue`].
//! [`members`] and [`claims`] settle who that is; a [`holder`] knows from [`usage_reports`] what
//! is in flight at its runner, grants ([`admission`]) requests their turn and gives orders by its
//! [`driver`]; the [`planner`] says which model goes where,
//! and keeps what was learnt ([`persisted_timings`]) of the runners. Daemons exchange
//! datagrams: [`message`], [`peers`], [`receive`].
//!
//! Beside it, [`table_sync`] keeps [`table_replica`]s of the [`store`]'s tables, [`registry`] takes
//! in declarations and backend servers from them, and [`directory`] tells callers where
//! to connect; [`introspection`] shows operators the [`metrics`] and what the daemon believes.
//! All of it goes through one [`client`] and meets in [`shared`].

pub mod admission;
pub mod answer;
pub mod ask;
pub mod attempt;
pub mod backoff;
pub mod claims;
pub mod client;
mod command;
pub mod directory;
pub mod driver;
pub mod enqueue;
pub mod events;
pub mod front;
pub mod holder;
pub mod introspection;
pub mod job;
pub mod logs;
pub mod members;
pub mod message;
pub mod metrics;
pub mod peers;
pub mod persisted_timings;
pub mod pick;
pub mod planner;
pub mod queue;
pub mod read;
pub mod receive;
pub mod registry;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod store;
pub mod table_replica;
pub mod table_sync;
pub mod usage_reports;

pub use command::main;
pub use settings::Settings;
