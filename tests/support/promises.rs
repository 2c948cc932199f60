//! What must hold at the end of every scenario, whatever happened in it.
//!
//! - Nobody gets another's answer, and what has an end mark is whole.
//! - What was refused as not run did not run.
//! - A non-idempotent request ran at most once.
//! - No engine was ever asked to hold more than its memory.
//! - No key of an operator or caller stands in a log or a dump.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;

use super::Failure;
use super::ask::{CallerRequest, CallerResponse, Operation, idempotent};
use super::command::Kind;
use super::world::World;

/// How often a stand-in is asked for its counts.
const TRIES: u32 = 15;

/// The pause before it is asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Checks all promises.
pub async fn check(world: &World) -> Result<(), Failure> {
    for (ask, reply) in &world.replies {
        if let Some(why) = reply.mismatch(ask) {
            return Err(format!("{ask:?} got {why}"));
        }
    }
    let mut ran = Ran::default();
    for name in world.named(Kind::Service) {
        ran.add_service(&counts(world, name).await);
    }
    for name in world.named(Kind::Engine) {
        let counts = counts(world, name).await;
        check_memory(name, &counts)?;
        ran.add_engine(&counts);
    }
    check_keys(world).await?;
    check_once(world, &ran)?;
    check_not_run(world, &ran)
}

/// The keys of operators and callers in the scenarios start like this.
const KEYS: [&str; 5] =
    ["ops-base", "ops-letters", "ops-seats", "key-portal", "key-caseworker"];

/// Looks for keys in the daemons' logs and dumps.
async fn check_keys(world: &World) -> Result<(), Failure> {
    for name in world.named(Kind::Daemon) {
        let log = std::fs::read_to_string(world.dir.join(format!("{name}.log")));
        // A daemon that was killed has no dump any more.
        let dump = world.get(&format!("{}/debug/state", world.ops(name)?)).await;
        let text = format!("{}{}", log.unwrap_or_default(), dump.unwrap_or_default());
        if let Some(key) = KEYS.iter().find(|key| text.contains(**key)) {
            return Err(format!("{name} shows the key {key}"));
        }
    }
    Ok(())
}

/// How often things ran, as the backend servers counted.
#[derive(Default)]
struct Ran {
    /// Calls of plain services, by the caller's key.
    calls: IndexMap<String, u64>,
    /// Prompts.
    prompts: IndexMap<String, u64>,
}

impl Ran {
    fn add_service(&mut self, counts: &Value) {
        add(&mut self.calls, &counts["runs"]);
    }

    fn add_engine(&mut self, counts: &Value) {
        add(&mut self.prompts, &counts["prompts"]);
    }

    fn of(&self, ask: &CallerRequest) -> u64 {
        let count = match (&ask.operation, &ask.idempotency_key) {
            (Operation::Completion(completion), _) => {
                self.prompts.get(&completion.prompt)
            }
            (Operation::Service { .. }, Some(key)) => self.calls.get(key),
            _ => None,
        };
        count.copied().unwrap_or(0)
    }
}

fn add(sums: &mut IndexMap<String, u64>, counts: &Value) {
    for (key, count) in counts.as_object().into_iter().flatten() {
        *sums.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
}

/// What a stand-in counted; nothing if it was killed.
async fn counts(world: &World, name: &str) -> Value {
    let Ok(base) = world.base(name) else { return Value::Null };
    for _ in 0..TRIES {
        if let Ok(counts) = world.get(&format!("{base}/counts")).await {
            return counts;
        }
        // One that crashed opens its port again soon; a killed one does not.
        tokio::time::sleep(PAUSE).await;
    }
    Value::Null
}

fn check_memory(name: &str, counts: &Value) -> Result<(), Failure> {
    if counts.is_null() {
        return Ok(());
    }
    let number = |field: &str| counts[field].as_u64().unwrap_or(u64::MAX);
    if number("peak") <= number("capacity") && number("overfull") == 0 {
        return Ok(());
    }
    Err(format!("{name} was asked to hold more than its memory: {counts}"))
}

fn check_once(world: &World, ran: &Ran) -> Result<(), Failure> {
    for (ask, _) in world.replies.iter().filter(|(ask, _)| !idempotent(ask)) {
        let allowed = distinct_keys(world, ask);
        let count = ran.of(ask);
        if count > allowed {
            return Err(format!("{ask:?} ran {count} times"));
        }
    }
    Ok(())
}

/// How many requests of the scenario have the same prompt or service key.
fn distinct_keys(world: &World, ask: &CallerRequest) -> u64 {
    let mut keys: Vec<_> = world
        .replies
        .iter()
        .filter(|(other, _)| same(ask, other))
        .map(|(other, _)| (&other.caller, &other.idempotency_key))
        .collect();
    keys.sort();
    keys.dedup();
    keys.len() as u64
}

fn check_not_run(world: &World, ran: &Ran) -> Result<(), Failure> {
    for (ask, _) in world.replies.iter().filter(|(_, reply)| is_not_run(reply)) {
        let others = world.replies.iter().filter(|(other, _)| same(ask, other)).count();
        // Another request with the same text, or an earlier try, may have run.
        let alone = others == 1 && ask.wait_limit.is_zero();
        if alone && ran.of(ask) > 0 {
            return Err(format!("{ask:?} was refused as not run and ran"));
        }
    }
    Ok(())
}

fn is_not_run(reply: &CallerResponse) -> bool {
    reply.outcome.as_deref() == Some("not_run")
}

fn same(one: &CallerRequest, other: &CallerRequest) -> bool {
    match (&one.operation, &other.operation) {
        (Operation::Completion(one), Operation::Completion(other)) => {
            one.prompt == other.prompt
        }
        (Operation::Service { .. }, Operation::Service { .. }) => {
            one.idempotency_key == other.idempotency_key
        }
        _ => false,
    }
}
