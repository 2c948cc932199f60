//! Changes of what runners hold, and how long they are under way.
//!
//! A model that makes room goes only when its runs have ended, and a load takes seconds
//! after that. Meanwhile the registry lists what was; a planner that goes by it alone
//! would decide the same again elsewhere, or drop a model's last replica.

use std::time::{Duration, Instant};

use chestnut_base::{ModelName, ServerName};
use chestnut_edge::ServerEntry;
use serde::{Deserialize, Serialize};

/// How long a move that was asked for counts as under way, beyond its load.
const MOVE_SLACK: Duration = Duration::from_millis(1500);

/// How long a model that makes room may be listed before its drop counts as failed.
///
/// Its runs end first, which takes as long as the longest streams; forgotten before, the
/// replica would count as one that stays, and the last one be dropped elsewhere.
const DROP_TIME: Duration = Duration::from_secs(12);

/// A change of what a runner holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The runner.
    pub server: ServerName,
    /// Models that make room; each has other replicas.
    pub drop: Vec<ModelName>,
    /// The model to load, if it is not only room that is wanted.
    pub load: Option<ModelName>,
}

/// A move under way.
#[derive(Debug)]
pub struct Moving {
    /// The move.
    pub change: Move,
    /// Until when what it drops may still be listed.
    drops: Instant,
    /// Until when what it loads may still not be listed.
    loads: Instant,
}

impl Moving {
    /// Starts a move whose load takes `load`.
    pub fn new(change: Move, load: Duration, now: Instant) -> Self {
        Self { change, drops: now + DROP_TIME, loads: now + load + MOVE_SLACK }
    }

    /// Whether the move is under way still, as far as the registry tells.
    pub fn lasts(&self, runner: &ServerEntry, now: Instant) -> bool {
        let lists = |model: &ModelName| runner.holds(model);
        if self.change.drop.iter().any(lists) {
            return now < self.drops;
        }
        let waits = self.change.load.as_ref().is_some_and(|model| !lists(model));
        waits && now < self.loads
    }

    /// Gives up a load that is not there in time; what was to make room goes on.
    ///
    /// Its callers need not wait for the runs to end: it is planned for elsewhere.
    pub fn give_up_load(&mut self, now: Instant) {
        if now >= self.loads {
            self.change.load = None;
        }
    }
}
