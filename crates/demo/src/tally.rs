//! Counts of what the callers received and what actually ran.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response to this request.
    Complete,
    /// A response to another request.
    Foreign,
    /// Refused with the statement that it has not run.
    Refused {
        /// Whether it ran nevertheless.
        ran: bool,
    },
    /// Neither a complete response nor a refusal.
    Broken,
}

impl RequestOutcome {
    /// Whether the response is as the system promises.
    pub fn is_correct(self) -> bool {
        match self {
            Self::Complete | Self::Refused { ran: false } => true,
            Self::Foreign | Self::Refused { ran: true } | Self::Broken => false,
        }
    }
}

/// The result of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestResult {
    /// The kind of the request.
    pub kind: &'static str,
    /// The outcome for the caller.
    pub outcome: RequestOutcome,
    /// How long the caller waited.
    pub duration: Duration,
    /// The time within which a response is useful.
    pub deadline: Duration,
    /// Whether the caller retried.
    pub retried: bool,
    /// Whether it must run at most once but ran more often.
    pub ran_twice: bool,
}

/// Counts for all requests and by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Counts for all kinds together.
    #[serde(flatten)]
    pub total: TallyRow,
    /// Counts by kind.
    pub kinds: IndexMap<String, TallyRow>,
}

/// Counts for a set of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TallyRow {
    /// Requests sent; a request sent to two entries counts twice.
    pub sent: u64,
    /// Complete responses.
    pub served: u64,
    /// Complete responses within the deadline.
    pub in_deadline: u64,
    /// Requests finally refused.
    pub refused: u64,
    /// Requests whose caller retried.
    pub retried: u64,
    /// Requests that must run at most once but ran more often.
    pub doubled: u64,
    /// Responses to another request.
    pub foreign: u64,
    /// Requests with neither a complete response nor a refusal.
    pub broken: u64,
    /// Requests refused as not run that ran nevertheless.
    pub untrue: u64,
    /// The median latency of complete responses, in milliseconds; 0 without any.
    pub p50_ms: u64,
    /// The 99th percentile of the latency of complete responses, in milliseconds; 0
    /// without any.
    pub p99_ms: u64,
}

impl Tally {
    /// Counts the results of a burst.
    pub fn count(results: &[RequestResult]) -> Self {
        let mut tally = Self { total: count_row(results.iter()), ..Self::default() };
        for result in results {
            let of_kind = results.iter().filter(|other| other.kind == result.kind);
            tally
                .kinds
                .entry(result.kind.to_owned())
                .or_insert_with(|| count_row(of_kind));
        }
        tally
    }

    /// Whether at least one request was served, every response was complete and belonged
    /// to its request, no request ran twice that must not, and no refused request ran.
    pub fn is_correct(&self) -> bool {
        let total = &self.total;
        let violations = total.doubled + total.foreign + total.broken + total.untrue;
        total.served > 0 && violations == 0
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
        let kinds = self.kinds.iter().map(|(kind, row)| (kind.clone(), *row));
        for (kind, row) in kinds.chain([total]) {
            writeln!(
                f,
                "{kind:<11}{:>6}{:>8}{:>13}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>9}{:>9}",
                row.sent,
                row.served,
                row.in_deadline,
                row.refused,
                row.retried,
                row.doubled,
                row.foreign,
                row.broken,
                row.untrue,
                row.p50_ms,
                row.p99_ms,
            )?;
        }
        Ok(())
    }
}

fn count_row<'a>(results: impl Iterator<Item = &'a RequestResult>) -> TallyRow {
    let mut row = TallyRow::default();
    let mut latencies = Vec::new();
    for result in results {
        row.sent += 1;
        row.retried += u64::from(result.retried);
        row.doubled += u64::from(result.ran_twice);
        match result.outcome {
            RequestOutcome::Complete => {
                row.served += 1;
                row.in_deadline += u64::from(result.duration <= result.deadline);
                latencies.push(result.duration);
            }
            RequestOutcome::Foreign => row.foreign += 1,
            RequestOutcome::Refused { ran } => {
                row.refused += 1;
                row.untrue += u64::from(ran);
            }
            RequestOutcome::Broken => row.broken += 1,
        }
    }
    latencies.sort();
    let percentile_ms = |percent: usize| {
        let index = (latencies.len() * percent).div_ceil(100).saturating_sub(1);
        latencies.get(index).map_or(0, |latency| latency.as_millis() as u64)
    };
    row.p50_ms = percentile_ms(50);
    row.p99_ms = percentile_ms(99);
    row
}
