//! Which daemon gives a runner its orders, and which plans for a service.
//!
//! A claim is a row that names holder and fence. It is taken in a transaction that
//! checks the row's version, and only once the former holder's own row is gone;
//! engines refuse orders with an older fence.

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{Fence, PoolName, ServerName, ServiceName};
use chestnut_edge::{Change, Transaction, TransactionOutcome};
use chestnut_member::{ClaimChange, ClaimKey, ClaimRow, plan_claims};
use slog::{info, warn};

use crate::shared::Shared;
use crate::table_sync::{self, ChangeHandler, SYSTEM_TABLE};
use crate::{holder, metrics, queue, store};

/// How keys of claims' rows begin; the claim follows.
pub const KEY_PREFIX: &str = "claim:";

/// How long a daemon waits after its start before it takes claims that nobody holds.
///
/// All daemons start at the same moment; the first one would take everything and
/// hand most of it over again.
const GATHER: Duration = Duration::from_millis(1500);

/// What is added to the time between orders of two holders.
///
/// For orders of the former holder that were on their way when its claim was taken.
const TURN_MARGIN: Duration = Duration::from_millis(500);

/// Takes in the table of claims.
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
                warn!(shared.log, "claim refused"; "key" => &change.key,
                    "error" => error.to_string());
                None
            }
        };
        let before = take(shared, key.clone(), row, change.version);
        let me = Some(shared.peers.me);
        let holder = row.and_then(|row| row.holder);
        let (was, is) = (before == me, holder == me);
        if holder != before && before.is_some() {
            // Another VM gives the orders from now on.
            shared.set_order_start_time(key, turn_from(shared));
        }
        if was && !is {
            shared.metrics.count(metrics::Step::Claim, "lost");
            info!(shared.log, "claim lost"; "claim" => &change.key,
                "version" => change.version);
        }
    }

    fn on_batch_end(&mut self) {
        self.0.system_table_loaded.send_replace(true);
        holder::sync_claims(&self.0);
        queue::follow_claims(&self.0);
    }
}

/// Notes a claim's row; returns its holder before.
fn take(
    shared: &Shared,
    key: ClaimKey,
    row: Option<ClaimRow>,
    version: u64,
) -> Option<chestnut_base::MemberId> {
    let mut known = shared.membership();
    match row {
        Some(row) => {
            let newer = |(_, old): &&(ClaimRow, u64)| *old < version;
            let before = known.claims.get(&key).copied();
            if before.as_ref().is_none_or(|old| newer(&old)) {
                known.claims.insert(key, (row, version));
            }
            before.and_then(|(row, _)| row.holder)
        }
        None => known.claims.swap_remove(&key).and_then(|(row, _)| row.holder),
    }
}

/// Takes, hands over and gives up claims.
pub async fn update_claims(shared: &Arc<Shared>) {
    let read = *shared.system_table_loaded.borrow();
    let gathered = shared.uptime() >= GATHER || shared.is_restart();
    if !read || !gathered {
        return;
    }
    let keys = keys(shared);
    let steps = {
        let known = shared.membership();
        plan_claims(&known, &shared.settings.vm, shared.peers.me, &keys, shared.now())
            .changes
    };
    if steps.is_empty() {
        return;
    }
    let fresh: Vec<bool> = steps.iter().map(|step| is_fresh(shared, step)).collect();
    let commit = steps.iter().fold(Transaction::default(), add);
    match store::commit(shared, &commit).await {
        Ok(TransactionOutcome::Done { version }) => {
            table_sync::record_own_writes(shared, &commit, version);
            for (step, fresh) in steps.into_iter().zip(fresh) {
                took(shared, step, version, fresh);
            }
            holder::sync_claims(shared);
            queue::follow_claims(shared);
        }
        Ok(TransactionOutcome::Conflict) => {
            info!(shared.log, "claims changed meanwhile"; "steps" => steps.len());
        }
        Ok(TransactionOutcome::Refused) => {}
        Err(fault) => warn!(shared.log, "claims not taken"; "error" => fault.to_string()),
    }
}

fn add(commit: Transaction, step: &ClaimChange) -> Transaction {
    let key = format!("{KEY_PREFIX}{}", step.key);
    // Claims are plain structs, which always serialize.
    let value = serde_json::to_vec(&step.row).unwrap_or_default();
    commit.require_version(SYSTEM_TABLE, &key, step.expected_version).put(
        SYSTEM_TABLE,
        &key,
        value,
    )
}

/// Whether no other VM can have given orders under the claim lately.
fn is_fresh(shared: &Shared, step: &ClaimChange) -> bool {
    let known = shared.membership();
    let holder = known.claims.get(&step.key).and_then(|(row, _)| row.holder);
    // An earlier process on this VM is the same holder to the engine.
    step.expected_version == 0
        || holder.is_some() && holder == shared.previous_incarnation()
}

fn took(shared: &Shared, step: ClaimChange, version: u64, fresh: bool) {
    take(shared, step.key.clone(), Some(step.row), version);
    let mine = step.row.holder == Some(shared.peers.me);
    let from = if fresh { shared.now() } else { turn_from(shared) };
    if mine {
        shared.set_order_start_time(step.key.clone(), from);
    }
    let outcome = if mine { "taken" } else { "handed over" };
    shared.metrics.count(metrics::Step::Claim, outcome);
    info!(shared.log, "claim {outcome}";
        "claim" => step.key.to_string(), "fence" => step.row.fence.0, "version" => version);
}

fn turn_from(shared: &Shared) -> Instant {
    shared.now() + shared.bounds.borrow().turn + TURN_MARGIN
}

/// Everything that is claimed: runners that are listed, and all services, for their
/// planners or their queues.
fn keys(shared: &Shared) -> Vec<ClaimKey> {
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
    runners.chain(pools).collect()
}

/// The claim of a service's planner, or of a plain service's queue.
pub fn pool_key(service: &ServiceName) -> Option<ClaimKey> {
    PoolName::try_from(service.as_str()).ok().map(ClaimKey::Pool)
}

/// The fence under which this daemon may give a runner orders now.
pub fn fence(shared: &Shared, server: &ServerName) -> Option<Fence> {
    let key = ClaimKey::Server(server.clone());
    let turn = shared.order_start_time(&key);
    let known = shared.membership();
    let (row, _) = known.claims.get(&key)?;
    let mine = row.holder == Some(shared.peers.me);
    let open = turn.is_none_or(|from| shared.now() >= from);
    (mine && open).then_some(row.fence)
}
