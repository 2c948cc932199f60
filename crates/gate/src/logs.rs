//! Structured logs, one JSON object per line, on standard output.

use std::io::{self, Write};

use slog::{Drain, Level, Logger, o};

/// The number of lines that may be queued for writing; further ones are dropped and
/// counted.
///
/// A separate thread writes them, so that a reader that stops reading blocks no request.
/// The limit bounds the memory to about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;

/// The name of the thread that writes the lines.
pub const WRITER_THREAD: &str = "log lines";

/// Creates the process's logger, which writes to standard output.
pub fn logger(vm: &str) -> Logger {
    logger_to(io::stdout(), vm)
}

/// Creates a logger that writes to `out`.
pub fn logger_to(out: impl Write + Send + 'static, vm: &str) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build();
    let lines = slog_async::Async::new(json.fuse()).chan_size(MAX_QUEUED_LINES);
    let lines = lines.thread_name(WRITER_THREAD.to_owned()).build();
    let filtered = lines.filter_level(Level::Info).fuse();
    Logger::root(filtered, o!("vm" => vm.to_owned()))
}
