//! What is wrong with a text, where, and what to write instead.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The file's name.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the field, such as `times.lease_ms`; empty for the whole file.
    pub field: String,
}

/// Where the lines of a text start, so that a place is found without a search
/// through the whole text.
#[derive(Debug, Clone)]
pub struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Finds the lines of a text.
    pub fn new(text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(at, _)| at + 1);
        Self { text, starts: std::iter::once(0).chain(ends).collect() }
    }

    /// The place of a byte of the text.
    pub fn location(&self, file: &Arc<str>, byte: usize, field: String) -> Location {
        let line = self.starts.partition_point(|start| *start <= byte);
        let start = self.starts[line - 1];
        let before = self.text.get(start..byte).unwrap_or_default();
        Location { file: file.clone(), line, column: before.chars().count() + 1, field }
    }
}

impl Display for Location {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where.
    #[serde(rename = "at")]
    pub location: Location,
    /// What is wrong.
    #[serde(rename = "what")]
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// The other place, if two places contradict each other.
    #[serde(rename = "also")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub related: Option<Location>,
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if !self.location.field.is_empty() {
            write!(f, "{}: ", self.location.field)?;
        }
        write!(f, "{}; {}", self.message, self.remedy)
    }
}

/// Everything that is wrong, in the order of the text.
///
/// Never empty when it is returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn add(
        &mut self,
        at: Location,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let (what, remedy) = (what.into(), remedy.into());
        self.0.push(Problem { location: at, message: what, remedy, related: None });
    }

    /// Adds a problem between two places.
    pub fn add_conflict(
        &mut self,
        at: Location,
        also: Location,
        what: impl Into<String>,
        remedy: &str,
    ) {
        self.add(at, what, remedy);
        if let Some(last) = self.0.last_mut() {
            last.related = Some(also);
        }
    }

    /// The value if nothing is wrong.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self.sorted()) }
    }

    /// The problems in the order of the text, file by file.
    pub fn sorted(mut self) -> Self {
        let files: IndexSet<Arc<str>> =
            self.0.iter().map(|it| it.location.file.clone()).collect();
        self.0.sort_by_key(|it| {
            (files.get_index_of(&it.location.file), it.location.line, it.location.column)
        });
        self
    }
}

impl Display for Problems {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// The longest word for which a similar one is looked for.
const MAX_WORD_CHARS: usize = 100;

/// The known word that is nearest to what was written, if one is near.
pub fn closest_match<'a>(
    word: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let length = word.chars().count();
    // Comparing costs the product of the lengths; no name is this long.
    if length > MAX_WORD_CHARS {
        return None;
    }
    let limit = if length < 2 { 0 } else { (length / 3).clamp(1, 4) };
    known
        .into_iter()
        .map(|other| (edit_distance(word, other), other))
        .filter(|(far, _)| *far <= limit)
        .min_by_key(|(far, _)| *far)
        .map(|(_, other)| other)
}

/// The number of characters to insert, remove, replace or swap with the next to get
/// from `a` to `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    let mut rows = vec![(0..=b.len()).collect::<Vec<_>>()];
    for i in 1..=a.len() {
        let mut row = vec![i];
        for j in 1..=b.len() {
            let same = usize::from(a[i - 1] != b[j - 1]);
            let mut best =
                (rows[i - 1][j - 1] + same).min(rows[i - 1][j] + 1).min(row[j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                best = best.min(rows[i - 2][j - 2] + 1);
            }
            row.push(best);
        }
        rows.push(row);
    }
    rows[a.len()][b.len()]
}
