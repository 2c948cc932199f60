//! The state that the modules of the daemon share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_account::{ProofState, SliceChooser};
use chestnut_base::{Clock, MemberId, ServerName, ServiceName};
use chestnut_edge::{Declarations, Dialect, Engine, RequestLimits};
use chestnut_member::{
    ClaimKey, MembershipRows, Neighbours, Sharers, SuspensionDetector,
};
use chestnut_pool::placement::PlacementPlanner;
use chestnut_pool::speed_reports::ServiceSpeeds;
use chestnut_pool::{
    EngineTimings, Fleet, Paths, RetryBudget, ServerLimits, ServiceProfile,
    SoftwareHistory, StreamOrigins,
};
use indexmap::IndexMap;
use slog::{Logger, warn};
use tokio::sync::watch;

use crate::account_slices::AccountSlices;
use crate::accounts;
use crate::client::{Client, Matching};
use crate::crashes::Crashes;
use crate::holder::HeldRunner;
use crate::metrics::Metrics;
use crate::peers::{HEARTBEAT_TIMEOUT, Peers};
use crate::permit_queue::ServiceQueue;
use crate::persisted_timings::PersistedTimings;
use crate::planner::DemandCounters;
use crate::server_limits::LimitReports;
use crate::settings::{Bounds, Policy, Settings};
use crate::table_sync::{self, SYSTEM_TABLE, SyncedTable};
use crate::yielding::PatientStreams;

/// Counts the callers' requests in progress.
#[derive(Debug, Default, Clone)]
pub struct ActiveRequests(Arc<()>);

impl ActiveRequests {
    /// Counts a request until the returned guard is dropped.
    pub fn start(&self) -> Self {
        self.clone()
    }

    /// The number of requests in progress.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}

/// This daemon's replicas of the store's tables.
pub struct Tables {
    /// The operators' declarations.
    pub declarations: Arc<SyncedTable>,
    /// The registry of backend servers.
    pub servers: Arc<SyncedTable>,
    /// The system's own table of daemons, claims and engine timings.
    pub system: Arc<SyncedTable>,
}

/// The time limits of a daemon that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// Until when requests may wait for a server.
    pub wait_end: Instant,
    /// Until when requests may wait for the response of a server, after `wait_end`.
    pub response_end: Instant,
}

/// The state that the modules of the daemon share.
///
/// Locks are held only briefly and never across an await.
pub struct Shared {
    /// The settings from the start of the daemon.
    pub settings: Settings,
    /// Durations and bounds from the settings file, updated when it changes.
    pub bounds: watch::Sender<Bounds>,
    /// Translates between the daemon and the deployment's protocols and formats.
    pub dialect: Arc<dyn Dialect>,
    /// The source of all times.
    pub clock: Arc<dyn Clock>,
    /// The daemon's logger.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Connections to backend servers and to daemons that forward requests.
    pub client: Client,
    /// Connections to the store, and to other daemons for their replicas.
    pub store_client: Client,
    /// Datagrams to and from other daemons.
    pub peers: Peers,
    /// When the daemon started.
    pub started_at: Instant,
    /// The declarations in force; `None` until the first are read.
    pub declarations: watch::Sender<Option<Arc<Declarations>>>,
    /// What the routes in force call for, by service.
    pub profiles: watch::Sender<IndexMap<ServiceName, ServiceProfile>>,
    /// The version of the declarations' table up to which its changes are in force; 0 before
    /// the first read.
    pub applied_version: watch::Sender<u64>,
    /// The number of updates from the registry of backend servers; 0 until it is read.
    pub server_updates: watch::Sender<u64>,
    /// Whether the daemon has received SIGTERM.
    pub shutting_down: watch::Sender<bool>,
    /// The time limits of the shutdown; `None` unless the daemon is shutting down.
    pub stop_times: watch::Sender<Option<StopTimes>>,
    /// Whether the daemon accepts no more requests.
    pub refusing_requests: watch::Sender<bool>,
    /// Callers' requests in progress.
    pub active: ActiveRequests,
    /// Counts those among them whose bodies have yet to arrive.
    pub arriving: ActiveRequests,
    /// Which requests crash servers.
    pub crashes: Crashes,
    /// The latency-tolerant streams that may be stopped.
    pub patient_streams: PatientStreams,
    /// This daemon's replicas of the store's tables.
    pub tables: Tables,
    /// Whether the system table has been read.
    pub system_table_loaded: watch::Sender<bool>,
    fleet: Mutex<Fleet>,
    paths: Mutex<Paths>,
    server_limits: Mutex<ServerLimits>,
    stream_origins: Mutex<StreamOrigins>,
    software_history: Mutex<SoftwareHistory>,
    limit_reports: Mutex<LimitReports>,
    membership: Mutex<MembershipRows>,
    sharers: Mutex<Sharers>,
    /// The daemons that this one exchanges heartbeats with.
    neighbours: Mutex<Neighbours>,
    held_runners: Mutex<IndexMap<ServerName, Arc<HeldRunner>>>,
    queues: Mutex<IndexMap<ServiceName, Arc<ServiceQueue>>>,
    /// Until when the holder of a plain service's queue is sent no requests.
    unresponsive_queue_holders: Mutex<IndexMap<ServiceName, Instant>>,
    retry_budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    engine_timings: Mutex<EngineTimings>,
    persisted_timings: Mutex<IndexMap<ServiceName, PersistedTimings>>,
    demand_counters: Mutex<DemandCounters>,
    planners: Mutex<IndexMap<ServiceName, PlacementPlanner>>,
    server_speeds: Mutex<IndexMap<ServiceName, ServiceSpeeds>>,
    account_slices: Mutex<AccountSlices>,
    slice_chooser: Mutex<SliceChooser>,
    /// From when on this daemon may send orders under the claims that it has taken.
    order_start_times: Mutex<IndexMap<ClaimKey, Instant>>,
    /// The daemon's previous process on this VM.
    previous_incarnation: Mutex<Option<MemberId>>,
    suspension: Mutex<SuspensionDetector>,
}

impl Shared {
    /// Creates the state of a daemon that has read nothing from the store yet.
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
        let source = settings.ip;
        let client = |matching| Client::new(clock.clone(), source, matching);
        let max_open = settings.process_limits().server_connections();
        Self {
            started_at: clock.now(),
            bounds: watch::Sender::new(settings.bounds.clone()),
            active: ActiveRequests::default(),
            arriving: ActiveRequests::default(),
            crashes: Crashes::default(),
            patient_streams: PatientStreams::default(),
            peers,
            settings,
            dialect,
            client: client(Matching::ByEcho).with_max_open(max_open),
            store_client: client(Matching::InOrder),
            clock,
            log,
            metrics: Arc::new(Metrics::new()),
            declarations: watch::Sender::new(None),
            profiles: watch::Sender::default(),
            applied_version: watch::Sender::new(0),
            server_updates: watch::Sender::new(0),
            shutting_down: watch::Sender::new(false),
            stop_times: watch::Sender::new(None),
            refusing_requests: watch::Sender::new(false),
            tables,
            system_table_loaded: watch::Sender::new(false),
            fleet: Mutex::default(),
            paths: Mutex::default(),
            server_limits: Mutex::default(),
            stream_origins: Mutex::default(),
            software_history: Mutex::default(),
            limit_reports: Mutex::default(),
            membership: Mutex::default(),
            sharers: Mutex::default(),
            neighbours: Mutex::default(),
            held_runners: Mutex::default(),
            queues: Mutex::default(),
            unresponsive_queue_holders: Mutex::default(),
            retry_budgets: Mutex::default(),
            engine_timings: Mutex::default(),
            persisted_timings: Mutex::default(),
            demand_counters: Mutex::default(),
            planners: Mutex::default(),
            server_speeds: Mutex::default(),
            account_slices: Mutex::default(),
            slice_chooser: Mutex::default(),
            order_start_times: Mutex::default(),
            previous_incarnation: Mutex::default(),
            suspension: Mutex::default(),
        }
    }

    /// The current monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Locks the view of the backend servers.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Locks the ways to the backend servers.
    pub fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().expect("no holder of the lock panics")
    }

    /// Locks the limits on requests that servers have announced.
    pub fn server_limits(&self) -> MutexGuard<'_, ServerLimits> {
        self.server_limits.lock().expect("no holder of the lock panics")
    }

    /// Locks the records of where streams began.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.stream_origins.lock().expect("no holder of the lock panics")
    }

    /// Locks the software versions of services.
    pub fn software_history(&self) -> MutexGuard<'_, SoftwareHistory> {
        self.software_history.lock().expect("no holder of the lock panics")
    }

    /// Locks the times at which other daemons were told of limits.
    pub fn limit_reports(&self) -> MutexGuard<'_, LimitReports> {
        self.limit_reports.lock().expect("no holder of the lock panics")
    }

    /// Locks the rows of daemons and claims.
    pub fn membership(&self) -> MutexGuard<'_, MembershipRows> {
        self.membership.lock().expect("no holder of the lock panics")
    }

    /// Locks the record of the daemons that share bounds on the whole cluster; after the
    /// membership, where both are needed.
    pub fn sharers(&self) -> MutexGuard<'_, Sharers> {
        self.sharers.lock().expect("no holder of the lock panics")
    }

    /// Locks the set of daemons that this one exchanges heartbeats with.
    pub fn neighbours(&self) -> MutexGuard<'_, Neighbours> {
        self.neighbours.lock().expect("no holder of the lock panics")
    }

    /// Whether a daemon is not known to have failed.
    ///
    /// A neighbour counts as failed once it has been silent for too long. Other daemons
    /// count as alive; callers check whether they have a row.
    pub fn is_alive(&self, member: MemberId, now: Instant) -> bool {
        self.is_alive_among(&self.neighbours(), member, now)
    }

    /// Like [`Self::is_alive`], for a caller that has locked the neighbours.
    pub fn is_alive_among(
        &self,
        neighbours: &Neighbours,
        member: MemberId,
        now: Instant,
    ) -> bool {
        let last_received_at = self.peers.last_received_at(member);
        let silence = neighbours.silence(member, last_received_at, now);
        silence.is_none_or(|silence| silence < HEARTBEAT_TIMEOUT)
    }

    /// The number of neighbours, and how many of them this daemon hears, for logs.
    pub fn count_neighbours(&self, now: Instant) -> (usize, usize) {
        let neighbours = self.neighbours();
        let is_heard = |member| {
            let last_received_at = self.peers.last_received_at(member);
            last_received_at
                .is_some_and(|at| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT)
        };
        let heard = neighbours.addrs().filter(|(member, _)| is_heard(*member)).count();
        (neighbours.addrs().count(), heard)
    }

    /// Locks the runners whose claims this daemon holds.
    pub fn held_runners(&self) -> MutexGuard<'_, IndexMap<ServerName, Arc<HeldRunner>>> {
        self.held_runners.lock().expect("no holder of the lock panics")
    }

    /// A runner, if this daemon holds its claim.
    pub fn held_runner(&self, server: &ServerName) -> Option<Arc<HeldRunner>> {
        self.held_runners().get(server).cloned()
    }

    /// Locks the plain services' queues whose claims this daemon holds.
    pub fn queues(&self) -> MutexGuard<'_, IndexMap<ServiceName, Arc<ServiceQueue>>> {
        self.queues.lock().expect("no holder of the lock panics")
    }

    /// Records until when the unresponsive holder of a service's queue is sent no
    /// requests.
    pub fn mark_queue_holder_unresponsive(&self, service: &ServiceName, until: Instant) {
        let mut unresponsive =
            self.unresponsive_queue_holders.lock().expect("no holder of the lock panics");
        unresponsive.insert(service.clone(), until);
    }

    /// Whether the holder of a service's queue was recently unresponsive.
    pub fn is_queue_holder_unresponsive(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> bool {
        let unresponsive =
            self.unresponsive_queue_holders.lock().expect("no holder of the lock panics");
        unresponsive.get(service).is_some_and(|until| now < *until)
    }

    /// What the declared routes of a service call for.
    pub fn profile(&self, service: &ServiceName) -> ServiceProfile {
        self.profiles.borrow().get(service).copied().unwrap_or_default()
    }

    /// The policy that is in effect for a service.
    pub fn policy(&self, service: &ServiceName) -> Policy {
        self.settings.policy.for_service(self.profile(service))
    }

    /// Locks the learned engine timings.
    pub fn engine_timings(&self) -> MutexGuard<'_, EngineTimings> {
        self.engine_timings.lock().expect("no holder of the lock panics")
    }

    /// Locks the persisted engine timings, by service.
    pub fn persisted_timings(
        &self,
    ) -> MutexGuard<'_, IndexMap<ServiceName, PersistedTimings>> {
        self.persisted_timings.lock().expect("no holder of the lock panics")
    }

    /// Locks the counters of this daemon's demand.
    pub fn demand_counters(&self) -> MutexGuard<'_, DemandCounters> {
        self.demand_counters.lock().expect("no holder of the lock panics")
    }

    /// Locks the planners of the services that this daemon plans for.
    pub fn planners(&self) -> MutexGuard<'_, IndexMap<ServiceName, PlacementPlanner>> {
        self.planners.lock().expect("no holder of the lock panics")
    }

    /// Locks what this daemon knows of the speeds of runners, by service.
    pub fn server_speeds(&self) -> MutexGuard<'_, IndexMap<ServiceName, ServiceSpeeds>> {
        self.server_speeds.lock().expect("no holder of the lock panics")
    }

    /// Locks the slices of accounts' limits that this daemon holds.
    pub fn account_slices(&self) -> MutexGuard<'_, AccountSlices> {
        self.account_slices.lock().expect("no holder of the lock panics")
    }

    /// Locks what this daemon knows of the slices of accounts' limits.
    pub fn slice_chooser(&self) -> MutexGuard<'_, SliceChooser> {
        self.slice_chooser.lock().expect("no holder of the lock panics")
    }

    /// Time since the daemon started.
    pub fn uptime(&self) -> Duration {
        self.now().saturating_duration_since(self.started_at)
    }

    /// Whether the daemon was suspended recently, so that received messages may be
    /// outdated. On detecting a suspension it clears the confirmations of all table
    /// replicas.
    pub fn is_resuming(&self) -> bool {
        let now = self.now();
        let mut suspension =
            self.suspension.lock().expect("no holder of the lock panics");
        if let Some(gap) = suspension.check(self.clock.suspended_time(), now) {
            warn!(self.log, "daemon was suspended"; "ms" => gap.as_millis() as u64);
            for table in table_sync::tables(self) {
                table.replica().clear_confirmation();
            }
        }
        suspension.is_settling(now)
    }

    /// Sets from when on orders may be sent under a claim.
    pub fn set_order_start_time(&self, key: ClaimKey, from: Instant) {
        self.order_start_times
            .lock()
            .expect("no holder of the lock panics")
            .insert(key, from);
    }

    /// From when on orders may be sent under a claim; `None` if there is no restriction.
    pub fn order_start_time(&self, key: &ClaimKey) -> Option<Instant> {
        self.order_start_times
            .lock()
            .expect("no holder of the lock panics")
            .get(key)
            .copied()
    }

    /// Records the daemon's previous process on this VM.
    pub fn set_previous_incarnation(&self, member: MemberId) {
        *self.previous_incarnation.lock().expect("no holder of the lock panics") =
            Some(member);
    }

    /// The daemon's previous process on this VM, if its row was found.
    pub fn previous_incarnation(&self) -> Option<MemberId> {
        *self.previous_incarnation.lock().expect("no holder of the lock panics")
    }

    /// Whether a previous process on this VM was found, so that claims are already
    /// distributed.
    pub fn is_restart(&self) -> bool {
        self.previous_incarnation().is_some()
    }

    /// The declarations in force; `None` until the first are read.
    pub fn declarations(&self) -> Option<Arc<Declarations>> {
        self.declarations.borrow().clone()
    }

    /// The limits on callers' requests and connections.
    pub fn request_limits(&self) -> RequestLimits {
        self.declarations().map(|declared| declared.limits).unwrap_or_default()
    }

    /// The engine that a runner's service declares; `None` if the runner is unknown or
    /// has none.
    pub fn engine_of(&self, server: &ServerName) -> Option<Arc<Engine>> {
        let declared = self.declarations()?;
        declared.services.get(&self.service_of(server)?)?.engine.clone()
    }

    /// The service of a server; `None` if the server is not listed.
    pub fn service_of(&self, server: &ServerName) -> Option<ServiceName> {
        let fleet = self.fleet();
        Some(fleet.get(fleet.key(server)?)?.entry.service.clone())
    }

    /// The policy that is in effect for the service of a server; the default if the server
    /// is not listed.
    pub fn policy_of(&self, server: &ServerName) -> Policy {
        self.service_of(server).map(|service| self.policy(&service)).unwrap_or_default()
    }

    /// Whether the daemon can serve: it has read declarations and servers, can trust keys,
    /// and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.is_initialized()
            && !*self.shutting_down.borrow()
            && accounts::proof(self).keys == ProofState::Current
    }

    /// Whether declarations and servers have been read.
    pub fn is_initialized(&self) -> bool {
        self.declarations.borrow().is_some() && *self.server_updates.borrow() > 0
    }

    /// Whether the daemon accepts no more requests, because it is shutting down.
    pub fn is_refusing_requests(&self) -> bool {
        *self.refusing_requests.borrow()
    }

    /// Locks the retry budgets of the services.
    pub fn retry_budgets(&self) -> MutexGuard<'_, IndexMap<ServiceName, RetryBudget>> {
        self.retry_budgets.lock().expect("no holder of the lock panics")
    }
}
