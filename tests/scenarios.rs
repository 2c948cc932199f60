//! Runs the scenarios under `tests/cases` against real processes.
//!
//! Each file is one test. It opens with a few comment lines on the failure that it guards
//! against and how that comes about; the commands follow, one a line (see
//! `support::command`). At the end of each scenario the invariants in
//! `support::invariants` are checked.

mod support;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use libtest_mimic::{Arguments, Failed, Trial};

/// Maximum number of scenarios that run at the same time; each starts about eight
/// processes.
const MAX_PARALLEL: usize = 3;

const CASES_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases");

fn main() -> ExitCode {
    let mut args = Arguments::from_args();
    args.test_threads =
        Some(args.test_threads.map_or(MAX_PARALLEL, |n| n.min(MAX_PARALLEL)));
    let mut paths: Vec<_> = fs::read_dir(CASES_DIR)
        .expect("the scenarios can be listed")
        .map(|entry| entry.expect("the scenarios can be listed").path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "txt"))
        .collect();
    paths.sort();
    let trials = paths.into_iter().map(|path| {
        let name =
            path.file_stem().expect("a scenario file has a name").to_string_lossy();
        Trial::test(name.into_owned(), move || run(&path))
    });
    libtest_mimic::run(&args, trials.collect()).exit_code()
}

fn run(path: &Path) -> Result<(), Failed> {
    let text = fs::read_to_string(path)?;
    let steps = support::parse::parse(&text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    Ok(runtime.block_on(support::run(steps))?)
}
