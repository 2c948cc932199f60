//! Isolates and blocks requests that crash backend servers.
//!
//! The lead of a backend server registers the requests that it dispatches and
//! attributes crashes to them. It notifies the other daemons before it reports the
//! crash to the callers, so that a caller that retries reaches a daemon that knows the
//! suspects. The platform's table stores the suspects for daemons that were not reached
//! or start later.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{Digest, Incarnation, Refusal, RefusalCode};
use chestnut_crash::tracker::{BLOCK_DURATION, SUSPECT_DURATION};
use chestnut_crash::{
    CrashTracker, DigestStatus, DispatchDecision, DispatchId, StatusChange,
};
use chestnut_plat::{PlatformError, Row, Txn};
use chestnut_wire::{AttemptRequest, CrashSuspect, PeerRequest, PeerResponse};
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;
use serde_json::json;
use slog::warn;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

use crate::engine::CallOutcome;
use crate::feed::ChangeFeed;
use crate::members;
use crate::node::Node;
use crate::shared::Shared;

/// The table of suspect and blocked digests.
pub const POISON: &str = "poison";

/// The key prefix of suspects; keys without it are of blocked digests.
///
/// A digest has a row for each status, so that a late write of a suspect does not
/// overwrite that it is blocked.
const SUSPECT_PREFIX: &str = "suspect/";

/// The timeout for connecting to a backend server before it counts as crashed.
///
/// A VM that is alive accepts within a millisecond or two, also when busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a new connection must stay open to show that the server is alive.
///
/// Some hundred times as long as a dying process takes to close its port, and short
/// compared to the retry that it delays. No server closes an idle connection so soon.
const LIVENESS_WINDOW: Duration = Duration::from_millis(200);

/// The timeout for notifying the other daemons of a crash.
///
/// Daemons are a few milliseconds apart; a frozen one must not delay the retries of
/// requests that were in flight at the crash.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(250);

/// The largest number of other daemons that are notified of a crash directly.
///
/// With more, a crash would cost thousands of messages, and they read the table instead.
const MAX_NOTIFIED_DAEMONS: usize = 64;

/// The suspect and blocked requests known to this daemon.
pub struct PoisonGuard {
    tracker: Mutex<CrashTracker>,
    /// Notified when a dispatch finishes, so that the next suspect may run.
    finished: Notify,
    /// Held while a crash is attributed and the other daemons are notified.
    ///
    /// Each dispatch that a crash interrupted reports the crash. If the second report
    /// did not wait, its request would be retried at a daemon that does not know it as a
    /// suspect yet, together with others, and the next crash could not be attributed.
    attribution: tokio::sync::Mutex<()>,
    /// Changes to write to the table; `None` deletes the suspect's row.
    unsaved: Mutex<IndexMap<Digest, Option<DigestStatus>>>,
    /// Notified when there are changes to write.
    changed: Notify,
    counters: Counters,
}

struct Counters {
    crashes: Counter,
    suspects: Counter,
    blocked: Counter,
    refused: Counter,
}

/// A request in flight at a backend server, registered until it is dropped.
pub struct DispatchGuard {
    poison: Arc<PoisonGuard>,
    /// The server; its lead doesn't know when it started.
    server: Incarnation,
    id: DispatchId,
}

impl PoisonGuard {
    /// Creates the state of a daemon that has recorded no crash yet.
    pub fn new(shared: &Shared) -> Self {
        Self {
            tracker: Mutex::default(),
            finished: Notify::new(),
            attribution: tokio::sync::Mutex::default(),
            unsaved: Mutex::default(),
            changed: Notify::new(),
            counters: Counters::register(shared),
        }
    }

    /// Refuses a request that is blocked because it crashed backend servers.
    ///
    /// Entries check idempotent requests only: for the others the journal records whether
    /// they ran, and [`Self::begin_dispatch`] refuses those that did not.
    pub fn check(&self, digest: Digest, now: Instant) -> Result<(), Refusal> {
        if self.lock().status(digest, now) != Some(DigestStatus::Blocked) {
            return Ok(());
        }
        self.counters.refused.inc();
        Err(blocked())
    }

    /// Registers a request that is about to be dispatched.
    ///
    /// A suspect waits until some time has passed since the crash and no other suspect
    /// runs on the backend server. It is refused when its time budget ends or its caller
    /// disconnects first.
    pub async fn begin_dispatch(
        self: &Arc<Self>,
        shared: &Shared,
        run: &AttemptRequest,
        out: &mpsc::Sender<PeerResponse>,
    ) -> Result<DispatchGuard, Refusal> {
        let deadline = shared.clock.now() + run.request.budget;
        let server = Incarnation { server: run.server.clone(), started_at: None };
        if run.suspect {
            // The notification of the crash may not have arrived yet.
            let suspect = CrashSuspect { digest: run.request.digest, confirmed: false };
            self.apply_reports(&[suspect], shared.clock.now());
        }
        loop {
            let finished = self.finished.notified();
            let now = shared.clock.now();
            let mut wake_at = deadline;
            match self.lock().try_dispatch(&server, run.request.digest, now) {
                DispatchDecision::Dispatch(id) => {
                    return Ok(DispatchGuard { poison: self.clone(), server, id });
                }
                DispatchDecision::Refuse => {
                    self.counters.refused.inc();
                    return Err(blocked());
                }
                DispatchDecision::WaitUntil(ready_at) if ready_at >= deadline => {
                    return Err(isolated());
                }
                DispatchDecision::Wait if now >= deadline => return Err(isolated()),
                DispatchDecision::WaitUntil(ready_at) => wake_at = ready_at,
                DispatchDecision::Wait => {}
            }
            tokio::select! {
                () = finished => {}
                () = tokio::time::sleep_until(wake_at.into()) => {}
                () = out.closed() => return Err(isolated()),
            }
        }
    }

    /// Applies the suspects that another daemon reported.
    pub fn apply_reports(&self, suspects: &[CrashSuspect], now: Instant) {
        let mut tracker = self.lock();
        for suspect in suspects {
            let status = match suspect.confirmed {
                true => DigestStatus::Blocked,
                false => DigestStatus::Suspect,
            };
            tracker.apply(
                StatusChange { digest: suspect.digest, status: Some(status) },
                now,
            );
        }
    }

    /// The number of suspect and of blocked digests.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().counts()
    }

    fn save(&self, changes: &[StatusChange]) {
        let mut unsaved = self.unsaved.lock().expect("no holder of the list panics");
        for change in changes {
            unsaved.insert(change.digest, change.status);
        }
        drop(unsaved);
        self.changed.notify_one();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CrashTracker> {
        self.tracker.lock().expect("no holder of the tracker panics")
    }
}

impl DispatchGuard {
    /// Finishes the dispatch; returns whether the backend server crashed.
    pub async fn finish(
        self,
        node: &Node,
        address: SocketAddr,
        end: &CallOutcome,
    ) -> bool {
        match end {
            CallOutcome::Completed(_) => {
                let change = self.unregister(true);
                self.poison.save(change.as_slice());
                false
            }
            CallOutcome::Interrupted { connection_lost: true, .. }
                if has_crashed(address).await =>
            {
                self.attribute_crash(node).await;
                true
            }
            _ => false,
        }
    }

    /// Attributes a crash, unless another dispatch has reported it already.
    async fn attribute_crash(&self, node: &Node) {
        let _guard = self.poison.attribution.lock().await;
        let now = node.shared.clock.now();
        let changes = {
            let mut tracker = self.poison.lock();
            if !tracker.is_in_flight(&self.server, self.id) {
                return;
            }
            tracker.record_crash(&self.server, now)
        };
        self.poison.finished.notify_waiters();
        let counters = &self.poison.counters;
        counters.crashes.inc();
        let in_flight = changes.iter().filter(|change| change.status.is_some()).count();
        counters.suspects.inc_by(in_flight as u64);
        let server = self.server.server.as_str();
        warn!(node.shared.log, "a backend server crashed"; "server" => server,
            "in_flight" => in_flight);
        for change in &changes {
            if change.status == Some(DigestStatus::Blocked) {
                counters.blocked.inc();
                let digest = change.digest.to_string();
                warn!(node.shared.log, "a request crashed a second backend server \
                    and is blocked"; "digest" => digest, "server" => server);
            }
        }
        self.poison.save(&changes);
        notify_daemons(node, &changes).await;
    }

    fn unregister(&self, completed: bool) -> Option<StatusChange> {
        let change = self.poison.lock().finish(&self.server, self.id, completed);
        self.poison.finished.notify_waiters();
        change
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.unregister(false);
    }
}

impl Counters {
    fn register(shared: &Shared) -> Self {
        let counters = Self {
            crashes: Counter::default(),
            suspects: Counter::default(),
            blocked: Counter::default(),
            refused: Counter::default(),
        };
        shared.metrics.register(|registry| {
            let mut add = |name, help, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            add(
                "server_crashes",
                "Crashes of backend servers that this daemon leads",
                &counters.crashes,
            );
            add("suspect_requests", "Requests in flight at crashes", &counters.suspects);
            add(
                "poison_convicted",
                "Requests blocked after a second crash",
                &counters.blocked,
            );
            add(
                "poison_refused",
                "Requests refused because they are blocked",
                &counters.refused,
            );
        });
        counters
    }
}

/// Whether a backend server that cut a stream has crashed.
///
/// A cut stream is no proof: the network may have lost the connection. A dying server
/// may cut its streams a moment before it closes its port, so a connection that it still
/// accepts has to stay open for [`LIVENESS_WINDOW`].
async fn has_crashed(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else { return true };
    let mut byte = [0];
    timeout(LIVENESS_WINDOW, stream.read(&mut byte)).await.is_ok()
}

/// Notifies the other daemons of suspects, before the crash is reported to callers.
async fn notify_daemons(node: &Node, changes: &[StatusChange]) {
    let others = members::other_members(&node.shared);
    if others.len() > MAX_NOTIFIED_DAEMONS {
        return;
    }
    let suspect = |change: &StatusChange| {
        let confirmed = change.status? == DigestStatus::Blocked;
        Some(CrashSuspect { digest: change.digest, confirmed })
    };
    let request =
        PeerRequest::ReportSuspects(changes.iter().filter_map(suspect).collect());
    let calls = others.iter().map(|(_, addr)| node.peers.request(*addr, &request));
    // A daemon that is not reached in time reads it from the table.
    drop(timeout(NOTIFY_TIMEOUT, futures::future::join_all(calls)).await);
}

/// Syncs the table and this daemon's tracker until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut since = 0;
    loop {
        // After an error the same versions are read again in the next round.
        if let Ok(version) = sync(&node, since).await {
            since = version;
        }
        tokio::select! {
            () = tokio::time::sleep(poll_interval(&node.shared)) => {}
            () = node.poison.changed.notified() => {}
        }
    }
}

fn poll_interval(shared: &Shared) -> Duration {
    let members = shared.view().members.len();
    let interval =
        ChangeFeed::poll_interval(shared.settings.times.poll_interval, members);
    interval.mul_f64(rand::random_range(0.75..1.25))
}

async fn sync(node: &Node, since: u64) -> Result<u64, PlatformError> {
    let shared = &node.shared;
    write_changes(node).await?;
    let (delta, _) = shared.changes(POISON, "", since).await?;
    let now = shared.clock.now();
    let mut removals = Txn::new();
    for row in &delta.rows {
        let Some((digest, status)) = parse_key(&row.key) else { continue };
        let duration = match status {
            DigestStatus::Suspect => SUSPECT_DURATION,
            DigestStatus::Blocked => BLOCK_DURATION,
        };
        let age = Duration::from_millis(delta.now.saturating_sub(row.modified));
        if age < duration {
            node.poison.lock().apply(StatusChange { digest, status: Some(status) }, now);
        } else {
            removals = remove(removals, row);
        }
    }
    for key in &delta.deleted {
        if let Some((digest, status)) = parse_key(key) {
            let mut tracker = node.poison.lock();
            if tracker.status(digest, now) == Some(status) {
                tracker.apply(StatusChange { digest, status: None }, now);
            }
        }
    }
    if !removals.writes.is_empty() {
        // A conflict means that another daemon has removed them.
        shared.table.commit(&removals).await?;
    }
    Ok(delta.version)
}

fn remove(txn: Txn, row: &Row) -> Txn {
    txn.require_version(POISON, &row.key, row.version).delete(POISON, &row.key)
}

async fn write_changes(node: &Node) -> Result<(), PlatformError> {
    let list = || node.poison.unsaved.lock().expect("no holder of the list panics");
    let unsaved = list().clone();
    if unsaved.is_empty() {
        return Ok(());
    }
    let mut txn = Txn::new();
    for (digest, status) in &unsaved {
        let suspect = format!("{SUSPECT_PREFIX}{digest}");
        txn = match status {
            Some(DigestStatus::Suspect) => txn.put(POISON, suspect, json!({})),
            Some(DigestStatus::Blocked) => txn.put(POISON, digest.to_string(), json!({})),
            None => txn.delete(POISON, suspect),
        };
    }
    node.shared.table.commit(&txn).await?;
    // Changes made during the commit stay in the list.
    list().retain(|digest, status| unsaved.get(digest) != Some(status));
    Ok(())
}

fn parse_key(key: &str) -> Option<(Digest, DigestStatus)> {
    let (text, status) = match key.strip_prefix(SUSPECT_PREFIX) {
        Some(text) => (text, DigestStatus::Suspect),
        None => (key, DigestStatus::Blocked),
    };
    let digest = u128::from_str_radix(text, 16).ok()?;
    Some((Digest(digest), status))
}

fn blocked() -> Refusal {
    let text = "the request crashed two backend servers and is blocked; change it, or ask \
                the operators to investigate";
    Refusal::not_run(RefusalCode::Poison, text)
}

fn isolated() -> Refusal {
    let text = "the request was in flight when a backend server crashed and has to run \
                in isolation; send it again";
    Refusal::not_run(RefusalCode::Overloaded, text)
        .with_retry_after(Duration::from_secs(1))
}
