//! Stand-ins of the platform, model engines and plain services, for tests.

use std::process::ExitCode;

/// Runs the program.
pub fn main() -> ExitCode {
    ExitCode::SUCCESS
}
