//! CPU time and memory of this process, as `/proc` reports them.

use std::fs;

/// Name prefix of the threads that run daemons.
pub const DAEMON_THREAD_PREFIX: &str = "daemon";

/// Name prefix of the threads that run the fake platform, engines and callers.
pub const HARNESS_THREAD_PREFIX: &str = "outside";

/// CPU time of all threads whose name starts with `prefix`, in seconds.
///
/// Counts only threads that still exist; a runtime keeps its threads until it is
/// dropped. Returns 0 where `/proc` cannot be read.
pub fn cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let thread_nanos = |path: std::path::PathBuf| {
        let comm = fs::read_to_string(path.join("comm")).ok()?;
        if !comm.starts_with(prefix) {
            return None;
        }
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<f64>().ok()
    };
    let nanos: f64 = tasks.flatten().filter_map(|task| thread_nanos(task.path())).sum();
    nanos / 1e9
}

/// Resident memory of this process, in bytes; 0 where `/proc` cannot be read.
pub fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
