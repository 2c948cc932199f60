//! Simulations and measurements of the daemons.
//!
//! - [`accounts`]: ways to divide a client account's limit between daemons, under failures,
//! - [`causes`]: why requests were late or not served, from the logs of daemons,
//! - [`policies`]: admission and routing under load, compared with baselines and an upper bound,
//! - [`config`]: delay until accepted declarations are in force, and the table traffic,
//! - [`decisions`]: computing time of single decisions,
//! - [`journal`]: latency and writes that the journal of non-idempotent requests adds,
//! - [`logs`]: CPU time of logging a request,
//! - [`moves`]: placement of models under shifting demand, compared with baselines,
//! - [`slopes`]: resource use of real daemons as the system grows.

pub mod accounts;
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

/// Simulates and measures chestnutlane.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Compares ways to divide a client account's limit, in virtual time.
    #[bpaf(command)]
    Accounts(#[bpaf(external(accounts::options))] accounts::Options),
    /// Counts why requests were late or not served, from the logs of daemons.
    #[bpaf(command)]
    Causes(#[bpaf(external(causes::options))] causes::Options),
    /// Compares admission and routing policies under load, in virtual time.
    #[bpaf(command)]
    Policies(#[bpaf(external(policies::options))] policies::Options),
    /// Measures the computing time of single decisions.
    #[bpaf(command)]
    Decisions(#[bpaf(external(decisions::options))] decisions::Options),
    /// Measures the delay until accepted declarations are in force, and the table traffic.
    #[bpaf(command)]
    Config(#[bpaf(external(config::options))] config::Options),
    /// Measures the journal of non-idempotent requests.
    #[bpaf(command)]
    Journal(#[bpaf(external(journal::options))] journal::Options),
    /// Measures the CPU time of logging a request.
    #[bpaf(command)]
    Logs(#[bpaf(external(logs::options))] logs::Options),
    /// Compares placement policies under shifting demand, in virtual time.
    #[bpaf(command)]
    Moves(#[bpaf(external(moves::options))] moves::Options),
    /// Measures the resource use of real daemons as the system grows.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::options))] slopes::Options),
}

/// Runs the experiment that the command line selects.
pub fn main() -> ExitCode {
    match command().run() {
        Command::Accounts(options) => accounts::run(&options),
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
