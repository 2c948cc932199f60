//! Charges requests to the limits of callers' accounts, which slices of other daemons keep.
//!
//! A daemon charges the slices whose claims it holds, only while its lease is valid. A claim
//! is taken over only after the former holder's lease has expired, so that no slice is
//! charged twice.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chestnut_account::{
    ChargeId, Choice, HeldSlice, Limit, Slice, SliceChooser, SliceLimit, SliceStart,
    Tolerance, Verdict,
};
use chestnut_base::{
    CallerName, MemberId, Outcome, Refusal, RefusalCode, RequestSpec, Target,
};
use chestnut_config::Catalog;
use chestnut_member::ClaimKey;
use chestnut_wire::{ChargeRequest, PeerRequest, PeerResponse};
use indexmap::IndexMap;

use crate::node::Node;
use crate::shared::Shared;

/// How far a window may exceed a limit while holders change.
const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(10), overshoot: 0.1, slack: 0.0 };

/// How long the holder of a slice may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest retry delay for callers beyond their limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The retry delay for callers while no holder of their account's slices responds.
const SILENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The slices that this daemon holds, and what it knows of the others.
#[derive(Debug, Default)]
pub struct AccountLimits {
    held: Mutex<IndexMap<Slice, HeldSlice>>,
    chooser: Mutex<SliceChooser>,
}

impl AccountLimits {
    fn held(&self) -> MutexGuard<'_, IndexMap<Slice, HeldSlice>> {
        self.held.lock().expect("no holder of the slices panics")
    }

    fn chooser(&self) -> MutexGuard<'_, SliceChooser> {
        self.chooser.lock().expect("no holder of the slices' state panics")
    }
}

/// The claims of all slices of the declared limits.
pub fn claim_keys(catalog: &Catalog) -> Vec<ClaimKey> {
    let limited = catalog
        .callers
        .iter()
        .filter_map(|(name, caller)| Some((name, caller.account.limit.as_ref()?)));
    let slices = limited.flat_map(|(name, limit)| {
        (0..limit.slice_count()).map(|index| ClaimKey::AccountSlice(name.clone(), index))
    });
    slices.collect()
}

/// A charge that was granted.
#[derive(Debug, Clone)]
pub struct Charge {
    id: ChargeId,
    slice: Slice,
    /// The daemon that granted it.
    holder: (MemberId, SocketAddr),
}

/// Charges a request to its caller's limit; `None` if it has none.
pub async fn charge(
    node: &Arc<Node>,
    request: &RequestSpec,
) -> Result<Option<Charge>, Refusal> {
    let catalog = node.shared.catalog();
    let caller = catalog.callers.get(&request.caller);
    let Some(limit) = caller.and_then(|caller| caller.account.limit) else {
        return Ok(None);
    };
    let cost = limit.cost(counted_tokens(request));
    let choose = |first| {
        let now = node.shared.clock.now();
        let count = limit.slice_count();
        node.account_limits.chooser().choose(&request.caller, count, first, now)
    };
    let first = request.digest.0 as u32;
    if let Choice::Ask(slices) = choose(first) {
        for index in slices {
            let slice = Slice { account: request.caller.clone(), index };
            if let Some(charge) = try_slice(node, slice, cost).await {
                return Ok(Some(charge));
            }
        }
    }
    let refusal = match choose(first) {
        Choice::Empty(delay) => beyond_limit(&request.caller, delay),
        Choice::Ask(_) | Choice::Silent => unavailable(),
    };
    Err(Refusal { outcome: outcome(request), ..refusal })
}

/// What is true of a request that is refused now: an earlier one with the same id may have
/// run.
fn outcome(request: &RequestSpec) -> Outcome {
    match (&request.id, request.idempotent) {
        (Some(_), false) => Outcome::InDoubt,
        (Some(_), true) | (None, _) => Outcome::NotRun,
    }
}

/// The tokens that a request counts as; `None` for a plain service.
fn counted_tokens(request: &RequestSpec) -> Option<u64> {
    match request.target {
        Target::Model { .. } => {
            Some(u64::from(request.prompt_tokens) + u64::from(request.max_output_tokens))
        }
        Target::Service { .. } => None,
    }
}

/// Charges a request to one slice; `None` if it is refused or the holder does not respond.
async fn try_slice(node: &Arc<Node>, slice: Slice, cost: f64) -> Option<Charge> {
    let number = node.shared.next_attempt_id().number;
    let id = ChargeId { member: node.shared.me, number };
    let holder = holder(&node.shared, &slice);
    let verdict = match holder {
        Some((member, addr)) => ask(node, (member, addr), id, &slice, cost).await,
        None => None,
    };
    let now = node.shared.clock.now();
    let mut chooser = node.account_limits.chooser();
    match (verdict, holder) {
        (Some(Verdict::Granted), Some(holder)) => Some(Charge { id, slice, holder }),
        (Some(Verdict::Refused { retry_ms, empty_ms }), _) => {
            let millis = |millis: u32| Duration::from_millis(millis.into());
            chooser.record_refusal(slice, millis(empty_ms), millis(retry_ms), now);
            None
        }
        _ => {
            chooser.record_silence(slice, now);
            None
        }
    }
}

fn holder(shared: &Shared, slice: &Slice) -> Option<(MemberId, SocketAddr)> {
    let view = shared.view();
    let key = ClaimKey::AccountSlice(slice.account.clone(), slice.index);
    let (claim, member) = view.holder(&key)?;
    Some((claim.holder, member.peer_addr))
}

async fn ask(
    node: &Arc<Node>,
    (member, addr): (MemberId, SocketAddr),
    id: ChargeId,
    slice: &Slice,
    cost: f64,
) -> Option<Verdict> {
    if member == node.shared.me {
        return Some(charge_held(node, id, slice, cost));
    }
    let request = PeerRequest::Charge(ChargeRequest {
        member: id.member,
        number: id.number,
        slice: slice.clone(),
        cost,
    });
    let response = node.peers.request(addr, &request);
    match tokio::time::timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Ok(PeerResponse::Charged(verdict))) => Some(verdict),
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => None,
    }
}

/// Charges a slice that this daemon holds.
pub fn charge_held(node: &Node, id: ChargeId, slice: &Slice, cost: f64) -> Verdict {
    let shared = &node.shared;
    let now = shared.clock.now();
    let key = ClaimKey::AccountSlice(slice.account.clone(), slice.index);
    let view = shared.view();
    let claim = view.claims.get(&key).filter(|claim| claim.holder == shared.me);
    let (Some(claim), Some(limit)) = (claim, slice_limit(shared, slice)) else {
        node.account_limits.held().swap_remove(slice);
        return Verdict::NotHolder;
    };
    if !shared.is_lease_valid(now) {
        return Verdict::NotHolder;
    }
    let start = if claim.fence.0 <= 1 { SliceStart::First } else { SliceStart::Released };
    let mut held = node.account_limits.held();
    let entry = held.entry(slice.clone());
    let slice = entry.or_insert_with(|| HeldSlice::new(start, &limit, now));
    slice.charge(id, cost, &limit, now)
}

/// Gives back the cost of a charge whose request was not run.
pub fn refund(node: &Arc<Node>, charge: Charge) {
    let Charge { id, slice, holder: (member, addr) } = charge;
    if member == node.shared.me {
        return refund_held(node, id, &slice);
    }
    let node = node.clone();
    tokio::spawn(async move {
        let request = PeerRequest::Refund(ChargeRequest {
            member: id.member,
            number: id.number,
            slice,
            cost: 0.0,
        });
        // A refund that is lost is not repeated: the limit is then used up sooner.
        drop(node.peers.request(addr, &request).await);
    });
}

/// Gives back the cost of a charge to a slice that this daemon holds.
pub fn refund_held(node: &Node, id: ChargeId, slice: &Slice) {
    let Some(limit) = slice_limit(&node.shared, slice) else { return };
    let now = node.shared.clock.now();
    if let Some(held) = node.account_limits.held().get_mut(slice) {
        held.refund(id, &limit, now);
    }
}

fn slice_limit(shared: &Shared, slice: &Slice) -> Option<SliceLimit> {
    let catalog = shared.catalog();
    let limit: Limit = catalog.callers.get(&slice.account)?.account.limit?;
    (slice.index < limit.slice_count()).then(|| limit.slice(&TOLERANCE))
}

fn beyond_limit(caller: &CallerName, delay: Duration) -> Refusal {
    let text = format!(
        "the account {caller} has used up its limit; retry after the given delay"
    );
    Refusal::not_run(RefusalCode::AccountLimit, text)
        .with_retry_after(delay.max(MIN_RETRY_DELAY))
}

fn unavailable() -> Refusal {
    let text = "no daemon can check the account's limit now; retry after the given delay";
    Refusal::not_run(RefusalCode::Unavailable, text).with_retry_after(SILENT_RETRY_DELAY)
}
