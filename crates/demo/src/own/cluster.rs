//! Starts the demo's stand-ins and daemons and sends its declarations.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::SystemClock;
use chestnut_config::Settings;
use chestnut_config::keys::sha256_hex;
use chestnut_fake::caller::{CallerRequest, Completion, Operation};
use chestnut_fake::{
    EngineConfig, ServerHandle, ServiceConfig, WeightStoreConfig, certs, engine,
    platform, service,
};
use chestnut_node::logs;
use chestnut_node::run::{self, Daemon};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::error::DemoError;

/// The failure domains, assigned to VMs in turn.
const DOMAINS: [&str; 2] = ["accra-a", "accra-b"];

const DAEMON_COUNT: usize = 3;

const RUNNER_COUNT: usize = 4;

/// The accelerator memory of a runner, as declared for its pool.
const RUNNER_MEMORY_BYTES: u64 = 80_000_000_000;

/// How long to wait until everything that is declared is served.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The teams and their declarations.
const TEAMS: [(&str, &str); 2] = [
    ("letters", include_str!("../letters.jsonc")),
    ("seats", include_str!("../seats.jsonc")),
];

/// The callers; the key of each is `key-` followed by its name.
pub const CALLERS: [&str; 5] = ["portal", "caseworker", "desk", "trial", "trial-2"];

/// The routes, sent as `model`, each with the engine's name of its model or adapter.
pub const ROUTES: [(&str, &str); 4] = [
    ("letter", "drafter@v7"),
    ("water-preview", "water-board"),
    ("proof", "proofreader@v2"),
    ("cue-sheet", "narrator@2026-11"),
];

/// The running stand-ins and daemons.
pub struct Cluster {
    /// The HTTP client of all callers.
    pub http: Client,
    /// The engines.
    pub engines: Vec<ServerHandle>,
    /// The servers of the plain service.
    pub services: Vec<ServerHandle>,
    /// The base URLs of the daemons for callers.
    pub entries: Vec<String>,
    /// The base URLs of the daemons for operators.
    ops: Vec<String>,
    daemons: Vec<Daemon>,
    platform: ServerHandle,
    temp_dir: TempDir,
    /// Whether the daemons log to standard error.
    log: bool,
}

impl Cluster {
    /// Starts everything and waits until everything that is declared is served.
    ///
    /// With `log`, the daemons log to standard error.
    pub async fn start(log: bool) -> Result<Self, DemoError> {
        let temp_dir = TempDir::new()?;
        certs::write(&temp_dir.0).map_err(|error| DemoError::Files(error.to_string()))?;
        let platform = check_started(
            platform::start(any_port(), WeightStoreConfig::default()).await,
        )?;
        let http = Client::builder().no_proxy().build()?;
        let mut cluster = Self {
            http,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            ops: Vec::new(),
            daemons: Vec::new(),
            platform,
            temp_dir,
            log,
        };
        cluster.start_servers().await?;
        cluster.start_daemons().await?;
        cluster.declare().await?;
        cluster.wait_served().await?;
        Ok(cluster)
    }

    /// Commands to try, as text for the user.
    pub fn example_commands(&self) -> String {
        let (entry, ops, platform) =
            (&self.entries[0], &self.ops[0], self.platform.url());
        let auth = "-H 'authorization: Bearer key-portal'";
        let key = "-H 'idempotency-key: order-1'";
        let json = "-H 'content-type: application/json'";
        let body =
            r#"{"model": "proof", "prompt": "Dear", "max_tokens": 20, "stream": true}"#;
        let fault = r#"{"table": {"down": true}}"#;
        [
            "\nThe demo keeps running; stop it with Ctrl-C. Commands to try:\n"
                .to_owned(),
            format!("curl {entry}/v1/entry"),
            format!("curl {entry}/v1/models"),
            format!("curl -N {entry}/v1/completions {auth} -d '{body}'"),
            format!("curl {entry}/svc/box-office/book {auth} {key} -d 'two seats'"),
            format!("curl {ops}/metrics"),
            format!("curl {ops}/debug/state"),
            format!("curl {platform}/faults {json} -d '{fault}'\n"),
        ]
        .join("\n")
    }

    /// Drains and stops the daemons, then stops the stand-ins.
    pub async fn stop(mut self) {
        let mut draining = JoinSet::new();
        for daemon in self.daemons.drain(..) {
            daemon.shut_down();
            draining.spawn(daemon.run());
        }
        draining.join_all().await;
    }

    async fn start_servers(&mut self) -> Result<(), DemoError> {
        for index in 0..RUNNER_COUNT {
            let config = EngineConfig {
                memory_bytes: RUNNER_MEMORY_BYTES,
                weight_store_url: Some(self.platform.url()),
                ..EngineConfig::default()
            };
            let engine = check_started(engine::start(any_port(), config).await)?;
            let name = format!("runner-{}", index + 1);
            let role = json!({"role": "runner", "pool": "drafting"});
            self.register_vm(&name, index, engine.address, role).await?;
            self.engines.push(engine);
        }
        for index in 0..DOMAINS.len() {
            let service_time = Duration::from_millis(3);
            let config = ServiceConfig { name: "box-office".into(), service_time };
            let server = check_started(service::start(any_port(), config).await)?;
            let name = format!("box-office-{}", index + 1);
            let role = json!({"role": "service", "service": "box-office"});
            self.register_vm(&name, index, server.address, role).await?;
            self.services.push(server);
        }
        Ok(())
    }

    async fn start_daemons(&mut self) -> Result<(), DemoError> {
        for index in 0..DAEMON_COUNT {
            let name = format!("entry-{}", index + 1);
            let text = self.settings(&name, index).to_string();
            let settings = Settings::parse("the demo's settings", &text)
                .map_err(|problems| DemoError::Start(problems.to_string()))?;
            let log = match self.log {
                true => logs::logger(settings.log_level, &name),
                false => logs::discard(),
            };
            let daemon = run::start(settings, Arc::new(SystemClock), log).await;
            let daemon =
                daemon.map_err(|report| DemoError::Start(format!("{report:?}")))?;
            let addresses = daemon.addresses;
            self.entries.push(format!("http://{}", addresses.caller));
            self.ops.push(format!("http://{}", addresses.ops));
            self.daemons.push(daemon);
            self.register_vm(&name, index, addresses.peer, json!({"role": "entry"}))
                .await?;
        }
        Ok(())
    }

    /// Adds a VM to the platform's list.
    async fn register_vm(
        &self,
        vm: &str,
        index: usize,
        address: SocketAddr,
        role: Value,
    ) -> Result<(), DemoError> {
        let mut row = role;
        row["vm"] = vm.into();
        row["domain"] = domain_of(index).into();
        row["address"] = address.to_string().into();
        row["state"] = "live".into();
        let url = format!("{}/v1/vms/{vm}", self.platform.url());
        self.http.put(url).json(&row).send().await?.error_for_status()?;
        Ok(())
    }

    fn settings(&self, vm: &str, index: usize) -> Value {
        let file = |name: &str| self.temp_dir.0.join(name).display().to_string();
        let platform = self.platform.url();
        let operators: serde_json::Map<String, Value> = TEAMS
            .iter()
            .map(|(team, _)| {
                (team.to_string(), sha256_hex(&format!("ops-{team}")).into())
            })
            .collect();
        let any_port = any_port().to_string();
        json!({
            "vm": vm,
            "domain": domain_of(index),
            "caller_addr": any_port, "peer_addr": any_port, "ops_addr": any_port,
            "table_url": platform, "object_url": platform, "vms_url": platform,
            "tls": {
                "cert": file("daemon.pem"),
                "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": operators,
            "times": {"poll_ms": 200, "leave_ms": 500, "keep_ms": 500},
        })
    }

    async fn declare(&self) -> Result<(), DemoError> {
        for (team, text) in TEAMS {
            let mut text = text.to_owned();
            for caller in CALLERS {
                let hash = sha256_hex(&format!("key-{caller}"));
                text = text.replace(&format!("@{caller}@"), &hash);
            }
            self.declare_team(team, &text).await?;
        }
        Ok(())
    }

    /// Sends a team's declarations until they are accepted; they are rejected until the
    /// daemon has received the list of runners.
    async fn declare_team(&self, team: &str, text: &str) -> Result<(), DemoError> {
        let ops = &self.ops[0];
        let start = Instant::now();
        let mut attempt = 0;
        loop {
            attempt += 1;
            let state: Value =
                self.http.get(format!("{ops}/debug/state")).send().await?.json().await?;
            let change = json!({
                "id": format!("demo-{team}-{attempt}"),
                "team": team,
                "author": "demo",
                "base": state["revision"],
                "edits": {"demo.jsonc": text},
            });
            let request = self
                .http
                .post(format!("{ops}/v1/config/apply"))
                .header("x-team", team)
                .header("authorization", format!("Bearer ops-{team}"));
            let response: Value = request.json(&change).send().await?.json().await?;
            if response["verdict"] == "accepted" {
                return Ok(());
            }
            if start.elapsed() > READY_TIMEOUT {
                return Err(DemoError::Rejected(response.to_string()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every daemon serves every route and the service.
    async fn wait_served(&self) -> Result<(), DemoError> {
        for entry in &self.entries {
            for request in probes(entry) {
                let operation = format!("{:?}", request.operation);
                let response = request
                    .clone()
                    .send_with_retries(self.http.clone(), Arc::default())
                    .await;
                if !response.is_complete(&request) {
                    return Err(DemoError::NotServed(format!(
                        "{operation}: {response:?}"
                    )));
                }
            }
        }
        Ok(())
    }
}

/// One request for each declared route and for the service, to be sent to one entry.
fn probes(entry: &str) -> Vec<CallerRequest> {
    let completion = |(route, model): &(&str, &str)| {
        Operation::Completion(Completion {
            previous_model: None,
            route: route.to_string(),
            model: model.to_string(),
            prompt: "ready?".into(),
            max_tokens: 1,
            stream: false,
            chat: false,
        })
    };
    let read_seats = Operation::Service {
        name: "box-office".into(),
        path: "/seats".into(),
        method: "GET".into(),
        body: String::new(),
    };
    let book_seat = Operation::Service {
        name: "box-office".into(),
        path: "/book".into(),
        method: "POST".into(),
        body: "ready?".into(),
    };
    let operations = ROUTES.iter().map(completion).chain([read_seats, book_seat]);
    let requests = operations.enumerate().map(|(index, operation)| CallerRequest {
        base_urls: vec![entry.to_owned()],
        caller: "portal".into(),
        idempotency_key: Some(format!(
            "ready-{index}-{}",
            entry.rsplit(':').next().unwrap_or("")
        )),
        operation,
        kind: None,
        deadline_ms: None,
        idempotent: false,
        wait_limit: READY_TIMEOUT,
        attempt_timeout: READY_TIMEOUT,
    });
    requests.collect()
}

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Result<Self, DemoError> {
        let name = format!("chestnutlane-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        create_private_dir(&path).map_err(|error| DemoError::Files(error.to_string()))?;
        Ok(Self(path))
    }
}

/// Creates a directory that only the owner can read, since it will hold a private key.
fn create_private_dir(path: &Path) -> std::io::Result<()> {
    use std::os::unix::fs::DirBuilderExt;
    std::fs::DirBuilder::new().mode(0o700).create(path)
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            eprintln!("can't remove {} ({error}); remove it manually", self.0.display());
        }
    }
}

fn check_started(
    handle: std::io::Result<ServerHandle>,
) -> Result<ServerHandle, DemoError> {
    handle.map_err(|error| DemoError::Start(error.to_string()))
}

fn domain_of(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
