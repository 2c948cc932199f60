//! The settings that one daemon reads when it starts.

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
    /// The address that the daemon listens on for callers.
    pub caller_addr: SocketAddr,
    /// The address that the daemon listens on for other daemons.
    pub peer_addr: SocketAddr,
    /// The address that the daemon listens on for operators.
    pub ops_addr: SocketAddr,
    /// The base URL of the table service.
    pub table_url: String,
    /// The base URL of the object store.
    pub object_url: String,
    /// The base URL of the list of VMs.
    pub vms_url: String,
    /// Mutual TLS between daemons.
    pub tls: Tls,
    /// The SHA-256 of each team's operator key, in lower-case hexadecimal digits.
    pub operators: IndexMap<TeamName, String>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Intervals and timeouts.
    pub times: Times,
    /// Sizes and counts.
    pub limits: Limits,
}

/// The PEM files of the daemon's TLS identity and of the authorities it trusts.
#[derive(Debug, Clone, PartialEq)]
pub struct Tls {
    /// The certificate chain.
    pub cert: PathBuf,
    /// The private key.
    pub key: PathBuf,
    /// The authorities that sign daemons' certificates.
    pub trusted_cas: PathBuf,
}

/// The least severe level of log lines; each level includes those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Conditions that may need an operator soon.
    Warning,
    /// Changes of state.
    Info,
    /// Details of changes of state.
    Debug,
}

/// Intervals and timeouts of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// How long a membership lease is valid after its renewal.
    ///
    /// At least three times `renewal_interval`, so that two lost renewals do not
    /// end the lease.
    pub lease_duration: Duration,
    /// The time between renewals of the lease.
    pub renewal_interval: Duration,
    /// The time between polls of the table for changes.
    pub poll_interval: Duration,
    /// The timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// How long a daemon that is shutting down still accepts new requests.
    pub drain_time: Duration,
    /// How long a daemon may go without confirmation of its declarations.
    ///
    /// After that it accepts no new requests, so this also bounds how long any
    /// daemon serves replaced declarations. Changes must be in force within 20 s;
    /// the default of 15 s leaves a quarter of that for accepting them.
    pub max_staleness: Duration,
    /// How long a caller may use an address before it requests a new list.
    pub address_ttl: Duration,
}

/// Sizes and counts that a daemon does not exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of requests that the entry holds at the same time.
    pub max_requests: usize,
    /// The maximum size of all request and response bodies that the entry holds at the
    /// same time, in bytes.
    pub max_buffered_bytes: usize,
    /// The number of journal slots; must be the same on all daemons.
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
