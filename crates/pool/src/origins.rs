//! Where the streams that callers may resume began.
//!
//! A caller that resumes a stream names the attempt that got its first event, and reaches any
//! daemon, also when the one that began the stream has ended. A daemon therefore records the
//! origin of a stream before it passes the first event on, at itself and, while a service has
//! several software versions, at a few others, which [`record_keepers`] derives from the
//! attempt. Records expire with their callers' time.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use chestnut_base::id::digest_rank;
use chestnut_base::{Digest, DomainName, MemberId, ServiceName, SoftwareVersion};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// The most records that a daemon keeps; the oldest go first.
pub const MAX_RECORDS: usize = 1 << 16;

/// The longest time for which a record is kept.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// How often expired records are removed.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the server; `None` if it named none.
    pub software: Option<SoftwareVersion>,
}

/// A record of a stream, as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Identifies the attempt that got the first event.
    pub attempt: Digest,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// How much longer the record is kept, in milliseconds.
    pub lifetime_ms: u32,
}

#[derive(Debug, Clone)]
struct Entry {
    /// `None` if two different origins were recorded.
    origin: Option<StreamOrigin>,
    expires_at: Instant,
}

/// The records of streams that a daemon keeps.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// In the order in which they were first recorded; at most [`MAX_RECORDS`].
    entries: IndexMap<Digest, Entry>,
    pruned_at: Option<Instant>,
}

impl StreamOrigins {
    /// Records where the stream of an attempt began; the later end of its lifetime counts.
    ///
    /// An id that callers use for two streams of different origins identifies neither.
    pub fn record(&mut self, record: OriginRecord, now: Instant) {
        self.prune(now);
        let lifetime = Duration::from_millis(record.lifetime_ms.into()).min(MAX_LIFETIME);
        let expires_at = now + lifetime;
        let OriginRecord { attempt, origin, .. } = record;
        let new = Entry { origin: Some(origin), expires_at };
        match self.entries.get_mut(&attempt) {
            Some(entry) if entry.expires_at > now => {
                entry.expires_at = entry.expires_at.max(expires_at);
                if entry.origin != new.origin {
                    entry.origin = None;
                }
            }
            _ => drop(self.entries.insert(attempt, new)),
        }
        if self.entries.len() > MAX_RECORDS {
            self.entries.drain(..MAX_RECORDS / 8);
        }
    }

    /// Where the stream of an attempt began; `None` if it is not known.
    pub fn get(&self, attempt: Digest, now: Instant) -> Option<&StreamOrigin> {
        let entry = self.entries.get(&attempt).filter(|entry| entry.expires_at > now);
        entry?.origin.as_ref()
    }

    /// The records of a service's streams, as they are sent to other daemons.
    pub fn of_service(&self, service: &ServiceName, now: Instant) -> Vec<OriginRecord> {
        let record = |(attempt, entry): (&Digest, &Entry)| {
            let origin = entry.origin.clone().filter(|o| o.service == *service)?;
            let lifetime = entry.expires_at.saturating_duration_since(now);
            let lifetime_ms = lifetime.as_millis() as u32;
            let attempt = *attempt;
            (lifetime_ms > 0).then_some(OriginRecord { attempt, origin, lifetime_ms })
        };
        self.entries.iter().filter_map(record).collect()
    }

    /// The number of records, including expired ones.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    fn prune(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PRUNE_PERIOD;
        if !self.pruned_at.is_some_and(is_recent) {
            self.pruned_at = Some(now);
            self.entries.retain(|_, entry| entry.expires_at > now);
        }
    }
}

/// The daemons at which the record of an attempt is looked for, in this order, out of
/// `members`; the first of them keep it.
///
/// The first are in different failure domains, as far as there are any.
pub fn record_keepers<'a>(
    attempt: Digest,
    members: impl IntoIterator<Item = (MemberId, &'a DomainName)>,
    count: usize,
) -> Vec<MemberId> {
    let ranked = |(member, domain)| (digest_rank(attempt, member), member, domain);
    let mut ranked: Vec<_> = members.into_iter().map(ranked).collect();
    ranked.sort_unstable_by_key(|(rank, member, _)| Reverse((*rank, *member)));
    let mut domains = IndexSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, _, domain)| domains.insert(*domain));
    first.into_iter().chain(rest).map(|(_, member, _)| member).take(count).collect()
}
