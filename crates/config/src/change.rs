//! An operator's change, and whether it may be applied.

use chestnut_base::{Digest, PoolName, Revision, TeamName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::declarations::TeamFiles;
use crate::merge::MergedDeclarations;
use crate::problem::{Location, Problems};
use crate::rows::{FileRow, Files};

/// The longest text of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 512 << 10;

/// The longest id of a change, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// The longest author and note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1024;

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
        reason: RefusalReason,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum RefusalReason {
    /// Others changed the same files since the author's revision.
    Conflict {
        /// The author of the refused change.
        author: String,
        /// Each other change.
        others: Vec<RelatedChange>,
    },
    /// The author names a revision that does not exist yet.
    ///
    /// Were it believed, no change of others would count as made since then, and
    /// all of them would be overwritten.
    #[serde(rename = "ahead")]
    UnknownBase {
        /// The revision that the author names.
        base: Revision,
    },
    /// The declarations of all teams together would be wrong.
    Invalid {
        /// What would be wrong.
        problems: Problems,
        /// The changes that wrote the other files that the problems are about.
        others: Vec<RelatedChange>,
    },
}

/// A change that got in first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelatedChange {
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
    pub fn validate(&self) -> Result<(), String> {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.id.is_empty()
            || self.id.len() > MAX_ID_BYTES
            || !self.id.chars().all(plain)
        {
            return Err(format!(
                "the change's id is invalid; use 1 to {MAX_ID_BYTES} letters, digits, `-`, \
                 `_` and `.`"
            ));
        }
        if self.author.is_empty() || self.author.len() > MAX_NOTE_BYTES {
            return Err("the author is missing or too long; name yourself".into());
        }
        if self.note.len() > MAX_NOTE_BYTES {
            return Err(format!(
                "the note is too long; use at most {MAX_NOTE_BYTES} bytes"
            ));
        }
        if self.edits.is_empty() {
            return Err("the change edits no file; there is nothing to apply".into());
        }
        for (file, text) in &self.edits {
            if file.is_empty() || file.len() > MAX_ID_BYTES || !file.chars().all(plain) {
                return Err(format!(
                    "the file name {file:?} is invalid; use letters, digits, `-`, `_`, `.`"
                ));
            }
            if text.as_ref().is_some_and(|text| text.len() > MAX_FILE_BYTES) {
                return Err(format!(
                    "the file {file} is too long; split it into files of at most \
                     {MAX_FILE_BYTES} bytes"
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
    pub fn evaluate(
        &self,
        files: &Files,
        runners: &IndexMap<PoolName, usize>,
        next: Revision,
    ) -> Result<Catalog, RefusalReason> {
        if self.base > files.revision() {
            return Err(RefusalReason::UnknownBase { base: self.base });
        }
        let others = self.conflicts(files);
        if !others.is_empty() {
            return Err(RefusalReason::Conflict { author: self.author.clone(), others });
        }
        let mut teams = files.by_team();
        let old = Catalog::merge(next, &teams).ok();
        let mut text = teams.shift_remove(&self.team).unwrap_or_default();
        apply_edits(&mut text, &self.edits);
        teams.insert(self.team.clone(), text);
        let union = MergedDeclarations::parse(next, &teams).and_then(|union| {
            union.check_capacity(runners, old.as_ref())?;
            Ok(union)
        });
        match union {
            Ok(union) => Ok(union.catalog),
            Err(problems) => {
                let others = self.blamed(&problems, files);
                Err(RefusalReason::Invalid { problems, others })
            }
        }
    }

    /// The changes of the same files since the author's revision.
    fn conflicts(&self, files: &Files) -> Vec<RelatedChange> {
        self.edits
            .keys()
            .filter_map(|file| files.get(&self.team, file))
            .filter(|row| row.revision > self.base)
            .map(RelatedChange::from_row)
            .collect()
    }

    /// The changes that last wrote the other files that problems are about.
    fn blamed(&self, problems: &Problems, files: &Files) -> Vec<RelatedChange> {
        let spots =
            problems.0.iter().flat_map(|it| [Some(&it.location), it.related.as_ref()]);
        let named: IndexSet<&str> =
            spots.flatten().map(|spot: &Location| &*spot.file).collect();
        files
            .rows()
            .filter(|row| row.team != self.team || !self.edits.contains_key(&row.file))
            .filter(|row| named.contains(row.path().as_str()))
            .map(RelatedChange::from_row)
            .collect()
    }
}

impl RelatedChange {
    fn from_row(row: &FileRow) -> Self {
        Self {
            file: row.path(),
            author: row.author.clone(),
            change: row.change.clone(),
            revision: row.revision,
        }
    }
}

/// Applies edits to a team's files.
pub fn apply_edits(text: &mut TeamFiles, edits: &IndexMap<String, Option<String>>) {
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
pub fn diff_files(old: &TeamFiles, new: &TeamFiles) -> IndexMap<String, Option<String>> {
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
