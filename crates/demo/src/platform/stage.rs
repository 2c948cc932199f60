//! The platform's stand-ins and the daemons before them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{DomainName, SystemClock, VmName};
use chestnut_gate::settings::{Bounds, Settings};
use chestnut_gate::{logs, run};
use chestnut_platform::Platform;
use chestnut_platform_stand_in::{
    Caller, CallerRequest, Operator, PlainServer, Runner, Store, free_addr,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::error::StageError;

/// The daemons, each with the failure domain that its VM is in.
const DAEMONS: [(&str, &str); 3] =
    [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")];

/// The runners and the models that they hold at first.
const RUNNERS: [(&str, &str); 3] =
    [("runner-1", "red"), ("runner-2", "red"), ("runner-3", "blue")];

/// The servers of the plain service.
const SERVERS: [&str; 2] = ["ledger-1", "ledger-2"];

/// How long to wait for everything to be served.
const PATIENCE: Duration = Duration::from_secs(60);

/// How often to look whether everything is served.
const LOOK: Duration = Duration::from_millis(50);

/// The times and bounds of the daemons, as users' deployments set them.
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
};

/// The running stand-ins and daemons.
pub struct Stage {
    /// Model runners.
    pub runners: Vec<Runner>,
    /// Servers of the plain service.
    pub servers: Vec<PlainServer>,
    /// Where callers ask which address to use.
    pub directories: Vec<SocketAddr>,
    /// Where daemons show metrics and their state.
    metrics: Vec<SocketAddr>,
    /// Declares what is served.
    _operator: Operator,
    store: Store,
    daemons: JoinSet<Result<(), String>>,
}

impl Stage {
    /// Starts everything and waits until all that is declared is served.
    pub async fn start(caller: &Caller) -> Result<Self, StageError> {
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
        let mut stage = Self {
            runners,
            servers,
            directories: Vec::new(),
            metrics: Vec::new(),
            _operator: operator,
            store,
            daemons: JoinSet::new(),
        };
        for (vm, domain) in DAEMONS {
            stage.start_daemon(vm, domain)?;
        }
        stage.wait_served(caller).await?;
        Ok(stage)
    }

    /// Commands to try.
    pub fn explain(&self) -> String {
        let mut lines = vec!["\nIt stays up; end it with Ctrl-C. Try:\n".to_owned()];
        lines.push(Caller::directory_command(self.directories[0]));
        for addr in &self.metrics {
            lines.push(format!("curl http://{addr}/metrics"));
            lines.push(format!("curl http://{addr}/state"));
        }
        lines.push(String::new());
        lines.join("\n")
    }

    /// How often an attempt ran, by its name.
    pub fn runs(&self, id: &str) -> usize {
        let streams = self.runners.iter().flat_map(Runner::runs);
        let plain = self.servers.iter().flat_map(PlainServer::runs);
        let streams = streams.filter(|(ran, _)| ran == id).count();
        streams + plain.filter(|(ran, _)| ran == id).count()
    }

    fn start_daemon(&mut self, vm: &str, domain: &str) -> Result<(), StageError> {
        let mut ports = [free_addr().port(), free_addr().port()];
        ports.sort_unstable();
        let (directory, metrics) = (free_addr(), free_addr());
        let named =
            |error: chestnut_base::NameError| StageError::Start(error.to_string());
        let settings = Settings {
            vm: VmName::try_from(vm).map_err(named)?,
            domain: DomainName::try_from(domain).map_err(named)?,
            ip: Ipv4Addr::LOCALHOST.into(),
            caller_addr: free_addr(),
            readiness_addr: free_addr(),
            directory_addr: directory,
            metrics_addr: Some(metrics),
            peer_ports: (ports[0], ports[1]),
            store_addr: self.store.addr,
            cores: 1.0,
            bounds: BOUNDS,
            path: None,
        };
        let log = logs::logger_to(std::io::sink(), vm);
        self.directories.push(directory);
        self.metrics.push(metrics);
        self.daemons.spawn(async move {
            let ended =
                run::run(settings, Arc::new(Platform), Arc::new(SystemClock), log);
            ended.await.map_err(|report| format!("{report:#}"))
        });
        Ok(())
    }

    /// Waits until every daemon is in the directory and serves every model and service.
    async fn wait_served(&mut self, caller: &Caller) -> Result<(), StageError> {
        let limit = Instant::now() + PATIENCE;
        while !self.is_served(caller).await {
            if let Some(ended) = self.daemons.try_join_next() {
                return Err(StageError::Start(format!("{ended:?}")));
            }
            if Instant::now() > limit {
                return Err(StageError::NotServed("no answer to a probe".into()));
            }
            sleep(LOOK).await;
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
