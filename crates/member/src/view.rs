//! What a daemon knows of members, backend servers and claims.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;

use chestnut_base::{
    DomainName, Fence, MemberId, PoolName, ServerName, ServiceName, SlotId, VmName,
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
    /// The reader of the platform's list of VMs, who writes it into the table.
    Vms,
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

impl Display for ClaimKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(name) => write!(f, "server:{name}"),
            Self::Slot(slot) => write!(f, "slot:{}", slot.0),
            Self::Pool(name) => write!(f, "pool:{name}"),
            Self::Vms => write!(f, "vms:list"),
        }
    }
}

/// A key of the claims' table that names no claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKeyError(String);

impl Display for ClaimKeyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} names no claim; remove the row or run the same version", self.0)
    }
}

impl std::error::Error for ClaimKeyError {}

impl FromStr for ClaimKey {
    type Err = ClaimKeyError;

    fn from_str(text: &str) -> Result<Self, ClaimKeyError> {
        let fail = || ClaimKeyError(text.to_owned());
        let (kind, name) = text.split_once(':').ok_or_else(fail)?;
        match kind {
            "server" => ServerName::try_from(name).map(Self::Server).map_err(|_| fail()),
            "slot" => name.parse().map(|n| Self::Slot(SlotId(n))).map_err(|_| fail()),
            "pool" => PoolName::try_from(name).map(Self::Pool).map_err(|_| fail()),
            "vms" => Ok(Self::Vms),
            _ => Err(fail()),
        }
    }
}
