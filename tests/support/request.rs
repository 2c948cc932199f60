//! Requests of a scenario and the facts about their responses.

use std::time::Duration;

pub use chestnut_fake::caller::{Ask, Completion, Form, Reply};

use super::command::Options;
use super::{Failure, TIMEOUT};

/// Time in milliseconds that a caller waits for a response before it tries the next
/// address.
const DEFAULT_CLIENT_TIMEOUT_MS: usize = 30_000;

/// Builds a request from a command's options; `bases` are the URLs of the daemons to send
/// it to.
pub fn parse(options: &Options, bases: Vec<String>) -> Result<Ask, Failure> {
    let text = |name: &str| options.text(name).map(str::to_owned);
    let form = if let Some(name) = text("svc") {
        Form::Service {
            name,
            path: options.text_or("path", "/").to_owned(),
            method: options.text_or("method", "POST").to_owned(),
            body: options.text_or("body", "").to_owned(),
        }
    } else if let Some(raw) = text("raw") {
        Form::Raw(raw)
    } else if let Some(key) = text("outcome") {
        Form::Outcome(key)
    } else {
        let route = options.text_or("route", "draft").to_owned();
        Form::Completion(Completion {
            model: options.text_or("model", engine_model_name(&route)).to_owned(),
            former: text("former"),
            route,
            prompt: options.text_or("prompt", "hello").to_owned(),
            tokens: options.number_or("tokens", 8)? as u32,
            stream: options.is_set("stream"),
            chat: options.is_set("chat"),
        })
    };
    let mut request = Ask {
        bases,
        caller: options.text_or("caller", "portal").to_owned(),
        key: text("key"),
        form,
        kind: text("kind"),
        deadline: text("deadline"),
        patience: if options.is_set("patient") { TIMEOUT } else { Duration::ZERO },
        give_up: Duration::from_millis(
            options.number_or("give_up", DEFAULT_CLIENT_TIMEOUT_MS)? as u64,
        ),
        safe: false,
    };
    request.safe = is_idempotent(&request);
    Ok(request)
}

/// Whether running the request twice has the same effect as running it once.
pub fn is_idempotent(request: &Ask) -> bool {
    let kind = request.kind.as_deref();
    let has_effects = |kind: &str| kind == "letter" || kind == "booking";
    match &request.form {
        Form::Completion(completion) => {
            !kind.map_or(completion.route == "letter", has_effects)
        }
        Form::Service { method, .. } => method == "GET" || !kind.is_none_or(has_effects),
        Form::Raw(_) | Form::Outcome(_) => true,
    }
}

/// Facts about a reply, as words that a scenario can expect.
pub fn facts(reply: &Reply, request: &Ask) -> Vec<String> {
    let mut facts = Vec::new();
    facts.extend(reply.status.map(|status| status.to_string()));
    facts.extend(reply.outcome.clone());
    facts.extend(reply.code.clone());
    facts.extend(reply.fault.map(str::to_owned));
    if reply.retry.is_some() && reply.header {
        facts.push("retry".into());
    }
    if reply.is_whole(request) {
        facts.push("whole".into());
    }
    for name in ["state", "verdict", "reason"] {
        facts.extend(reply.body[name].as_str().map(str::to_owned));
    }
    if let Some(run) = reply.body["run"].as_u64() {
        facts.push(format!("run={run}"));
    }
    facts.push(format!("tries={}", reply.tries));
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
