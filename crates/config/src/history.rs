//! Earlier texts, taken back from the history one revision at a time.

use chestnut_base::{Revision, TeamName};

use crate::declarations::TeamFiles;
use crate::rows::HistoryEntry;

/// The greatest number of revisions that a rollback goes back.
///
/// It reads them in blocks of 100, so that it costs at most 100 reads.
pub const MAX_ROLLBACK_REVISIONS: u64 = 10_000;

/// Takes a team's text back to what it was at revision `to`.
///
/// `entries` are all revisions of all teams after `to`, newest first.
pub fn roll_back<'a>(
    team: &TeamName,
    mut text: TeamFiles,
    to: Revision,
    entries: impl IntoIterator<Item = &'a HistoryEntry>,
) -> TeamFiles {
    let later = entries.into_iter().filter(|it| it.team == *team && it.revision > to);
    for entry in later {
        for (file, before) in &entry.previous_texts {
            match before {
                Some(old) => {
                    text.files.insert(file.clone(), old.clone());
                }
                None => {
                    text.files.shift_remove(file);
                }
            }
        }
    }
    text
}
