//! Structured logs: one JSON object per line on standard error.

use std::io;

use chestnut_config::settings::LogLevel;
use slog::{Drain, Level, Logger, o};

/// The number of unwritten lines beyond which new lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 1024;

/// Creates the logger of a daemon; each line names its VM.
pub fn logger(level: LogLevel, vm: &str) -> Logger {
    let json = slog_json::Json::new(io::stderr()).add_default_keys().build();
    let lines = slog_async::Async::new(json.fuse()).chan_size(MAX_BUFFERED_LINES).build();
    let filtered = lines.filter_level(severity(level)).fuse();
    Logger::root(filtered, o!("vm" => vm.to_owned()))
}

/// Creates a logger that drops all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
