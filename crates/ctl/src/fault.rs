//! A command that can't be read: where, why, and what to write instead.

use std::fmt::{self, Display, Formatter};
use std::ops::Range;

use winnow::error::ParserError;

use crate::token::Token;

/// A command that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The place in the command, in bytes; empty beyond the last word.
    pub span: Range<usize>,
    /// What is wrong.
    pub what: String,
    /// What to write instead.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(
        span: Range<usize>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self { span, what: what.into(), remedy: remedy.into() }
    }

    /// Shows the command with a mark under the place.
    pub fn show(&self, text: &str) -> Shown<'_> {
        // One line, so that the mark stands under the place.
        let line: String =
            text.chars().map(|c| if c == '\n' { ' ' } else { c }).collect();
        Shown { fault: self, line }
    }
}

impl<'a> ParserError<&'a [Token]> for Fault {
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

impl Fault {
    /// A fault beyond the last word.
    pub fn end(what: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(usize::MAX..usize::MAX, what, remedy)
    }
}

/// A fault with its command.
#[derive(Debug)]
pub struct Shown<'a> {
    fault: &'a Fault,
    line: String,
}

impl Display for Shown<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Fault { span, what, remedy } = self.fault;
        let start = span.start.min(self.line.len());
        let end = span.end.min(self.line.len());
        let before = self.line.get(..start).unwrap_or(&self.line).chars().count();
        let width = self.line.get(start..end).unwrap_or("").chars().count().max(1);
        writeln!(f, "column {}: {what}", before + 1)?;
        writeln!(f, "  {}", self.line)?;
        writeln!(f, "  {}{}", " ".repeat(before), "^".repeat(width))?;
        write!(f, "{remedy}")
    }
}
