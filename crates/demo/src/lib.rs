//! The whole system in one process, with embedded stand-ins.
//!
//! 1. [`stage`] starts the stand-ins and three daemons in two failure domains,
//!    and declares models, adapters and a plain service,
//! 2. [`burst`] sends a mix of requests as several callers,
//! 3. [`tally`] counts what the callers received and what really ran.

pub mod burst;
pub mod stage;
pub mod tally;

use std::io::{Write, stdout};
use std::process::ExitCode;

use bpaf::Bpaf;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use self::stage::{Stage, StageError};
use self::tally::Tally;

/// The exit code when a caller did not get what it must get.
const BROKEN: u8 = 1;

/// The exit code when the demo could not be carried out.
const NOT_RUN: u8 = 2;

/// Runs the whole system in one process and shows what its callers receive.
///
/// Exit codes: 0 if every answer was whole and its own caller's and nothing ran
/// twice that must not, 1 if not, 2 if the demo could not be carried out.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Print one line of JSON instead of the table
    json: bool,
    /// Stay up and print commands to try
    keep: bool,
    /// How many times the usual burst is sent at once
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    scale: usize,
}

/// Runs the program.
pub fn main() -> ExitCode {
    let options = options().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't start ({error}); free memory or threads");
            return ExitCode::from(NOT_RUN);
        }
    };
    match runtime.block_on(show(&options)) {
        Ok(tally) if tally.is_fine() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("the demo could not be carried out: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Waits for SIGINT or SIGTERM, so that the temporary keys are removed at the end.
async fn wait_for_end() {
    let mut term = match signal(SignalKind::terminate()) {
        Ok(term) => term,
        Err(error) => {
            eprintln!("signals can't be waited for ({error}); the demo ends");
            return;
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn print(text: &str) -> Result<(), StageError> {
    let mut out = stdout();
    let printed = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    printed.map_err(|error| StageError::Output(error.to_string()))
}

async fn show(options: &Options) -> Result<Tally, StageError> {
    let stage = Stage::start().await?;
    let results = burst::run(&stage, options.scale.max(1)).await?;
    let tally = Tally::count(&stage, &results).await?;
    let text =
        if options.json { format!("{}\n", json!(tally)) } else { tally.to_string() };
    print(&text)?;
    if options.keep {
        print(&stage.explain())?;
        wait_for_end().await;
    }
    stage.stop().await;
    Ok(tally)
}
