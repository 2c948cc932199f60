//! Rows of the platform's table as this daemon has read them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, Fence, MemberId, Revision, ServerName, VmName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::view::{Claim, ClaimKey, Member, Server, View};

/// A daemon's row, written when the daemon joins and when it starts to leave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Identifies the incarnation of the daemon that wrote the row.
    pub member: MemberId,
    /// The failure domain of its VM.
    pub domain: DomainName,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for other daemons.
    pub peer_addr: SocketAddr,
    /// The address for operators.
    pub ops_addr: SocketAddr,
    /// Whether the daemon is leaving and takes no new claims.
    pub leaving: bool,
    /// The CPU time that the daemon can use, in hundredths of a core.
    #[serde(default = "whole_core")]
    pub weight: u32,
    /// Backend servers that the daemon can't connect to though others can, in order; it takes
    /// none of their claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<ServerName>,
}

impl MemberRow {
    /// Whether the daemon can use a claim.
    pub(crate) fn can_use(&self, key: &ClaimKey) -> bool {
        match key {
            ClaimKey::Server(server) => !self.unreachable.contains(server),
            ClaimKey::Slot(_)
            | ClaimKey::Pool(_)
            | ClaimKey::Vms
            | ClaimKey::AccountSlice(..) => true,
        }
    }
}

/// The weight of a daemon that has one core, or whose row lacks a weight.
pub const ONE_CORE_WEIGHT: u32 = 100;

fn whole_core() -> u32 {
    ONE_CORE_WEIGHT
}

/// A daemon's lease, written at each renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Identifies the incarnation of the daemon that renewed the lease.
    pub member: MemberId,
    /// The configuration revision in force at the daemon.
    pub revision: Revision,
    /// The time of the renewal by the table's clock, in milliseconds; not stored in the
    /// row.
    #[serde(skip)]
    pub modified: u64,
}

/// The row of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The holder; `None` if the claim was released.
    pub holder: Option<MemberId>,
    /// The number of changes of the holder so far.
    pub fence: Fence,
    /// Whether the former holder handed the claim over, and had stopped using it before.
    #[serde(default)]
    pub handed_over: bool,
}

/// The rows of the platform's table as this daemon has read them.
///
/// They lag behind the table.
#[derive(Debug, Clone, Default)]
pub struct MembershipRows {
    /// Rows of daemons with their versions.
    pub members: IndexMap<VmName, (MemberRow, u64)>,
    /// Rows of claims with their versions.
    pub claims: IndexMap<ClaimKey, (ClaimRow, u64)>,
    /// Backend servers on the platform's list.
    pub servers: IndexMap<ServerName, Server>,
    /// Daemons that have announced that they are leaving; their rows may not show it yet.
    pub leaving: IndexSet<MemberId>,
    /// When each member was first observed by this daemon.
    first_seen: IndexMap<MemberId, Instant>,
}

impl MembershipRows {
    /// Records when members were first observed; to be called after each read.
    pub fn record_first_seen(&mut self, now: Instant) {
        let present: IndexSet<MemberId> =
            self.members.values().map(|(row, _)| row.member).collect();
        self.first_seen.retain(|member, _| present.contains(member));
        for member in present {
            self.first_seen.entry(member).or_insert(now);
        }
    }

    /// Whether the member was first observed at least `min_age` ago.
    pub fn is_stable(&self, member: MemberId, now: Instant, min_age: Duration) -> bool {
        let first_seen = self.first_seen.get(&member);
        first_seen.is_some_and(|&at| now.saturating_duration_since(at) >= min_age)
    }

    /// The row of this daemon and its version; `None` if it was removed or written by
    /// another incarnation.
    pub fn own_row(&self, vm: &VmName, me: MemberId) -> Option<(&MemberRow, u64)> {
        let (row, version) = self.members.get(vm)?;
        (row.member == me).then_some((row, *version))
    }

    /// The row of a member; `None` if it was removed.
    pub fn member_row(&self, member: MemberId) -> Option<&MemberRow> {
        let mut rows = self.members.values().map(|(row, _)| row);
        rows.find(|row| row.member == member)
    }

    /// Whether the member may take claims, which it may not while it is leaving.
    pub fn accepts_claims(&self, row: &MemberRow) -> bool {
        !row.leaving && !self.leaving.contains(&row.member)
    }

    /// Whether the member may take or keep a claim.
    pub fn accepts_claim(&self, row: &MemberRow, key: &ClaimKey) -> bool {
        self.accepts_claims(row) && row.can_use(key)
    }

    /// Creates the view that the rest of the daemon reads.
    pub fn view(&self) -> View {
        let members = self.members.iter().map(|(vm, (row, _))| {
            let member = Member {
                vm: vm.clone(),
                domain: row.domain.clone(),
                caller_addr: row.caller_addr,
                peer_addr: row.peer_addr,
                ops_addr: row.ops_addr,
                leaving: !self.accepts_claims(row),
            };
            (row.member, member)
        });
        let claims = self.claims.iter().filter_map(|(key, (row, version))| {
            let holder = row.holder?;
            Some((key.clone(), Claim { holder, fence: row.fence, version: *version }))
        });
        View {
            members: members.collect(),
            claims: claims.collect(),
            servers: self.servers.clone(),
        }
    }
}
