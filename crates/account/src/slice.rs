//! The holder's side of a slice of an account's limit.
//!
//! One daemon at a time holds a slice and charges each request to the slice's bucket. Its
//! right to do so ends by itself: it charges only while the store has confirmed within
//! [`GRANT_TERM`] that it holds the claim. A daemon that takes the claim over from one that
//! may still be running waits for longer than that, so that no slice is charged twice.
//! Over all holders, a window never exceeds the limit by more than the slice's capacity and
//! what new holders start with.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_base::{CallerName, MemberId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::bucket::Bucket;
use crate::limit::SliceLimit;

/// How long a holder may charge after the store confirmed its claim.
pub const GRANT_TERM: Duration = Duration::from_millis(3500);

/// How long a daemon that took a claim over waits before it charges.
///
/// The confirmations of the former holder are from before the claim was taken. The margin
/// covers their transit between daemons.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(4000);

/// How long after a charge its cost may be given back.
///
/// Costs given back later would let a window exceed the limit by what earlier windows did
/// not use.
const REFUND_LIMIT: Duration = Duration::from_millis(1000);

/// How long a holder remembers charges, so that a resent request is charged once.
const CHARGE_MEMORY: Duration = Duration::from_millis(2000);

/// The shortest and the longest time for which a slice is reported as empty.
const EMPTY_TIME: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(250));

/// The longest time after which refused callers are asked to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);

/// A slice of an account's limit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slice {
    /// The account.
    pub account: CallerName,
    /// The slice's index, below [`Limit::slice_count`](crate::Limit::slice_count).
    pub index: u32,
}

/// Identifies a charge; a resent one keeps its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChargeId {
    /// The daemon that received the request.
    pub member: MemberId,
    /// The number of the charge at that daemon.
    pub number: u64,
}

/// How a daemon came to hold a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceStart {
    /// No daemon held it before.
    First,
    /// The former holder has stopped charging.
    Released,
    /// The former holder was an earlier process on the same VM, which had ended by then.
    Restarted(Instant),
    /// The former holder may still be running.
    Seized,
}

/// The decision on a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request is within the limit.
    Granted,
    /// The slice does not hold enough.
    Refused {
        /// When the caller may return, in milliseconds.
        retry_ms: u32,
        /// For how long the slice stays nearly empty, in milliseconds.
        empty_ms: u32,
    },
    /// The daemon may not charge the slice.
    NotHolder,
}

/// Whether a holder may charge a slice.
///
/// `confirmation_age` is the age of the store's confirmation of the claim; `None` if there
/// is none since the daemon was suspended.
pub fn may_grant(confirmation_age: Option<Duration>) -> bool {
    confirmation_age.is_some_and(|age| age < GRANT_TERM)
}

#[derive(Debug, Clone, Copy)]
struct ChargeRecord {
    cost: f64,
    charged_at: Instant,
}

/// A slice that this daemon holds.
#[derive(Debug)]
pub struct HeldSlice {
    bucket: Bucket,
    /// Before this time another daemon may be charging the slice.
    starts_at: Instant,
    /// Granted charges; each is also in `order`.
    charges: IndexMap<ChargeId, ChargeRecord>,
    /// Granted charges by age, the oldest first; some may have been given back.
    order: VecDeque<ChargeId>,
    /// Until when callers have been asked to return.
    returns_until: Instant,
}

impl HeldSlice {
    /// Creates a slice that this daemon holds as of `now`.
    pub fn new(start: SliceStart, limit: &SliceLimit, now: Instant) -> Self {
        // The bucket fills from when on nobody else can have charged the slice.
        let (balance, fills_from, starts_at) = match start {
            SliceStart::First => (limit.capacity, now, now),
            SliceStart::Released => (limit.takeover, now, now),
            SliceStart::Restarted(since) => (limit.takeover, since, now),
            SliceStart::Seized => {
                (limit.takeover, now + GRANT_TERM, now + TAKEOVER_DELAY)
            }
        };
        Self {
            bucket: Bucket::new(balance.min(limit.capacity), fills_from),
            starts_at,
            charges: IndexMap::new(),
            order: VecDeque::new(),
            returns_until: now,
        }
    }

    /// Whether no other daemon can be charging the slice any more.
    pub fn is_exclusive(&self, now: Instant) -> bool {
        now >= self.starts_at
    }

    /// What the slice holds.
    pub fn balance(&self) -> f64 {
        self.bucket.balance()
    }

    /// Charges a request; one that was granted before is granted again at no cost.
    pub fn charge(
        &mut self,
        id: ChargeId,
        cost: f64,
        limit: &SliceLimit,
        now: Instant,
    ) -> Verdict {
        if !self.is_exclusive(now) {
            return Verdict::NotHolder;
        }
        self.forget_old(now);
        if self.charges.contains_key(&id) {
            return Verdict::Granted;
        }
        self.bucket.fill(limit, now);
        if self.bucket.take(cost, limit) {
            self.charges.insert(id, ChargeRecord { cost, charged_at: now });
            self.order.push_back(id);
            return Verdict::Granted;
        }
        self.refuse(cost, limit, now)
    }

    /// Gives the cost of a charge back; has no effect if the charge is unknown, was given
    /// back before, or is older than a second.
    pub fn refund(&mut self, id: ChargeId, limit: &SliceLimit, now: Instant) {
        let Some(charge) = self.charges.swap_remove(&id) else { return };
        if now.saturating_duration_since(charge.charged_at) <= REFUND_LIMIT {
            self.bucket.fill(limit, now);
            self.bucket.give_back(charge.cost, limit);
        }
    }

    /// Refuses a charge. Callers are asked to return one after the other, at the rate at
    /// which the bucket fills.
    fn refuse(&mut self, cost: f64, limit: &SliceLimit, now: Instant) -> Verdict {
        let empty = self.bucket.time_until(cost, limit);
        let refill = Duration::try_from_secs_f64(cost / (limit.rate * limit.slices));
        let latest = now + MAX_RETURN_DELAY;
        let returns_at = self.returns_until.max(now + empty.min(MAX_RETURN_DELAY));
        let next = returns_at + refill.unwrap_or(MAX_RETURN_DELAY).min(MAX_RETURN_DELAY);
        self.returns_until = next.min(latest);
        let (min, max) = EMPTY_TIME;
        Verdict::Refused {
            retry_ms: millis_rounded_up(returns_at.saturating_duration_since(now)),
            empty_ms: millis_rounded_up(empty.clamp(min, max)),
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(id) = self.order.front() {
            let charge = self.charges.get(id);
            let is_old = |charge: &ChargeRecord| {
                now.saturating_duration_since(charge.charged_at) > CHARGE_MEMORY
            };
            if charge.is_some_and(|charge| !is_old(charge)) {
                break;
            }
            self.charges.swap_remove(id);
            self.order.pop_front();
        }
    }
}

fn millis_rounded_up(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
