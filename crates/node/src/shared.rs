//! What the parts of a daemon share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

use crate::confsync::{self, Conf};
use crate::demand::Asked;
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::orders::rows::Rows;
use crate::orders::usage::Usage;
use crate::{members, orders, poison};

/// The tables that every daemon follows.
const FOLLOWED: [&str; 8] = [
    members::MEMBERS,
    members::CLAIMS,
    members::SERVERS,
    members::DRAINS,
    chestnut_config::rows::CONFIG_TABLE,
    orders::rows::LEDGER,
    orders::rows::PLAN,
    poison::POISON,
];

/// What the parts of a daemon share.
///
/// Each of the watched values has one writer, which the field names; everyone
/// else reads snapshots.
pub struct Shared {
    /// The checked settings.
    pub settings: Settings,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// This start of the daemon.
    pub me: MemberId,
    /// Where changes of state are logged.
    pub log: Logger,
    /// The counters.
    pub metrics: Metrics,
    /// The table service.
    pub table: TableClient,
    /// The changes of the tables that every daemon follows, read by
    /// [`crate::members`].
    pub feed: Feed,
    /// The object store.
    pub objects: ObjectStore,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// The declarations in force, written by [`crate::confsync`].
    pub catalog: watch::Sender<Arc<Catalog>>,
    /// What is kept of the configuration's rows, and how fresh it is.
    pub conf: Conf,
    /// Members, servers and claims, written by [`crate::members`].
    pub view: watch::Sender<Arc<View>>,
    /// What is resident where, written by [`crate::orders`].
    pub residence: watch::Sender<Arc<Residency>>,
    /// The ledger's and the plan's rows, written by [`crate::orders`].
    pub rows: watch::Sender<Arc<Rows>>,
    /// What callers ask of each model, read by [`crate::demand`].
    pub demand: Asked,
    /// Which requests use which asset of the runners that this daemon leads.
    pub usage: Usage,
    /// Whether this daemon is leaving, written by [`crate::run`].
    pub leaving: watch::Sender<bool>,
    /// Whether this daemon takes no new requests any more, written by [`crate::run`].
    pub closed: watch::Sender<bool>,
    /// The own lease, written by [`crate::members`].
    pub lease: Mutex<Lease>,
    /// Members that said that they are leaving, ahead of the table's rows.
    pub left: Mutex<IndexSet<MemberId>>,
    /// Wakes [`crate::members`] before its next poll is due.
    pub wake: Notify,
    /// Whether the own row has said once that this daemon takes work, written by
    /// [`crate::members`]; never unset.
    pub listed: AtomicBool,
    attempts: AtomicU64,
}

impl Shared {
    /// Creates the shared state of a daemon that knows nothing yet.
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
        let metrics = Metrics::new();
        let conf = Conf::new(&metrics);
        Self {
            settings,
            clock,
            me,
            log,
            metrics,
            table,
            feed: Feed::new(&FOLLOWED),
            objects,
            vms,
            catalog: watch::Sender::new(Arc::default()),
            conf,
            view: watch::Sender::new(Arc::default()),
            residence: watch::Sender::new(Arc::default()),
            rows: watch::Sender::new(Arc::default()),
            demand: Asked::default(),
            usage: Usage::default(),
            leaving: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            lease: Mutex::new(Lease::new(term)),
            left: Mutex::default(),
            wake: Notify::new(),
            listed: AtomicBool::new(false),
            attempts: AtomicU64::new(0),
        }
    }

    /// The changes of a followed table after a version, and when they were read.
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

    /// What is known of members, servers and claims.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// What is known to be resident.
    pub fn residence(&self) -> Arc<Residency> {
        self.residence.borrow().clone()
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Whether the own lease holds, so that orders may rest on the own claims.
    pub fn lease_holds(&self, now: Instant) -> bool {
        self.lease.lock().expect("no holder of the lease panics").is_valid(now)
    }

    /// Refuses requests while this daemon must not take any.
    pub fn check_open(&self) -> Result<(), Refusal> {
        let elsewhere = self.entries();
        let others = |text: &str| {
            let list: Vec<String> = elsewhere.iter().map(SocketAddr::to_string).collect();
            let text = match list[..] {
                [] => format!("{text}; use another address"),
                _ => format!("{text}; use one of: {}", list.join(", ")),
            };
            Refusal::not_run(RefusalCode::Leaving, text).with_retry_after(Duration::ZERO)
        };
        if *self.closed.borrow() {
            return Err(others("this daemon is leaving"));
        }
        if !self.is_fresh() {
            return Err(others("this daemon can't confirm its configuration")
                .with_retry_after(Duration::from_secs(1)));
        }
        // Operators wait for the daemons whose rows say that they take work. One that
        // served before would be left out: its callers could meet the old declarations
        // after an operator read that the new ones are in force everywhere.
        if !self.listed.load(Ordering::Acquire) {
            return Err(others("this daemon is joining")
                .with_retry_after(self.settings.times.renewal_interval));
        }
        // Otherwise a daemon that joined just before an outage of the table would
        // refuse every model as not resident for as long as the outage lasts.
        if !self.knows_residence() {
            return Err(others("this daemon does not know yet what is resident where")
                .with_retry_after(Duration::from_secs(1)));
        }
        Ok(())
    }

    /// Whether it was read at least once what is resident where.
    pub fn knows_residence(&self) -> bool {
        self.rows.borrow().now.is_some()
    }

    /// Whether the declarations in force are recent enough to serve by.
    pub fn is_fresh(&self) -> bool {
        confsync::is_fresh(self, self.clock.now())
    }

    /// The addresses that callers may use, this daemon's domain first.
    ///
    /// None of them belongs to a daemon that is leaving or whose lease lapsed.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let mut members: Vec<_> =
            view.members.iter().filter(|(_, member)| !member.leaving).collect();
        let domain = &self.settings.domain;
        members.sort_by_key(|(id, member)| (member.domain != *domain, id.0 ^ self.me.0));
        members.into_iter().map(|(_, member)| member.caller_addr).collect()
    }

    /// Takes note that a member is leaving, before its row in the table says so.
    pub fn note_leaving(&self, member: MemberId) {
        self.left.lock().expect("no holder of the list panics").insert(member);
        self.view.send_if_modified(|view| {
            let known = view.members.get(&member).is_some_and(|row| !row.leaving);
            if known && let Some(row) = Arc::make_mut(view).members.get_mut(&member) {
                row.leaving = true;
            }
            known
        });
        self.wake.notify_one();
    }

    /// A number for a new attempt.
    pub fn attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId { member: self.me, number }
    }
}
