//! The daemon's command line.

use std::io::{Write, stdout};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use chestnut_base::SystemClock;
use chestnut_config::Settings;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::logs;
use crate::run::{self, Daemon};

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The exit code of a daemon that could not start.
const EXIT_START_FAILED: u8 = 1;

/// Serves many bursty models from fewer accelerators: the daemon of an entry VM.
///
/// Exit codes: 0 after a planned shutdown, 1 if it could not start, 2 if the settings
/// are invalid.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Check a settings file without starting
    #[bpaf(command)]
    Check {
        /// The settings, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Run the daemon until SIGTERM or SIGINT
    #[bpaf(command)]
    Run {
        /// The settings, JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Runs the daemon's command line and returns the exit code of the process.
pub fn main() -> ExitCode {
    match options().run() {
        Options::Check { file } => match read_settings(&file) {
            Ok(settings) => {
                println!("{}: valid settings for VM {}", file.display(), settings.vm);
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Options::Run { file } => match read_settings(&file) {
            Ok(settings) => serve(settings),
            Err(code) => code,
        },
    }
}

fn read_settings(file: &Path) -> Result<Settings, ExitCode> {
    let invalid = ExitCode::from(EXIT_INVALID_SETTINGS);
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("{name} can't be read ({error}); name an existing file");
        invalid
    })?;
    Settings::parse(&name, &text).map_err(|problems| {
        eprintln!("{problems}");
        invalid
    })
}

fn serve(settings: Settings) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't start ({error}); free memory or threads");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    runtime.block_on(serve_until_signal(settings))
}

async fn serve_until_signal(settings: Settings) -> ExitCode {
    let log = logs::logger(settings.log_level, settings.vm.as_str());
    let daemon = match run::start(settings, Arc::new(SystemClock), log).await {
        Ok(daemon) => daemon,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    shut_down_on_signal(&daemon);
    if let Err(error) = print_addresses(&daemon) {
        eprintln!("the addresses can't be printed ({error}); connect standard output");
        return ExitCode::from(EXIT_START_FAILED);
    }
    daemon.run().await;
    ExitCode::SUCCESS
}

/// Prints the bound addresses as one line of JSON, for the process that started this one.
fn print_addresses(daemon: &Daemon) -> std::io::Result<()> {
    let addresses = daemon.addresses;
    let line = json!({
        "caller": addresses.caller.to_string(),
        "peer": addresses.peer.to_string(),
        "ops": addresses.ops.to_string(),
    });
    let mut out = stdout();
    writeln!(out, "{line}")?;
    out.flush()
}

fn shut_down_on_signal(daemon: &Daemon) {
    let node = daemon.node().clone();
    // Installed before the addresses are printed: the parent process may send a signal
    // once it has read them, and without handlers that would end all requests in flight.
    let mut sigterm =
        signal(SignalKind::terminate()).expect("signal handlers can be installed");
    let mut sigint =
        signal(SignalKind::interrupt()).expect("signal handlers can be installed");
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        node.shared.shutting_down.send_replace(true);
    });
}
