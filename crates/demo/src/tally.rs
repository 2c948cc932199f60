//! What the callers received and what really ran.

use std::collections::HashSet;
use std::fmt::{self, Display, Formatter};

use chestnut_fake::caller::{Ask, Form};
use chestnut_fake::{EngineCounts, Handle, ServiceCounts};
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::burst::{MIXES, Outcome};
use crate::stage::{Stage, StageError};

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
    pub async fn count(stage: &Stage, outcomes: &[Outcome]) -> Result<Self, StageError> {
        let ran = Ran::read(stage).await?;
        let mut tally = Self { total: line(outcomes.iter(), &ran), ..Self::default() };
        for mix in MIXES {
            let of_kind = outcomes.iter().filter(|one| one.mix == mix);
            tally.kinds.insert(mix.kind.to_owned(), line(of_kind, &ran));
        }
        Ok(tally)
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

/// How often things ran, as the backend servers counted.
struct Ran {
    /// Calls of the plain service, by the caller's key.
    calls: IndexMap<String, u32>,
    /// Prompts.
    prompts: IndexMap<String, u32>,
}

impl Ran {
    async fn read(stage: &Stage) -> Result<Self, StageError> {
        let mut ran = Self { calls: IndexMap::new(), prompts: IndexMap::new() };
        for server in &stage.services {
            let counts: ServiceCounts = counts(stage, server).await?;
            add(&mut ran.calls, counts.runs);
        }
        for engine in &stage.engines {
            let counts: EngineCounts = counts(stage, engine).await?;
            add(&mut ran.prompts, counts.prompts);
        }
        Ok(ran)
    }

    fn of(&self, ask: &Ask) -> u32 {
        let count = match (&ask.form, &ask.key) {
            (Form::Completion(completion), _) => self.prompts.get(&completion.prompt),
            (_, Some(key)) => self.calls.get(key),
            _ => None,
        };
        count.copied().unwrap_or(0)
    }
}

async fn counts<T: DeserializeOwned>(
    stage: &Stage,
    server: &Handle,
) -> Result<T, StageError> {
    let url = format!("{}/counts", server.url());
    Ok(stage.http.get(url).send().await?.json().await?)
}

fn add(sums: &mut IndexMap<String, u32>, counts: IndexMap<String, u32>) {
    for (key, count) in counts {
        *sums.entry(key).or_default() += count;
    }
}

fn line<'a>(outcomes: impl Iterator<Item = &'a Outcome>, ran: &Ran) -> Line {
    let mut line = Line::default();
    let mut times = Vec::new();
    let mut seen = HashSet::new();
    for one in outcomes {
        line.sent += 1;
        line.retried += u64::from(one.reply.tries > 1);
        if one.mix.once && seen.insert((one.mix.kind, &one.ask.key)) {
            line.doubled += u64::from(ran.of(&one.ask) > 1);
        }
        if one.reply.is_whole(&one.ask) {
            line.served += 1;
            line.in_deadline += u64::from(one.took <= one.mix.deadline);
            times.push(one.took);
        } else if one.reply.wrong(&one.ask).is_some() {
            line.foreign += 1;
        } else if one.reply.outcome.as_deref() == Some("not_run") {
            line.refused += 1;
            // A request that was sent to two entries may have run by the other.
            line.untrue += u64::from(one.reply.tries == 1 && ran.of(&one.ask) > 0);
        } else {
            line.broken += 1;
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
