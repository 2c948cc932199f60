//! Small numbers that the system hands out itself.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::request::RequestId;

/// One start of a daemon; a restarted daemon gets a new one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

/// A number that grows with each change of a claim's holder.
///
/// Whoever receives an order compares it, so that a former holder is refused.
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

/// The number of a configuration; a later one is greater.
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

/// An order to a backend server; resending keeps it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// A part of the space of request ids, journalled by one daemon.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u16);

/// One try at a request; every retry gets its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId {
    /// The daemon that made the attempt.
    pub member: MemberId,
    /// The number of the attempt within the daemon.
    pub number: u64,
}

/// A 128-bit hash of a request's target and body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes the parts in order; the parts' boundaries count.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

/// The slot among `count` in which the request id is journalled.
pub fn slot_of(id: &RequestId, count: u16) -> SlotId {
    let mut text = String::from(id.caller.as_str());
    text.push('\n');
    text.push_str(&id.key);
    let slots = u64::from(count.max(1));
    SlotId((xxh3_64(text.as_bytes()) % slots) as u16)
}

/// The rank of `member` for `thing` in rendezvous hashing; the greatest wins.
pub fn rendezvous_rank(thing: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(thing.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}

/// The rank of a member that is to win in proportion to its weight; the greatest wins.
///
/// Among members of one weight it is the order of [`rendezvous_rank`].
pub fn weighted_rendezvous_rank(thing: &str, member: &str, weight: u32) -> f64 {
    // Between 0 and 1, and neither of them.
    let share = (rendezvous_rank(thing, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(weight.max(1)) / -share.ln()
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
