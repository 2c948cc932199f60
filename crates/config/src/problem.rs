//! Problems in the text of settings and declarations, with locations and remedies.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// A position in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The file's name, for declarations with the team, as `TEAM/FILE`.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The path of the field, such as `times.lease_ms`; empty for the whole file.
    pub field: String,
}

/// The byte offsets at which the lines of a text start, for finding the line of an
/// offset by binary search.
#[derive(Debug, Clone)]
pub struct LineIndex<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Indexes the lines of a text.
    pub fn new(text: &'a str) -> Self {
        let later_starts = text.match_indices('\n').map(|(at, _)| at + 1);
        Self { text, line_starts: std::iter::once(0).chain(later_starts).collect() }
    }

    /// The location of a byte offset of the text.
    pub fn location(&self, file: &Arc<str>, byte: usize, field: String) -> Location {
        let line = self.line_starts.partition_point(|start| *start <= byte);
        let start = self.line_starts[line - 1];
        let prefix = self.text.get(start..byte).unwrap_or_default();
        Location { file: file.clone(), line, column: prefix.chars().count() + 1, field }
    }
}

impl Display for Location {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A problem and how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where the problem is.
    #[serde(rename = "at")]
    pub location: Location,
    /// What is wrong.
    #[serde(rename = "what")]
    pub message: String,
    /// How to fix it.
    pub remedy: String,
    /// The other location, if two locations contradict each other.
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

/// All problems of a check. Never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Adds a problem.
    pub fn add(
        &mut self,
        location: Location,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let (message, remedy) = (message.into(), remedy.into());
        self.0.push(Problem { location, message, remedy, related: None });
    }

    /// Adds a problem of two locations that contradict each other.
    pub fn add_conflict(
        &mut self,
        location: Location,
        related: Location,
        message: impl Into<String>,
        remedy: &str,
    ) {
        self.add(location, message, remedy);
        if let Some(last) = self.0.last_mut() {
            last.related = Some(related);
        }
    }

    /// The value if there is no problem, else the sorted problems.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self.sorted()) }
    }

    /// Sorts the problems by location; files stay in the order of their first problem.
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

/// The maximum length of a word that is compared with others, in characters.
const MAX_WORD_CHARS: usize = 100;

/// The candidate with the least edit distance to `word`, if one is close enough.
pub fn closest_match<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let length = word.chars().count();
    // The time to compare two words grows with the product of their lengths, and no
    // valid name is this long.
    if length > MAX_WORD_CHARS {
        return None;
    }
    let limit = if length < 2 { 0 } else { (length / 3).clamp(1, 4) };
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// The edit distance between two words, in inserted, removed, replaced and
/// transposed characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    let mut rows = vec![(0..=b.len()).collect::<Vec<_>>()];
    for i in 1..=a.len() {
        let mut row = vec![i];
        for j in 1..=b.len() {
            let substitution = usize::from(a[i - 1] != b[j - 1]);
            let mut best = (rows[i - 1][j - 1] + substitution)
                .min(rows[i - 1][j] + 1)
                .min(row[j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                best = best.min(rows[i - 2][j - 2] + 1);
            }
            row.push(best);
        }
        rows.push(row);
    }
    rows[a.len()][b.len()]
}
