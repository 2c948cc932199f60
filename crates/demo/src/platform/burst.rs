//! A burst of requests of several kinds, all sent at once.

use std::io::{Write, stderr};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{Caller, CallerRequest, CallerResponse};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::cluster::Cluster;
use crate::error::DemoError;
use crate::is_selected;
use crate::tally::{RequestOutcome, RequestResult, Tally};

/// Status codes that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A kind of request in the burst.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// The kind's name.
    pub kind: &'static str,
    /// The number of requests at scale 1.
    count: usize,
    /// How the requests are built.
    template: RequestTemplate,
    /// Whether an attempt must run at most once.
    at_most_once: bool,
}

/// How a request is built.
#[derive(Debug, Clone, Copy)]
enum RequestTemplate {
    /// A stream with a number of events.
    Stream { model: &'static str, events: u32 },
    /// A request to the plain service.
    Plain,
}

/// The kinds of requests in the burst, each with its route.
pub const WORKLOADS: [(&str, Workload); 5] = [
    ("draft", Workload { kind: "draft", count: 40, template: RED, at_most_once: true }),
    (
        "draft",
        Workload { kind: "adapted", count: 20, template: ADAPTED, at_most_once: true },
    ),
    (
        "demand",
        Workload { kind: "demand", count: 20, template: BLUE, at_most_once: false },
    ),
    (
        "record",
        Workload {
            kind: "record",
            count: 40,
            template: RequestTemplate::Plain,
            at_most_once: true,
        },
    ),
    (
        "lookup",
        Workload {
            kind: "lookup",
            count: 100,
            template: RequestTemplate::Plain,
            at_most_once: false,
        },
    ),
];

const RED: RequestTemplate = RequestTemplate::Stream { model: "red", events: 20 };
const ADAPTED: RequestTemplate = RequestTemplate::Stream { model: "red/a1", events: 10 };
const BLUE: RequestTemplate = RequestTemplate::Stream { model: "blue", events: 30 };

/// How long a caller retries a request; also the time within which a response is useful.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A request with all its responses.
struct Exchange {
    workload: Workload,
    request: CallerRequest,
    /// The responses to all attempts, in order.
    responses: Vec<CallerResponse>,
    duration: Duration,
}

/// Sends the burst, with `scale` times as many requests of each kind, waits for all
/// responses and counts them.
///
/// Only the `kinds` are sent; all if it is empty.
pub async fn run(
    cluster: &Cluster,
    caller: &Caller,
    scale: usize,
    kinds: &[String],
) -> Result<Tally, DemoError> {
    let entries = caller.directory(cluster.directories[0]).await;
    if entries.is_empty() {
        return Err(DemoError::Call("the directory lists no entry".into()));
    }
    let mut calls = JoinSet::new();
    for (route, workload) in
        WORKLOADS.into_iter().filter(|(_, workload)| is_selected(kinds, workload.kind))
    {
        for index in 0..workload.count * scale {
            let (caller, entry) = (caller.clone(), entries[index % entries.len()]);
            calls.spawn(async move {
                let request = build_request(route, workload.template);
                let start = Instant::now();
                let responses = send_with_retries(&caller, entry, &request).await;
                Exchange { workload, request, responses, duration: start.elapsed() }
            });
        }
    }
    let exchanges = calls.join_all().await;
    let results: Vec<RequestResult> =
        exchanges.iter().map(|exchange| evaluate(exchange, cluster)).collect();
    for (exchange, result) in exchanges.iter().zip(&results) {
        print_failure(exchange, result, cluster)?;
    }
    Ok(Tally::count(&results))
}

/// Prints the attempts of a request without a complete response, or that ran twice.
fn print_failure(
    exchange: &Exchange,
    result: &RequestResult,
    cluster: &Cluster,
) -> Result<(), DemoError> {
    if result.outcome == RequestOutcome::Complete && !result.ran_twice {
        return Ok(());
    }
    let mut text =
        format!("{} {:?} after {:?}\n", result.kind, result.outcome, exchange.duration);
    for response in &exchange.responses {
        let runs = cluster.runs(&response.id);
        text.push_str(&format!("  ran {runs} times, received {response:?}\n"));
    }
    let printed = stderr().write_all(text.as_bytes());
    printed.map_err(|error| DemoError::Output(error.to_string()))
}

fn build_request(route: &str, template: RequestTemplate) -> CallerRequest {
    match template {
        RequestTemplate::Stream { model, events } => {
            CallerRequest::stream(route, model, events)
        }
        RequestTemplate::Plain => CallerRequest::plain(route),
    }
}

/// Sends a request and retries it after the stated delay while it is refused; returns the
/// responses to all attempts.
async fn send_with_retries(
    caller: &Caller,
    entry: std::net::SocketAddr,
    request: &CallerRequest,
) -> Vec<CallerResponse> {
    let deadline = Instant::now() + WAIT_LIMIT;
    let mut responses = Vec::new();
    loop {
        let response = caller.send(entry, request).await;
        let retry_delay = response.retry_after.filter(|_| is_refused(&response));
        responses.push(response);
        match retry_delay.map(Duration::from_secs_f64) {
            Some(retry_delay) if Instant::now() + retry_delay < deadline => {
                sleep(retry_delay).await
            }
            _ => return responses,
        }
    }
}

fn is_refused(response: &CallerResponse) -> bool {
    NOT_RUN_STATUSES.contains(&response.status) && !response.signed
}

fn evaluate(exchange: &Exchange, cluster: &Cluster) -> RequestResult {
    let runs = |response: &CallerResponse| cluster.runs(&response.id);
    RequestResult {
        kind: exchange.workload.kind,
        outcome: outcome(exchange, &runs),
        duration: exchange.duration,
        deadline: WAIT_LIMIT,
        retried: exchange.responses.len() > 1,
        ran_twice: exchange.workload.at_most_once
            && exchange.responses.iter().any(|response| runs(response) > 1),
    }
}

fn outcome(
    exchange: &Exchange,
    runs: &impl Fn(&CallerResponse) -> usize,
) -> RequestOutcome {
    let Some(last) = exchange.responses.last() else {
        return RequestOutcome::Broken;
    };
    let refused_but_ran = exchange
        .responses
        .iter()
        .any(|response| is_refused(response) && runs(response) > 0);
    if refused_but_ran || is_refused(last) {
        return RequestOutcome::Refused { ran: refused_but_ran };
    }
    if last.status != 200 || !last.complete {
        return RequestOutcome::Broken;
    }
    let is_own = match exchange.request.model {
        Some(_) => {
            last.events.iter().copied().eq(1..=u64::from(exchange.request.event_count))
        }
        None => last.body.contains(&last.id),
    };
    if is_own { RequestOutcome::Complete } else { RequestOutcome::Foreign }
}
