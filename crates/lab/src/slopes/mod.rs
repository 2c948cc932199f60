//! What real daemons cost as the system grows.
//!
//! Daemons run in this process beside the platform's stand-in, each on threads of
//! their own, so that the system tells the processor time of each apart. The
//! table is filled with rows of members, runners, claims and ledgers that no
//! process stands behind: to a daemon a system of 2,100 daemons looks like that.
//! Each experiment takes three or more sizes and a straight line is fitted.

mod fit;
mod requests;
mod rows;
mod state;
mod testbed;

use std::process::ExitCode;

use bpaf::Bpaf;
use serde::Serialize;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Print one JSON object a line
    json: bool,
    /// Seconds for which each size is watched
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// Only this experiment: state, changes or requests
    #[bpaf(argument("NAME"))]
    only: Option<String>,
}

/// One measured size of one experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// The experiment.
    pub experiment: &'static str,
    /// What grows.
    pub unit: &'static str,
    /// How much of it there was.
    pub size: f64,
    /// What was measured, and its value.
    pub values: Vec<(&'static str, f64)>,
}

/// Runs the experiments.
pub fn run(options: &Options) -> ExitCode {
    let wanted =
        |name: &str| options.only.as_ref().is_none_or(|only| only.as_str() == name);
    let mut points = Vec::new();
    let experiments: [(&str, Experiment); 3] = [
        ("state", state::run),
        ("changes", state::run_changes),
        ("requests", requests::run),
    ];
    for (name, experiment) in experiments {
        if !wanted(name) {
            continue;
        }
        match experiment(options.seconds) {
            Ok(found) => points.extend(found),
            Err(error) => {
                eprintln!("{name}: {error}; free ports and memory and run it again");
                return ExitCode::FAILURE;
            }
        }
    }
    if points.is_empty() {
        eprintln!("there is no such experiment; choose state, changes or requests");
        return ExitCode::from(2);
    }
    if options.json {
        fit::print_json(&points);
    } else {
        fit::print_table(&points);
    }
    ExitCode::SUCCESS
}

type Experiment = fn(u64) -> Result<Vec<Point>, testbed::ExperimentError>;
