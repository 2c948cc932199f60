//! Executes the commands of a scenario.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::cluster::{Cluster, SentRequest};
use super::command::{Command, Comparison, Options, ProcessKind, Signal, StateQuery};
use super::operator::{self, Operator};
use super::request::{self, CallerRequest};
use super::{Failure, TIMEOUT};

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Executes one command.
pub async fn run(cluster: &mut Cluster, command: &Command) -> Result<(), Failure> {
    match command {
        Command::Cluster(options) => cluster.start_default(options).await,
        Command::Start(kind, name, options) => cluster.start(*kind, name, options).await,
        Command::Signal(signal, name) => send_signal(cluster, *signal, name).await,
        Command::AwaitExit(name, code) => await_exit(cluster, name, *code).await,
        Command::Alias { alias, claim, inverted } => {
            set_alias(cluster, alias, claim, *inverted).await
        }
        Command::SetFault(name, fault) => set_fault(cluster, name, fault).await,
        Command::SetVmState(name, state) => set_vm_state(cluster, name, state).await,
        Command::Declare { team, file, text, options } => {
            declare(cluster, options, team, file, text.clone()).await
        }
        Command::WriteFile { dir, file, text } => {
            operator::write(cluster, dir, file, text.as_deref())
        }
        Command::StartOperator { name, team, at, words } => {
            let operator = Operator::start(cluster, name, team, at, words)?;
            cluster.operators.insert(name.clone(), operator);
            Ok(())
        }
        Command::AwaitOperator(name) => {
            let operator = cluster.operators.shift_remove(name);
            let facts = operator.ok_or("no such operator")?.await_exit().await?;
            cluster.last_facts = vec![facts];
            Ok(())
        }
        Command::KillOperator(name) => {
            cluster.operators.shift_remove(name).ok_or("no such operator")?;
            Ok(())
        }
        Command::SendAndAwait(name, options) => {
            send(cluster, name, options)?;
            await_responses(cluster, name).await
        }
        Command::Send(name, options) => send(cluster, name, options),
        Command::AwaitResponses(name) => await_responses(cluster, name).await,
        Command::CheckPending(name) => check_pending(cluster, name),
        Command::Disconnect(name) => {
            let sent =
                cluster.sent.shift_remove(name).ok_or("nothing of that name was sent")?;
            sent.iter().for_each(|sent_request| sent_request.response.abort());
            Ok(())
        }
        Command::AwaitTokens(name, count) => await_tokens(cluster, name, *count).await,
        Command::Expect(expected) => expect(cluster, expected),
        Command::SendUntil(name, options, expected) => {
            send_until(cluster, name, options, expected).await
        }
        Command::CheckState { wait, query } => check_state(cluster, query, *wait).await,
        Command::Sleep(millis) => {
            tokio::time::sleep(Duration::from_millis(*millis)).await;
            Ok(())
        }
    }
}

async fn send_signal(
    cluster: &mut Cluster,
    signal: Signal,
    name: &str,
) -> Result<(), Failure> {
    cluster.process(name)?.send_signal(signal)?;
    if signal == Signal::Kill {
        cluster.process_mut(name)?.wait_exit_code().await?;
    }
    Ok(())
}

async fn await_exit(cluster: &mut Cluster, name: &str, code: i32) -> Result<(), Failure> {
    match cluster.process_mut(name)?.wait_exit_code().await? {
        Some(found) if found == code => Ok(()),
        found => Err(format!("{name} exited with {found:?}")),
    }
}

async fn set_alias(
    cluster: &mut Cluster,
    alias: &str,
    claim: &str,
    inverted: bool,
) -> Result<(), Failure> {
    let daemons: Vec<_> =
        cluster.process_names(ProcessKind::Daemon).map(str::to_owned).collect();
    let start = Instant::now();
    let mut holder = Err("no daemon was started".to_owned());
    while start.elapsed() < TIMEOUT {
        for at in &daemons {
            if holder.is_err() {
                holder = cluster.holder(at, claim).await;
            }
        }
        if holder.is_ok() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let holder = holder?;
    let mut others = daemons.into_iter().filter(|daemon| *daemon != holder);
    let daemon =
        if inverted { others.next().ok_or("there is no other daemon")? } else { holder };
    cluster.aliases.insert(alias.to_owned(), daemon);
    Ok(())
}

async fn set_fault(cluster: &Cluster, name: &str, fault: &Value) -> Result<(), Failure> {
    let url = format!("{}/faults", cluster.base_url(name)?);
    let response = cluster.http.post(url).json(fault).send().await;
    let response = response.map_err(|error| error.to_string())?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(response.text().await.unwrap_or_default())
}

async fn set_vm_state(cluster: &Cluster, name: &str, state: &str) -> Result<(), Failure> {
    let list = format!("{}/v1/vms", cluster.base_url("platform")?);
    let url = format!("{list}/{name}");
    if state == "gone" {
        let response = cluster.http.delete(url).send().await;
        return response.map(drop).map_err(|error| error.to_string());
    }
    let rows = cluster.get_json(&list).await?;
    let rows = rows.as_array().ok_or("the list of VMs is not an array")?;
    let mut row = rows
        .iter()
        .find(|row| row["vm"] == name)
        .cloned()
        .ok_or("the VM is not on the list")?;
    row["state"] = state.into();
    cluster.put_json(&url, &row).await
}

async fn declare(
    cluster: &mut Cluster,
    options: &Options,
    team: &str,
    file: &str,
    text: Option<String>,
) -> Result<(), Failure> {
    let at = options.text_or("at", "e1");
    let base_revision = match options.text("base") {
        Some(_) => Some(options.number_or("base", 0)?),
        None => None,
    };
    let (status, response) = cluster.declare(at, team, file, text, base_revision).await?;
    let mut facts = vec![status.to_string()];
    for pointer in ["/verdict", "/reason", "/reason/reason"] {
        let fact = response.pointer(pointer).and_then(Value::as_str);
        facts.extend(fact.map(str::to_owned));
    }
    facts.push(response.to_string());
    cluster.last_facts = vec![facts];
    Ok(())
}

fn send(cluster: &mut Cluster, name: &str, options: &Options) -> Result<(), Failure> {
    let template = build_request(cluster, options)?;
    let count = options.number_or("count", 1)?;
    let is_single = !options.is_set("count");
    for index in 0..count {
        let request = if is_single { template.clone() } else { template.numbered(index) };
        let token_count = Arc::default();
        let run = request
            .clone()
            .send_with_retries(cluster.http.clone(), Arc::clone(&token_count));
        let sent = SentRequest { request, token_count, response: tokio::spawn(run) };
        cluster.sent.entry(name.to_owned()).or_default().push(sent);
    }
    Ok(())
}

fn build_request(cluster: &Cluster, options: &Options) -> Result<CallerRequest, Failure> {
    let at = options.text_or("at", "e1");
    let base_urls =
        at.split(',').map(|name| cluster.base_url(name)).collect::<Result<_, _>>()?;
    request::parse(options, base_urls)
}

async fn await_responses(cluster: &mut Cluster, name: &str) -> Result<(), Failure> {
    let sent = cluster.sent.shift_remove(name).ok_or("nothing of that name was sent")?;
    cluster.last_facts.clear();
    for sent_request in sent {
        let waited = tokio::time::timeout(2 * TIMEOUT, sent_request.response).await;
        let response =
            waited.map_err(|_| "no response arrived")?.map_err(|e| e.to_string())?;
        let mut facts = request::facts(&response, &sent_request.request);
        // The last fact appears only in failure messages; no scenario can expect it.
        let (operation, text, body) =
            (&sent_request.request.operation, &response.text, &response.body);
        facts.push(format!("(sent {operation:?}, received text {text:?} body {body})"));
        cluster.last_facts.push(facts);
        cluster.responses.push((sent_request.request, response));
    }
    Ok(())
}

fn check_pending(cluster: &Cluster, name: &str) -> Result<(), Failure> {
    let sent = cluster.sent.get(name).ok_or("nothing of that name was sent")?;
    let arrived =
        sent.iter().filter(|sent_request| sent_request.response.is_finished()).count();
    if arrived == 0 {
        Ok(())
    } else {
        Err(format!("{arrived} responses have arrived already"))
    }
}

async fn await_tokens(
    cluster: &Cluster,
    name: &str,
    count: usize,
) -> Result<(), Failure> {
    let sent = cluster.sent.get(name).ok_or("nothing of that name was sent")?;
    let start = Instant::now();
    while sent
        .iter()
        .any(|sent_request| sent_request.token_count.load(Ordering::SeqCst) < count)
    {
        if start.elapsed() > TIMEOUT {
            return Err("the tokens did not arrive".into());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

fn expect(cluster: &Cluster, expected: &[Vec<String>]) -> Result<(), Failure> {
    if cluster.last_facts.is_empty() {
        return Err("there is no response to check".into());
    }
    match cluster.last_facts.iter().find(|facts| !matches_any(facts, expected)) {
        Some(facts) => Err(format!("the response was: {}", facts.join(" "))),
        None => Ok(()),
    }
}

fn matches_any(facts: &[String], expected: &[Vec<String>]) -> bool {
    expected.iter().any(|all| all.iter().all(|fact| facts.contains(fact)))
}

async fn send_until(
    cluster: &mut Cluster,
    name: &str,
    options: &Options,
    expected: &[Vec<String>],
) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        send(cluster, name, options)?;
        await_responses(cluster, name).await?;
        match expect(cluster, expected) {
            Err(reason) if start.elapsed() > TIMEOUT => return Err(reason),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            Ok(()) => return Ok(()),
        }
    }
}

async fn check_state(
    cluster: &Cluster,
    query: &StateQuery,
    wait: bool,
) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        let found = queried_value(cluster, query).await;
        if let Ok(found) = &found
            && compare(found, query.comparison, &query.expected)
        {
            return Ok(());
        }
        // A page that can't be read, as of an engine that restarts, is neither a match
        // nor a mismatch.
        let retry = wait || found.is_err();
        if !retry || start.elapsed() > TIMEOUT {
            return Err(format!("found {found:?}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The queried value of one process, or the sum over all engines or services.
async fn queried_value(cluster: &Cluster, query: &StateQuery) -> Result<Value, Failure> {
    let kind = match query.process.as_str() {
        "engines" => ProcessKind::Engine,
        "services" => ProcessKind::Service,
        name => return queried_value_at(cluster, name, query).await,
    };
    let mut sum = 0.0;
    for name in cluster.process_names(kind) {
        let found = queried_value_at(cluster, name, query).await?;
        sum += found.as_f64().unwrap_or(0.0);
    }
    Ok(json!(sum as u64))
}

async fn queried_value_at(
    cluster: &Cluster,
    name: &str,
    query: &StateQuery,
) -> Result<Value, Failure> {
    let is_daemon = cluster.process(name)?.kind == ProcessKind::Daemon;
    let url = match (query.path.as_str(), is_daemon) {
        ("", true) => format!("{}/debug/state", cluster.ops_url(name)?),
        ("", false) => format!("{}/counts", cluster.base_url(name)?),
        (path, true) if path.starts_with("/debug") => {
            format!("{}{path}", cluster.ops_url(name)?)
        }
        (path, _) => format!("{}{path}", cluster.base_url(name)?),
    };
    let page = cluster.get_json(&url).await?;
    let Some(pointer) = query.pointer.strip_suffix('#') else {
        return Ok(page.pointer(&query.pointer).cloned().unwrap_or(Value::Null));
    };
    let count = match page.pointer(pointer) {
        Some(Value::Array(list)) => list.len(),
        Some(Value::Object(map)) => map.len(),
        _ => 0,
    };
    Ok(json!(count))
}

fn compare(found: &Value, comparison: Comparison, expected: &Value) -> bool {
    // A count of zero is absent from the counts.
    let found_number = if found.is_null() { Some(0.0) } else { found.as_f64() };
    let numbers = found_number.zip(expected.as_f64());
    match comparison {
        Comparison::Equal => found == expected,
        Comparison::Differs => found != expected,
        Comparison::AtLeast => numbers.is_some_and(|(found, expected)| found >= expected),
        Comparison::AtMost => numbers.is_some_and(|(found, expected)| found <= expected),
    }
}
