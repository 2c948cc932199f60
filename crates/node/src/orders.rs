//! Orders to the engines that this daemon leads, through the ledger.

use std::sync::Arc;

use crate::shared::Shared;

/// Runs until the process ends.
pub async fn run(_shared: Arc<Shared>) {}
