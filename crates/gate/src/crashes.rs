//! Attributes crashes of backend servers to requests, together with the other daemons.
//!
//! Each daemon counts the requests that it has in flight. After an interrupted response it
//! checks whether the server still accepts connections, its own and those of others
//! ([`paths::has_ended`]). If not, it reports to all daemons
//! what it had in flight there, and each decides by all reports which request caused the
//! crash ([`chestnut_crash`]). Blocked requests are refused, and kept in the store
//! ([`crate::blocked_requests`]).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::{Digest, DomainName, Incarnation, MemberId, Refusal, RefusalCode};
use chestnut_crash::collect::MAX_LISTED;
use chestnut_crash::tracker::SETTLE_TIME;
use chestnut_crash::{
    CrashReport, CrashTracker, DigestStatus, DispatchDecision, DispatchId,
    ReportCollector, ReportTurn, StatusChange, is_part,
};
use chestnut_edge::Phase;
use chestnut_pool::ServerKey;
use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use tokio::sync::OnceCell;
use tokio::time::{sleep, sleep_until, timeout};

use crate::attempt::{AttemptError, Target};
use crate::job::Job;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;
use crate::{blocked_requests, members, paths};

/// How long a retry waits for the check whether its server has crashed.
///
/// The port of a crashed process refuses connections within the delay of the link, and other
/// daemons confirm it within some more milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// How long after an interruption a server is checked again that still accepted connections.
///
/// A dying server may cut its streams a moment before it closes its port.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(200);

/// For how long the result of a check holds for other requests to the same server.
const CHECK_TTL: Duration = Duration::from_millis(100);

/// When a report is sent again, after the first time; reports may be lost.
const REPEAT_DELAYS: [Duration; 2] =
    [Duration::from_millis(100), Duration::from_millis(900)];

/// How long digests that were cleared are collected before the other daemons are told; they
/// must know before the cause of a crash is decided.
const CLEAR_DELAY: Duration = Duration::from_millis(50);

/// The most digests in one log line.
const MAX_LOGGED_DIGESTS: usize = 64;

/// The retry delay sent to the caller of a copy while another copy is running.
///
/// A request that crashes its server does so within a fraction of a second.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What this daemon knows of requests that crash servers.
#[derive(Default)]
pub struct Crashes {
    tracker: Mutex<CrashTracker>,
    /// The last check of each server, and when it began.
    checks: Mutex<IndexMap<Incarnation, (Instant, Check)>>,
    /// Digests that were cleared here and not announced yet.
    cleared: Mutex<Vec<Digest>>,
    /// Reports of several crashes that are sent together.
    collector: Mutex<ReportCollector>,
    /// The blocked requests that have a row in the store.
    rows: Mutex<IndexSet<Digest>>,
}

/// Whether a server is down; set once the check is complete.
type Check = Arc<OnceCell<bool>>;

impl Crashes {
    /// Locks the tracker of suspect and blocked requests.
    pub fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().expect("no holder of the lock panics")
    }

    /// Locks the reports that are sent together.
    pub fn collector(&self) -> MutexGuard<'_, ReportCollector> {
        self.collector.lock().expect("no holder of the lock panics")
    }

    /// Whether the store has a row of a blocked request.
    pub fn has_row(&self, digest: Digest) -> bool {
        self.rows.lock().expect("no holder of the lock panics").contains(&digest)
    }

    /// Records whether the store has a row of a blocked request.
    pub fn record_row(&self, digest: Digest, exists: bool) {
        let mut rows = self.rows.lock().expect("no holder of the lock panics");
        match exists {
            true => drop(rows.insert(digest)),
            false => drop(rows.swap_remove(&digest)),
        }
    }

    /// The check of a server that is in progress or recent; a new one if there is none.
    fn check(&self, incarnation: &Incarnation, now: Instant) -> Check {
        let mut checks = self.checks.lock().expect("no holder of the lock panics");
        checks.retain(|_, (at, _)| now < *at + CHECK_TTL);
        let entry = checks.entry(incarnation.clone());
        entry.or_insert_with(|| (now, Check::default())).1.clone()
    }
}

/// A request in flight at a server; no longer counted once it is dropped.
pub struct Dispatch {
    shared: Arc<Shared>,
    id: DispatchId,
    incarnation: Incarnation,
    addr: SocketAddr,
    key: ServerKey,
}

/// Counts a request as in flight, unless it is blocked or quarantined.
///
/// A request that may have caused a crash waits until that is decided.
pub async fn begin_dispatch(
    job: &Job,
    target: &Target,
) -> Result<Dispatch, AttemptError> {
    let (shared, digest) = (job.shared.clone(), job.digest);
    let parts = job.shared_parts();
    let incarnation = target.incarnation();
    loop {
        settle(&shared);
        let now = shared.now();
        let decision = shared.crashes.tracker().try_dispatch_shared(
            &incarnation,
            digest,
            &parts,
            now,
        );
        match decision {
            DispatchDecision::Dispatch(id) => {
                let (addr, key) = (target.addr, target.key);
                return Ok(Dispatch { shared, id, incarnation, addr, key });
            }
            DispatchDecision::Refuse => return Err(AttemptError::Blocked),
            DispatchDecision::Wait => return Err(AttemptError::Quarantined),
            DispatchDecision::WaitUntil(until) if until >= job.deadline => {
                return Err(AttemptError::Quarantined);
            }
            DispatchDecision::WaitUntil(until) => {
                info!(shared.log, "request waits for the cause of a crash";
                    "id" => job.id(), "digest" => digest.to_string(),
                    "ms" => until.saturating_duration_since(now).as_millis() as u64);
                sleep_until(until.into()).await;
            }
        }
    }
}

/// What a request is refused for, its digest or that of a part of its prompt, since it crashed
/// servers; `None` if it may be sent.
pub fn blocked_digest(job: &Job) -> Option<Digest> {
    let now = job.shared.now();
    let tracker = job.shared.crashes.tracker();
    let mut digests = digests(job);
    digests.find(|digest| tracker.status(*digest, now) == Some(DigestStatus::Blocked))
}

/// Whether a digest is blocked.
pub fn is_blocked(shared: &Shared, digest: Digest) -> bool {
    let now = shared.now();
    shared.crashes.tracker().status(digest, now) == Some(DigestStatus::Blocked)
}

/// Whether a request may crash servers, so that its copies, or requests that share a part of its
/// prompt, run one at a time.
pub fn is_quarantined(job: &Job) -> bool {
    let now = job.shared.now();
    let tracker = job.shared.crashes.tracker();
    digests(job).any(|digest| tracker.is_quarantined(digest, now))
}

fn digests(job: &Job) -> impl Iterator<Item = Digest> {
    std::iter::once(job.digest).chain(job.shared_parts())
}

/// The refusal of a blocked request.
pub fn blocked() -> Refusal {
    let message = "the request, or a part of its prompt, crashed several backend servers and is \
        blocked; change it, or ask the operators to investigate";
    Refusal::not_run(RefusalCode::Poison, message)
}

/// The refusal of a quarantined request while another copy of it runs.
pub fn quarantined() -> Refusal {
    let message = "the request, or one with a part of its prompt, was in flight when a backend \
        server crashed, and another one is running; retry after the given delay";
    Refusal::not_run(RefusalCode::Overloaded, message)
        .with_retry_after(QUARANTINE_RETRY_DELAY)
}

impl Dispatch {
    /// Records that the server has begun to respond.
    pub fn record_response(&self) {
        let now = self.shared.now();
        let cleared = self.shared.crashes.tracker().record_response(
            &self.incarnation,
            self.id,
            now,
        );
        announce_later(&self.shared, cleared);
    }

    /// Records that the server completed the response, and so doesn't crash because of it.
    pub fn complete(self) {
        let change =
            self.shared.crashes.tracker().finish(&self.incarnation, self.id, true);
        announce_later(&self.shared, change.map(|change| change.digest));
    }

    /// Reports the crash of the server if that is why the response was interrupted.
    pub async fn interrupted(self) {
        if !self.is_crash_possible() {
            return;
        }
        match timeout(CHECK_TIMEOUT, self.is_down()).await {
            Ok(true) => self.report_crash(),
            Ok(false) | Err(_) => drop(tokio::spawn(self.check_again())),
        }
    }

    async fn check_again(self) {
        sleep(SECOND_CHECK_DELAY).await;
        if self.is_crash_possible() && self.is_down().await {
            self.report_crash();
        }
    }

    /// Whether an end of the server would be a crash: none was reported yet, and the
    /// server was not to stop.
    fn is_crash_possible(&self) -> bool {
        let is_running = {
            let fleet = self.shared.fleet();
            fleet.get(self.key).is_some_and(|server| {
                server.missing_since.is_none() && server.entry.phase == Phase::Ready
            })
        };
        is_running
            && self.shared.crashes.tracker().is_in_flight(&self.incarnation, self.id)
    }

    /// Whether the server has ended; requests that were interrupted together
    /// share one check.
    async fn is_down(&self) -> bool {
        let check = self.shared.crashes.check(&self.incarnation, self.shared.now());
        let ended = || paths::has_ended(&self.shared, &self.incarnation, self.addr);
        *check.get_or_init(ended).await
    }

    fn report_crash(&self) {
        let shared = &self.shared;
        let domain = self.domain();
        let report = {
            let now = shared.now();
            let mut tracker = shared.crashes.tracker();
            if !tracker.is_in_flight(&self.incarnation, self.id) {
                return;
            }
            tracker.observe_crash(&self.incarnation, domain.as_ref(), now)
        };
        shared.metrics.count(Step::Crash, "observed");
        warn!(shared.log, "server crashed"; "server" => self.incarnation.server.as_str(),
            "started_at" => self.incarnation.started_at,
            "domain" => domain.map(|domain| domain.to_string()),
            "digests" => digest_list(report.requests.iter().map(|request| request.digest)),
            "requests" => report.requests.len());
        announce_proven(shared, &report);
        tokio::spawn(send_report(shared.clone(), report));
        tokio::spawn(settle_later(shared.clone(), SETTLE_TIME));
    }

    fn domain(&self) -> Option<DomainName> {
        let fleet = self.shared.fleet();
        fleet.get(self.key).map(|server| server.entry.domain.clone())
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let mut tracker = self.shared.crashes.tracker();
        // A request that did not complete clears nothing.
        let _ = tracker.finish(&self.incarnation, self.id, false);
    }
}

/// Adds the report of another daemon, which waited for others for `age` before it was sent.
///
/// The crash counts as reported when it would have been without that wait, so that its cause
/// is decided no later.
pub fn apply_report(
    shared: &Arc<Shared>,
    from: MemberId,
    report: &CrashReport,
    age: Duration,
) {
    let (is_new, is_first) = {
        let now = shared.now();
        let reported_at = now.checked_sub(age).unwrap_or(now);
        let mut tracker = shared.crashes.tracker();
        let is_first = !tracker.has_crash(&report.incarnation);
        (tracker.merge(report, reported_at), is_first)
    };
    if !is_new {
        return;
    }
    announce_proven(shared, report);
    shared.metrics.count(Step::Crash, "reported");
    // One line for each crash. With one for each report, the loss of a quarter of 60 servers
    // gave 8,319 lines in two seconds; each reporting daemon logs its own requests.
    if is_first {
        info!(shared.log, "crash reported"; "from" => from.to_string(),
            "server" => report.incarnation.server.as_str(),
            "started_at" => report.incarnation.started_at,
            "requests" => report.requests.len());
    }
    tokio::spawn(settle_later(shared.clone(), SETTLE_TIME.saturating_sub(age)));
}

/// Tells the sender of a report that this daemon reads collected ones.
pub fn offer_collected(shared: &Shared, member: MemberId, addr: SocketAddr) {
    let now = shared.now();
    if shared.crashes.collector().should_offer(member, now) {
        shared.peers.send(addr, Message::CollectedReportsOffer);
    }
}

/// Clears suspects that completed at another daemon.
pub fn apply_cleared(shared: &Shared, digests: &[Digest]) {
    let now = shared.now();
    let mut tracker = shared.crashes.tracker();
    for digest in digests {
        match is_part(*digest) {
            true => tracker.clear_part(*digest, now),
            // One that is not a suspect here needs no clearing.
            false => drop(tracker.clear(*digest)),
        }
    }
}

/// The digests of the blocked requests.
pub fn blocked_digests(shared: &Shared) -> Vec<Digest> {
    shared.crashes.tracker().blocked(shared.now())
}

async fn settle_later(shared: Arc<Shared>, after: Duration) {
    sleep(after).await;
    settle(&shared);
}

/// Decides on the crashes whose reports have arrived.
fn settle(shared: &Arc<Shared>) {
    let changes = {
        let now = shared.now();
        shared.crashes.tracker().settle(now)
    };
    for StatusChange { digest, status } in changes {
        if status != Some(DigestStatus::Blocked) {
            continue;
        }
        shared.metrics.count(Step::Crash, "blocked");
        warn!(shared.log, "request blocked, it crashes servers";
            "digest" => digest.to_string(), "is_prompt_part" => is_part(digest));
        tokio::spawn(blocked_requests::persist(shared.clone(), digest));
    }
}

/// Sends a report to all other daemons, and repeats it.
async fn send_report(shared: Arc<Shared>, report: CrashReport) {
    let parts = report.split(MAX_LISTED);
    send_parts(&shared, &parts);
    for delay in REPEAT_DELAYS {
        sleep(delay).await;
        send_parts(&shared, &parts);
    }
}

/// Sends the parts of a report to all other daemons; collects them for those that read collected
/// reports if another report was sent shortly before.
fn send_parts(shared: &Arc<Shared>, parts: &[CrashReport]) {
    let now = shared.now();
    let turn = shared.crashes.collector().submit(parts, now);
    for (member, addr) in members::other_daemons(shared) {
        let is_due =
            turn == ReportTurn::Send || !shared.crashes.collector().is_reader(member);
        for part in parts.iter().filter(|_| is_due) {
            shared.peers.send(addr, Message::CrashReport(part.clone()));
        }
    }
    if let ReportTurn::TakeAt(at) = turn {
        tokio::spawn(send_collected(shared.clone(), at));
    }
}

/// Sends the collected reports to the daemons that read them.
async fn send_collected(shared: Arc<Shared>, at: Instant) {
    sleep_until(at.into()).await;
    let datagrams = shared.crashes.collector().take(shared.now());
    let readers: Vec<SocketAddr> = {
        let collector = shared.crashes.collector();
        let others = members::other_daemons(&shared).into_iter();
        let readers = others.filter(|(member, _)| collector.is_reader(*member));
        readers.map(|(_, addr)| addr).collect()
    };
    let reports: usize = datagrams.iter().map(Vec::len).sum();
    shared.metrics.count(Step::Crash, "sent together");
    info!(shared.log, "crash reports sent together"; "reports" => reports,
        "datagrams" => datagrams.len(), "daemons" => readers.len());
    for datagram in datagrams {
        for addr in &readers {
            shared.peers.send(*addr, Message::CollectedReports(datagram.clone()));
        }
    }
}

/// Tells the other daemons of parts of prompts that servers have responded to here shortly before
/// the crash.
fn announce_proven(shared: &Arc<Shared>, report: &CrashReport) {
    let proven = shared.crashes.tracker().proven_parts(report);
    announce_later(shared, proven);
}

/// Has suspects that are cleared announced together with others.
fn announce_later(shared: &Arc<Shared>, digests: impl IntoIterator<Item = Digest>) {
    let mut digests = digests.into_iter().peekable();
    if digests.peek().is_none() {
        return;
    }
    let is_first = {
        let cleared = &shared.crashes.cleared;
        let mut cleared = cleared.lock().expect("no holder of the lock panics");
        let is_first = cleared.is_empty();
        cleared.extend(digests);
        is_first
    };
    if is_first {
        let at = shared.now() + CLEAR_DELAY;
        tokio::spawn(announce_cleared(shared.clone(), at));
    }
}

/// Tells all other daemons which suspects have completed here.
async fn announce_cleared(shared: Arc<Shared>, at: Instant) {
    sleep_until(at.into()).await;
    let cleared = {
        let cleared = &shared.crashes.cleared;
        std::mem::take(&mut *cleared.lock().expect("no holder of the lock panics"))
    };
    shared.metrics.count(Step::Crash, "cleared");
    info!(shared.log, "suspects completed"; "requests" => cleared.len(),
        "digests" => digest_list(cleared.iter().copied()));
    for part in cleared.chunks(MAX_LISTED) {
        for (_, addr) in members::other_daemons(&shared) {
            shared.peers.send(addr, Message::SuspectsCleared(part.to_vec()));
        }
    }
}

/// Digests for a log line.
fn digest_list(digests: impl Iterator<Item = Digest>) -> String {
    let texts: Vec<String> =
        digests.take(MAX_LOGGED_DIGESTS).map(|digest| digest.to_string()).collect();
    texts.join(" ")
}
