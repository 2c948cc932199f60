//! The platform's stand-in and the daemons of the experiment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{Revision, SystemClock};
use chestnut_config::{Settings, keys};
use chestnut_fake::weights::WeightStoreConfig;
use chestnut_fake::{ServerHandle, platform};
use chestnut_node::logs;
use chestnut_node::run::{self, Daemon};
use reqwest::Client;
use serde_json::{Value, json};

use super::Options;
use super::relay::{self, Count};

const TEAM: &str = "team";
const KEY: &str = "key";

/// The revisions that a daemon had in force, and since when.
type Seen = Mutex<Vec<(Revision, Instant)>>;

/// The platform's stand-in and the daemons of the experiment.
pub struct Stage {
    platform: ServerHandle,
    daemons: Vec<Daemon>,
    counts: Vec<Arc<Count>>,
    /// When each daemon had which revision in force.
    seen: Vec<Arc<Seen>>,
    http: Client,
    files: usize,
    changes: usize,
}

/// A change that was accepted.
pub struct Sent {
    /// When it was sent.
    pub sent: Instant,
    /// When its answer came.
    pub told: Instant,
    /// The revision that it made.
    pub revision: Revision,
}

/// What the daemons cost the platform so far.
pub struct Costs {
    /// Bytes to and from the table.
    pub bytes: u64,
    /// Calls to the table of any kind.
    pub calls: u64,
}

impl Stage {
    /// Starts everything and declares all files.
    pub async fn start(options: &Options) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::start(any, WeightStoreConfig::default()).await;
        let platform = platform.expect("a port is free");
        let http = Client::builder().no_proxy().build().expect("clients can be made");
        let dir = certs();
        let mut stage = Self {
            platform,
            daemons: Vec::new(),
            counts: Vec::new(),
            seen: Vec::new(),
            http,
            files: options.files.max(1),
            changes: 0,
        };
        let faults = json!({ "table": { "delay_ms": options.delay } });
        let url = format!("{}/faults", stage.platform.url());
        let done = stage.http.post(url).json(&faults).send().await;
        done.expect("the stand-in answers");
        for index in 0..options.daemons {
            stage.start_daemon(options, index, &dir).await;
        }
        std::fs::remove_dir_all(&dir).expect("the folder is ours");
        for _ in 0..stage.files {
            stage.change(options.size).await;
        }
        stage.settle().await;
        stage
    }

    async fn start_daemon(&mut self, options: &Options, index: usize, dir: &Path) {
        let count = Arc::new(Count::default());
        let table = relay::start(self.platform.address, count.clone()).await;
        let table = format!("http://{}", table.expect("a port is free"));
        let file = |name: &str| dir.join(name).display().to_string();
        let any = "127.0.0.1:0";
        let text = json!({
            "vm": format!("entry-{index}"), "domain": format!("domain-{}", index % 3),
            "caller_addr": any, "peer_addr": any, "ops_addr": any,
            "table_url": table, "object_url": self.platform.url(),
            "vms_url": self.platform.url(),
            "tls": {
                "cert": file("daemon.pem"), "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": { TEAM: keys::sha256(KEY) },
            "times": { "poll_ms": options.poll },
        });
        let settings = Settings::parse("the experiment's settings", &text.to_string());
        let settings = settings.expect("the settings are valid");
        let daemon = run::start(settings, Arc::new(SystemClock), logs::silent()).await;
        let daemon = daemon.expect("the daemon starts");
        let seen: Arc<Seen> = Arc::default();
        let mut catalog = daemon.node().shared.catalog.subscribe();
        let note = seen.clone();
        tokio::spawn(async move {
            while catalog.changed().await.is_ok() {
                let revision = catalog.borrow_and_update().revision;
                let mut note = note.lock().expect("no holder panics");
                note.push((revision, Instant::now()));
            }
        });
        self.daemons.push(daemon);
        self.counts.push(count);
        self.seen.push(seen);
    }

    /// Changes the next file through the next daemon.
    pub async fn change(&mut self, size: usize) -> Sent {
        let number = self.changes;
        self.changes += 1;
        let daemon = &self.daemons[number % self.daemons.len()];
        let sent = Instant::now();
        let change = json!({
            "id": format!("change-{number}"), "team": TEAM, "author": "the experiment",
            "base": number,
            "edits": { format!("file-{}.jsonc", number % self.files):
                       text(number, number % self.files, size) },
        });
        let url = format!("http://{}/v1/config/apply", daemon.addresses.ops);
        let call = self.http.post(url).header("x-team", TEAM).bearer_auth(KEY);
        let answer = call.json(&change).send().await.expect("the daemon answers");
        let answer: Value = answer.json().await.expect("the answer is JSON");
        let revision = answer["revision"].as_u64();
        let revision = revision.unwrap_or_else(|| panic!("not accepted: {answer}"));
        Sent { sent, told: Instant::now(), revision: Revision(revision) }
    }

    /// Waits until the newest revision is in force everywhere.
    pub async fn settle(&self) {
        let newest = Revision(self.changes as u64);
        for daemon in &self.daemons {
            while daemon.node().shared.catalog().revision < newest {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// When a revision or a later one was in force at all daemons.
    pub fn in_force(&self, revision: Revision) -> Instant {
        let first = |seen: &Arc<Seen>| {
            let seen = seen.lock().expect("no holder panics");
            let found = seen.iter().find(|(it, _)| *it >= revision);
            found.map(|(_, at)| *at).expect("the experiment waited for it")
        };
        self.seen.iter().map(first).max().expect("there is a daemon")
    }

    /// What the daemons cost the platform so far.
    pub async fn costs(&self) -> Costs {
        let url = format!("{}/counts", self.platform.url());
        let counts = self.http.get(url).send().await.expect("the stand-in answers");
        let counts: Value = counts.json().await.expect("the answer is JSON");
        let count = |name: &str| counts[name].as_u64().unwrap_or(0);
        Costs {
            bytes: self.counts.iter().map(|count| count.bytes()).sum(),
            calls: count("commits") + count("conflicts") + count("reads"),
        }
    }
}

/// A file of kinds of request, filled up with a comment.
fn text(number: usize, file: usize, size: usize) -> String {
    let text = format!(
        "{{ \"kinds\": {{ \"kind-{file}\": {{ \"urgency\": \"slow\", \"deadline_ms\": {}, \
         \"idempotent\": true }} }} }}\n",
        number + 1
    );
    let rest = size.saturating_sub(text.len() + 3);
    format!("{text}// {}", "x".repeat(rest))
}

/// Writes certificates into a folder of their own.
fn certs() -> PathBuf {
    let name = format!("chestnutlane-lab-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("the temporary folder is writable");
    chestnut_fake::certs::write(&dir).expect("the folder is writable");
    dir
}
