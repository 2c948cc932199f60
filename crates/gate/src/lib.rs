//! The daemon of an entry VM: callers on one side, backend servers on the other.
//!
//! Stages of a request, one module each:
//!
//! 1. [`front`] accepts the caller's connection,
//! 2. [`read`] reads the request and finds its route; from then on it is a [`job`],
//! 3. [`serve`] picks a server and tries others as long as that is allowed,
//! 4. [`attempt`] sends it to one server and waits for the answer's head,
//! 5. [`answer`] passes the answer on, and lets another server go on where a
//!    stream of numbered [`events`] breaks.
//!
//! Beside it, [`follow`] and [`registry`] keep declarations and the list of backend
//! servers up to date, and [`directory`] tells callers where to connect. All of it
//! goes through one [`client`] and meets in [`shared`].

pub mod answer;
pub mod attempt;
pub mod client;
mod command;
pub mod directory;
pub mod events;
pub mod follow;
pub mod front;
pub mod job;
pub mod logs;
pub mod metrics;
pub mod read;
pub mod registry;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared;

pub use command::main;
pub use settings::Settings;
