//! The daemon of an entry VM: callers on one side, backend servers on the other.
//!
//! Stages of a request, one module each:
//!
//! 1. [`listener`] accepts the caller's connection,
//! 2. [`read`] reads the request and finds its route; from then on it is a [`job`],
//! 3. [`serve`] has a server [`pick`]ed and tries others as long as that is allowed,
//! 4. [`attempt`] sends it to one server and waits for the answer's head,
//! 5. [`relay`] passes the answer on, and lets another server go on where a
//!    stream of numbered [`events`] breaks.
//!
//! A runner is picked by asking ([`bidding`]) the daemons that hold the runners' claims; a
//! plain service's server by waiting ([`permit`]) in the service's [`permit_queue`].
//! [`members`] and [`claims`] settle who that is; a [`holder`] knows from [`sums`] what
//! is in flight at its runner, [`grant`]s requests their turn and gives orders by its
//! [`driver`]; the [`planner`] says which model goes where,
//! and keeps what was [`learnt`] of the runners. Daemons exchange
//! datagrams: [`message`], [`peers`], [`receive`].
//!
//! Beside it, [`follow`] keeps [`mirror`]s of the [`store`]'s tables, [`registry`] takes
//! in declarations and backend servers from them, and [`directory`] tells callers where
//! to connect; [`observe`] shows operators the [`metrics`] and what the daemon believes.
//! All of it goes through one [`client`] and meets in [`shared`].

pub mod attempt;
pub mod backoff;
pub mod bidding;
pub mod claims;
pub mod client;
mod command;
pub mod directory;
pub mod driver;
pub mod events;
pub mod follow;
pub mod grant;
pub mod holder;
pub mod job;
pub mod learnt;
pub mod listener;
pub mod logs;
pub mod members;
pub mod message;
pub mod metrics;
pub mod mirror;
pub mod observe;
pub mod peers;
pub mod permit;
pub mod permit_queue;
pub mod pick;
pub mod planner;
pub mod read;
pub mod receive;
pub mod registry;
pub mod relay;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod store;
pub mod sums;

pub use command::main;
pub use settings::Settings;
