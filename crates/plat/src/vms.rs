//! The client of the platform's list of VMs, which is eventually consistent.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::{DomainName, PoolName, ServiceName, VmName};
use reqwest::Client;
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;
use crate::receive::{client, receive};
use crate::table::{check_status, parse_json};

/// The process that a VM runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum VmRole {
    /// A daemon of this system.
    Entry,
    /// A model engine.
    Runner {
        /// The pool that the runner belongs to.
        pool: PoolName,
    },
    /// A server of a plain service.
    Service {
        /// The service that the server belongs to.
        service: ServiceName,
    },
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is not about to be stopped.
    Live,
    /// The VM is about to be stopped and must not get new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM's name, which is also the name of a backend server that runs on it.
    pub vm: VmName,
    /// The failure domain.
    pub domain: DomainName,
    /// The address that the VM's server listens on; on an entry VM, the address for
    /// connections from other daemons.
    pub address: SocketAddr,
    /// The lifecycle state.
    pub state: VmState,
    /// The process that the VM runs.
    #[serde(flatten)]
    pub role: VmRole,
}

/// A client of the list of VMs.
#[derive(Debug, Clone)]
pub struct VmList {
    base_url: String,
    http: Client,
}

impl VmList {
    /// Creates a client of the list at `base_url`, such as `http://10.0.0.5:7000`.
    ///
    /// Calls that take longer than `timeout` fail.
    pub fn new(
        base_url: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        Ok(Self { base_url: base_url.into(), http: client(timeout)? })
    }

    /// Reads the complete list, which may be out of date.
    pub async fn read(&self) -> Result<Vec<VmRow>, PlatformError> {
        let response =
            receive(self.http.get(format!("{}/v1/vms", self.base_url))).await?;
        check_status(response.status())?;
        parse_json(response.body())
    }
}
