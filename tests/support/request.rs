//! Requests of a scenario and the facts about their responses.

use std::time::Duration;

pub use chestnut_fake::caller::{CallerRequest, CallerResponse, Completion, Operation};

use super::command::Options;
use super::{Failure, TIMEOUT};

/// Time in milliseconds that a caller waits for a response before it tries the next
/// address.
const DEFAULT_CLIENT_TIMEOUT_MS: usize = 30_000;

/// Builds a request from a command's options; `base_urls` are those of the daemons to
/// send it to.
pub fn parse(
    options: &Options,
    base_urls: Vec<String>,
) -> Result<CallerRequest, Failure> {
    let text = |name: &str| options.text(name).map(str::to_owned);
    let operation = if let Some(name) = text("svc") {
        Operation::Service {
            name,
            path: options.text_or("path", "/").to_owned(),
            method: options.text_or("method", "POST").to_owned(),
            body: options.text_or("body", "").to_owned(),
        }
    } else if let Some(raw) = text("raw") {
        Operation::Raw(raw)
    } else if let Some(key) = text("outcome") {
        Operation::Outcome(key)
    } else {
        let route = options.text_or("route", "draft").to_owned();
        Operation::Completion(Completion {
            model: options.text_or("model", engine_model_name(&route)).to_owned(),
            previous_model: text("former"),
            route,
            prompt: options.text_or("prompt", "hello").to_owned(),
            max_tokens: options.number_or("tokens", 8)? as u32,
            stream: options.is_set("stream"),
            chat: options.is_set("chat"),
        })
    };
    let mut request = CallerRequest {
        base_urls,
        caller: options.text_or("caller", "portal").to_owned(),
        idempotency_key: text("key"),
        operation,
        kind: text("kind"),
        deadline_ms: text("deadline"),
        wait_limit: if options.is_set("patient") { TIMEOUT } else { Duration::ZERO },
        attempt_timeout: Duration::from_millis(
            options.number_or("give_up", DEFAULT_CLIENT_TIMEOUT_MS)? as u64,
        ),
        idempotent: false,
    };
    request.idempotent = is_idempotent(&request);
    Ok(request)
}

/// Whether running the request twice has the same effect as running it once.
pub fn is_idempotent(request: &CallerRequest) -> bool {
    let kind = request.kind.as_deref();
    let has_effects = |kind: &str| kind == "letter" || kind == "booking";
    match &request.operation {
        Operation::Completion(completion) => {
            !kind.map_or(completion.route == "letter", has_effects)
        }
        Operation::Service { method, .. } => {
            method == "GET" || !kind.is_none_or(has_effects)
        }
        Operation::Raw(_) | Operation::Outcome(_) => true,
    }
}

/// Facts about a response, as words that a scenario can expect.
pub fn facts(response: &CallerResponse, request: &CallerRequest) -> Vec<String> {
    let mut facts = Vec::new();
    facts.extend(response.status.map(|status| status.to_string()));
    facts.extend(response.outcome.clone());
    facts.extend(response.code.clone());
    facts.extend(response.failure.map(str::to_owned));
    if response.retry_after.is_some() && response.has_retry_after_header {
        facts.push("retry".into());
    }
    if response.is_complete(request) {
        facts.push("whole".into());
    }
    for name in ["state", "verdict", "reason"] {
        facts.extend(response.body[name].as_str().map(str::to_owned));
    }
    if let Some(run) = response.body["run"].as_u64() {
        facts.push(format!("run={run}"));
    }
    facts.push(format!("tries={}", response.attempts));
    facts
}

/// The engine's name of the model or adapter behind a declared route.
fn engine_model_name(route: &str) -> &str {
    match route {
        "draft" | "letter" => "drafter@v1",
        "water" => "water-board",
        "proof" => "proofreader@v1",
        other => other,
    }
}
