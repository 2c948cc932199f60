//! Runs the scenarios under `tests/cases` against real processes.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = libtest_mimic::Arguments::from_args();
    libtest_mimic::run(&args, Vec::new()).exit_code()
}
