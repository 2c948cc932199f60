//! Reconciliation of one runner's ledger with the assets that the plan assigns to it.
//!
//! The desired placement changes while requests run. Without the order of steps below,
//! a swap would drop a model's last replica before its replacement is usable, and
//! callers would find no runner.
//!
//! Desired assets are loaded first if they fit. An asset is dropped only to make room
//! for one that does not fit, or once all desired assets are usable; and only if the
//! caller of [`reconcile`] names other runners that hold a replacement, whose ledger rows
//! the transaction then checks. One asset is drained at a time, so that two versions of
//! a model can't each be dropped because of the other.

use chestnut_base::ServerName;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::asset::Asset;
use crate::ledger::{InsufficientMemory, Ledger, ReservationState};

/// An asset that a runner should hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredAsset {
    /// The model or adapter.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub bytes: u64,
}

/// Checks that decide whether an asset may be dropped.
pub struct DropChecks<'a> {
    /// Returns the runners whose ledgers prove that the asset is not the last of its
    /// kind; `None` if it is the last one, an empty list if no other runner has to hold
    /// it.
    pub witnesses: &'a dyn Fn(&Ledger, &Asset) -> Option<Vec<ServerName>>,
    /// Returns whether no request uses the asset any more.
    pub is_idle: &'a dyn Fn(&Asset) -> bool,
}

/// Conditions and shortages that [`reconcile`] found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReconcileResult {
    /// Runners whose ledger rows must be unchanged when the new ledger is committed.
    pub witnesses: IndexSet<ServerName>,
    /// Desired assets that do not fit yet.
    pub insufficient_memory: Vec<InsufficientMemory>,
}

/// Applies to the ledger the steps that can be taken now.
///
/// `desired` lists models before the adapters on top of them, and otherwise the most
/// important assets first.
pub fn reconcile(
    ledger: &mut Ledger,
    desired: &[DesiredAsset],
    checks: &DropChecks,
) -> ReconcileResult {
    let mut result = ReconcileResult::default();
    let mut conflicting = Vec::new();
    for item in desired {
        if let Some(other) = same_adapter_elsewhere(ledger, &item.asset) {
            conflicting.push(other);
        } else if let Err(error) = ledger.reserve(&item.asset, item.bytes) {
            result.insufficient_memory.push(error);
        }
    }
    let all_ready = desired.iter().all(|item| ledger.is_ready(&item.asset));
    // Unloading comes before draining: an asset that is drained in this call is unloaded
    // in a later one at the earliest, since entries may still route requests to it.
    unload_idle(ledger, checks);
    if all_ready || !result.insufficient_memory.is_empty() {
        let undesired = undesired_assets(ledger, desired);
        drain_one(ledger, undesired, checks, &mut result);
    } else {
        drain_one(ledger, conflicting, checks, &mut result);
    }
    result
}

/// The same adapter on another model version, which has to be unloaded first: engines
/// identify adapters by their name alone.
fn same_adapter_elsewhere(ledger: &Ledger, asset: &Asset) -> Option<Asset> {
    asset.adapter.as_ref()?;
    let other = ledger.reservations.iter().find(|held| {
        held.asset != *asset
            && held.asset.adapter == asset.adapter
            && held.state != ReservationState::Expiring
    });
    other.map(|held| held.asset.clone())
}

/// Assets that are usable and not desired.
fn undesired_assets(ledger: &Ledger, desired: &[DesiredAsset]) -> Vec<Asset> {
    let is_desired = |asset: &Asset| desired.iter().any(|item| item.asset == *asset);
    let ready =
        ledger.reservations.iter().filter(|held| held.state == ReservationState::Ready);
    ready.map(|held| held.asset.clone()).filter(|asset| !is_desired(asset)).collect()
}

/// Drains the first candidate that may be dropped.
fn drain_one(
    ledger: &mut Ledger,
    candidates: Vec<Asset>,
    checks: &DropChecks,
    result: &mut ReconcileResult,
) {
    for asset in candidates.into_iter().filter(|asset| ledger.is_ready(asset)) {
        if let Some(witnesses) = (checks.witnesses)(ledger, &asset) {
            ledger.drain(&asset);
            result.witnesses.extend(witnesses);
            return;
        }
    }
}

fn unload_idle(ledger: &mut Ledger, checks: &DropChecks) {
    let draining: Vec<_> = ledger
        .reservations
        .iter()
        .filter(|held| held.state == ReservationState::Draining)
        .map(|held| held.asset.clone())
        .collect();
    for asset in draining {
        if (checks.is_idle)(&asset) {
            ledger.start_unload(&asset);
        }
    }
}
