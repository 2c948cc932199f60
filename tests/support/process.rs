//! Processes of a scenario.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, kill_process};
use serde_json::Value;

use super::command::{ProcessKind, Signal};
use super::{Failure, TIMEOUT};

/// Last lines of each log that are shown for a failed scenario.
const LOG_LINES: usize = 12;

/// A process, killed when dropped.
pub struct Process {
    /// Selects the addresses and state page that commands use.
    pub kind: ProcessKind,
    /// Addresses by name, from the first line that the process printed.
    pub addresses: Value,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program and reads the line of addresses that it prints.
    pub fn start(
        kind: ProcessKind,
        program: &str,
        args: &[String],
        log: PathBuf,
    ) -> Result<Self, Failure> {
        let to_message = |error: std::io::Error| error.to_string();
        let log_file = File::options().create(true).append(true).open(&log);
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file.map_err(to_message)?)
            .spawn()
            .map_err(to_message)?;
        let mut process = Self { kind, addresses: Value::Null, child, log };
        let stdout = process.child.stdout.take().ok_or("no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).map_err(to_message)?;
        process.addresses = serde_json::from_str(&line).map_err(|_| {
            format!("the process printed no addresses: {line:?}; {}", process.log_tail())
        })?;
        Ok(process)
    }

    /// One of the process's addresses.
    pub fn address(&self, name: &str) -> Result<&str, Failure> {
        let address = self.addresses[name].as_str();
        address.ok_or_else(|| format!("the process printed no address {name:?}"))
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) -> Result<(), Failure> {
        let number = match signal {
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Suspend => rustix::process::Signal::STOP,
            Signal::Resume => rustix::process::Signal::CONT,
            Signal::Terminate => rustix::process::Signal::TERM,
        };
        let pid = self.pid();
        kill_process(pid, number).map_err(|error| error.to_string())
    }

    /// Waits until the process exits; there is no code if a signal ended it.
    pub async fn wait_exit_code(&mut self) -> Result<Option<i32>, Failure> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().map_err(|e| e.to_string())? {
                return Ok(status.code());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err("the process does not exit".into())
    }

    /// The id of the process.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Last lines of the process's log.
    pub fn log_tail(&self) -> String {
        log_tail(&self.log)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn log_tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n    ")
}
