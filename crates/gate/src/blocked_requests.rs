//! Keeps blocked requests in the store, for daemons that start and those that missed the
//! reports of a crash.
//!
//! Each daemon that blocks a request writes its row unless another one has done so. They do
//! it one after another, so that usually one writes.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use chestnut_base::Digest;
use chestnut_crash::tracker::BLOCK_DURATION;
use chestnut_crash::{DigestStatus, StatusChange};
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use crate::crashes;
use crate::shared::Shared;
use crate::store::{self, StoreError};
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};

/// Prefix of the keys of blocked requests; the digest follows.
pub const KEY_PREFIX: &str = "blocked:";

/// How much later than the one before it the next daemon writes a row.
///
/// A row reaches the other daemons within a few hundred milliseconds.
const WRITE_STAGGER: Duration = Duration::from_millis(400);

/// How many daemons try to write a row.
const WRITERS: usize = 3;

/// The delay before a write is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// A blocked request in the store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct BlockedRow {
    /// When it was blocked, in Unix milliseconds.
    at_ms: u64,
}

/// Handles rows of blocked requests.
pub struct BlockedRequestHandler(pub Arc<Shared>);

impl ChangeHandler for BlockedRequestHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let Some(digest) = parse_key(&change.key) else {
            warn!(shared.log, "invalid key of a blocked request ignored"; "key" => &change.key);
            return;
        };
        let row = change.value.as_ref().map(|value| serde_json::from_slice(value));
        let row: Option<BlockedRow> = match row.transpose() {
            Ok(row) => row,
            Err(error) => {
                warn!(shared.log, "invalid row of a blocked request ignored";
                    "key" => &change.key, "error" => error.to_string());
                return;
            }
        };
        let is_blocked = row.is_some_and(|row| age(shared, row) < BLOCK_DURATION);
        apply(shared, digest, is_blocked, change.version);
        if row.is_some() && !is_blocked {
            tokio::spawn(delete_expired(shared.clone(), change.key, change.version));
        }
    }
}

fn apply(shared: &Shared, digest: Digest, is_blocked: bool, version: u64) {
    let now = shared.now();
    let was_blocked = {
        let mut tracker = shared.crashes.tracker();
        let was_blocked = tracker.status(digest, now) == Some(DigestStatus::Blocked);
        if is_blocked != was_blocked {
            let status = is_blocked.then_some(DigestStatus::Blocked);
            tracker.apply(StatusChange { digest, status }, now);
        }
        was_blocked
    };
    shared.crashes.record_row(digest, is_blocked);
    if is_blocked || was_blocked {
        let message =
            if is_blocked { "request listed as blocked" } else { "request unblocked" };
        info!(shared.log, "{}", message; "digest" => digest.to_string(), "version" => version);
    }
}

/// Writes the row of a blocked request, unless another daemon does.
pub async fn persist(shared: Arc<Shared>, digest: Digest) {
    let key = format!("{KEY_PREFIX}{digest}");
    let rank = table_sync::reader_rank(&shared, &key);
    if rank >= WRITERS {
        return;
    }
    sleep(WRITE_STAGGER * rank as u32).await;
    let at_ms = shared.clock.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let row = BlockedRow { at_ms: at_ms.as_millis() as u64 };
    // A number always serializes.
    let value = serde_json::to_vec(&row).unwrap_or_default();
    let transaction = Transaction::default().require_version(SYSTEM_TABLE, &key, 0).put(
        SYSTEM_TABLE,
        &key,
        value,
    );
    // An operator may have deleted the row that another daemon wrote.
    while crashes::is_blocked(&shared, digest) && !shared.crashes.has_row(digest) {
        let result = store::commit(&shared, &transaction).await;
        info!(shared.log, "blocked request persisted"; "digest" => digest.to_string(),
            "answer" => format!("{result:?}"));
        match result {
            Ok(TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict) => {
                return;
            }
            Ok(TransactionOutcome::Refused) | Err(StoreError(_)) => {
                sleep(RETRY_DELAY).await
            }
        }
    }
}

async fn delete_expired(shared: Arc<Shared>, key: String, version: u64) {
    let transaction = Transaction::default()
        .require_version(SYSTEM_TABLE, &key, version)
        .delete(SYSTEM_TABLE, &key);
    // Without an answer, the next daemon that starts deletes it.
    let result = store::commit(&shared, &transaction).await;
    info!(shared.log, "expired block deleted"; "key" => key, "answer" => format!("{result:?}"));
}

/// How long ago a request was blocked. The clocks of VMs may differ.
fn age(shared: &Shared, row: BlockedRow) -> Duration {
    let now = shared.clock.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(Duration::from_millis(row.at_ms))
}

fn parse_key(key: &str) -> Option<Digest> {
    let digest = key.strip_prefix(KEY_PREFIX)?;
    u128::from_str_radix(digest, 16).ok().map(Digest)
}
