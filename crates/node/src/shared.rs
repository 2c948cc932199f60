//! What the parts of a daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chestnut_base::{AttemptId, Clock, MemberId};
use chestnut_config::{Catalog, Settings};
use chestnut_member::View;
use chestnut_place::Residence;
use chestnut_plat::{Objects, Table, VmList};
use slog::Logger;
use tokio::sync::watch;

use crate::confsync::Conf;
use crate::metrics::Metrics;

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
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The platform's list of VMs.
    pub vms: VmList,
    /// The declarations in force, written by [`crate::confsync`].
    pub catalog: watch::Sender<Arc<Catalog>>,
    /// What is kept of the configuration's rows, and how fresh it is.
    pub conf: Conf,
    /// Members, servers and claims, written by [`crate::members`].
    pub view: watch::Sender<Arc<View>>,
    /// What is resident where, written by [`crate::orders`].
    pub residence: watch::Sender<Arc<Residence>>,
    /// Whether this daemon is leaving, written by [`crate::run`].
    pub leaving: watch::Sender<bool>,
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
        table: Table,
        objects: Objects,
        vms: VmList,
    ) -> Self {
        let metrics = Metrics::new();
        let conf = Conf::new(&metrics);
        Self {
            settings,
            clock,
            me,
            log,
            metrics,
            table,
            objects,
            vms,
            catalog: watch::Sender::new(Arc::default()),
            conf,
            view: watch::Sender::new(Arc::default()),
            residence: watch::Sender::new(Arc::default()),
            leaving: watch::Sender::new(false),
            attempts: AtomicU64::new(0),
        }
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
    pub fn residence(&self) -> Arc<Residence> {
        self.residence.borrow().clone()
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// A number for a new attempt.
    pub fn attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId { member: self.me, number }
    }
}
