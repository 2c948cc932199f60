//! Keeps in the store which process of each VM has had a share of the bounds on the cluster.
//!
//! A process that restarts reads there whether the one before it may have used the VM's
//! reserve. The row is written when a daemon joins, and again once it has a share.

use std::sync::Arc;

use chestnut_base::VmName;
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_member::{Part, ShareRow};
use slog::{info, warn};

use crate::shared::Shared;
use crate::table_sync::{ChangeHandler, SYSTEM_TABLE};
use crate::{members, store};

/// Prefix of the keys of the rows; the VM's name follows.
pub const KEY_PREFIX: &str = "share:";

/// How likely a row that is due is written at each check.
///
/// Daemons that started together would otherwise all write at once.
const WRITE_PROBABILITY: f64 = 0.1;

/// Handles the rows of the VMs' last processes.
pub struct ShareHandler(pub Arc<Shared>);

impl ChangeHandler for ShareHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let name = change.key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let Ok(vm) = VmName::try_from(name) else {
            warn!(shared.log, "invalid key of a share ignored"; "key" => &change.key);
            return;
        };
        let row = change.value.as_ref().map(|value| serde_json::from_slice(value));
        let row: Option<ShareRow> = match row.transpose() {
            Ok(row) => row,
            Err(error) => {
                warn!(shared.log, "invalid row of a share ignored"; "key" => &change.key,
                    "error" => error.to_string());
                return;
            }
        };
        shared.sharers().record_row(vm, row.map(|row| (row, change.version)));
    }
}

/// Adds to the transaction of a daemon that joins that it has had no share yet.
pub fn put_unsettled(shared: &Shared, transaction: Transaction) -> Transaction {
    transaction.put(SYSTEM_TABLE, &key(shared), encode(unsettled(shared)))
}

/// Records the row of that transaction if it is among the keys that are current.
pub fn record_join(shared: &Shared, current: &[String], version: u64) {
    if current.contains(&key(shared)) {
        let row = Some((unsettled(shared), version));
        shared.sharers().record_row(shared.settings.vm.clone(), row);
    }
}

fn unsettled(shared: &Shared) -> ShareRow {
    ShareRow { member: shared.peers.me, settled: false }
}

/// Writes that this daemon has had a share, once it has.
pub async fn persist_settled(shared: &Shared) {
    let window = shared.bounds.borrow().retry_window;
    let Some((row, version)) = shared.sharers().row(&shared.settings.vm) else { return };
    let is_due = row.member == shared.peers.me
        && !row.settled
        && matches!(members::part(shared, window), Part::Share(_));
    if !is_due || !rand::random_bool(WRITE_PROBABILITY) {
        return;
    }
    let row = ShareRow { settled: true, ..row };
    // A process that has started since has replaced the row.
    let transaction = Transaction::default()
        .require_version(SYSTEM_TABLE, &key(shared), version)
        .put(SYSTEM_TABLE, &key(shared), encode(row));
    match store::commit(shared, &transaction).await {
        Ok(TransactionOutcome::Committed { version }) => {
            let vm = shared.settings.vm.clone();
            shared.sharers().record_row(vm, Some((row, version)));
            info!(shared.log, "share settled"; "version" => version);
        }
        Ok(outcome) => {
            info!(shared.log, "share not settled"; "why" => format!("{outcome:?}"));
        }
        Err(error) => {
            warn!(shared.log, "share not settled"; "error" => error.to_string());
        }
    }
}

fn key(shared: &Shared) -> String {
    format!("{KEY_PREFIX}{}", shared.settings.vm)
}

fn encode(row: ShareRow) -> Vec<u8> {
    // An id and a flag always serialize.
    serde_json::to_vec(&row).unwrap_or_default()
}
