//! Finds the requests that crash backend servers.
//!
//! # Load pattern
//!
//! Occasionally a request crashes every backend server that runs it, and its caller
//! sends it again, sometimes under a new id and to another daemon. Without this module
//! each retry and each resend would cost another backend server with everything that
//! runs on it, until the pool is empty.
//!
//! # Algorithm
//!
//! A crash makes every request in flight on the server a suspect. Suspects are
//! identified by the digest of the request, so a new id doesn't hide one. A suspect that
//! is in flight at another crash is its cause if no other suspect is a likelier one
//! ([`find_culprits`]), and is then blocked. Suspects that complete are cleared, as are
//! those that cause no crash for [`SUSPECT_DURATION`], and those that were in flight only
//! at crashes whose cause was found.
//!
//! Where one daemon dispatches all requests to a server, it runs one suspect at a time
//! there ([`CrashTracker::try_dispatch`]), so that the second crash shows the cause. A
//! harmful request then costs two backend servers if its copies come one after another.
//!
//! Where many daemons dispatch to a server, each reports the requests that it had in
//! flight, and all decide by all reports once those of a crash have arrived
//! ([`CrashTracker::settle`]). They also tell which requests the server was responding
//! to. A suspect that it was not responding to is quarantined: each daemon runs one copy
//! of it at a time ([`CrashTracker::try_dispatch_shared`]).
//!
//! Servers that fail together, for example with their rack, do so within a second. A
//! request that is retried at once could be in flight on two of them and would be
//! blocked for a failure that it did not cause. So crashes in one failure domain count
//! as one for [`CRASH_WINDOW`].
//!
//! What holds for the digests of requests holds for the [`parts`](crate::parts) of their prompts
//! in a similar way; both are blocked alike.
//!
//! # False positives
//!
//! A server may fail for another reason while a suspect runs on it, which blocks an
//! innocent request. With 110 of 12,000 VMs failing a day, the chance is about 1 in
//! 10⁷ for each second that a suspect runs. Requiring a third crash would lower it,
//! at the cost of one more server for each harmful request.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, DomainName, Incarnation};
use indexmap::IndexMap;

use crate::evidence::{
    CRASH_WINDOW, Crash, CrashEvent, CrashReport, ReportedRequest, Rival, RunPhase,
    count_apart, find_culprits,
};
use crate::parts::{PartTracker, is_part};

/// How long a digest stays suspect if it doesn't run again.
///
/// Callers retry a failed request within their deadlines, which are minutes.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);

/// How long a digest stays blocked.
///
/// Within a day someone has examined the request or fixed the engine.
pub const BLOCK_DURATION: Duration = Duration::from_secs(24 * 3600);

/// The maximum number of digests that are tracked.
///
/// At 200 bytes each they take under a megabyte; a crash adds at most the streams of one
/// backend server.
pub const MAX_DIGESTS: usize = 4096;

/// How long after the first report of a crash its cause is decided.
///
/// Daemons notice a crash within milliseconds of each other, a busy one later, and repeat a
/// lost report. Only copies of the likely cause wait for the decision.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);

/// How long the requests in flight at a crash are retained for late reports.
const CRASH_RETENTION: Duration = Duration::from_secs(10);

/// The number of crashes that are retained for each digest.
const MAX_EVENTS: usize = 4;

/// Identifies one dispatch of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId(u64);

/// Whether a request may be dispatched to a backend server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It may; it now counts as in flight.
    Dispatch(DispatchId),
    /// Another suspect runs on the backend server, or another copy of this one is in
    /// flight; wait until it has finished.
    Wait,
    /// It was in flight at a recent crash; wait until this time, by which the crash can be
    /// attributed.
    WaitUntil(Instant),
    /// The digest is blocked.
    Refuse,
}

/// The status of a digest that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestStatus {
    /// It was in flight at a crash, possibly among others.
    Suspect,
    /// It caused a crash, and was in flight at an earlier one.
    Blocked,
}

/// A change of a digest's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// Identifies the request and its copies.
    pub digest: Digest,
    /// The new status; `None` if the digest was cleared.
    pub status: Option<DigestStatus>,
}

#[derive(Debug, Clone)]
struct TrackedDigest {
    status: DigestStatus,
    /// When it first became a suspect.
    since: Instant,
    expires_at: Instant,
    /// The crashes at which it was in flight, oldest first; at most [`MAX_EVENTS`]. Of those
    /// that belong together, the first one at which it had no response.
    crashes: Vec<CrashEvent>,
}

#[derive(Debug, Clone)]
struct InFlight {
    id: DispatchId,
    digest: Digest,
    /// The digests of the parts of its prompt, but for the last one.
    parts: Vec<Digest>,
    phase: RunPhase,
}

/// Tracks suspect and blocked digests and the requests in flight on each server.
#[derive(Debug, Default)]
pub struct CrashTracker {
    digests: IndexMap<Digest, TrackedDigest>,
    in_flight: IndexMap<Incarnation, Vec<InFlight>>,
    /// The latest crash of each incarnation; retained for [`CRASH_RETENTION`].
    crashes: IndexMap<Incarnation, Crash>,
    parts: PartTracker,
    last_dispatch: u64,
}

impl CrashTracker {
    /// Creates a tracker without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// The status of a digest; `None` if it is neither suspect nor blocked.
    pub fn status(&self, digest: Digest, now: Instant) -> Option<DigestStatus> {
        let tracked = self.digests.get(&digest)?;
        (now < tracked.expires_at).then_some(tracked.status)
    }

    /// Whether a digest is a suspect to which a server that crashed had not responded, or
    /// that was in flight at several crashes; or a suspect part of prompts.
    pub fn is_quarantined(&self, digest: Digest, now: Instant) -> bool {
        if is_part(digest) {
            return self.parts.is_suspect(digest, now);
        }
        let is_likely = |tracked: &TrackedDigest| {
            tracked.crashes.iter().any(|event| !event.has_responded)
                || count_apart(tracked.crashes.iter()) > 1
        };
        self.status(digest, now) == Some(DigestStatus::Suspect)
            && self.digests.get(&digest).is_some_and(is_likely)
    }

    /// Decides whether a request may be dispatched to a server to which this daemon alone
    /// dispatches, and if so counts it as in flight.
    pub fn try_dispatch(
        &mut self,
        server: &Incarnation,
        digest: Digest,
        now: Instant,
    ) -> DispatchDecision {
        let status = self.status(digest, now);
        match status {
            Some(DigestStatus::Blocked) => return DispatchDecision::Refuse,
            Some(DigestStatus::Suspect) => {
                let window_end = self.digests[&digest].since + CRASH_WINDOW;
                if now < window_end {
                    return DispatchDecision::WaitUntil(window_end);
                }
                // With two suspects in flight a crash would not show which one caused it.
                if self.runs_suspect(server, now) {
                    return DispatchDecision::Wait;
                }
            }
            None => {}
        }
        let phase = RunPhase::Unknown { was_suspect: status.is_some() };
        DispatchDecision::Dispatch(self.begin(server, digest, &[], phase))
    }

    /// Decides whether a request may be dispatched to a server to which other daemons
    /// dispatch as well, and if so counts it as in flight.
    ///
    /// `parts` are the digests of the parts of its prompt ([`part_digest`]), but for the last
    /// one. A request that may have caused a crash waits until that is decided.
    ///
    /// [`part_digest`]: crate::part_digest
    pub fn try_dispatch_shared(
        &mut self,
        server: &Incarnation,
        digest: Digest,
        parts: &[Digest],
        now: Instant,
    ) -> DispatchDecision {
        let all = || std::iter::once(&digest).chain(parts).copied();
        if all().any(|one| self.status(one, now) == Some(DigestStatus::Blocked)) {
            return DispatchDecision::Refuse;
        }
        if let Some(until) = all().filter_map(|one| self.undecided_until(one, now)).max()
        {
            return DispatchDecision::WaitUntil(until);
        }
        if all().any(|one| self.is_quarantined(one, now) && self.is_running(one)) {
            return DispatchDecision::Wait;
        }
        DispatchDecision::Dispatch(self.begin(server, digest, parts, RunPhase::Pending))
    }

    /// Records that a server has begun to respond to a request; returns the parts of its prompt
    /// that were suspect.
    pub fn record_response(
        &mut self,
        server: &Incarnation,
        id: DispatchId,
        now: Instant,
    ) -> Vec<Digest> {
        let in_flight = self.in_flight.get_mut(server).into_iter().flatten();
        let mut cleared = Vec::new();
        for request in in_flight.filter(|request| request.id == id) {
            request.phase = RunPhase::Responding;
            cleared.extend(self.parts.record_response(&request.parts, now));
        }
        cleared
    }

    /// Clears a part that a server has responded to at another daemon.
    pub fn clear_part(&mut self, part: Digest, now: Instant) {
        // It is not announced again.
        let _ = self.parts.record_response(&[part], now);
    }

    /// The parts of prompts in a report that servers have responded to here shortly before, so
    /// that the other daemons need not suspect them.
    pub fn proven_parts(&self, report: &CrashReport) -> Vec<Digest> {
        let parts = report.requests.iter().map(|request| request.digest);
        let mut proven: Vec<Digest> = parts
            .filter(|digest| is_part(*digest) && self.parts.is_proven(*digest))
            .collect();
        proven.sort_unstable();
        proven.dedup();
        proven
    }

    /// Whether a request is still in flight and no crash was attributed to it.
    pub fn is_in_flight(&self, server: &Incarnation, id: DispatchId) -> bool {
        let in_flight = self.in_flight.get(server);
        in_flight.is_some_and(|requests| requests.iter().any(|request| request.id == id))
    }

    /// Records that a request is no longer in flight; if it completed, a suspect is
    /// cleared.
    pub fn finish(
        &mut self,
        server: &Incarnation,
        id: DispatchId,
        completed: bool,
    ) -> Option<StatusChange> {
        let in_flight = self.in_flight.get_mut(server)?;
        let position = in_flight.iter().position(|request| request.id == id)?;
        let request = in_flight.swap_remove(position);
        if in_flight.is_empty() {
            self.in_flight.swap_remove(server);
        }
        completed.then(|| self.clear(request.digest)).flatten()
    }

    /// Clears a suspect that has completed, also at another daemon.
    pub fn clear(&mut self, digest: Digest) -> Option<StatusChange> {
        let tracked = self.digests.get(&digest)?;
        (tracked.status == DigestStatus::Suspect).then(|| {
            self.digests.swap_remove(&digest);
            StatusChange { digest, status: None }
        })
    }

    /// Attributes the crash of a backend server to the requests in flight on it, if this
    /// daemon dispatches all of its requests.
    ///
    /// They no longer count as in flight, so their own later reports of the same crash
    /// have no effect.
    pub fn record_crash(
        &mut self,
        server: &Incarnation,
        now: Instant,
    ) -> Vec<StatusChange> {
        // A server that keeps its name crashes again.
        let is_over = |crash: &Crash| now >= crash.at + CRASH_WINDOW;
        if self.crashes.get(server).is_some_and(is_over) {
            self.crashes.swap_remove(server);
        }
        let report = self.observe_crash(server, None, now);
        let mut changes = self.decide(server, now);
        for ReportedRequest { digest, .. } in report.requests {
            let is_listed = changes.iter().any(|change| change.digest == digest);
            let status = self.status(digest, now).filter(|_| !is_listed);
            changes.extend(status.map(|_| StatusChange { digest, status }));
        }
        changes
    }

    /// Records a crash that this daemon observed, and returns its report for the others.
    ///
    /// The requests no longer count as in flight.
    pub fn observe_crash(
        &mut self,
        server: &Incarnation,
        domain: Option<&DomainName>,
        now: Instant,
    ) -> CrashReport {
        let in_flight = self.in_flight.swap_remove(server).unwrap_or_default();
        let requests = in_flight.into_iter().flat_map(|request| {
            let InFlight { digest, parts, phase, .. } = request;
            let all = std::iter::once(digest).chain(parts);
            all.map(move |digest| ReportedRequest { digest, phase })
        });
        let report = CrashReport {
            incarnation: server.clone(),
            domain: domain.cloned(),
            requests: requests.collect(),
        };
        self.merge(&report, now);
        report
    }

    /// Whether a crash of this incarnation was reported recently.
    pub fn has_crash(&self, incarnation: &Incarnation) -> bool {
        self.crashes.contains_key(incarnation)
    }

    /// Adds a daemon's report to what is known of a crash; returns whether it was new.
    pub fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        let CrashReport { incarnation, domain, requests } = report;
        self.crashes.retain(|_, crash| now < crash.at + CRASH_RETENTION);
        let crash = self.crashes.entry(incarnation.clone()).or_insert_with(|| Crash {
            domain: domain.clone(),
            at: now,
            requests: IndexMap::new(),
            is_decided: false,
            is_explained: false,
        });
        // A report that was collected counts from when it was due, before others that arrived.
        crash.at = crash.at.min(now);
        let mut added = Vec::new();
        let mut pending_parts = Vec::new();
        let mut request = None;
        for ReportedRequest { digest, phase } in requests {
            match is_part(*digest) {
                true if *phase == RunPhase::Responding => {}
                true => pending_parts.extend(request.map(|request| (*digest, request))),
                false => request = Some(*digest),
            }
            match crash.requests.get_mut(digest) {
                Some(known) => *known = known.merge(*phase),
                None => {
                    crash.requests.insert(*digest, *phase);
                    added.push((*digest, *phase == RunPhase::Responding));
                }
            }
        }
        let is_new = !added.is_empty();
        crash.is_decided &= !is_new;
        if crash.is_explained {
            return is_new;
        }
        let event = CrashEvent {
            incarnation: Some(incarnation.clone()),
            domain: crash.domain.clone(),
            at: crash.at,
            has_responded: false,
        };
        // A repeated report has no effect after a response to a part.
        for (part, request) in pending_parts.into_iter().filter(|_| is_new) {
            if self.status(part, now) != Some(DigestStatus::Blocked) {
                self.parts.record_crash(part, event.clone(), request, now);
            }
        }
        for (digest, has_responded) in added {
            if !is_part(digest) {
                self.add_suspect(
                    digest,
                    CrashEvent { has_responded, ..event.clone() },
                    now,
                );
            }
        }
        is_new
    }

    /// Decides on the crashes that were reported [`SETTLE_TIME`] ago or earlier; returns the
    /// digests that were blocked or cleared.
    pub fn settle(&mut self, now: Instant) -> Vec<StatusChange> {
        let is_due = |crash: &Crash| !crash.is_decided && now >= crash.at + SETTLE_TIME;
        let due = self.crashes.iter().filter(|(_, crash)| is_due(crash));
        let due: Vec<Incarnation> = due.map(|(server, _)| server.clone()).collect();
        due.iter().flat_map(|server| self.decide(server, now)).collect()
    }

    /// Applies a status change, also one from another daemon; a blocked digest doesn't
    /// become a suspect again.
    pub fn apply(&mut self, change: StatusChange, now: Instant) {
        match change.status {
            None => drop(self.digests.swap_remove(&change.digest)),
            // A repeated report is no new crash and doesn't restart the crash window.
            Some(DigestStatus::Suspect) if self.status(change.digest, now).is_some() => {}
            Some(DigestStatus::Suspect) => {
                let event = CrashEvent {
                    incarnation: None,
                    domain: None,
                    at: now,
                    has_responded: false,
                };
                self.add_suspect(change.digest, event, now);
            }
            Some(DigestStatus::Blocked) => self.block(change.digest, now),
        }
    }

    /// The numbers of suspect and of blocked digests, in this order.
    pub fn counts(&self) -> (usize, usize) {
        let is_blocked =
            |tracked: &&TrackedDigest| tracked.status == DigestStatus::Blocked;
        let blocked = self.digests.values().filter(is_blocked).count();
        (self.digests.len() - blocked, blocked)
    }

    /// The blocked digests.
    pub fn blocked(&self, now: Instant) -> Vec<Digest> {
        let digests = self.digests.keys().copied();
        digests
            .filter(|digest| self.status(*digest, now) == Some(DigestStatus::Blocked))
            .collect()
    }

    /// Decides which request caused a crash, by all reports so far.
    fn decide(&mut self, server: &Incarnation, now: Instant) -> Vec<StatusChange> {
        let Some(crash) = self.crashes.get(server) else { return Vec::new() };
        let culprits = match crash.is_explained {
            true => Vec::new(),
            false => {
                let pending = crash.requests.iter().filter(|(digest, phase)| {
                    is_part(**digest) && **phase != RunPhase::Responding
                });
                let parts = pending.map(|(digest, _)| *digest);
                let mut culprits = find_culprits(&self.rivals(server, crash, now));
                culprits.extend(self.parts.find_culprits(parts));
                culprits
            }
        };
        if let Some(crash) = self.crashes.get_mut(server) {
            crash.is_decided = true;
        }
        let mut changes = Vec::new();
        for digest in culprits {
            changes.extend(self.explain_crashes(digest));
            self.block(digest, now);
            changes.push(StatusChange { digest, status: Some(DigestStatus::Blocked) });
        }
        changes
    }

    /// The requests in flight at a crash that were in flight at earlier ones.
    fn rivals(&self, server: &Incarnation, crash: &Crash, now: Instant) -> Vec<Rival> {
        let rival = |(&digest, &phase): (&Digest, &RunPhase)| {
            let events = self.events_before(digest, server, crash, now);
            let pending = events.iter().filter(|event| !event.has_responded);
            let pending_crashes = count_apart(pending.copied());
            let earlier_crashes = count_apart(events.iter().copied());
            let rival = Rival { digest, phase, earlier_crashes, pending_crashes };
            (earlier_crashes > 0).then_some(rival)
        };
        let requests = crash.requests.iter().filter(|(digest, _)| !is_part(**digest));
        requests.filter_map(rival).collect()
    }

    /// Clears the digests that are suspect only because of crashes that `culprit` caused.
    ///
    /// Not those that were pending at several crashes: two harmful requests may run beside
    /// each other.
    fn explain_crashes(&mut self, culprit: Digest) -> Vec<StatusChange> {
        let events = self.digests.get(&culprit).into_iter();
        let events = events.flat_map(|tracked| &tracked.crashes);
        let mut servers: Vec<Incarnation> =
            events.filter_map(|event| event.incarnation.clone()).collect();
        servers.extend(self.parts.servers(culprit));
        for (server, crash) in &mut self.crashes {
            if crash.requests.contains_key(&culprit) {
                crash.is_explained = true;
                servers.push(server.clone());
            }
        }
        let is_explained = |event: &CrashEvent| {
            event.incarnation.as_ref().is_some_and(|server| servers.contains(server))
        };
        self.parts.remove(culprit);
        self.parts.remove_explained(&servers, culprit);
        let mut cleared = Vec::new();
        self.digests.retain(|&digest, tracked| {
            let pending = tracked.crashes.iter().filter(|event| !event.has_responded);
            let is_blocked = tracked.status == DigestStatus::Blocked;
            if digest == culprit || is_blocked || count_apart(pending) > 1 {
                return true;
            }
            tracked.crashes.retain(|event| !is_explained(event));
            if tracked.crashes.is_empty() {
                cleared.push(StatusChange { digest, status: None });
            }
            !tracked.crashes.is_empty()
        });
        cleared
    }

    /// The crashes before this one at which a digest was in flight, and which have causes of
    /// their own.
    fn events_before(
        &self,
        digest: Digest,
        server: &Incarnation,
        crash: &Crash,
        now: Instant,
    ) -> Vec<&CrashEvent> {
        let is_suspect = self.status(digest, now) == Some(DigestStatus::Suspect);
        let tracked = self.digests.get(&digest).filter(|_| is_suspect);
        let events = tracked.into_iter().flat_map(|tracked| &tracked.crashes);
        let is_earlier = |event: &&CrashEvent| {
            event.at <= crash.at
                && event.is_apart_from(server, crash.domain.as_ref(), crash.at)
        };
        events.filter(is_earlier).collect()
    }

    /// Until when it is undecided whether a digest caused a crash; `None` if it is decided
    /// or the digest was in flight at no earlier crash.
    fn undecided_until(&self, digest: Digest, now: Instant) -> Option<Instant> {
        let undecided = self.crashes.iter().filter(|(_, crash)| !crash.is_decided);
        let rivals = undecided.filter(|(server, crash)| {
            crash.requests.contains_key(&digest)
                && match is_part(digest) {
                    true => self.parts.is_suspect(digest, now),
                    false => !self.events_before(digest, server, crash, now).is_empty(),
                }
        });
        rivals.map(|(_, crash)| crash.at + SETTLE_TIME).filter(|at| now < *at).max()
    }

    fn begin(
        &mut self,
        server: &Incarnation,
        digest: Digest,
        parts: &[Digest],
        phase: RunPhase,
    ) -> DispatchId {
        self.last_dispatch += 1;
        let id = DispatchId(self.last_dispatch);
        let in_flight = self.in_flight.entry(server.clone()).or_default();
        in_flight.push(InFlight { id, digest, parts: parts.to_vec(), phase });
        id
    }

    /// Whether a copy, or a request with the part, is in flight at any server.
    fn is_running(&self, digest: Digest) -> bool {
        let mut in_flight = self.in_flight.values().flatten();
        in_flight
            .any(|request| request.digest == digest || request.parts.contains(&digest))
    }

    fn add_suspect(&mut self, digest: Digest, event: CrashEvent, now: Instant) {
        match self.status(digest, now) {
            Some(DigestStatus::Blocked) => return,
            Some(DigestStatus::Suspect) => {}
            None => drop(self.digests.swap_remove(&digest)),
        }
        let expires_at = now + SUSPECT_DURATION;
        let new = || TrackedDigest {
            status: DigestStatus::Suspect,
            since: event.at,
            expires_at,
            crashes: Vec::new(),
        };
        let tracked = self.digests.entry(digest).or_insert_with(new);
        tracked.expires_at = expires_at;
        retain_apart(&mut tracked.crashes, event);
        self.evict(now);
    }

    fn block(&mut self, digest: Digest, now: Instant) {
        let blocked = TrackedDigest {
            status: DigestStatus::Blocked,
            since: now,
            expires_at: now + BLOCK_DURATION,
            crashes: Vec::new(),
        };
        self.digests.insert(digest, blocked);
        self.evict(now);
    }

    fn runs_suspect(&self, server: &Incarnation, now: Instant) -> bool {
        let in_flight = self.in_flight.get(server);
        in_flight.into_iter().flatten().any(|request| {
            self.status(request.digest, now) == Some(DigestStatus::Suspect)
        })
    }

    /// Removes expired digests or, if there are none, the oldest suspect.
    fn evict(&mut self, now: Instant) {
        if self.digests.len() <= MAX_DIGESTS {
            return;
        }
        self.digests.retain(|_, tracked| now < tracked.expires_at);
        if self.digests.len() <= MAX_DIGESTS {
            return;
        }
        let is_suspect =
            |tracked: &TrackedDigest| tracked.status == DigestStatus::Suspect;
        let position = self.digests.values().position(is_suspect).unwrap_or(0);
        self.digests.shift_remove_index(position);
    }
}

/// Adds an event, unless one that belongs together with it says as much.
fn retain_apart(events: &mut Vec<CrashEvent>, event: CrashEvent) {
    let same = events.iter_mut().find(|known| !known.is_apart(&event));
    match same {
        Some(known) if known.has_responded && !event.has_responded => *known = event,
        Some(_) => {}
        None => events.push(event),
    }
    if events.len() > MAX_EVENTS {
        events.remove(0);
    }
}
