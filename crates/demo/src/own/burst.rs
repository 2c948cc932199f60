//! A mix of requests of several callers, all sent at once.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_fake::caller::{CallerRequest, CallerResponse, Completion, Operation};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::ran::Ran;
use super::stage::{ROUTES, Stage};
use crate::error::StageError;
use crate::is_wanted;
use crate::tally::{Ending, Seen, Tally};

/// A kind of request in the burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mix {
    /// The declared kind.
    pub kind: &'static str,
    /// Who sends it.
    pub caller: &'static str,
    /// How many are sent.
    pub count: usize,
    /// The time in which an answer is useful, as declared.
    pub deadline: Duration,
    /// Whether running it twice harms.
    pub once: bool,
    /// What is sent.
    what: What,
}

/// What is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum What {
    /// A completion of so many tokens.
    Tokens { route: &'static str, tokens: u32, stream: bool },
    /// A call of the plain service.
    Call { method: &'static str, path: &'static str },
}

/// What the burst is made of.
pub const MIXES: [Mix; 6] = [
    Mix {
        kind: "letter",
        caller: "portal",
        count: 60,
        deadline: Duration::from_secs(30),
        once: true,
        what: What::Tokens { route: "letter", tokens: 80, stream: false },
    },
    Mix {
        kind: "preview",
        caller: "caseworker",
        count: 60,
        deadline: Duration::from_secs(15),
        once: false,
        what: What::Tokens { route: "water-preview", tokens: 40, stream: true },
    },
    Mix {
        kind: "proof",
        caller: "caseworker",
        count: 20,
        deadline: Duration::from_secs(15),
        once: false,
        what: What::Tokens { route: "proof", tokens: 30, stream: true },
    },
    Mix {
        kind: "cue-sheet",
        caller: "desk",
        count: 20,
        deadline: Duration::from_secs(60),
        once: false,
        what: What::Tokens { route: "cue-sheet", tokens: 200, stream: true },
    },
    Mix {
        kind: "seat-check",
        caller: "desk",
        count: 100,
        deadline: Duration::from_secs(5),
        once: false,
        what: What::Call { method: "GET", path: "/seats?hall=2" },
    },
    Mix {
        kind: "booking",
        caller: "desk",
        count: 40,
        deadline: Duration::from_secs(10),
        once: true,
        what: What::Call { method: "POST", path: "/book" },
    },
];

/// One in so many requests that may run once only is sent to two entries at once.
const DOUBLED: usize = 4;

/// What became of one request.
struct Outcome {
    mix: Mix,
    ask: CallerRequest,
    /// What its caller got.
    reply: CallerResponse,
    /// How long the caller waited.
    took: Duration,
}

/// The answer to the question which addresses to use.
#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    address: String,
}

/// Sends the burst `scale` times, waits for all answers and counts them.
///
/// Of the `kinds` only; of all if none is named.
pub async fn run(
    stage: &Stage,
    scale: usize,
    kinds: &[String],
) -> Result<Tally, StageError> {
    let outcomes = send(stage, scale, kinds).await?;
    let ran = Ran::read(stage).await?;
    let mut once = HashSet::new();
    let seen = |one: &Outcome| {
        let first =
            one.mix.once && once.insert((one.mix.kind, one.ask.idempotency_key.clone()));
        Seen {
            kind: one.mix.kind,
            end: ending(one, &ran),
            took: one.took,
            deadline: one.mix.deadline,
            retried: one.reply.attempts > 1,
            doubled: first && ran.of(&one.ask) > 1,
        }
    };
    let seen: Vec<Seen> = outcomes.iter().map(seen).collect();
    Ok(Tally::count(&seen))
}

fn ending(one: &Outcome, ran: &Ran) -> Ending {
    if one.reply.is_complete(&one.ask) {
        Ending::Whole
    } else if one.reply.mismatch(&one.ask).is_some() {
        Ending::Foreign
    } else if one.reply.outcome.as_deref() == Some("not_run") {
        // A request that was sent to two entries may have run by the other.
        Ending::Refused { ran: one.reply.attempts == 1 && ran.of(&one.ask) > 0 }
    } else {
        Ending::Broken
    }
}

async fn send(
    stage: &Stage,
    scale: usize,
    kinds: &[String],
) -> Result<Vec<Outcome>, StageError> {
    let bases = ask_entries(stage).await?;
    let mut calls = JoinSet::new();
    for mix in MIXES.into_iter().filter(|mix| is_wanted(kinds, mix.kind)) {
        for index in 0..mix.count * scale {
            let ask = ask(mix, index, &bases);
            let twice = mix.once && index % DOUBLED == 0;
            for copy in 0..1 + usize::from(twice) {
                let mut ask = ask.clone();
                ask.base_urls.rotate_left(copy);
                let http = stage.http.clone();
                calls.spawn(async move {
                    let start = Instant::now();
                    let reply = ask.clone().send_with_retries(http, Arc::default()).await;
                    Outcome { mix, ask, reply, took: start.elapsed() }
                });
            }
        }
    }
    Ok(calls.join_all().await)
}

/// Asks the system which addresses to use.
async fn ask_entries(stage: &Stage) -> Result<Vec<String>, StageError> {
    let url = format!("{}/v1/entry", stage.entries[0]);
    let answer: Entries = stage.http.get(url).send().await?.json().await?;
    let bases: Vec<_> =
        answer.entries.iter().map(|entry| format!("http://{}", entry.address)).collect();
    if bases.is_empty() {
        return Err(StageError::Call("no address to use was named".into()));
    }
    Ok(bases)
}

fn ask(mix: Mix, index: usize, bases: &[String]) -> CallerRequest {
    let text = format!("{} {index} of {}", mix.kind, mix.caller);
    let form = match mix.what {
        What::Tokens { route, tokens, stream } => {
            let known = ROUTES.iter().find(|(name, _)| *name == route);
            Operation::Completion(Completion {
                previous_model: None,
                route: route.to_owned(),
                model: known.map_or(route, |(_, model)| model).to_owned(),
                prompt: text,
                max_tokens: tokens,
                stream,
                chat: false,
            })
        }
        What::Call { method, path } => Operation::Service {
            name: "box-office".into(),
            path: path.to_owned(),
            method: method.to_owned(),
            body: if method == "GET" { String::new() } else { text },
        },
    };
    let mut bases = bases.to_vec();
    let len = bases.len();
    bases.rotate_left(index % len);
    CallerRequest {
        base_urls: bases,
        caller: mix.caller.to_owned(),
        idempotency_key: mix.once.then(|| format!("{}-{index}", mix.kind)),
        kind: (mix.kind != "proof").then(|| mix.kind.to_owned()),
        operation: form,
        deadline_ms: None,
        idempotent: !mix.once,
        wait_limit: mix.deadline,
        attempt_timeout: mix.deadline,
    }
}
