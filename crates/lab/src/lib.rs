//! Experiments on the decisions and measurements of the daemons.
//!
//! - [`causes`]: where requests were lost, by the logs of daemons,
//! - [`policies`]: admission and routing under load, against baselines and a bound,
//! - [`config`]: how soon accepted declarations are in force and what it costs,
//! - [`decisions`]: what one decision costs,
//! - [`journal`]: what the journal of non-idempotent requests adds and writes,
//! - [`logs`]: what the log lines of a request cost,
//! - [`moves`]: placements of models under shifting demand, against baselines,
//! - [`slopes`]: what real daemons cost as the system grows.

pub mod causes;
pub mod config;
pub mod decisions;
pub mod journal;
pub mod logs;
pub mod moves;
pub mod policies;
mod resource_usage;
pub mod slopes;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Experiments on the decisions of chestnutlane.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Counts why requests were late or not served, by the logs of daemons.
    #[bpaf(command)]
    Causes(#[bpaf(external(causes::options))] causes::Options),
    /// Compares policies under load, in virtual time.
    #[bpaf(command)]
    Policies(#[bpaf(external(policies::options))] policies::Options),
    /// Measures what a decision costs.
    #[bpaf(command)]
    Decisions(#[bpaf(external(decisions::options))] decisions::Options),
    /// Measures how soon accepted declarations are in force and what that costs.
    #[bpaf(command)]
    Config(#[bpaf(external(config::options))] config::Options),
    /// Measures the journal of non-idempotent requests.
    #[bpaf(command)]
    Journal(#[bpaf(external(journal::options))] journal::Options),
    /// Measures what the log lines of a request cost.
    #[bpaf(command)]
    Logs(#[bpaf(external(logs::options))] logs::Options),
    /// Compares placements of models under shifting demand, in virtual time.
    #[bpaf(command)]
    Moves(#[bpaf(external(moves::options))] moves::Options),
    /// Measures what real daemons cost as the system grows.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
}

/// Runs the program.
pub fn main() -> ExitCode {
    match command().run() {
        Command::Causes(options) => return causes::run(&options),
        Command::Policies(options) => policies::run(&options),
        Command::Decisions(options) => decisions::run(&options),
        Command::Config(options) => config::run(&options),
        Command::Journal(options) => journal::run(&options),
        Command::Logs(options) => logs::run(&options),
        Command::Moves(options) => moves::run(&options),
        Command::Slopes(options) => return slopes::run(&options),
    }
    ExitCode::SUCCESS
}
