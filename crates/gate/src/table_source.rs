//! Decides from where a daemon updates its replica of a table.

use std::time::{Duration, Instant};

use crate::backoff::Backoff;
use crate::peers::HEARTBEAT_TIMEOUT;

/// Delay per rank before a daemon reads the store itself, so that one read serves all.
const READ_STAGGER: Duration = Duration::from_millis(40);

/// The number of ranks that differ in their delay.
const MAX_STAGGERED_RANKS: usize = 10;

/// Where the next changes of a table come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source<P> {
    /// The store, which may hold its response until there are changes.
    LongPoll,
    /// The store, which responds at once.
    Read,
    /// A daemon that has a newer version.
    Peer(P),
    /// Nowhere for now: the replica is current, or the store may not be called yet.
    Idle,
}

/// What a daemon knows of a table and its replica.
#[derive(Debug, Clone, Copy)]
pub struct TableView<P> {
    /// The daemon's rank among the readers of the table; 0 is the reader.
    pub rank: usize,
    /// Whether other daemons announce the table to this one.
    pub is_informed: bool,
    /// Whether the replica has been read.
    pub is_loaded: bool,
    /// Whether the daemon has run for long enough to know the others.
    ///
    /// Right after its start it would consider itself the reader.
    pub past_startup: bool,
    /// A live daemon that has a newer version.
    pub newer_peer: Option<P>,
    /// Time since the store confirmed the replica; `None` without a confirmation.
    pub age: Option<Duration>,
    /// How long the replica counts as current after a confirmation.
    pub freshness_limit: Duration,
}

impl<P> TableView<P> {
    /// Decides where the next changes come from.
    pub fn source(self, backoff: &Backoff, now: Instant) -> Source<P> {
        let may_call = self.may_call(backoff, now);
        match self {
            Self { is_loaded: false, .. } if may_call => Source::Read,
            Self { is_loaded: false, .. } => Source::Idle,
            Self { rank: 0, past_startup: true, .. } if may_call => Source::LongPoll,
            Self { newer_peer: Some(peer), .. } => Source::Peer(peer),
            view if may_call && !view.is_current() => Source::Read,
            _ => Source::Idle,
        }
    }

    /// Whether the store may be called after failed calls.
    ///
    /// A daemon that is told nothing can't leave the calls to others.
    pub fn may_call(&self, backoff: &Backoff, now: Instant) -> bool {
        let rank = if self.is_informed { self.rank } else { 0 };
        backoff.may_call(rank, now)
    }

    fn is_current(&self) -> bool {
        let staggered = self.rank.min(MAX_STAGGERED_RANKS) as u32;
        let limit = self.freshness_limit + READ_STAGGER * staggered;
        self.age.is_some_and(|age| age < limit)
    }
}

/// What other daemons announced of a table, whichever version they have.
#[derive(Debug, Clone, Copy, Default)]
pub struct Announcements {
    /// When the last one arrived.
    received_at: Option<Instant>,
    /// When the store last responded to any of the daemons.
    responded_at: Option<Instant>,
}

impl Announcements {
    /// Records an announcement by which the store last responded at `responded_at`.
    pub fn record(&mut self, responded_at: Option<Instant>, now: Instant) {
        self.received_at = Some(now);
        self.responded_at = self.responded_at.max(responded_at);
    }

    /// When the store last responded to any of the daemons.
    pub fn responded_at(&self) -> Option<Instant> {
        self.responded_at
    }

    /// Whether others still announce the table.
    pub fn are_recent(&self, now: Instant) -> bool {
        let age = self.received_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < HEARTBEAT_TIMEOUT)
    }
}
