//! Finds the requests that crash backend servers.
//!
//! # Load pattern
//!
//! Occasionally a request crashes every backend server that runs it, and its caller
//! sends it again, sometimes under a new id. Without this module each retry and each
//! resend would cost another backend server with everything that runs on it, until
//! the pool is empty.
//!
//! # Algorithm
//!
//! A crash makes every request in flight on the server a suspect. Suspects are
//! identified by the digest of the request, so a new id doesn't hide one. A backend
//! server runs one suspect at a time, so the next crash with a suspect in flight
//! identifies a single digest, which is then blocked. A harmful request thus costs two
//! backend servers, if its copies come one after another. Suspects that complete are
//! cleared, as are those that cause no crash for [`SUSPECT_DURATION`].
//!
//! Servers that fail together, for example with their rack, do so within a second. A
//! request that is retried at once could be in flight on two of them and would be
//! blocked for a failure that it did not cause. So a suspect is dispatched again only
//! [`CRASH_WINDOW`] after the crash, and only a crash during such a dispatch blocks it.
//!
//! # False positives
//!
//! A server may fail for another reason while a suspect runs on it, which blocks an
//! innocent request. With 110 of 12,000 VMs failing a day, the chance is about 1 in
//! 10⁷ for each second that a suspect runs. Requiring a third crash would lower it,
//! at the cost of one more server for each harmful request.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, ServerName};
use indexmap::{IndexMap, IndexSet};

/// How long a digest stays suspect if it doesn't run again.
///
/// Callers retry a failed request within their deadlines, which are minutes.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);

/// How long after a crash of a backend server further cut streams there count as the
/// same crash.
///
/// A dying process still accepts connections for some milliseconds. A request that is
/// sent to it then is cut as well, which must not block an innocent suspect. Engines
/// need many seconds to start and load a model, so a second crash can't happen within
/// this time. Servers that lose a common power supply fail within it too.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// How long a digest stays blocked.
///
/// Within a day someone has examined the request or fixed the engine.
pub const BLOCK_DURATION: Duration = Duration::from_secs(24 * 3600);

/// The maximum number of digests that are tracked.
///
/// At 100 bytes each they take under half a megabyte; a crash adds at most the
/// streams of one backend server.
pub const MAX_DIGESTS: usize = 4096;

/// Identifies one dispatch of a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId(u64);

/// Whether a request may be dispatched to a backend server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It may; it now counts as in flight.
    Dispatch(DispatchId),
    /// Another suspect runs on the backend server; wait until it has finished.
    Wait,
    /// It became a suspect recently; wait until this time, by which every server that
    /// fails together with the first has failed.
    WaitUntil(Instant),
    /// The digest is blocked.
    Refuse,
}

/// The status of a digest that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestStatus {
    /// It was in flight at a crash, possibly among others.
    Suspect,
    /// It was the only suspect in flight at a second crash.
    Blocked,
}

/// A change of a digest's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// Hash of the target and the body of the request.
    pub digest: Digest,
    /// The new status; `None` if the digest was cleared.
    pub status: Option<DigestStatus>,
}

#[derive(Debug, Clone, Copy)]
struct TrackedDigest {
    status: DigestStatus,
    /// When it first became a suspect.
    since: Instant,
    expires_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    id: DispatchId,
    digest: Digest,
    /// Dispatched as a suspect, so that a crash can block the digest.
    was_suspect: bool,
}

/// Tracks suspect and blocked digests and the requests in flight on each server.
#[derive(Debug, Default)]
pub struct CrashTracker {
    digests: IndexMap<Digest, TrackedDigest>,
    in_flight: IndexMap<ServerName, Vec<InFlight>>,
    /// When backend servers crashed; retained for [`CRASH_WINDOW`].
    crashes: IndexMap<ServerName, Instant>,
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

    /// Decides whether a request may be dispatched, and if so counts it as in flight.
    pub fn try_dispatch(
        &mut self,
        server: &ServerName,
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
        self.last_dispatch += 1;
        let id = DispatchId(self.last_dispatch);
        let in_flight = self.in_flight.entry(server.clone()).or_default();
        in_flight.push(InFlight { id, digest, was_suspect: status.is_some() });
        DispatchDecision::Dispatch(id)
    }

    /// Whether a request is still in flight and no crash was attributed to it.
    pub fn is_in_flight(&self, server: &ServerName, id: DispatchId) -> bool {
        let in_flight = self.in_flight.get(server);
        in_flight.is_some_and(|requests| requests.iter().any(|request| request.id == id))
    }

    /// Records that a request is no longer in flight; if it completed, a suspect is
    /// cleared.
    pub fn finish(
        &mut self,
        server: &ServerName,
        id: DispatchId,
        completed: bool,
    ) -> Option<StatusChange> {
        let in_flight = self.in_flight.get_mut(server)?;
        let position = in_flight.iter().position(|request| request.id == id)?;
        let request = in_flight.swap_remove(position);
        if in_flight.is_empty() {
            self.in_flight.swap_remove(server);
        }
        let is_suspect =
            |tracked: &TrackedDigest| tracked.status == DigestStatus::Suspect;
        let cleared =
            completed && self.digests.get(&request.digest).is_some_and(is_suspect);
        if !cleared {
            return None;
        }
        self.digests.swap_remove(&request.digest);
        Some(StatusChange { digest: request.digest, status: None })
    }

    /// Attributes the crash of a backend server to the requests in flight on it.
    ///
    /// They no longer count as in flight, so their own later reports of the same crash
    /// have no effect.
    pub fn record_crash(
        &mut self,
        server: &ServerName,
        now: Instant,
    ) -> Vec<StatusChange> {
        let in_flight = self.in_flight.swap_remove(server).unwrap_or_default();
        let dispatched_as_suspect: IndexSet<Digest> = in_flight
            .iter()
            .filter(|request| request.was_suspect)
            .map(|request| request.digest)
            .collect();
        let digests: IndexSet<Digest> =
            in_flight.into_iter().map(|request| request.digest).collect();
        let suspects: Vec<Digest> = digests
            .iter()
            .copied()
            .filter(|digest| self.status(*digest, now).is_some())
            .collect();
        self.crashes.retain(|_, at| now < *at + CRASH_WINDOW);
        let same_crash = self.crashes.contains_key(server);
        self.crashes.entry(server.clone()).or_insert(now);
        let culprit = match suspects.as_slice() {
            [only] if !same_crash && dispatched_as_suspect.contains(only) => Some(*only),
            // The cause is uncertain: there was no suspect or more than one, the suspect
            // became one only while it ran, or the cut streams belong to an earlier
            // crash.
            _ => None,
        };
        let change = |digest: Digest| {
            let status = match culprit == Some(digest) {
                true => DigestStatus::Blocked,
                false => DigestStatus::Suspect,
            };
            StatusChange { digest, status: Some(status) }
        };
        let changes: Vec<_> = digests.into_iter().map(change).collect();
        for change in &changes {
            self.apply(*change, now);
        }
        changes
    }

    /// Applies a status change, also one from another daemon; a blocked digest doesn't
    /// become a suspect again.
    pub fn apply(&mut self, change: StatusChange, now: Instant) {
        let Some(status) = change.status else {
            self.digests.swap_remove(&change.digest);
            return;
        };
        let current = self.status(change.digest, now);
        if current == Some(DigestStatus::Blocked) && status == DigestStatus::Suspect {
            return;
        }
        let duration = match status {
            DigestStatus::Suspect => SUSPECT_DURATION,
            DigestStatus::Blocked => BLOCK_DURATION,
        };
        // A repeated report is no new crash and doesn't restart the crash window.
        let tracked = self.digests.get(&change.digest).filter(|_| current.is_some());
        let since = tracked.map_or(now, |tracked| tracked.since);
        self.digests.insert(
            change.digest,
            TrackedDigest { status, since, expires_at: now + duration },
        );
        if self.digests.len() > MAX_DIGESTS {
            self.evict(now);
        }
    }

    /// The numbers of suspect and of blocked digests, in this order.
    pub fn counts(&self) -> (usize, usize) {
        let is_blocked =
            |tracked: &&TrackedDigest| tracked.status == DigestStatus::Blocked;
        let blocked = self.digests.values().filter(is_blocked).count();
        (self.digests.len() - blocked, blocked)
    }

    fn runs_suspect(&self, server: &ServerName, now: Instant) -> bool {
        let in_flight = self.in_flight.get(server);
        in_flight.into_iter().flatten().any(|request| {
            self.status(request.digest, now) == Some(DigestStatus::Suspect)
        })
    }

    /// Removes expired digests or, if there are none, the oldest suspect.
    fn evict(&mut self, now: Instant) {
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
