//! The rows of the configuration in the platform's table.
//!
//! | key | content | written |
//! |---|---|---|
//! | `head` | [`Head`] | by every accepted change |
//! | `file:TEAM/NAME` | [`FileRow`] | by accepted changes of that file |
//! | `rev:NUMBER` | [`HistoryEntry`] | once, by the change that created the revision |
//! | `change:TEAM/ID` | [`StoredVerdict`] | once, with the change's verdict |
//!
//! The first two are in [`CONFIG_TABLE`], which daemons watch, so that a change
//! costs each daemon only the files that it edits; the others are in [`LOG_TABLE`].
//! The row of a removed file remains, without a text, so that the greatest revision of
//! all rows never decreases.

use chestnut_base::{Revision, TeamName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::change::Verdict;
use crate::declarations::TeamFiles;

/// The table of the head and the files, which every daemon watches.
pub const CONFIG_TABLE: &str = "config";

/// The table of the history and the verdicts, which daemons read only on behalf of
/// operators.
///
/// It is separate so that daemons don't receive its rows with each change.
pub const LOG_TABLE: &str = "config-log";

/// The key of the [`Head`] row.
pub const HEAD_KEY: &str = "head";

/// The key prefix of files.
pub const FILE_PREFIX: &str = "file:";

/// The key prefix of revisions in the history.
pub const REVISION_PREFIX: &str = "rev:";

/// The key prefix of the verdicts on changes.
const CHANGE_PREFIX: &str = "change:";

/// The number of revisions that one read of the history returns.
pub const REVISIONS_PER_BLOCK: u64 = 100;

/// The table that stores the row of a key.
pub fn table_for(key: &str) -> &'static str {
    if key.starts_with(REVISION_PREFIX) || key.starts_with(CHANGE_PREFIX) {
        LOG_TABLE
    } else {
        CONFIG_TABLE
    }
}

/// The key of a file of a team.
pub fn file_key(team: &TeamName, file: &str) -> String {
    format!("{FILE_PREFIX}{team}/{file}")
}

/// The key of a revision in the history; keys sort by revision.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:012}", revision.0)
}

/// The key prefix of the block of 100 revisions that contains `revision`.
///
/// The cost of reading a block does not depend on the length of the history.
pub fn block_prefix(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:010}", revision.0 / REVISIONS_PER_BLOCK)
}

/// The key of the verdict on a team's change.
pub fn change_key(team: &TeamName, id: &str) -> String {
    format!("{CHANGE_PREFIX}{team}/{id}")
}

/// The newest revision.
///
/// The transaction of a change requires that this row has not changed since it was
/// read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision's number.
    pub revision: Revision,
    /// The id of the change that created the revision.
    pub change: String,
}

/// A file of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRow {
    /// The team that owns the file.
    pub team: TeamName,
    /// The file's name without the team.
    pub file: String,
    /// The revision of the file's last change.
    pub revision: Revision,
    /// The id of that change.
    pub change: String,
    /// The author of that change.
    pub author: String,
    /// The text; `None` if the file was removed.
    pub text: Option<String>,
}

impl FileRow {
    /// The file's name with its team, as it appears in problems.
    pub fn path(&self) -> String {
        format!("{}/{}", self.team, self.file)
    }
}

/// The verdict on a change, with a digest of the change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVerdict {
    /// The [`Change::digest`](crate::Change::digest), which reveals reuse of the id.
    pub digest: String,
    /// The final answer to the change.
    pub verdict: Verdict,
}

/// A revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision's number.
    pub revision: Revision,
    /// The id of the change that created the revision.
    pub change: String,
    /// The team whose files changed.
    pub team: TeamName,
    /// The author of the change.
    pub author: String,
    /// The author's description of the change.
    pub note: String,
    /// When the change was accepted, by the accepting daemon's clock, in seconds since
    /// 1970.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// The texts of the edited files before the change, for a rollback.
    ///
    /// `None` for files that did not exist.
    #[serde(rename = "before")]
    pub previous_texts: IndexMap<String, Option<String>>,
}

/// The files of all teams, including removed ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Files {
    rows: IndexMap<String, FileRow>,
}

impl Files {
    /// Applies a row unless it is older than the file's current one.
    pub fn update(&mut self, row: FileRow) {
        let key = file_key(&row.team, &row.file);
        if self.rows.get(&key).is_none_or(|current| current.revision <= row.revision) {
            self.rows.insert(key, row);
        }
    }

    /// The newest revision of any file; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.rows.values().map(|row| row.revision).max().unwrap_or_default()
    }

    /// The row of a file, even if the file was removed.
    pub fn get(&self, team: &TeamName, file: &str) -> Option<&FileRow> {
        self.rows.get(&file_key(team, file))
    }

    /// The rows of all files, including removed ones.
    pub fn rows(&self) -> impl Iterator<Item = &FileRow> {
        self.rows.values()
    }

    /// The existing files of one team.
    pub fn of_team(&self, team: &TeamName) -> TeamFiles {
        self.by_team().swap_remove(team).unwrap_or_default()
    }

    /// The existing files of all teams, sorted by the names of teams and files.
    pub fn by_team(&self) -> IndexMap<TeamName, TeamFiles> {
        let mut teams: IndexMap<TeamName, TeamFiles> = IndexMap::new();
        for row in self.rows.values() {
            if let Some(text) = &row.text {
                let files = teams.entry(row.team.clone()).or_default();
                files.files.insert(row.file.clone(), text.clone());
            }
        }
        teams.sort_keys();
        for files in teams.values_mut() {
            files.files.sort_keys();
        }
        teams
    }
}
