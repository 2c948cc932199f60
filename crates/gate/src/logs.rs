//! Structured logs: one JSON object a line on standard output.

use std::io;

use slog::{Drain, Level, Logger, o};

/// Lines that may wait to be written before new ones are dropped and counted.
///
/// A thread writes them, so that a reader that stops reading blocks no request;
/// the number bounds the memory to about a megabyte.
const WAITING_LINES: usize = 4096;

/// Creates the process's logger.
pub fn logger(vm: &str) -> Logger {
    let json = slog_json::Json::new(io::stdout()).add_default_keys().build();
    let lines = slog_async::Async::new(json.fuse()).chan_size(WAITING_LINES).build();
    let filtered = lines.filter_level(Level::Info).fuse();
    Logger::root(filtered, o!("vm" => vm.to_owned()))
}
