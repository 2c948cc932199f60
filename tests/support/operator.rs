//! Operators that run `chestnutctl`.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::cluster::Cluster;
use super::command::ProcessKind;
use super::{Failure, TIMEOUT};

/// Interval at which a running command is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running command, killed when dropped.
pub struct Operator {
    child: Child,
    output: PathBuf,
}

impl Operator {
    /// Starts a command of a team's operator.
    ///
    /// A word that starts with `@` names a directory that the scenario wrote. The command
    /// may send requests to the daemons in `at`, or to any if that is empty.
    pub fn start(
        cluster: &Cluster,
        name: &str,
        team: &str,
        at: &[String],
        words: &[String],
    ) -> Result<Self, Failure> {
        let to_message = |error: std::io::Error| error.to_string();
        let output = cluster.dir.join(format!("{name}.out"));
        let file = File::create(&output).map_err(to_message)?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
        let all_daemons = cluster.process_names(ProcessKind::Daemon).map(str::to_owned);
        let daemons = if at.is_empty() { all_daemons.collect() } else { at.to_vec() };
        for daemon in daemons {
            command.arg(format!("--server={}", cluster.ops_url(&daemon)?));
        }
        for word in words {
            command.arg(match word.strip_prefix('@') {
                Some(dir) => directory(&cluster.dir, dir).display().to_string(),
                None => word.clone(),
            });
        }
        if !words.iter().any(|word| word.starts_with("--team=")) {
            command.arg(format!("--team={team}"));
        }
        let child = command
            .arg(format!("--author={name}"))
            .env("CHESTNUT_KEY", format!("ops-{team}"))
            .stdin(Stdio::null())
            .stdout(file.try_clone().map_err(to_message)?)
            .stderr(file)
            .spawn()
            .map_err(to_message)?;
        Ok(Self { child, output })
    }

    /// Waits until the command exits and returns its exit code and printed words as
    /// facts.
    pub async fn await_exit(mut self) -> Result<Vec<String>, Failure> {
        let start = Instant::now();
        let status = loop {
            match self.child.try_wait().map_err(|error| error.to_string())? {
                Some(status) => break status,
                None if start.elapsed() > 2 * TIMEOUT => {
                    return Err(format!("the command does not exit: {}", self.printed()));
                }
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        let printed = self.printed();
        let mut facts = vec![format!("exit={}", status.code().unwrap_or(-1))];
        facts.extend(printed.split_whitespace().map(str::to_owned));
        Ok(facts)
    }

    fn printed(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        // The command may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Writes a file in an operator's directory, or removes it if there is no text.
pub fn write(
    cluster: &Cluster,
    dir: &str,
    file: &str,
    text: Option<&str>,
) -> Result<(), Failure> {
    let dir = directory(&cluster.dir, dir);
    fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
    let path = dir.join(file);
    let result = match text {
        Some(text) => fs::write(path, text),
        None => fs::remove_file(path),
    };
    result.map_err(|error| error.to_string())
}

fn directory(root: &Path, name: &str) -> PathBuf {
    root.join("operators").join(name)
}
