//! What one daemon reads at its start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chestnut_base::{DomainName, TeamName, VmName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The checked settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where other daemons connect.
    pub peer_addr: SocketAddr,
    /// Where operators connect.
    pub ops_addr: SocketAddr,
    /// The base URL of the table service.
    pub table_url: String,
    /// The base URL of the object store.
    pub object_url: String,
    /// The base URL of the list of VMs.
    pub vms_url: String,
    /// Keys and trust between daemons.
    pub tls: Tls,
    /// The SHA-256 of each team's operators' key, in lower-case hexadecimal.
    pub operators: IndexMap<TeamName, String>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Times.
    pub times: Times,
    /// Limits of memory and number.
    pub limits: Limits,
}

/// The daemon's certificate, its key, and whom it trusts, as PEM files.
#[derive(Debug, Clone, PartialEq)]
pub struct Tls {
    /// The certificate chain.
    pub cert: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// The certificates of the authorities that sign daemons' certificates.
    pub trusted_cas: PathBuf,
}

/// The severity from which lines are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// Also what may need an operator soon.
    Warning,
    /// Also changes of state.
    Info,
    /// Also details of changes.
    Debug,
}

/// Times that a daemon keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// DifferenceKind long a membership lease holds after its renewal.
    ///
    /// At least three times `renewal`, so that two lost renewals lose no lease.
    pub lease_duration: Duration,
    /// DifferenceKind often the lease is renewed.
    pub renewal_interval: Duration,
    /// DifferenceKind often changes of the table are read.
    pub poll_interval: Duration,
    /// DifferenceKind long a call to the platform may take.
    pub platform_timeout: Duration,
    /// DifferenceKind long a leaving daemon still takes new requests.
    pub drain_time: Duration,
    /// DifferenceKind long a daemon may go without confirming its revision.
    ///
    /// It takes no new work after that, so that this also bounds how long any daemon
    /// serves by declarations that were replaced. Changes are to be in force within
    /// 20 s; the default leaves a quarter of it to their acceptance.
    pub max_staleness: Duration,
    /// DifferenceKind long a caller may keep an address.
    pub address_ttl: Duration,
}

/// Limits of memory and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Requests that the entry holds at the same time.
    pub max_requests: usize,
    /// Bytes of bodies and answers that the entry holds at the same time.
    pub max_buffered_bytes: usize,
    /// The number of slots of the journal; the same on all daemons.
    pub journal_slots: u16,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(6),
            renewal_interval: Duration::from_secs(2),
            poll_interval: Duration::from_millis(500),
            platform_timeout: Duration::from_secs(2),
            drain_time: Duration::from_secs(3),
            max_staleness: Duration::from_secs(15),
            address_ttl: Duration::from_secs(2),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_requests: 4096,
            max_buffered_bytes: 32 << 20,
            journal_slots: 64,
        }
    }
}
