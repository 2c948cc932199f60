//! The planner of the pools that this daemon claims.

use std::sync::Arc;

use crate::shared::Shared;

/// Runs until the process ends.
pub async fn run(_shared: Arc<Shared>) {}
