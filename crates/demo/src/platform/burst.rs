//! A mix of requests of several callers, all sent at once.

use std::io::{Write, stderr};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Caller, CallerRequest, CallerResponse};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::stage::Stage;
use crate::error::StageError;
use crate::is_wanted;
use crate::tally::{Ending, Seen, Tally};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A kind of request in the burst.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Its name.
    pub kind: &'static str,
    /// How many are sent.
    count: usize,
    /// What is sent.
    what: What,
    /// Whether an attempt must not run twice.
    once: bool,
}

/// What is sent.
#[derive(Debug, Clone, Copy)]
enum What {
    /// A stream of so many events.
    Stream { model: &'static str, events: u32 },
    /// A request to the plain service.
    Plain,
}

/// What the burst is made of.
pub const MIXES: [(&str, Mix); 5] = [
    ("draft", Mix { kind: "draft", count: 40, what: RED, once: true }),
    ("draft", Mix { kind: "adapted", count: 20, what: ADAPTED, once: true }),
    ("demand", Mix { kind: "demand", count: 20, what: BLUE, once: false }),
    ("record", Mix { kind: "record", count: 40, what: What::Plain, once: true }),
    ("lookup", Mix { kind: "lookup", count: 100, what: What::Plain, once: false }),
];

const RED: What = What::Stream { model: "red", events: 20 };
const ADAPTED: What = What::Stream { model: "red/a1", events: 10 };
const BLUE: What = What::Stream { model: "blue", events: 30 };

/// How long callers go on asking; also the time in which an answer is useful.
const PATIENCE: Duration = Duration::from_secs(30);

/// What became of one request.
struct Outcome {
    mix: Mix,
    question: CallerRequest,
    /// The answers to all its attempts.
    answers: Vec<CallerResponse>,
    took: Duration,
}

/// Sends the burst `scale` times, waits for all answers and counts them.
///
/// Of the `kinds` only; of all if none is named.
pub async fn run(
    stage: &Stage,
    caller: &Caller,
    scale: usize,
    kinds: &[String],
) -> Result<Tally, StageError> {
    let entries = caller.directory(stage.directories[0]).await;
    if entries.is_empty() {
        return Err(StageError::Call("no address to use was named".into()));
    }
    let mut calls = JoinSet::new();
    for (route, mix) in MIXES.into_iter().filter(|(_, mix)| is_wanted(kinds, mix.kind)) {
        for index in 0..mix.count * scale {
            let (caller, entry) = (caller.clone(), entries[index % entries.len()]);
            calls.spawn(async move {
                let question = question(route, mix.what);
                let began = Instant::now();
                let answers = insist(&caller, entry, &question).await;
                Outcome { mix, question, answers, took: began.elapsed() }
            });
        }
    }
    let outcomes = calls.join_all().await;
    let seen: Vec<Seen> = outcomes.iter().map(|one| seen(one, stage)).collect();
    for (one, seen) in outcomes.iter().zip(&seen) {
        explain(one, seen, stage)?;
    }
    Ok(Tally::count(&seen))
}

/// Prints what came of a request that did not get its own whole answer.
fn explain(one: &Outcome, seen: &Seen, stage: &Stage) -> Result<(), StageError> {
    if seen.end == Ending::Whole && !seen.doubled {
        return Ok(());
    }
    let mut text = format!("{} {:?} after {:?}\n", seen.kind, seen.end, one.took);
    for answer in &one.answers {
        let runs = stage.runs(&answer.id);
        text.push_str(&format!("  ran {runs} times, received {answer:?}\n"));
    }
    let printed = stderr().write_all(text.as_bytes());
    printed.map_err(|error| StageError::Output(error.to_string()))
}

fn question(route: &str, what: What) -> CallerRequest {
    match what {
        What::Stream { model, events } => CallerRequest::stream(route, model, events),
        What::Plain => CallerRequest::plain(route),
    }
}

/// Asks until there is an answer, coming back when told.
async fn insist(
    caller: &Caller,
    entry: std::net::SocketAddr,
    question: &CallerRequest,
) -> Vec<CallerResponse> {
    let limit = Instant::now() + PATIENCE;
    let mut answers = Vec::new();
    loop {
        let answer = caller.send(entry, question).await;
        let pause = answer.retry_after.filter(|_| is_refused(&answer));
        answers.push(answer);
        match pause.map(Duration::from_secs_f64) {
            Some(pause) if Instant::now() + pause < limit => sleep(pause).await,
            _ => return answers,
        }
    }
}

fn is_refused(answer: &CallerResponse) -> bool {
    NOT_RUN.contains(&answer.status) && !answer.signed
}

fn seen(one: &Outcome, stage: &Stage) -> Seen {
    let runs = |answer: &CallerResponse| stage.runs(&answer.id);
    Seen {
        kind: one.mix.kind,
        end: ending(one, &runs),
        took: one.took,
        deadline: PATIENCE,
        retried: one.answers.len() > 1,
        doubled: one.mix.once && one.answers.iter().any(|answer| runs(answer) > 1),
    }
}

fn ending(one: &Outcome, runs: &impl Fn(&CallerResponse) -> usize) -> Ending {
    let Some(last) = one.answers.last() else { return Ending::Broken };
    let untrue = one.answers.iter().any(|answer| is_refused(answer) && runs(answer) > 0);
    if untrue || is_refused(last) {
        return Ending::Refused { ran: untrue };
    }
    if last.status != 200 || !last.complete {
        return Ending::Broken;
    }
    let own = match one.question.model {
        Some(_) => {
            last.events.iter().copied().eq(1..=u64::from(one.question.event_count))
        }
        None => last.body.contains(&last.id),
    };
    if own { Ending::Whole } else { Ending::Foreign }
}
