//! The whole system in one process, with embedded stand-ins.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnut_demo::main()
}
