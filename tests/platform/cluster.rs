//! Starts daemon processes with stand-ins for the platform's parts.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, Operator, PlainServer, Runner, Store,
    daemon_ip, free_addr_at,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::proxy::Proxy;
use crate::retry_bound;

/// Wait limit of all conditions.
///
/// It is generous since a busy machine slows everything down; no test depends on its
/// length.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon process.
pub struct Daemon {
    /// Address for datagrams of other daemons, and for requests that it forwards for them.
    pub peer_addr: SocketAddr,
    /// Address for requests of callers.
    pub caller_addr: SocketAddr,
    /// Address of the readiness check.
    pub readiness_addr: SocketAddr,
    /// Address of the directory, which lists the daemons to connect to.
    pub directory_addr: SocketAddr,
    /// Address of metrics and the state page.
    pub metrics_addr: SocketAddr,
    /// Settings file, reused across restarts.
    pub settings: PathBuf,
    /// Log file, appended to across restarts.
    pub log: PathBuf,
    child: Child,
}

/// Daemons together with the stand-ins that they run against.
pub struct Cluster {
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Writes the configuration into the store.
    pub operator: Operator,
    /// Model runners; the first two hold the model `red`, the last `blue`.
    pub runners: Vec<Runner>,
    /// Servers of the plain service.
    pub services: Vec<PlainServer>,
    /// Daemons `vm0`, `vm1` and so on.
    pub daemons: Vec<Daemon>,
    /// Caller whose request ids start with the cluster's name.
    pub caller: Caller,
    /// Proxies, empty unless started with `start_with_proxies`.
    pub proxies: Proxies,
    dir: PathBuf,
}

/// How a cluster is started; the default is without proxies and `policy` settings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Setup {
    /// The number of daemons.
    pub daemons: usize,
    /// Whether there are proxies between callers, daemons, servers and the store.
    pub with_proxies: bool,
    /// The slots of each runner where streams of mixed objectives contend for them, see
    /// [`Operator::declare_summaries`]; `None` for the usual declarations.
    pub contended_slots: Option<u32>,
    /// The number of daemons, from the last, with all `policy` settings on.
    pub with_policy: usize,
    /// The retries that are allowed besides the ratio; `None` for [`retry_bound::SLACK`].
    pub retry_slack: Option<f64>,
    /// What the daemons may use; `None` if their settings don't tell.
    pub limits: Option<ProcessLimits>,
}

/// What the process of a daemon may use.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Setup {
    /// Daemons with all `policy` settings on, at runners with few slots for streams of mixed
    /// objectives.
    pub fn contended(daemons: usize) -> Self {
        let contended_slots = Some(CONTENDED_SLOTS);
        Self { daemons, contended_slots, with_policy: daemons, ..Self::default() }
    }
}

/// The slots of runners that streams contend for.
///
/// A daemon expects a request to take 3 s at first, so that a slot becomes free every 1.5 s
/// and an urgent prompt with an objective of 800 ms has to wait for too long.
const CONTENDED_SLOTS: u32 = 2;

/// Proxies in front of the parts of a cluster, in the order of the parts.
#[derive(Default)]
pub struct Proxies {
    /// In front of each daemon's port for callers.
    pub callers: Vec<Proxy>,
    /// In front of the store, one for each daemon.
    pub stores: Vec<Proxy>,
    /// In front of the runners.
    pub runners: Vec<Proxy>,
    /// In front of the servers of the plain service.
    pub services: Vec<Proxy>,
}

impl Proxies {
    /// In front of the runners and of the servers of the plain service.
    pub fn servers(&self) -> impl Iterator<Item = &Proxy> {
        self.runners.iter().chain(&self.services)
    }
}

/// The `policy` settings of a daemon that turn on a part.
const POLICY_SETTINGS: [&str; 6] = [
    "server_speeds",
    "late_binding",
    "early_refusal",
    "account_shares",
    "yielding",
    "server_pace",
];

/// Held while ports are probed, and while a process is started.
///
/// A child inherits the sockets of probes until it executes its program. Where that was
/// delayed, another daemon found one of its ports taken at its start.
static PORT_PROBES: Mutex<()> = Mutex::new(());

static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

impl Cluster {
    /// Starts the given number of daemons and waits until all are ready.
    pub async fn start(name: &str, daemons: usize) -> Self {
        Self::start_with(name, Setup { daemons, ..Setup::default() }).await
    }

    /// Like `start`, with proxies between callers, daemons, servers and the store.
    pub async fn start_with_proxies(name: &str, daemons: usize) -> Self {
        let setup = Setup { daemons, with_proxies: true, ..Setup::default() };
        Self::start_with(name, setup).await
    }

    /// Like `start`, as `setup` says.
    pub async fn start_with(name: &str, setup: Setup) -> Self {
        let Setup { daemons, with_proxies, contended_slots, .. } = setup;
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
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir();
        let dir = dir.join(format!("chestnut-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory can be made");
        let caller = Caller::new(name);
        let mut cluster = Self {
            store,
            operator,
            runners,
            services,
            daemons: Vec::new(),
            caller,
            proxies: Proxies::default(),
            dir,
        };
        if let Some(slots) = contended_slots {
            cluster.runners.iter().for_each(|runner| runner.set_slots(slots));
            cluster.operator.declare_summaries(slots);
        }
        if with_proxies {
            cluster.add_server_proxies().await;
        }
        for number in 0..daemons {
            let store_addr = match with_proxies {
                true => cluster.add_store_proxy().await,
                false => cluster.store.addr,
            };
            let daemon = cluster.start_daemon(number, store_addr, setup);
            if with_proxies {
                cluster.proxies.callers.push(Proxy::start(daemon.caller_addr).await);
            }
            cluster.daemons.push(daemon);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Waits until all daemons are ready, list each other and hold the runners' claims.
    pub async fn wait_until_ready(&self) {
        let daemon_count = self.daemons.len();
        for daemon in &self.daemons {
            wait_until("a daemon's directory lists all daemons", async || {
                let listed = self.caller.directory(daemon.directory_addr).await;
                self.caller.is_ready(daemon.readiness_addr).await
                    && listed.len() == daemon_count
            })
            .await;
        }
        // One claim for each of the three runners.
        wait_until("the runners' claims are held", async || {
            let rows = self.store.rows("chestnut");
            rows.keys().filter(|key| key.starts_with("claim:server:")).count() >= 3
        })
        .await;
    }

    /// Puts a proxy in front of each backend server and registers its address instead.
    async fn add_server_proxies(&mut self) {
        for runner in &self.runners {
            let proxy = Proxy::start(runner.addr).await;
            runner.register_at(proxy.addr);
            self.proxies.runners.push(proxy);
        }
        for service in &self.services {
            let proxy = Proxy::start(service.addr).await;
            service.register_at(&self.store, proxy.addr);
            self.proxies.services.push(proxy);
        }
    }

    /// Adds a runner with the model `red` and this version of its software, behind a proxy.
    pub async fn add_runner_with_proxy(&mut self, name: &str, version: &str) {
        let runner = Runner::start(&self.store, name, &["red"]).await;
        runner.set_version(version);
        let proxy = Proxy::start(runner.addr).await;
        runner.register_at(proxy.addr);
        self.proxies.runners.push(proxy);
        self.runners.push(runner);
    }

    /// Adds a proxy in front of the store and returns its address.
    async fn add_store_proxy(&mut self) -> SocketAddr {
        let proxy = Proxy::start(self.store.addr).await;
        let addr = proxy.addr;
        self.proxies.stores.push(proxy);
        addr
    }

    fn start_daemon(
        &self,
        number: usize,
        store_addr: SocketAddr,
        setup: Setup,
    ) -> Daemon {
        let probing = PORT_PROBES.lock().unwrap_or_else(PoisonError::into_inner);
        let free_addr = || free_addr_at(daemon_ip(number));
        let caller_addr = free_addr();
        let (readiness_addr, directory_addr, metrics_addr) =
            (free_addr(), free_addr(), free_addr());
        let mut ports = [free_addr().port(), free_addr().port()];
        ports.sort_unstable();
        drop(probing);
        let mut settings = json!({
            "vm": format!("vm{number}"), "domain": "north", "ip": caller_addr.ip(),
            "callers": caller_addr, "readiness": readiness_addr,
            "directory": directory_addr, "metrics": metrics_addr,
            "ports": ports, "store": store_addr,
            "bounds": {
                "stop_s": 8, "directory_s": 5, "retry_ratio": retry_bound::RATIO,
                "retry_slack": setup.retry_slack.unwrap_or(retry_bound::SLACK),
                "retry_window_s": retry_bound::WINDOW.as_secs(), "fenced": true, "turn_ms": 300, "load_window_s": 5, "load_overshoot": 1.1,
                "revoke_ms": 3000, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 1000,
            },
        });
        if number + setup.with_policy >= setup.daemons {
            settings["policy"] =
                POLICY_SETTINGS.iter().map(|name| (*name, true)).collect();
        }
        if let Some(limits) = setup.limits {
            settings["memory_mb"] = limits.memory_mb.into();
            settings["descriptors"] = limits.descriptors.into();
        }
        let path = self.dir.join(format!("vm{number}.json"));
        fs::write(&path, settings.to_string()).expect("a file can be written");
        let log = self.dir.join(format!("vm{number}.log"));
        let child = start_process(&path, &log);
        Daemon {
            peer_addr: SocketAddr::new(caller_addr.ip(), ports[0]),
            caller_addr,
            readiness_addr,
            directory_addr,
            metrics_addr,
            settings: path,
            log,
            child,
        }
    }

    /// Sends a request to a daemon.
    pub async fn send(&self, daemon: usize, request: &CallerRequest) -> CallerResponse {
        self.caller.send(self.daemons[daemon].caller_addr, request).await
    }

    /// Number of runs of a request at all runners and servers.
    pub fn runs(&self, response: &CallerResponse) -> usize {
        let streams = self.runners.iter().flat_map(Runner::runs);
        let plain = self.services.iter().flat_map(PlainServer::runs);
        let streams = streams.filter(|(id, _)| *id == response.id).count();
        streams + plain.filter(|(id, _)| *id == response.id).count()
    }

    /// The runner whose latest run has an id with this prefix.
    pub fn runner_of(&self, id_prefix: &str) -> Option<&Runner> {
        self.runners.iter().find(|runner| {
            runner.runs().last().is_some_and(|(id, _)| id.starts_with(id_prefix))
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // The process may have exited already.
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Daemon {
    /// The id of the process.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the process exists");
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process ends");
    }

    /// Starts the process again after it has exited, with the same settings and log.
    pub fn restart(&mut self) {
        self.child = start_process(&self.settings, &self.log);
    }

    /// Exit status, or none while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the status of the process can be read")
    }

    /// Waits until the end of the request with this id is logged.
    pub async fn wait_for_request_end(&self, id: &str) {
        wait_until("the end of the request is logged", async || {
            self.lines("request ended").iter().any(|line| line["id"] == *id)
        })
        .await;
    }

    /// Log lines with this message.
    pub fn lines(&self, message: &str) -> Vec<Value> {
        self.all_lines().into_iter().filter(|line| line["msg"] == message).collect()
    }

    /// All log lines that are JSON.
    pub fn all_lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

fn start_process(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log can be written");
    let _no_probes = PORT_PROBES.lock().unwrap_or_else(PoisonError::into_inner);
    Command::new(env!("CARGO_BIN_EXE_chestnutlane-gate"))
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be shared"))
        .stderr(log)
        .spawn()
        .expect("the daemon can be started")
}

/// Polls a condition until it holds; panics after `TIMEOUT`.
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        sleep(Duration::from_millis(20)).await;
    }
}
