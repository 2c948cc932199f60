//! The operators' command line.
//!
//! A command passes through these stages:
//!
//! 1. [`options`] takes the options, the rest is one command,
//! 2. [`language`] parses the command from its [`token`]s, against the
//!    [`schema`] of what can be shown; a [`fault`] points at the column,
//! 3. [`run`] carries it out with any daemon that answers ([`client`]), from
//!    [`files`] of declarations,
//! 4. [`query`] chooses the rows to show and [`output`] prints them.

pub mod apply;
pub mod client;
pub mod exit;
pub mod fault;
pub mod files;
pub mod language;
pub mod options;
pub mod output;
pub mod query;
pub mod run;
pub mod schema;
pub mod token;

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    let options = options::options().run();
    run::main(&options).into()
}
