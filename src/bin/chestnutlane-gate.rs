//! The daemon of an entry VM on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use chestnut_platform::Platform;

fn main() -> ExitCode {
    chestnut_gate::main(Arc::new(Platform))
}
