//! Decides from where a daemon updates its replica of a table.

use std::time::Duration;

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
    /// Whether the store may be called, or failed calls must be backed off.
    pub may_call: bool,
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
    pub fn source(self) -> Source<P> {
        match self {
            Self { is_loaded: false, may_call, .. } => {
                if may_call {
                    Source::Read
                } else {
                    Source::Idle
                }
            }
            Self { rank: 0, past_startup: true, may_call: true, .. } => Source::LongPoll,
            Self { newer_peer: Some(peer), .. } => Source::Peer(peer),
            view if view.is_current() || !view.may_call => Source::Idle,
            _ => Source::Read,
        }
    }

    fn is_current(&self) -> bool {
        let staggered = self.rank.min(MAX_STAGGERED_RANKS) as u32;
        let limit = self.freshness_limit + READ_STAGGER * staggered;
        self.age.is_some_and(|age| age < limit)
    }
}
