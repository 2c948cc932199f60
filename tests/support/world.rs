//! The processes and requests of one scenario.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use chestnut_base::{NameError, RequestId, slot_of};
use chestnut_config::keys::sha256;
use chestnut_fake::certs;
use indexmap::IndexMap;
use reqwest::Client;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::ask::{self, CallerRequest, CallerResponse};
use super::command::{Kind, Options};
use super::operate::Operator;
use super::process::Process;
use super::{Failure, PATIENCE};

/// The teams whose operators the daemons know; each one's key is `ops-TEAM`.
const TEAMS: [&str; 3] = ["base", "letters", "seats"];

/// Where the keys lie that the daemons trust; those under `strange` they don't.
const KEYS: &str = "keys";

/// The slots of the journal.
const SLOTS: u16 = 8;

/// Options that are not handed to the program.
const OWN_OPTIONS: [&str; 3] = ["pool", "service", "domain"];

static WORLDS: AtomicU64 = AtomicU64::new(0);

/// The processes and requests of one scenario.
pub struct World {
    /// Where certificates, settings and logs lie; removed at the end.
    pub dir: PathBuf,
    /// The processes by name, also those that were killed.
    pub processes: IndexMap<String, Process>,
    /// Other names of processes.
    pub aliases: IndexMap<String, String>,
    /// The client of all callers.
    pub http: Client,
    /// The requests that were sent and not awaited.
    pub sent: IndexMap<String, Vec<Sent>>,
    /// The facts of the replies that came last.
    pub last: Vec<Vec<String>>,
    /// All replies.
    pub replies: Vec<(CallerRequest, CallerResponse)>,
    /// The operators whose commands run.
    pub operators: IndexMap<String, Operator>,
    /// The number of changes that were sent.
    pub changes: u64,
}

/// A request on its way.
pub struct Sent {
    /// The request.
    pub ask: CallerRequest,
    /// The tokens that arrived.
    pub seen: Arc<AtomicUsize>,
    /// Its reply.
    pub reply: JoinHandle<CallerResponse>,
}

impl World {
    /// Creates an empty world.
    pub fn new() -> Result<Self, Failure> {
        let number = WORLDS.fetch_add(1, Ordering::SeqCst);
        let name = format!("chestnutlane-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        for keys in [KEYS, "strange"] {
            let keys = dir.join(keys);
            let made = std::fs::create_dir_all(&keys).and_then(|()| certs::write(&keys));
            made.map_err(|error| error.to_string())?;
        }
        let http = Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        Ok(Self {
            dir,
            processes: IndexMap::new(),
            aliases: IndexMap::new(),
            http,
            sent: IndexMap::new(),
            last: Vec::new(),
            replies: Vec::new(),
            operators: IndexMap::new(),
            changes: 0,
        })
    }

    /// Starts the usual processes and waits until all that is declared is served, and
    /// loaded as often as is declared.
    ///
    /// These are the platform, the engines r1.., the service's servers s1.. and
    /// the daemons e1.., in the failure domains a and b by turns.
    pub async fn start_usual(&mut self, options: &Options) -> Result<(), Failure> {
        let domain = |index: usize| {
            let domain = if index % 2 == 1 { "a" } else { "b" };
            ("domain".to_owned(), domain.to_owned())
        };
        let of = |index| Options(IndexMap::from([domain(index)]));
        self.start(Kind::Platform, "platform", &Options::default()).await?;
        for index in 1..=options.number("engines", 2)? {
            self.start(Kind::Engine, &format!("r{index}"), &of(index)).await?;
        }
        for index in 1..=options.number("services", 1)? {
            self.start(Kind::Service, &format!("s{index}"), &of(index)).await?;
        }
        let daemons = options.number("daemons", 3)?;
        for index in 1..=daemons {
            self.start(Kind::Daemon, &format!("e{index}"), &of(index)).await?;
        }
        self.declare_base().await?;
        for index in 1..=daemons {
            self.wait_ready(&format!("e{index}")).await?;
        }
        self.wait_replicas(options.number("engines", 2)?).await
    }

    /// Starts a process and puts its VM on the platform's list.
    pub async fn start(
        &mut self,
        kind: Kind,
        name: &str,
        options: &Options,
    ) -> Result<(), Failure> {
        let log = self.dir.join(format!("{name}.log"));
        let (program, args) = match kind {
            Kind::Daemon => {
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
            .map_err(|why| format!("{name} does not start: {why}"))?;
        self.processes.insert(name.to_owned(), process);
        if kind == Kind::Platform {
            return Ok(());
        }
        let field = if kind == Kind::Daemon { "peer" } else { "address" };
        let address = self.process(name)?.address(field)?.to_owned();
        let mut row = json!({
            "vm": name, "domain": options.or("domain", "a"), "address": address,
            "state": "live",
        });
        match kind {
            Kind::Platform => {}
            Kind::Daemon => row["role"] = "entry".into(),
            Kind::Engine => {
                row["role"] = "runner".into();
                row["pool"] = options.or("pool", "drafting").into();
            }
            Kind::Service => {
                row["role"] = "service".into();
                row["service"] = options.or("service", "desk").into();
            }
        }
        let url = format!("{}/v1/vms/{name}", self.base("platform")?);
        self.put(&url, &row).await
    }

    /// A process by its name or alias.
    pub fn process(&self, name: &str) -> Result<&Process, Failure> {
        let name = self.real_name(name);
        self.processes.get(name).ok_or_else(|| format!("no process {name}"))
    }

    /// A process by its name or alias, to change it.
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, Failure> {
        let name = self.real_name(name).to_owned();
        self.processes.get_mut(&name).ok_or_else(|| format!("no process {name}"))
    }

    /// The name behind an alias.
    pub fn real_name<'a>(&'a self, name: &'a str) -> &'a str {
        self.aliases.get(name).map_or(name, String::as_str)
    }

    /// The daemon that holds a claim such as `server:r1`, as the daemon `at` knows.
    pub async fn holder(&self, at: &str, claim: &str) -> Result<String, Failure> {
        let claim = match claim.strip_prefix("slot:").and_then(|id| id.split_once('/')) {
            Some((caller, key)) => format!("slot:{}", slot(caller, key)?),
            None => claim.to_owned(),
        };
        let state = self.get(&format!("{}/debug/state", self.ops(at)?)).await?;
        let holder = &state["view"]["claims"][&claim]["holder"];
        let holder = holder.as_str().ok_or(format!("nobody holds {claim}"))?;
        let vm = state["view"]["members"][holder]["vm"].as_str();
        vm.map(str::to_owned).ok_or(format!("the holder of {claim} is no member"))
    }

    /// The base URL of a stand-in, or the one of a daemon for callers.
    pub fn base(&self, name: &str) -> Result<String, Failure> {
        let process = self.process(name)?;
        let field = if process.kind == Kind::Daemon { "caller" } else { "address" };
        Ok(format!("http://{}", process.address(field)?))
    }

    /// The base URL of a daemon for operators.
    pub fn ops(&self, name: &str) -> Result<String, Failure> {
        Ok(format!("http://{}", self.process(name)?.address("ops")?))
    }

    /// The daemons by name, in the order in which they were started.
    pub fn named(&self, kind: Kind) -> impl Iterator<Item = &str> {
        let of = self.processes.iter().filter(move |(_, process)| process.kind == kind);
        of.map(|(name, _)| name.as_str())
    }

    /// Reads JSON from a URL.
    pub async fn get(&self, url: &str) -> Result<Value, Failure> {
        let call = self.http.get(url).timeout(Duration::from_secs(5));
        let answer = call.send().await.map_err(|error| error.to_string())?;
        answer.json().await.map_err(|error| error.to_string())
    }

    /// Puts JSON to a URL.
    pub async fn put(&self, url: &str, body: &Value) -> Result<(), Failure> {
        let answer = self.http.put(url).json(body).send().await;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status().is_success() {
            Ok(())
        } else {
            Err(format!("{url} answered {}", answer.status()))
        }
    }

    /// A failure with the ends of all logs.
    pub fn report(&self, why: &str) -> Failure {
        let mut text = why.to_owned();
        for (name, process) in &self.processes {
            let tail = process.tail();
            if !tail.is_empty() {
                text.push_str(&format!("\n  log of {name}:\n    {tail}"));
            }
        }
        text
    }

    async fn declare_base(&mut self) -> Result<(), Failure> {
        let mut text = include_str!("base.jsonc").to_owned();
        for caller in ["portal", "caseworker"] {
            let hash = sha256(&format!("key-{caller}"));
            text = text.replace(&format!("@{caller}@"), &hash);
        }
        let start = std::time::Instant::now();
        loop {
            let (status, answer) = self
                .declare("e1", "base", "base.jsonc", Some(text.clone()), None)
                .await?;
            if answer["verdict"] == "accepted" {
                return Ok(());
            }
            // The first poll may not have been made yet.
            if start.elapsed() > PATIENCE {
                return Err(format!("the base was refused: {status} {answer}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends a change of one file to a daemon, made from the revision `base` or from
    /// the one that the daemon has in force.
    pub async fn declare(
        &mut self,
        at: &str,
        team: &str,
        file: &str,
        text: Option<String>,
        base: Option<usize>,
    ) -> Result<(u16, Value), Failure> {
        self.changes += 1;
        let ops = self.ops(at)?;
        let state = self.get(&format!("{ops}/debug/state")).await?;
        let change = json!({
            "id": format!("change-{}", self.changes),
            "team": team,
            "author": format!("operator of {team}"),
            "base": base.map_or(state["revision"].clone(), Value::from),
            "edits": {file: text},
        });
        let call = self
            .http
            .post(format!("{ops}/v1/config/apply"))
            .header("x-team", team)
            .header("authorization", format!("Bearer ops-{team}"))
            .json(&change);
        let answer = call.send().await.map_err(|error| error.to_string())?;
        let status = answer.status().as_u16();
        let text = answer.text().await.map_err(|error| error.to_string())?;
        Ok((status, serde_json::from_str(&text).unwrap_or(Value::from(text))))
    }

    /// Waits until a daemon serves every route and the service.
    /// Waits until the model that is declared with two replicas has them, or one on each
    /// engine if there are fewer.
    async fn wait_replicas(&self, engines: usize) -> Result<(), Failure> {
        let start = std::time::Instant::now();
        loop {
            let mut replicas = 0;
            for index in 1..=engines {
                let report = self.base(&format!("r{index}"))? + "/v1/report";
                let report = self.get(&report).await?;
                let models = report["models"].as_array().into_iter().flatten();
                let ready =
                    |one: &&Value| one["model"] == "drafter" && one["state"] == "ready";
                replicas += models.filter(ready).count();
            }
            if replicas >= engines.min(2) {
                return Ok(());
            }
            if start.elapsed() > PATIENCE {
                return Err(format!("the drafter has {replicas} replicas only"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn wait_ready(&self, name: &str) -> Result<(), Failure> {
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
            let ask = ask::read(&options, vec![self.base(name)?])?;
            let start = std::time::Instant::now();
            loop {
                let reply = ask
                    .clone()
                    .send_with_retries(self.http.clone(), Arc::default())
                    .await;
                if reply.is_complete(&ask) {
                    break;
                }
                if start.elapsed() > PATIENCE {
                    let facts = ask::facts(&reply, &ask).join(" ");
                    let body = &reply.body;
                    return Err(format!("{name} never served {ask:?}: {facts} {body}"));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn stand_in_args(
        &self,
        kind: Kind,
        options: &Options,
    ) -> Result<Vec<String>, Failure> {
        let mut defaults: IndexMap<&str, String> = IndexMap::new();
        let command = match kind {
            Kind::Platform => "platform",
            Kind::Service => {
                defaults.insert("name", options.or("service", "desk").to_owned());
                "service"
            }
            Kind::Engine => {
                defaults.insert("capacity", "100000".to_owned());
                defaults.insert("tokens", "100000".to_owned());
                defaults.insert("streams", "8".to_owned());
                defaults.insert("step-ms", "5".to_owned());
                defaults.insert("weights", self.base("platform")?);
                "engine"
            }
            Kind::Daemon => return Err("a daemon is no stand-in".into()),
        };
        for (name, value) in &options.0 {
            if !OWN_OPTIONS.contains(&name.as_str()) {
                defaults.insert(name, value.clone());
            }
        }
        let mut args = vec![command.to_owned()];
        for (name, value) in defaults {
            let flag = value.is_empty();
            args.push(if flag {
                format!("--{name}")
            } else {
                format!("--{name}={value}")
            });
        }
        Ok(args)
    }

    /// Writes a daemon's settings; options such as `times.lease_ms` change them.
    fn write_settings(&self, name: &str, options: &Options) -> Result<PathBuf, Failure> {
        let platform = self.base("platform")?;
        let keys = self.dir.join(options.or("keys", KEYS));
        let file = |name: &str| keys.join(name).display().to_string();
        let operators: IndexMap<&str, String> =
            TEAMS.iter().map(|team| (*team, sha256(&format!("ops-{team}")))).collect();
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "vm": name,
            "domain": options.or("domain", "a"),
            "caller_addr": any, "peer_addr": any, "ops_addr": any,
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
            "limits": { "slots": SLOTS },
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

impl Drop for World {
    fn drop(&mut self) {
        self.operators.clear();
        self.processes.clear();
        // A directory that can't be removed is the system's to clean up.
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// The slot of the journal for a caller's key.
fn slot(caller: &str, key: &str) -> Result<u16, Failure> {
    let caller = caller.try_into().map_err(|error: NameError| error.to_string())?;
    let id = RequestId { caller, key: key.to_owned() };
    Ok(slot_of(&id, SLOTS).0)
}
