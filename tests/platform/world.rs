//! Daemons as processes before the platform's stand-ins.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, Operator, PlainServer, Runner, Store,
    free_addr,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::link::Link;

/// How long anything may take that has to happen.
///
/// A busy machine runs everything slower; no test is about this time.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A daemon's process.
pub struct Gate {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where callers ask where to connect.
    pub directory: SocketAddr,
    /// Where it shows metrics and its state.
    pub metrics: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// What it logged.
    pub log: PathBuf,
    child: Child,
}

/// Daemons before the platform's stand-ins.
pub struct World {
    /// The platform's store.
    pub store: Store,
    /// Who writes the configuration.
    pub operator: Operator,
    /// Model runners; the first two hold the model `red`, the last `blue`.
    pub runners: Vec<Runner>,
    /// Servers of the plain service.
    pub services: Vec<PlainServer>,
    /// The daemons.
    pub gates: Vec<Gate>,
    /// A caller.
    pub caller: Caller,
    /// Proxies before the parts; none unless they were asked for.
    pub links: Links,
    dir: PathBuf,
}

/// Proxies before the parts of a world, in the order of the parts.
#[derive(Default)]
pub struct Links {
    /// Before the callers' ports of the daemons.
    pub callers: Vec<Link>,
    /// Before the store, one for each daemon.
    pub stores: Vec<Link>,
    /// Before the runners.
    pub runners: Vec<Link>,
    /// Before the servers of the plain service.
    pub services: Vec<Link>,
}

static WORLDS: AtomicU32 = AtomicU32::new(0);

impl World {
    /// Starts so many daemons and waits until all are ready.
    pub async fn start(name: &str, gates: usize) -> Self {
        Self::build(name, gates, false).await
    }

    /// The same with proxies between all parts that speak TCP.
    pub async fn start_linked(name: &str, gates: usize) -> Self {
        Self::build(name, gates, true).await
    }

    async fn build(name: &str, gates: usize, linked: bool) -> Self {
        let store = Store::start().await;
        let operator = Operator::start(&store);
        let runners = vec![
            Runner::start(&store, "r1", &["red"]).await,
            Runner::start(&store, "r2", &["red"]).await,
            Runner::start(&store, "r3", &["blue"]).await,
        ];
        let services = vec![
            PlainServer::start(&store, "s1").await,
            PlainServer::start(&store, "s2").await,
        ];
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir();
        let dir = dir.join(format!("chestnut-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory can be made");
        let caller = Caller::new(name);
        let mut world = Self {
            store,
            operator,
            runners,
            services,
            gates: Vec::new(),
            caller,
            links: Links::default(),
            dir,
        };
        if linked {
            world.link_servers().await;
        }
        for number in 0..gates {
            let store = match linked {
                true => world.link_store().await,
                false => world.store.addr,
            };
            let gate = world.spawn(number, store);
            if linked {
                world.links.callers.push(Link::start(gate.callers).await);
            }
            world.gates.push(gate);
        }
        world.until_ready().await;
        world
    }

    /// Waits until all daemons are ready and know each other.
    pub async fn until_ready(&self) {
        let all = self.gates.len();
        for gate in &self.gates {
            until("a daemon knows all", async || {
                let known = self.caller.directory(gate.directory).await;
                self.caller.is_ready(gate.readiness).await && known.len() == all
            })
            .await;
        }
        // All runners' claims are held.
        until("claims are taken", async || {
            let rows = self.store.rows("chestnut");
            rows.keys().filter(|key| key.starts_with("claim:server:")).count() >= 3
        })
        .await;
    }

    /// Puts a proxy before each backend server.
    async fn link_servers(&mut self) {
        for runner in &self.runners {
            let link = Link::start(runner.addr).await;
            runner.register_at(link.addr);
            self.links.runners.push(link);
        }
        for service in &self.services {
            let link = Link::start(service.addr).await;
            service.register_at(&self.store, link.addr);
            self.links.services.push(link);
        }
    }

    /// Puts one more proxy before the store.
    async fn link_store(&mut self) -> SocketAddr {
        let link = Link::start(self.store.addr).await;
        let addr = link.addr;
        self.links.stores.push(link);
        addr
    }

    fn spawn(&self, number: usize, store: SocketAddr) -> Gate {
        let callers = free_addr();
        let (readiness, directory, metrics) = (free_addr(), free_addr(), free_addr());
        let mut ports = [free_addr().port(), free_addr().port()];
        ports.sort_unstable();
        let settings = json!({
            "vm": format!("vm{number}"), "domain": "north", "ip": "127.0.0.1",
            "callers": callers, "readiness": readiness, "directory": directory,
            "metrics": metrics,
            "ports": ports, "store": store,
            "bounds": {
                "stop_s": 8, "directory_s": 5, "retry_ratio": 0.2, "retry_slack": 52,
                "retry_window_s": 10, "fenced": true, "turn_ms": 300, "load_window_s": 5, "load_overshoot": 1.1,
            },
        });
        let path = self.dir.join(format!("vm{number}.json"));
        fs::write(&path, settings.to_string()).expect("a file can be written");
        let log = self.dir.join(format!("vm{number}.log"));
        let child = start(&path, &log);
        Gate { callers, readiness, directory, metrics, settings: path, log, child }
    }

    /// Sends a question to a daemon.
    pub async fn ask(&self, gate: usize, question: &CallerRequest) -> CallerResponse {
        self.caller.send(self.gates[gate].callers, question).await
    }

    /// The runs of a request at all runners and servers.
    pub fn runs(&self, answer: &CallerResponse) -> usize {
        let streams = self.runners.iter().flat_map(Runner::runs);
        let plain = self.services.iter().flat_map(PlainServer::runs);
        let streams = streams.filter(|(id, _)| *id == answer.id).count();
        streams + plain.filter(|(id, _)| *id == answer.id).count()
    }

    /// The runner that ran a request last.
    pub fn runner_of(&self, id_start: &str) -> Option<&Runner> {
        self.runners.iter().find(|runner| {
            runner.runs().last().is_some_and(|(id, _)| id.starts_with(id_start))
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gate in &mut self.gates {
            // It may have ended on its own.
            let _ = gate.child.kill();
            let _ = gate.child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Gate {
    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process is there");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is there");
        self.child.wait().expect("the process ends");
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = start(&self.settings, &self.log);
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process can be asked for")
    }

    /// Waits until a request's end is logged.
    pub async fn until_ended(&self, id: &str) {
        until("its end is logged", async || {
            self.lines("request ended").iter().any(|line| line["id"] == *id)
        })
        .await;
    }

    /// The log lines with this message.
    pub fn lines(&self, message: &str) -> Vec<Value> {
        self.all_lines().into_iter().filter(|line| line["msg"] == message).collect()
    }

    /// All log lines.
    pub fn all_lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

fn start(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log can be written");
    Command::new(env!("CARGO_BIN_EXE_chestnutlane-gate"))
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be shared"))
        .stderr(log)
        .spawn()
        .expect("the daemon can be started")
}

/// Waits until something holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let limit = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < limit, "in vain: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
