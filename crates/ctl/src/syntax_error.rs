//! Syntax errors in commands, shown with a mark under their position.

use std::fmt::{self, Display, Formatter};
use std::ops::Range;

use winnow::error::ParserError;

use crate::token::Token;

/// A command that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    /// The position in the command, in bytes; [`usize::MAX`] if a word is missing at its
    /// end.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub remedy: String,
}

impl SyntaxError {
    /// Creates an error at a position of the command.
    pub fn new(
        span: Range<usize>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self { span, message: message.into(), remedy: remedy.into() }
    }

    /// Renders the error with the command and a mark under the position.
    pub fn render(&self, command: &str) -> RenderedError<'_> {
        // A single line keeps the mark under the position.
        let line: String =
            command.chars().map(|c| if c == '\n' { ' ' } else { c }).collect();
        RenderedError { error: self, line }
    }
}

impl<'a> ParserError<&'a [Token]> for SyntaxError {
    type Inner = Self;

    fn from_input(input: &&'a [Token]) -> Self {
        match input.first() {
            Some(token) => {
                Self::new(token.span.clone(), "this is not expected here", "remove it")
            }
            None => Self::end("the command is incomplete", "go on"),
        }
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }
}

impl SyntaxError {
    /// Creates an error after the last word.
    pub fn end(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(usize::MAX..usize::MAX, message, remedy)
    }
}

/// A syntax error with the command that it is in.
#[derive(Debug)]
pub struct RenderedError<'a> {
    error: &'a SyntaxError,
    line: String,
}

impl Display for RenderedError<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let SyntaxError { span, message, remedy } = self.error;
        let start = span.start.min(self.line.len());
        let end = span.end.min(self.line.len());
        let before = self.line.get(..start).unwrap_or(&self.line).chars().count();
        let width = self.line.get(start..end).unwrap_or("").chars().count().max(1);
        writeln!(f, "column {}: {message}", before + 1)?;
        writeln!(f, "  {}", self.line)?;
        writeln!(f, "  {}{}", " ".repeat(before), "^".repeat(width))?;
        write!(f, "{remedy}")
    }
}
