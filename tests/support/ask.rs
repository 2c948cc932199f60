//! The requests of a scenario and the facts of their answers.

use std::time::Duration;

pub use chestnut_fake::caller::{CallerRequest, CallerResponse, Completion, Operation};

use super::command::Options;
use super::{Failure, PATIENCE};

/// How long a caller waits for an answer before it asks elsewhere.
const GIVE_UP: usize = 30_000;

/// Reads the options of a request; `bases` are those of the daemons named.
pub fn read(options: &Options, bases: Vec<String>) -> Result<CallerRequest, Failure> {
    let text = |name: &str| options.text(name).map(str::to_owned);
    let form = if let Some(name) = text("svc") {
        Operation::Service {
            name,
            path: options.or("path", "/").to_owned(),
            method: options.or("method", "POST").to_owned(),
            body: options.or("body", "").to_owned(),
        }
    } else if let Some(raw) = text("raw") {
        Operation::Raw(raw)
    } else if let Some(key) = text("outcome") {
        Operation::Outcome(key)
    } else {
        let route = options.or("route", "draft").to_owned();
        Operation::Completion(Completion {
            model: options.or("model", engine_model(&route)).to_owned(),
            previous_model: text("former"),
            route,
            prompt: options.or("prompt", "hello").to_owned(),
            max_tokens: options.number("tokens", 8)? as u32,
            stream: options.flag("stream"),
            chat: options.flag("chat"),
        })
    };
    let mut ask = CallerRequest {
        base_urls: bases,
        caller: options.or("caller", "portal").to_owned(),
        idempotency_key: text("key"),
        operation: form,
        kind: text("kind"),
        deadline_ms: text("deadline"),
        wait_limit: if options.flag("patient") { PATIENCE } else { Duration::ZERO },
        attempt_timeout: Duration::from_millis(options.number("give_up", GIVE_UP)? as u64),
        idempotent: false,
    };
    ask.idempotent = idempotent(&ask);
    Ok(ask)
}

/// Whether running the request twice does no harm.
pub fn idempotent(ask: &CallerRequest) -> bool {
    let kind = ask.kind.as_deref();
    let harmful = |kind: &str| kind == "letter" || kind == "booking";
    match &ask.operation {
        Operation::Completion(completion) => {
            !kind.map_or(completion.route == "letter", harmful)
        }
        Operation::Service { method, .. } => method == "GET" || !kind.is_none_or(harmful),
        Operation::Raw(_) | Operation::Outcome(_) => true,
    }
}

/// What is true of the reply, as words that a case can expect.
pub fn facts(reply: &CallerResponse, ask: &CallerRequest) -> Vec<String> {
    let mut facts = Vec::new();
    facts.extend(reply.status.map(|status| status.to_string()));
    facts.extend(reply.outcome.clone());
    facts.extend(reply.code.clone());
    facts.extend(reply.failure.map(str::to_owned));
    if reply.retry_after.is_some() && reply.has_retry_after_header {
        facts.push("retry".into());
    }
    if reply.is_complete(ask) {
        facts.push("whole".into());
    }
    for name in ["state", "verdict", "reason"] {
        facts.extend(reply.body[name].as_str().map(str::to_owned));
    }
    if let Some(run) = reply.body["run"].as_u64() {
        facts.push(format!("run={run}"));
    }
    facts.push(format!("tries={}", reply.attempts));
    facts
}

/// The engine's name of what the declared routes stand for.
fn engine_model(route: &str) -> &str {
    match route {
        "draft" | "letter" => "drafter@v1",
        "water" => "water-board",
        "proof" => "proofreader@v1",
        other => other,
    }
}
