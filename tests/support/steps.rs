//! Carries out the commands of a scenario.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::ask::{self, CallerRequest};
use super::command::{Command, Compare, Kind, Look, Options, Signal};
use super::operate::{self, Operator};
use super::world::{Sent, World};
use super::{Failure, PATIENCE};

/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(30);

/// Carries out one command.
pub async fn run(world: &mut World, command: &Command) -> Result<(), Failure> {
    match command {
        Command::World(options) => world.start_usual(options).await,
        Command::Start(kind, name, options) => world.start(*kind, name, options).await,
        Command::Signal(signal, name) => signal_one(world, *signal, name).await,
        Command::Exits(name, code) => exits(world, name, *code).await,
        Command::Alias { alias, claim, not } => name(world, alias, claim, *not).await,
        Command::Fault(name, fault) => switch(world, name, fault).await,
        Command::Vm(name, state) => vm(world, name, state).await,
        Command::Declare { team, file, text, options } => {
            declare(world, options, team, file, text.clone()).await
        }
        Command::File { dir, file, text } => {
            operate::write(world, dir, file, text.as_deref())
        }
        Command::Operate { name, team, at, words } => {
            let operator = Operator::start(world, name, team, at, words)?;
            world.operators.insert(name.clone(), operator);
            Ok(())
        }
        Command::Ended(name) => {
            let operator = world.operators.shift_remove(name);
            let facts = operator.ok_or("no such operator")?.end().await?;
            world.last = vec![facts];
            Ok(())
        }
        Command::Gone(name) => {
            world.operators.shift_remove(name).ok_or("no such operator")?;
            Ok(())
        }
        Command::Ask(name, options) => {
            send(world, name, options)?;
            answers(world, name).await
        }
        Command::Send(name, options) => send(world, name, options),
        Command::Await(name) => answers(world, name).await,
        Command::Pending(name) => pending(world, name),
        Command::Drop(name) => {
            let sent = world.sent.shift_remove(name).ok_or("nothing was sent")?;
            sent.iter().for_each(|one| one.reply.abort());
            Ok(())
        }
        Command::Seen(name, count) => seen(world, name, *count).await,
        Command::Expect(expected) => expect(world, expected),
        Command::Eventually(name, options, expected) => {
            eventually(world, name, options, expected).await
        }
        Command::Look { wait, look } => look_at(world, look, *wait).await,
        Command::Sleep(millis) => {
            tokio::time::sleep(Duration::from_millis(*millis)).await;
            Ok(())
        }
    }
}

async fn signal_one(
    world: &mut World,
    signal: Signal,
    name: &str,
) -> Result<(), Failure> {
    world.process(name)?.signal(signal)?;
    if signal == Signal::Kill {
        world.process_mut(name)?.exit().await?;
    }
    Ok(())
}

async fn exits(world: &mut World, name: &str, code: i32) -> Result<(), Failure> {
    match world.process_mut(name)?.exit().await? {
        Some(found) if found == code => Ok(()),
        found => Err(format!("{name} ended with {found:?}")),
    }
}

async fn name(
    world: &mut World,
    alias: &str,
    claim: &str,
    not: bool,
) -> Result<(), Failure> {
    let daemons: Vec<_> = world.named(Kind::Daemon).map(str::to_owned).collect();
    let start = Instant::now();
    let mut holder = Err("there is no daemon".to_owned());
    while start.elapsed() < PATIENCE {
        for at in &daemons {
            if holder.is_err() {
                holder = world.holder(at, claim).await;
            }
        }
        if holder.is_ok() {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    let holder = holder?;
    let mut others = daemons.into_iter().filter(|daemon| *daemon != holder);
    let found = if not { others.next().ok_or("there is no other")? } else { holder };
    world.aliases.insert(alias.to_owned(), found);
    Ok(())
}

async fn switch(world: &World, name: &str, fault: &Value) -> Result<(), Failure> {
    let url = format!("{}/faults", world.base(name)?);
    let answer = world.http.post(url).json(fault).send().await;
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(answer.text().await.unwrap_or_default())
}

async fn vm(world: &World, name: &str, state: &str) -> Result<(), Failure> {
    let list = format!("{}/v1/vms", world.base("platform")?);
    let url = format!("{list}/{name}");
    if state == "gone" {
        let answer = world.http.delete(url).send().await;
        return answer.map(drop).map_err(|error| error.to_string());
    }
    let rows = world.get(&list).await?;
    let rows = rows.as_array().ok_or("the list is none")?;
    let mut row = rows
        .iter()
        .find(|row| row["vm"] == name)
        .cloned()
        .ok_or("the VM is not on the list")?;
    row["state"] = state.into();
    world.put(&url, &row).await
}

async fn declare(
    world: &mut World,
    options: &Options,
    team: &str,
    file: &str,
    text: Option<String>,
) -> Result<(), Failure> {
    let at = options.or("at", "e1");
    let base = match options.text("base") {
        Some(_) => Some(options.number("base", 0)?),
        None => None,
    };
    let (status, answer) = world.declare(at, team, file, text, base).await?;
    let mut facts = vec![status.to_string()];
    for pointer in ["/verdict", "/reason", "/reason/reason"] {
        let fact = answer.pointer(pointer).and_then(Value::as_str);
        facts.extend(fact.map(str::to_owned));
    }
    facts.push(answer.to_string());
    world.last = vec![facts];
    Ok(())
}

fn send(world: &mut World, name: &str, options: &Options) -> Result<(), Failure> {
    let base = read(world, options)?;
    let count = options.number("count", 1)?;
    let single = !options.flag("count");
    for index in 0..count {
        let ask = if single { base.clone() } else { base.numbered(index) };
        let seen = Arc::default();
        let run = ask.clone().send_with_retries(world.http.clone(), Arc::clone(&seen));
        let sent = Sent { ask, seen, reply: tokio::spawn(run) };
        world.sent.entry(name.to_owned()).or_default().push(sent);
    }
    Ok(())
}

fn read(world: &World, options: &Options) -> Result<CallerRequest, Failure> {
    let at = options.or("at", "e1");
    let bases = at.split(',').map(|name| world.base(name)).collect::<Result<_, _>>()?;
    ask::read(options, bases)
}

async fn answers(world: &mut World, name: &str) -> Result<(), Failure> {
    let sent = world.sent.shift_remove(name).ok_or("nothing of that name was sent")?;
    world.last.clear();
    for one in sent {
        let waited = tokio::time::timeout(2 * PATIENCE, one.reply).await;
        let reply = waited.map_err(|_| "no answer came")?.map_err(|e| e.to_string())?;
        let mut facts = ask::facts(&reply, &one.ask);
        // The rest is for the reader of a failure; no case can expect it.
        let (form, text, body) = (&one.ask.operation, &reply.text, &reply.body);
        facts.push(format!("(asked {form:?}, got text {text:?} body {body})"));
        world.last.push(facts);
        world.replies.push((one.ask, reply));
    }
    Ok(())
}

fn pending(world: &World, name: &str) -> Result<(), Failure> {
    let sent = world.sent.get(name).ok_or("nothing of that name was sent")?;
    let came = sent.iter().filter(|one| one.reply.is_finished()).count();
    if came == 0 { Ok(()) } else { Err(format!("{came} answers came already")) }
}

async fn seen(world: &World, name: &str, count: usize) -> Result<(), Failure> {
    let sent = world.sent.get(name).ok_or("nothing of that name was sent")?;
    let start = Instant::now();
    while sent.iter().any(|one| one.seen.load(Ordering::SeqCst) < count) {
        if start.elapsed() > PATIENCE {
            return Err("the tokens never came".into());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

fn expect(world: &World, expected: &[Vec<String>]) -> Result<(), Failure> {
    if world.last.is_empty() {
        return Err("nothing was answered".into());
    }
    match world.last.iter().find(|facts| !holds(facts, expected)) {
        Some(facts) => Err(format!("the answer was: {}", facts.join(" "))),
        None => Ok(()),
    }
}

fn holds(facts: &[String], expected: &[Vec<String>]) -> bool {
    expected.iter().any(|all| all.iter().all(|fact| facts.contains(fact)))
}

async fn eventually(
    world: &mut World,
    name: &str,
    options: &Options,
    expected: &[Vec<String>],
) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        send(world, name, options)?;
        answers(world, name).await?;
        match expect(world, expected) {
            Err(why) if start.elapsed() > PATIENCE => return Err(why),
            Err(_) => tokio::time::sleep(LOOK).await,
            Ok(()) => return Ok(()),
        }
    }
}

async fn look_at(world: &World, look: &Look, wait: bool) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        let found = value(world, look).await;
        if let Ok(found) = &found
            && compare(found, look.compare, &look.value)
        {
            return Ok(());
        }
        // A page that can't be read, as of an engine that starts again, says nothing.
        let again = wait || found.is_err();
        if !again || start.elapsed() > PATIENCE {
            return Err(format!("found {found:?}"));
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The value of one process, or the sum over all engines or services.
async fn value(world: &World, look: &Look) -> Result<Value, Failure> {
    let kind = match look.name.as_str() {
        "engines" => Kind::Engine,
        "services" => Kind::Service,
        name => return value_of(world, name, look).await,
    };
    let mut sum = 0.0;
    for name in world.named(kind) {
        let found = value_of(world, name, look).await?;
        sum += found.as_f64().unwrap_or(0.0);
    }
    Ok(json!(sum as u64))
}

async fn value_of(world: &World, name: &str, look: &Look) -> Result<Value, Failure> {
    let daemon = world.process(name)?.kind == Kind::Daemon;
    let url = match (look.path.as_str(), daemon) {
        ("", true) => format!("{}/debug/state", world.ops(name)?),
        ("", false) => format!("{}/counts", world.base(name)?),
        (path, true) if path.starts_with("/debug") => {
            format!("{}{path}", world.ops(name)?)
        }
        (path, _) => format!("{}{path}", world.base(name)?),
    };
    let page = world.get(&url).await?;
    let Some(pointer) = look.pointer.strip_suffix('#') else {
        return Ok(page.pointer(&look.pointer).cloned().unwrap_or(Value::Null));
    };
    let count = match page.pointer(pointer) {
        Some(Value::Array(list)) => list.len(),
        Some(Value::Object(map)) => map.len(),
        _ => 0,
    };
    Ok(json!(count))
}

fn compare(found: &Value, compare: Compare, value: &Value) -> bool {
    // What was never counted is not in the counts.
    let found_number = if found.is_null() { Some(0.0) } else { found.as_f64() };
    let numbers = found_number.zip(value.as_f64());
    match compare {
        Compare::Equal => found == value,
        Compare::Differs => found != value,
        Compare::AtLeast => numbers.is_some_and(|(found, value)| found >= value),
        Compare::AtMost => numbers.is_some_and(|(found, value)| found <= value),
    }
}
