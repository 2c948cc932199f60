//! What the parts of the daemon share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::{Clock, MemberId, ServerName, ServiceName};
use chestnut_edge::{Declarations, Dialect, Engine};
use chestnut_member::{ClaimKey, MembershipRows, SuspensionDetector};
use chestnut_pool::budget::RetryBound;
use chestnut_pool::placement::PlacementPlanner;
use chestnut_pool::{EngineTimings, Fleet, RetryBudget};
use indexmap::IndexMap;
use slog::{Logger, warn};
use tokio::sync::watch;

use crate::client::Client;
use crate::follow::{self, OWN, Table};
use crate::holder::Holder;
use crate::learnt::Kept;
use crate::members::{self, Neighbours};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::permit_queue::ServiceQueue;
use crate::planner::Counts;
use crate::settings::{Bounds, Settings};

/// A count of requests that are being served.
#[derive(Debug, Default, Clone)]
pub struct Active(Arc<()>);

impl Active {
    /// Counts a request until the copy that is returned is dropped.
    pub fn enter(&self) -> Self {
        self.clone()
    }

    /// The number of requests.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}

/// Copies of the store's tables.
pub struct Tables {
    /// What operators declare.
    pub declared: Arc<Table>,
    /// The registry of backend servers.
    pub servers: Arc<Table>,
    /// The system's own: daemons and claims.
    pub own: Arc<Table>,
}

/// What the parts of the daemon share.
///
/// Locks are held for a few steps only, and never while anything is waited for.
pub struct Shared {
    /// The settings that the daemon was started with.
    pub settings: Settings,
    /// Times and bounds as the settings file says now.
    pub bounds: watch::Sender<Bounds>,
    /// The deployment's adapter.
    pub dialect: Arc<dyn Dialect>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Where decisions are logged.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to backend servers, the store and other daemons.
    pub client: Client,
    /// Datagrams to and from other daemons.
    pub peers: Peers,
    /// When the daemon started.
    pub started: Instant,
    /// The declarations in force; nothing until they are first known.
    pub declared: watch::Sender<Option<Arc<Declarations>>>,
    /// Grows with each change of what backend servers say of themselves.
    pub listed: watch::Sender<u64>,
    /// Whether the daemon was told to stop.
    pub leaving: watch::Sender<bool>,
    /// Whether the daemon takes no more requests.
    pub closing: watch::Sender<bool>,
    /// Callers' requests that are being served.
    pub active: Active,
    /// Copies of the store's tables.
    pub tables: Tables,
    /// Whether daemons and claims were read.
    pub own_read: watch::Sender<bool>,
    fleet: Mutex<Fleet>,
    known: Mutex<MembershipRows>,
    /// The daemons that this one exchanges beats with.
    neighbours: Mutex<Neighbours>,
    holders: Mutex<IndexMap<ServerName, Arc<Holder>>>,
    queues: Mutex<IndexMap<ServiceName, Arc<ServiceQueue>>>,
    /// Until when the holders of plain services' queues are not asked.
    silent: Mutex<IndexMap<ServiceName, Instant>>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    speeds: Mutex<EngineTimings>,
    kept: Mutex<IndexMap<ServiceName, Kept>>,
    counts: Mutex<Counts>,
    plans: Mutex<IndexMap<ServiceName, PlacementPlanner>>,
    /// From when on this daemon may give orders under claims that it took.
    turns: Mutex<IndexMap<ClaimKey, Instant>>,
    /// The process that ran on this VM before.
    previous: Mutex<Option<MemberId>>,
    wake: Mutex<SuspensionDetector>,
}

impl Shared {
    /// Creates the state of a daemon that knows nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        log: Logger,
        peers: Peers,
    ) -> Self {
        let table = |name| Arc::new(Table::new(name));
        let tables = Tables {
            declared: table(dialect.declarations_table()),
            servers: table(dialect.servers_table()),
            own: table(OWN),
        };
        Self {
            started: clock.now(),
            bounds: watch::Sender::new(settings.bounds.clone()),
            active: Active::default(),
            peers,
            settings,
            dialect,
            client: Client::new(clock.clone()),
            clock,
            log,
            metrics: Metrics::new(),
            declared: watch::Sender::new(None),
            listed: watch::Sender::new(0),
            leaving: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            tables,
            own_read: watch::Sender::new(false),
            fleet: Mutex::default(),
            known: Mutex::default(),
            neighbours: Mutex::default(),
            holders: Mutex::default(),
            queues: Mutex::default(),
            silent: Mutex::default(),
            budgets: Mutex::default(),
            speeds: Mutex::default(),
            kept: Mutex::default(),
            counts: Mutex::default(),
            plans: Mutex::default(),
            turns: Mutex::default(),
            previous: Mutex::default(),
            wake: Mutex::default(),
        }
    }

    /// The time for intervals and deadlines.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The table of backend servers.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Daemons and claims.
    pub fn known(&self) -> MutexGuard<'_, MembershipRows> {
        self.known.lock().expect("no holder of the lock panics")
    }

    /// The daemons that this one exchanges beats with.
    pub fn neighbours(&self) -> MutexGuard<'_, Neighbours> {
        self.neighbours.lock().expect("no holder of the lock panics")
    }

    /// Whether a daemon is not known to be gone.
    ///
    /// A neighbour that has sent nothing lately is; of others only their rows tell.
    pub fn is_alive(&self, member: MemberId, now: Instant) -> bool {
        let expected = self.neighbours().expects(member);
        !expected || self.peers.is_alive(member, now)
    }

    /// The runners whose claims this daemon holds.
    pub fn holders(&self) -> MutexGuard<'_, IndexMap<ServerName, Arc<Holder>>> {
        self.holders.lock().expect("no holder of the lock panics")
    }

    /// A runner whose claim this daemon holds.
    pub fn holder(&self, server: &ServerName) -> Option<Arc<Holder>> {
        self.holders().get(server).cloned()
    }

    /// The queues of plain services whose claims this daemon holds.
    pub fn queues(&self) -> MutexGuard<'_, IndexMap<ServiceName, Arc<ServiceQueue>>> {
        self.queues.lock().expect("no holder of the lock panics")
    }

    /// Notes that the holder of a service's queue does not answer.
    pub fn note_silent(&self, service: &ServiceName, until: Instant) {
        let mut silent = self.silent.lock().expect("no holder of the lock panics");
        silent.insert(service.clone(), until);
    }

    /// Whether the holder of a service's queue did not answer lately.
    pub fn is_silent(&self, service: &ServiceName, now: Instant) -> bool {
        let silent = self.silent.lock().expect("no holder of the lock panics");
        silent.get(service).is_some_and(|until| now < *until)
    }

    /// How fast runners read prompts.
    pub fn speeds(&self) -> MutexGuard<'_, EngineTimings> {
        self.speeds.lock().expect("no holder of the lock panics")
    }

    /// What the store holds of how runners work, by service.
    pub fn kept(&self) -> MutexGuard<'_, IndexMap<ServiceName, Kept>> {
        self.kept.lock().expect("no holder of the lock panics")
    }

    /// What callers have asked of this daemon's models.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder of the lock panics")
    }

    /// What is known of the services that this daemon plans for.
    pub fn plans(&self) -> MutexGuard<'_, IndexMap<ServiceName, PlacementPlanner>> {
        self.plans.lock().expect("no holder of the lock panics")
    }

    /// How long ago the daemon started.
    pub fn age(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// Whether the daemon has stood still lately, so that news may be from before.
    pub fn is_waking(&self) -> bool {
        let now = self.now();
        let mut wake = self.wake.lock().expect("no holder of the lock panics");
        if let Some(gap) = wake.check(self.clock.suspended_time(), now) {
            warn!(self.log, "stood still"; "ms" => gap.as_millis() as u64);
            for table in follow::tables(self) {
                table.mirror().doubt();
            }
        }
        wake.is_settling(now)
    }

    /// Notes from when on orders may be given under a claim.
    pub fn note_turn(&self, key: ClaimKey, from: Instant) {
        self.turns.lock().expect("no holder of the lock panics").insert(key, from);
    }

    /// From when on orders may be given under a claim.
    pub fn turn(&self, key: &ClaimKey) -> Option<Instant> {
        self.turns.lock().expect("no holder of the lock panics").get(key).copied()
    }

    /// Notes the process that ran on this VM before.
    pub fn note_previous(&self, member: MemberId) {
        *self.previous.lock().expect("no holder of the lock panics") = Some(member);
    }

    /// The process that ran on this VM before.
    pub fn previous(&self) -> Option<MemberId> {
        *self.previous.lock().expect("no holder of the lock panics")
    }

    /// Whether this VM's daemon was there before, so that others have their claims.
    pub fn is_back(&self) -> bool {
        self.previous().is_some()
    }

    /// The declarations in force.
    pub fn declared(&self) -> Option<Arc<Declarations>> {
        self.declared.borrow().clone()
    }

    /// How the service of a runner runs models.
    pub fn engine_of(&self, server: &ServerName) -> Option<Arc<Engine>> {
        let declared = self.declared()?;
        let service = {
            let fleet = self.fleet();
            fleet.get(fleet.key(server)?)?.entry.service.clone()
        };
        declared.services.get(&service)?.engine.clone()
    }

    /// Whether the daemon can serve: declarations and servers are known, and it
    /// was not told to stop.
    pub fn is_ready(&self) -> bool {
        self.is_known() && !*self.leaving.borrow()
    }

    /// Whether declarations and servers are known.
    pub fn is_known(&self) -> bool {
        self.declared.borrow().is_some() && *self.listed.borrow() > 0
    }

    /// Whether a leaving daemon takes no more requests.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Takes note of a request for a service.
    pub fn note_request(&self, service: &ServiceName) {
        let (window, now) = (self.bounds.borrow().retry_window, self.now());
        self.with_budget(service, |budget| budget.record_request(window, now));
    }

    /// Takes a repeat out of the service's budget, if there is one.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let bounds = self.bounds.borrow().clone();
        let bound = RetryBound {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let known = *self.own_read.borrow();
        let daemons = known.then(|| members::count(self));
        self.with_budget(service, |budget| budget.try_take(bound, daemons, now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        let new = || RetryBudget::new(self.started);
        act(budgets.entry(service.clone()).or_insert_with(new))
    }
}
