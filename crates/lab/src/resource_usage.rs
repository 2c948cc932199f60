//! Processor time and memory as the system tells them.

use std::fs;

/// The start of the names of the daemons' threads.
pub const DAEMON_THREADS: &str = "daemon";

/// The start of the names of the stand-ins' threads.
pub const HARNESS_THREADS: &str = "outside";

/// The processor time of all threads whose name starts with `name`, in seconds.
///
/// Threads that ended are not counted; runtimes keep theirs.
pub fn cpu_seconds(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let time = |path: std::path::PathBuf| {
        let comm = fs::read_to_string(path.join("comm")).ok()?;
        if !comm.starts_with(name) {
            return None;
        }
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<f64>().ok()
    };
    let nanos: f64 = tasks.flatten().filter_map(|task| time(task.path())).sum();
    nanos / 1e9
}

/// The memory that this process occupies, in bytes.
pub fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}
