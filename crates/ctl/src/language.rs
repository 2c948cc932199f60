//! The commands of operators, parsed.
//!
//! The grammar is in docs/LANGUAGE.md. [`parse`] splits a command into tokens
//! and reads them with winnow; what can't be read becomes a [`Fault`] at its
//! column.

use std::ops::Range;

use chestnut_config::problem::closest_match;
use serde_json::{Value, json};
use winnow::Parser;
use winnow::combinator::{alt, opt, preceded, separated_foldl1};
use winnow::error::ErrMode;
use winnow::token::any;

use crate::fault::Fault;
use crate::query::{Condition, Query, Sort, Test};
use crate::schema::{Field, FieldKind, SUBJECTS, Subject};
use crate::token::{Kind, Token, number, tokens};

/// The deepest nesting of conditions, so that reading one needs a bounded stack.
const DEPTH: usize = 64;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Check files without asking a daemon.
    Check(String),
    /// Tell what applying a directory would do.
    Plan(String),
    /// Put a directory's files in force.
    Apply(String),
    /// Show rows.
    Show(Query),
    /// Tell what would happen to a request.
    Explain(Vec<(&'static str, String)>),
    /// Show the newest revisions.
    History {
        /// At most how many.
        limit: Option<usize>,
    },
    /// Put the team's files of an earlier revision in force again.
    Rollback {
        /// The revision.
        to: u64,
    },
    /// Tell the answer to an earlier change.
    Change(String),
    /// Tell a daemon to leave.
    Drain(String),
    /// Tell a request's way from logs.
    Trace {
        /// The request.
        id: String,
        /// The logs; standard input if none is named.
        files: Vec<String>,
    },
}

/// The commands, for hints.
const VERBS: &[&str] = &[
    "check", "plan", "apply", "show", "explain", "history", "rollback", "change",
    "drain", "trace",
];

/// What can be said of a request to be explained.
const ASKED: &[&str] = &["model", "service", "kind", "caller"];

type Input<'a> = &'a [Token];
type Parsed<T> = Result<T, ErrMode<Fault>>;

/// Reads a command.
pub fn parse(text: &str) -> Result<Command, Fault> {
    let tokens = tokens(text)?;
    let mut input = tokens.as_slice();
    let result = command(&mut input).and_then(|command| end(&input).map(|()| command));
    result.map_err(|error| match error {
        ErrMode::Backtrack(fault) | ErrMode::Cut(fault) => fault,
        ErrMode::Incomplete(_) => Fault::end("the command is incomplete", "go on"),
    })
}

fn command(input: &mut Input<'_>) -> Parsed<Command> {
    let (verb, span) = word(input, "a command", || list(VERBS))?;
    Ok(match verb.as_str() {
        "check" => Command::Check(text(input, "a file or directory")?),
        "plan" => Command::Plan(text(input, "a directory")?),
        "apply" => Command::Apply(text(input, "a directory")?),
        "show" => Command::Show(query(input)?),
        "explain" => Command::Explain(explain(input)?),
        "history" => Command::History { limit: opt(limit).parse_next(input)? },
        "rollback" => Command::Rollback { to: rollback(input)? },
        "change" => Command::Change(text(input, "the id of a change")?),
        "drain" => Command::Drain(text(input, "the name of a VM")?),
        "trace" => trace(input)?,
        other => return Err(unknown("command", other, span, VERBS)),
    })
}

fn trace(input: &mut Input<'_>) -> Parsed<Command> {
    let id = text(input, "the id of a request")?;
    let mut files = Vec::new();
    while !input.is_empty() {
        files.push(text(input, "a file of log lines")?);
    }
    Ok(Command::Trace { id, files })
}

fn rollback(input: &mut Input<'_>) -> Parsed<u64> {
    let _ = opt(keyword("to")).parse_next(input)?;
    let (text, span) = word(input, "a revision", || "write its number".into())?;
    text.parse().map_err(|_| {
        let what = format!("`{text}` is no revision");
        cut(span, what, "write its number, as `history` shows it")
    })
}

fn explain(input: &mut Input<'_>) -> Parsed<Vec<(&'static str, String)>> {
    let _ = opt(keyword("request")).parse_next(input)?;
    let mut asked = Vec::new();
    loop {
        let (name, span) = word(input, "what to explain", || list(ASKED))?;
        let Some(name) = ASKED.iter().copied().find(|it| *it == name) else {
            return Err(unknown("property of a request", &name, span, ASKED));
        };
        sign(input, "=", "write `=` and a value")?;
        asked.push((name, text(input, "a value")?));
        let _ = opt(sign_token(",")).parse_next(input)?;
        if input.is_empty() {
            return Ok(asked);
        }
    }
}

fn query(input: &mut Input<'_>) -> Parsed<Query> {
    let names: Vec<&str> = SUBJECTS.iter().map(|subject| subject.name).collect();
    let (name, span) = word(input, "what to show", || list(&names))?;
    // The question operators ask most has a name of its own.
    let name = if name == "in-force" { "daemons".to_owned() } else { name };
    let Some(subject) = Subject::find(&name) else {
        return Err(unknown("thing to show", &name, span, &names));
    };
    let filter = opt(preceded(keyword("where"), |input: &mut Input<'_>| {
        any_of(input, subject, 0)
    }))
    .parse_next(input)?;
    let sort =
        opt(preceded(keyword("sort"), |input: &mut Input<'_>| sort(input, subject)))
            .parse_next(input)?;
    let limit = opt(limit).parse_next(input)?;
    Ok(Query { subject, filter, sort, limit })
}

fn sort(input: &mut Input<'_>, subject: &'static Subject) -> Parsed<Sort> {
    let _ = opt(keyword("by")).parse_next(input)?;
    let (field, _) = field(input, subject)?;
    let mut descending =
        opt(alt((keyword("desc").value(true), keyword("asc").value(false))));
    let descending = descending.parse_next(input)?.unwrap_or(false);
    Ok(Sort { field: field.name, descending })
}

fn limit(input: &mut Input<'_>) -> Parsed<usize> {
    keyword("limit").parse_next(input)?;
    let (text, span) = word(input, "a number", || "write how many rows".into())?;
    text.parse()
        .map_err(|_| cut(span, format!("`{text}` is no whole number"), "write one"))
}

/// `a or b`
fn any_of(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if depth > DEPTH {
        let span = input.first().map_or(usize::MAX..usize::MAX, |it| it.span.clone());
        return Err(cut(span, "the condition is nested too deeply", "simplify it"));
    }
    separated_foldl1(
        |input: &mut Input<'_>| all_of(input, subject, depth),
        keyword("or"),
        |a, _, b| Condition::Or(Box::new(a), Box::new(b)),
    )
    .parse_next(input)
}

/// `a and b`
fn all_of(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    separated_foldl1(
        |input: &mut Input<'_>| one(input, subject, depth),
        keyword("and"),
        |a, _, b| Condition::And(Box::new(a), Box::new(b)),
    )
    .parse_next(input)
}

/// `not a`, `(a)` or a comparison
fn one(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if opt(keyword("not")).parse_next(input)?.is_some() {
        let inner = nested(input, subject, depth)?;
        return Ok(Condition::Not(Box::new(inner)));
    }
    if opt(sign_token("(")).parse_next(input)?.is_some() {
        let inner = any_of(input, subject, depth + 1)?;
        sign(input, ")", "write `)`")?;
        return Ok(inner);
    }
    comparison(input, subject)
}

fn nested(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if depth > DEPTH {
        return any_of(input, subject, depth);
    }
    one(input, subject, depth + 1)
}

fn comparison(input: &mut Input<'_>, subject: &'static Subject) -> Parsed<Condition> {
    let (field, _) = field(input, subject)?;
    let (test, span) = test(input)?;
    let ordered = !matches!(test, Test::Equal | Test::Other | Test::Holds);
    let fits = match field.kind {
        FieldKind::Text => !ordered,
        FieldKind::Flag => matches!(test, Test::Equal | Test::Other),
        FieldKind::Number | FieldKind::Bytes | FieldKind::Millis => test != Test::Holds,
    };
    if !fits {
        let what = format!("`{}` can't be compared like this", field.name);
        let remedy = match field.kind {
            FieldKind::Text => "use =, != or ~",
            FieldKind::Flag => "use = or !=",
            _ => "use =, !=, <, <=, > or >=",
        };
        return Err(cut(span, what, remedy));
    }
    let value = value(input, field)?;
    Ok(Condition::Compare { field: field.name, test, value })
}

fn test(input: &mut Input<'_>) -> Parsed<(Test, Range<usize>)> {
    let remedy = "use =, !=, <, <=, >, >= or ~";
    let token = next(input, "a comparison", || remedy.into())?;
    let test = match token.kind {
        Kind::Sign("=") => Test::Equal,
        Kind::Sign("!=") => Test::Other,
        Kind::Sign("<") => Test::Less,
        Kind::Sign("<=") => Test::Most,
        Kind::Sign(">") => Test::More,
        Kind::Sign(">=") => Test::Least,
        Kind::Sign("~") => Test::Holds,
        _ => return Err(cut(token.span, "this is no comparison", remedy)),
    };
    Ok((test, token.span))
}

fn value(input: &mut Input<'_>, field: &Field) -> Parsed<Value> {
    let form = match field.kind {
        FieldKind::Text => "a word or a text in quotes",
        FieldKind::Number => "a number",
        FieldKind::Bytes => "a number of bytes, such as 20GB or 512MiB",
        FieldKind::Millis => "a time, such as 500ms, 30s or 2m",
        FieldKind::Flag => "true or false",
    };
    let token = next(input, "a value", || format!("write {form}"))?;
    let bad = |what: String| cut(token.span.clone(), what, format!("write {form}"));
    let text = match &token.kind {
        Kind::Word(word) if word == "none" => return Ok(Value::Null),
        Kind::Word(word) => word,
        Kind::Text(text) if field.kind == FieldKind::Text => text,
        Kind::Text(text) => return Err(bad(format!("{text:?} is a text"))),
        Kind::Sign(sign) => return Err(bad(format!("`{sign}` is no value"))),
    };
    let value = match field.kind {
        FieldKind::Text => Some(json!(text)),
        FieldKind::Flag => text.parse::<bool>().ok().map(|flag| json!(flag)),
        FieldKind::Number => scaled(text, |unit| unit.is_empty().then_some(1.0)),
        FieldKind::Bytes => scaled(text, bytes),
        FieldKind::Millis => scaled(text, millis),
    };
    value.ok_or_else(|| bad(format!("`{text}` does not fit `{}`", field.name)))
}

fn scaled(text: &str, unit: impl FnOnce(&str) -> Option<f64>) -> Option<Value> {
    let (number, name) = number(text)?;
    let value = number * unit(name)?;
    value.is_finite().then(|| json!(value))
}

fn bytes(unit: &str) -> Option<f64> {
    Some(match unit {
        "" | "B" => 1.0,
        "kB" => 1e3,
        "MB" => 1e6,
        "GB" => 1e9,
        "TB" => 1e12,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        "TiB" => 1024.0 * 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    })
}

fn millis(unit: &str) -> Option<f64> {
    Some(match unit {
        "" | "ms" => 1.0,
        "s" => 1e3,
        "m" => 60e3,
        "h" => 3600e3,
        _ => return None,
    })
}

fn field(
    input: &mut Input<'_>,
    subject: &'static Subject,
) -> Parsed<(&'static Field, Range<usize>)> {
    let names: Vec<&str> = subject.fields.iter().map(|field| field.name).collect();
    let (name, span) = word(input, "a field", || list(&names))?;
    match subject.field(&name) {
        Some(field) => Ok((field, span)),
        None => {
            let what = format!("field of {}", subject.name);
            Err(unknown(&what, &name, span, &names))
        }
    }
}

/// A word or a text in quotes.
fn text(input: &mut Input<'_>, what: &str) -> Parsed<String> {
    let token = next(input, what, || format!("write {what}"))?;
    match token.kind {
        Kind::Word(text) | Kind::Text(text) if !text.is_empty() => Ok(text),
        _ => Err(cut(token.span, format!("this is not {what}"), "put it into quotes")),
    }
}

fn word(
    input: &mut Input<'_>,
    what: &str,
    remedy: impl FnOnce() -> String,
) -> Parsed<(String, Range<usize>)> {
    let token = next(input, what, remedy)?;
    match token.kind {
        Kind::Word(word) => Ok((word, token.span)),
        Kind::Text(_) => {
            Err(cut(token.span, format!("{what} is expected"), "remove the quotes"))
        }
        Kind::Sign(_) => {
            Err(cut(token.span, format!("{what} is expected"), "write it before this"))
        }
    }
}

fn next(
    input: &mut Input<'_>,
    what: &str,
    remedy: impl FnOnce() -> String,
) -> Parsed<Token> {
    if input.is_empty() {
        return Err(ErrMode::Cut(Fault::end(format!("{what} is missing"), remedy())));
    }
    any.parse_next(input)
}

fn sign(input: &mut Input<'_>, sign: &'static str, remedy: &str) -> Parsed<()> {
    let token = next(input, &format!("`{sign}`"), || remedy.into())?;
    if token.kind == Kind::Sign(sign) {
        return Ok(());
    }
    Err(cut(token.span, format!("`{sign}` is expected"), remedy))
}

fn sign_token<'a>(sign: &'static str) -> impl Parser<Input<'a>, Token, ErrMode<Fault>> {
    any.verify(move |token: &Token| token.kind == Kind::Sign(sign))
}

fn keyword<'a>(keyword: &'static str) -> impl Parser<Input<'a>, Token, ErrMode<Fault>> {
    any.verify(
        move |token: &Token| matches!(&token.kind, Kind::Word(word) if word == keyword),
    )
}

fn end(input: &Input<'_>) -> Parsed<()> {
    match input.first() {
        None => Ok(()),
        Some(token) => Err(cut(
            token.span.clone(),
            "the command goes on unexpectedly",
            "remove this",
        )),
    }
}

fn unknown(what: &str, word: &str, span: Range<usize>, known: &[&str]) -> ErrMode<Fault> {
    let remedy = match closest_match(word, known.iter().copied()) {
        Some(near) => format!("did you mean `{near}`?"),
        None => list(known),
    };
    cut(span, format!("there is no {what} `{word}`"), remedy)
}

fn list(known: &[&str]) -> String {
    format!("write one of {}", known.join(", "))
}

fn cut(
    span: Range<usize>,
    what: impl Into<String>,
    remedy: impl Into<String>,
) -> ErrMode<Fault> {
    ErrMode::Cut(Fault::new(span, what, remedy))
}
