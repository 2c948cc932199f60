//! Which claims a daemon takes, hands over or gives up.
//!
//! Load pattern: a member joins, leaves or dies every 25 seconds at full size,
//! and at a rolling restart one after the other. All daemons rank the members
//! for each claim by rendezvous hashing, so that they agree without talking and
//! one member's change moves only that member's share. A claim that has a holder
//! stays with it until the holder leaves or dies, or until the member that it
//! falls to has been there for [`STABLE_AFTER`]: without the pause a daemon that dies
//! again and again soon after its start would each time take its share of the
//! backend servers down with it until its lease lapses.
//!
//! VMs differ fourfold in their processors. A claim of a backend server falls to one in
//! proportion; that of a whole service, whose holder hears of every request, to one of
//! the largest. Shared evenly, the queue of a plain service stood on an eighth of a core
//! and left half of the questions unanswered under full load.

use std::time::{Duration, Instant};

use chestnut_base::id::{rendezvous_rank, weighted_rendezvous_rank};
use chestnut_base::{Fence, MemberId, VmName};
use indexmap::IndexMap;

use crate::rows::{ClaimRow, MemberRow, MembershipRows};
use crate::view::ClaimKey;

/// How long a member must have been known before claims are handed to it.
///
/// Longer than a lease, so that one that died right after its start is noticed.
pub const STABLE_AFTER: Duration = Duration::from_secs(10);

/// The greatest number of claims that a holder hands over at a tick.
///
/// Each interrupts the queue of a backend server for some milliseconds; a few at
/// a time leave the others undisturbed.
const BALANCE_STEPS: usize = 4;

/// What to do about the claims.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClaimPlan {
    /// The steps, each of which is a transaction of its own or part of one.
    pub changes: Vec<ClaimChange>,
}

/// What to do about a claim.
///
/// The check of the row's version is all that a transaction needs: two daemons
/// that take the same claim can't both find the version, and a former holder
/// that comes back finds that its own transactions fail on it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimChange {
    /// The claim.
    pub key: ClaimKey,
    /// The version that the claim's row must still have; 0 if it must not exist.
    pub expected_version: u64,
    /// The new row.
    pub row: ClaimRow,
}

/// Decides what a daemon does about the claims on `keys`.
pub fn plan_claims(
    known: &MembershipRows,
    vm: &VmName,
    me: MemberId,
    keys: &[ClaimKey],
    now: Instant,
) -> ClaimPlan {
    let Some((own, _)) = known.own_row(vm, me) else {
        return ClaimPlan::default();
    };
    let able: Vec<(&VmName, &MemberRow)> = known
        .members
        .iter()
        .filter(|(_, (row, _))| known.accepts_claims(row))
        .map(|(vm, (row, _))| (vm, row))
        .collect();
    let alive: IndexMap<MemberId, ()> =
        known.members.values().map(|(row, _)| (row.member, ())).collect();
    let stable = |member: &MemberId| known.is_stable(*member, now, STABLE_AFTER);
    let mut spare = BALANCE_STEPS;
    let leaving = !known.accepts_claims(own);

    let mut steps = Vec::new();
    for key in keys {
        let current = known.claims.get(key);
        let version = current.map_or(0, |(_, version)| *version);
        let last = current.map_or(0, |(row, _)| row.fence.0);
        let holder = current.and_then(|(row, _)| row.holder);
        // Ranking all members is the expensive part: it is left out for the many
        // claims that are in living hands other than the own.
        if holder.is_some_and(|holder| holder != me && alive.contains_key(&holder)) {
            continue;
        }
        let winner = winner(key, &able);
        let next = if holder == Some(me) {
            let away = winner.filter(|&winner| winner != me);
            if leaving {
                away
            } else if spare > 0 && away.as_ref().is_some_and(stable) {
                spare -= 1;
                away
            } else {
                continue;
            }
        } else if winner == Some(me) {
            winner
        } else {
            continue;
        };
        let row = ClaimRow { holder: next, fence: Fence(last + 1) };
        steps.push(ClaimChange { key: key.clone(), expected_version: version, row });
    }
    ClaimPlan { changes: steps }
}

/// The member that a claim falls to if it has no holder.
fn winner(key: &ClaimKey, able: &[(&VmName, &MemberRow)]) -> Option<MemberId> {
    let name = key.to_string();
    let rank = |vm: &VmName, row: &MemberRow| match key {
        ClaimKey::Pool(_) => (row.weight, rendezvous_rank(&name, vm.as_str()) as f64),
        ClaimKey::Server(_) | ClaimKey::Slot(_) | ClaimKey::Vms => {
            (0, weighted_rendezvous_rank(&name, vm.as_str(), row.weight))
        }
    };
    let ranked = able.iter().map(|(vm, row)| (rank(vm, row), *vm, row.member));
    let best = ranked.max_by(|((weight, score), vm, _), (other, other_vm, _)| {
        let (other_weight, other_score) = other;
        weight.cmp(other_weight).then(score.total_cmp(other_score)).then(vm.cmp(other_vm))
    });
    best.map(|(_, _, member)| member)
}
