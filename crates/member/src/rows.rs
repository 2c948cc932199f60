//! The rows of the platform's table as this daemon has read them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, Fence, MemberId, Revision, ServerName, VmName};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::view::{Claim, ClaimKey, Member, Server, View};

/// A daemon's row, written when it joins and when it leaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// This start of the daemon.
    pub member: MemberId,
    /// The failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where other daemons connect.
    pub peer_addr: SocketAddr,
    /// Where operators connect.
    pub ops_addr: SocketAddr,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// The processor time that the daemon has, in hundredths of a core.
    #[serde(default = "whole_core")]
    pub weight: u32,
}

/// The weight of a daemon that has a core, or whose row does not say.
pub const ONE_CORE_WEIGHT: u32 = 100;

fn whole_core() -> u32 {
    ONE_CORE_WEIGHT
}

/// A daemon's lease, rewritten at each renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// This start of the daemon.
    pub member: MemberId,
    /// The revision in force at the daemon.
    pub revision: Revision,
    /// The time of the renewal by the table's clock, in milliseconds.
    #[serde(skip)]
    pub modified: u64,
}

/// A claim's row.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The holder, or none if it was given up.
    pub holder: Option<MemberId>,
    /// The number of changes of the holder so far.
    pub fence: Fence,
}

/// The rows of the platform's table as this daemon has read them.
#[derive(Debug, Clone, Default)]
pub struct MembershipRows {
    /// Daemons and the versions of their rows.
    pub members: IndexMap<VmName, (MemberRow, u64)>,
    /// Claims and the versions of their rows.
    pub claims: IndexMap<ClaimKey, (ClaimRow, u64)>,
    /// Backend servers.
    pub servers: IndexMap<ServerName, Server>,
    /// Daemons that said themselves that they are leaving, ahead of the table.
    pub leaving: IndexSet<MemberId>,
    /// When each member was first seen.
    first_seen: IndexMap<MemberId, Instant>,
}

impl MembershipRows {
    /// Takes note of who is there, to be called after each read.
    pub fn record_first_seen(&mut self, now: Instant) {
        let present: IndexSet<MemberId> =
            self.members.values().map(|(row, _)| row.member).collect();
        self.first_seen.retain(|member, _| present.contains(member));
        for member in present {
            self.first_seen.entry(member).or_insert(now);
        }
    }

    /// Whether the member has been there for `least`.
    pub fn is_stable(&self, member: MemberId, now: Instant, least: Duration) -> bool {
        let seen = self.first_seen.get(&member);
        seen.is_some_and(|&seen| now.saturating_duration_since(seen) >= least)
    }

    /// The row of this start of the daemon and its version, if it stands.
    pub fn own_row(&self, vm: &VmName, me: MemberId) -> Option<(&MemberRow, u64)> {
        let (row, version) = self.members.get(vm)?;
        (row.member == me).then_some((row, *version))
    }

    /// The row of a start of a daemon, if it stands.
    pub fn member_row(&self, member: MemberId) -> Option<&MemberRow> {
        let mut rows = self.members.values().map(|(row, _)| row);
        rows.find(|row| row.member == member)
    }

    /// Whether the member stands and takes claims.
    pub fn accepts_claims(&self, row: &MemberRow) -> bool {
        !row.leaving && !self.leaving.contains(&row.member)
    }

    /// What the rest of the daemon reads.
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
