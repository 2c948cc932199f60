//! Splits a command into tokens.

use std::ops::Range;

use winnow::combinator::{alt, delimited, eof, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{none_of, one_of, take_while};

use crate::syntax_error::SyntaxError;

/// Characters that end a word, besides whitespace.
const DELIMITERS: &[char] = &['=', '!', '<', '>', '~', '(', ')', ',', '"', '\''];

/// A token and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The kind and content.
    pub kind: TokenKind,
    /// The position in the command, in bytes.
    pub span: Range<usize>,
}

/// The kind and content of a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenKind {
    /// A run of characters without whitespace or delimiters.
    Word(String),
    /// A quoted string, without its quotes.
    Quoted(String),
    /// An operator or punctuation, such as `<=`.
    Symbol(&'static str),
}

type Input<'a> = LocatingSlice<&'a str>;

/// Splits a command into tokens.
pub fn tokens(text: &str) -> Result<Vec<Token>, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        skip_whitespace(&mut input);
        let start = text.len() - input.len();
        if input.is_empty() {
            return Ok(tokens);
        }
        match token.parse_next(&mut input) {
            Ok(kind) => {
                let end = text.len() - input.len();
                tokens.push(Token { kind, span: start..end });
            }
            Err(_) => return Err(invalid_token(text, start)),
        }
    }
}

fn skip_whitespace(input: &mut Input<'_>) {
    let skipped: Result<&str, ContextError> =
        take_while(0.., char::is_whitespace).parse_next(input);
    // Matching no characters is a success, so this can't fail.
    debug_assert!(skipped.is_ok());
}

fn token(input: &mut Input<'_>) -> Result<TokenKind, ContextError> {
    alt((symbol.map(TokenKind::Symbol), quoted('"'), quoted('\''), word))
        .parse_next(input)
}

fn symbol(input: &mut Input<'_>) -> Result<&'static str, ContextError> {
    // The longer symbols are tried first, since they start with shorter ones.
    let two_characters = alt(("<=".value("<="), ">=".value(">="), "!=".value("!=")));
    let one_character =
        alt(("=".value("="), "<".value("<"), ">".value(">"), "~".value("~")));
    let punctuation = alt(("(".value("("), ")".value(")"), ",".value(",")));
    alt((two_characters, one_character, punctuation)).parse_next(input)
}

fn quoted(quote: char) -> impl FnMut(&mut Input<'_>) -> Result<TokenKind, ContextError> {
    move |input| {
        let escaped = preceded('\\', one_of(['\\', '"', '\'']));
        let plain = none_of([quote, '\\']);
        let text = repeat(0.., alt((escaped, plain)));
        delimited(quote, text, quote).map(TokenKind::Quoted).parse_next(input)
    }
}

fn word(input: &mut Input<'_>) -> Result<TokenKind, ContextError> {
    let is_word_char = |c: char| !c.is_whitespace() && !DELIMITERS.contains(&c);
    let mut word =
        take_while(1.., is_word_char).map(|word: &str| TokenKind::Word(word.to_owned()));
    word.parse_next(input)
}

fn invalid_token(text: &str, start: usize) -> SyntaxError {
    let rest = &text[start..];
    if rest.starts_with(['"', '\'']) {
        let quote = &rest[..1];
        let message = "the text in quotes does not end";
        return SyntaxError::new(
            start..text.len(),
            message,
            format!("add {quote} at its end"),
        );
    }
    let character = rest.chars().next().unwrap_or(' ');
    let end = start + character.len_utf8();
    let message = format!("the character {character:?} is unknown");
    SyntaxError::new(
        start..end,
        message,
        "use =, !=, <, <=, >, >= or ~, or put it into quotes",
    )
}

/// Splits a number with a unit, such as `20GB`; the unit may be empty.
///
/// `None` if the text is not a number with a unit.
pub fn split_number(text: &str) -> Option<(f64, &str)> {
    let digits =
        take_while::<_, _, ContextError>(1.., |c: char| c.is_ascii_digit() || c == '.');
    let unit = take_while(0.., |c: char| c.is_ascii_alphabetic());
    let mut parser = terminated((digits, unit), eof);
    let (digits, unit) = parser.parse(text).ok()?;
    Some((digits.parse().ok()?, unit))
}
