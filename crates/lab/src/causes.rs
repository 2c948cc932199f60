//! Where requests were lost, by the logs of the daemons.
//!
//! Reads the structured lines of any number of daemons, joins those of a request, and
//! counts for each route why answers were late or requests were not served. Lines may have
//! a prefix, such as a time and the name of a VM, before their JSON.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use indexmap::IndexMap;
use serde::Deserialize;

/// Which logs to read.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// The daemons' logs in one file; standard input if none is named.
    #[bpaf(positional("FILE"), optional)]
    pub file: Option<PathBuf>,
}

/// Why a request was not served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// It was served in time.
    InTime,
    /// It waited for its turn at a runner.
    AdmissionWait,
    /// Its first event came late after it had been sent.
    SlowFirstEvent,
    /// Its events paused for too long.
    EventGap,
    /// All runners with its model were full.
    RunnersFull,
    /// No runner could take its adapter.
    NoAdapterSlot,
    /// No server held its model, or took requests.
    NoServer,
    /// Its answer broke off.
    Interrupted,
    /// The time ran out.
    DeadlineExceeded,
    /// Its caller left.
    CallerDisconnected,
    /// Anything else.
    Other,
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InTime => "in time",
            Self::AdmissionWait => "late: waited for its turn",
            Self::SlowFirstEvent => "late: first event after sending",
            Self::EventGap => "late: paused between events",
            Self::RunnersFull => "refused: all runners full",
            Self::NoAdapterSlot => "refused: no place for its adapter",
            Self::NoServer => "refused: no server",
            Self::Interrupted => "failed: broke off",
            Self::DeadlineExceeded => "failed: time ran out",
            Self::CallerDisconnected => "caller left",
            Self::Other => "other",
        })
    }
}

/// A line that tells of a request, as far as it is needed here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    msg: String,
    id: String,
    turn: String,
    end: String,
    route: String,
    ms: u64,
    objective_ms: u64,
    begun_ms: Option<u64>,
    first_ms: Option<u64>,
    pause_ms: Option<u64>,
    gap_ms: Option<u64>,
}

/// Counts of requests by route and cause.
pub type CauseCounts = IndexMap<String, IndexMap<Cause, u64>>;

/// Reads logs and prints where requests were lost.
pub fn run(options: &Options) -> ExitCode {
    let text = match &options.file {
        Some(path) => fs::read(path),
        None => {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map(|_| bytes)
        }
    };
    match text {
        Ok(bytes) => {
            print(&count_causes(&String::from_utf8_lossy(&bytes)));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!(
                "the logs can't be read ({error}); name a file with daemons' lines"
            );
            ExitCode::FAILURE
        }
    }
}

/// Counts the requests of logs by route and cause.
pub fn count_causes(text: &str) -> CauseCounts {
    let mut turns: IndexMap<String, String> = IndexMap::new();
    let mut table = CauseCounts::new();
    for line in text.lines().filter_map(read) {
        match line.msg.as_str() {
            "turn" => drop(turns.insert(line.id, line.turn)),
            "request ended" => {
                let turn = turns.swap_remove(&line.id).unwrap_or_default();
                let causes = table.entry(line.route.clone()).or_default();
                *causes.entry(cause(&line, &turn)).or_default() += 1;
            }
            _ => {}
        }
    }
    table
}

/// The JSON of a line, whatever stands before it.
fn read(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Why a request ended as it did; `turn` is what came of its last turn at a runner.
fn cause(line: &Line, turn: &str) -> Cause {
    match line.end.as_str() {
        "answered" => lateness(line),
        "Overloaded" | "Unavailable" if turn == "Denied" => Cause::NoAdapterSlot,
        "Overloaded" => Cause::RunnersFull,
        "Unavailable" => Cause::NoServer,
        "Broken" | "broken" => Cause::Interrupted,
        "Late" | "late" | "Deadline" => Cause::DeadlineExceeded,
        "caller left" => Cause::CallerDisconnected,
        _ => Cause::Other,
    }
}

fn lateness(line: &Line) -> Cause {
    let first = line.first_ms.unwrap_or_default();
    if line.begun_ms.unwrap_or(line.ms) > line.objective_ms {
        // Longer at the runner than before it.
        let sent = line.begun_ms.unwrap_or_default().saturating_sub(first);
        return if first > sent { Cause::SlowFirstEvent } else { Cause::AdmissionWait };
    }
    let gap = line.gap_ms.unwrap_or(u64::MAX);
    if line.pause_ms.unwrap_or_default() > gap { Cause::EventGap } else { Cause::InTime }
}

fn print(table: &CauseCounts) {
    for (route, causes) in table {
        let all: u64 = causes.values().sum();
        println!("{route}: {all} requests");
        let mut causes: Vec<(&Cause, &u64)> = causes.iter().collect();
        causes.sort();
        for (cause, count) in causes {
            println!(
                "  {:5.1} %  {count:6}  {cause}",
                100.0 * *count as f64 / all as f64
            );
        }
    }
}
