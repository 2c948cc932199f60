//! The slices of client accounts' limits that this daemon holds.
//!
//! A slice is held under a claim. Unlike an engine, nobody checks a fence when a request is
//! charged, so that a holder's right to charge ends by itself; see
//! [`chestnut_account::slice`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_account::{ChargeId, HeldSlice, Slice, SliceLimit, SliceStart, Verdict};
use chestnut_member::ClaimKey;
use indexmap::IndexMap;
use slog::info;

use crate::shared::Shared;

/// How long a handover whose result is unknown keeps a slice from being charged.
///
/// By then the daemon has read the claim again.
const HANDOVER_TIME: Duration = Duration::from_millis(2000);

/// The slices whose claims this daemon holds.
#[derive(Debug, Default)]
pub struct AccountSlices {
    held: IndexMap<Slice, HeldEntry>,
}

#[derive(Debug)]
struct HeldEntry {
    slice: HeldSlice,
    /// When the daemon began to hand the claim over; `None` while it doesn't.
    surrendered_at: Option<Instant>,
}

/// The slice that a claim covers.
fn slice_of(key: &ClaimKey) -> Option<Slice> {
    match key {
        ClaimKey::AccountSlice(account, index) => {
            Some(Slice { account: account.clone(), index: *index })
        }
        ClaimKey::Server(_) | ClaimKey::Slot(_) | ClaimKey::Pool(_) | ClaimKey::Vms => {
            None
        }
    }
}

/// The claims of all slices of the declared limits.
pub fn claim_keys(shared: &Shared) -> Vec<ClaimKey> {
    let Some(declared) = shared.declarations() else { return Vec::new() };
    let accounts = declared.accounts.iter().flat_map(|accounts| accounts.iter());
    let limited =
        accounts.filter_map(|(name, account)| Some((name, account.limit.as_ref()?)));
    let slices = limited.flat_map(|(name, limit)| {
        (0..limit.slice_count()).map(|index| ClaimKey::AccountSlice(name.clone(), index))
    });
    slices.collect()
}

/// Starts to hold a slice, if the claim is of one.
///
/// The daemon may read its own row before it learns that its commit succeeded. From the row
/// alone it can't tell whether the former holder still runs; the commit can.
pub fn begin(shared: &Shared, key: &ClaimKey, start: SliceStart) {
    let Some(slice) = slice_of(key) else { return };
    let now = shared.now();
    let Some(limit) = slice_limit(shared, &slice) else { return };
    let mut slices = shared.account_slices();
    let held = slices.held.get(&slice);
    let is_settled = |entry: &HeldEntry| entry.slice.is_exclusive(now);
    if held.is_some_and(|entry| is_settled(entry) || start == SliceStart::Seized) {
        return;
    }
    info!(shared.log, "account slice held"; "claim" => key.to_string(),
        "start" => format!("{start:?}"), "rate" => limit.rate as u64);
    let held = HeldSlice::new(start, &limit, now);
    slices.held.insert(slice, HeldEntry { slice: held, surrendered_at: None });
}

/// Stops holding a slice, if the claim is of one.
pub fn end(shared: &Shared, key: &ClaimKey) {
    if let Some(slice) = slice_of(key) {
        shared.account_slices().held.swap_remove(&slice);
    }
}

/// Stops charging a slice before its claim is handed over; returns whether the receiver may
/// charge it at once.
pub fn surrender(shared: &Shared, key: &ClaimKey) -> bool {
    let now = shared.now();
    let Some(slice) = slice_of(key) else { return true };
    let mut slices = shared.account_slices();
    let Some(entry) = slices.held.get_mut(&slice) else { return false };
    entry.surrendered_at = Some(now);
    entry.slice.is_exclusive(now)
}

/// Charges a slice again whose handover did not take place.
pub fn resume(shared: &Shared, key: &ClaimKey) {
    let Some(slice) = slice_of(key) else { return };
    if let Some(entry) = shared.account_slices().held.get_mut(&slice) {
        entry.surrendered_at = None;
    }
}

/// Charges a request to a slice.
pub fn charge(shared: &Arc<Shared>, id: ChargeId, slice: &Slice, cost: f64) -> Verdict {
    let now = shared.now();
    if shared.is_resuming() || !may_grant(shared) {
        return Verdict::NotHolder;
    }
    let Some(limit) = slice_limit(shared, slice) else { return Verdict::NotHolder };
    begin_missed(shared, slice);
    let mut slices = shared.account_slices();
    let entry = slices.held.get_mut(slice).filter(|entry| {
        let is_handed_over =
            |at: Instant| now.saturating_duration_since(at) < HANDOVER_TIME;
        !entry.surrendered_at.is_some_and(is_handed_over)
    });
    match entry {
        Some(entry) => entry.slice.charge(id, cost, &limit, now),
        None => Verdict::NotHolder,
    }
}

/// Starts to hold a slice whose claim this daemon got before it knew the account.
fn begin_missed(shared: &Shared, slice: &Slice) {
    if shared.account_slices().held.contains_key(slice) {
        return;
    }
    let key = ClaimKey::AccountSlice(slice.account.clone(), slice.index);
    let claim = shared.membership().claims.get(&key).map(|(row, _)| row.holder);
    if claim == Some(Some(shared.peers.me)) {
        begin(shared, &key, SliceStart::Seized);
    }
}

/// Gives the cost of a charge back.
pub fn refund(shared: &Shared, id: ChargeId, slice: &Slice) {
    let now = shared.now();
    let Some(limit) = slice_limit(shared, slice) else { return };
    if let Some(entry) = shared.account_slices().held.get_mut(slice) {
        entry.slice.refund(id, &limit, now);
    }
}

/// Whether this daemon's claims are confirmed recently enough to charge slices.
fn may_grant(shared: &Shared) -> bool {
    chestnut_account::may_grant(shared.tables.system.age(shared.now()))
}

/// The limit of a slice by the declarations in force; `None` if they have no such slice.
fn slice_limit(shared: &Shared, slice: &Slice) -> Option<SliceLimit> {
    let declared = shared.declarations()?;
    let account = declared.accounts.as_ref()?.find(&slice.account)?;
    let limit = account.limit.filter(|limit| slice.index < limit.slice_count())?;
    Some(limit.slice(&shared.bounds.borrow().tolerance()))
}

/// What each held slice has left, by its claim; for the daemon's state.
pub fn balances(shared: &Shared) -> IndexMap<String, i64> {
    let slices = shared.account_slices();
    let balance = |(slice, entry): (&Slice, &HeldEntry)| {
        let key = ClaimKey::AccountSlice(slice.account.clone(), slice.index);
        (key.to_string(), entry.slice.balance() as i64)
    };
    slices.held.iter().map(balance).collect()
}
