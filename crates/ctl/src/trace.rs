//! One request's way through daemons on the users' platform, from their logs.
//!
//! Of all lines those with the request's id are kept, in the order of their times, and for
//! each server that they name what the daemon had last heard of it before, and heard next.

use std::fmt::{self, Display, Formatter};
use std::io::{self, BufRead};

use indexmap::IndexMap;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields that each line has, or that all lines of a request share.
const SHARED: [&str; 5] = ["ts", "vm", "msg", "level", "id"];

/// A line of a log.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    at: OffsetDateTime,
    vm: String,
    message: String,
    fields: Value,
}

/// One request's way.
#[derive(Debug, Default)]
pub struct Trace {
    id: String,
    lines: Vec<Line>,
    /// What daemons heard of servers, by both their names.
    heard: IndexMap<(String, String), Vec<Line>>,
    /// Lines that are no log lines.
    unread: usize,
}

impl Trace {
    /// Begins with no line of a request.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Takes in a log.
    pub fn read(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.lines() {
            self.push(&line?);
        }
        self.lines.sort_by_key(|line| line.at);
        Ok(())
    }

    /// Whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines that are no log lines, of any request.
    pub fn unread(&self) -> usize {
        self.unread
    }

    fn push(&mut self, text: &str) {
        let Some(line) = Line::parse(text) else {
            self.unread += usize::from(!text.trim().is_empty());
            return;
        };
        if line.text("id") == self.id {
            self.lines.push(line);
        } else if is_about_server(&line.message) {
            let server = line.text("server").to_owned();
            self.heard.entry((line.vm.clone(), server)).or_default().push(line);
        }
    }

    /// What the daemon had heard of a server when a line was written, and what it heard
    /// next.
    fn belief(&self, line: &Line) -> (Option<&Line>, Option<&Line>) {
        let key = (line.vm.clone(), line.text("server").to_owned());
        let Some(heard) = self.heard.get(&key) else { return (None, None) };
        let before = heard.iter().filter(|one| one.at <= line.at);
        let after = heard.iter().filter(|one| one.at > line.at);
        (before.max_by_key(|one| one.at), after.min_by_key(|one| one.at))
    }

    /// What ended the request, in a sentence.
    fn cause(&self) -> String {
        let Some(end) = self.lines.iter().rev().find(|line| line.is_end()) else {
            return "its end is not in these logs; are those of all daemons there?"
                .into();
        };
        let (how, why) = (end.text("end"), end.text("why"));
        let missed = self.missed();
        match (how, end.message.as_str()) {
            (_, "request refused") => {
                format!("refused before a server was looked for: {why}")
            }
            ("answered", _) => format!("answered by {} with {why}", end.text("server")),
            ("broken", _) => {
                format!("{} broke the answer off: {why}", end.text("server"))
            }
            ("caller left", _) => format!("its caller left {why}").trim_end().to_owned(),
            _ if missed.is_empty() => format!("{how}: no server was sent to; {why}"),
            _ => format!("{how} after {}; {why}", missed.join(", ")),
        }
    }

    /// The attempts that brought no answer.
    fn missed(&self) -> Vec<String> {
        let missed = self.lines.iter().filter(|line| line.message == "attempt missed");
        missed
            .map(|line| format!("{} {}", line.text("server"), line.text("why")))
            .collect()
    }
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(text).ok()?;
        let at = OffsetDateTime::parse(fields["ts"].as_str()?, &Rfc3339).ok()?;
        let text = |name: &str| fields[name].as_str().map(str::to_owned);
        let (vm, message) = (text("vm")?, text("msg")?);
        Some(Self { at, vm, message, fields })
    }

    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn is_end(&self) -> bool {
        ["request ended", "request refused"].contains(&self.message.as_str())
    }
}

fn is_about_server(message: &str) -> bool {
    ["server listed", "server gone from the registry"].contains(&message)
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}:", self.vm, self.message)?;
        let fields = self.fields.as_object().into_iter().flatten();
        for (name, value) in fields.filter(|(name, _)| !SHARED.contains(&name.as_str())) {
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
            return write!(f, "no line names {}", self.id);
        };
        writeln!(f, "{} at {}", self.id, first.text("ts"))?;
        for line in &self.lines {
            writeln!(f, "{:>8} ms  {line}", (line.at - first.at).whole_milliseconds())?;
            if line.message != "server picked" {
                continue;
            }
            let (before, after) = self.belief(line);
            for (name, heard) in [("by then", before), ("next", after)] {
                let Some(heard) = heard else { continue };
                let age = (heard.at - first.at).whole_milliseconds();
                writeln!(f, "{age:>8} ms    heard {name}: {heard}")?;
            }
        }
        write!(f, "cause: {}", self.cause())
    }
}
