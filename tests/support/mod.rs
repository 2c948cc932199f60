//! The small language of the scenarios.
//!
//! 1. [`parse`] turns a file into [`command`]s,
//! 2. [`steps`] carries them out in a [`world`] of [`process`]es,
//! 3. [`ask`] sends requests and tells facts of their answers,
//! 4. [`promises`] checks at the end what must hold in every scenario.

pub mod ask;
pub mod command;
pub mod operate;
pub mod parse;
pub mod process;
pub mod promises;
pub mod steps;
pub mod world;

use self::command::Step;
use self::world::World;

/// The longest that anything is waited for, far more than it takes.
pub const PATIENCE: std::time::Duration = std::time::Duration::from_secs(40);

/// Why a scenario failed.
pub type Failure = String;

/// Runs a scenario in a world of its own.
pub async fn run(steps: Vec<Step>) -> Result<(), Failure> {
    let mut world = World::new()?;
    for step in &steps {
        let done = steps::run(&mut world, &step.command).await;
        if let Err(why) = done {
            return Err(world.report(&format!("line {}: {why}", step.line)));
        }
    }
    let kept = promises::check(&world).await;
    kept.map_err(|why| world.report(&format!("a promise was broken: {why}")))
}
