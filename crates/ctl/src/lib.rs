//! `chestnutctl`, the operators' command line.
//!
//! - [`options`] parses the options; the remaining words are one command.
//! - [`language`] parses the command from its [`token`]s and checks it against the
//!   [`schema`] of what can be shown; a [`syntax_error`] names the column.
//! - [`run`] executes the command with the first daemon that responds ([`client`]) and
//!   the [`files`] of declarations; [`apply`] plans and applies changes.
//! - [`gates`] reads the state of daemons on the users' platform, and [`trace`] follows
//!   a request through their logs.
//! - [`query`] filters and sorts rows, [`output`] prints them.

pub mod apply;
pub mod client;
pub mod exit;
pub mod files;
pub mod gates;
pub mod language;
pub mod options;
pub mod output;
pub mod query;
pub mod run;
pub mod schema;
pub mod syntax_error;
pub mod token;
pub mod trace;

use std::process::ExitCode;

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let options = options::options().run();
    run::main(&options).into()
}
