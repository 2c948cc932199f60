//! Decides whether the declarations are recent enough to trust a key.
//!
//! A key that was removed must not be served later than a bound after the removal, also by
//! a daemon that can't reach the store. A daemon therefore serves keys only while the store
//! has confirmed its declarations recently. The age of a confirmation counts from when the
//! read that it answers was sent, on a clock that no wall-clock step affects.

use std::time::Duration;

/// The share of the bound up to which keys are trusted.
///
/// The rest covers what an age doesn't include: the transit of confirmations that other
/// daemons pass on, and their time in the sockets of busy daemons.
const TRUSTED_SHARE: f64 = 0.75;

/// The share of the bound from which callers are better served elsewhere.
const DEGRADED_SHARE: f64 = 0.6;

/// How long after its removal a key may still be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevocationBound(pub Duration);

/// Whether a daemon may trust keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofState {
    /// The declarations were confirmed recently.
    Current,
    /// Keys are still trusted, but new callers should connect to another daemon.
    Aging,
    /// Keys can't be trusted: one of them may have been removed.
    Expired,
}

impl RevocationBound {
    /// The state of a proof with that age; `None` if there is no confirmation.
    pub fn state(self, age: Option<Duration>) -> ProofState {
        match age {
            Some(age) if age < self.0.mul_f64(DEGRADED_SHARE) => ProofState::Current,
            Some(age) if age < self.0.mul_f64(TRUSTED_SHARE) => ProofState::Aging,
            Some(_) | None => ProofState::Expired,
        }
    }
}
