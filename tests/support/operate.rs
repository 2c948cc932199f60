//! Operators who run `chestnutctl`.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::command::Kind;
use super::world::World;
use super::{Failure, PATIENCE};

/// How often a running command is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// A running command, killed when this is dropped.
pub struct Operator {
    child: Child,
    output: PathBuf,
}

impl Operator {
    /// Starts a command of a team's operator.
    ///
    /// A word that starts with `@` names a directory that the case wrote. The
    /// command may ask any daemon; `at` names those to ask first.
    pub fn start(
        world: &World,
        name: &str,
        team: &str,
        at: &[String],
        words: &[String],
    ) -> Result<Self, Failure> {
        let text = |error: std::io::Error| error.to_string();
        let output = world.dir.join(format!("{name}.out"));
        let file = File::create(&output).map_err(text)?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutctl"));
        let rest = world.named(Kind::Daemon).map(str::to_owned);
        let asked = if at.is_empty() { rest.collect() } else { at.to_vec() };
        for daemon in asked {
            command.arg(format!("--server={}", world.ops(&daemon)?));
        }
        for word in words {
            command.arg(match word.strip_prefix('@') {
                Some(dir) => directory(&world.dir, dir).display().to_string(),
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
            .stdout(file.try_clone().map_err(text)?)
            .stderr(file)
            .spawn()
            .map_err(text)?;
        Ok(Self { child, output })
    }

    /// Waits until the command ends; its exit code and the words it printed.
    pub async fn end(mut self) -> Result<Vec<String>, Failure> {
        let start = Instant::now();
        let status = loop {
            match self.child.try_wait().map_err(|error| error.to_string())? {
                Some(status) => break status,
                None if start.elapsed() > 2 * PATIENCE => {
                    return Err(format!("it does not end: {}", self.printed()));
                }
                None => tokio::time::sleep(LOOK).await,
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
        // One that has ended can't be killed, and that is as good.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Writes or removes a file of an operator's directory.
pub fn write(
    world: &World,
    dir: &str,
    file: &str,
    text: Option<&str>,
) -> Result<(), Failure> {
    let dir = directory(&world.dir, dir);
    fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
    let path = dir.join(file);
    let done = match text {
        Some(text) => fs::write(path, text),
        None => fs::remove_file(path),
    };
    done.map_err(|error| error.to_string())
}

fn directory(root: &Path, name: &str) -> PathBuf {
    root.join("operators").join(name)
}
