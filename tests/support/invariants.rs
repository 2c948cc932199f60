//! Invariants that every scenario has to keep, whatever its faults.
//!
//! - No caller gets another's response, and a response with an end marker is complete.
//! - What was refused as not run did not run.
//! - A non-idempotent request ran at most once.
//! - No engine was ever ordered to hold more than its memory.
//! - No key of an operator or caller appears in a log or a dump of state.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;

use super::Failure;
use super::cluster::Cluster;
use super::command::ProcessKind;
use super::request::{CallerRequest, CallerResponse, Operation, is_idempotent};

/// Maximum number of attempts to read a stand-in's counts.
const COUNT_ATTEMPTS: u32 = 15;

/// Delay between these attempts.
const COUNT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Checks all invariants.
pub async fn check(cluster: &Cluster) -> Result<(), Failure> {
    for (request, response) in &cluster.responses {
        if let Some(reason) = response.mismatch(request) {
            return Err(format!("{request:?} got {reason}"));
        }
    }
    let mut run_counts = RunCounts::default();
    for name in cluster.process_names(ProcessKind::Service) {
        run_counts.add_service(&counts(cluster, name).await);
    }
    for name in cluster.process_names(ProcessKind::Engine) {
        let counts = counts(cluster, name).await;
        check_memory(name, &counts)?;
        run_counts.add_engine(&counts);
    }
    check_no_keys_leaked(cluster).await?;
    check_at_most_once(cluster, &run_counts)?;
    check_not_run(cluster, &run_counts)
}

/// All valid keys of operators and callers in the scenarios.
const SCENARIO_KEYS: [&str; 5] =
    ["ops-base", "ops-letters", "ops-seats", "key-portal", "key-caseworker"];

/// Checks that the daemons' logs and state dumps contain no keys.
async fn check_no_keys_leaked(cluster: &Cluster) -> Result<(), Failure> {
    for name in cluster.process_names(ProcessKind::Daemon) {
        let log = std::fs::read_to_string(cluster.dir.join(format!("{name}.log")));
        // A killed daemon has no state to dump.
        let dump =
            cluster.get_json(&format!("{}/debug/state", cluster.ops_url(name)?)).await;
        let text = format!("{}{}", log.unwrap_or_default(), dump.unwrap_or_default());
        if let Some(key) = SCENARIO_KEYS.iter().find(|key| text.contains(**key)) {
            return Err(format!("{name} shows the key {key}"));
        }
    }
    Ok(())
}

/// Run counts of all backend servers.
#[derive(Default)]
struct RunCounts {
    /// Calls of plain services, by the caller's key.
    calls: IndexMap<String, u64>,
    /// Started prompts, by text.
    prompts: IndexMap<String, u64>,
}

impl RunCounts {
    fn add_service(&mut self, counts: &Value) {
        add(&mut self.calls, &counts["runs"]);
    }

    fn add_engine(&mut self, counts: &Value) {
        add(&mut self.prompts, &counts["prompts"]);
    }

    fn runs_of(&self, request: &CallerRequest) -> u64 {
        let count = match (&request.operation, &request.idempotency_key) {
            (Operation::Completion(completion), _) => {
                self.prompts.get(&completion.prompt)
            }
            (Operation::Service { .. }, Some(key)) => self.calls.get(key),
            _ => None,
        };
        count.copied().unwrap_or(0)
    }
}

fn add(totals: &mut IndexMap<String, u64>, counts: &Value) {
    for (key, count) in counts.as_object().into_iter().flatten() {
        *totals.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
}

/// Counts of a stand-in; null if it was killed.
async fn counts(cluster: &Cluster, name: &str) -> Value {
    let Ok(base) = cluster.base_url(name) else { return Value::Null };
    for _ in 0..COUNT_ATTEMPTS {
        if let Ok(counts) = cluster.get_json(&format!("{base}/counts")).await {
            return counts;
        }
        // A crashed stand-in opens its port again soon; a killed one does not.
        tokio::time::sleep(COUNT_RETRY_DELAY).await;
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
    Err(format!("{name} was ordered to hold more than its memory: {counts}"))
}

fn check_at_most_once(cluster: &Cluster, run_counts: &RunCounts) -> Result<(), Failure> {
    for (request, _) in
        cluster.responses.iter().filter(|(request, _)| !is_idempotent(request))
    {
        let max_runs = distinct_keys(cluster, request);
        let count = run_counts.runs_of(request);
        if count > max_runs {
            return Err(format!("{request:?} ran {count} times"));
        }
    }
    Ok(())
}

/// Number of distinct requests of the scenario that share this prompt or service key.
fn distinct_keys(cluster: &Cluster, request: &CallerRequest) -> u64 {
    let mut keys: Vec<_> = cluster
        .responses
        .iter()
        .filter(|(other, _)| share_run_count(request, other))
        .map(|(other, _)| (&other.caller, &other.idempotency_key))
        .collect();
    keys.sort();
    keys.dedup();
    keys.len() as u64
}

fn check_not_run(cluster: &Cluster, run_counts: &RunCounts) -> Result<(), Failure> {
    for (request, _) in
        cluster.responses.iter().filter(|(_, response)| is_not_run(response))
    {
        let same_count = cluster
            .responses
            .iter()
            .filter(|(other, _)| share_run_count(request, other))
            .count();
        // Another request with the same text, or an earlier attempt of this one, may have
        // run.
        let is_only_send = same_count == 1 && request.wait_limit.is_zero();
        if is_only_send && run_counts.runs_of(request) > 0 {
            return Err(format!("{request:?} was refused as not run but ran"));
        }
    }
    Ok(())
}

fn is_not_run(response: &CallerResponse) -> bool {
    response.outcome.as_deref() == Some("not_run")
}

/// Whether the backend servers count the runs of both requests under the same key.
fn share_run_count(first: &CallerRequest, other: &CallerRequest) -> bool {
    match (&first.operation, &other.operation) {
        (Operation::Completion(first), Operation::Completion(other)) => {
            first.prompt == other.prompt
        }
        (Operation::Service { .. }, Operation::Service { .. }) => {
            first.idempotency_key == other.idempotency_key
        }
        _ => false,
    }
}
