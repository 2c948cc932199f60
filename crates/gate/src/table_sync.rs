//! Keeps copies of the store's tables up to date.
//!
//! One daemon reads a table closely: the store answers its waiting call as soon as a
//! row changes. The others learn from daemons' beats that a newer version is known,
//! and fetch what changed from whoever knows it; that costs the store nothing. A
//! daemon reads the store itself when nobody says that the store has confirmed the
//! copy lately: the reader may be gone, frozen or cut off, and changes have to be in
//! force in time nonetheless. A daemon that the store turns away learns from others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::id::weighted_rendezvous_rank;
use chestnut_base::{MemberId, VmName};
use chestnut_edge::{Change, Transaction};
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::message::TableNews;
use crate::shared::Shared;
use crate::store::{self, FetchLimits, StoreError};
use crate::table_replica::{TableChanges, TableReplica};
use crate::{claims, members, persisted_timings};

/// The part of [`fresh`] for which the store may hold the reader's call that waits for
/// changes; the beats' period and an answer's delay take of the rest.
const HOLD_PART: u32 = 3;

/// How much later than the store holds a call its answer may come.
const HOLD_SLACK: Duration = Duration::from_millis(300);

/// The share of the time in which changes have to be in force for which a copy counts as
/// up to date after the store confirmed it.
///
/// A read of its own takes a daemon some milliseconds. The word of the store takes up to a
/// call's hold and, among thousands of daemons, three or four beats.
const FRESH_SHARE: f64 = 0.75;

/// How long a copy counts as up to date at most, whatever the operators allow.
///
/// Daemons know from the copies who watches whom. With copies older than the silence after
/// which a row is removed, two hundred that start together remove each other's rows.
const FRESH_MOST: Duration = Duration::from_millis(1500);

const _: () = assert!(FRESH_MOST.as_millis() <= members::FAILURE_TIMEOUT.as_millis());

/// How much later than the first daemon each next one reads the store itself, so
/// that one read serves all.
const STAGGER: Duration = Duration::from_millis(40);

/// How often a daemon looks whether its copy is up to date.
const LOOK: Duration = Duration::from_millis(100);

/// What is fetched from another daemon while the store can be read.
///
/// More than this goes faster over the store's wide link than over a daemon's.
const FETCH: FetchLimits =
    FetchLimits { max_bytes: 64 << 10, timeout: Duration::from_millis(250) };

/// What is fetched from another daemon while the store turns this one away.
const FETCH_ALL: FetchLimits =
    FetchLimits { max_bytes: 8 << 20, timeout: Duration::from_millis(2500) };

/// The pause between reads of a table that changes all the time.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a read that failed, in which news of others may come.
const PAUSE: Duration = Duration::from_millis(60);

/// After how long without the store's word its return is worth telling.
///
/// Entries of servers lapse after three of their beats without the store.
const OUTAGE: Duration = Duration::from_millis(2500);

/// How long after its start a daemon knows which others there are.
const SETTLED: Duration = Duration::from_secs(1);

/// Who takes in what changed.
pub trait ChangeHandler: Send {
    /// A row was written or removed.
    fn on_change(&mut self, change: Change);

    /// The changes that were known are all taken in.
    fn on_batch_end(&mut self) {}

    /// The store could not be read for a while and can be again.
    fn on_store_recovery(&mut self) {}
}

/// A table of the store that daemons follow.
pub struct SyncedTable {
    /// Its name.
    pub name: &'static str,
    /// The copy.
    pub replica: std::sync::Mutex<TableReplica>,
    /// A daemon that knows a newer version.
    pub newer_version: watch::Sender<Option<(MemberId, u64)>>,
}

impl SyncedTable {
    /// Creates an empty copy.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            replica: Default::default(),
            newer_version: watch::Sender::new(None),
        }
    }

    /// The copy.
    pub fn replica(&self) -> std::sync::MutexGuard<'_, TableReplica> {
        self.replica.lock().expect("no holder of the lock panics")
    }

    /// How long ago the store confirmed the copy.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.replica().confirmed_at()?))
    }

    /// What this daemon says of the table in its beats: the version, and how many
    /// milliseconds ago the store confirmed it.
    pub fn announcement(&self, now: Instant) -> TableNews {
        let age = self.age(now)?;
        Some((self.replica().version()?, age.as_millis() as u32))
    }

    /// Takes in what another daemon says of the table.
    pub fn record_announcement(
        &self,
        from: MemberId,
        version: u64,
        age_ms: u32,
        now: Instant,
    ) {
        let confirmed = now.checked_sub(Duration::from_millis(age_ms.into()));
        let mut mirror = self.replica();
        if let Some(confirmed) = confirmed {
            mirror.record_confirmation(version, confirmed);
        }
        if mirror.version().is_some_and(|own| own < version) {
            self.newer_version.send_replace(Some((from, version)));
        }
    }
}

/// Follows a table for as long as the daemon runs.
pub async fn run(
    shared: Arc<Shared>,
    table: Arc<SyncedTable>,
    follower: impl ChangeHandler,
) {
    let outage = Outage { since: None };
    let mut follow = TableSync {
        shared,
        table,
        follower,
        outage,
        turned_away: false,
        backoff: Backoff::default(),
    };
    loop {
        follow.step().await;
    }
}

/// How long the store has not been heard of.
struct Outage {
    since: Option<Instant>,
}

struct TableSync<F> {
    shared: Arc<Shared>,
    table: Arc<SyncedTable>,
    follower: F,
    outage: Outage,
    /// Whether the last call of the store failed.
    turned_away: bool,
    /// When the store may be called again after a failed call.
    backoff: Backoff,
}

/// Where the next changes come from.
enum Source {
    /// The store, which may hold its answer that long.
    Store(Duration),
    /// A daemon that knows a newer version.
    Peer(SocketAddr),
    /// Nothing is needed.
    Nobody,
}

impl<F: ChangeHandler> TableSync<F> {
    async fn step(&mut self) {
        self.note_outage();
        let result = match self.source() {
            Source::Store(hold) => self.read_store(hold).await,
            Source::Peer(addr) => self.read_peer(addr).await,
            Source::Nobody => {
                let mut newer = self.table.newer_version.subscribe();
                newer.borrow_and_update();
                // Either there is news or it is time to look again.
                let _ = timeout(LOOK, newer.changed()).await;
                return;
            }
        };
        match result {
            Ok(()) => {}
            Err(StoreError(why)) => {
                warn!(self.shared.log, "table not read"; "table" => self.table.name,
                    "error" => why, "age_ms" => self.age().map(|age| age.as_millis() as u64));
                sleep(PAUSE).await;
            }
        }
    }

    /// Decides where the next changes come from.
    fn source(&self) -> Source {
        let now = self.shared.now();
        let rank = rank(&self.shared, self.table.name);
        let may_call = self.backoff.is_over(rank, now);
        if self.table.replica().version().is_none() {
            let first = Source::Store(Duration::ZERO);
            return if may_call { first } else { Source::Nobody };
        }
        // Right after its start a daemon knows no others and takes itself for the reader.
        let settled = self.shared.uptime() > SETTLED;
        if rank == 0 && settled && may_call {
            return Source::Store(fresh(&self.shared) / HOLD_PART);
        }
        if let Some(addr) = self.newer_peer(now) {
            return Source::Peer(addr);
        }
        let limit = fresh(&self.shared) + STAGGER * rank.min(10) as u32;
        match self.age() {
            Some(age) if age < limit => Source::Nobody,
            _ if !may_call => Source::Nobody,
            _ => Source::Store(Duration::ZERO),
        }
    }

    /// How long ago the store confirmed the copy.
    fn age(&self) -> Option<Duration> {
        self.table.age(self.shared.now())
    }

    /// A daemon that knows a newer version and was heard from lately.
    fn newer_peer(&self, now: Instant) -> Option<SocketAddr> {
        let (member, version) = (*self.table.newer_version.borrow())?;
        let own = self.table.replica().version()?;
        let alive = self.shared.is_alive(member, now);
        if version <= own || !alive {
            return None;
        }
        members::table_changes_addr(&self.shared, member)
    }

    async fn read_peer(&mut self, addr: SocketAddr) -> Result<(), StoreError> {
        let own = self.table.replica().version().unwrap_or_default();
        let fetch = if self.turned_away { FETCH_ALL } else { FETCH };
        let changes =
            store::fetch_peer_changes(&self.shared, addr, self.table.name, own, fetch);
        let changes = match changes.await {
            Ok(changes) => changes,
            Err(_) if !self.turned_away => return self.read_store(Duration::ZERO).await,
            Err(fault) => {
                // Another daemon may know it too, and says so in its next beat.
                self.table.newer_version.send_replace(None);
                return Err(fault);
            }
        };
        if self.take(changes) {
            members::announce_tables(&self.shared);
        }
        Ok(())
    }

    /// Takes in what another daemon says changed; returns whether any of it is new.
    fn take(&mut self, changes: TableChanges) -> bool {
        let TableChanges { rows, snapshot: whole, version } = changes;
        let rows: Vec<Change> = rows.into_iter().map(Change::from).collect();
        let fresh = {
            let mut mirror = self.table.replica();
            match whole {
                true => mirror.apply_snapshot(rows, version).unwrap_or_default(),
                false => mirror.apply(rows, version),
            }
        };
        let news = !fresh.is_empty();
        self.hand_on(fresh);
        news
    }

    async fn read_store(&mut self, hold: Duration) -> Result<(), StoreError> {
        let result = self.ask_store(hold).await;
        match &result {
            Ok(()) => self.backoff.answered(),
            Err(_) => self.backoff.failed(self.shared.now()),
        }
        result
    }

    async fn ask_store(&mut self, hold: Duration) -> Result<(), StoreError> {
        let version = self.table.replica().version();
        let Some(after) = version else { return self.read_whole().await };
        let request =
            self.shared.dialect.write_changes_request(self.table.name, after, hold);
        let answer = store::call(&self.shared, request, hold + HOLD_SLACK).await;
        self.turned_away = answer.is_err();
        let answer = answer?;
        let (status, body) = (answer.status(), answer.into_body());
        let delta = self.shared.dialect.read_changes(status, &body);
        self.turned_away = delta.is_err();
        let Some(delta) = delta.map_err(|error| StoreError(error.to_string()))? else {
            info!(self.shared.log, "history gone, reading the table whole";
                "table" => self.table.name, "version" => after);
            return self.read_whole().await;
        };
        let busy = !delta.changes.is_empty();
        let now = self.shared.now();
        let fresh = {
            let mut mirror = self.table.replica();
            let fresh = mirror.apply(delta.changes, delta.version);
            mirror.record_confirmation(delta.version, now);
            fresh
        };
        self.hand_on(fresh);
        if busy {
            // Others learn of it at once, and the store is not asked for each row.
            members::announce_tables(&self.shared);
            sleep(READ_PAUSE).await;
        }
        Ok(())
    }

    async fn read_whole(&mut self) -> Result<(), StoreError> {
        let (rows, version) = store::read_table(&self.shared, self.table.name).await?;
        let now = self.shared.now();
        let fresh = {
            let mut mirror = self.table.replica();
            let fresh = mirror.apply_snapshot(rows, version);
            let fresh =
                fresh.ok_or_else(|| StoreError(format!("an old read, {version}")))?;
            mirror.record_confirmation(version, now);
            fresh
        };
        self.hand_on(fresh);
        Ok(())
    }

    fn hand_on(&mut self, fresh: Vec<Change>) {
        for change in fresh {
            self.follower.on_change(change);
        }
        self.follower.on_batch_end();
    }

    /// Tells the follower when the store is back after an outage.
    fn note_outage(&mut self) {
        let now = self.shared.now();
        let age = self.age();
        match (age, self.outage.since) {
            (Some(age), None) if age > OUTAGE => {
                warn!(self.shared.log, "store lost"; "table" => self.table.name,
                    "age_ms" => age.as_millis() as u64);
                self.outage.since = Some(now);
            }
            (Some(age), Some(since)) if age < OUTAGE => {
                info!(self.shared.log, "store regained"; "table" => self.table.name,
                    "lost_ms" => now.duration_since(since).as_millis() as u64);
                self.outage.since = None;
                self.follower.on_store_recovery();
            }
            _ => {}
        }
    }
}

/// How long a copy counts as up to date after the store confirmed it.
fn fresh(shared: &Shared) -> Duration {
    let bounds = shared.bounds.borrow();
    bounds.apply.min(bounds.leave).mul_f64(FRESH_SHARE).min(FRESH_MOST)
}

/// This daemon's place in the order in which daemons read a table; 0 is the reader.
fn rank(shared: &Shared, table: &str) -> usize {
    let me = &shared.settings.vm;
    let known = shared.membership();
    let now = shared.now();
    let own = weighted_rendezvous_rank(table, me.as_str(), shared.settings.weight());
    let others = known.members.iter().filter(|(vm, (row, _))| {
        *vm != me && known.accepts_claims(row) && shared.is_alive(row.member, now)
    });
    let rank = |vm: &VmName, weight| weighted_rendezvous_rank(table, vm.as_str(), weight);
    others.filter(|(vm, (row, _))| rank(vm, row.weight) > own).count()
}

/// The tables that a daemon follows.
pub fn tables(shared: &Shared) -> [&Arc<SyncedTable>; 3] {
    [&shared.tables.declarations, &shared.tables.servers, &shared.tables.system]
}

/// What this daemon says of its tables to others.
pub fn announcements(shared: &Shared) -> Vec<TableNews> {
    let now = shared.now();
    tables(shared).into_iter().map(|table| table.announcement(now)).collect()
}

/// Takes in what another daemon says of its tables.
pub fn record_announcements(shared: &Shared, from: MemberId, news: &[TableNews]) {
    if shared.is_resuming() {
        // It may have waited in the socket for as long as the daemon stood still.
        return;
    }
    let now = shared.now();
    for (table, news) in tables(shared).into_iter().zip(news) {
        if let Some((version, age)) = news {
            table.record_announcement(from, *version, *age, now);
        }
    }
}

/// The system's own table: daemons and claims, told apart by the start of the key.
pub const SYSTEM_TABLE: &str = "chestnut";

/// Takes note of the rows of the system's own table that this daemon has written.
pub fn record_own_writes(shared: &Shared, commit: &Transaction, version: u64) {
    let mut mirror = shared.tables.system.replica();
    for write in commit.writes.iter().filter(|write| write.table == SYSTEM_TABLE) {
        let (key, value) = (write.key.clone(), write.value.clone());
        mirror.apply_own_write(&Change { key, version, value });
    }
}

/// Takes in the system's own table.
pub struct SystemTableHandler {
    /// Takes in daemons.
    pub members: members::MemberHandler,
    /// Takes in claims.
    pub claims: claims::ClaimHandler,
    /// Takes in what was learnt of runners.
    pub timings: persisted_timings::EngineTimingsHandler,
}

impl ChangeHandler for SystemTableHandler {
    fn on_change(&mut self, change: Change) {
        if change.key.starts_with(members::KEY_PREFIX) {
            self.members.on_change(change);
        } else if change.key.starts_with(claims::KEY_PREFIX) {
            self.claims.on_change(change);
        } else if change.key.starts_with(persisted_timings::KEY_PREFIX) {
            self.timings.on_change(change);
        }
    }

    fn on_batch_end(&mut self) {
        self.members.on_batch_end();
        self.claims.on_batch_end();
    }
}
