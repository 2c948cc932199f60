//! Distribution of the configuration: reads the head, applies revisions.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::Revision;

use crate::shared::Shared;

/// Keeps the declarations in force up to date until the process ends.
pub async fn run(_shared: Arc<Shared>) {}

/// The text of a revision for another daemon, if it is known.
pub async fn text(_shared: &Shared, _revision: Revision) -> Option<Bytes> {
    None
}
