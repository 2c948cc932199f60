//! Requests that crash backend servers: who is suspect, who is refused.
//!
//! The lead of a backend server registers what it hands over and attributes a
//! crash. Before it reports the crash to whoever waits, it tells the other
//! daemons, so that a caller that sends the request again meets a daemon that
//! knows. The platform's table keeps the same for daemons that were not reached
//! or start later.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_base::{Digest, Refusal, RefusalCode, ServerName};
use chestnut_once::suspect::{BLOCK_DURATION, SUSPECT_DURATION};
use chestnut_once::{
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

use crate::engine::CallEnd;
use crate::feed::Feed;
use crate::members;
use crate::node::Node;
use crate::shared::Shared;

/// The table of what is held against digests.
pub const POISON: &str = "poison";

/// The start of the keys of suspects; the others are convicted.
///
/// Two rows, so that a late suspicion does not overwrite a conviction.
const SUSPECT: &str = "suspect/";

/// How long a backend server may take to accept a connection before it counts as
/// crashed. A VM that lives accepts within a millisecond or two, also when busy.
const PROBE: Duration = Duration::from_millis(500);

/// How long a fresh connection must stay open to show that the server lives.
///
/// Some hundred times what a dying process takes to close its port, and short
/// against the retry that waits for it. No server closes an idle connection so soon.
const WATCH: Duration = Duration::from_millis(200);

/// How long the other daemons may take to learn of a crash.
///
/// They are a few milliseconds apart; one that is frozen must not hold up the
/// bystanders' retries.
const SPREAD: Duration = Duration::from_millis(250);

/// The greatest number of daemons that are told of a crash directly.
///
/// Beyond it a crash would cost thousands of messages; then the table tells them.
const SPREAD_LIMIT: usize = 64;

/// Who is suspect and who is refused, as this daemon knows it.
pub struct Poison {
    suspects: Mutex<CrashTracker>,
    /// Told when a suspect is through, so that the next may run.
    through: Notify,
    /// Held while a crash is attributed and the other daemons are told.
    ///
    /// Each flight that a crash cut reports it. Were the second report passed on
    /// at once, its request would be retried at a daemon that does not know it for
    /// a suspect yet, together with others, and the next crash would name nobody.
    telling: tokio::sync::Mutex<()>,
    /// What is to be written into the table.
    unsaved: Mutex<IndexMap<Digest, Option<DigestStatus>>>,
    /// Told when there is something to write.
    changed: Notify,
    counters: Counters,
}

struct Counters {
    crashes: Counter,
    suspects: Counter,
    convicted: Counter,
    refused: Counter,
}

/// A request in flight at a backend server; dropping it takes it out.
pub struct Flight {
    poison: Arc<Poison>,
    server: ServerName,
    id: DispatchId,
}

impl Poison {
    /// Creates the state of a daemon that suspects nothing.
    pub fn new(shared: &Shared) -> Self {
        Self {
            suspects: Mutex::default(),
            through: Notify::new(),
            telling: tokio::sync::Mutex::default(),
            unsaved: Mutex::default(),
            changed: Notify::new(),
            counters: Counters::register(shared),
        }
    }

    /// Refuses a request that crashed backend servers before.
    ///
    /// Entries ask it for idempotent requests only: of the others the journal knows
    /// better whether they ran, and [`Self::enter`] refuses those that did not.
    pub fn check(&self, digest: Digest, now: Instant) -> Result<(), Refusal> {
        if self.lock().status(digest, now) != Some(DigestStatus::Blocked) {
            return Ok(());
        }
        self.counters.refused.inc();
        Err(poisonous())
    }

    /// Registers a request that is about to be handed over.
    ///
    /// A suspect waits until the crash is a while ago and no other suspect runs on the
    /// backend server, or until nobody waits for it any more.
    pub async fn enter(
        self: &Arc<Self>,
        shared: &Shared,
        run: &AttemptRequest,
        out: &mpsc::Sender<PeerResponse>,
    ) -> Result<Flight, Refusal> {
        let end = shared.clock.now() + run.request.budget;
        if run.suspect {
            // The news of the crash may not have come here yet.
            let blame = CrashSuspect { digest: run.request.digest, confirmed: false };
            self.learn(&[blame], shared.clock.now());
        }
        loop {
            let through = self.through.notified();
            let now = shared.clock.now();
            let mut next = end;
            match self.lock().try_dispatch(&run.server, run.request.digest, now) {
                DispatchDecision::Dispatch(id) => {
                    let server = run.server.clone();
                    return Ok(Flight { poison: self.clone(), server, id });
                }
                DispatchDecision::Refuse => {
                    self.counters.refused.inc();
                    return Err(poisonous());
                }
                DispatchDecision::WaitUntil(settled) if settled >= end => {
                    return Err(isolated());
                }
                DispatchDecision::Wait if now >= end => return Err(isolated()),
                DispatchDecision::WaitUntil(settled) => next = settled,
                DispatchDecision::Wait => {}
            }
            tokio::select! {
                () = through => {}
                () = tokio::time::sleep_until(next.into()) => {}
                () = out.closed() => return Err(isolated()),
            }
        }
    }

    /// Takes in what another daemon found out.
    pub fn learn(&self, blames: &[CrashSuspect], now: Instant) {
        let mut suspects = self.lock();
        for blame in blames {
            let evidence = match blame.confirmed {
                true => DigestStatus::Blocked,
                false => DigestStatus::Suspect,
            };
            suspects.apply(
                StatusChange { digest: blame.digest, status: Some(evidence) },
                now,
            );
        }
    }

    /// The number of suspects and of convicted digests.
    pub fn counts(&self) -> (usize, usize) {
        self.lock().counts()
    }

    fn save(&self, verdicts: &[StatusChange]) {
        let mut unsaved = self.unsaved.lock().expect("no holder of the list panics");
        for verdict in verdicts {
            unsaved.insert(verdict.digest, verdict.status);
        }
        drop(unsaved);
        self.changed.notify_one();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CrashTracker> {
        self.suspects.lock().expect("no holder of the suspects panics")
    }
}

impl Flight {
    /// Ends the flight by how its call ended; whether the backend server crashed.
    pub async fn end(self, node: &Node, address: SocketAddr, end: &CallEnd) -> bool {
        match end {
            CallEnd::Whole(_) => {
                let verdict = self.leave(true);
                self.poison.save(verdict.as_slice());
                false
            }
            CallEnd::Broken { cut: true, .. } if is_dead(address).await => {
                self.attribute(node).await;
                true
            }
            _ => false,
        }
    }

    /// Attributes a crash, unless another flight's report of it came first.
    async fn attribute(&self, node: &Node) {
        let _telling = self.poison.telling.lock().await;
        let now = node.shared.clock.now();
        let verdicts = {
            let mut suspects = self.poison.lock();
            if !suspects.is_in_flight(&self.server, self.id) {
                return;
            }
            suspects.record_crash(&self.server, now)
        };
        self.poison.through.notify_waiters();
        let counters = &self.poison.counters;
        counters.crashes.inc();
        counters.suspects.inc_by(verdicts.len() as u64);
        warn!(node.shared.log, "a backend server crashed"; "server" => self.server.as_str(),
            "in_flight" => verdicts.len());
        for verdict in &verdicts {
            if verdict.status == Some(DigestStatus::Blocked) {
                counters.convicted.inc();
                let (digest, server) = (verdict.digest.to_string(), self.server.as_str());
                warn!(node.shared.log, "a request crashed a second backend server \
                    and is refused from now on"; "digest" => digest, "server" => server);
            }
        }
        self.poison.save(&verdicts);
        spread(node, &verdicts).await;
    }

    fn leave(&self, whole: bool) -> Option<StatusChange> {
        let verdict = self.poison.lock().finish(&self.server, self.id, whole);
        self.poison.through.notify_waiters();
        verdict
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.leave(false);
    }
}

impl Counters {
    fn register(shared: &Shared) -> Self {
        let counters = Self {
            crashes: Counter::default(),
            suspects: Counter::default(),
            convicted: Counter::default(),
            refused: Counter::default(),
        };
        shared.metrics.register(|registry| {
            let mut add = |name, help, counter: &Counter| {
                registry.register(name, help, counter.clone());
            };
            add("server_crashes", "Crashes of led backend servers", &counters.crashes);
            add("suspect_requests", "Requests in flight at crashes", &counters.suspects);
            add("poison_convicted", "Requests convicted of crashes", &counters.convicted);
            add("poison_refused", "Requests refused as convicted", &counters.refused);
        });
        counters
    }
}

/// Whether a backend server whose connection was cut crashed.
///
/// A cut stream alone proves no crash: the network may have lost a connection. A
/// server that dies may cut its streams a moment before its port closes, so that
/// a connection that it still accepts is watched for a while.
async fn is_dead(address: SocketAddr) -> bool {
    let connected = timeout(PROBE, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else { return true };
    let mut byte = [0];
    timeout(WATCH, stream.read(&mut byte)).await.is_ok()
}

/// Tells the other daemons before the crash is reported to whoever waits.
async fn spread(node: &Node, verdicts: &[StatusChange]) {
    let others = members::others(&node.shared);
    if others.len() > SPREAD_LIMIT {
        return;
    }
    let blame = |verdict: &StatusChange| {
        let convicted = verdict.status? == DigestStatus::Blocked;
        Some(CrashSuspect { digest: verdict.digest, confirmed: convicted })
    };
    let ask = PeerRequest::ReportSuspects(verdicts.iter().filter_map(blame).collect());
    let calls = others.iter().map(|(_, addr)| node.peers.ask_once(*addr, &ask));
    // One that is not reached in time learns it from the table.
    drop(timeout(SPREAD, futures::future::join_all(calls)).await);
}

/// Keeps the table and this daemon's knowledge alike until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut since = 0;
    loop {
        // A platform that does not answer is asked again at the next turn.
        if let Ok(version) = exchange(&node, since).await {
            since = version;
        }
        tokio::select! {
            () = tokio::time::sleep(pause(&node.shared)) => {}
            () = node.poison.changed.notified() => {}
        }
    }
}

fn pause(shared: &Shared) -> Duration {
    let members = shared.view().members.len();
    let pace = Feed::pace(shared.settings.times.poll_interval, members);
    pace.mul_f64(rand::random_range(0.75..1.25))
}

async fn exchange(node: &Node, since: u64) -> Result<u64, PlatformError> {
    let shared = &node.shared;
    write(node).await?;
    let (delta, _) = shared.changes(POISON, "", since).await?;
    let now = shared.clock.now();
    let mut old = Txn::new();
    for row in &delta.rows {
        let Some((digest, evidence)) = parse(&row.key) else { continue };
        let time = match evidence {
            DigestStatus::Suspect => SUSPECT_DURATION,
            DigestStatus::Blocked => BLOCK_DURATION,
        };
        let age = Duration::from_millis(delta.now.saturating_sub(row.modified));
        if age < time {
            node.poison
                .lock()
                .apply(StatusChange { digest, status: Some(evidence) }, now);
        } else {
            old = remove(old, row);
        }
    }
    for key in &delta.deleted {
        if let Some((digest, evidence)) = parse(key) {
            let mut suspects = node.poison.lock();
            if suspects.status(digest, now) == Some(evidence) {
                suspects.apply(StatusChange { digest, status: None }, now);
            }
        }
    }
    if !old.writes.is_empty() {
        // Whoever is first removes them; a conflict means that they are gone.
        shared.table.commit(&old).await?;
    }
    Ok(delta.version)
}

fn remove(txn: Txn, row: &Row) -> Txn {
    txn.version(POISON, &row.key, row.version).delete(POISON, &row.key)
}

async fn write(node: &Node) -> Result<(), PlatformError> {
    let list = || node.poison.unsaved.lock().expect("no holder of the list panics");
    let unsaved = list().clone();
    if unsaved.is_empty() {
        return Ok(());
    }
    let mut txn = Txn::new();
    for (digest, evidence) in &unsaved {
        let suspect = format!("{SUSPECT}{digest}");
        txn = match evidence {
            Some(DigestStatus::Suspect) => txn.put(POISON, suspect, json!({})),
            Some(DigestStatus::Blocked) => txn.put(POISON, digest.to_string(), json!({})),
            None => txn.delete(POISON, suspect),
        };
    }
    node.shared.table.commit(&txn).await?;
    // What changed meanwhile stays on the list.
    list().retain(|digest, evidence| unsaved.get(digest) != Some(evidence));
    Ok(())
}

fn parse(key: &str) -> Option<(Digest, DigestStatus)> {
    let (text, evidence) = match key.strip_prefix(SUSPECT) {
        Some(text) => (text, DigestStatus::Suspect),
        None => (key, DigestStatus::Blocked),
    };
    let digest = u128::from_str_radix(text, 16).ok()?;
    Some((Digest(digest), evidence))
}

fn poisonous() -> Refusal {
    let text = "the request crashed two backend servers and is not run any more; \
                change it, or ask the operators to look into it";
    Refusal::not_run(RefusalCode::Poison, text)
}

fn isolated() -> Refusal {
    let text = "the request was in flight at a crash and must run apart from others; \
                send it again";
    Refusal::not_run(RefusalCode::Overloaded, text)
        .with_retry_after(Duration::from_secs(1))
}
