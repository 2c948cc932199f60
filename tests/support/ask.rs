//! The requests of a scenario and the facts of their answers.

use std::time::Duration;

pub use chestnut_fake::caller::{Ask, Completion, Form, Reply};

use super::command::Options;
use super::{Failure, PATIENCE};

/// How long a caller waits for an answer before it asks elsewhere.
const GIVE_UP: usize = 30_000;

/// Reads the options of a request; `bases` are those of the daemons named.
pub fn read(options: &Options, bases: Vec<String>) -> Result<Ask, Failure> {
    let text = |name: &str| options.text(name).map(str::to_owned);
    let form = if let Some(name) = text("svc") {
        Form::Service {
            name,
            path: options.or("path", "/").to_owned(),
            method: options.or("method", "POST").to_owned(),
            body: options.or("body", "").to_owned(),
        }
    } else if let Some(raw) = text("raw") {
        Form::Raw(raw)
    } else if let Some(key) = text("outcome") {
        Form::Outcome(key)
    } else {
        let route = options.or("route", "draft").to_owned();
        Form::Completion(Completion {
            model: options.or("model", engine_model(&route)).to_owned(),
            former: text("former"),
            route,
            prompt: options.or("prompt", "hello").to_owned(),
            tokens: options.number("tokens", 8)? as u32,
            stream: options.flag("stream"),
            chat: options.flag("chat"),
        })
    };
    let mut ask = Ask {
        bases,
        caller: options.or("caller", "portal").to_owned(),
        key: text("key"),
        form,
        kind: text("kind"),
        deadline: text("deadline"),
        patience: if options.flag("patient") { PATIENCE } else { Duration::ZERO },
        give_up: Duration::from_millis(options.number("give_up", GIVE_UP)? as u64),
        safe: false,
    };
    ask.safe = idempotent(&ask);
    Ok(ask)
}

/// Whether running the request twice does no harm.
pub fn idempotent(ask: &Ask) -> bool {
    let kind = ask.kind.as_deref();
    let harmful = |kind: &str| kind == "letter" || kind == "booking";
    match &ask.form {
        Form::Completion(completion) => {
            !kind.map_or(completion.route == "letter", harmful)
        }
        Form::Service { method, .. } => method == "GET" || !kind.is_none_or(harmful),
        Form::Raw(_) | Form::Outcome(_) => true,
    }
}

/// What is true of the reply, as words that a case can expect.
pub fn facts(reply: &Reply, ask: &Ask) -> Vec<String> {
    let mut facts = Vec::new();
    facts.extend(reply.status.map(|status| status.to_string()));
    facts.extend(reply.outcome.clone());
    facts.extend(reply.code.clone());
    facts.extend(reply.fault.map(str::to_owned));
    if reply.retry.is_some() && reply.header {
        facts.push("retry".into());
    }
    if reply.is_whole(ask) {
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

/// The engine's name of what the declared routes stand for.
fn engine_model(route: &str) -> &str {
    match route {
        "draft" | "letter" => "drafter@v1",
        "water" => "water-board",
        "proof" => "proofreader@v1",
        other => other,
    }
}
