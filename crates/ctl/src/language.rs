//! Parses the commands of operators.
//!
//! docs/LANGUAGE.md describes the grammar. [`parse`] splits a command into tokens and
//! parses them with winnow; an invalid command yields a [`SyntaxError`] with its column.

use std::ops::Range;

use chestnut_config::problem::closest_match;
use serde_json::{Value, json};
use winnow::Parser;
use winnow::combinator::{alt, opt, preceded, separated_foldl1};
use winnow::error::ErrMode;
use winnow::token::any;

use crate::query::{Condition, Operator, Query, Sort};
use crate::schema::{Field, FieldKind, SUBJECTS, Subject};
use crate::syntax_error::SyntaxError;
use crate::token::{Token, TokenKind, split_number, tokens};

/// The maximum nesting of conditions, which bounds the stack that parsing needs.
const MAX_DEPTH: usize = 64;

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Check a file or directory without a daemon.
    Check(String),
    /// Show what applying a directory would do.
    Plan(String),
    /// Apply a directory's files.
    Apply(String),
    /// Show the rows of a query.
    Show(Query),
    /// Explain how a request with these properties would be served.
    Explain(Vec<(&'static str, String)>),
    /// Show the newest revisions.
    History {
        /// The maximum number of revisions.
        limit: Option<usize>,
    },
    /// Apply the team's files of an earlier revision.
    Rollback {
        /// The revision to go back to.
        to: u64,
    },
    /// Show the verdict on the change with this id.
    Change(String),
    /// Let the daemon on this VM finish its requests and stop.
    Drain(String),
    /// Show a request's path from logs.
    Trace {
        /// The request's id.
        id: String,
        /// The log files; standard input if empty.
        files: Vec<String>,
    },
}

/// The names of the commands, for hints.
const COMMANDS: &[&str] = &[
    "check", "plan", "apply", "show", "explain", "history", "rollback", "change",
    "drain", "trace",
];

/// The properties of a request that `explain` accepts.
const REQUEST_PROPERTIES: &[&str] = &["model", "service", "kind", "caller"];

type Input<'a> = &'a [Token];
type Parsed<T> = Result<T, ErrMode<SyntaxError>>;

/// Parses a command.
pub fn parse(text: &str) -> Result<Command, SyntaxError> {
    let tokens = tokens(text)?;
    let mut input = tokens.as_slice();
    let result =
        command(&mut input).and_then(|command| expect_end(&input).map(|()| command));
    result.map_err(|error| match error {
        ErrMode::Backtrack(error) | ErrMode::Cut(error) => error,
        ErrMode::Incomplete(_) => SyntaxError::end("the command is incomplete", "go on"),
    })
}

fn command(input: &mut Input<'_>) -> Parsed<Command> {
    let (name, span) = word(input, "a command", || one_of(COMMANDS))?;
    Ok(match name.as_str() {
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
        other => return Err(unknown_name("command", other, span, COMMANDS)),
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
        let message = format!("`{text}` is no revision");
        error(span, message, "write its number, as `history` shows it")
    })
}

fn explain(input: &mut Input<'_>) -> Parsed<Vec<(&'static str, String)>> {
    let _ = opt(keyword("request")).parse_next(input)?;
    let mut properties = Vec::new();
    loop {
        let (name, span) = word(input, "what to explain", || one_of(REQUEST_PROPERTIES))?;
        let Some(name) = REQUEST_PROPERTIES.iter().copied().find(|it| *it == name) else {
            return Err(unknown_name(
                "property of a request",
                &name,
                span,
                REQUEST_PROPERTIES,
            ));
        };
        expect_symbol(input, "=", "write `=` and a value")?;
        properties.push((name, text(input, "a value")?));
        let _ = opt(symbol(",")).parse_next(input)?;
        if input.is_empty() {
            return Ok(properties);
        }
    }
}

fn query(input: &mut Input<'_>) -> Parsed<Query> {
    let names: Vec<&str> = SUBJECTS.iter().map(|subject| subject.name).collect();
    let (name, span) = word(input, "what to show", || one_of(&names))?;
    // An alias for the most frequent query.
    let name = if name == "in-force" { "daemons".to_owned() } else { name };
    let Some(subject) = Subject::find(&name) else {
        return Err(unknown_name("thing to show", &name, span, &names));
    };
    let filter = opt(preceded(keyword("where"), |input: &mut Input<'_>| {
        disjunction(input, subject, 0)
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
        .map_err(|_| error(span, format!("`{text}` is no whole number"), "write one"))
}

/// `a or b`
fn disjunction(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if depth > MAX_DEPTH {
        let span = input.first().map_or(usize::MAX..usize::MAX, |it| it.span.clone());
        return Err(error(span, "the condition is nested too deeply", "simplify it"));
    }
    separated_foldl1(
        |input: &mut Input<'_>| conjunction(input, subject, depth),
        keyword("or"),
        |a, _, b| Condition::Or(Box::new(a), Box::new(b)),
    )
    .parse_next(input)
}

/// `a and b`
fn conjunction(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    separated_foldl1(
        |input: &mut Input<'_>| operand(input, subject, depth),
        keyword("and"),
        |a, _, b| Condition::And(Box::new(a), Box::new(b)),
    )
    .parse_next(input)
}

/// `not a`, `(a)` or a comparison
fn operand(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if opt(keyword("not")).parse_next(input)?.is_some() {
        let inner = negated(input, subject, depth)?;
        return Ok(Condition::Not(Box::new(inner)));
    }
    if opt(symbol("(")).parse_next(input)?.is_some() {
        let inner = disjunction(input, subject, depth + 1)?;
        expect_symbol(input, ")", "write `)`")?;
        return Ok(inner);
    }
    comparison(input, subject)
}

/// The condition after a `not`.
fn negated(
    input: &mut Input<'_>,
    subject: &'static Subject,
    depth: usize,
) -> Parsed<Condition> {
    if depth > MAX_DEPTH {
        // Returns the error of conditions that are nested too deeply.
        return disjunction(input, subject, depth);
    }
    operand(input, subject, depth + 1)
}

fn comparison(input: &mut Input<'_>, subject: &'static Subject) -> Parsed<Condition> {
    let (field, _) = field(input, subject)?;
    let (operator, span) = operator(input)?;
    let is_ordering =
        !matches!(operator, Operator::Equal | Operator::NotEqual | Operator::Contains);
    let is_supported = match field.kind {
        FieldKind::Text => !is_ordering,
        FieldKind::Bool => matches!(operator, Operator::Equal | Operator::NotEqual),
        FieldKind::Number | FieldKind::Bytes | FieldKind::Millis => {
            operator != Operator::Contains
        }
    };
    if !is_supported {
        let message = format!("`{}` can't be compared like this", field.name);
        let remedy = match field.kind {
            FieldKind::Text => "use =, != or ~",
            FieldKind::Bool => "use = or !=",
            _ => "use =, !=, <, <=, > or >=",
        };
        return Err(error(span, message, remedy));
    }
    let value = value(input, field)?;
    Ok(Condition::Compare { field: field.name, operator, value })
}

fn operator(input: &mut Input<'_>) -> Parsed<(Operator, Range<usize>)> {
    let remedy = "use =, !=, <, <=, >, >= or ~";
    let token = next_token(input, "a comparison", || remedy.into())?;
    let operator = match token.kind {
        TokenKind::Symbol("=") => Operator::Equal,
        TokenKind::Symbol("!=") => Operator::NotEqual,
        TokenKind::Symbol("<") => Operator::Less,
        TokenKind::Symbol("<=") => Operator::LessOrEqual,
        TokenKind::Symbol(">") => Operator::Greater,
        TokenKind::Symbol(">=") => Operator::GreaterOrEqual,
        TokenKind::Symbol("~") => Operator::Contains,
        _ => return Err(error(token.span, "this is no comparison", remedy)),
    };
    Ok((operator, token.span))
}

fn value(input: &mut Input<'_>, field: &Field) -> Parsed<Value> {
    let expected = match field.kind {
        FieldKind::Text => "a word or a text in quotes",
        FieldKind::Number => "a number",
        FieldKind::Bytes => "a number of bytes, such as 20GB or 512MiB",
        FieldKind::Millis => "a time, such as 500ms, 30s or 2m",
        FieldKind::Bool => "true or false",
    };
    let token = next_token(input, "a value", || format!("write {expected}"))?;
    let invalid =
        |message: String| error(token.span.clone(), message, format!("write {expected}"));
    let text = match &token.kind {
        TokenKind::Word(word) if word == "none" => return Ok(Value::Null),
        TokenKind::Word(word) => word,
        TokenKind::Quoted(text) if field.kind == FieldKind::Text => text,
        TokenKind::Quoted(text) => return Err(invalid(format!("{text:?} is a text"))),
        TokenKind::Symbol(symbol) => {
            return Err(invalid(format!("`{symbol}` is no value")));
        }
    };
    let value = match field.kind {
        FieldKind::Text => Some(json!(text)),
        FieldKind::Bool => text.parse::<bool>().ok().map(|flag| json!(flag)),
        FieldKind::Number => scaled(text, |unit| unit.is_empty().then_some(1.0)),
        FieldKind::Bytes => scaled(text, bytes_per_unit),
        FieldKind::Millis => scaled(text, millis_per_unit),
    };
    value.ok_or_else(|| invalid(format!("`{text}` does not fit `{}`", field.name)))
}

/// Parses a number with a unit; `factor` returns the factor of a unit, `None` if it is
/// unknown.
fn scaled(text: &str, factor: impl FnOnce(&str) -> Option<f64>) -> Option<Value> {
    let (number, unit) = split_number(text)?;
    let value = number * factor(unit)?;
    value.is_finite().then(|| json!(value))
}

fn bytes_per_unit(unit: &str) -> Option<f64> {
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

fn millis_per_unit(unit: &str) -> Option<f64> {
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
    let (name, span) = word(input, "a field", || one_of(&names))?;
    match subject.field(&name) {
        Some(field) => Ok((field, span)),
        None => {
            let item_type = format!("field of {}", subject.name);
            Err(unknown_name(&item_type, &name, span, &names))
        }
    }
}

/// Parses a word or a quoted string.
fn text(input: &mut Input<'_>, expected: &str) -> Parsed<String> {
    let token = next_token(input, expected, || format!("write {expected}"))?;
    match token.kind {
        TokenKind::Word(text) | TokenKind::Quoted(text) if !text.is_empty() => Ok(text),
        _ => Err(error(
            token.span,
            format!("this is not {expected}"),
            "put it into quotes",
        )),
    }
}

fn word(
    input: &mut Input<'_>,
    expected: &str,
    remedy: impl FnOnce() -> String,
) -> Parsed<(String, Range<usize>)> {
    let token = next_token(input, expected, remedy)?;
    match token.kind {
        TokenKind::Word(word) => Ok((word, token.span)),
        TokenKind::Quoted(_) => {
            Err(error(token.span, format!("{expected} is expected"), "remove the quotes"))
        }
        TokenKind::Symbol(_) => Err(error(
            token.span,
            format!("{expected} is expected"),
            "write it before this",
        )),
    }
}

fn next_token(
    input: &mut Input<'_>,
    expected: &str,
    remedy: impl FnOnce() -> String,
) -> Parsed<Token> {
    if input.is_empty() {
        return Err(ErrMode::Cut(SyntaxError::end(
            format!("{expected} is missing"),
            remedy(),
        )));
    }
    any.parse_next(input)
}

fn expect_symbol(
    input: &mut Input<'_>,
    symbol: &'static str,
    remedy: &str,
) -> Parsed<()> {
    let token = next_token(input, &format!("`{symbol}`"), || remedy.into())?;
    if token.kind == TokenKind::Symbol(symbol) {
        return Ok(());
    }
    Err(error(token.span, format!("`{symbol}` is expected"), remedy))
}

fn symbol<'a>(
    symbol: &'static str,
) -> impl Parser<Input<'a>, Token, ErrMode<SyntaxError>> {
    any.verify(move |token: &Token| token.kind == TokenKind::Symbol(symbol))
}

fn keyword<'a>(
    keyword: &'static str,
) -> impl Parser<Input<'a>, Token, ErrMode<SyntaxError>> {
    any.verify(
        move |token: &Token| matches!(&token.kind, TokenKind::Word(word) if word == keyword),
    )
}

fn expect_end(input: &Input<'_>) -> Parsed<()> {
    match input.first() {
        None => Ok(()),
        Some(token) => Err(error(
            token.span.clone(),
            "the command goes on unexpectedly",
            "remove this",
        )),
    }
}

fn unknown_name(
    item_type: &str,
    word: &str,
    span: Range<usize>,
    candidates: &[&str],
) -> ErrMode<SyntaxError> {
    let remedy = match closest_match(word, candidates.iter().copied()) {
        Some(closest) => format!("did you mean `{closest}`?"),
        None => one_of(candidates),
    };
    error(span, format!("there is no {item_type} `{word}`"), remedy)
}

fn one_of(candidates: &[&str]) -> String {
    format!("write one of {}", candidates.join(", "))
}

fn error(
    span: Range<usize>,
    message: impl Into<String>,
    remedy: impl Into<String>,
) -> ErrMode<SyntaxError> {
    ErrMode::Cut(SyntaxError::new(span, message, remedy))
}
