//! Keeps replicas of the store's tables up to date.
//!
//! One daemon, the reader of a table, long-polls the store, which responds as soon as a
//! row changes. The others learn from heartbeats that a newer version exists and fetch
//! the changes from the daemon that has it, without calls to the store. A daemon polls the
//! store itself when no daemon has recently reported that the store confirmed the replica's
//! version: the reader may be down, suspended or partitioned, and changes must still be
//! in force in time. A daemon that can't reach the store gets changes from others.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::MemberId;
use chestnut_edge::{Change, Transaction};
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::message::TableFreshness;
use crate::peers::HEARTBEAT_TIMEOUT;
use crate::shared::Shared;
use crate::store::{self, FetchLimits, StoreError};
use crate::table_replica::{
    MIN_CONFIRMATION_INTERVAL, TableChanges, TableReplica, confirmation_time,
};
use crate::table_source::{Announcements, Source, TableView};
use crate::{
    blocked_requests, claims, members, persisted_timings, share_rows, software_rows,
};

/// The store may hold the reader's long poll for [`freshness_limit`] divided by this. The
/// rest of the limit is for the heartbeat period and the delay of the response.
const HOLD_DIVISOR: u32 = 3;

/// How long after the end of its hold a long poll's response may arrive.
const HOLD_RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// How long a replica counts as current after a confirmation by the store, as a share of the
/// time within which changes must be in force.
///
/// A direct read takes a daemon a few milliseconds. A confirmation takes up to the hold
/// of a long poll and, among thousands of daemons, three or four heartbeats.
const FRESHNESS_SHARE: f64 = 0.75;

/// Upper bound on the time for which a replica counts as current.
///
/// Replicas determine which daemon watches which. If they may be older than the
/// failure-detection timeout, two hundred daemons that start together remove each other's
/// rows.
const MAX_FRESHNESS: Duration = Duration::from_millis(1500);

const _: () = assert!(MAX_FRESHNESS.as_millis() <= members::FAILURE_TIMEOUT.as_millis());

/// How often a daemon checks whether its replica is current.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Limits of a fetch from another daemon while the store is reachable.
///
/// Larger changes transfer faster over the store's link than over a daemon's.
const FETCH_LIMITS: FetchLimits =
    FetchLimits { max_bytes: 64 << 10, timeout: Duration::from_millis(250) };

/// Limits of a fetch from another daemon while this one can't reach the store.
const OUTAGE_FETCH_LIMITS: FetchLimits =
    FetchLimits { max_bytes: 8 << 20, timeout: Duration::from_millis(2500) };

/// Delay between long polls of a table that changes continuously.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(150);

const _: () =
    assert!(MIN_CONFIRMATION_INTERVAL.as_millis() <= MIN_POLL_INTERVAL.as_millis());

/// Delay after a failed read, during which other daemons may announce changes.
const ERROR_DELAY: Duration = Duration::from_millis(60);

/// Age of a replica above which the store counts as unreachable. The handler is notified of
/// its recovery.
///
/// Entries of servers expire after three of their heartbeats without the store.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2500);

/// Time after the start in which a daemon may not have received the other daemons' rows.
const STARTUP_TIME: Duration = Duration::from_secs(1);

/// Receives the changes of a table.
pub trait ChangeHandler: Send {
    /// Called for each row that was written or removed.
    fn on_change(&mut self, change: Change);

    /// Called after all changes of a read.
    fn on_batch_end(&mut self) {}

    /// Called when the store is reachable again after an outage.
    fn on_store_recovery(&mut self) {}
}

/// Who told a daemon something about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store.
    Store,
    /// Another daemon.
    Peer(MemberId),
}

impl Display for Origin {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(member) => member.fmt(f),
        }
    }
}

/// Who told a daemon what it knows of a table; `None` if nobody has.
#[derive(Debug, Clone, Copy, Default)]
pub struct Origins {
    /// From whom the last changes came.
    pub changes: Option<Origin>,
    /// Who reported the last confirmation of the replica by the store.
    pub confirmation: Option<Origin>,
}

/// A table of the store with this daemon's replica of it.
pub struct SyncedTable {
    /// The table's name in the store.
    pub name: &'static str,
    /// This daemon's replica.
    replica: Mutex<TableReplica>,
    origins: Mutex<Origins>,
    /// What other daemons announced.
    announcements: Mutex<Announcements>,
    /// A newer version and the daemon that announced it.
    pub newer_version: watch::Sender<Option<(MemberId, u64)>>,
}

impl SyncedTable {
    /// Creates a table with an empty replica.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            replica: Mutex::default(),
            origins: Mutex::default(),
            announcements: Mutex::default(),
            newer_version: watch::Sender::new(None),
        }
    }

    /// Locks the replica.
    pub fn replica(&self) -> MutexGuard<'_, TableReplica> {
        self.replica.lock().expect("no holder of the lock panics")
    }

    /// The version up to which the replica is complete; `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.replica().version()
    }

    /// Who told this daemon what it knows of the table, for logs.
    pub fn origins(&self) -> Origins {
        *self.lock_origins()
    }

    fn lock_origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().expect("no holder of the lock panics")
    }

    /// What other daemons announced of the table.
    fn announcements(&self) -> Announcements {
        *self.lock_announcements()
    }

    fn lock_announcements(&self) -> MutexGuard<'_, Announcements> {
        self.announcements.lock().expect("no holder of the lock panics")
    }

    /// Records that at `at` the store had no changes after `version`.
    fn record_confirmation(&self, version: u64, at: Instant, origin: Origin) {
        let mut replica = self.replica();
        let before = replica.confirmed_at();
        match origin {
            Origin::Store => replica.record_confirmation(version, at),
            Origin::Peer(_) => replica.record_reported_confirmation(version, at),
        }
        if replica.confirmed_at() > before {
            self.lock_origins().confirmation = Some(origin);
        }
    }

    /// Time since the store confirmed the replica; `None` before the first confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.replica().confirmed_at()?))
    }

    /// The replica's version and the milliseconds since the store confirmed it, as sent
    /// in heartbeats.
    pub fn announcement(&self, now: Instant) -> TableFreshness {
        let age = self.age(now)?;
        Some((self.replica().version()?, age.as_millis() as u32))
    }

    /// Records which version another daemon has, and how old its confirmation is.
    pub fn record_announcement(
        &self,
        from: MemberId,
        version: u64,
        age_ms: u32,
        now: Instant,
    ) {
        let confirmed = now.checked_sub(Duration::from_millis(age_ms.into()));
        self.lock_announcements().record(confirmed, now);
        if let Some(confirmed) = confirmed {
            self.record_confirmation(version, confirmed, Origin::Peer(from));
        }
        if self.version().is_some_and(|own| own < version) {
            self.newer_version.send_replace(Some((from, version)));
        }
    }
}

/// Keeps a table's replica up to date for as long as the daemon runs.
pub async fn run(
    shared: Arc<Shared>,
    table: Arc<SyncedTable>,
    handler: impl ChangeHandler,
) {
    let outage = Outage { since: None };
    let mut sync = TableSync {
        shared,
        table,
        handler,
        outage,
        outdated_since: None,
        store_unavailable: false,
        backoff: Backoff::default(),
    };
    loop {
        sync.sync_once().await;
    }
}

struct Outage {
    since: Option<Instant>,
}

struct TableSync<F> {
    shared: Arc<Shared>,
    table: Arc<SyncedTable>,
    handler: F,
    outage: Outage,
    /// Since when the replica has been older than the freshness limit.
    outdated_since: Option<Instant>,
    /// Whether the last call to the store failed.
    store_unavailable: bool,
    /// Delays calls to the store after failed ones.
    backoff: Backoff,
}

impl<F: ChangeHandler> TableSync<F> {
    async fn sync_once(&mut self) {
        self.detect_outage();
        self.log_freshness();
        let result = match self.choose_source() {
            Source::LongPoll => {
                self.read_store(freshness_limit(&self.shared) / HOLD_DIVISOR).await
            }
            Source::Read => self.read_store(Duration::ZERO).await,
            Source::Peer((member, addr)) => self.fetch_from_peer(member, addr).await,
            Source::Idle => {
                let mut newer_version = self.table.newer_version.subscribe();
                newer_version.borrow_and_update();
                // Ends early when a newer version is announced.
                let _ = timeout(CHECK_PERIOD, newer_version.changed()).await;
                return;
            }
        };
        match result {
            Ok(()) => {}
            Err(StoreError(reason)) => {
                warn!(self.shared.log, "table read failed"; "table" => self.table.name,
                    "error" => reason, "age_ms" => self.age().map(|age| age.as_millis() as u64));
                sleep(ERROR_DELAY).await;
            }
        }
    }

    fn choose_source(&mut self) -> Source<(MemberId, SocketAddr)> {
        let now = self.shared.now();
        if let Some(responded_at) = self.table.announcements().responded_at() {
            self.backoff.record_recovery(responded_at, now);
        }
        self.view(now).source(&self.backoff, now)
    }

    fn view(&self, now: Instant) -> TableView<(MemberId, SocketAddr)> {
        let rank = reader_rank(&self.shared, self.table.name);
        let version = self.table.version();
        let is_informed = self.table.announcements().are_recent(now);
        TableView {
            rank,
            is_informed,
            is_loaded: version.is_some(),
            past_startup: self.shared.uptime() > STARTUP_TIME,
            newer_peer: self.newer_peer(now),
            age: self.age(),
            freshness_limit: freshness_limit(&self.shared),
        }
    }

    /// Time since the store confirmed the replica.
    fn age(&self) -> Option<Duration> {
        self.table.age(self.shared.now())
    }

    /// A live daemon that has a newer version, and its address.
    fn newer_peer(&self, now: Instant) -> Option<(MemberId, SocketAddr)> {
        let (member, version) = (*self.table.newer_version.borrow())?;
        let own = self.table.version()?;
        let alive = self.shared.is_alive(member, now);
        if version <= own || !alive {
            return None;
        }
        Some((member, members::table_changes_addr(&self.shared, member)?))
    }

    async fn fetch_from_peer(
        &mut self,
        member: MemberId,
        addr: SocketAddr,
    ) -> Result<(), StoreError> {
        let own = self.table.version().unwrap_or_default();
        let fetch =
            if self.store_unavailable { OUTAGE_FETCH_LIMITS } else { FETCH_LIMITS };
        let changes =
            store::fetch_peer_changes(&self.shared, addr, self.table.name, own, fetch);
        let changes = match changes.await {
            Ok(changes) => changes,
            Err(_) if !self.store_unavailable => {
                return self.read_store(Duration::ZERO).await;
            }
            Err(error) => {
                // Other daemons that have the version announce it in their next
                // heartbeat.
                self.table.newer_version.send_replace(None);
                return Err(error);
            }
        };
        if self.apply_peer_changes(member, changes) {
            members::announce_tables(&self.shared);
        }
        Ok(())
    }

    /// Applies changes from another daemon; returns whether any was new.
    fn apply_peer_changes(&mut self, member: MemberId, changes: TableChanges) -> bool {
        let TableChanges { rows, snapshot, version } = changes;
        let rows: Vec<Change> = rows.into_iter().map(Change::from).collect();
        let new_changes = {
            let mut replica = self.table.replica();
            match snapshot {
                true => replica.apply_snapshot(rows, version).unwrap_or_default(),
                false => replica.apply(rows, version),
            }
        };
        let any_new = !new_changes.is_empty();
        self.dispatch(new_changes, Origin::Peer(member));
        any_new
    }

    async fn read_store(&mut self, hold: Duration) -> Result<(), StoreError> {
        let result = self.poll_store(hold).await;
        match &result {
            Ok(()) => self.backoff.record_success(),
            Err(_) => self.backoff.record_failure(self.shared.now()),
        }
        result
    }

    async fn poll_store(&mut self, hold: Duration) -> Result<(), StoreError> {
        let version = self.table.version();
        let Some(after) = version else { return self.read_full_table().await };
        let request =
            self.shared.dialect.write_changes_request(self.table.name, after, hold);
        let sent_at = self.shared.now();
        let response =
            store::call(&self.shared, request, hold + HOLD_RESPONSE_MARGIN).await;
        self.store_unavailable = response.is_err();
        let response = response?;
        let (status, body) = (response.status(), response.into_body());
        let delta = self.shared.dialect.read_changes(status, &body);
        self.store_unavailable = delta.is_err();
        let Some(delta) = delta.map_err(|error| StoreError(error.to_string()))? else {
            info!(self.shared.log, "change history expired, reading the whole table";
                "table" => self.table.name, "version" => after);
            return self.read_full_table().await;
        };
        let has_changes = !delta.changes.is_empty();
        let received_at = self.shared.now();
        let as_of = confirmation_time(sent_at, hold, received_at, has_changes);
        let new_changes = {
            let mut replica = self.table.replica();
            replica.apply(delta.changes, delta.version)
        };
        self.table.record_confirmation(delta.version, as_of, Origin::Store);
        self.dispatch(new_changes, Origin::Store);
        if has_changes {
            // Others are notified at once, and rows that change in quick succession share
            // a poll.
            members::announce_tables(&self.shared);
            sleep(MIN_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn read_full_table(&mut self) -> Result<(), StoreError> {
        let sent_at = self.shared.now();
        let (rows, version) = store::read_table(&self.shared, self.table.name).await?;
        let new_changes = {
            let mut replica = self.table.replica();
            let new_changes = replica.apply_snapshot(rows, version);
            new_changes
                .ok_or_else(|| StoreError(format!("stale read at version {version}")))?
        };
        self.table.record_confirmation(version, sent_at, Origin::Store);
        self.dispatch(new_changes, Origin::Store);
        Ok(())
    }

    fn dispatch(&mut self, new_changes: Vec<Change>, origin: Origin) {
        if !new_changes.is_empty() {
            self.table.lock_origins().changes = Some(origin);
        }
        for change in new_changes {
            self.handler.on_change(change);
        }
        self.handler.on_batch_end();
    }

    /// Logs when the replica becomes outdated and when it is current again.
    fn log_freshness(&mut self) {
        let now = self.shared.now();
        let is_outdated = match self.age() {
            Some(age) => age > freshness_limit(&self.shared),
            // The daemon was suspended, or has just started.
            None => self.table.version().is_some(),
        };
        match (is_outdated, self.outdated_since) {
            (true, None) => {
                self.log_outdated(now);
                self.outdated_since = Some(now);
            }
            (false, Some(since)) => {
                self.log_current(now.duration_since(since));
                self.outdated_since = None;
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Logs an outdated replica with what decides from where it is updated.
    fn log_outdated(&self, now: Instant) {
        let view = self.view(now);
        let may_call = view.may_call(&self.backoff, now);
        let (neighbours, heard) = self.shared.count_neighbours(now);
        let has_row = !members::is_own_row_missing(&self.shared);
        let newer = *self.table.newer_version.borrow();
        let newer = newer.map(|(member, version)| format!("{version} at {member}"));
        info!(self.shared.log, "replica outdated"; "table" => self.table.name,
            "version" => self.table.version(),
            "age_ms" => self.age().map(|age| age.as_millis() as u64),
            "confirmed_by" => self.confirmed_by(), "rank" => view.rank,
            "informed" => view.is_informed, "may_call" => may_call, "newer" => newer,
            "neighbours" => neighbours, "heard" => heard, "own_row" => has_row);
    }

    fn log_current(&self, outdated: Duration) {
        info!(self.shared.log, "replica current again"; "table" => self.table.name,
            "version" => self.table.version(),
            "age_ms" => self.age().map(|age| age.as_millis() as u64),
            "confirmed_by" => self.confirmed_by(),
            "outdated_ms" => outdated.as_millis() as u64);
    }

    fn confirmed_by(&self) -> Option<String> {
        self.table.origins().confirmation.map(|origin| origin.to_string())
    }

    /// Logs the start and the end of an outage, and notifies the handler of the end.
    fn detect_outage(&mut self) {
        let now = self.shared.now();
        let age = self.age();
        match (age, self.outage.since) {
            (Some(age), None) if age > OUTAGE_THRESHOLD => {
                warn!(self.shared.log, "store unreachable"; "table" => self.table.name,
                    "age_ms" => age.as_millis() as u64);
                self.outage.since = Some(now);
            }
            (Some(age), Some(since)) if age < OUTAGE_THRESHOLD => {
                info!(self.shared.log, "store reachable again"; "table" => self.table.name,
                    "lost_ms" => now.duration_since(since).as_millis() as u64);
                self.outage.since = None;
                self.handler.on_store_recovery();
            }
            _ => {}
        }
    }
}

/// How long a replica counts as current after a confirmation by the store.
fn freshness_limit(shared: &Shared) -> Duration {
    let bounds = shared.bounds.borrow();
    bounds.apply.min(bounds.leave).mul_f64(FRESHNESS_SHARE).min(MAX_FRESHNESS)
}

/// Whether the store has confirmed a replica recently.
pub fn is_current(shared: &Shared, table: &SyncedTable) -> bool {
    let age = table.age(shared.now());
    age.is_some_and(|age| age <= freshness_limit(shared))
}

/// This daemon's rank among the live daemons that may read a table, or write the row of that
/// key; 0 is the reader, or a daemon that is cut off from the others.
pub fn reader_rank(shared: &Shared, table: &str) -> usize {
    let membership = shared.membership();
    let now = shared.now();
    let (vm, weight) = (&shared.settings.vm, shared.settings.weight());
    let neighbours = shared.neighbours();
    let last_received_at = |member| shared.peers.last_received_at(member);
    if neighbours.is_cut_off(last_received_at, HEARTBEAT_TIMEOUT, now) {
        return 0;
    }
    let is_alive = |member| shared.is_alive_among(&neighbours, member, now);
    chestnut_member::reader_rank(&membership, vm, weight, table, is_alive)
}

/// The tables that a daemon replicates, in the order in which heartbeats list them.
pub fn tables(shared: &Shared) -> [&Arc<SyncedTable>; 3] {
    [&shared.tables.declarations, &shared.tables.servers, &shared.tables.system]
}

/// The version and age of each replica, as sent in heartbeats.
pub fn announcements(shared: &Shared) -> Vec<TableFreshness> {
    let now = shared.now();
    tables(shared).into_iter().map(|table| table.announcement(now)).collect()
}

/// Records which versions of the tables another daemon has.
pub fn record_announcements(
    shared: &Shared,
    from: MemberId,
    announcements: &[TableFreshness],
) {
    if shared.is_resuming() {
        // The message may have waited in the socket for as long as the daemon was
        // suspended.
        return;
    }
    let now = shared.now();
    for (table, announcement) in tables(shared).into_iter().zip(announcements) {
        if let Some((version, age)) = announcement {
            table.record_announcement(from, *version, *age, now);
        }
    }
}

/// The system's own table of daemons, claims and engine timings, distinguished by key
/// prefix.
pub const SYSTEM_TABLE: &str = "chestnut";

/// Applies rows of the system table that this daemon has committed to its replica; returns
/// the keys of those that are current.
///
/// The caller holds the lock of the membership, so that no newer change of a row is handled
/// before the row itself.
pub fn record_own_writes(
    shared: &Shared,
    transaction: &Transaction,
    version: u64,
) -> Vec<String> {
    let mut replica = shared.tables.system.replica();
    let writes = transaction.writes.iter().filter(|write| write.table == SYSTEM_TABLE);
    writes
        .filter(|write| {
            let (key, value) = (write.key.clone(), write.value.clone());
            replica.apply_own_write(&Change { key, version, value })
        })
        .map(|write| write.key.clone())
        .collect()
}

/// Passes each change of the system table to the handler for its key prefix.
pub struct SystemTableHandler {
    /// Handles rows of daemons.
    pub members: members::MemberHandler,
    /// Handles rows of VMs' shares.
    pub shares: share_rows::ShareHandler,
    /// Handles rows of claims.
    pub claims: claims::ClaimHandler,
    /// Handles rows of engine timings.
    pub timings: persisted_timings::EngineTimingsHandler,
    /// Handles rows of blocked requests.
    pub blocked: blocked_requests::BlockedRequestHandler,
    /// Handles rows of software versions.
    pub software: software_rows::SoftwareHandler,
}

impl ChangeHandler for SystemTableHandler {
    fn on_change(&mut self, change: Change) {
        if change.key.starts_with(members::KEY_PREFIX) {
            self.members.on_change(change);
        } else if change.key.starts_with(share_rows::KEY_PREFIX) {
            self.shares.on_change(change);
        } else if change.key.starts_with(claims::KEY_PREFIX) {
            self.claims.on_change(change);
        } else if change.key.starts_with(persisted_timings::KEY_PREFIX) {
            self.timings.on_change(change);
        } else if change.key.starts_with(blocked_requests::KEY_PREFIX) {
            self.blocked.on_change(change);
        } else if change.key.starts_with(software_rows::KEY_PREFIX) {
            self.software.on_change(change);
        }
    }

    fn on_batch_end(&mut self) {
        self.members.on_batch_end();
        self.claims.on_batch_end();
        self.software.on_batch_end();
    }
}
