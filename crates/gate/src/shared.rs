//! What the parts of the daemon share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use chestnut_base::{Clock, ServiceName};
use chestnut_edge::{Declared, Dialect};
use chestnut_pool::budget::RetryBound;
use chestnut_pool::{Fleet, RetryBudget};
use indexmap::IndexMap;
use slog::Logger;
use tokio::sync::watch;

use crate::client::Client;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What the parts of the daemon share.
///
/// Locks are held for a few steps only, and never while anything is waited for.
pub struct Shared {
    /// The daemon's settings.
    pub settings: Settings,
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
    /// The declarations in force; nothing until they are first known.
    pub declared: watch::Sender<Option<Arc<Declared>>>,
    /// Grows with each change of what backend servers say of themselves.
    pub listed: watch::Sender<u64>,
    /// Whether the daemon was told to stop.
    pub leaving: watch::Sender<bool>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl Shared {
    /// Creates the state of a daemon that knows nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            dialect,
            clock,
            log,
            metrics: Metrics::new(),
            client: Client::new(),
            declared: watch::Sender::new(None),
            listed: watch::Sender::new(0),
            leaving: watch::Sender::new(false),
            fleet: Mutex::default(),
            budgets: Mutex::default(),
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

    /// The declarations in force.
    pub fn declared(&self) -> Option<Arc<Declared>> {
        self.declared.borrow().clone()
    }

    /// Whether the daemon can serve: declarations and servers are known, and it
    /// was not told to stop.
    pub fn is_ready(&self) -> bool {
        let known = self.declared.borrow().is_some() && *self.listed.borrow() > 0;
        known && !*self.leaving.borrow()
    }

    /// Takes note of a request for a service.
    pub fn note_request(&self, service: &ServiceName) {
        let now = self.now();
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().request(now);
    }

    /// Takes a repeat out of the service's budget, if there is one.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let bounds = &self.settings.bounds;
        let bound = RetryBound {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let daemons = 6;
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().take(bound, daemons, now)
    }
}
