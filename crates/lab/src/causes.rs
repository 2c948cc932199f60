//! Counts why requests were late or not served, from the logs of daemons.
//!
//! Reads the JSON log lines of any number of daemons, joins the lines of each request and
//! counts the causes per route. A line may have a prefix before its JSON, such as a time
//! and the name of a VM.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use indexmap::IndexMap;
use serde::Deserialize;

/// Selects the logs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// File with the logs of the daemons; standard input by default.
    #[bpaf(positional("FILE"), optional)]
    pub file: Option<PathBuf>,
}

/// Outcome of a request: served in time, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// Served in time.
    InTime,
    /// The first event was late, mainly because of the wait for admission.
    AdmissionWait,
    /// The first event was late, mainly because of the time at the runner.
    SlowFirstEvent,
    /// A gap between two events was too long.
    EventGap,
    /// Refused because all runners with the model were full.
    RunnersFull,
    /// Refused because no runner could load the adapter.
    NoAdapterSlot,
    /// Refused because no server had the model or accepted requests.
    NoServer,
    /// Refused because the client account had used up its limit.
    AccountLimit,
    /// Refused because the key was missing or unknown.
    Unauthorised,
    /// Refused by a daemon that was shutting down or could not confirm its declarations.
    DaemonUnavailable,
    /// The response was cut short.
    Interrupted,
    /// The deadline passed.
    DeadlineExceeded,
    /// The caller disconnected.
    CallerDisconnected,
    /// Any other end.
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
            Self::AccountLimit => "refused: beyond the account's limit",
            Self::Unauthorised => "refused: key missing or unknown",
            Self::DaemonUnavailable => "refused: daemon shut down or out of date",
            Self::Interrupted => "failed: broke off",
            Self::DeadlineExceeded => "failed: time ran out",
            Self::CallerDisconnected => "caller left",
            Self::Other => "other",
        })
    }
}

/// The fields that are read from a log line about a request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LogLine {
    msg: String,
    id: String,
    /// Response to an admission request, such as `Denied`.
    #[serde(rename = "turn")]
    admission: String,
    end: String,
    /// Why a request was refused before it had a route.
    code: String,
    route: String,
    /// Time from the arrival of the request to its end.
    #[serde(rename = "ms")]
    total_ms: u64,
    objective_ms: u64,
    /// Time from the arrival of the request to its first event.
    #[serde(rename = "begun_ms")]
    first_after_arrival_ms: Option<u64>,
    /// Time from the dispatch to the runner to the first event.
    #[serde(rename = "first_ms")]
    first_after_send_ms: Option<u64>,
    /// Longest gap between two events.
    #[serde(rename = "pause_ms")]
    longest_gap_ms: Option<u64>,
    /// Permitted gap between two events.
    #[serde(rename = "gap_ms")]
    max_gap_ms: Option<u64>,
}

/// Number of requests by route and cause.
pub type CauseCounts = IndexMap<String, IndexMap<Cause, u64>>;

/// Reads logs and prints the causes per route; fails if the logs are not readable.
pub fn run(options: &Options) -> ExitCode {
    let bytes = match &options.file {
        Some(path) => fs::read(path),
        None => {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map(|_| bytes)
        }
    };
    match bytes {
        Ok(bytes) => {
            print(&count_causes(&String::from_utf8_lossy(&bytes)));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!(
                "the logs are not readable ({error}); pass a file with logs of daemons"
            );
            ExitCode::FAILURE
        }
    }
}

/// Counts the ended requests in the logs; ignores lines that are not valid JSON.
pub fn count_causes(text: &str) -> CauseCounts {
    let mut admissions: IndexMap<String, String> = IndexMap::new();
    let mut counts = CauseCounts::new();
    for line in text.lines().filter_map(parse_line) {
        match line.msg.as_str() {
            "turn" => drop(admissions.insert(line.id, line.admission)),
            "request ended" => {
                let admission = admissions.swap_remove(&line.id).unwrap_or_default();
                let causes = counts.entry(line.route.clone()).or_default();
                *causes.entry(classify(&line, &admission)).or_default() += 1;
            }
            "request refused" => {
                let causes = counts.entry("-".into()).or_default();
                *causes.entry(classify_refusal(&line.code)).or_default() += 1;
            }
            _ => {}
        }
    }
    counts
}

/// Classifies a refusal of a request that has no route yet.
fn classify_refusal(code: &str) -> Cause {
    match code {
        "Unauthorised" => Cause::Unauthorised,
        "Leaving" => Cause::DaemonUnavailable,
        _ => Cause::Other,
    }
}

/// Parses a line from its first brace on.
fn parse_line(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Classifies the end of a request.
///
/// `admission` is the last response to its admission requests, empty if there was none.
fn classify(line: &LogLine, admission: &str) -> Cause {
    match line.end.as_str() {
        "answered" => classify_served(line),
        "Overloaded" | "Unavailable" if admission == "Denied" => Cause::NoAdapterSlot,
        "Overloaded" => Cause::RunnersFull,
        "Unavailable" => Cause::NoServer,
        "AccountLimit" => Cause::AccountLimit,
        "Broken" | "broken" => Cause::Interrupted,
        "Late" | "late" | "Deadline" => Cause::DeadlineExceeded,
        "caller left" => Cause::CallerDisconnected,
        _ => Cause::Other,
    }
}

/// Compares the timing of a served request with its objectives.
fn classify_served(line: &LogLine) -> Cause {
    let after_send = line.first_after_send_ms.unwrap_or_default();
    if line.first_after_arrival_ms.unwrap_or(line.total_ms) > line.objective_ms {
        // The longer part of the wait, before or after sending, is the cause.
        let before_send =
            line.first_after_arrival_ms.unwrap_or_default().saturating_sub(after_send);
        return if after_send > before_send {
            Cause::SlowFirstEvent
        } else {
            Cause::AdmissionWait
        };
    }
    let max_gap = line.max_gap_ms.unwrap_or(u64::MAX);
    if line.longest_gap_ms.unwrap_or_default() > max_gap {
        Cause::EventGap
    } else {
        Cause::InTime
    }
}

fn print(counts: &CauseCounts) {
    for (route, causes) in counts {
        let total: u64 = causes.values().sum();
        println!("{route}: {total} requests");
        let mut causes: Vec<(&Cause, &u64)> = causes.iter().collect();
        causes.sort();
        for (cause, count) in causes {
            println!(
                "  {:5.1} %  {count:6}  {cause}",
                100.0 * *count as f64 / total as f64
            );
        }
    }
}
