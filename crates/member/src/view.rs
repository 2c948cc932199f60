//! What a daemon knows of members, backend servers and claims.

use std::net::SocketAddr;

use chestnut_base::{
    DomainName, Fence, MemberId, PoolName, Revision, ServerName, ServiceName, SlotId,
    VmName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What a daemon knows of members, backend servers and claims.
///
/// It lags behind the platform's table, so that nothing is decided by it alone:
/// whoever receives a request under a claim checks that it still holds it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Daemons whose lease holds.
    pub members: IndexMap<MemberId, Member>,
    /// Backend servers on the platform's list.
    pub servers: IndexMap<ServerName, Server>,
    /// Who leads what.
    pub claims: IndexMap<ClaimKey, Claim>,
}

impl View {
    /// The member that holds a claim, if its lease is known to hold.
    pub fn holder(&self, key: &ClaimKey) -> Option<(Claim, &Member)> {
        let claim = self.claims.get(key)?;
        let member = self.members.get(&claim.holder)?;
        Some((*claim, member))
    }
}

/// A daemon with a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's VM.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where other daemons connect.
    pub peer_addr: SocketAddr,
    /// Where operators connect.
    pub ops_addr: SocketAddr,
    /// Whether the daemon is leaving and takes no new work.
    pub leaving: bool,
    /// The revision in force at the daemon at its last renewal.
    pub revision: Revision,
}

/// A backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// What it serves.
    pub role: ServerRole,
}

/// What a backend server serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ServerRole {
    /// Models of a pool.
    Runner(PoolName),
    /// A plain service.
    Service(ServiceName),
}

/// What a claim is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimKey {
    /// A backend server: its queue, its count in flight, its orders.
    Server(ServerName),
    /// A slot of the journal of non-idempotent requests.
    Slot(SlotId),
    /// The planner of a pool.
    Pool(PoolName),
}

/// A claim as its row says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The daemon that holds it while the daemon's lease holds.
    pub holder: MemberId,
    /// The number of changes of the holder so far.
    pub fence: Fence,
    /// The version of the claim's row; transactions under the claim check it.
    pub version: u64,
}
