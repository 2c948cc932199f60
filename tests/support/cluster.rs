//! Processes and requests of one scenario.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use chestnut_base::{NameError, RequestId, slot_of};
use chestnut_config::keys::sha256_hex;
use chestnut_fake::certs;
use indexmap::IndexMap;
use reqwest::Client;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::command::{Options, ProcessKind};
use super::operator::Operator;
use super::process::Process;
use super::request::{self, CallerRequest, CallerResponse};
use super::{Failure, TIMEOUT};

/// Teams whose operators may send changes to the daemons; the key of each is `ops-TEAM`.
const TEAMS: [&str; 3] = ["base", "letters", "seats"];

/// Directory of the certificates that the daemons trust; they don't trust those under
/// `strange`.
const TRUSTED_KEYS: &str = "keys";

/// Number of journal slots.
const SLOT_COUNT: u16 = 8;

/// Options that describe the VM and are not passed to the program.
const VM_OPTIONS: [&str; 3] = ["pool", "service", "domain"];

static NEXT_CLUSTER: AtomicU64 = AtomicU64::new(0);

/// Processes and requests of one scenario.
pub struct Cluster {
    /// Directory of certificates, settings and logs; removed on drop.
    pub dir: PathBuf,
    /// Processes by name, also those that were killed.
    pub processes: IndexMap<String, Process>,
    /// Process names by alias.
    pub aliases: IndexMap<String, String>,
    /// HTTP client of all callers.
    pub http: Client,
    /// Requests that were sent and not awaited yet, by name.
    pub sent: IndexMap<String, Vec<SentRequest>>,
    /// Facts about each of the latest responses.
    pub last_facts: Vec<Vec<String>>,
    /// All awaited requests with their responses.
    pub responses: Vec<(CallerRequest, CallerResponse)>,
    /// Operators whose commands run, by name.
    pub operators: IndexMap<String, Operator>,
    /// Number of declaration changes sent so far; used for their ids.
    pub change_count: u64,
}

/// A request without an awaited response.
pub struct SentRequest {
    /// The request as sent.
    pub request: CallerRequest,
    /// Number of tokens that have arrived.
    pub token_count: Arc<AtomicUsize>,
    /// Task that sends the request and returns the response.
    pub response: JoinHandle<CallerResponse>,
}

impl Cluster {
    /// Creates an empty cluster with its directory and certificates.
    pub fn new() -> Result<Self, Failure> {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::SeqCst);
        let name = format!("chestnutlane-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        for keys in [TRUSTED_KEYS, "strange"] {
            let keys = dir.join(keys);
            let result =
                std::fs::create_dir_all(&keys).and_then(|()| certs::write(&keys));
            result.map_err(|error| error.to_string())?;
        }
        let http = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        Ok(Self {
            dir,
            processes: IndexMap::new(),
            aliases: IndexMap::new(),
            http,
            sent: IndexMap::new(),
            last_facts: Vec::new(),
            responses: Vec::new(),
            operators: IndexMap::new(),
            change_count: 0,
        })
    }

    /// Starts the default processes and waits until all declared routes are served and
    /// all replicas are loaded.
    ///
    /// These are the platform, the engines r1.., the service's servers s1.. and the
    /// daemons e1.., alternating between the failure domains a and b.
    pub async fn start_default(&mut self, options: &Options) -> Result<(), Failure> {
        let domain = |index: usize| {
            let domain = if index % 2 == 1 { "a" } else { "b" };
            ("domain".to_owned(), domain.to_owned())
        };
        let options_of = |index| Options(IndexMap::from([domain(index)]));
        self.start(ProcessKind::Platform, "platform", &Options::default()).await?;
        for index in 1..=options.number_or("engines", 2)? {
            self.start(ProcessKind::Engine, &format!("r{index}"), &options_of(index))
                .await?;
        }
        for index in 1..=options.number_or("services", 1)? {
            self.start(ProcessKind::Service, &format!("s{index}"), &options_of(index))
                .await?;
        }
        let daemons = options.number_or("daemons", 3)?;
        for index in 1..=daemons {
            self.start(ProcessKind::Daemon, &format!("e{index}"), &options_of(index))
                .await?;
        }
        self.declare_base().await?;
        for index in 1..=daemons {
            self.wait_until_ready(&format!("e{index}")).await?;
        }
        self.wait_for_replicas(options.number_or("engines", 2)?).await
    }

    /// Starts a process and adds its VM to the platform's list.
    pub async fn start(
        &mut self,
        kind: ProcessKind,
        name: &str,
        options: &Options,
    ) -> Result<(), Failure> {
        let log = self.dir.join(format!("{name}.log"));
        let (program, args) = match kind {
            ProcessKind::Daemon => {
                let settings = self.write_settings(name, options)?;
                let args = vec!["run".to_owned(), settings.display().to_string()];
                (env!("CARGO_BIN_EXE_chestnutlaned"), args)
            }
            _ => {
                let args = self.stand_in_args(kind, options)?;
                (env!("CARGO_BIN_EXE_chestnut-stand-in"), args)
            }
        };
        let process = Process::start(kind, program, &args, log)
            .map_err(|reason| format!("{name} did not start: {reason}"))?;
        self.processes.insert(name.to_owned(), process);
        if kind == ProcessKind::Platform {
            return Ok(());
        }
        let field = if kind == ProcessKind::Daemon { "peer" } else { "address" };
        let address = self.process(name)?.address(field)?.to_owned();
        let mut row = json!({
            "vm": name, "domain": options.text_or("domain", "a"), "address": address,
            "state": "live",
        });
        match kind {
            ProcessKind::Platform => {}
            ProcessKind::Daemon => row["role"] = "entry".into(),
            ProcessKind::Engine => {
                row["role"] = "runner".into();
                row["pool"] = options.text_or("pool", "drafting").into();
            }
            ProcessKind::Service => {
                row["role"] = "service".into();
                row["service"] = options.text_or("service", "desk").into();
            }
        }
        let url = format!("{}/v1/vms/{name}", self.base_url("platform")?);
        self.put_json(&url, &row).await
    }

    /// Process by name or alias.
    pub fn process(&self, name: &str) -> Result<&Process, Failure> {
        let name = self.resolve_alias(name);
        self.processes.get(name).ok_or_else(|| format!("no process {name}"))
    }

    /// Process by name or alias, to change it.
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, Failure> {
        let name = self.resolve_alias(name).to_owned();
        self.processes.get_mut(&name).ok_or_else(|| format!("no process {name}"))
    }

    /// The name that an alias stands for; other names are returned as they are.
    pub fn resolve_alias<'a>(&'a self, name: &'a str) -> &'a str {
        self.aliases.get(name).map_or(name, String::as_str)
    }

    /// Name of the daemon that holds a claim such as `server:r1`, according to the daemon
    /// `at`.
    pub async fn holder(&self, at: &str, claim: &str) -> Result<String, Failure> {
        let claim = match claim.strip_prefix("slot:").and_then(|id| id.split_once('/')) {
            Some((caller, key)) => format!("slot:{}", slot_number(caller, key)?),
            None => claim.to_owned(),
        };
        let state = self.get_json(&format!("{}/debug/state", self.ops_url(at)?)).await?;
        let holder = &state["view"]["claims"][&claim]["holder"];
        let holder = holder.as_str().ok_or(format!("nobody holds {claim}"))?;
        let vm = state["view"]["members"][holder]["vm"].as_str();
        vm.map(str::to_owned).ok_or(format!("the holder of {claim} is not a member"))
    }

    /// Base URL of a stand-in, or a daemon's base URL for callers.
    pub fn base_url(&self, name: &str) -> Result<String, Failure> {
        let process = self.process(name)?;
        let field =
            if process.kind == ProcessKind::Daemon { "caller" } else { "address" };
        Ok(format!("http://{}", process.address(field)?))
    }

    /// Base URL of a daemon for operators.
    pub fn ops_url(&self, name: &str) -> Result<String, Failure> {
        Ok(format!("http://{}", self.process(name)?.address("ops")?))
    }

    /// Names of the processes of a kind, in the order in which they were started.
    pub fn process_names(&self, kind: ProcessKind) -> impl Iterator<Item = &str> {
        let matching =
            self.processes.iter().filter(move |(_, process)| process.kind == kind);
        matching.map(|(name, _)| name.as_str())
    }

    /// Gets JSON from a URL.
    pub async fn get_json(&self, url: &str) -> Result<Value, Failure> {
        let http_request = self.http.get(url).timeout(Duration::from_secs(5));
        let response = http_request.send().await.map_err(|error| error.to_string())?;
        response.json().await.map_err(|error| error.to_string())
    }

    /// Puts JSON to a URL.
    pub async fn put_json(&self, url: &str, body: &Value) -> Result<(), Failure> {
        let response = self.http.put(url).json(body).send().await;
        let response = response.map_err(|error| error.to_string())?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(format!("{url} responded {}", response.status()))
        }
    }

    /// Appends the ends of all logs to a failure.
    pub fn failure_with_logs(&self, reason: &str) -> Failure {
        let mut text = reason.to_owned();
        for (name, process) in &self.processes {
            let log_tail = process.log_tail();
            if !log_tail.is_empty() {
                text.push_str(&format!("\n  log of {name}:\n    {log_tail}"));
            }
        }
        text
    }

    pub async fn declare_base(&mut self) -> Result<(), Failure> {
        let mut text = include_str!("base.jsonc").to_owned();
        for caller in ["portal", "caseworker"] {
            let hash = sha256_hex(&format!("key-{caller}"));
            text = text.replace(&format!("@{caller}@"), &hash);
        }
        let start = std::time::Instant::now();
        loop {
            let (status, response) = self
                .declare("e1", "base", "base.jsonc", Some(text.clone()), None)
                .await?;
            if response["verdict"] == "accepted" {
                return Ok(());
            }
            // The daemon may not have polled the table yet.
            if start.elapsed() > TIMEOUT {
                return Err(format!(
                    "the base declarations were refused: {status} {response}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends a change of one file to a daemon, based on `base_revision` or else on the
    /// revision that the daemon has in force.
    pub async fn declare(
        &mut self,
        at: &str,
        team: &str,
        file: &str,
        text: Option<String>,
        base_revision: Option<usize>,
    ) -> Result<(u16, Value), Failure> {
        self.change_count += 1;
        let ops = self.ops_url(at)?;
        let state = self.get_json(&format!("{ops}/debug/state")).await?;
        let change = json!({
            "id": format!("change-{}", self.change_count),
            "team": team,
            "author": format!("operator of {team}"),
            "base": base_revision.map_or(state["revision"].clone(), Value::from),
            "edits": {file: text},
        });
        let http_request = self
            .http
            .post(format!("{ops}/v1/config/apply"))
            .header("x-team", team)
            .header("authorization", format!("Bearer ops-{team}"))
            .json(&change);
        let response = http_request.send().await.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let text = response.text().await.map_err(|error| error.to_string())?;
        Ok((status, serde_json::from_str(&text).unwrap_or(Value::from(text))))
    }

    /// Waits until the drafter has its two declared replicas, or one on each engine if
    /// there are fewer.
    async fn wait_for_replicas(&self, engines: usize) -> Result<(), Failure> {
        let start = std::time::Instant::now();
        loop {
            let mut replicas = 0;
            for index in 1..=engines {
                let report_url = self.base_url(&format!("r{index}"))? + "/v1/report";
                let report = self.get_json(&report_url).await?;
                let models = report["models"].as_array().into_iter().flatten();
                let ready = |model: &&Value| {
                    model["model"] == "drafter" && model["state"] == "ready"
                };
                replicas += models.filter(ready).count();
            }
            if replicas >= engines.min(2) {
                return Ok(());
            }
            if start.elapsed() > TIMEOUT {
                return Err(format!("the drafter has only {replicas} replicas"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a daemon serves every route and the service.
    pub async fn wait_until_ready(&self, name: &str) -> Result<(), Failure> {
        let ready = [
            Options(IndexMap::from([("route".into(), "draft".into())])),
            Options(IndexMap::from([("route".into(), "water".into())])),
            Options(IndexMap::from([("route".into(), "proof".into())])),
            Options(IndexMap::from([
                ("svc".into(), "desk".into()),
                ("method".into(), "GET".into()),
            ])),
        ];
        for mut options in ready {
            options.0.insert("prompt".into(), "ready?".into());
            let request = request::parse(&options, vec![self.base_url(name)?])?;
            let start = std::time::Instant::now();
            loop {
                let response = request
                    .clone()
                    .send_with_retries(self.http.clone(), Arc::default())
                    .await;
                if response.is_complete(&request) {
                    break;
                }
                if start.elapsed() > TIMEOUT {
                    let facts = request::facts(&response, &request).join(" ");
                    let body = &response.body;
                    return Err(format!(
                        "{name} never served {request:?}: {facts} {body}"
                    ));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn stand_in_args(
        &self,
        kind: ProcessKind,
        options: &Options,
    ) -> Result<Vec<String>, Failure> {
        let mut defaults: IndexMap<&str, String> = IndexMap::new();
        let command = match kind {
            ProcessKind::Platform => "platform",
            ProcessKind::Service => {
                defaults.insert("name", options.text_or("service", "desk").to_owned());
                "service"
            }
            ProcessKind::Engine => {
                defaults.insert("capacity", "100000".to_owned());
                defaults.insert("tokens", "100000".to_owned());
                defaults.insert("streams", "8".to_owned());
                defaults.insert("step-ms", "5".to_owned());
                defaults.insert("weights", self.base_url("platform")?);
                "engine"
            }
            ProcessKind::Daemon => return Err("a daemon is not a stand-in".into()),
        };
        for (name, value) in &options.0 {
            if !VM_OPTIONS.contains(&name.as_str()) {
                defaults.insert(name, value.clone());
            }
        }
        let mut args = vec![command.to_owned()];
        for (name, value) in defaults {
            let is_flag = value.is_empty();
            args.push(if is_flag {
                format!("--{name}")
            } else {
                format!("--{name}={value}")
            });
        }
        Ok(args)
    }

    /// Writes a daemon's settings; an option such as `times.lease_ms` overrides the value
    /// of that field.
    fn write_settings(&self, name: &str, options: &Options) -> Result<PathBuf, Failure> {
        let platform = self.base_url("platform")?;
        let keys = self.dir.join(options.text_or("keys", TRUSTED_KEYS));
        let file = |name: &str| keys.join(name).display().to_string();
        let operators: IndexMap<&str, String> = TEAMS
            .iter()
            .map(|team| (*team, sha256_hex(&format!("ops-{team}"))))
            .collect();
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "vm": name,
            "domain": options.text_or("domain", "a"),
            "caller_addr": any_port, "peer_addr": any_port, "ops_addr": any_port,
            "table_url": platform, "object_url": platform, "vms_url": platform,
            "tls": {
                "cert": file("daemon.pem"),
                "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": operators,
            "times": {
                "lease_ms": 3000, "renewal_ms": 500, "poll_ms": 100,
                "platform_ms": 1000, "leave_ms": 1000, "keep_ms": 500,
            },
            "limits": { "slots": SLOT_COUNT },
        });
        for (option, value) in &options.0 {
            if let Some((group, field)) = option.split_once('.') {
                settings[group][field] = serde_json::from_str(value)
                    .map_err(|error| format!("{option}={value}: {error}"))?;
            }
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|e| e.to_string())?;
        Ok(path)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.operators.clear();
        self.processes.clear();
        // A directory that can't be removed is left to the system's cleanup.
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// The journal slot of a caller's key.
fn slot_number(caller: &str, key: &str) -> Result<u16, Failure> {
    let caller = caller.try_into().map_err(|error: NameError| error.to_string())?;
    let id = RequestId { caller, key: key.to_owned() };
    Ok(slot_of(&id, SLOT_COUNT).0)
}
