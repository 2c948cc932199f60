//! Restores earlier files from the history.

use chestnut_base::{Revision, TeamName};

use crate::declarations::TeamFiles;
use crate::rows::HistoryEntry;

/// The maximum number of revisions between the newest one and a rollback's target.
///
/// They are read in blocks of 100, so a rollback costs at most 101 reads: the first and
/// the last block may be read for a part of their revisions.
pub const MAX_ROLLBACK_REVISIONS: u64 = 10_000;

/// Restores a team's files as they were at revision `to` from its current `files`.
///
/// `entries` holds at least the revisions of all teams after `to`, newest first.
pub fn roll_back<'a>(
    team: &TeamName,
    mut files: TeamFiles,
    to: Revision,
    entries: impl IntoIterator<Item = &'a HistoryEntry>,
) -> TeamFiles {
    let later = entries.into_iter().filter(|it| it.team == *team && it.revision > to);
    for entry in later {
        for (file, previous) in &entry.previous_texts {
            match previous {
                Some(text) => {
                    files.files.insert(file.clone(), text.clone());
                }
                None => {
                    files.files.shift_remove(file);
                }
            }
        }
    }
    files
}
