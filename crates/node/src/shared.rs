//! State shared by the parts of a daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{AttemptId, Clock, MemberId, Refusal, RefusalCode};
use chestnut_config::{Catalog, Settings};
use chestnut_member::{Lease, View};
use chestnut_place::Residency;
use chestnut_plat::{Delta, ObjectStore, PlatformError, TableClient, VmList};
use indexmap::IndexSet;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::config_sync::{self, ConfigState};
use crate::demand::DemandCounts;
use crate::feed::ChangeFeed;
use crate::metrics::Metrics;
use crate::orders::rows::PlacementRows;
use crate::orders::usage::AssetUsage;
use crate::{members, orders, poison};

/// The tables whose changes every daemon reads.
const SYNCED_TABLES: [&str; 8] = [
    members::MEMBERS,
    members::CLAIMS,
    members::SERVERS,
    members::DRAINS,
    chestnut_config::rows::CONFIG_TABLE,
    orders::rows::LEDGER,
    orders::rows::PLAN,
    poison::POISON,
];

/// State shared by the parts of a daemon.
///
/// Each watched value but `shutting_down` has one writer, named in the field's comment;
/// all other parts read snapshots.
pub struct Shared {
    /// The validated settings.
    pub settings: Settings,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// The id of this incarnation of the daemon.
    pub me: MemberId,
    /// The logger; it adds the VM's name to each line.
    pub log: Logger,
    /// The registry of metrics.
    pub metrics: Arc<Metrics>,
    /// The client of the table service.
    pub table: TableClient,
    /// Changes of the tables that every daemon reads, refreshed by
    /// [`crate::members`].
    pub feed: ChangeFeed,
    /// The client of the object store.
    pub objects: ObjectStore,
    /// The client of the platform's list of VMs.
    pub vms: VmList,
    /// The declarations in force, written by [`crate::config_sync`].
    pub catalog: watch::Sender<Arc<Catalog>>,
    /// The replica of the configuration's rows, updated by [`crate::config_sync`].
    pub config_state: ConfigState,
    /// Members, servers and claims, written by [`crate::members`].
    pub view: watch::Sender<Arc<View>>,
    /// The models and adapters resident at each runner, written by [`crate::orders`].
    pub residency: watch::Sender<Arc<Residency>>,
    /// The ledger's and the plan's rows, written by [`crate::orders`].
    pub rows: watch::Sender<Arc<PlacementRows>>,
    /// Demand of callers for each model, read by [`crate::demand`].
    pub demand: DemandCounts,
    /// The requests that use each asset of the runners that this daemon leads.
    pub usage: AssetUsage,
    /// Whether this daemon is shutting down. Set by a signal, an operator or the
    /// platform; never unset.
    pub shutting_down: watch::Sender<bool>,
    /// Whether this daemon refuses new requests because it is shutting down, written by
    /// [`crate::run`].
    pub intake_closed: watch::Sender<bool>,
    /// This daemon's lease, written by [`crate::members`].
    pub lease: Mutex<Lease>,
    /// Members that announced their shutdown; their rows in the table may not say so yet.
    pub announced_shutdowns: Mutex<IndexSet<MemberId>>,
    /// Makes [`crate::members`] poll the table before its next poll is due.
    pub poll_now: Notify,
    /// How far this daemon has joined, written by [`crate::members`].
    pub join_phase: watch::Sender<JoinPhase>,
    next_attempt: AtomicU64,
}

/// How far a daemon has joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinPhase {
    /// Its row doesn't say yet that it accepts work.
    Joining,
    /// No other daemon responds to it, so that it must not accept work for now.
    Untrusted,
    /// Its row has said that it accepts work; later phases don't follow.
    Serving,
}

impl Shared {
    /// Creates the state of a daemon that has read nothing yet.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        me: MemberId,
        log: Logger,
        table: TableClient,
        objects: ObjectStore,
        vms: VmList,
    ) -> Self {
        let term = settings.times.lease_duration;
        let metrics = Arc::new(Metrics::new());
        let config_state = ConfigState::new(&metrics);
        Self {
            settings,
            clock,
            me,
            log,
            metrics,
            table,
            feed: ChangeFeed::new(&SYNCED_TABLES),
            objects,
            vms,
            catalog: watch::Sender::new(Arc::default()),
            config_state,
            view: watch::Sender::new(Arc::default()),
            residency: watch::Sender::new(Arc::default()),
            rows: watch::Sender::new(Arc::default()),
            demand: DemandCounts::default(),
            usage: AssetUsage::default(),
            shutting_down: watch::Sender::new(false),
            intake_closed: watch::Sender::new(false),
            lease: Mutex::new(Lease::new(term)),
            announced_shutdowns: Mutex::default(),
            poll_now: Notify::new(),
            join_phase: watch::Sender::new(JoinPhase::Joining),
            next_attempt: AtomicU64::new(0),
        }
    }

    /// The changes of a table after version `since`, and when they were read.
    pub async fn changes(
        &self,
        table: &str,
        prefix: &str,
        since: u64,
    ) -> Result<(Delta, Instant), PlatformError> {
        self.feed.scan(&self.table, &*self.clock, table, prefix, since).await
    }

    /// The declarations in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Members, servers and claims, as last read from the table.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The models and adapters resident at each runner, as last read.
    pub fn residency(&self) -> Arc<Residency> {
        self.residency.borrow().clone()
    }

    /// Whether this daemon is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Whether this daemon's lease is valid, so that it may act on its claims.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        self.lease.lock().expect("no holder of the lease panics").is_valid(now)
    }

    /// Refuses requests while this daemon must not accept any.
    ///
    /// The refusal names the addresses that callers may use instead.
    pub fn check_accepts_requests(&self) -> Result<(), Refusal> {
        let addresses = self.caller_addresses();
        let refusal = |text: &str| {
            let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
            let text = match list[..] {
                [] => format!("{text}; use another address"),
                _ => format!("{text}; use one of: {}", list.join(", ")),
            };
            Refusal::not_run(RefusalCode::Leaving, text).with_retry_after(Duration::ZERO)
        };
        if *self.intake_closed.borrow() {
            return Err(refusal("this daemon is shutting down"));
        }
        if !self.is_config_fresh() {
            return Err(refusal("this daemon can't confirm its configuration")
                .with_retry_after(Duration::from_secs(1)));
        }
        // An operator's change waits for the daemons whose rows say that they accept
        // work. If a daemon served before its row says so, its callers could get old
        // declarations after the change was reported to the operator as in force.
        if *self.join_phase.borrow() != JoinPhase::Serving {
            return Err(refusal("this daemon is joining")
                .with_retry_after(self.settings.times.renewal_interval));
        }
        // Otherwise a daemon that joined just before an outage of the table would
        // refuse every model as not resident until the outage ends.
        if !self.has_read_residency() {
            return Err(refusal(
                "this daemon has not read yet which models are resident",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        Ok(())
    }

    /// Waits for up to `limit` until this daemon has joined; returns at once if it can't,
    /// or is shutting down.
    pub async fn wait_until_joined(&self, limit: Duration) {
        let mut phase = self.join_phase.subscribe();
        let mut intake_closed = self.intake_closed.subscribe();
        let joined = async {
            tokio::select! {
                _ = phase.wait_for(|phase| *phase != JoinPhase::Joining) => {}
                _ = intake_closed.wait_for(|is_closed| *is_closed) => {}
            }
        };
        // After the limit the request is refused.
        drop(tokio::time::timeout(limit, joined).await);
    }

    /// Whether residency was read at least once.
    pub fn has_read_residency(&self) -> bool {
        self.rows.borrow().table_time.is_some()
    }

    /// Whether the declarations were confirmed recently enough to serve requests.
    pub fn is_config_fresh(&self) -> bool {
        config_sync::is_fresh(self, self.clock.now())
    }

    /// The addresses that callers may use, those in this daemon's failure domain first.
    ///
    /// Daemons that are shutting down or were removed after their lease expired are left
    /// out.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let mut members: Vec<_> =
            view.members.iter().filter(|(_, member)| !member.leaving).collect();
        let domain = &self.settings.domain;
        members.sort_by_key(|(id, member)| (member.domain != *domain, id.0 ^ self.me.0));
        members.into_iter().map(|(_, member)| member.caller_addr).collect()
    }

    /// Records that a member announced its shutdown, before its row in the table says so.
    pub fn record_shutdown(&self, member: MemberId) {
        self.announced_shutdowns
            .lock()
            .expect("no holder of the list panics")
            .insert(member);
        self.view.send_if_modified(|view| {
            let changed = view.members.get(&member).is_some_and(|row| !row.leaving);
            if changed && let Some(row) = Arc::make_mut(view).members.get_mut(&member) {
                row.leaving = true;
            }
            changed
        });
        self.poll_now.notify_one();
    }

    /// An id for a new attempt, unique across daemons and incarnations.
    pub fn next_attempt_id(&self) -> AttemptId {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        AttemptId { member: self.me, number }
    }
}
