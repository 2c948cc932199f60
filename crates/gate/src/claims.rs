//! Assigns each runner and each service to a daemon, the holder of its claim.
//!
//! The holder of a runner's claim sends its orders; that of a service's claim plans the
//! service or runs its queue. A claim is a row of the store with the holder and its fence. A
//! daemon takes a claim in a transaction that checks the row's version, and only after the
//! former holder's own row was removed. Where [`Bounds::fenced`] is set, engines refuse
//! orders with an older fence.
//!
//! [`Bounds::fenced`]: crate::settings::Bounds::fenced

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_account::SliceStart;
use chestnut_base::{Fence, PoolName, ServerName, ServiceName};
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_member::{ClaimChange, ClaimKey, ClaimRow, MembershipRows, plan_claims};
use slog::{info, warn};

use crate::shared::Shared;
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};
use crate::{account_slices, holder, metrics, permit_queue, store, usage_reports};

/// Prefix of the keys of claims; the claim's name follows.
pub const KEY_PREFIX: &str = "claim:";

/// How long after its start a daemon takes no claims, unless it replaces an earlier process on
/// its VM.
///
/// When all daemons start at once, the first would otherwise take every claim and hand
/// most of them over again.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);

/// Added to the minimum time between the orders of two holders.
///
/// Covers orders that the former holder had sent when its claim was taken.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);

/// The most claims that are changed in one transaction, which the store limits in size.
const MAX_CHANGES: usize = 40;

/// Handles rows of claims.
pub struct ClaimHandler(pub Arc<Shared>);

impl ChangeHandler for ClaimHandler {
    fn on_change(&mut self, change: Change) {
        let Self(shared) = self;
        let name = change.key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let Ok(key) = name.parse::<ClaimKey>() else { return };
        let row = change.value.as_ref().map(|value| serde_json::from_slice(value));
        let row: Option<ClaimRow> = match row.transpose() {
            Ok(row) => row,
            Err(error) => {
                warn!(shared.log, "invalid claim row ignored"; "key" => &change.key,
                    "error" => error.to_string());
                None
            }
        };
        let previous =
            record_claim(&mut shared.membership(), key.clone(), row, change.version);
        let me = Some(shared.peers.me);
        let holder = row.and_then(|row| row.holder);
        let (was_mine, is_mine) = (previous == me, holder == me);
        match (was_mine, is_mine) {
            (true, false) => account_slices::end(shared, &key),
            (false, true) => {
                let handed_over = row.is_some_and(|row| row.handed_over);
                let start =
                    if handed_over { SliceStart::Released } else { SliceStart::Seized };
                account_slices::begin(shared, &key, start);
            }
            (true, true) | (false, false) => {}
        }
        if holder != previous && previous.is_some() {
            if let ClaimKey::Server(server) = &key {
                usage_reports::report_to_new_holder(shared, server);
            }
            // Another daemon sends the orders from now on.
            shared.set_order_start_time(key, next_order_time(shared));
        }
        if was_mine && !is_mine {
            shared.metrics.count(metrics::Step::Claim, "lost");
            info!(shared.log, "claim lost"; "claim" => &change.key,
                "version" => change.version);
        }
    }

    fn on_batch_end(&mut self) {
        self.0.system_table_loaded.send_replace(true);
        holder::sync_claims(&self.0);
        permit_queue::sync_claims(&self.0);
    }
}

/// Records a claim's row unless a newer one is recorded; returns the previous holder.
fn record_claim(
    membership: &mut MembershipRows,
    key: ClaimKey,
    row: Option<ClaimRow>,
    version: u64,
) -> Option<chestnut_base::MemberId> {
    match row {
        Some(row) => {
            let is_newer = |(_, old): &&(ClaimRow, u64)| *old < version;
            let previous = membership.claims.get(&key).copied();
            if previous.as_ref().is_none_or(|old| is_newer(&old)) {
                membership.claims.insert(key, (row, version));
            }
            previous.and_then(|(row, _)| row.holder)
        }
        None => membership.claims.swap_remove(&key).and_then(|(row, _)| row.holder),
    }
}

/// Takes, hands over and releases claims according to [`plan_claims`].
pub async fn update_claims(shared: &Arc<Shared>) {
    let is_loaded = *shared.system_table_loaded.borrow();
    let past_startup = shared.uptime() >= STARTUP_GRACE || shared.is_restart();
    if !is_loaded || !past_startup {
        return;
    }
    let claim_keys = claim_keys(shared);
    let mut changes = {
        let membership = shared.membership();
        plan_claims(
            &membership,
            &shared.settings.vm,
            shared.peers.me,
            &claim_keys,
            shared.now(),
        )
        .changes
    };
    // A daemon that leaves goes on deciding on requests where nobody can take over.
    changes
        .retain(|change| change.row.holder.is_some() || !decides_requests(&change.key));
    if changes.is_empty() {
        return;
    }
    changes.truncate(MAX_CHANGES);
    let me = Some(shared.peers.me);
    for change in changes.iter_mut().filter(|change| change.row.holder != me) {
        change.row.handed_over &= account_slices::surrender(shared, &change.key);
    }
    let at_once: Vec<bool> =
        changes.iter().map(|change| may_order_at_once(shared, change)).collect();
    let transaction = changes.iter().fold(Transaction::default(), add_change);
    match store::commit(shared, &transaction).await {
        Ok(TransactionOutcome::Committed { version }) => {
            let current = record_current_claims(shared, &transaction, &changes, version);
            for (change, at_once) in changes.into_iter().zip(at_once) {
                if current.contains(&row_key(&change.key)) {
                    record_change(shared, change, version, at_once);
                }
            }
            holder::sync_claims(shared);
            permit_queue::sync_claims(shared);
        }
        Ok(TransactionOutcome::Conflict) => {
            info!(shared.log, "claims changed concurrently"; "steps" => changes.len());
            changes.iter().for_each(|change| account_slices::resume(shared, &change.key));
        }
        Ok(TransactionOutcome::Refused) => {
            changes.iter().for_each(|change| account_slices::resume(shared, &change.key));
        }
        Err(error) => {
            warn!(shared.log, "failed to update claims"; "error" => error.to_string())
        }
    }
}

/// Records the claims of a transaction that no newer change has replaced; returns the keys
/// of their rows.
fn record_current_claims(
    shared: &Shared,
    transaction: &Transaction,
    changes: &[ClaimChange],
    version: u64,
) -> Vec<String> {
    let mut membership = shared.membership();
    let current = table_sync::record_own_writes(shared, transaction, version);
    for change in changes.iter().filter(|change| current.contains(&row_key(&change.key)))
    {
        record_claim(&mut membership, change.key.clone(), Some(change.row), version);
    }
    current
}

fn row_key(claim: &ClaimKey) -> String {
    format!("{KEY_PREFIX}{claim}")
}

fn add_change(transaction: Transaction, change: &ClaimChange) -> Transaction {
    let key = row_key(&change.key);
    // Claims are plain structs, which always serialize.
    let value = serde_json::to_vec(&change.row).unwrap_or_default();
    transaction.require_version(SYSTEM_TABLE, &key, change.expected_version).put(
        SYSTEM_TABLE,
        &key,
        value,
    )
}

/// Whether requests wait for a decision of the claim's holder.
fn decides_requests(claim: &ClaimKey) -> bool {
    match claim {
        ClaimKey::Server(_) | ClaimKey::Pool(_) => true,
        ClaimKey::Slot(_) | ClaimKey::Vms | ClaimKey::AccountSlice(..) => false,
    }
}

/// Whether no other VM can have sent orders under the claim recently.
fn may_order_at_once(shared: &Shared, change: &ClaimChange) -> bool {
    let membership = shared.membership();
    let holder = membership.claims.get(&change.key).and_then(|(row, _)| row.holder);
    // To the engine, an earlier process on this VM is the same holder.
    change.expected_version == 0
        || holder.is_some() && holder == shared.previous_incarnation()
}

fn record_change(shared: &Arc<Shared>, change: ClaimChange, version: u64, at_once: bool) {
    let is_mine = change.row.holder == Some(shared.peers.me);
    let from = if at_once { shared.now() } else { next_order_time(shared) };
    if is_mine {
        let start = match (change.expected_version, at_once) {
            (0, _) => SliceStart::First,
            (_, true) => SliceStart::Restarted(shared.started_at),
            (_, false) => SliceStart::Seized,
        };
        account_slices::begin(shared, &change.key, start);
        shared.set_order_start_time(change.key.clone(), from);
    } else {
        account_slices::end(shared, &change.key);
    }
    if let ClaimKey::Server(server) = &change.key {
        usage_reports::report_to_new_holder(shared, server);
    }
    let outcome = if is_mine { "taken" } else { "handed over" };
    shared.metrics.count(metrics::Step::Claim, outcome);
    info!(shared.log, "claim {outcome}";
        "claim" => change.key.to_string(), "fence" => change.row.fence.0, "version" => version);
}

fn next_order_time(shared: &Shared) -> Instant {
    shared.now() + shared.bounds.borrow().turn + HANDOVER_MARGIN
}

/// The keys of all claims that should exist: one for each runner in the registry, each
/// service and each slice of an account's limit.
fn claim_keys(shared: &Shared) -> Vec<ClaimKey> {
    let Some(declared) = shared.declarations() else { return Vec::new() };
    let engines: Vec<&ServiceName> = declared
        .services
        .iter()
        .filter(|(_, service)| service.engine.is_some())
        .map(|(name, _)| name)
        .collect();
    let fleet = shared.fleet();
    let runners = fleet
        .iter()
        .filter(|(_, server)| engines.contains(&&server.entry.service))
        .map(|(_, server)| ClaimKey::Server(server.entry.name.clone()));
    let pools = declared.services.keys().filter_map(pool_key);
    runners.chain(pools).chain(account_slices::claim_keys(shared)).collect()
}

/// The claim of a service's planner, or of a plain service's queue.
pub fn pool_key(service: &ServiceName) -> Option<ClaimKey> {
    PoolName::try_from(service.as_str()).ok().map(ClaimKey::Pool)
}

/// The fence under which this daemon may send orders to a runner now; `None` if it may
/// not.
pub fn fence(shared: &Shared, server: &ServerName) -> Option<Fence> {
    let key = ClaimKey::Server(server.clone());
    let order_start = shared.order_start_time(&key);
    let membership = shared.membership();
    let (row, _) = membership.claims.get(&key)?;
    let is_mine = row.holder == Some(shared.peers.me);
    let may_order = order_start.is_none_or(|from| shared.now() >= from);
    (is_mine && may_order).then_some(row.fence)
}
