//! Runs the scenarios under `tests/cases` against real processes.
//!
//! Each file is one test. It starts with a few comment lines that tell what the
//! caller sees, in what order things happen, and why; then come commands, one a
//! line (see `support::command`). What must hold in every scenario is checked at
//! the end of each (see `support::promises`).

mod support;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use libtest_mimic::{Arguments, Failed, Trial};

/// Scenarios that run at the same time; each starts about eight processes.
const PARALLEL: usize = 3;

const CASES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases");

fn main() -> ExitCode {
    let mut args = Arguments::from_args();
    args.test_threads = Some(args.test_threads.map_or(PARALLEL, |n| n.min(PARALLEL)));
    let mut paths: Vec<_> = fs::read_dir(CASES)
        .expect("the cases can be listed")
        .map(|entry| entry.expect("the cases can be listed").path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "txt"))
        .collect();
    paths.sort();
    let trials = paths.into_iter().map(|path| {
        let name = path.file_stem().expect("a case has a name").to_string_lossy();
        Trial::test(name.into_owned(), move || run(&path))
    });
    libtest_mimic::run(&args, trials.collect()).exit_code()
}

fn run(path: &Path) -> Result<(), Failed> {
    let text = fs::read_to_string(path)?;
    let case = support::parse::parse(&text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    Ok(runtime.block_on(support::run(case))?)
}
