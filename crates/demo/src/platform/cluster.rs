//! Starts the platform's stand-ins and the daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, SystemClock, VmName};
use chestnut_gate::settings::{Bounds, Policy, Settings};
use chestnut_gate::{logs, run};
use chestnut_platform::Platform;
use chestnut_platform_stand_in::{
    Caller, CallerRequest, Operator, PlainServer, Runner, Store, free_addr,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::error::DemoError;

/// The daemons' VMs, each with its failure domain.
const DAEMONS: [(&str, &str); 3] =
    [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")];

/// The runners, each with the model that is loaded initially.
const RUNNERS: [(&str, &str); 3] =
    [("runner-1", "red"), ("runner-2", "red"), ("runner-3", "blue")];

/// The servers of the plain service.
const SERVERS: [&str; 2] = ["ledger-1", "ledger-2"];

/// How long to wait until everything is served.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval between checks whether everything is served.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The bounds of the daemons, as in users' deployments.
const BOUNDS: Bounds = Bounds {
    stop: Duration::from_secs(8),
    directory: Duration::from_secs(5),
    retry_ratio: 0.2,
    retry_slack: 52.0,
    retry_window: Duration::from_secs(10),
    fenced: true,
    turn: Duration::from_millis(300),
    apply: Duration::from_secs(2),
    leave: Duration::from_secs(2),
    load_window: Duration::from_secs(5),
    load_overshoot: 1.1,
    revoke: Some(Duration::from_secs(5)),
    quota_window: Duration::from_secs(8),
    quota_overshoot: 0.1,
    quota_slack: 11_000.0,
};

/// The running stand-ins and daemons.
pub struct Cluster {
    /// The model runners.
    pub runners: Vec<Runner>,
    /// The servers of the plain service.
    pub servers: Vec<PlainServer>,
    /// The addresses where callers query the directory of entries.
    pub directories: Vec<SocketAddr>,
    /// The addresses where daemons serve metrics and their state.
    metrics: Vec<SocketAddr>,
    /// The publisher of the declarations.
    _operator: Operator,
    store: Store,
    daemons: JoinSet<Result<(), String>>,
}

impl Cluster {
    /// Starts everything and waits until everything that is declared is served.
    pub async fn start(caller: &Caller) -> Result<Self, DemoError> {
        let store = Store::start().await;
        let operator = Operator::start(&store);
        let mut runners = Vec::new();
        for (name, model) in RUNNERS {
            runners.push(Runner::start(&store, name, &[model]).await);
        }
        let mut servers = Vec::new();
        for name in SERVERS {
            servers.push(PlainServer::start(&store, name).await);
        }
        let mut cluster = Self {
            runners,
            servers,
            directories: Vec::new(),
            metrics: Vec::new(),
            _operator: operator,
            store,
            daemons: JoinSet::new(),
        };
        for (vm, domain) in DAEMONS {
            cluster.start_daemon(vm, domain)?;
        }
        cluster.wait_served(caller).await?;
        Ok(cluster)
    }

    /// Commands to try, as text for the user.
    pub fn example_commands(&self) -> String {
        let mut lines = vec![
            "\nThe demo keeps running; stop it with Ctrl-C. Commands to try:\n"
                .to_owned(),
        ];
        lines.push(Caller::directory_command(self.directories[0]));
        for addr in &self.metrics {
            lines.push(format!("curl http://{addr}/metrics"));
            lines.push(format!("curl http://{addr}/state"));
        }
        lines.push(String::new());
        lines.join("\n")
    }

    /// The number of runs of an attempt, by its request id.
    pub fn runs(&self, id: &str) -> usize {
        let stream_runs = self.runners.iter().flat_map(Runner::runs);
        let plain_runs = self.servers.iter().flat_map(PlainServer::runs);
        let stream_count = stream_runs.filter(|(run_id, _)| run_id == id).count();
        stream_count + plain_runs.filter(|(run_id, _)| run_id == id).count()
    }

    fn start_daemon(&mut self, vm: &str, domain: &str) -> Result<(), DemoError> {
        let mut ports = [free_addr().port(), free_addr().port()];
        ports.sort_unstable();
        let (caller_addr, directory, metrics) = (free_addr(), free_addr(), free_addr());
        let invalid_name =
            |error: chestnut_base::NameError| DemoError::Start(error.to_string());
        let settings = Settings {
            vm: VmName::try_from(vm).map_err(invalid_name)?,
            domain: DomainName::try_from(domain).map_err(invalid_name)?,
            ip: caller_addr.ip(),
            caller_addr,
            readiness_addr: free_addr(),
            directory_addr: directory,
            metrics_addr: Some(metrics),
            peer_ports: (ports[0], ports[1]),
            store_addr: self.store.addr,
            cores: 1.0,
            memory_mb: None,
            descriptors: None,
            bounds: BOUNDS,
            policy: Policy::default(),
            path: None,
        };
        let log = logs::logger_to(std::io::sink(), vm);
        self.directories.push(directory);
        self.metrics.push(metrics);
        self.daemons.spawn(async move {
            let result =
                run::run(settings, Arc::new(Platform), Arc::new(SystemClock), log);
            result.await.map_err(|report| format!("{report:#}"))
        });
        Ok(())
    }

    /// Waits until every daemon is in the directory and serves every model and the
    /// service.
    async fn wait_served(&mut self, caller: &Caller) -> Result<(), DemoError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_served(caller).await {
            if let Some(result) = self.daemons.try_join_next() {
                return Err(DemoError::Start(format!("{result:?}")));
            }
            if Instant::now() > deadline {
                return Err(DemoError::NotServed(
                    "a probe got no complete response".into(),
                ));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_served(&self, caller: &Caller) -> bool {
        for directory in &self.directories {
            let entries = caller.directory(*directory).await;
            if entries.len() < DAEMONS.len() {
                return false;
            }
            for entry in entries {
                let probes =
                    RUNNERS.map(|(_, model)| CallerRequest::stream("draft", model, 1));
                for probe in probes.iter().chain([&CallerRequest::plain("lookup")]) {
                    if !caller.send(entry, probe).await.complete {
                        return false;
                    }
                }
            }
        }
        true
    }
}
