//! The words and signs of a command.

use std::ops::Range;

use winnow::combinator::{alt, delimited, eof, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{none_of, one_of, take_while};

use crate::fault::Fault;

/// The characters that end a word.
const SPECIAL: &[char] = &['=', '!', '<', '>', '~', '(', ')', ',', '"', '\''];

/// A word or sign and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: Kind,
    /// Its place in the command, in bytes.
    pub span: Range<usize>,
}

/// What a token is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Characters without spaces and signs.
    Word(String),
    /// A text in quotes, without them.
    Text(String),
    /// A sign, such as `<=`.
    Sign(&'static str),
}

type Input<'a> = LocatingSlice<&'a str>;

/// Splits a command into words and signs.
pub fn tokens(text: &str) -> Result<Vec<Token>, Fault> {
    let mut input = LocatingSlice::new(text);
    let mut found = Vec::new();
    loop {
        blank(&mut input);
        let start = text.len() - input.len();
        if input.is_empty() {
            return Ok(found);
        }
        match token.parse_next(&mut input) {
            Ok(kind) => {
                let end = text.len() - input.len();
                found.push(Token { kind, span: start..end });
            }
            Err(_) => return Err(unreadable(text, start)),
        }
    }
}

fn blank(input: &mut Input<'_>) {
    let skipped: Result<&str, ContextError> =
        take_while(0.., char::is_whitespace).parse_next(input);
    // Taking nothing is fine too, so that this can't fail.
    debug_assert!(skipped.is_ok());
}

fn token(input: &mut Input<'_>) -> Result<Kind, ContextError> {
    alt((sign.map(Kind::Sign), quoted('"'), quoted('\''), word)).parse_next(input)
}

fn sign(input: &mut Input<'_>) -> Result<&'static str, ContextError> {
    // The longer signs go first, as they begin with shorter ones.
    let equal = alt(("<=".value("<="), ">=".value(">="), "!=".value("!=")));
    let order = alt(("=".value("="), "<".value("<"), ">".value(">"), "~".value("~")));
    let list = alt(("(".value("("), ")".value(")"), ",".value(",")));
    alt((equal, order, list)).parse_next(input)
}

fn quoted(mark: char) -> impl FnMut(&mut Input<'_>) -> Result<Kind, ContextError> {
    move |input| {
        let escaped = preceded('\\', one_of(['\\', '"', '\'']));
        let plain = none_of([mark, '\\']);
        let text = repeat(0.., alt((escaped, plain)));
        delimited(mark, text, mark).map(Kind::Text).parse_next(input)
    }
}

fn word(input: &mut Input<'_>) -> Result<Kind, ContextError> {
    let inside = |c: char| !c.is_whitespace() && !SPECIAL.contains(&c);
    let mut word = take_while(1.., inside).map(|word: &str| Kind::Word(word.to_owned()));
    word.parse_next(input)
}

fn unreadable(text: &str, start: usize) -> Fault {
    let rest = &text[start..];
    if rest.starts_with(['"', '\'']) {
        let mark = &rest[..1];
        let what = "the text in quotes does not end";
        return Fault::new(start..text.len(), what, format!("add {mark} at its end"));
    }
    let sign = rest.chars().next().unwrap_or(' ');
    let end = start + sign.len_utf8();
    let what = format!("the sign {sign:?} is not known");
    Fault::new(start..end, what, "use =, !=, <, <=, >, >= or ~, or put it into quotes")
}

/// The parts of a number with a unit, such as `20GB`.
pub fn number(text: &str) -> Option<(f64, &str)> {
    let digits =
        take_while::<_, _, ContextError>(1.., |c: char| c.is_ascii_digit() || c == '.');
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic());
    let mut both = terminated((digits, unit), eof);
    let (digits, unit) = both.parse(text).ok()?;
    Some((digits.parse().ok()?, unit))
}
