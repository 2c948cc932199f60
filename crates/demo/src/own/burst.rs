//! A burst of requests from several callers, all sent at once.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_fake::caller::{CallerRequest, CallerResponse, Completion, Operation};
use serde::Deserialize;
use tokio::task::JoinSet;

use super::cluster::{Cluster, ROUTES};
use super::run_counts::RunCounts;
use crate::error::DemoError;
use crate::is_selected;
use crate::tally::{RequestOutcome, RequestResult, Tally};

/// A kind of request in the burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Workload {
    /// The declared kind.
    pub kind: &'static str,
    /// The caller that sends it.
    pub caller: &'static str,
    /// The number of requests at scale 1.
    pub count: usize,
    /// The time within which a response is useful, as declared.
    pub deadline: Duration,
    /// Whether a request must run at most once.
    pub at_most_once: bool,
    /// How the requests are built.
    template: RequestTemplate,
}

/// How a request is built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestTemplate {
    /// A completion with a length in tokens.
    Completion { route: &'static str, tokens: u32, stream: bool },
    /// A call of the plain service.
    ServiceCall { method: &'static str, path: &'static str },
}

/// The kinds of requests in the burst.
pub const WORKLOADS: [Workload; 6] = [
    Workload {
        kind: "letter",
        caller: "portal",
        count: 60,
        deadline: Duration::from_secs(30),
        at_most_once: true,
        template: RequestTemplate::Completion {
            route: "letter",
            tokens: 80,
            stream: false,
        },
    },
    Workload {
        kind: "preview",
        caller: "caseworker",
        count: 60,
        deadline: Duration::from_secs(15),
        at_most_once: false,
        template: RequestTemplate::Completion {
            route: "water-preview",
            tokens: 40,
            stream: true,
        },
    },
    Workload {
        kind: "proof",
        caller: "caseworker",
        count: 20,
        deadline: Duration::from_secs(15),
        at_most_once: false,
        template: RequestTemplate::Completion {
            route: "proof",
            tokens: 30,
            stream: true,
        },
    },
    Workload {
        kind: "cue-sheet",
        caller: "desk",
        count: 20,
        deadline: Duration::from_secs(60),
        at_most_once: false,
        template: RequestTemplate::Completion {
            route: "cue-sheet",
            tokens: 200,
            stream: true,
        },
    },
    Workload {
        kind: "seat-check",
        caller: "desk",
        count: 100,
        deadline: Duration::from_secs(5),
        at_most_once: false,
        template: RequestTemplate::ServiceCall { method: "GET", path: "/seats?hall=2" },
    },
    Workload {
        kind: "booking",
        caller: "desk",
        count: 40,
        deadline: Duration::from_secs(10),
        at_most_once: true,
        template: RequestTemplate::ServiceCall { method: "POST", path: "/book" },
    },
];

/// One in this number of requests that must run at most once is sent to two entries at
/// the same time.
const DUPLICATE_INTERVAL: usize = 4;

/// A request with its final response.
struct Exchange {
    workload: Workload,
    request: CallerRequest,
    response: CallerResponse,
    /// How long the caller waited.
    duration: Duration,
}

/// The system's response with the addresses that callers can use.
#[derive(Deserialize)]
struct EntryList {
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    address: String,
}

/// Sends the burst, with `scale` times as many requests of each kind, waits for all
/// responses and counts them.
///
/// Only the `kinds` are sent; all if it is empty.
pub async fn run(
    cluster: &Cluster,
    scale: usize,
    kinds: &[String],
) -> Result<Tally, DemoError> {
    let exchanges = send(cluster, scale, kinds).await?;
    let run_counts = RunCounts::read(cluster).await?;
    let accepted: HashSet<_> = exchanges
        .iter()
        .filter(|exchange| !exchange.response.is_not_run())
        .filter_map(|exchange| exchange.request.idempotency_key.as_deref())
        .collect();
    let mut counted = HashSet::new();
    let evaluate = |exchange: &Exchange| {
        // Requests sent to two entries share a key; a double run is counted once.
        let is_first = exchange.workload.at_most_once
            && counted.insert((
                exchange.workload.kind,
                exchange.request.idempotency_key.clone(),
            ));
        RequestResult {
            kind: exchange.workload.kind,
            outcome: outcome(exchange, &run_counts, &accepted),
            duration: exchange.duration,
            deadline: exchange.workload.deadline,
            retried: exchange.response.attempts > 1,
            ran_twice: is_first && run_counts.runs_of(&exchange.request) > 1,
        }
    };
    let results: Vec<RequestResult> = exchanges.iter().map(evaluate).collect();
    for (exchange, result) in exchanges.iter().zip(&results) {
        if !result.outcome.is_correct() {
            eprintln!("{:?}: {}", result.outcome, describe(exchange, &run_counts));
        }
    }
    Ok(Tally::count(&results))
}

/// What a request's caller received, for people.
fn describe(exchange: &Exchange, run_counts: &RunCounts) -> String {
    let CallerResponse { status, code, outcome, failure, attempts, .. } =
        &exchange.response;
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".into());
    format!(
        "{} {}, status {}, code {}, outcome {}, connection {}, {} attempts, {} runs, \
         {} ms: {}",
        exchange.workload.kind,
        text(&exchange.request.idempotency_key),
        status.map_or_else(|| "-".into(), |status| status.to_string()),
        text(code),
        text(outcome),
        failure.unwrap_or("open"),
        attempts,
        run_counts.runs_of(&exchange.request),
        exchange.duration.as_millis(),
        exchange.response.body["message"],
    )
}

/// The outcome of a request; `accepted` holds the keys of which a copy was not refused.
fn outcome(
    exchange: &Exchange,
    run_counts: &RunCounts,
    accepted: &HashSet<&str>,
) -> RequestOutcome {
    if exchange.response.is_complete(&exchange.request) {
        RequestOutcome::Complete
    } else if exchange.response.mismatch(&exchange.request).is_some() {
        RequestOutcome::Foreign
    } else if exchange.response.is_not_run() {
        // Of a request that was sent to two entries, the copy that came later may have run
        // after the other one was refused.
        let key = exchange.request.idempotency_key.as_deref();
        let other_accepted = key.is_some_and(|key| accepted.contains(key));
        RequestOutcome::Refused {
            ran: exchange.response.attempts == 1
                && !other_accepted
                && run_counts.runs_of(&exchange.request) > 0,
        }
    } else {
        RequestOutcome::Broken
    }
}

async fn send(
    cluster: &Cluster,
    scale: usize,
    kinds: &[String],
) -> Result<Vec<Exchange>, DemoError> {
    let base_urls = fetch_entries(cluster).await?;
    let mut calls = JoinSet::new();
    for workload in
        WORKLOADS.into_iter().filter(|workload| is_selected(kinds, workload.kind))
    {
        for index in 0..workload.count * scale {
            let request = build_request(workload, index, &base_urls);
            let is_duplicated = workload.at_most_once && index % DUPLICATE_INTERVAL == 0;
            for copy in 0..1 + usize::from(is_duplicated) {
                let mut request = request.clone();
                request.base_urls.rotate_left(copy);
                let http = cluster.http.clone();
                calls.spawn(async move {
                    let start = Instant::now();
                    let response =
                        request.clone().send_with_retries(http, Arc::default()).await;
                    Exchange { workload, request, response, duration: start.elapsed() }
                });
            }
        }
    }
    Ok(calls.join_all().await)
}

/// Fetches the addresses that callers can use.
async fn fetch_entries(cluster: &Cluster) -> Result<Vec<String>, DemoError> {
    let url = format!("{}/v1/entry", cluster.entries[0]);
    let response: EntryList = cluster.http.get(url).send().await?.json().await?;
    let base_urls: Vec<_> = response
        .entries
        .iter()
        .map(|entry| format!("http://{}", entry.address))
        .collect();
    if base_urls.is_empty() {
        return Err(DemoError::Call("the response lists no entry".into()));
    }
    Ok(base_urls)
}

fn build_request(
    workload: Workload,
    index: usize,
    base_urls: &[String],
) -> CallerRequest {
    let text = format!("{} {index} of {}", workload.kind, workload.caller);
    let operation = match workload.template {
        RequestTemplate::Completion { route, tokens, stream } => {
            let declared = ROUTES.iter().find(|(name, _)| *name == route);
            Operation::Completion(Completion {
                previous_model: None,
                route: route.to_owned(),
                model: declared.map_or(route, |(_, model)| model).to_owned(),
                prompt: text,
                max_tokens: tokens,
                stream,
                chat: false,
            })
        }
        RequestTemplate::ServiceCall { method, path } => Operation::Service {
            name: "box-office".into(),
            path: path.to_owned(),
            method: method.to_owned(),
            body: if method == "GET" { String::new() } else { text },
        },
    };
    let mut base_urls = base_urls.to_vec();
    let len = base_urls.len();
    base_urls.rotate_left(index % len);
    CallerRequest {
        base_urls,
        caller: workload.caller.to_owned(),
        idempotency_key: workload
            .at_most_once
            .then(|| format!("{}-{index}", workload.kind)),
        kind: (workload.kind != "proof").then(|| workload.kind.to_owned()),
        operation,
        deadline_ms: None,
        idempotent: !workload.at_most_once,
        wait_limit: workload.deadline,
        attempt_timeout: workload.deadline,
    }
}
