//! Real daemons, fake engines and a fake platform in one process.

use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::SystemClock;
use chestnut_config::Settings;
use chestnut_fake::{
    EngineConfig, ServerHandle, WeightStoreConfig, certs, engine, platform,
};
use chestnut_node::logs;
use chestnut_node::run::{self, Daemon};
use chestnut_plat::{PlatformError, TableClient};
use reqwest::Client;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};

use crate::resource_usage::{DAEMON_THREAD_PREFIX, HARNESS_THREAD_PREFIX};

/// Worker threads of each of the two runtimes.
const WORKER_THREADS: usize = 4;

/// Timeout of the harness's calls to the table, and of applying declarations.
const HARNESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Why an experiment failed, as text to print.
#[derive(Debug)]
pub struct ExperimentError(String);

impl Display for ExperimentError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ExperimentError {}

impl From<std::io::Error> for ExperimentError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<PlatformError> for ExperimentError {
    fn from(error: PlatformError) -> Self {
        Self(error.to_string())
    }
}

impl From<reqwest::Error> for ExperimentError {
    fn from(error: reqwest::Error) -> Self {
        Self(error.to_string())
    }
}

/// The daemons, engines and platform of an experiment; stopped on drop.
pub struct Testbed {
    /// Runs the daemons, and nothing else.
    pub daemon_runtime: Runtime,
    /// Runs the platform, the engines and the callers.
    pub harness_runtime: Runtime,
    /// The harness's own client of the table.
    pub table: TableClient,
    /// The started daemons, in the order of their start.
    pub daemons: Vec<Daemon>,
    /// The harness's own HTTP client.
    pub http: Client,
    platform: ServerHandle,
    engines: Vec<ServerHandle>,
    /// Certificates and keys of the daemons; removed on drop.
    certs_folder: PathBuf,
    /// The `times` section of the daemons' settings.
    times: Value,
}

impl Testbed {
    /// Starts the platform; `times` is the section of that name in the daemons' settings.
    pub fn new(times: Value) -> Result<Self, ExperimentError> {
        let runtime = |name: &str| {
            Builder::new_multi_thread()
                .worker_threads(WORKER_THREADS)
                .thread_name(name)
                .enable_all()
                .build()
        };
        let daemon_runtime = runtime(DAEMON_THREAD_PREFIX)?;
        let harness_runtime = runtime(HARNESS_THREAD_PREFIX)?;
        let weight_store = WeightStoreConfig {
            loads_per_second: 100.0,
            parallel_loads: 8,
            bytes_per_second: 400e9,
        };
        let platform =
            harness_runtime.block_on(platform::start(any_port(), weight_store))?;
        let table = TableClient::new(platform.url(), HARNESS_TIMEOUT)?;
        let certs_folder = std::env::temp_dir().join(format!(
            "chestnutlane-lab-{}-{}",
            std::process::id(),
            platform.address.port()
        ));
        std::fs::create_dir_all(&certs_folder)?;
        certs::write(&certs_folder)?;
        let http = Client::builder().no_proxy().build()?;
        let (daemons, engines) = (Vec::new(), Vec::new());
        Ok(Self {
            daemon_runtime,
            harness_runtime,
            table,
            daemons,
            http,
            platform,
            engines,
            certs_folder,
            times,
        })
    }

    /// Starts a daemon on free ports.
    pub fn start_daemon(&mut self) -> Result<(), ExperimentError> {
        let name = format!("real-{}", self.daemons.len());
        let file = |name: &str| self.certs_folder.join(name).display().to_string();
        let (url, any_addr) = (self.platform.url(), any_port().to_string());
        let text = json!({
            "vm": name, "domain": "domain-0",
            "caller_addr": any_addr, "peer_addr": any_addr, "ops_addr": any_addr,
            "table_url": url, "object_url": url, "vms_url": url,
            "tls": {
                "cert": file("daemon.pem"),
                "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": { "lab": sha256_hex("operator") },
            "times": self.times,
        });
        let settings = Settings::parse("the experiment's settings", &text.to_string())
            .map_err(|problems| ExperimentError(problems.to_string()))?;
        let starting = run::start(settings, Arc::new(SystemClock), logs::discard());
        let daemon = self.daemon_runtime.block_on(starting);
        self.daemons
            .push(daemon.map_err(|report| ExperimentError(format!("{report:?}")))?);
        Ok(())
    }

    /// Starts a fake engine and adds it to the platform's list of VMs as a runner.
    pub fn start_engine(&mut self, config: EngineConfig) -> Result<(), ExperimentError> {
        let name = format!("runner-{}", self.engines.len());
        let engine = self.harness_runtime.block_on(engine::start(any_port(), config))?;
        let row = json!({
            "vm": name, "domain": "domain-0", "state": "live",
            "address": engine.address.to_string(), "role": "runner", "pool": "main",
        });
        let call = self.http.put(format!("{}/v1/vms/{name}", self.platform.url()));
        self.harness_runtime.block_on(call.json(&row).send())?.error_for_status()?;
        self.engines.push(engine);
        Ok(())
    }

    /// Applies declarations through the first daemon, retrying until they are accepted.
    ///
    /// Fails with the last response after [`HARNESS_TIMEOUT`].
    pub fn apply_declarations(
        &self,
        declarations: &Value,
    ) -> Result<(), ExperimentError> {
        let ops = format!("http://{}", self.daemons[0].addresses.ops);
        let apply = || async {
            let change = json!({
                "id": format!("lab-{:x}", rand::random::<u64>()),
                "team": "lab", "author": "lab", "base": 0,
                "edits": { "lab.jsonc": declarations.to_string() },
            });
            let call = self
                .http
                .post(format!("{ops}/v1/config/apply"))
                .header("x-team", "lab")
                .header("authorization", "Bearer operator");
            call.json(&change).send().await?.json::<Value>().await
        };
        let start = std::time::Instant::now();
        loop {
            let response = self.harness_runtime.block_on(apply())?;
            if response["verdict"] == "accepted" {
                return Ok(());
            }
            if start.elapsed() > HARNESS_TIMEOUT {
                return Err(ExperimentError(response.to_string()));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Base URL at which callers reach a daemon, by its number.
    pub fn caller_url(&self, daemon: usize) -> String {
        format!("http://{}", self.daemons[daemon].addresses.caller)
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for daemon in self.daemons.drain(..) {
            self.daemon_runtime.block_on(daemon.kill());
        }
        if let Err(error) = std::fs::remove_dir_all(&self.certs_folder) {
            eprintln!(
                "could not remove {}: {error}; remove it by hand",
                self.certs_folder.display()
            );
        }
    }
}

/// SHA-256 of a key in hexadecimal, as in settings and declarations.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
