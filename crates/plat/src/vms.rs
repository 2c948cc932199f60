//! The client of the platform's list of VMs, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::{DomainName, PoolName, ServiceName, VmName};
use reqwest::Client;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;
use crate::table::{check_status, read_json};

/// What a VM is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum VmRole {
    /// Runs this system's daemon.
    Entry,
    /// Runs a model engine.
    Runner {
        /// The pool the runner belongs to.
        pool: PoolName,
    },
    /// Runs a server of a plain service.
    Service {
        /// The plain service.
        service: ServiceName,
    },
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is to stay.
    Live,
    /// The VM will be stopped and must get no new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM's name; for a backend server also the server's name.
    pub vm: VmName,
    /// The failure domain.
    pub domain: DomainName,
    /// Where the VM's server listens; on an entry VM, where its daemon takes other
    /// daemons' connections.
    pub address: SocketAddr,
    /// Whether the VM stays.
    pub state: VmState,
    /// What the VM is for.
    #[serde(flatten)]
    pub role: VmRole,
}

/// The client of the list of VMs.
#[derive(Debug, Clone)]
pub struct VmList {
    base: String,
    http: Client,
}

impl VmList {
    /// Creates a client of the list at `base`, such as `http://10.0.0.5:7000`.
    pub fn new(
        base: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        let http = Client::builder().timeout(timeout).no_proxy().build()?;
        Ok(Self { base: base.into(), http })
    }

    /// Reads the whole list as the platform knows it, some time ago.
    pub async fn read(&self) -> Result<Vec<VmRow>, PlatformError> {
        let answer = self.http.get(format!("{}/v1/vms", self.base)).send().await?;
        check_status(answer.status())?;
        read_json(answer).await
    }
}
