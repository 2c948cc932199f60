//! What the callers received and what really ran.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer of its own.
    Whole,
    /// With what belongs to another request.
    Foreign,
    /// Refused as not run.
    Refused {
        /// Whether it ran all the same.
        ran: bool,
    },
    /// With neither a whole answer nor a refusal.
    Broken,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Its kind.
    pub kind: &'static str,
    /// How it ended.
    pub end: Ending,
    /// How long its caller waited.
    pub took: Duration,
    /// The time in which an answer is useful.
    pub deadline: Duration,
    /// Whether its caller came back at least once.
    pub retried: bool,
    /// Whether it must run once and ran more often.
    pub doubled: bool,
}

/// What the callers received, of all kinds and by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Of all kinds together.
    #[serde(flatten)]
    pub total: Line,
    /// By kind.
    pub kinds: IndexMap<String, Line>,
}

/// What the callers of a kind received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Requests that were sent; a request sent to two entries counts twice.
    pub sent: u64,
    /// Whole answers.
    pub served: u64,
    /// Whole answers within the deadline.
    pub in_deadline: u64,
    /// Requests that were refused in the end.
    pub refused: u64,
    /// Requests whose caller came back at least once.
    pub retried: u64,
    /// Requests that must run once and ran more often.
    pub doubled: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Requests with neither a whole answer nor a refusal.
    pub broken: u64,
    /// Requests that were refused as not run and ran.
    pub untrue: u64,
    /// The time that half of the whole answers took at most, in milliseconds.
    pub p50_ms: u64,
    /// The time that 99 in 100 of the whole answers took at most, in milliseconds.
    pub p99_ms: u64,
}

impl Tally {
    /// Counts what became of a burst.
    pub fn count(burst: &[Seen]) -> Self {
        let mut tally = Self { total: line(burst.iter()), ..Self::default() };
        for one in burst {
            let of_kind = burst.iter().filter(|seen| seen.kind == one.kind);
            tally.kinds.entry(one.kind.to_owned()).or_insert_with(|| line(of_kind));
        }
        tally
    }

    /// Whether every answer was whole and its own caller's, nothing ran twice that
    /// must not, and no refusal was untrue.
    pub fn is_fine(&self) -> bool {
        let total = &self.total;
        let faults = total.doubled + total.foreign + total.broken + total.untrue;
        total.served > 0 && faults == 0
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<11}{:>6}{:>8}{:>13}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>9}{:>9}",
            "kind",
            "sent",
            "served",
            "in deadline",
            "refused",
            "retried",
            "doubled",
            "foreign",
            "broken",
            "untrue",
            "p50 ms",
            "p99 ms",
        )?;
        let total = ("all".to_owned(), self.total);
        let kinds = self.kinds.iter().map(|(kind, line)| (kind.clone(), *line));
        for (kind, line) in kinds.chain([total]) {
            writeln!(
                f,
                "{kind:<11}{:>6}{:>8}{:>13}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>9}{:>9}",
                line.sent,
                line.served,
                line.in_deadline,
                line.refused,
                line.retried,
                line.doubled,
                line.foreign,
                line.broken,
                line.untrue,
                line.p50_ms,
                line.p99_ms,
            )?;
        }
        Ok(())
    }
}

fn line<'a>(burst: impl Iterator<Item = &'a Seen>) -> Line {
    let mut line = Line::default();
    let mut times = Vec::new();
    for one in burst {
        line.sent += 1;
        line.retried += u64::from(one.retried);
        line.doubled += u64::from(one.doubled);
        match one.end {
            Ending::Whole => {
                line.served += 1;
                line.in_deadline += u64::from(one.took <= one.deadline);
                times.push(one.took);
            }
            Ending::Foreign => line.foreign += 1,
            Ending::Refused { ran } => {
                line.refused += 1;
                line.untrue += u64::from(ran);
            }
            Ending::Broken => line.broken += 1,
        }
    }
    times.sort();
    let at = |share: usize| {
        let index = (times.len() * share).div_ceil(100).saturating_sub(1);
        times.get(index).map_or(0, |time| time.as_millis() as u64)
    };
    line.p50_ms = at(50);
    line.p99_ms = at(99);
    line
}
