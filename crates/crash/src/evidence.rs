//! What is known of one crash, and which of the requests in flight caused it.

use std::time::{Duration, Instant};

use chestnut_base::{Digest, DomainName, Incarnation};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::parts::is_part;

/// How long after a crash of a backend server further cut streams there, and further
/// crashes in its failure domain, count as the same crash.
///
/// A dying process still accepts connections for some milliseconds. A request that is
/// sent to it then is cut as well, which must not block an innocent suspect. Engines
/// need many seconds to start and load a model, so a second crash can't happen within
/// this time. Servers that lose a common power supply fail within it too.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// The number of earlier crashes after which rivals that can't be told apart are blocked
/// together.
const CERTAIN_CRASHES: usize = 3;

/// The number of earlier crashes after which a request is blocked to which the server was
/// already responding.
const MIN_CRASHES_RESPONDING: usize = 2;

/// The requests that one daemon had in flight at a server that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// The failure domain of the server; `None` if unknown.
    pub domain: Option<DomainName>,
    /// The requests in flight, each followed by the parts of its prompt.
    pub requests: Vec<ReportedRequest>,
}

impl CrashReport {
    /// Divides the report into several with at most `max` digests each, as far as single
    /// requests allow.
    pub fn split(&self, max: usize) -> Vec<Self> {
        let mut reports: Vec<Self> = Vec::new();
        let follows = |_: &ReportedRequest, next: &ReportedRequest| is_part(next.digest);
        for group in self.requests.chunk_by(follows) {
            match reports.last_mut() {
                Some(last) if last.requests.len() + group.len() <= max => {
                    last.requests.extend_from_slice(group);
                }
                _ => reports.push(Self { requests: group.to_vec(), ..self.clone() }),
            }
        }
        reports
    }
}

/// A request in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedRequest {
    /// Identifies the request and its copies.
    pub digest: Digest,
    /// How far it was.
    pub phase: RunPhase,
}

/// How far a request was at a crash.
///
/// A request that crashes servers does so soon after they begin to run it, while a server
/// that fails for another reason mostly cuts off requests that it was responding to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunPhase {
    /// Unknown.
    Unknown {
        /// It was a suspect when it was dispatched. What became one only while it ran has
        /// not been tried again since.
        was_suspect: bool,
    },
    /// The server had not responded.
    Pending,
    /// The server had begun to respond.
    Responding,
}

/// The crash of one incarnation of a server.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    /// The failure domain of the server; `None` if unknown.
    pub domain: Option<DomainName>,
    /// When it was first reported.
    pub at: Instant,
    /// The requests in flight, as far as reported.
    pub requests: IndexMap<Digest, RunPhase>,
    /// Whether all reports so far were considered.
    pub is_decided: bool,
    /// Whether the cause was found.
    pub is_explained: bool,
}

/// A crash at which a digest was in flight.
#[derive(Debug, Clone)]
pub(crate) struct CrashEvent {
    /// The incarnation that crashed; `None` if another daemon reported only the digest.
    pub incarnation: Option<Incarnation>,
    /// The failure domain of the server; `None` if unknown.
    pub domain: Option<DomainName>,
    /// When it was first reported.
    pub at: Instant,
    /// Whether the server had begun to respond to the request.
    pub has_responded: bool,
}

/// A request in flight at a crash that was in flight at an earlier one, too.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rival {
    pub digest: Digest,
    pub phase: RunPhase,
    /// The number of earlier crashes, at least one.
    pub earlier_crashes: usize,
    /// The number of those at which the server had not responded to it.
    pub pending_crashes: usize,
}

impl RunPhase {
    /// The phase of two copies of a request together.
    pub(crate) fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Responding, Self::Responding) => Self::Responding,
            (Self::Unknown { was_suspect: a }, Self::Unknown { was_suspect: b }) => {
                Self::Unknown { was_suspect: a || b }
            }
            (Self::Pending, _) | (_, Self::Pending) => Self::Pending,
            (unknown @ Self::Unknown { .. }, Self::Responding)
            | (Self::Responding, unknown @ Self::Unknown { .. }) => unknown,
        }
    }
}

impl CrashEvent {
    /// Whether two crashes have causes of their own.
    pub fn is_apart(&self, other: &Self) -> bool {
        match &other.incarnation {
            Some(server) => self.is_apart_from(server, other.domain.as_ref(), other.at),
            None => true,
        }
    }

    /// Whether another crash has a cause of its own. Servers of one failure domain that
    /// fail within [`CRASH_WINDOW`] fail together.
    pub fn is_apart_from(
        &self,
        incarnation: &Incarnation,
        domain: Option<&DomainName>,
        at: Instant,
    ) -> bool {
        if self.incarnation.as_ref() == Some(incarnation)
            && incarnation.started_at.is_some()
        {
            return false;
        }
        let domains = self.domain.as_ref().zip(domain);
        let in_other_domain = domains.is_some_and(|(own, other)| own != other);
        let (first, last) = (self.at.min(at), self.at.max(at));
        in_other_domain || last - first >= CRASH_WINDOW
    }
}

/// The number of crashes, of which those that belong together count once.
pub(crate) fn count_apart<'a>(events: impl Iterator<Item = &'a CrashEvent>) -> usize {
    let mut apart: Vec<&CrashEvent> = Vec::new();
    for event in events {
        if apart.iter().all(|counted| counted.is_apart(event)) {
            apart.push(event);
        }
    }
    apart.len()
}

/// The digests that caused a crash; none if that is uncertain.
///
/// Of the rivals to which the server had not responded, the one that was in flight without
/// a response at the most earlier crashes caused this one. Only if there is none, a request
/// that was already running may have caused it.
pub(crate) fn find_culprits(rivals: &[Rival]) -> Vec<Digest> {
    let is_pending =
        |rival: &&Rival| rival.phase != RunPhase::Responding && rival.pending_crashes > 0;
    let pending: Vec<&Rival> = rivals.iter().filter(is_pending).collect();
    if pending.is_empty() {
        let is_likely = |rival: &&Rival| rival.earlier_crashes >= MIN_CRASHES_RESPONDING;
        let likely = rivals.iter().filter(is_likely).collect();
        return most_frequent(likely, |rival| rival.earlier_crashes);
    }
    most_frequent(pending, |rival| rival.pending_crashes)
}

/// The rival with the most crashes; of several, none unless they are certain.
fn most_frequent(rivals: Vec<&Rival>, crashes: impl Fn(&Rival) -> usize) -> Vec<Digest> {
    let most = rivals.iter().map(|rival| crashes(rival)).max().unwrap_or_default();
    let first = rivals.into_iter().filter(|rival| crashes(rival) == most);
    let first: Vec<&Rival> = first.collect();
    if first.len() > 1 && most < CERTAIN_CRASHES {
        return Vec::new();
    }
    let was_tried_again =
        |rival: &&Rival| rival.phase != RunPhase::Unknown { was_suspect: false };
    first.into_iter().filter(was_tried_again).map(|rival| rival.digest).collect()
}
