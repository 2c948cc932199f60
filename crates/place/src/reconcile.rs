//! The next steps of one runner towards what it is to hold.
//!
//! Load pattern: the wanted placement changes while requests run. Without the
//! order kept here a swap would drop a model's last replica before its
//! replacement is usable, and callers would find no runner.
//!
//! What is wanted is loaded first if it fits. Something is dropped only to make
//! room for what does not fit, or once everything wanted is usable; and only
//! if the caller of [`reconcile`] names runners that hold the same, whose ledger
//! rows the transaction then checks. One asset at a time is drained, so that
//! two versions of a model can't each be dropped because of the other.

use chestnut_base::ServerName;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::asset::Asset;
use crate::ledger::{InsufficientMemory, Ledger, ReservationState};

/// An asset that a runner is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredAsset {
    /// The asset.
    pub asset: Asset,
    /// The memory that it needs, in bytes.
    pub bytes: u64,
}

/// What decides whether an asset may be dropped.
pub struct DropChecks<'a> {
    /// The runners whose ledgers prove that the asset is not the last of its
    /// kind; `None` if it is, an empty list if nobody needs it.
    pub witnesses: &'a dyn Fn(&Ledger, &Asset) -> Option<Vec<ServerName>>,
    /// Whether no request uses the asset any more.
    pub is_idle: &'a dyn Fn(&Asset) -> bool,
}

/// What [`reconcile`] found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReconcileResult {
    /// Runners whose ledger rows must not have changed when this is committed.
    pub witnesses: IndexSet<ServerName>,
    /// What is wanted and does not fit yet.
    pub insufficient_memory: Vec<InsufficientMemory>,
}

/// Changes the ledger by the steps that can be taken now.
///
/// `wanted` lists models before the adapters on top of them, and what matters
/// most first.
pub fn reconcile(
    ledger: &mut Ledger,
    wanted: &[DesiredAsset],
    situation: &DropChecks,
) -> ReconcileResult {
    let mut found = ReconcileResult::default();
    let mut blocking = Vec::new();
    for want in wanted {
        if let Some(other) = namesake(ledger, &want.asset) {
            blocking.push(other);
        } else if let Err(full) = ledger.reserve(&want.asset, want.bytes) {
            found.insufficient_memory.push(full);
        }
    }
    let settled = wanted.iter().all(|want| ledger.is_ready(&want.asset));
    // An asset that is drained now is unloaded in a later step at the earliest:
    // nobody knows yet that it must not be used.
    unload_idle(ledger, situation);
    if settled || !found.insufficient_memory.is_empty() {
        let extra = unwanted(ledger, wanted);
        drain_one(ledger, extra, situation, &mut found);
    } else {
        drain_one(ledger, blocking, situation, &mut found);
    }
    found
}

/// The same adapter on another version, which has to go first: engines know
/// adapters by their name alone.
fn namesake(ledger: &Ledger, asset: &Asset) -> Option<Asset> {
    asset.adapter.as_ref()?;
    let other = ledger.reservations.iter().find(|item| {
        item.asset != *asset
            && item.asset.adapter == asset.adapter
            && item.state != ReservationState::Expiring
    });
    other.map(|item| item.asset.clone())
}

/// What is usable and not wanted.
fn unwanted(ledger: &Ledger, wanted: &[DesiredAsset]) -> Vec<Asset> {
    let is_wanted = |asset: &Asset| wanted.iter().any(|want| want.asset == *asset);
    let items =
        ledger.reservations.iter().filter(|item| item.state == ReservationState::Ready);
    items.map(|item| item.asset.clone()).filter(|asset| !is_wanted(asset)).collect()
}

/// Drains the first of some assets that may be dropped.
fn drain_one(
    ledger: &mut Ledger,
    candidates: Vec<Asset>,
    situation: &DropChecks,
    found: &mut ReconcileResult,
) {
    for asset in candidates.into_iter().filter(|asset| ledger.is_ready(asset)) {
        if let Some(witnesses) = (situation.witnesses)(ledger, &asset) {
            ledger.drain(&asset);
            found.witnesses.extend(witnesses);
            return;
        }
    }
}

fn unload_idle(ledger: &mut Ledger, situation: &DropChecks) {
    let drained: Vec<_> = ledger
        .reservations
        .iter()
        .filter(|item| item.state == ReservationState::Draining)
        .map(|item| item.asset.clone())
        .collect();
    for asset in drained {
        if (situation.is_idle)(&asset) {
            ledger.start_unload(&asset);
        }
    }
}
