//! The operators' command line.
//!
//! A command passes through these stages:
//!
//! 1. [`options`] takes the options, the rest is one command,
//! 2. [`language`] parses the command from its [`token`]s, against the
//!    [`schema`] of what can be shown; a [`fault`] points at the column,
//! 3. [`run`] carries it out with any daemon that answers ([`client`]), from
//!    [`files`] of declarations,
//! 4. [`gates`] asks daemons on the users' platform what they believe, and [`trace`] tells
//!    a request's way from their logs,
//! 5. [`query`] chooses the rows to show and [`output`] prints them.

pub mod apply;
pub mod client;
pub mod exit;
pub mod fault;
pub mod files;
pub mod gates;
pub mod language;
pub mod options;
pub mod output;
pub mod query;
pub mod run;
pub mod schema;
pub mod token;
pub mod trace;

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    let options = options::options().run();
    run::main(&options).into()
}
