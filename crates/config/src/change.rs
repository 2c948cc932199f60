//! An operator's change, and whether it may be applied.

use chestnut_base::{Digest, PoolName, Revision, TeamName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::declare::TeamText;
use crate::problem::{Problems, Spot};
use crate::rows::{FileRow, Files};
use crate::union::Union;

/// The longest text of a file, in bytes.
pub const TEXT_LIMIT: usize = 512 << 10;

/// The longest id of a change, in bytes.
pub const ID_LIMIT: usize = 64;

/// The longest author and note, in bytes.
pub const NOTE_LIMIT: usize = 1024;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The change's id, chosen by its author; a repeated change keeps it.
    pub id: String,
    /// The team whose files it edits.
    pub team: TeamName,
    /// Who makes it.
    pub author: String,
    /// What the author says of it.
    #[serde(default)]
    pub note: String,
    /// The revision that the author saw.
    pub base: Revision,
    /// The new text of each edited file; absent to remove the file.
    pub edits: IndexMap<String, Option<String>>,
}

/// The final answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The change is in the named revision and never reverts by itself.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
        /// Whether others' changes were accepted since the author's revision.
        rebased: bool,
    },
    /// The change has and will have no effect.
    Refused {
        /// The newest revision at that time.
        revision: Revision,
        /// Why.
        reason: Reason,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum Reason {
    /// Others changed the same files since the author's revision.
    Conflict {
        /// The author of the refused change.
        author: String,
        /// Each other change.
        others: Vec<Other>,
    },
    /// The author names a revision that does not exist yet.
    ///
    /// Were it believed, no change of others would count as made since then, and
    /// all of them would be overwritten.
    Ahead {
        /// The revision that the author names.
        base: Revision,
    },
    /// The declarations of all teams together would be wrong.
    Invalid {
        /// What would be wrong.
        problems: Problems,
        /// The changes that wrote the other files that the problems are about.
        others: Vec<Other>,
    },
}

/// A change that got in first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Other {
    /// The file that both change.
    pub file: String,
    /// The author of the change that got in first.
    pub author: String,
    /// Its id.
    pub change: String,
    /// Its revision.
    pub revision: Revision,
}

impl Change {
    /// Checks what can be told from the change alone.
    pub fn check(&self) -> Result<(), String> {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.id.is_empty() || self.id.len() > ID_LIMIT || !self.id.chars().all(plain) {
            return Err(format!(
                "the change's id is invalid; use 1 to {ID_LIMIT} letters, digits, `-`, \
                 `_` and `.`"
            ));
        }
        if self.author.is_empty() || self.author.len() > NOTE_LIMIT {
            return Err("the author is missing or too long; name yourself".into());
        }
        if self.note.len() > NOTE_LIMIT {
            return Err(format!("the note is too long; use at most {NOTE_LIMIT} bytes"));
        }
        if self.edits.is_empty() {
            return Err("the change edits no file; there is nothing to apply".into());
        }
        for (file, text) in &self.edits {
            if file.is_empty() || file.len() > ID_LIMIT || !file.chars().all(plain) {
                return Err(format!(
                    "the file name {file:?} is invalid; use letters, digits, `-`, `_`, `.`"
                ));
            }
            if text.as_ref().is_some_and(|text| text.len() > TEXT_LIMIT) {
                return Err(format!(
                    "the file {file} is too long; split it into files of at most \
                     {TEXT_LIMIT} bytes"
                ));
            }
        }
        Ok(())
    }

    /// A hash of what the change does, by which a reused id is told apart.
    pub fn digest(&self) -> Digest {
        let base = self.base.0.to_le_bytes();
        let mut parts: Vec<&[u8]> = vec![self.team.as_str().as_bytes(), &base];
        for (file, text) in &self.edits {
            parts.push(file.as_bytes());
            parts.push(if text.is_some() { b"text" } else { b"none" });
            parts.push(text.as_deref().unwrap_or_default().as_bytes());
        }
        Digest::of(parts)
    }

    /// Checks the change on top of all files, and returns the new declarations.
    ///
    /// The changing team is read last, so that the problems stand at its texts
    /// where two texts contradict each other.
    pub fn judge(
        &self,
        files: &Files,
        runners: &IndexMap<PoolName, usize>,
        next: Revision,
    ) -> Result<Catalog, Reason> {
        if self.base > files.revision() {
            return Err(Reason::Ahead { base: self.base });
        }
        let others = self.conflicts(files);
        if !others.is_empty() {
            return Err(Reason::Conflict { author: self.author.clone(), others });
        }
        let mut teams = files.teams();
        let old = Catalog::union(next, &teams).ok();
        let mut text = teams.shift_remove(&self.team).unwrap_or_default();
        edit(&mut text, &self.edits);
        teams.insert(self.team.clone(), text);
        let union = Union::check(next, &teams).and_then(|union| {
            union.fits(runners, old.as_ref())?;
            Ok(union)
        });
        match union {
            Ok(union) => Ok(union.catalog),
            Err(problems) => {
                let others = self.blamed(&problems, files);
                Err(Reason::Invalid { problems, others })
            }
        }
    }

    /// The changes of the same files since the author's revision.
    fn conflicts(&self, files: &Files) -> Vec<Other> {
        self.edits
            .keys()
            .filter_map(|file| files.get(&self.team, file))
            .filter(|row| row.revision > self.base)
            .map(Other::of)
            .collect()
    }

    /// The changes that last wrote the other files that problems are about.
    fn blamed(&self, problems: &Problems, files: &Files) -> Vec<Other> {
        let spots = problems.0.iter().flat_map(|it| [Some(&it.at), it.also.as_ref()]);
        let named: IndexSet<&str> =
            spots.flatten().map(|spot: &Spot| &*spot.file).collect();
        files
            .rows()
            .filter(|row| row.team != self.team || !self.edits.contains_key(&row.file))
            .filter(|row| named.contains(row.path().as_str()))
            .map(Other::of)
            .collect()
    }
}

impl Other {
    fn of(row: &FileRow) -> Self {
        Self {
            file: row.path(),
            author: row.author.clone(),
            change: row.change.clone(),
            revision: row.revision,
        }
    }
}

/// Applies edits to a team's files.
pub fn edit(text: &mut TeamText, edits: &IndexMap<String, Option<String>>) {
    for (file, new) in edits {
        match new {
            Some(new) => {
                text.files.insert(file.clone(), new.clone());
            }
            None => {
                text.files.shift_remove(file);
            }
        }
    }
}

/// The edits that lead from one text of a team to another.
pub fn edits(old: &TeamText, new: &TeamText) -> IndexMap<String, Option<String>> {
    let mut edits = IndexMap::new();
    for (file, text) in &new.files {
        if old.files.get(file) != Some(text) {
            edits.insert(file.clone(), Some(text.clone()));
        }
    }
    for file in old.files.keys() {
        if !new.files.contains_key(file) {
            edits.insert(file.clone(), None);
        }
    }
    edits
}
