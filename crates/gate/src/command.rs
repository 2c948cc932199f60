//! The daemon's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use chestnut_base::SystemClock;
use chestnut_edge::{Declarations, Dialect};

use crate::plan::Severity;
use crate::settings::Settings;
use crate::{logs, plan, run};

/// Environment variable with the path of the settings file.
const SETTINGS_ENV: &str = "CHESTNUTLANE_CONFIG";

/// Exit code for invalid settings or declarations.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code for a daemon that could not start.
const EXIT_START_FAILED: u8 = 1;

/// Serves many bursty models from fewer accelerators: the daemon of an entry VM.
///
/// Exit codes: 0 after a planned stop, 1 if it could not start, 2 if the settings or
/// declarations can't be used.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Check a settings file without starting
    #[bpaf(command)]
    Check {
        /// The settings, JSON with comments; else the file that CHESTNUTLANE_CONFIG names
        #[bpaf(positional("FILE"), optional)]
        file: Option<PathBuf>,
    },
    /// Check declarations before they are sent, and show what they change
    #[bpaf(command)]
    Plan {
        /// The new declarations, as they are stored
        #[bpaf(positional("NEW"))]
        new: PathBuf,
        /// The declarations in force, to compare with
        #[bpaf(positional("CURRENT"), optional)]
        current: Option<PathBuf>,
    },
    /// Run the daemon until SIGTERM
    #[bpaf(command)]
    Run {
        /// The settings, JSON with comments; else the file that CHESTNUTLANE_CONFIG names
        #[bpaf(positional("FILE"), optional)]
        file: Option<PathBuf>,
    },
}

/// Runs the daemon's command line with a deployment's adapter.
pub fn main(dialect: Arc<dyn Dialect>) -> ExitCode {
    let (file, check) = match options().run() {
        Options::Check { file } => (file, true),
        Options::Run { file } => (file, false),
        Options::Plan { new, current } => {
            return show_plan(&*dialect, &new, current.as_deref());
        }
    };
    let Some(file) = file.or_else(|| std::env::var_os(SETTINGS_ENV).map(Into::into))
    else {
        eprintln!("no settings file; name one or set {SETTINGS_ENV}");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    match Settings::read(&file) {
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        Ok(settings) if check => {
            println!("{}: settings are valid, for {}", file.display(), settings.vm);
            ExitCode::SUCCESS
        }
        Ok(settings) => serve(settings, dialect),
    }
}

/// Checks new declarations and prints what was found.
fn show_plan(dialect: &dyn Dialect, new: &Path, current: Option<&Path>) -> ExitCode {
    let read = |path: &Path| -> Result<Declarations, String> {
        let error = |why: String| format!("error: {}: {why}", path.display());
        let text = std::fs::read(path).map_err(|source| {
            error(format!("it can't be read ({source}); name another file"))
        })?;
        dialect
            .read_declarations(&text.into())
            .map_err(|source| error(source.to_string()))
    };
    let declarations =
        read(new).and_then(|new| Ok((new, current.map(read).transpose()?)));
    let findings = match declarations {
        Ok((new, current)) => plan::plan(&new, current.as_ref()),
        Err(error) => {
            println!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    for finding in &findings {
        println!("{finding}");
    }
    let count =
        |severity| findings.iter().filter(|finding| finding.severity == severity).count();
    let errors = count(Severity::Error);
    println!(
        "{}: {errors} errors, {} warnings, {} changes",
        new.display(),
        count(Severity::Warning),
        count(Severity::Change)
    );
    if errors > 0 { ExitCode::from(EXIT_INVALID_SETTINGS) } else { ExitCode::SUCCESS }
}

fn serve(settings: Settings, dialect: Arc<dyn Dialect>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime ({error}); free some file descriptors");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let log = logs::logger(settings.vm.as_str());
    match runtime.block_on(run::run(settings, dialect, Arc::new(SystemClock), log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}
