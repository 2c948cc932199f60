//! The whole system in one process, with embedded stand-ins.
//!
//! The demo runs on chestnutlane's [`own`] interface or on the users' [`platform`]. It
//! starts stand-ins and three daemons and sends a mix of requests from several
//! callers; the [`tally`] shows what the callers received and what actually ran.

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

pub use self::error::DemoError;
use self::tally::Tally;

/// The exit code if [`Tally::is_correct`] is false.
const EXIT_CHECK_FAILED: u8 = 1;

/// The exit code if the demo could not be completed.
const EXIT_NOT_COMPLETED: u8 = 2;

/// Runs the whole system in one process and shows what its callers receive.
///
/// Exit codes: 0 if every response was complete and belonged to its request, and no
/// request ran twice that must not; 1 otherwise; 2 if the demo could not be completed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Run on the users' platform instead of chestnutlane's own interface
    platform: bool,
    /// Print one line of JSON instead of a table
    json: bool,
    /// Keep running and print commands to try
    keep: bool,
    /// Write the daemons' logs to standard error; not with `--platform`
    log: bool,
    /// Multiplies the number of requests in the burst
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    scale: usize,
    /// Send only this kind of request; can be repeated
    #[bpaf(argument("NAME"), many)]
    kind: Vec<String>,
}

/// Parses the arguments and runs the demo.
pub fn main() -> ExitCode {
    let options = options().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime ({error}); free memory or threads");
            return ExitCode::from(EXIT_NOT_COMPLETED);
        }
    };
    match runtime.block_on(run(&options)) {
        Ok(tally) if tally.is_correct() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            eprintln!("the demo could not be completed: {error}");
            ExitCode::from(EXIT_NOT_COMPLETED)
        }
    }
}

/// Waits for SIGINT or SIGTERM, so that the temporary keys are removed before the exit.
async fn wait_for_signal() {
    let mut term = match signal(SignalKind::terminate()) {
        Ok(term) => term,
        Err(error) => {
            eprintln!("can't wait for signals ({error}); the demo ends");
            return;
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn print(text: &str) -> Result<(), DemoError> {
    let mut out = stdout();
    let printed = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    printed.map_err(|error| DemoError::Output(error.to_string()))
}

async fn run(options: &Options) -> Result<Tally, DemoError> {
    match options.platform {
        false => run_own(options).await,
        true => run_platform(options).await,
    }
}

/// Whether a kind is selected; all are if `kinds` is empty.
fn is_selected(kinds: &[String], kind: &str) -> bool {
    kinds.is_empty() || kinds.iter().any(|selected| selected == kind)
}

/// Returns an error if one of the kinds is unknown.
fn check_kinds(kinds: &[String], known: &[&str]) -> Result<(), DemoError> {
    match kinds.iter().find(|kind| !known.contains(&kind.as_str())) {
        Some(kind) => Err(DemoError::UnknownKind(kind.clone(), known.join(", "))),
        None => Ok(()),
    }
}

async fn run_own(options: &Options) -> Result<Tally, DemoError> {
    check_kinds(&options.kind, &own::burst::WORKLOADS.map(|workload| workload.kind))?;
    let cluster = own::cluster::Cluster::start(options.log).await?;
    let tally = own::burst::run(&cluster, options.scale.max(1), &options.kind).await?;
    let limited = own::limits::run(&cluster).await?;
    report(options, &tally, &cluster.example_commands()).await?;
    if !options.json {
        print(&limited.to_string())?;
    }
    cluster.stop().await;
    Ok(tally)
}

async fn run_platform(options: &Options) -> Result<Tally, DemoError> {
    check_kinds(
        &options.kind,
        &platform::burst::WORKLOADS.map(|(_, workload)| workload.kind),
    )?;
    let caller = Caller::new("demo");
    let cluster = platform::cluster::Cluster::start(&caller).await?;
    let tally =
        platform::burst::run(&cluster, &caller, options.scale.max(1), &options.kind)
            .await?;
    report(options, &tally, &cluster.example_commands()).await?;
    Ok(tally)
}

/// Prints the result; with `--keep`, prints commands to try and waits for a signal.
async fn report(
    options: &Options,
    tally: &Tally,
    commands: &str,
) -> Result<(), DemoError> {
    let text =
        if options.json { format!("{}\n", json!(tally)) } else { tally.to_string() };
    print(&text)?;
    if options.keep {
        print(commands)?;
        wait_for_signal().await;
    }
    Ok(())
}
