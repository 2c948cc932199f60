//! Follows one request through the logs of daemons on the users' platform.
//!
//! Keeps the lines with the request's id, ordered by time. For each server that was
//! chosen, it adds the daemon's last registry update of that server before the choice
//! and the first one after it.

use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};

use indexmap::IndexMap;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields that a line does not repeat, since they are printed elsewhere or are the
/// same for the whole request.
const COMMON_FIELDS: [&str; 5] = ["ts", "vm", "msg", "level", "id"];

/// A parsed line of a log.
#[derive(Debug, Clone, PartialEq)]
struct LogLine {
    timestamp: OffsetDateTime,
    vm: String,
    message: String,
    fields: Value,
}

/// The log lines of one request.
#[derive(Debug, Default)]
pub struct Trace {
    id: String,
    lines: Vec<LogLine>,
    /// Registry updates of servers, by the VM of the daemon and the server.
    server_events: IndexMap<(String, String), Vec<LogLine>>,
    /// The number of lines that are not valid log lines.
    invalid_lines: usize,
}

impl Trace {
    /// Creates an empty trace of the request with this id.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Adds the lines of a log.
    pub fn read_log(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.lines() {
            self.add_line(&line?);
        }
        self.lines.sort_by_key(|line| line.timestamp);
        Ok(())
    }

    /// Whether no line of the request was found.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The number of lines that are not valid log lines.
    pub fn invalid_lines(&self) -> usize {
        self.invalid_lines
    }

    fn add_line(&mut self, text: &str) {
        let Some(line) = LogLine::parse(text) else {
            self.invalid_lines += usize::from(!text.trim().is_empty());
            return;
        };
        if line.text("id") == self.id {
            self.lines.push(line);
        } else if is_server_event(&line.message) {
            let server = line.text("server").to_owned();
            self.server_events.entry((line.vm.clone(), server)).or_default().push(line);
        }
    }

    /// The daemon's last update of the line's server before the line and the first one
    /// after it.
    fn events_around(&self, line: &LogLine) -> (Option<&LogLine>, Option<&LogLine>) {
        let key = (line.vm.clone(), line.text("server").to_owned());
        let Some(events) = self.server_events.get(&key) else { return (None, None) };
        let before = events.iter().filter(|event| event.timestamp <= line.timestamp);
        let after = events.iter().filter(|event| event.timestamp > line.timestamp);
        (
            before.max_by_key(|event| event.timestamp),
            after.min_by_key(|event| event.timestamp),
        )
    }

    /// How and why the request ended.
    fn cause(&self) -> String {
        let Some(end) = self.lines.iter().rev().find(|line| line.is_end()) else {
            return "its end is not in these logs; are those of all daemons there?"
                .into();
        };
        let (result, reason) = (end.text("end"), end.text("why"));
        let failed = self.failed_attempts();
        match (result, end.message.as_str()) {
            (_, "request refused") => {
                format!("refused before a server was chosen: {reason}")
            }
            ("answered", _) => {
                format!("answered by {} with {reason}", end.text("server"))
            }
            ("broken", _) => {
                format!("{} broke the answer off: {reason}", end.text("server"))
            }
            ("caller left", _) => {
                format!("its caller left {reason}").trim_end().to_owned()
            }
            _ if failed.is_empty() => {
                format!("{result}: no server was sent to; {reason}")
            }
            _ => format!("{result} after {}; {reason}", failed.join(", ")),
        }
    }

    /// The failed attempts, each with its server and the reason.
    fn failed_attempts(&self) -> Vec<String> {
        let failed = self.lines.iter().filter(|line| line.message == "attempt missed");
        failed
            .map(|line| format!("{} {}", line.text("server"), line.text("why")))
            .collect()
    }
}

impl LogLine {
    fn parse(text: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(text).ok()?;
        let timestamp = OffsetDateTime::parse(fields["ts"].as_str()?, &Rfc3339).ok()?;
        let text = |name: &str| fields[name].as_str().map(str::to_owned);
        let (vm, message) = (text("vm")?, text("msg")?);
        Some(Self { timestamp, vm, message, fields })
    }

    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn is_end(&self) -> bool {
        ["request ended", "request refused"].contains(&self.message.as_str())
    }
}

fn is_server_event(message: &str) -> bool {
    ["server listed", "server gone from the registry"].contains(&message)
}

impl Display for LogLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}:", self.vm, self.message)?;
        let fields = self.fields.as_object().into_iter().flatten();
        for (name, value) in
            fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
        {
            match value {
                Value::Null => {}
                Value::String(text) if text.is_empty() || text.contains(' ') => {
                    write!(f, " {name}={text:?}")?
                }
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.lines.first() else {
            return write!(f, "no log line of request {}", self.id);
        };
        writeln!(f, "{} at {}", self.id, first.text("ts"))?;
        for line in &self.lines {
            writeln!(
                f,
                "{:>8} ms  {line}",
                (line.timestamp - first.timestamp).whole_milliseconds()
            )?;
            if line.message != "server picked" {
                continue;
            }
            let (before, after) = self.events_around(line);
            for (label, event) in [("by then", before), ("next", after)] {
                let Some(event) = event else { continue };
                let offset = (event.timestamp - first.timestamp).whole_milliseconds();
                writeln!(f, "{offset:>8} ms    heard {label}: {event}")?;
            }
        }
        write!(f, "cause: {}", self.cause())
    }
}
