//! Assignment of claims to daemons.
//!
//! A member joins, leaves or fails every 25 seconds at full scale, and during a rolling
//! restart one after the other. All daemons rank the members for each claim by rendezvous
//! hashing, so that they agree without communicating and a change of one member moves
//! only its share of the claims. A claim stays with its holder until the holder leaves or
//! fails, or until the member with the highest rank has been present for
//! [`STABLE_AFTER`]. Without this delay, a daemon that keeps crashing soon after its
//! start would each time make its share of the backend servers unavailable until its
//! lease expires.
//!
//! Orders to a backend server come from the holder of its claim alone. A holder that can't
//! connect to the server, though others can, hands the claim over at once.
//!
//! VMs differ fourfold in CPU. The claim of a backend server is assigned in proportion to
//! CPU. The claim of a whole service, whose holder is involved in every request, goes to
//! one of the largest VMs: with equal shares, the queue of a plain service ran on an
//! eighth of a core and left half of its queries unanswered under full load.

use std::time::{Duration, Instant};

use chestnut_base::id::{rendezvous_rank, weighted_rendezvous_rank};
use chestnut_base::{Fence, MemberId, VmName};
use indexmap::IndexMap;

use crate::rows::{ClaimRow, MemberRow, MembershipRows};
use crate::view::ClaimKey;

/// How long a member must have been present before claims are handed over to it.
///
/// Longer than a lease, so that a crash right after the start is detected first.
pub const STABLE_AFTER: Duration = Duration::from_secs(10);

/// The maximum number of claims that a holder hands over in one plan for rebalancing.
///
/// Each handover interrupts the queue of a backend server for some milliseconds; a few at
/// a time leave the other queues undisturbed.
const MAX_HANDOVERS: usize = 4;

/// The changes of claims that a daemon should commit.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClaimPlan {
    /// Each may be committed alone or in one transaction with others.
    pub changes: Vec<ClaimChange>,
}

/// A change of the holder of a claim.
///
/// A transaction needs to check only the row's version: of two daemons that take the same
/// claim only one finds it unchanged, and the transactions of a former holder that
/// resumes fail on it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimChange {
    /// The claim whose holder changes.
    pub key: ClaimKey,
    /// The version that the claim's row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The row to write.
    pub row: ClaimRow,
}

/// Decides which of the claims `keys` the daemon `me` on `vm` takes, hands over or
/// releases.
///
/// The plan is empty if the daemon is not a member.
pub fn plan_claims(
    rows: &MembershipRows,
    vm: &VmName,
    me: MemberId,
    keys: &[ClaimKey],
    now: Instant,
) -> ClaimPlan {
    let Some((own_row, _)) = rows.own_row(vm, me) else {
        return ClaimPlan::default();
    };
    let eligible: Vec<(&VmName, &MemberRow)> = rows
        .members
        .iter()
        .filter(|(_, (row, _))| rows.accepts_claims(row))
        .map(|(vm, (row, _))| (vm, row))
        .collect();
    let alive: IndexMap<MemberId, ()> =
        rows.members.values().map(|(row, _)| (row.member, ())).collect();
    let is_stable = |member: &MemberId| rows.is_stable(*member, now, STABLE_AFTER);
    let mut handovers_left = MAX_HANDOVERS;

    let mut changes = Vec::new();
    for key in keys {
        let current = rows.claims.get(key);
        let version = current.map_or(0, |(_, version)| *version);
        let last_fence = current.map_or(0, |(row, _)| row.fence.0);
        let holder = current.and_then(|(row, _)| row.holder);
        // Ranking all members is expensive: it is skipped for the many claims that
        // another live member holds.
        if holder.is_some_and(|holder| holder != me && alive.contains_key(&holder)) {
            continue;
        }
        let assignee = assignee(key, &eligible);
        let must_leave = !rows.accepts_claim(own_row, key);
        let new_holder = if holder == Some(me) {
            let other = assignee.filter(|&assignee| assignee != me);
            if must_leave && (other.is_some() || !rows.accepts_claims(own_row)) {
                other
            } else if handovers_left > 0 && other.as_ref().is_some_and(is_stable) {
                handovers_left -= 1;
                other
            } else {
                continue;
            }
        } else if assignee == Some(me) {
            assignee
        } else {
            continue;
        };
        let row = ClaimRow {
            holder: new_holder,
            fence: Fence(last_fence.saturating_add(1)),
            handed_over: holder == Some(me),
        };
        changes.push(ClaimChange { key: key.clone(), expected_version: version, row });
    }
    ClaimPlan { changes }
}

/// The member of the highest rank for a claim; `None` if no member can use it.
fn assignee(key: &ClaimKey, eligible: &[(&VmName, &MemberRow)]) -> Option<MemberId> {
    let name = key.to_string();
    let rank = |vm: &VmName, row: &MemberRow| match key {
        ClaimKey::Pool(_) => (row.weight, rendezvous_rank(&name, vm.as_str()) as f64),
        ClaimKey::Server(_)
        | ClaimKey::Slot(_)
        | ClaimKey::Vms
        | ClaimKey::AccountSlice(..) => {
            (0, weighted_rendezvous_rank(&name, vm.as_str(), row.weight))
        }
    };
    let usable = eligible.iter().filter(|(_, row)| row.can_use(key));
    let ranked = usable.map(|(vm, row)| (rank(vm, row), *vm, row.member));
    let highest = ranked.max_by(|((weight, score), vm, _), (other, other_vm, _)| {
        let (other_weight, other_score) = other;
        weight.cmp(other_weight).then(score.total_cmp(other_score)).then(vm.cmp(other_vm))
    });
    highest.map(|(_, _, member)| member)
}
