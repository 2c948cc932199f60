//! The times for which servers want no requests from this daemon.
//!
//! Load pattern: a server that is overloaded rejects requests at once, so that it seems idle and
//! gets more of them, and its callers use up their retries there. It therefore names a time in
//! which the daemon sends it nothing; other daemons may send.

use std::time::{Duration, Instant};

use chestnut_base::Incarnation;
use indexmap::IndexMap;

/// The ends of the rests that servers have asked for.
///
/// They are kept apart from the registry's entries, which may lapse and return meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Rests(IndexMap<Incarnation, Instant>);

impl Rests {
    /// Records that a server asked for rest; returns the end of its rest. Of several the latest
    /// end counts, since responses may overtake each other.
    pub fn record(
        &mut self,
        server: &Incarnation,
        rest: Duration,
        now: Instant,
    ) -> Instant {
        self.0.retain(|_, until| *until > now);
        let until = now + rest;
        let end = self.0.entry(server.clone()).or_insert(until);
        *end = until.max(*end);
        *end
    }

    /// Whether no rest is recorded, not even one that is over.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// When the last rest of a server ends, which may be over; `None` if it never asked for
    /// one.
    pub fn end(&self, server: &Incarnation) -> Option<Instant> {
        self.0.get(server).copied()
    }
}
