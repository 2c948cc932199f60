//! The daemon that runs on every entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnut_node::main()
}
