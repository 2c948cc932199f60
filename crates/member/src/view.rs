//! A daemon's view of members, backend servers and claims.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;

use chestnut_base::{
    CallerName, DomainName, Fence, MemberId, PoolName, ServerName, ServiceName, SlotId,
    VmName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A daemon's view of members, backend servers and claims.
///
/// It lags behind the platform's table, so no decision relies on it alone: a daemon that
/// receives a request under a claim checks that it still holds the claim.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Daemons whose lease has not been found expired.
    pub members: IndexMap<MemberId, Member>,
    /// Backend servers on the platform's list.
    pub servers: IndexMap<ServerName, Server>,
    /// Claims that have a holder.
    pub claims: IndexMap<ClaimKey, Claim>,
}

impl View {
    /// The claim and the member that holds it; `None` if no member does.
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
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for other daemons.
    pub peer_addr: SocketAddr,
    /// The address for operators.
    pub ops_addr: SocketAddr,
    /// Whether the daemon is leaving and takes no new work.
    pub leaving: bool,
}

/// A backend server on the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain of its machine.
    pub domain: DomainName,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Whether it is a runner of a pool or serves a plain service.
    pub role: ServerRole,
}

/// The role of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ServerRole {
    /// Runs models of a pool.
    Runner(PoolName),
    /// Serves a plain service.
    Service(ServiceName),
}

/// The resource that a claim covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimKey {
    /// A backend server: its queue, its number of requests in flight and its orders.
    Server(ServerName),
    /// A slot of the journal of non-idempotent requests.
    Slot(SlotId),
    /// The planner of a pool, or the queue of a plain service of that name.
    Pool(PoolName),
    /// The platform's list of VMs, which the holder reads and writes into the table.
    Vms,
    /// A slice of a client account's limit, by its index: the charges to it.
    AccountSlice(CallerName, u32),
}

/// A claim that has a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The daemon that holds it as long as the daemon's lease is valid.
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
            Self::AccountSlice(name, index) => write!(f, "account:{name}/{index}"),
        }
    }
}

/// A row key in the claims table that is not a valid [`ClaimKey`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKeyError(String);

impl Display for ClaimKeyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a claim key; remove the row or run the version that wrote it",
            self.0
        )
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
            "account" => {
                let (name, index) = name.rsplit_once('/').ok_or_else(fail)?;
                let name = CallerName::try_from(name).map_err(|_| fail())?;
                Ok(Self::AccountSlice(name, index.parse().map_err(|_| fail())?))
            }
            _ => Err(fail()),
        }
    }
}
