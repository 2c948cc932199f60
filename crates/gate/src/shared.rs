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
use crate::holder::HeldRunner;
use crate::members::{self, Neighbours};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::persisted_timings::PersistedTimings;
use crate::planner::DemandCounters;
use crate::queue::ServiceQueue;
use crate::settings::{Bounds, Settings};
use crate::table_sync::{self, SYSTEM_TABLE, SyncedTable};

/// A count of requests that are being served.
#[derive(Debug, Default, Clone)]
pub struct ActiveRequests(Arc<()>);

impl ActiveRequests {
    /// DemandCounters a request until the copy that is returned is dropped.
    pub fn start(&self) -> Self {
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
    pub declarations: Arc<SyncedTable>,
    /// The registry of backend servers.
    pub servers: Arc<SyncedTable>,
    /// The system's own: daemons and claims.
    pub system: Arc<SyncedTable>,
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
    pub started_at: Instant,
    /// The declarations in force; nothing until they are first known.
    pub declarations: watch::Sender<Option<Arc<Declarations>>>,
    /// Grows with each change of what backend servers say of themselves.
    pub server_updates: watch::Sender<u64>,
    /// Whether the daemon was told to stop.
    pub shutting_down: watch::Sender<bool>,
    /// Whether the daemon takes no more requests.
    pub refusing_requests: watch::Sender<bool>,
    /// Callers' requests that are being served.
    pub active: ActiveRequests,
    /// Copies of the store's tables.
    pub tables: Tables,
    /// Whether daemons and claims were read.
    pub system_table_loaded: watch::Sender<bool>,
    fleet: Mutex<Fleet>,
    membership: Mutex<MembershipRows>,
    /// The daemons that this one exchanges beats with.
    neighbours: Mutex<Neighbours>,
    held_runners: Mutex<IndexMap<ServerName, Arc<HeldRunner>>>,
    queues: Mutex<IndexMap<ServiceName, Arc<ServiceQueue>>>,
    /// Until when the holders of plain services' queues are not asked.
    unresponsive_queue_holders: Mutex<IndexMap<ServiceName, Instant>>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    engine_timings: Mutex<EngineTimings>,
    persisted_timings: Mutex<IndexMap<ServiceName, PersistedTimings>>,
    demand_counters: Mutex<DemandCounters>,
    planners: Mutex<IndexMap<ServiceName, PlacementPlanner>>,
    /// From when on this daemon may give orders under claims that it took.
    order_start_times: Mutex<IndexMap<ClaimKey, Instant>>,
    /// The process that ran on this VM before.
    previous_incarnation: Mutex<Option<MemberId>>,
    suspension: Mutex<SuspensionDetector>,
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
        let table = |name| Arc::new(SyncedTable::new(name));
        let tables = Tables {
            declarations: table(dialect.declarations_table()),
            servers: table(dialect.servers_table()),
            system: table(SYSTEM_TABLE),
        };
        Self {
            started_at: clock.now(),
            bounds: watch::Sender::new(settings.bounds.clone()),
            active: ActiveRequests::default(),
            peers,
            settings,
            dialect,
            client: Client::new(clock.clone()),
            clock,
            log,
            metrics: Metrics::new(),
            declarations: watch::Sender::new(None),
            server_updates: watch::Sender::new(0),
            shutting_down: watch::Sender::new(false),
            refusing_requests: watch::Sender::new(false),
            tables,
            system_table_loaded: watch::Sender::new(false),
            fleet: Mutex::default(),
            membership: Mutex::default(),
            neighbours: Mutex::default(),
            held_runners: Mutex::default(),
            queues: Mutex::default(),
            unresponsive_queue_holders: Mutex::default(),
            budgets: Mutex::default(),
            engine_timings: Mutex::default(),
            persisted_timings: Mutex::default(),
            demand_counters: Mutex::default(),
            planners: Mutex::default(),
            order_start_times: Mutex::default(),
            previous_incarnation: Mutex::default(),
            suspension: Mutex::default(),
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
    pub fn membership(&self) -> MutexGuard<'_, MembershipRows> {
        self.membership.lock().expect("no holder of the lock panics")
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
    pub fn held_runners(&self) -> MutexGuard<'_, IndexMap<ServerName, Arc<HeldRunner>>> {
        self.held_runners.lock().expect("no holder of the lock panics")
    }

    /// A runner whose claim this daemon holds.
    pub fn held_runner(&self, server: &ServerName) -> Option<Arc<HeldRunner>> {
        self.held_runners().get(server).cloned()
    }

    /// The queues of plain services whose claims this daemon holds.
    pub fn queues(&self) -> MutexGuard<'_, IndexMap<ServiceName, Arc<ServiceQueue>>> {
        self.queues.lock().expect("no holder of the lock panics")
    }

    /// Notes that the holder of a service's queue does not answer.
    pub fn mark_queue_holder_unresponsive(&self, service: &ServiceName, until: Instant) {
        let mut silent =
            self.unresponsive_queue_holders.lock().expect("no holder of the lock panics");
        silent.insert(service.clone(), until);
    }

    /// Whether the holder of a service's queue did not answer lately.
    pub fn is_queue_holder_unresponsive(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> bool {
        let silent =
            self.unresponsive_queue_holders.lock().expect("no holder of the lock panics");
        silent.get(service).is_some_and(|until| now < *until)
    }

    /// How fast runners read prompts.
    pub fn engine_timings(&self) -> MutexGuard<'_, EngineTimings> {
        self.engine_timings.lock().expect("no holder of the lock panics")
    }

    /// What the store holds of how runners work, by service.
    pub fn persisted_timings(
        &self,
    ) -> MutexGuard<'_, IndexMap<ServiceName, PersistedTimings>> {
        self.persisted_timings.lock().expect("no holder of the lock panics")
    }

    /// What callers have asked of this daemon's models.
    pub fn demand_counters(&self) -> MutexGuard<'_, DemandCounters> {
        self.demand_counters.lock().expect("no holder of the lock panics")
    }

    /// What is known of the services that this daemon plans for.
    pub fn planners(&self) -> MutexGuard<'_, IndexMap<ServiceName, PlacementPlanner>> {
        self.planners.lock().expect("no holder of the lock panics")
    }

    /// How long ago the daemon started.
    pub fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started_at)
    }

    /// Whether the daemon has stood still lately, so that news may be from before.
    pub fn is_resuming(&self) -> bool {
        let now = self.now();
        let mut wake = self.suspension.lock().expect("no holder of the lock panics");
        if let Some(gap) = wake.check(self.clock.suspended_time(), now) {
            warn!(self.log, "stood still"; "ms" => gap.as_millis() as u64);
            for table in table_sync::tables(self) {
                table.replica().clear_confirmation();
            }
        }
        wake.is_settling(now)
    }

    /// Notes from when on orders may be given under a claim.
    pub fn set_order_start_time(&self, key: ClaimKey, from: Instant) {
        self.order_start_times
            .lock()
            .expect("no holder of the lock panics")
            .insert(key, from);
    }

    /// From when on orders may be given under a claim.
    pub fn order_start_time(&self, key: &ClaimKey) -> Option<Instant> {
        self.order_start_times
            .lock()
            .expect("no holder of the lock panics")
            .get(key)
            .copied()
    }

    /// Notes the process that ran on this VM before.
    pub fn set_previous_incarnation(&self, member: MemberId) {
        *self.previous_incarnation.lock().expect("no holder of the lock panics") =
            Some(member);
    }

    /// The process that ran on this VM before.
    pub fn previous_incarnation(&self) -> Option<MemberId> {
        *self.previous_incarnation.lock().expect("no holder of the lock panics")
    }

    /// Whether this VM's daemon was there before, so that others have their claims.
    pub fn is_restart(&self) -> bool {
        self.previous_incarnation().is_some()
    }

    /// The declarations in force.
    pub fn declarations(&self) -> Option<Arc<Declarations>> {
        self.declarations.borrow().clone()
    }

    /// How the service of a runner runs models.
    pub fn engine_of(&self, server: &ServerName) -> Option<Arc<Engine>> {
        let declared = self.declarations()?;
        let service = {
            let fleet = self.fleet();
            fleet.get(fleet.key(server)?)?.entry.service.clone()
        };
        declared.services.get(&service)?.engine.clone()
    }

    /// Whether the daemon can serve: declarations and servers are known, and it
    /// was not told to stop.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !*self.shutting_down.borrow()
    }

    /// Whether declarations and servers are known.
    pub fn is_initialized(&self) -> bool {
        self.declarations.borrow().is_some() && *self.server_updates.borrow() > 0
    }

    /// Whether a leaving daemon takes no more requests.
    pub fn is_refusing_requests(&self) -> bool {
        *self.refusing_requests.borrow()
    }

    /// Takes note of a request for a service.
    pub fn record_request(&self, service: &ServiceName) {
        let (window, now) = (self.bounds.borrow().retry_window, self.now());
        self.with_budget(service, |budget| budget.record_request(window, now));
    }

    /// Takes a repeat out of the service's budget, if there is one.
    pub fn try_take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let bounds = self.bounds.borrow().clone();
        let bound = RetryBound {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let known = *self.system_table_loaded.borrow();
        let daemons = known.then(|| members::daemon_count(self));
        self.with_budget(service, |budget| budget.try_take(bound, daemons, now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        let new = || RetryBudget::new(self.started_at);
        act(budgets.entry(service.clone()).or_insert_with(new))
    }
}
