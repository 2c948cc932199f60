//! The whole system in one process, with embedded stand-ins.
//!
//! It runs on its [`own`] interface or on the users' [`platform`]: stand-ins and three
//! daemons are started, several callers send a mix of requests, and the [`tally`] tells
//! what they received and what really ran.

mod error;
pub mod own;
pub mod platform;
pub mod tally;

use std::io::{Write, stdout};
use std::process::ExitCode;

use bpaf::Bpaf;
use chestnut_platform_stand_in::Caller;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

pub use self::error::StageError;
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
    /// Run on the users' platform instead of the own interface
    platform: bool,
    /// Print one line of JSON instead of the table
    json: bool,
    /// Stay up and print commands to try
    keep: bool,
    /// How many times the usual burst is sent at once
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    scale: usize,
    /// Send this kind of request only; may be given more than once
    #[bpaf(argument("NAME"), many)]
    kind: Vec<String>,
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
    match options.platform {
        false => show_own(options).await,
        true => show_platform(options).await,
    }
}

/// Whether a kind is among those that are to be sent; all are if none is named.
fn is_wanted(kinds: &[String], kind: &str) -> bool {
    kinds.is_empty() || kinds.iter().any(|one| one == kind)
}

/// Refuses names that no kind has.
fn check_kinds(kinds: &[String], known: &[&str]) -> Result<(), StageError> {
    match kinds.iter().find(|kind| !known.contains(&kind.as_str())) {
        Some(kind) => Err(StageError::Kind(kind.clone(), known.join(", "))),
        None => Ok(()),
    }
}

async fn show_own(options: &Options) -> Result<Tally, StageError> {
    check_kinds(&options.kind, &own::burst::MIXES.map(|mix| mix.kind))?;
    let stage = own::stage::Stage::start().await?;
    let tally = own::burst::run(&stage, options.scale.max(1), &options.kind).await?;
    print_all(options, &tally, &stage.explain()).await?;
    stage.stop().await;
    Ok(tally)
}

async fn show_platform(options: &Options) -> Result<Tally, StageError> {
    check_kinds(&options.kind, &platform::burst::MIXES.map(|(_, mix)| mix.kind))?;
    let caller = Caller::new("demo");
    let stage = platform::stage::Stage::start(&caller).await?;
    let tally =
        platform::burst::run(&stage, &caller, options.scale.max(1), &options.kind)
            .await?;
    print_all(options, &tally, &stage.explain()).await?;
    Ok(tally)
}

/// Prints the result, and waits for the user's end if asked to stay up.
async fn print_all(
    options: &Options,
    tally: &Tally,
    commands: &str,
) -> Result<(), StageError> {
    let text =
        if options.json { format!("{}\n", json!(tally)) } else { tally.to_string() };
    print(&text)?;
    if options.keep {
        print(commands)?;
        wait_for_end().await;
    }
    Ok(())
}
