//! Which request crashes backend servers.
//!
//! # Load pattern
//!
//! Now and then a request crashes each backend server that runs it, and its
//! caller sends it again, at times under a new id. Without this module every
//! retry and every resend costs another backend server with all that runs on it,
//! until the pool is empty.
//!
//! # Decision
//!
//! A crash makes everything in flight there a suspect, by the digest of its body,
//! so that a new id does not hide it. A backend server runs one suspect at a
//! time. So the next crash with a suspect in flight names one digest, which is
//! convicted: two backend servers are lost per harmful request, if its copies
//! come one after another. CrashTracker that complete are cleared, as are those that
//! nothing happened to for [`SUSPECT_DURATION`].
//!
//! Servers that fail together, with their rack, die within a second. A request that is
//! sent again at once would be in flight at two of them, and be convicted by a failure
//! that it has no part in. So a suspect is dispatched again only [`CRASH_WINDOW`] after
//! the crash, and only a crash during a dispatch that waited so convicts it.
//!
//! # Grounds
//!
//! A server may die for another reason while a suspect runs alone, which convicts
//! an innocent request. With 110 of 12,000 VMs failing a day, the chance is about
//! 1 in 10⁷ for each second that a suspect runs. Asking for a third crash would
//! lower it and cost one more server for each harmful request.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, ServerName};
use indexmap::{IndexMap, IndexSet};

/// How long a digest stays suspect if it does not run again.
///
/// Callers send a broken request again within their deadlines, which are minutes.
pub const SUSPECT_DURATION: Duration = Duration::from_secs(600);

/// How long after a crash of a backend server another cut there is the same crash.
///
/// A dying process still accepts connections for some milliseconds; what is handed
/// to it then is cut again, and an innocent suspect would be convicted by it.
/// Engines need many seconds to start and load a model, so that no second crash
/// falls into this time. Servers that lose a common power supply die within it too.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// How long a convicted digest is refused.
///
/// A day: by then people have looked at the request or the engine was mended.
pub const BLOCK_DURATION: Duration = Duration::from_secs(24 * 3600);

/// The greatest number of digests that are remembered.
///
/// At 100 bytes each they take under half a megabyte; a crash adds at most the
/// streams of one backend server.
pub const MAX_DIGESTS: usize = 4096;

/// One request in flight at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId(u64);

/// Whether a request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It may.
    Dispatch(DispatchId),
    /// Another suspect runs on the backend server; wait until it is done.
    Wait,
    /// It became a suspect lately; wait until this time, when every server that failed
    /// together with the first is known to be dead.
    WaitUntil(Instant),
    /// The request is refused for good.
    Refuse,
}

/// What is held against a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestStatus {
    /// It was in flight at one crash, among others.
    Suspect,
    /// It was the only suspect in flight at a second crash.
    Blocked,
}

/// A change of what is held against a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusChange {
    /// The digest.
    pub digest: Digest,
    /// What is held against it now; nothing if it was cleared.
    pub status: Option<DigestStatus>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    evidence: DigestStatus,
    /// When it was learnt first.
    since: Instant,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    id: DispatchId,
    digest: Digest,
    /// Dispatched as a suspect, so that a crash during it convicts.
    tried: bool,
}

/// CrashTracker, convicted digests, and what is in flight where.
#[derive(Debug, Default)]
pub struct CrashTracker {
    held: IndexMap<Digest, Held>,
    flights: IndexMap<ServerName, Vec<Flight>>,
    /// When backend servers crashed last; kept for [`CRASH_WINDOW`].
    crashes: IndexMap<ServerName, Instant>,
    numbers: u64,
}

impl CrashTracker {
    /// Creates the state of a daemon that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is held against a digest.
    pub fn status(&self, digest: Digest, now: Instant) -> Option<DigestStatus> {
        let held = self.held.get(&digest)?;
        (now < held.until).then_some(held.evidence)
    }

    /// Lets a request be dispatched, or not; whoever passes is in flight.
    pub fn try_dispatch(
        &mut self,
        server: &ServerName,
        digest: Digest,
        now: Instant,
    ) -> DispatchDecision {
        let evidence = self.status(digest, now);
        match evidence {
            Some(DigestStatus::Blocked) => return DispatchDecision::Refuse,
            Some(DigestStatus::Suspect) => {
                let settled = self.held[&digest].since + CRASH_WINDOW;
                if now < settled {
                    return DispatchDecision::WaitUntil(settled);
                }
                // With two suspects in flight a crash would not tell which it was.
                if self.runs_suspect(server, now) {
                    return DispatchDecision::Wait;
                }
            }
            None => {}
        }
        self.numbers += 1;
        let id = DispatchId(self.numbers);
        let flights = self.flights.entry(server.clone()).or_default();
        flights.push(Flight { id, digest, tried: evidence.is_some() });
        DispatchDecision::Dispatch(id)
    }

    /// Whether a request is in flight, and no crash was attributed to it.
    pub fn is_in_flight(&self, server: &ServerName, id: DispatchId) -> bool {
        let flights = self.flights.get(server);
        flights.is_some_and(|flights| flights.iter().any(|flight| flight.id == id))
    }

    /// Takes note that a request is in flight no more, and whether it completed.
    pub fn finish(
        &mut self,
        server: &ServerName,
        id: DispatchId,
        whole: bool,
    ) -> Option<StatusChange> {
        let flights = self.flights.get_mut(server)?;
        let place = flights.iter().position(|flight| flight.id == id)?;
        let flight = flights.swap_remove(place);
        if flights.is_empty() {
            self.flights.swap_remove(server);
        }
        let suspect = |held: &Held| held.evidence == DigestStatus::Suspect;
        let cleared = whole && self.held.get(&flight.digest).is_some_and(suspect);
        if !cleared {
            return None;
        }
        self.held.swap_remove(&flight.digest);
        Some(StatusChange { digest: flight.digest, status: None })
    }

    /// Attributes the crash of a backend server to what is in flight there.
    ///
    /// The flights end with it, so that their later reports of the same crash
    /// change nothing.
    pub fn record_crash(
        &mut self,
        server: &ServerName,
        now: Instant,
    ) -> Vec<StatusChange> {
        let flights = self.flights.swap_remove(server).unwrap_or_default();
        let tried: IndexSet<Digest> = flights
            .iter()
            .filter(|flight| flight.tried)
            .map(|flight| flight.digest)
            .collect();
        let digests: IndexSet<Digest> =
            flights.into_iter().map(|flight| flight.digest).collect();
        let suspects: Vec<Digest> = digests
            .iter()
            .copied()
            .filter(|digest| self.status(*digest, now).is_some())
            .collect();
        self.crashes.retain(|_, at| now < *at + CRASH_WINDOW);
        let again = self.crashes.contains_key(server);
        self.crashes.entry(server.clone()).or_insert(now);
        let lone = match suspects.as_slice() {
            [lone] if !again && tried.contains(lone) => Some(*lone),
            // Nothing was suspect before, or the suspects became so while they ran:
            // each of them may have done it, or what killed the other server.
            _ => None,
        };
        let verdict = |digest: Digest| {
            let evidence = match lone == Some(digest) {
                true => DigestStatus::Blocked,
                false => DigestStatus::Suspect,
            };
            StatusChange { digest, status: Some(evidence) }
        };
        let verdicts: Vec<_> = digests.into_iter().map(verdict).collect();
        for verdict in &verdicts {
            self.apply(*verdict, now);
        }
        verdicts
    }

    /// Takes in a verdict, whoever came to it; a conviction outlasts a suspicion.
    pub fn apply(&mut self, verdict: StatusChange, now: Instant) {
        let Some(evidence) = verdict.status else {
            self.held.swap_remove(&verdict.digest);
            return;
        };
        let held = self.status(verdict.digest, now);
        if held == Some(DigestStatus::Blocked) && evidence == DigestStatus::Suspect {
            return;
        }
        let time = match evidence {
            DigestStatus::Suspect => SUSPECT_DURATION,
            DigestStatus::Blocked => BLOCK_DURATION,
        };
        // A suspicion told again is no new crash, and is not waited for again.
        let known = self.held.get(&verdict.digest).filter(|_| held.is_some());
        let since = known.map_or(now, |known| known.since);
        self.held.insert(verdict.digest, Held { evidence, since, until: now + time });
        if self.held.len() > MAX_DIGESTS {
            self.make_room(now);
        }
    }

    /// The number of suspects and of convicted digests.
    pub fn counts(&self) -> (usize, usize) {
        let convicted = |held: &&Held| held.evidence == DigestStatus::Blocked;
        let count = self.held.values().filter(convicted).count();
        (self.held.len() - count, count)
    }

    fn runs_suspect(&self, server: &ServerName, now: Instant) -> bool {
        let flights = self.flights.get(server);
        flights
            .into_iter()
            .flatten()
            .any(|flight| self.status(flight.digest, now) == Some(DigestStatus::Suspect))
    }

    /// Drops what is over, else the oldest suspicion.
    fn make_room(&mut self, now: Instant) {
        self.held.retain(|_, held| now < held.until);
        if self.held.len() <= MAX_DIGESTS {
            return;
        }
        let suspect = |held: &Held| held.evidence == DigestStatus::Suspect;
        let place = self.held.values().position(suspect).unwrap_or(0);
        self.held.shift_remove_index(place);
    }
}
