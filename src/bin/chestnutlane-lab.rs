//! Experiments on the decisions and measurements of the daemons.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnut_lab::main()
}
