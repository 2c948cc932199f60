//! Structured logs: one JSON object a line on standard error.

use std::io;

use chestnut_config::settings::LogLevel;
use slog::{Drain, Level, Logger, o};

/// Lines that may wait to be written before new ones are dropped and counted.
const WAITING_LINES: usize = 1024;

/// Creates the process's logger.
pub fn logger(level: LogLevel, vm: &str) -> Logger {
    let json = slog_json::Json::new(io::stderr()).add_default_keys().build();
    let lines = slog_async::Async::new(json.fuse()).chan_size(WAITING_LINES).build();
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
