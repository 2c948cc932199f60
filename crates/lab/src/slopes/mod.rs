//! Measures the resource use of real daemons as the system grows.
//!
//! Daemons and a fake platform run in this process on separate threads, so that only
//! the daemons' CPU time is counted. The table holds rows of members, runners, claims
//! and ledgers without any process behind them, so that a daemon observes a system of up
//! to 2,100 daemons. Each experiment measures three or more sizes and fits a line to each
//! value.

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
    /// Print one JSON object per line.
    json: bool,
    /// Duration of the measurement at each size, in seconds.
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    seconds: u64,
    /// Run only this experiment: state, changes or requests.
    #[bpaf(argument("NAME"))]
    only: Option<String>,
}

/// The results of an experiment at one size.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// The unit of `size`, such as a runner.
    pub unit: &'static str,
    /// The size, in that unit.
    pub size: f64,
    /// Measured values by column name, which includes the unit.
    pub values: Vec<(&'static str, f64)>,
}

/// Runs the selected experiments and prints points and fits.
///
/// Exits with 1 where an experiment fails and with 2 where none has the given name.
pub fn run(options: &Options) -> ExitCode {
    let is_selected =
        |name: &str| options.only.as_ref().is_none_or(|only| only.as_str() == name);
    let mut points = Vec::new();
    let experiments: [(&str, Experiment); 3] = [
        ("state", state::run),
        ("changes", state::run_changes),
        ("requests", requests::run),
    ];
    for (name, experiment) in experiments {
        if !is_selected(name) {
            continue;
        }
        match experiment(options.seconds) {
            Ok(measured) => points.extend(measured),
            Err(error) => {
                eprintln!("{name}: {error}; free up ports and memory and run it again");
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

/// Measures each size for the given number of seconds.
type Experiment = fn(u64) -> Result<Vec<Point>, testbed::ExperimentError>;
