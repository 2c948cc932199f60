//! The rows in which the platform's table keeps the configuration.
//!
//! | key | content | written |
//! |---|---|---|
//! | `head` | [`Head`] | by every accepted change |
//! | `file:TEAM/NAME` | [`FileRow`] | by an accepted change of that file |
//! | `rev:NUMBER` | [`HistoryEntry`] | once, by the change that made the revision |
//! | `change:TEAM/ID` | [`StoredVerdict`] | once, by the first final answer to the change |
//!
//! The first two are in the table [`CONFIG_TABLE`], which daemons follow, so that a change
//! costs each of them just the files it touches; the others are in [`LOG_TABLE`]. A
//! removed file keeps its row without a text, so that the greatest revision of the
//! rows never falls.

use chestnut_base::{Revision, TeamName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::change::Verdict;
use crate::declarations::TeamFiles;

/// The table of the head and the files, which every daemon follows.
pub const CONFIG_TABLE: &str = "config";

/// The table of the history and the answers, read only when an operator asks.
///
/// Apart from the files, so that a change costs every daemon just its new text.
pub const LOG_TABLE: &str = "config-log";

/// The key of the head.
pub const HEAD_KEY: &str = "head";

/// The start of the keys of files.
pub const FILE_PREFIX: &str = "file:";

/// The start of the keys of the history.
pub const REVISION_PREFIX: &str = "rev:";

/// The start of the keys of answers to changes.
const CHANGE_PREFIX: &str = "change:";

/// The number of revisions that one read of the history gets.
pub const REVISIONS_PER_BLOCK: u64 = 100;

/// The table in which the row of a key is kept.
pub fn table_for(key: &str) -> &'static str {
    if key.starts_with(REVISION_PREFIX) || key.starts_with(CHANGE_PREFIX) {
        LOG_TABLE
    } else {
        CONFIG_TABLE
    }
}

/// The key of a file.
pub fn file_key(team: &TeamName, file: &str) -> String {
    format!("{FILE_PREFIX}{team}/{file}")
}

/// The key of a revision in the history; later keys sort higher.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:012}", revision.0)
}

/// The start of the keys of the 100 revisions that `revision` belongs to.
///
/// A read of a block costs the same however long the history is.
pub fn block_prefix(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:010}", revision.0 / REVISIONS_PER_BLOCK)
}

/// The key of the answer to a team's change.
pub fn change_key(team: &TeamName, id: &str) -> String {
    format!("{CHANGE_PREFIX}{team}/{id}")
}

/// The newest revision; each change checks that it is as the change saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// The change that made it.
    pub change: String,
}

/// A file of a team as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRow {
    /// The team.
    pub team: TeamName,
    /// The file's name.
    pub file: String,
    /// The revision of the file's last change.
    pub revision: Revision,
    /// The change that wrote it.
    pub change: String,
    /// Who made that change.
    pub author: String,
    /// The text; absent if the file was removed.
    pub text: Option<String>,
}

impl FileRow {
    /// The file's name with its team, as problems name it.
    pub fn path(&self) -> String {
        format!("{}/{}", self.team, self.file)
    }
}

/// The final answer to a change, with a hash of what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVerdict {
    /// The hash of the change, as [`Change::digest`](crate::Change::digest) says.
    pub digest: String,
    /// The answer.
    pub verdict: Verdict,
}

/// A revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// The change that made it.
    pub change: String,
    /// The team that changed its files.
    pub team: TeamName,
    /// Who made the change.
    pub author: String,
    /// What the author says of it.
    pub note: String,
    /// The time by the accepting daemon's clock, in seconds since 1970.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// The texts of the changed files before the change, for a rollback.
    #[serde(rename = "before")]
    pub previous_texts: IndexMap<String, Option<String>>,
}

/// All files of all teams at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Files {
    rows: IndexMap<String, FileRow>,
}

impl Files {
    /// Takes in a row, unless it is older than what is known.
    pub fn update(&mut self, row: FileRow) {
        let key = file_key(&row.team, &row.file);
        if self.rows.get(&key).is_none_or(|old| old.revision <= row.revision) {
            self.rows.insert(key, row);
        }
    }

    /// The newest revision of all files.
    pub fn revision(&self) -> Revision {
        self.rows.values().map(|row| row.revision).max().unwrap_or_default()
    }

    /// A file, also one that was removed.
    pub fn get(&self, team: &TeamName, file: &str) -> Option<&FileRow> {
        self.rows.get(&file_key(team, file))
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &FileRow> {
        self.rows.values()
    }

    /// The texts of one team.
    pub fn of_team(&self, team: &TeamName) -> TeamFiles {
        self.by_team().swap_remove(team).unwrap_or_default()
    }

    /// The texts of all teams, in the order of the teams' and files' names.
    pub fn by_team(&self) -> IndexMap<TeamName, TeamFiles> {
        let mut teams: IndexMap<TeamName, TeamFiles> = IndexMap::new();
        for row in self.rows.values() {
            if let Some(text) = &row.text {
                let team = teams.entry(row.team.clone()).or_default();
                team.files.insert(row.file.clone(), text.clone());
            }
        }
        teams.sort_keys();
        for text in teams.values_mut() {
            text.files.sort_keys();
        }
        teams
    }
}
