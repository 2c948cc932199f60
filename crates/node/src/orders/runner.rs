//! Reconciles one runner that this daemon leads with its plan.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnut_base::{OrderId, PoolName, ServerName};
use chestnut_member::{Claim, ClaimKey, Server, ServerRole};
use chestnut_place::{
    Asset, DesiredAsset, DropChecks, Ledger, Order, OrderKind, Report, TimeRange,
    reconcile, witnesses,
};
use chestnut_plat::{PlatformError, Txn, TxnResponse};

use crate::members::CLAIMS;
use crate::orders::counters::{CopyLabels, Counters};
use crate::orders::engine_client::{EngineClient, SendOutcome};
use crate::orders::rows::{self, LEDGER};
use crate::shared::Shared;

/// Delay before an order is resent for the first time.
const INITIAL_RESEND_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay before an order is resent.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(10);

/// Number of failed reports in a row after which the engine is marked as down.
const MAX_FAILED_REPORTS: u32 = 3;

/// How long streams that an earlier lead started may still run; until then an asset on a
/// busy engine is not unloaded.
const MAX_STREAM_TIME: Duration = Duration::from_secs(120);

/// Drives one runner towards its plan while this daemon leads it.
pub struct RunnerReconciler {
    shared: Arc<Shared>,
    engines: EngineClient,
    counters: Arc<Counters>,
    name: ServerName,
    claim: Claim,
    /// When this daemon became the runner's lead.
    lead_since: Instant,
    /// The committed row with its version, 0 if the table has none; absent while it
    /// has to be read again.
    row: Option<(Ledger, u64)>,
    /// Whether the runner had no lead before, so that all its streams are counted here.
    is_first_lead: bool,
    /// The number of the last order that earlier leads may have sent.
    last_earlier_order: u64,
    /// Number of failed reports in a row.
    failed_reports: u32,
    /// Copies sent of each order.
    copies: HashMap<OrderId, CopyCount>,
    /// The resend delay of the order for each asset.
    backoffs: HashMap<Asset, ResendBackoff>,
}

#[derive(Debug, Default, Clone, Copy)]
struct CopyCount {
    sent: u32,
    /// Copies that can't arrive any more: the engine responded or nothing was sent.
    resolved: u32,
}

#[derive(Debug, Clone, Copy)]
struct ResendBackoff {
    next_send_at: Instant,
    delay: Duration,
}

impl RunnerReconciler {
    /// Creates the reconciler of a runner that this daemon leads under `claim`.
    pub fn new(
        shared: Arc<Shared>,
        engines: EngineClient,
        counters: Arc<Counters>,
        name: ServerName,
        claim: Claim,
    ) -> Self {
        let lead_since = shared.clock.now();
        Self {
            shared,
            engines,
            counters,
            name,
            claim,
            lead_since,
            row: None,
            is_first_lead: false,
            last_earlier_order: 0,
            failed_reports: 0,
            copies: HashMap::new(),
            backoffs: HashMap::new(),
        }
    }

    /// Reconciles the runner until the claim is lost.
    pub async fn run(mut self) {
        while let Some(server) = self.server() {
            let busy = self.reconcile_once(&server).await;
            tokio::time::sleep(self.poll_interval(busy)).await;
        }
    }

    /// The runner, as long as the view shows that this daemon still holds its claim.
    fn server(&self) -> Option<Server> {
        let view = self.shared.view();
        let (claim, _) = view.holder(&ClaimKey::Server(self.name.clone()))?;
        (claim == self.claim).then(|| view.servers.get(&self.name).cloned())?
    }

    /// Time until the next report is read.
    ///
    /// Idle runners are polled less often the more runners this daemon leads, so
    /// that reports stay within the daemon's bandwidth.
    fn poll_interval(&self, busy: bool) -> Duration {
        let poll = self.shared.settings.times.poll_interval;
        if busy {
            return poll;
        }
        let view = self.shared.view();
        let led = view.claims.iter().filter(|(key, claim)| {
            matches!(key, ClaimKey::Server(_)) && claim.holder == self.shared.me
        });
        poll * (led.count().max(1) as u32)
    }

    /// Reads the report, updates and commits the ledger, and sends orders.
    ///
    /// Returns whether changes are pending.
    async fn reconcile_once(&mut self, server: &Server) -> bool {
        let ServerRole::Runner(pool) = &server.role else { return false };
        if self.row.is_none() && self.read_row().await.is_err() {
            return true;
        }
        let Some((current, version)) = self.row.clone() else { return true };
        // Without the table's time it is unknown which copies may still arrive.
        let Some((earliest, _)) = self.shared.rows.borrow().table_time else {
            return true;
        };
        let Ok(report) = self.engines.fetch_report(server.address).await else {
            self.record_failed_report(&current, version).await;
            return true;
        };
        self.failed_reports = 0;
        let mut next = current.clone();
        let witnesses = self.update_ledger(&mut next, &report, earliest, server, pool);
        if next != current {
            self.commit(&current, &next, version, witnesses).await;
        }
        self.send_orders(server, &next).await
    }

    /// Records a failed report; after [`MAX_FAILED_REPORTS`] the engine is marked as down.
    ///
    /// Otherwise entries would keep sending requests to it, and other leads would unload
    /// their replicas, since this runner would still count as holding another one.
    async fn record_failed_report(&mut self, current: &Ledger, version: u64) {
        self.failed_reports += 1;
        if self.failed_reports >= MAX_FAILED_REPORTS && !current.down {
            slog::warn!(self.shared.log, "an engine does not respond"; "runner" => %self.name);
            let next = Ledger { down: true, ..current.clone() };
            self.commit(current, &next, version, Vec::new()).await;
        }
    }

    /// Reads the runner's row, which lists all orders of earlier leads.
    async fn read_row(&mut self) -> Result<(), PlatformError> {
        let row = self.shared.table.get(LEDGER, self.name.as_str()).await?;
        let (ledger, version) = match row {
            None => {
                self.is_first_lead = true;
                (Ledger::default(), 0)
            }
            Some(row) => match serde_json::from_value::<Ledger>(row.value) {
                Ok(ledger) => (ledger, row.version),
                Err(error) => {
                    slog::error!(
                        self.shared.log, "a ledger row can't be decoded; no orders are sent";
                        "runner" => %self.name, "error" => %error
                    );
                    return Err(PlatformError::Protocol(error.to_string()));
                }
            },
        };
        if self.copies.is_empty() {
            self.last_earlier_order = ledger.last_order;
        }
        self.row = Some((ledger, version));
        Ok(())
    }

    /// Applies the report and the plan to the ledger.
    ///
    /// Returns the other runners' rows, with their versions, that must be unchanged when
    /// the ledger is committed.
    fn update_ledger(
        &self,
        ledger: &mut Ledger,
        report: &Report,
        earliest: u64,
        server: &Server,
        pool: &PoolName,
    ) -> Vec<(ServerName, u64)> {
        let catalog = self.shared.catalog();
        let rows = self.shared.rows.borrow().clone();
        let latest = rows.latest_time(self.shared.clock.now());
        ledger.apply_report(report, TimeRange { earliest, latest });
        for order in self.answered_loads(ledger) {
            ledger.mark_answered(order);
        }
        let Some(declared) = catalog.pools.get(pool) else { return Vec::new() };
        ledger.capacity = declared.memory_bytes.min(report.capacity);
        let wanted = if server.leaving { Some(Vec::new()) } else { self.wanted() };
        let Some(wanted) = wanted else { return Vec::new() };
        let view = self.shared.view();
        let can_witness = |name: &ServerName| {
            *name != self.name && view.servers.get(name).is_some_and(|s| !s.leaving)
        };
        let others = rows.ledgers.iter().filter(|(name, _)| can_witness(name));
        let others = others.map(|(name, (ledger, _))| (name, ledger));
        let find_witnesses = |ledger: &Ledger, asset: &Asset| {
            witnesses(&catalog, others.clone(), ledger, asset)
        };
        let is_idle = |asset: &Asset| self.is_idle(asset, report);
        let result = reconcile(
            ledger,
            &wanted,
            &DropChecks { witnesses: &find_witnesses, is_idle: &is_idle },
        );
        let version = |name: &ServerName| rows.ledgers.get(name).map(|(_, v)| *v);
        result
            .witnesses
            .into_iter()
            .filter_map(|name| version(&name).map(|version| (name, version)))
            .collect()
    }

    /// The assets planned for the runner; absent until a planner has written a plan,
    /// and until then nothing is changed.
    fn wanted(&self) -> Option<Vec<DesiredAsset>> {
        let rows = self.shared.rows.borrow();
        rows.plans.get(&self.name).map(|plan| plan.wanted.clone())
    }

    /// Whether no request uses an asset, including requests that an earlier lead sent.
    fn is_idle(&self, asset: &Asset, report: &Report) -> bool {
        let lead_time =
            self.shared.clock.now().saturating_duration_since(self.lead_since);
        let no_earlier_streams =
            self.is_first_lead || (report.running == 0 && report.waiting == 0);
        self.shared.usage.is_idle(&self.name, asset)
            && (no_earlier_streams || lead_time >= MAX_STREAM_TIME)
    }

    /// Load orders sent by this lead whose copies can no longer arrive.
    fn answered_loads(&self, ledger: &Ledger) -> Vec<OrderId> {
        let loads = ledger.reservations.iter().flat_map(|reservation| &reservation.loads);
        loads
            .filter(|load| {
                load.listed && !load.answered && load.order.0 > self.last_earlier_order
            })
            .filter(|load| {
                let count = self.copies.get(&load.order).copied().unwrap_or_default();
                count.sent == count.resolved
            })
            .map(|load| load.order)
            .collect()
    }

    /// Commits the ledger under the claim; new orders are sent only after that.
    async fn commit(
        &mut self,
        current: &Ledger,
        next: &Ledger,
        version: u64,
        witnesses: Vec<(ServerName, u64)>,
    ) {
        let Ok(value) = serde_json::to_value(next) else { return };
        let key = self.name.as_str();
        let claim = ClaimKey::Server(self.name.clone()).to_string();
        let mut txn = Txn::new().require_version(CLAIMS, claim, self.claim.version);
        txn = match version {
            0 => txn.require_absent(LEDGER, key),
            version => txn.require_version(LEDGER, key, version),
        };
        for (name, version) in witnesses {
            txn = txn.require_version(LEDGER, name.as_str(), version);
        }
        let txn = txn.put(LEDGER, key, value);
        match self.shared.table.commit(&txn).await {
            Ok(TxnResponse::Committed { version, .. }) => {
                self.count_new_orders(current, next);
                self.row = Some((next.clone(), version));
                rows::record_committed(&self.shared, &self.name, next, version);
            }
            Ok(TxnResponse::Conflict { .. }) => {
                self.counters.conflicts.inc();
                self.row = None;
            }
            // Nothing was written, so the row is unchanged.
            Err(PlatformError::Unavailable(_)) => {}
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
                self.row = None
            }
        }
    }

    fn count_new_orders(&self, current: &Ledger, next: &Ledger) {
        for reservation in &next.reservations {
            let new_loads = reservation
                .loads
                .iter()
                .filter(|load| load.order.0 > current.last_order)
                .count();
            self.counters.loads.inc_by(new_loads as u64);
            if reservation.unload.is_some_and(|order| order.0 > current.last_order) {
                self.counters.unloads.inc();
            }
        }
    }

    /// Sends the orders that are due and that the committed row contains.
    ///
    /// Returns whether the ledger has changes pending.
    async fn send_orders(&mut self, server: &Server, next: &Ledger) -> bool {
        let orders = next.pending_orders();
        self.backoffs.retain(|asset, _| orders.iter().any(|order| order.asset == *asset));
        for order in &orders {
            let committed =
                self.row.as_ref().is_some_and(|(row, _)| row.contains_order(order));
            if committed && self.may_send(order) && self.is_due(order) {
                self.send(server, order).await;
            }
        }
        next.is_changing()
    }

    /// Whether an order may be sent under the claim and lease as they are now.
    ///
    /// After the lease has expired only loads may be sent: a successor finds their
    /// numbers in the row and accounts for copies that arrive late. Without them an
    /// engine that restarts while the table is down would stay empty until the end of
    /// the outage.
    fn may_send(&self, order: &Order) -> bool {
        let lease_valid = self.shared.is_lease_valid(self.shared.clock.now());
        self.server().is_some() && (lease_valid || order.kind == OrderKind::Load)
    }

    /// Whether an order is due; if so, doubles the delay until it is due again.
    fn is_due(&mut self, order: &Order) -> bool {
        let now = self.shared.clock.now();
        let backoff = self.backoffs.get(&order.asset).copied();
        let delay = match backoff {
            Some(backoff) if now < backoff.next_send_at => return false,
            Some(backoff) => (backoff.delay * 2).min(MAX_RESEND_DELAY),
            None => INITIAL_RESEND_DELAY,
        };
        self.backoffs.insert(
            order.asset.clone(),
            ResendBackoff { next_send_at: now + delay, delay },
        );
        true
    }

    async fn send(&mut self, server: &Server, order: &Order) {
        // Counted before it is sent: if this task is aborted meanwhile, the copy must
        // not count as resolved.
        self.copies.entry(order.id).or_default().sent += 1;
        let outcome =
            self.engines.send_order(server.address, order, self.claim.fence).await;
        if outcome != SendOutcome::Unknown {
            self.copies.entry(order.id).or_default().resolved += 1;
        }
        let answer = match outcome {
            SendOutcome::Responded(status) if status.is_success() => "taken",
            SendOutcome::Responded(_) => "refused",
            SendOutcome::NotSent => "unsent",
            SendOutcome::Unknown => "unknown",
        };
        self.counters.copies_sent.get_or_create(&CopyLabels { answer }).inc();
        slog::info!(
            self.shared.log, "order sent";
            "runner" => %self.name,
            "order" => order.id.0,
            "op" => match order.kind {
                OrderKind::Load => "load",
                OrderKind::Unload => "unload",
            },
            "asset" => %order.asset,
            "answer" => answer,
        );
    }
}
