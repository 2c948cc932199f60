//! Parser and executor for the scenario files.
//!
//! 1. [`parse`] turns a file into [`command`]s,
//! 2. [`steps`] executes them in a [`cluster`] of [`process`]es,
//! 3. [`request`] sends requests and derives facts from their responses,
//! 4. [`operator`] runs `chestnutctl`,
//! 5. [`invariants`] checks at the end what must hold in every scenario.

pub mod cluster;
pub mod command;
pub mod invariants;
pub mod operator;
pub mod parse;
pub mod process;
pub mod request;
pub mod steps;

use self::cluster::Cluster;
use self::command::Step;

/// Wait limit of every condition, far longer than any of them normally takes.
pub const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(40);

/// Message that explains why a scenario failed.
pub type Failure = String;

/// Runs a scenario in a new cluster, then checks the invariants; a failure includes the
/// ends of all logs.
pub async fn run(steps: Vec<Step>) -> Result<(), Failure> {
    let mut cluster = Cluster::new()?;
    for step in &steps {
        let result = steps::run(&mut cluster, &step.command).await;
        if let Err(reason) = result {
            return Err(
                cluster.failure_with_logs(&format!("line {}: {reason}", step.line))
            );
        }
    }
    let result = invariants::check(&cluster).await;
    result.map_err(|reason| {
        cluster.failure_with_logs(&format!("an invariant was violated: {reason}"))
    })
}
