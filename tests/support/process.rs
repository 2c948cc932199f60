//! The processes of a scenario.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, kill_process};
use serde_json::Value;

use super::command::{Kind, Signal};
use super::{Failure, PATIENCE};

/// How many last lines of a log are shown of a failed scenario.
const LOG_LINES: usize = 12;

/// A process that is killed when this is dropped.
pub struct Process {
    /// What it is.
    pub kind: Kind,
    /// What it printed first: its addresses.
    pub addresses: Value,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program and reads the line of addresses that it prints.
    pub fn start(
        kind: Kind,
        program: &str,
        args: &[String],
        log: PathBuf,
    ) -> Result<Self, Failure> {
        let text = |error: std::io::Error| error.to_string();
        let errors = File::options().create(true).append(true).open(&log);
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors.map_err(text)?)
            .spawn()
            .map_err(text)?;
        let mut process = Self { kind, addresses: Value::Null, child, log };
        let out = process.child.stdout.take().ok_or("no standard output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).map_err(text)?;
        process.addresses = serde_json::from_str(&line).map_err(|_| {
            format!("it printed no addresses: {line:?}; {}", process.tail())
        })?;
        Ok(process)
    }

    /// An address that it printed.
    pub fn address(&self, name: &str) -> Result<&str, Failure> {
        let address = self.addresses[name].as_str();
        address.ok_or_else(|| format!("it printed no address {name:?}"))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), Failure> {
        let number = match signal {
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Freeze => rustix::process::Signal::STOP,
            Signal::Thaw => rustix::process::Signal::CONT,
            Signal::Terminate => rustix::process::Signal::TERM,
        };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, number).map_err(|error| error.to_string())
    }

    /// Waits until it ends and returns its exit code.
    pub async fn exit(&mut self) -> Result<Option<i32>, Failure> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().map_err(|e| e.to_string())? {
                return Ok(status.code());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err("it does not end".into())
    }

    /// The last lines of its log.
    pub fn tail(&self) -> String {
        tail(&self.log)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already; nothing is left to do then.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n    ")
}
