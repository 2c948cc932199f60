//! Real daemons on a fake platform, and the changes that they apply.

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
use super::relay::{self, ByteCounter};

const TEAM: &str = "team";
const OPERATOR_KEY: &str = "key";

/// The revisions that a daemon put in force, each with the time.
type RevisionLog = Mutex<Vec<(Revision, Instant)>>;

/// The fake platform and the daemons of the experiment.
pub struct Testbed {
    platform: ServerHandle,
    daemons: Vec<Daemon>,
    /// Traffic with the table, by daemon.
    byte_counters: Vec<Arc<ByteCounter>>,
    /// Revisions in force over time, by daemon.
    revision_logs: Vec<Arc<RevisionLog>>,
    http: Client,
    /// Number of declaration files, at least one.
    file_count: usize,
    /// Number of changes sent so far; each created a revision.
    change_count: usize,
}

/// An accepted change.
pub struct AcceptedChange {
    /// When the change was sent to the daemon.
    pub sent_at: Instant,
    /// When the daemon's response arrived.
    pub accepted_at: Instant,
    /// The revision that the change created.
    pub revision: Revision,
}

/// Traffic of all daemons with the table since the start.
pub struct TableTraffic {
    /// Bytes in both directions, by the relays.
    pub bytes: u64,
    /// Commits, conflicting ones included, and reads.
    pub calls: u64,
}

impl Testbed {
    /// Starts the platform and the daemons, and declares all files.
    pub async fn start(options: &Options) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::start(any_port, WeightStoreConfig::default()).await;
        let platform = platform.expect("a free port");
        let http =
            Client::builder().no_proxy().build().expect("the HTTP client is valid");
        let dir = write_certificates();
        let mut testbed = Self {
            platform,
            daemons: Vec::new(),
            byte_counters: Vec::new(),
            revision_logs: Vec::new(),
            http,
            file_count: options.files.max(1),
            change_count: 0,
        };
        let faults = json!({ "table": { "delay_ms": options.delay } });
        let url = format!("{}/faults", testbed.platform.url());
        let response = testbed.http.post(url).json(&faults).send().await;
        response.expect("the fake platform responds");
        for index in 0..options.daemons {
            testbed.start_daemon(options, index, &dir).await;
        }
        std::fs::remove_dir_all(&dir).expect("the experiment created the folder");
        for _ in 0..testbed.file_count {
            testbed.apply_change(options.size).await;
        }
        testbed.wait_until_in_force().await;
        testbed
    }

    async fn start_daemon(&mut self, options: &Options, index: usize, dir: &Path) {
        let byte_counter = Arc::new(ByteCounter::default());
        let table = relay::start(self.platform.address, byte_counter.clone()).await;
        let table = format!("http://{}", table.expect("a free port"));
        let file = |name: &str| dir.join(name).display().to_string();
        let any_port = "127.0.0.1:0";
        let text = json!({
            "vm": format!("entry-{index}"), "domain": format!("domain-{}", index % 3),
            "caller_addr": any_port, "peer_addr": any_port, "ops_addr": any_port,
            "table_url": table, "object_url": self.platform.url(),
            "vms_url": self.platform.url(),
            "tls": {
                "cert": file("daemon.pem"), "key": file("daemon.key"),
                "trust": file("trust.pem"),
            },
            "operators": { TEAM: keys::sha256_hex(OPERATOR_KEY) },
            "times": { "poll_ms": options.poll },
        });
        let settings = Settings::parse("the experiment's settings", &text.to_string());
        let settings = settings.expect("the settings are valid");
        let daemon = run::start(settings, Arc::new(SystemClock), logs::discard()).await;
        let daemon = daemon.expect("the daemon starts");
        let revision_log: Arc<RevisionLog> = Arc::default();
        let mut catalog = daemon.node().shared.catalog.subscribe();
        let log = revision_log.clone();
        tokio::spawn(async move {
            while catalog.changed().await.is_ok() {
                let revision = catalog.borrow_and_update().revision;
                let mut log = log.lock().expect("no thread panics with the lock");
                log.push((revision, Instant::now()));
            }
        });
        self.daemons.push(daemon);
        self.byte_counters.push(byte_counter);
        self.revision_logs.push(revision_log);
    }

    /// Replaces a file with a new text of `size` bytes; cycles through files and daemons.
    pub async fn apply_change(&mut self, size: usize) -> AcceptedChange {
        let number = self.change_count;
        self.change_count += 1;
        let daemon = &self.daemons[number % self.daemons.len()];
        let sent_at = Instant::now();
        let change = json!({
            "id": format!("change-{number}"), "team": TEAM, "author": "the experiment",
            "base": number,
            "edits": { format!("file-{}.jsonc", number % self.file_count):
                       file_text(number, number % self.file_count, size) },
        });
        let url = format!("http://{}/v1/config/apply", daemon.addresses.ops);
        let call = self.http.post(url).header("x-team", TEAM).bearer_auth(OPERATOR_KEY);
        let response = call.json(&change).send().await.expect("the daemon responds");
        let response: Value = response.json().await.expect("the response is JSON");
        let revision = response["revision"].as_u64();
        let revision = revision.unwrap_or_else(|| panic!("not accepted: {response}"));
        AcceptedChange {
            sent_at,
            accepted_at: Instant::now(),
            revision: Revision(revision),
        }
    }

    /// Waits until the newest revision is in force at all daemons.
    pub async fn wait_until_in_force(&self) {
        let newest = Revision(self.change_count as u64);
        for daemon in &self.daemons {
            while daemon.node().shared.catalog().revision < newest {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// When `revision` or a later one was first in force at all daemons.
    ///
    /// Panics if it isn't in force everywhere yet.
    pub fn in_force_at(&self, revision: Revision) -> Instant {
        let first_time = |log: &Arc<RevisionLog>| {
            let log = log.lock().expect("no thread panics with the lock");
            let found = log.iter().find(|(logged, _)| *logged >= revision);
            found.map(|(_, at)| *at).expect("the revision is in force")
        };
        self.revision_logs.iter().map(first_time).max().expect("there is a daemon")
    }

    /// Reads the relays' byte counters and the platform's call counters.
    pub async fn table_traffic(&self) -> TableTraffic {
        let url = format!("{}/counts", self.platform.url());
        let counts = self.http.get(url).send().await.expect("the fake platform responds");
        let counts: Value = counts.json().await.expect("the response is JSON");
        let count = |name: &str| counts[name].as_u64().unwrap_or(0);
        TableTraffic {
            bytes: self.byte_counters.iter().map(|counter| counter.total()).sum(),
            calls: count("commits") + count("conflicts") + count("reads"),
        }
    }
}

/// A file that declares one kind of request, padded to `size` bytes by a comment.
///
/// Its deadline is `number` + 1 ms, so that each change differs.
fn file_text(number: usize, file: usize, size: usize) -> String {
    let text = format!(
        "{{ \"kinds\": {{ \"kind-{file}\": {{ \"urgency\": \"slow\", \"deadline_ms\": {}, \
         \"idempotent\": true }} }} }}\n",
        number + 1
    );
    let padding = size.saturating_sub(text.len() + 3);
    format!("{text}// {}", "x".repeat(padding))
}

/// Writes certificates and keys into a new temporary folder.
fn write_certificates() -> PathBuf {
    let folder_name = format!("chestnutlane-lab-{}", std::process::id());
    let dir = std::env::temp_dir().join(folder_name);
    std::fs::create_dir_all(&dir).expect("the temporary folder is writable");
    chestnut_fake::certs::write(&dir).expect("the folder is writable");
    dir
}
