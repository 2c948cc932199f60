//! Stand-ins of the platform, model engines and plain services, for tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnut_fake::main()
}
