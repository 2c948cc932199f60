//! Experiments on the decisions and measurements of the daemons.

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
