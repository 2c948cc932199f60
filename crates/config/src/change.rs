//! Changes that operators request, and the check of whether they can be accepted.

use chestnut_base::{Digest, PoolName, Revision, TeamName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::declarations::TeamFiles;
use crate::merge::MergedDeclarations;
use crate::problem::{Location, Problems};
use crate::rows::{FileRow, Files};

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 512 << 10;

/// The maximum length of a change's id and of a file's name, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// The maximum length of an author and of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 1024;

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The change's id, chosen by its author; a retry sends the same id.
    pub id: String,
    /// The team whose files it edits.
    pub team: TeamName,
    /// The operator who makes the change.
    pub author: String,
    /// The author's description of the change; may be empty.
    #[serde(default)]
    pub note: String,
    /// The revision from which the author edited the files.
    pub base: Revision,
    /// The new text of each edited file; `None` removes the file.
    pub edits: IndexMap<String, Option<String>>,
}

/// The final answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The change is part of the revision and stays in force until another change
    /// replaces it.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// Whether other changes were accepted since the author's revision.
        rebased: bool,
    },
    /// The change has no effect and never will.
    Refused {
        /// The newest revision when the change was refused.
        revision: Revision,
        /// Why the change was refused.
        reason: RefusalReason,
    },
}

/// The reason for which a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum RefusalReason {
    /// The same files were changed by others since the author's revision.
    Conflict {
        /// The author of the refused change.
        author: String,
        /// The accepted changes of those files since the author's revision.
        others: Vec<RelatedChange>,
    },
    /// The author's revision does not exist yet.
    ///
    /// No accepted change is newer than it, so the conflict check would find none and
    /// the change would overwrite them all.
    #[serde(rename = "ahead")]
    UnknownBase {
        /// The author's revision.
        base: Revision,
    },
    /// The declarations of all teams together would be invalid.
    Invalid {
        /// The problems of the declarations.
        problems: Problems,
        /// The changes that wrote the other files with problems.
        others: Vec<RelatedChange>,
    },
}

/// An accepted change that is named in the refusal of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelatedChange {
    /// The file that it wrote, with its team.
    pub file: String,
    /// The author of the accepted change.
    pub author: String,
    /// The id of the accepted change.
    pub change: String,
    /// The revision that it created.
    pub revision: Revision,
}

impl Change {
    /// Checks the sizes and names in the change, without the current files.
    ///
    /// Fails with a message for the operator.
    pub fn validate(&self) -> Result<(), String> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.id.is_empty()
            || self.id.len() > MAX_ID_BYTES
            || !self.id.chars().all(is_allowed)
        {
            return Err(format!(
                "the change's id is invalid; use 1 to {MAX_ID_BYTES} letters, digits, `-`, \
                 `_` and `.`"
            ));
        }
        if self.author.is_empty() || self.author.len() > MAX_NOTE_BYTES {
            return Err("the author is missing or too long; give a short name".into());
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
            if file.is_empty()
                || file.len() > MAX_ID_BYTES
                || !file.chars().all(is_allowed)
            {
                return Err(format!(
                    "the file name {file:?} is invalid; use 1 to {MAX_ID_BYTES} letters, \
                     digits, `-`, `_` and `.`"
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

    /// A digest of the team, the base and the edits, which distinguishes a retry from a
    /// reused id.
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

    /// Applies the change to the current files and returns the new declarations.
    ///
    /// `runners` holds the number of runners of each pool for which it is known, and
    /// `next` is the revision that the change would create. The team that requests
    /// the change is parsed last, so that conflicts between two teams are located in
    /// its files.
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
        let mut team_files = teams.shift_remove(&self.team).unwrap_or_default();
        apply_edits(&mut team_files, &self.edits);
        teams.insert(self.team.clone(), team_files);
        let merged = MergedDeclarations::parse(next, &teams).and_then(|merged| {
            merged.check_capacity(runners, old.as_ref())?;
            Ok(merged)
        });
        match merged {
            Ok(merged) => Ok(merged.catalog),
            Err(problems) => {
                let others = self.changes_of_affected_files(&problems, files);
                Err(RefusalReason::Invalid { problems, others })
            }
        }
    }

    /// The changes of the edited files since the author's revision.
    fn conflicts(&self, files: &Files) -> Vec<RelatedChange> {
        self.edits
            .keys()
            .filter_map(|file| files.get(&self.team, file))
            .filter(|row| row.revision > self.base)
            .map(RelatedChange::from_row)
            .collect()
    }

    /// The changes that last wrote the files with problems, except the edited ones.
    fn changes_of_affected_files(
        &self,
        problems: &Problems,
        files: &Files,
    ) -> Vec<RelatedChange> {
        let locations =
            problems.0.iter().flat_map(|it| [Some(&it.location), it.related.as_ref()]);
        let affected_files: IndexSet<&str> =
            locations.flatten().map(|location: &Location| &*location.file).collect();
        files
            .rows()
            .filter(|row| row.team != self.team || !self.edits.contains_key(&row.file))
            .filter(|row| affected_files.contains(row.path().as_str()))
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

/// Applies edits to a team's files; `None` removes a file.
pub fn apply_edits(team_files: &mut TeamFiles, edits: &IndexMap<String, Option<String>>) {
    for (file, text) in edits {
        match text {
            Some(text) => {
                team_files.files.insert(file.clone(), text.clone());
            }
            None => {
                team_files.files.shift_remove(file);
            }
        }
    }
}

/// The edits that turn a team's files from `old` into `new`.
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
