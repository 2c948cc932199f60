//! The operators' command line.

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
