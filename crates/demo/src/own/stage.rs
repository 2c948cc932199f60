//! The stand-ins, the daemons and the declarations of the demo.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::SystemClock;
use chestnut_config::Settings;
use chestnut_config::keys::sha256;
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

use crate::error::StageError;

/// The failure domains.
const DOMAINS: [&str; 2] = ["accra-a", "accra-b"];

const DAEMONS: usize = 3;

const RUNNERS: usize = 4;

/// The accelerators' memory of a runner, in bytes; as declared.
const MEMORY: u64 = 80_000_000_000;

/// How long to wait for everything to be served.
const PATIENCE: Duration = Duration::from_secs(60);

/// The teams and what they declare.
const TEAMS: [(&str, &str); 2] = [
    ("letters", include_str!("../letters.jsonc")),
    ("seats", include_str!("../seats.jsonc")),
];

/// The callers; the key of each is `key-` and its name.
pub const CALLERS: [&str; 3] = ["portal", "caseworker", "desk"];

/// The names that callers put into `model`, and what an engine knows them by.
pub const ROUTES: [(&str, &str); 4] = [
    ("letter", "drafter@v7"),
    ("water-preview", "water-board"),
    ("proof", "proofreader@v2"),
    ("cue-sheet", "narrator@2026-11"),
];

/// The running stand-ins and daemons.
pub struct Stage {
    /// The client of all callers.
    pub http: Client,
    /// The engines.
    pub engines: Vec<ServerHandle>,
    /// The servers of the plain service.
    pub services: Vec<ServerHandle>,
    /// Where callers reach the daemons.
    pub entries: Vec<String>,
    ops: Vec<String>,
    daemons: Vec<Daemon>,
    platform: ServerHandle,
    folder: Folder,
}

impl Stage {
    /// Starts everything and waits until all that is declared is served.
    pub async fn start() -> Result<Self, StageError> {
        let folder = Folder::new()?;
        certs::write(&folder.0).map_err(|error| StageError::Files(error.to_string()))?;
        let platform =
            started(platform::start(any(), WeightStoreConfig::default()).await)?;
        let http = Client::builder().no_proxy().build()?;
        let mut stage = Self {
            http,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            ops: Vec::new(),
            daemons: Vec::new(),
            platform,
            folder,
        };
        stage.start_servers().await?;
        stage.start_daemons().await?;
        stage.declare().await?;
        stage.wait_served().await?;
        Ok(stage)
    }

    /// Commands to try.
    pub fn explain(&self) -> String {
        let (entry, ops, platform) =
            (&self.entries[0], &self.ops[0], self.platform.url());
        let auth = "-H 'authorization: Bearer key-portal'";
        let key = "-H 'idempotency-key: order-1'";
        let json = "-H 'content-type: application/json'";
        let body =
            r#"{"model": "proof", "prompt": "Dear", "max_tokens": 20, "stream": true}"#;
        let fault = r#"{"table": {"down": true}}"#;
        [
            "\nIt stays up; end it with Ctrl-C. Try:\n".to_owned(),
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

    /// Stops the daemons as planned and then the stand-ins.
    pub async fn stop(mut self) {
        let mut leaving = JoinSet::new();
        for daemon in self.daemons.drain(..) {
            daemon.leave();
            leaving.spawn(daemon.run());
        }
        leaving.join_all().await;
    }

    async fn start_servers(&mut self) -> Result<(), StageError> {
        for index in 0..RUNNERS {
            let config = EngineConfig {
                memory_bytes: MEMORY,
                weight_store_url: Some(self.platform.url()),
                ..EngineConfig::default()
            };
            let engine = started(engine::start(any(), config).await)?;
            let name = format!("runner-{}", index + 1);
            let role = json!({"role": "runner", "pool": "drafting"});
            self.list(&name, index, engine.address, role).await?;
            self.engines.push(engine);
        }
        for index in 0..DOMAINS.len() {
            let service_time = Duration::from_millis(3);
            let config = ServiceConfig { name: "box-office".into(), service_time };
            let server = started(service::start(any(), config).await)?;
            let name = format!("box-office-{}", index + 1);
            let role = json!({"role": "service", "service": "box-office"});
            self.list(&name, index, server.address, role).await?;
            self.services.push(server);
        }
        Ok(())
    }

    async fn start_daemons(&mut self) -> Result<(), StageError> {
        for index in 0..DAEMONS {
            let name = format!("entry-{}", index + 1);
            let text = self.settings(&name, index).to_string();
            let settings = Settings::parse("the demo's settings", &text)
                .map_err(|problems| StageError::Start(problems.to_string()))?;
            let daemon =
                run::start(settings, Arc::new(SystemClock), logs::silent()).await;
            let daemon =
                daemon.map_err(|report| StageError::Start(format!("{report:?}")))?;
            let addresses = daemon.addresses;
            self.entries.push(format!("http://{}", addresses.caller));
            self.ops.push(format!("http://{}", addresses.ops));
            self.daemons.push(daemon);
            self.list(&name, index, addresses.peer, json!({"role": "entry"})).await?;
        }
        Ok(())
    }

    /// Puts a VM on the platform's list.
    async fn list(
        &self,
        vm: &str,
        index: usize,
        address: SocketAddr,
        role: Value,
    ) -> Result<(), StageError> {
        let mut row = role;
        row["vm"] = vm.into();
        row["domain"] = domain(index).into();
        row["address"] = address.to_string().into();
        row["state"] = "live".into();
        let url = format!("{}/v1/vms/{vm}", self.platform.url());
        self.http.put(url).json(&row).send().await?.error_for_status()?;
        Ok(())
    }

    fn settings(&self, vm: &str, index: usize) -> Value {
        let file = |name: &str| self.folder.0.join(name).display().to_string();
        let platform = self.platform.url();
        let operators: serde_json::Map<String, Value> = TEAMS
            .iter()
            .map(|(team, _)| (team.to_string(), sha256(&format!("ops-{team}")).into()))
            .collect();
        let any = any().to_string();
        json!({
            "vm": vm,
            "domain": domain(index),
            "caller_addr": any, "peer_addr": any, "ops_addr": any,
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

    async fn declare(&self) -> Result<(), StageError> {
        for (team, text) in TEAMS {
            let mut text = text.to_owned();
            for caller in CALLERS {
                let hash = sha256(&format!("key-{caller}"));
                text = text.replace(&format!("@{caller}@"), &hash);
            }
            self.declare_one(team, &text).await?;
        }
        Ok(())
    }

    /// Sends a team's file until it is accepted.
    ///
    /// The daemon first has to learn which runners there are.
    async fn declare_one(&self, team: &str, text: &str) -> Result<(), StageError> {
        let ops = &self.ops[0];
        let start = Instant::now();
        let mut number = 0;
        loop {
            number += 1;
            let state: Value =
                self.http.get(format!("{ops}/debug/state")).send().await?.json().await?;
            let change = json!({
                "id": format!("demo-{team}-{number}"),
                "team": team,
                "author": "demo",
                "base": state["revision"],
                "edits": {"demo.jsonc": text},
            });
            let call = self
                .http
                .post(format!("{ops}/v1/config/apply"))
                .header("x-team", team)
                .header("authorization", format!("Bearer ops-{team}"));
            let answer: Value = call.json(&change).send().await?.json().await?;
            if answer["verdict"] == "accepted" {
                return Ok(());
            }
            if start.elapsed() > PATIENCE {
                return Err(StageError::Refused(answer.to_string()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every daemon serves every route and the service.
    async fn wait_served(&self) -> Result<(), StageError> {
        for entry in &self.entries {
            for ask in probes(entry) {
                let what = format!("{:?}", ask.operation);
                let reply = ask
                    .clone()
                    .send_with_retries(self.http.clone(), Arc::default())
                    .await;
                if !reply.is_complete(&ask) {
                    return Err(StageError::NotServed(format!("{what}: {reply:?}")));
                }
            }
        }
        Ok(())
    }
}

/// A request for each thing that is declared, sent to one entry.
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
    let seats = Operation::Service {
        name: "box-office".into(),
        path: "/seats".into(),
        method: "GET".into(),
        body: String::new(),
    };
    let booking = Operation::Service {
        name: "box-office".into(),
        path: "/book".into(),
        method: "POST".into(),
        body: "ready?".into(),
    };
    let forms = ROUTES.iter().map(completion).chain([seats, booking]);
    let number = forms.enumerate().map(|(index, form)| CallerRequest {
        base_urls: vec![entry.to_owned()],
        caller: "portal".into(),
        idempotency_key: Some(format!(
            "ready-{index}-{}",
            entry.rsplit(':').next().unwrap_or("")
        )),
        operation: form,
        kind: None,
        deadline_ms: None,
        idempotent: false,
        wait_limit: PATIENCE,
        attempt_timeout: PATIENCE,
    });
    number.collect()
}

/// A temporary folder, removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Self, StageError> {
        let name = format!("chestnutlane-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        create(&path).map_err(|error| StageError::Files(error.to_string()))?;
        Ok(Self(path))
    }
}

/// Creates a folder that nobody else may read, for it holds a private key.
fn create(path: &Path) -> std::io::Result<()> {
    use std::os::unix::fs::DirBuilderExt;
    std::fs::DirBuilder::new().mode(0o700).create(path)
}

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            eprintln!("{} remains ({error}); remove it", self.0.display());
        }
    }
}

fn started(handle: std::io::Result<ServerHandle>) -> Result<ServerHandle, StageError> {
    handle.map_err(|error| StageError::Start(error.to_string()))
}

fn domain(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}

fn any() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
