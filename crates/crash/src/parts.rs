//! Finds the parts of prompts that crash backend servers.
//!
//! # Load pattern
//!
//! A part of a prompt crashes every server that begins to respond to it. Requests with that
//! part come at any daemon, and no two of them are alike, so that nothing is learnt from the
//! digests of whole requests. They share their other parts with sound requests.
//!
//! # Algorithm
//!
//! A crash makes the parts of all requests suspect to which the server had not responded.
//! The last part of a prompt belongs to one request and is left out. A response to a request
//! clears its parts, at all daemons. A part that was in flight at several crashes, in
//! different requests and without a response in between, is their cause if no other part was
//! in flight at as many.
//!
//! Servers of a failure domain that crash within a second count once, since they may have failed
//! together. A part that no server responds to is blocked all the same after several such
//! crashes: many requests with it may come at once, and end all servers of a domain.
//!
//! Parts that were responded to shortly before a crash are blocked only after further ones, and
//! behind parts that weren't: a first part that a whole route shares is in flight at each
//! crash, and a few crashes may follow each other faster than the next response.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, Incarnation};
use indexmap::{IndexMap, IndexSet};

use crate::evidence::CrashEvent;
use crate::tracker::{MAX_DIGESTS, SUSPECT_DURATION};

/// The upper half of the digests of parts.
const PART_TAG: u128 = 0x7061_7274_206f_6620 << 64;

/// How long a response to a part speaks for it.
const PROOF_TTL: Duration = Duration::from_secs(30);

/// How long after its start a daemon doesn't know which parts servers respond to.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// The number of crashes after which a part is blocked.
const MIN_CRASHES: usize = 2;

/// The same at a daemon that has just started.
const MIN_CRASHES_LEARNING: usize = 3;

/// The same for a part that was responded to shortly before.
const MIN_CRASHES_PROVEN: usize = 4;

/// The number of crashes after which a part without a response is blocked, also if the servers
/// may have failed together.
const MAX_SERVERS: usize = 5;

/// The number of crashes after which parts that can't be told apart are blocked together.
const CERTAIN_CRASHES: usize = 4;

/// The maximum number of parts whose last response is tracked.
const MAX_PROOFS: usize = 8192;

/// The number of crashes that are retained for each part; more than have to be apart, since the
/// servers of a failure domain may fail together.
const MAX_CRASHES: usize = 16;

/// The digest of a part of a prompt, which names its id; it differs from those of requests.
pub fn part_digest(id: u64) -> Digest {
    Digest(PART_TAG | u128::from(id))
}

/// Whether a digest is that of a part.
pub fn is_part(digest: Digest) -> bool {
    digest.0 >> 64 == PART_TAG >> 64
}

/// A crash at which a part was in flight in requests without a response.
#[derive(Debug, Clone)]
struct PartCrash {
    crash: CrashEvent,
    /// The requests, all different; at most [`MAX_SERVERS`], which are enough to count one for
    /// each of as many crashes.
    requests: Vec<Digest>,
}

#[derive(Debug, Clone)]
struct SuspectPart {
    /// Oldest first; all after the last response to the part.
    crashes: Vec<PartCrash>,
    expires_at: Instant,
}

impl SuspectPart {
    /// Adds a request that was in flight at a crash.
    fn record(&mut self, crash: CrashEvent, request: Digest) {
        let is_same = |known: &&mut PartCrash| {
            known.crash.incarnation == crash.incarnation && !known.crash.is_apart(&crash)
        };
        match self.crashes.iter_mut().find(is_same) {
            Some(known) if known.requests.contains(&request) => {}
            Some(known) if known.requests.len() >= MAX_SERVERS => {}
            Some(known) => known.requests.push(request),
            None => self.crashes.push(PartCrash { crash, requests: vec![request] }),
        }
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(self.least_telling());
        }
    }

    /// The last crash that belongs together with an earlier one; the oldest if there is none.
    fn least_telling(&self) -> usize {
        let is_repeated = |index: &usize| {
            let (earlier, rest) = self.crashes.split_at(*index);
            earlier.iter().any(|known| !known.crash.is_apart(&rest[0].crash))
        };
        (0..self.crashes.len()).rev().find(is_repeated).unwrap_or(0)
    }

    /// Whether its first crash came this soon after another time.
    fn is_within(&self, at: Instant, time: Duration) -> bool {
        let first = self.crashes.first();
        first.is_some_and(|first| first.crash.at.saturating_duration_since(at) < time)
    }

    /// The number of crashes with causes of their own at which it was in flight, each in
    /// another request.
    fn crash_count(&self) -> usize {
        count_crashes(&self.apart_requests())
    }

    /// The same of all crashes, also those of servers that may have failed together.
    fn server_count(&self) -> usize {
        let requests = self.crashes.iter().map(|known| known.requests.clone());
        count_crashes(&requests.collect::<Vec<_>>())
    }

    /// The requests in flight at crashes that belong together, for each cause.
    fn apart_requests(&self) -> Vec<Vec<Digest>> {
        let mut apart: Vec<(&CrashEvent, Vec<Digest>)> = Vec::new();
        for PartCrash { crash, requests } in &self.crashes {
            match apart.iter_mut().find(|(first, _)| !first.is_apart(crash)) {
                Some((_, known)) => known.extend(requests),
                None => apart.push((crash, requests.clone())),
            }
        }
        apart.into_iter().map(|(_, requests)| requests).collect()
    }
}

/// The largest number of crashes for which a request each can be counted, by the requests in
/// flight at each.
fn count_crashes(requests: &[Vec<Digest>]) -> usize {
    let mut counted_for: IndexMap<Digest, usize> = IndexMap::new();
    let mut is_counted = |index: &usize| {
        count_request(*index, requests, &mut counted_for, &mut IndexSet::new())
    };
    (0..requests.len()).filter(|index| is_counted(index)).count()
}

/// Counts a request for a crash, and other requests for the crashes that it was counted for so
/// far; returns whether there is one for each.
fn count_request(
    crash: usize,
    requests: &[Vec<Digest>],
    counted_for: &mut IndexMap<Digest, usize>,
    tried: &mut IndexSet<Digest>,
) -> bool {
    for request in &requests[crash] {
        if !tried.insert(*request) {
            continue;
        }
        let other = counted_for.get(request).copied();
        if other.is_none_or(|other| count_request(other, requests, counted_for, tried)) {
            counted_for.insert(*request, crash);
            return true;
        }
    }
    false
}

/// Suspect parts, and those that servers have responded to.
#[derive(Debug, Default)]
pub(crate) struct PartTracker {
    suspects: IndexMap<Digest, SuspectPart>,
    /// When a server last responded to a request with the part.
    proofs: IndexMap<Digest, Instant>,
    /// When the first response or crash was recorded; `None` before that.
    started_at: Option<Instant>,
}

impl PartTracker {
    /// Records a response to a request with these parts; returns those that were suspect.
    pub fn record_response(&mut self, parts: &[Digest], now: Instant) -> Vec<Digest> {
        self.started_at.get_or_insert(now);
        let mut cleared = Vec::new();
        for part in parts {
            self.proofs.insert(*part, now);
            if self.suspects.swap_remove(part).is_some() {
                cleared.push(*part);
            }
        }
        if self.proofs.len() > MAX_PROOFS {
            self.evict_proofs(now);
        }
        cleared
    }

    /// Records that a part was in flight at a crash in a request without a response.
    pub fn record_crash(
        &mut self,
        part: Digest,
        crash: CrashEvent,
        request: Digest,
        now: Instant,
    ) {
        self.started_at.get_or_insert(now);
        let expires_at = now + SUSPECT_DURATION;
        let new = || SuspectPart { crashes: Vec::new(), expires_at };
        let suspect = self.suspects.entry(part).or_insert_with(new);
        suspect.expires_at = expires_at;
        suspect.record(crash, request);
        if self.suspects.len() > MAX_DIGESTS {
            self.suspects.retain(|_, suspect| now < suspect.expires_at);
            if self.suspects.len() > MAX_DIGESTS {
                self.suspects.shift_remove_index(0);
            }
        }
    }

    /// Whether a part may crash servers, by what is known so far.
    pub fn is_suspect(&self, part: Digest, now: Instant) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| {
            let min_crashes = match self.has_proof(part, suspect) {
                true => MIN_CRASHES,
                false => 1,
            };
            now < suspect.expires_at && suspect.crash_count() >= min_crashes
        })
    }

    /// Whether a part was responded to shortly before it became suspect, so that other daemons
    /// need not suspect it.
    pub fn is_proven(&self, part: Digest) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| {
            self.has_proof(part, suspect)
                && suspect.crash_count() + 1 < MIN_CRASHES_PROVEN
        })
    }

    /// Those of the parts in flight at a crash that caused it; none if that is uncertain.
    ///
    /// Parts without a response shortly before go first.
    pub fn find_culprits(&self, parts: impl Iterator<Item = Digest>) -> Vec<Digest> {
        let rival = |part: Digest| {
            let suspect = self.suspects.get(&part)?;
            let has_proof = self.has_proof(part, suspect);
            let (crashes, servers) = (suspect.crash_count(), suspect.server_count());
            let is_likely = crashes >= self.min_crashes(part, suspect)
                || !has_proof && servers >= MAX_SERVERS;
            is_likely.then_some((part, (!has_proof, crashes, servers)))
        };
        let rivals: Vec<(Digest, (bool, usize, usize))> =
            parts.filter_map(rival).collect();
        let Some(first) = rivals.iter().map(|(_, rank)| *rank).max() else {
            return Vec::new();
        };
        let culprits = rivals.iter().filter(|(_, rank)| *rank == first);
        let culprits: Vec<Digest> = culprits.map(|(part, _)| *part).collect();
        let (_, crashes, servers) = first;
        let is_certain = crashes >= CERTAIN_CRASHES || servers >= MAX_SERVERS;
        match culprits.len() > 1 && !is_certain {
            true => Vec::new(),
            false => culprits,
        }
    }

    /// The servers at whose crashes a part was in flight.
    pub fn servers(&self, part: Digest) -> Vec<Incarnation> {
        let crashes = self.suspects.get(&part).into_iter().flat_map(|part| &part.crashes);
        crashes.filter_map(|known| known.crash.incarnation.clone()).collect()
    }

    /// Forgets a part.
    pub fn remove(&mut self, part: Digest) {
        self.suspects.swap_remove(&part);
    }

    /// Forgets crashes whose cause was found, but for the request that caused them.
    pub fn remove_explained(&mut self, servers: &[Incarnation], culprit: Digest) {
        let is_explained = |crash: &CrashEvent| {
            crash.incarnation.as_ref().is_some_and(|server| servers.contains(server))
        };
        self.suspects.retain(|_, suspect| {
            for known in &mut suspect.crashes {
                if is_explained(&known.crash) {
                    known.requests.retain(|request| *request == culprit);
                }
            }
            suspect.crashes.retain(|known| !known.requests.is_empty());
            !suspect.crashes.is_empty()
        });
    }

    fn min_crashes(&self, part: Digest, suspect: &SuspectPart) -> usize {
        // A daemon that has just started knows of few responses.
        let is_new =
            self.started_at.is_none_or(|at| suspect.is_within(at, LEARNING_TIME));
        match self.has_proof(part, suspect) {
            true => MIN_CRASHES_PROVEN,
            false if is_new => MIN_CRASHES_LEARNING,
            false => MIN_CRASHES,
        }
    }

    fn has_proof(&self, part: Digest, suspect: &SuspectPart) -> bool {
        self.proofs.get(&part).is_some_and(|at| suspect.is_within(*at, PROOF_TTL))
    }

    /// Forgets old responses and, if there are none, the older half.
    fn evict_proofs(&mut self, now: Instant) {
        self.proofs.retain(|_, at| now.saturating_duration_since(*at) < PROOF_TTL);
        if self.proofs.len() > MAX_PROOFS {
            let mut times: Vec<Instant> = self.proofs.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.proofs.retain(|_, at| *at > median);
        }
    }
}
