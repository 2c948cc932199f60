//! The stand-ins and daemons of an experiment.

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

use crate::cost::{DAEMON_THREADS, OUTSIDE_THREADS};

const THREADS: usize = 4;

/// How long a call of the experiment itself may take.
const WAIT: Duration = Duration::from_secs(60);

/// Why an experiment could not be carried out.
#[derive(Debug)]
pub struct WorldError(String);

impl Display for WorldError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WorldError {}

impl From<std::io::Error> for WorldError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<PlatformError> for WorldError {
    fn from(error: PlatformError) -> Self {
        Self(error.to_string())
    }
}

impl From<reqwest::Error> for WorldError {
    fn from(error: reqwest::Error) -> Self {
        Self(error.to_string())
    }
}

/// The stand-ins and daemons of an experiment.
pub struct World {
    /// The threads of the daemons.
    pub inside: Runtime,
    /// The threads of everything else.
    pub outside: Runtime,
    /// The table, as the experiment itself uses it.
    pub table: TableClient,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The client of the experiment.
    pub http: Client,
    platform: ServerHandle,
    engines: Vec<ServerHandle>,
    folder: PathBuf,
    /// The times in the daemons' settings.
    times: Value,
}

impl World {
    /// Starts the platform's stand-in.
    pub fn new(times: Value) -> Result<Self, WorldError> {
        let runtime = |name: &str| {
            Builder::new_multi_thread()
                .worker_threads(THREADS)
                .thread_name(name)
                .enable_all()
                .build()
        };
        let inside = runtime(DAEMON_THREADS)?;
        let outside = runtime(OUTSIDE_THREADS)?;
        let speed = WeightStoreConfig {
            loads_per_second: 100.0,
            parallel_loads: 8,
            bytes_per_second: 400e9,
        };
        let platform = outside.block_on(platform::start(any(), speed))?;
        let table = TableClient::new(platform.url(), WAIT)?;
        let folder = std::env::temp_dir().join(format!(
            "chestnutlane-lab-{}-{}",
            std::process::id(),
            platform.address.port()
        ));
        std::fs::create_dir_all(&folder)?;
        certs::write(&folder)?;
        let http = Client::builder().no_proxy().build()?;
        let (daemons, engines) = (Vec::new(), Vec::new());
        Ok(Self {
            inside,
            outside,
            table,
            daemons,
            http,
            platform,
            engines,
            folder,
            times,
        })
    }

    /// Starts a daemon.
    pub fn start_daemon(&mut self) -> Result<(), WorldError> {
        let name = format!("real-{}", self.daemons.len());
        let file = |name: &str| self.folder.join(name).display().to_string();
        let (url, any) = (self.platform.url(), any().to_string());
        let text = json!({
            "vm": name, "domain": "domain-0",
            "caller_addr": any, "peer_addr": any, "ops_addr": any,
            "table_url": url, "object_url": url, "vms_url": url,
            "tls": {
                "cert": file("daemon.pem"),
                "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": { "lab": sha256("operator") },
            "times": self.times,
        });
        let settings = Settings::parse("the experiment's settings", &text.to_string())
            .map_err(|problems| WorldError(problems.to_string()))?;
        let start = run::start(settings, Arc::new(SystemClock), logs::silent());
        let daemon = self.inside.block_on(start);
        self.daemons.push(daemon.map_err(|report| WorldError(format!("{report:?}")))?);
        Ok(())
    }

    /// Starts an engine and puts it on the list of VMs.
    pub fn start_engine(&mut self, config: EngineConfig) -> Result<(), WorldError> {
        let name = format!("runner-{}", self.engines.len());
        let engine = self.outside.block_on(engine::start(any(), config))?;
        let row = json!({
            "vm": name, "domain": "domain-0", "state": "live",
            "address": engine.address.to_string(), "role": "runner", "pool": "main",
        });
        let call = self.http.put(format!("{}/v1/vms/{name}", self.platform.url()));
        self.outside.block_on(call.json(&row).send())?.error_for_status()?;
        self.engines.push(engine);
        Ok(())
    }

    /// Declares a pool and models, and waits until it is accepted.
    pub fn declare(&self, declarations: &Value) -> Result<(), WorldError> {
        let ops = format!("http://{}", self.daemons[0].addresses.ops);
        let call = || async {
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
            let answer = self.outside.block_on(call())?;
            if answer["verdict"] == "accepted" {
                return Ok(());
            }
            if start.elapsed() > WAIT {
                return Err(WorldError(answer.to_string()));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Where callers reach a daemon.
    pub fn entry(&self, daemon: usize) -> String {
        format!("http://{}", self.daemons[daemon].addresses.caller)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for daemon in self.daemons.drain(..) {
            self.inside.block_on(daemon.kill());
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("{} remains ({error}); remove it", self.folder.display());
        }
    }
}

/// The SHA-256 of a key, as settings and declarations want it.
pub fn sha256(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
