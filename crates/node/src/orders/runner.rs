//! One runner that this daemon leads: its report, its ledger, its orders.

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
use crate::orders::command::{Engines, Sent};
use crate::orders::counters::{Copies, Counters};
use crate::orders::rows::{self, LEDGER};
use crate::shared::Shared;

/// How long to wait before an order is sent again, at first.
const RESEND: Duration = Duration::from_secs(1);

/// How long to wait before an order is sent again, at most.
const RESEND_LIMIT: Duration = Duration::from_secs(10);

/// How many reports in a row must fail until the engine counts as down.
const MISSED_REPORTS: u32 = 3;

/// The longest time for which a stream that another lead started is waited for.
const STREAM_LIMIT: Duration = Duration::from_secs(120);

/// One runner that this daemon leads.
pub struct Runner {
    shared: Arc<Shared>,
    engines: Engines,
    counters: Arc<Counters>,
    name: ServerName,
    claim: Claim,
    /// When this daemon started to lead the runner.
    since: Instant,
    /// The row as committed, with its version; 0 if there is none yet.
    row: Option<(Ledger, u64)>,
    /// Whether nobody led the runner before, so that all streams are known here.
    first: bool,
    /// The number of the last order that earlier leads may have sent.
    earlier: u64,
    /// How many reports have failed in a row.
    missed: u32,
    /// The copies that were sent of each order.
    copies: HashMap<OrderId, Count>,
    /// When to send an order about an asset again.
    waits: HashMap<Asset, Wait>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    sent: u32,
    answered: u32,
}

#[derive(Debug, Clone, Copy)]
struct Wait {
    next: Instant,
    delay: Duration,
}

impl Runner {
    /// Prepares to lead a runner under a claim.
    pub fn new(
        shared: Arc<Shared>,
        engines: Engines,
        counters: Arc<Counters>,
        name: ServerName,
        claim: Claim,
    ) -> Self {
        let since = shared.clock.now();
        Self {
            shared,
            engines,
            counters,
            name,
            claim,
            since,
            row: None,
            first: false,
            earlier: 0,
            missed: 0,
            copies: HashMap::new(),
            waits: HashMap::new(),
        }
    }

    /// Leads the runner until the claim is lost.
    pub async fn run(mut self) {
        while let Some(server) = self.server() {
            let busy = self.step(&server).await;
            tokio::time::sleep(self.period(busy)).await;
        }
    }

    /// The runner, as long as this daemon is known to hold the claim under which
    /// it began.
    fn server(&self) -> Option<Server> {
        let view = self.shared.view();
        let (claim, _) = view.holder(&ClaimKey::Server(self.name.clone()))?;
        (claim == self.claim).then(|| view.servers.get(&self.name).cloned())?
    }

    /// How long to wait until the next report is read.
    ///
    /// A runner at which nothing happens is asked less often the more runners
    /// the daemon leads, so that reports stay within the daemon's bandwidth.
    fn period(&self, busy: bool) -> Duration {
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

    /// Reads the report, takes the steps that can be taken, sends orders.
    ///
    /// Returns whether something is under way.
    async fn step(&mut self, server: &Server) -> bool {
        let ServerRole::Runner(pool) = &server.role else { return false };
        if self.row.is_none() && self.read_row().await.is_err() {
            return true;
        }
        let Some((held, version)) = self.row.clone() else { return true };
        // Without the table's time no late copy can be told from a dead one.
        let Some((from, _)) = self.shared.rows.borrow().now else { return true };
        let Ok(report) = self.engines.report(server.address).await else {
            self.miss(&held, version).await;
            return true;
        };
        self.missed = 0;
        let mut next = held.clone();
        let witnesses = self.decide(&mut next, &report, from, server, pool);
        if next != held {
            self.commit(&held, &next, version, witnesses).await;
        }
        self.send_orders(server, &next).await
    }

    /// Notes that the engine did not answer; after some times it counts as down.
    ///
    /// Else entries would go on sending requests there, and other leads would
    /// drop their replicas because of what this runner once held.
    async fn miss(&mut self, held: &Ledger, version: u64) {
        self.missed += 1;
        if self.missed >= MISSED_REPORTS && !held.down {
            slog::warn!(self.shared.log, "an engine does not answer"; "runner" => %self.name);
            let next = Ledger { down: true, ..held.clone() };
            self.commit(held, &next, version, Vec::new()).await;
        }
    }

    /// Reads the runner's row, so that all orders of earlier leads are known.
    async fn read_row(&mut self) -> Result<(), PlatformError> {
        let row = self.shared.table.get(LEDGER, self.name.as_str()).await?;
        let (ledger, version) = match row {
            None => {
                self.first = true;
                (Ledger::default(), 0)
            }
            Some(row) => match serde_json::from_value::<Ledger>(row.value) {
                Ok(ledger) => (ledger, row.version),
                Err(error) => {
                    slog::error!(
                        self.shared.log, "a ledger row can't be read; no orders are sent";
                        "runner" => %self.name, "error" => %error
                    );
                    return Err(PlatformError::Protocol(error.to_string()));
                }
            },
        };
        if self.copies.is_empty() {
            self.earlier = ledger.last_order;
        }
        self.row = Some((ledger, version));
        Ok(())
    }

    /// Takes the report and the wanted placement into the ledger.
    ///
    /// Returns the rows that the transaction must check.
    fn decide(
        &self,
        ledger: &mut Ledger,
        report: &Report,
        from: u64,
        server: &Server,
        pool: &PoolName,
    ) -> Vec<(ServerName, u64)> {
        let catalog = self.shared.catalog();
        let rows = self.shared.rows.borrow().clone();
        let to = rows.time_to(self.shared.clock.now());
        ledger.apply_report(report, TimeRange { earliest: from, latest: to });
        for order in self.cleared(ledger) {
            ledger.mark_answered(order);
        }
        let Some(declared) = catalog.pools.get(pool) else { return Vec::new() };
        ledger.capacity = declared.memory_bytes.min(report.capacity);
        let wanted = if server.leaving { Some(Vec::new()) } else { self.wanted() };
        let Some(wanted) = wanted else { return Vec::new() };
        let view = self.shared.view();
        let stays = |name: &ServerName| {
            *name != self.name && view.servers.get(name).is_some_and(|s| !s.leaving)
        };
        let others = rows.ledgers.iter().filter(|(name, _)| stays(name));
        let others = others.map(|(name, (ledger, _))| (name, ledger));
        let spare = |ledger: &Ledger, asset: &Asset| {
            witnesses(&catalog, others.clone(), ledger, asset)
        };
        let idle = |asset: &Asset| self.is_idle(asset, report);
        let found =
            reconcile(ledger, &wanted, &DropChecks { witnesses: &spare, is_idle: &idle });
        let version = |name: &ServerName| rows.ledgers.get(name).map(|(_, v)| *v);
        found
            .witnesses
            .into_iter()
            .filter_map(|name| version(&name).map(|version| (name, version)))
            .collect()
    }

    /// What the runner is to hold; nothing is changed until a planner has said it.
    fn wanted(&self) -> Option<Vec<DesiredAsset>> {
        let rows = self.shared.rows.borrow();
        rows.plans.get(&self.name).map(|plan| plan.wanted.clone())
    }

    /// Whether no request uses an asset, also none that an earlier lead started.
    fn is_idle(&self, asset: &Asset, report: &Report) -> bool {
        let held = self.shared.clock.now().saturating_duration_since(self.since);
        let alone = self.first || (report.running == 0 && report.waiting == 0);
        self.shared.usage.is_idle(&self.name, asset) && (alone || held >= STREAM_LIMIT)
    }

    /// Load orders of which every copy that any lead sent was answered.
    fn cleared(&self, ledger: &Ledger) -> Vec<OrderId> {
        let loads = ledger.reservations.iter().flat_map(|item| &item.loads);
        loads
            .filter(|load| load.listed && !load.answered && load.order.0 > self.earlier)
            .filter(|load| {
                let count = self.copies.get(&load.order).copied().unwrap_or_default();
                count.sent == count.answered
            })
            .map(|load| load.order)
            .collect()
    }

    /// Commits the ledger; without it nothing new is sent.
    async fn commit(
        &mut self,
        held: &Ledger,
        next: &Ledger,
        version: u64,
        witnesses: Vec<(ServerName, u64)>,
    ) {
        let Ok(value) = serde_json::to_value(next) else { return };
        let key = self.name.as_str();
        let claim = ClaimKey::Server(self.name.clone()).to_string();
        let mut txn = Txn::new().version(CLAIMS, claim, self.claim.version);
        txn = match version {
            0 => txn.absent(LEDGER, key),
            version => txn.version(LEDGER, key, version),
        };
        for (name, version) in witnesses {
            txn = txn.version(LEDGER, name.as_str(), version);
        }
        let txn = txn.put(LEDGER, key, value);
        match self.shared.table.commit(&txn).await {
            Ok(TxnResponse::Committed { version, .. }) => {
                self.count_new(held, next);
                self.row = Some((next.clone(), version));
                rows::note(&self.shared, &self.name, next, version);
            }
            Ok(TxnResponse::Conflict { .. }) => {
                self.counters.conflicts.inc();
                self.row = None;
            }
            // Nothing was written, so that the row is as it was read.
            Err(PlatformError::Unavailable(_)) => {}
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
                self.row = None
            }
        }
    }

    fn count_new(&self, held: &Ledger, next: &Ledger) {
        for item in &next.reservations {
            let fresh =
                item.loads.iter().filter(|load| load.order.0 > held.last_order).count();
            self.counters.loads.inc_by(fresh as u64);
            if item.unload.is_some_and(|order| order.0 > held.last_order) {
                self.counters.unloads.inc();
            }
        }
    }

    /// Sends the orders that are due and that the committed row knows.
    ///
    /// Returns whether orders are outstanding.
    async fn send_orders(&mut self, server: &Server, next: &Ledger) -> bool {
        let orders = next.pending_orders();
        self.waits.retain(|asset, _| orders.iter().any(|order| order.asset == *asset));
        for order in &orders {
            let known =
                self.row.as_ref().is_some_and(|(row, _)| row.contains_order(order));
            if known && self.may_send(order) && self.is_due(order) {
                self.send(server, order).await;
            }
        }
        next.is_changing()
    }

    /// Whether an order may be sent under the claim as it is.
    ///
    /// With a lapsed lease only loads: a successor reads their numbers in the row
    /// and counts with their copies. Without them an engine that restarts while
    /// the table is down would stay empty until the end of the outage.
    fn may_send(&self, order: &Order) -> bool {
        let holds = self.shared.lease_holds(self.shared.clock.now());
        self.server().is_some() && (holds || order.kind == OrderKind::Load)
    }

    fn is_due(&mut self, order: &Order) -> bool {
        let now = self.shared.clock.now();
        let wait = self.waits.get(&order.asset).copied();
        let delay = match wait {
            Some(wait) if now < wait.next => return false,
            Some(wait) => (wait.delay * 2).min(RESEND_LIMIT),
            None => RESEND,
        };
        self.waits.insert(order.asset.clone(), Wait { next: now + delay, delay });
        true
    }

    async fn send(&mut self, server: &Server, order: &Order) {
        // Counted before it is sent: if this task is stopped meanwhile, the
        // copy counts as unanswered.
        self.copies.entry(order.id).or_default().sent += 1;
        let sent = self.engines.send(server.address, order, self.claim.fence).await;
        if sent != Sent::Unknown {
            self.copies.entry(order.id).or_default().answered += 1;
        }
        let answer = match sent {
            Sent::Answered(status) if status.is_success() => "taken",
            Sent::Answered(_) => "refused",
            Sent::Unsent => "unsent",
            Sent::Unknown => "unknown",
        };
        self.counters.copies.get_or_create(&Copies { answer }).inc();
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
