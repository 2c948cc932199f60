//! Parser for scenario files.

use std::iter::Enumerate;
use std::str::Lines;

use serde_json::Value;

use super::Failure;
use super::command::{
    Command, Comparison, Options, ProcessKind, Signal, StateQuery, Step,
};

/// Minimum number of comment lines at the start of a scenario.
const MIN_HEADER_LINES: usize = 2;

/// Parses a scenario.
pub fn parse(text: &str) -> Result<Vec<Step>, Failure> {
    let header_lines = text.lines().take_while(|line| line.starts_with('#')).count();
    if header_lines < MIN_HEADER_LINES {
        return Err(format!(
            "a scenario opens with at least {MIN_HEADER_LINES} comment lines: which failure \
             it guards against and how it comes about"
        ));
    }
    let mut lines = text.lines().enumerate();
    let mut steps = Vec::new();
    while let Some((index, line)) = lines.next() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let number = index + 1;
        let command = parse_command(line, &mut lines)
            .map_err(|reason| format!("line {number}: {reason}: {line}"))?;
        steps.push(Step { line: number, command });
    }
    Ok(steps)
}

fn parse_command(line: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
    let rest = rest.trim();
    match verb {
        "world" => Ok(Command::Cluster(parse_options(&split_words(rest)?)?)),
        "start" => parse_start(rest),
        "kill" => parse_signal(Signal::Kill, rest),
        "freeze" => parse_signal(Signal::Suspend, rest),
        "thaw" => parse_signal(Signal::Resume, rest),
        "terminate" => parse_signal(Signal::Terminate, rest),
        "exits" => {
            let (name, code) = split_first_word(rest)?;
            let code = code.parse().map_err(|_| "the exit code is not a number")?;
            Ok(Command::AwaitExit(name, code))
        }
        "alias" => parse_alias(rest),
        "fault" => {
            let (name, json) = split_first_word(rest)?;
            let fault = serde_json::from_str(&json).map_err(|e| e.to_string())?;
            Ok(Command::SetFault(name, fault))
        }
        "vm" => {
            split_first_word(rest).map(|(name, state)| Command::SetVmState(name, state))
        }
        "declare" => parse_declare(rest, lines),
        "file" => parse_file(rest, lines),
        "operate" => parse_operator(rest),
        "ended" => Ok(Command::AwaitOperator(single_word(rest)?)),
        "gone" => Ok(Command::KillOperator(single_word(rest)?)),
        "ask" => parse_request(rest)
            .map(|(name, options)| Command::SendAndAwait(name, options)),
        "send" => parse_request(rest).map(|(name, options)| Command::Send(name, options)),
        "await" => Ok(Command::AwaitResponses(single_word(rest)?)),
        "pending" => Ok(Command::CheckPending(single_word(rest)?)),
        "drop" => Ok(Command::Disconnect(single_word(rest)?)),
        "seen" => {
            let (name, count) = split_first_word(rest)?;
            let count = count.parse().map_err(|_| "the count is not a number")?;
            Ok(Command::AwaitTokens(name, count))
        }
        "->" => Ok(Command::Expect(parse_facts(rest)?)),
        "eventually" => {
            let (request, expected) =
                rest.split_once("->").ok_or("`-> FACTS` is missing")?;
            let (name, options) = parse_request(request)?;
            Ok(Command::SendUntil(name, options, parse_facts(expected)?))
        }
        "until" => Ok(Command::CheckState { wait: true, query: state_query(rest)? }),
        "check" => Ok(Command::CheckState { wait: false, query: state_query(rest)? }),
        "sleep" => Ok(Command::Sleep(
            rest.parse().map_err(|_| "the time in milliseconds is not a number")?,
        )),
        _ => Err("unknown command".into()),
    }
}

fn parse_start(rest: &str) -> Result<Command, Failure> {
    let words = split_words(rest)?;
    let [kind, name, options @ ..] = &words[..] else {
        return Err("usage: start KIND NAME".into());
    };
    let kind = match kind.as_str() {
        "platform" => ProcessKind::Platform,
        "engine" => ProcessKind::Engine,
        "service" => ProcessKind::Service,
        "daemon" => ProcessKind::Daemon,
        _ => return Err("the kind must be platform, engine, service or daemon".into()),
    };
    Ok(Command::Start(kind, name.clone(), parse_options(options)?))
}

fn parse_signal(signal: Signal, rest: &str) -> Result<Command, Failure> {
    Ok(Command::Signal(signal, single_word(rest)?))
}

fn parse_alias(rest: &str) -> Result<Command, Failure> {
    let words = split_words(rest)?;
    let (alias, claim, inverted) = match &words[..] {
        [alias, claim] => (alias, claim, false),
        [alias, not, claim] if not == "not" => (alias, claim, true),
        _ => return Err("usage: alias NAME [not] CLAIM".into()),
    };
    Ok(Command::Alias { alias: alias.clone(), claim: claim.clone(), inverted })
}

fn parse_declare(rest: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    let words = split_words(rest)?;
    let [team, file, option_words @ ..] = &words[..] else {
        return Err("usage: declare TEAM FILE".into());
    };
    let options = parse_options(option_words)?;
    let (team, file) = (team.clone(), file.clone());
    if options.is_set("removed") {
        return Ok(Command::Declare { team, file, text: None, options });
    }
    Ok(Command::Declare { team, file, text: Some(read_block(lines)?), options })
}

fn parse_file(rest: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    match &split_words(rest)?[..] {
        [dir, file] => {
            let (dir, file) = (dir.clone(), file.clone());
            Ok(Command::WriteFile { dir, file, text: Some(read_block(lines)?) })
        }
        [dir, file, removed] if removed == "removed" => {
            Ok(Command::WriteFile { dir: dir.clone(), file: file.clone(), text: None })
        }
        _ => Err("usage: file DIR FILE [removed]".into()),
    }
}

fn parse_operator(rest: &str) -> Result<Command, Failure> {
    let words = split_words(rest)?;
    let [name, team, words @ ..] = &words[..] else {
        return Err("usage: operate NAME TEAM [at=DAEMONS] WORD..".into());
    };
    let (at, words) = match words.split_first() {
        Some((first, rest)) if first.starts_with("at=") => {
            (first["at=".len()..].split(',').map(str::to_owned).collect(), rest)
        }
        _ => (Vec::new(), words),
    };
    let (name, team) = (name.clone(), team.clone());
    Ok(Command::StartOperator { name, team, at, words: words.to_vec() })
}

/// Reads the lines up to a line `end`.
fn read_block(lines: &mut Enumerate<Lines>) -> Result<String, Failure> {
    let mut text = String::new();
    for (_, line) in lines {
        if line.trim() == "end" {
            return Ok(text);
        }
        text.push_str(line);
        text.push('\n');
    }
    Err("the line `end` is missing".into())
}

fn state_query(rest: &str) -> Result<StateQuery, Failure> {
    let words = split_words(rest)?;
    let [target, pointer, operator, expected] = &words[..] else {
        return Err("usage: NAME[:PATH] POINTER OP VALUE".into());
    };
    let (process, path) = target.split_once(':').unwrap_or((target, ""));
    let comparison = match operator.as_str() {
        "==" => Comparison::Equal,
        "!=" => Comparison::Differs,
        ">=" => Comparison::AtLeast,
        "<=" => Comparison::AtMost,
        _ => return Err("the operator must be ==, !=, >= or <=".into()),
    };
    let expected =
        serde_json::from_str(expected).unwrap_or_else(|_| Value::from(expected.as_str()));
    let (process, path) = (process.to_owned(), path.to_owned());
    Ok(StateQuery { process, path, pointer: pointer.clone(), comparison, expected })
}

fn parse_request(rest: &str) -> Result<(String, Options), Failure> {
    let words = split_words(rest)?;
    let [name, options @ ..] = &words[..] else {
        return Err("the request's name is missing".into());
    };
    if name.contains('=') {
        return Err("the request's name comes first".into());
    }
    Ok((name.clone(), parse_options(options)?))
}

fn parse_facts(rest: &str) -> Result<Vec<Vec<String>>, Failure> {
    let alternatives: Vec<Vec<String>> = rest
        .split('|')
        .map(|facts| facts.split_whitespace().map(str::to_owned).collect())
        .collect();
    if alternatives.iter().any(Vec::is_empty) {
        return Err("a fact is missing".into());
    }
    Ok(alternatives)
}

fn single_word(rest: &str) -> Result<String, Failure> {
    match &split_words(rest)?[..] {
        [name] => Ok(name.clone()),
        _ => Err("expected one name".into()),
    }
}

fn split_first_word(rest: &str) -> Result<(String, String), Failure> {
    let (first, second) = rest.split_once(' ').ok_or("expected two words")?;
    Ok((first.to_owned(), second.trim().to_owned()))
}

fn parse_options(words: &[String]) -> Result<Options, Failure> {
    let mut options = Options::default();
    for word in words {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        if options.0.insert(name.to_owned(), value.to_owned()).is_some() {
            return Err(format!("the option {name} is given twice"));
        }
    }
    Ok(options)
}

/// Splits a line at white space outside double quotes, and drops the quotes.
fn split_words(line: &str) -> Result<Vec<String>, Failure> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut quoted = false;
    for c in line.chars() {
        match c {
            '"' => quoted = !quoted,
            c if c.is_whitespace() && !quoted => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            c => word.push(c),
        }
    }
    if quoted {
        return Err("a quote is not closed".into());
    }
    if !word.is_empty() {
        words.push(word);
    }
    Ok(words)
}
