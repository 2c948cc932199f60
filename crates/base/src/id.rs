//! Identifiers that the system generates, and hashes for placement.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::name::ServerName;
use crate::request::RequestId;

/// Identifies one run of a daemon; a restarted daemon gets a new id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

/// A fencing token: increases each time a claim changes its holder.
///
/// Receivers of orders reject a fence that is older than the newest they have received,
/// so that a former holder can't act any more.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Default,
)]
pub struct Fence(pub u64);

/// The version of the configuration; increases with each change.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Default,
)]
pub struct Revision(pub u64);

/// Identifies an order to a backend server; a resent order keeps its id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// A partition of the request ids, with a journal that one daemon at a time writes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u16);

/// Identifies one attempt at a request; each retry has a new id.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// The daemon that made the attempt.
    pub member: MemberId,
    /// The sequence number of the attempt within that run of the daemon.
    pub number: u64,
}

/// One incarnation of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The name, which later incarnations may share.
    pub server: ServerName,
    /// Start time in Unix milliseconds, which distinguishes incarnations; `None` if unknown.
    pub started_at: Option<u64>,
}

/// A 128-bit hash that identifies a request's target and body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes the parts in order. Each is prefixed with its length, so that moving a
    /// boundary between parts changes the hash.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

/// The slot, out of `count`, whose journal records the request; a count of 0 counts as 1.
pub fn slot_of(id: &RequestId, count: u16) -> SlotId {
    let mut hash_input = String::from(id.caller.as_str());
    hash_input.push('\n');
    hash_input.push_str(&id.key);
    let slot_count = u64::from(count.max(1));
    SlotId((xxh3_64(hash_input.as_bytes()) % slot_count) as u16)
}

/// The rank of `member` for `key` in rendezvous hashing; the member with the highest
/// rank owns the key.
pub fn rendezvous_rank(key: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}

/// The rank of a daemon for a hashed key in rendezvous hashing; the highest rank owns the key.
pub fn digest_rank(key: Digest, member: MemberId) -> u64 {
    let mut input = [0; 24];
    input[..16].copy_from_slice(&key.0.to_le_bytes());
    input[16..].copy_from_slice(&member.0.to_le_bytes());
    xxh3_64(&input)
}

/// The rank of `member` for `key` in weighted rendezvous hashing; the highest wins.
///
/// Each member owns a fraction of the keys in proportion to its weight; a weight of 0
/// counts as 1. Members of equal weight have the same order as by [`rendezvous_rank`].
pub fn weighted_rendezvous_rank(key: &str, member: &str, weight: u32) -> f64 {
    // Between 0 and 1, so that the logarithm is finite and negative. The 1024 highest of
    // the 2^64 ranks are rounded to 1; their result is negative infinity.
    let uniform = (rendezvous_rank(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(weight.max(1)) / -uniform.ln()
}

impl Display for MemberId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.member, self.number)
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
