//! The whole system in one process, with embedded stand-ins.

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
