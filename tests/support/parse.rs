//! Turns the text of a scenario into commands.

use std::iter::Enumerate;
use std::str::Lines;

use serde_json::Value;

use super::Failure;
use super::command::{Command, Compare, Kind, Look, Options, Signal, Step};

/// The least number of comment lines at the start of a case.
const PREFACE: usize = 2;

/// Reads a case.
pub fn parse(text: &str) -> Result<Vec<Step>, Failure> {
    let preface = text.lines().take_while(|line| line.starts_with('#')).count();
    if preface < PREFACE {
        return Err(format!(
            "a case opens with at least {PREFACE} comment lines: what the caller sees, \
             in what order, why"
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
        let command = command(line, &mut lines)
            .map_err(|why| format!("line {number}: {why}: {line}"))?;
        steps.push(Step { line: number, command });
    }
    Ok(steps)
}

fn command(line: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
    let rest = rest.trim();
    match verb {
        "world" => Ok(Command::World(options(&words(rest)?)?)),
        "start" => start(rest),
        "kill" => signal(Signal::Kill, rest),
        "freeze" => signal(Signal::Freeze, rest),
        "thaw" => signal(Signal::Thaw, rest),
        "terminate" => signal(Signal::Terminate, rest),
        "exits" => {
            let (name, code) = pair(rest)?;
            let code = code.parse().map_err(|_| "the exit code is no number")?;
            Ok(Command::Exits(name, code))
        }
        "alias" => alias(rest),
        "fault" => {
            let (name, json) = pair(rest)?;
            let fault = serde_json::from_str(&json).map_err(|e| e.to_string())?;
            Ok(Command::Fault(name, fault))
        }
        "vm" => pair(rest).map(|(name, state)| Command::Vm(name, state)),
        "declare" => declare(rest, lines),
        "file" => file(rest, lines),
        "operate" => operate(rest),
        "ended" => Ok(Command::Ended(one(rest)?)),
        "gone" => Ok(Command::Gone(one(rest)?)),
        "ask" => asked(rest).map(|(name, options)| Command::Ask(name, options)),
        "send" => asked(rest).map(|(name, options)| Command::Send(name, options)),
        "await" => Ok(Command::Await(one(rest)?)),
        "pending" => Ok(Command::Pending(one(rest)?)),
        "drop" => Ok(Command::Drop(one(rest)?)),
        "seen" => {
            let (name, count) = pair(rest)?;
            let count = count.parse().map_err(|_| "the count is no number")?;
            Ok(Command::Seen(name, count))
        }
        "->" => Ok(Command::Expect(facts(rest)?)),
        "eventually" => {
            let (ask, expected) = rest.split_once("->").ok_or("`-> FACTS` is missing")?;
            let (name, options) = asked(ask)?;
            Ok(Command::Eventually(name, options, facts(expected)?))
        }
        "until" => Ok(Command::Look { wait: true, look: look(rest)? }),
        "check" => Ok(Command::Look { wait: false, look: look(rest)? }),
        "sleep" => Ok(Command::Sleep(rest.parse().map_err(|_| "the time is no number")?)),
        _ => Err("no such command".into()),
    }
}

fn start(rest: &str) -> Result<Command, Failure> {
    let words = words(rest)?;
    let [kind, name, options @ ..] = &words[..] else {
        return Err("write start KIND NAME".into());
    };
    let kind = match kind.as_str() {
        "platform" => Kind::Platform,
        "engine" => Kind::Engine,
        "service" => Kind::Service,
        "daemon" => Kind::Daemon,
        _ => return Err("the kind is platform, engine, service or daemon".into()),
    };
    Ok(Command::Start(kind, name.clone(), self::options(options)?))
}

fn signal(signal: Signal, rest: &str) -> Result<Command, Failure> {
    Ok(Command::Signal(signal, one(rest)?))
}

fn alias(rest: &str) -> Result<Command, Failure> {
    let words = words(rest)?;
    let (alias, claim, not) = match &words[..] {
        [alias, claim] => (alias, claim, false),
        [alias, not, claim] if not == "not" => (alias, claim, true),
        _ => return Err("write alias NAME [not] CLAIM".into()),
    };
    Ok(Command::Alias { alias: alias.clone(), claim: claim.clone(), not })
}

fn declare(rest: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    let words = words(rest)?;
    let [team, file, more @ ..] = &words[..] else {
        return Err("write declare TEAM FILE".into());
    };
    let options = options(more)?;
    let (team, file) = (team.clone(), file.clone());
    if options.flag("removed") {
        return Ok(Command::Declare { team, file, text: None, options });
    }
    Ok(Command::Declare { team, file, text: Some(block(lines)?), options })
}

fn file(rest: &str, lines: &mut Enumerate<Lines>) -> Result<Command, Failure> {
    match &words(rest)?[..] {
        [dir, file] => {
            let (dir, file) = (dir.clone(), file.clone());
            Ok(Command::File { dir, file, text: Some(block(lines)?) })
        }
        [dir, file, removed] if removed == "removed" => {
            Ok(Command::File { dir: dir.clone(), file: file.clone(), text: None })
        }
        _ => Err("write file DIR FILE [removed]".into()),
    }
}

fn operate(rest: &str) -> Result<Command, Failure> {
    let words = words(rest)?;
    let [name, team, words @ ..] = &words[..] else {
        return Err("write operate NAME TEAM WORD..".into());
    };
    let (at, words) = match words.split_first() {
        Some((first, rest)) if first.starts_with("at=") => {
            (first["at=".len()..].split(',').map(str::to_owned).collect(), rest)
        }
        _ => (Vec::new(), words),
    };
    let (name, team) = (name.clone(), team.clone());
    Ok(Command::Operate { name, team, at, words: words.to_vec() })
}

/// The lines up to a line `end`.
fn block(lines: &mut Enumerate<Lines>) -> Result<String, Failure> {
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

fn look(rest: &str) -> Result<Look, Failure> {
    let words = words(rest)?;
    let [target, pointer, compare, value] = &words[..] else {
        return Err("write NAME[:PATH] POINTER OP VALUE".into());
    };
    let (name, path) = target.split_once(':').unwrap_or((target, ""));
    let compare = match compare.as_str() {
        "==" => Compare::Equal,
        "!=" => Compare::Differs,
        ">=" => Compare::AtLeast,
        "<=" => Compare::AtMost,
        _ => return Err("compare by ==, !=, >= or <=".into()),
    };
    let value =
        serde_json::from_str(value).unwrap_or_else(|_| Value::from(value.as_str()));
    let (name, path) = (name.to_owned(), path.to_owned());
    Ok(Look { name, path, pointer: pointer.clone(), compare, value })
}

fn asked(rest: &str) -> Result<(String, Options), Failure> {
    let words = words(rest)?;
    let [name, options @ ..] = &words[..] else {
        return Err("the request's name is missing".into());
    };
    if name.contains('=') {
        return Err("the request's name comes first".into());
    }
    Ok((name.clone(), self::options(options)?))
}

fn facts(rest: &str) -> Result<Vec<Vec<String>>, Failure> {
    let alternatives: Vec<Vec<String>> = rest
        .split('|')
        .map(|facts| facts.split_whitespace().map(str::to_owned).collect())
        .collect();
    if alternatives.iter().any(Vec::is_empty) {
        return Err("a fact is missing".into());
    }
    Ok(alternatives)
}

fn one(rest: &str) -> Result<String, Failure> {
    match &words(rest)?[..] {
        [name] => Ok(name.clone()),
        _ => Err("write one name".into()),
    }
}

fn pair(rest: &str) -> Result<(String, String), Failure> {
    let (first, second) = rest.split_once(' ').ok_or("two words are needed")?;
    Ok((first.to_owned(), second.trim().to_owned()))
}

fn options(words: &[String]) -> Result<Options, Failure> {
    let mut options = Options::default();
    for word in words {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        if options.0.insert(name.to_owned(), value.to_owned()).is_some() {
            return Err(format!("the option {name} stands twice"));
        }
    }
    Ok(options)
}

/// Splits a line at blanks outside double quotes, which are dropped.
fn words(line: &str) -> Result<Vec<String>, Failure> {
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
