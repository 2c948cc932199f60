//! Changes of what runners hold, and how long they are under way.
//!
//! A model that makes room goes only when its runs have ended, and a load takes seconds
//! after that. Meanwhile the registry lists what was; a planner that goes by it alone
//! would decide the same again elsewhere, or drop a model's last replica.
//!
//! Room that was made is not bound to the model for which it was made: the runs take
//! seconds to end, and demand may have turned by then.

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

/// How far a move is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// What is dropped may be listed until then.
    Draining(Instant),
    /// What is loaded may not be listed until then.
    Loading(Instant),
}

/// A move under way.
#[derive(Debug)]
pub struct ActiveMove {
    /// The move.
    pub planned: Move,
    stage: Stage,
}

impl ActiveMove {
    /// Starts to make room.
    pub fn start_drain(change: Move, now: Instant) -> Self {
        Self { planned: change, stage: Stage::Draining(now + DROP_TIME) }
    }

    /// Starts a load that takes `load`, into room that is there.
    pub fn start_load(change: Move, load: Duration, now: Instant) -> Self {
        Self { planned: change, stage: Stage::Loading(now + load + MOVE_SLACK) }
    }

    /// What the runner is to do now.
    pub fn current_step(&self) -> Move {
        let server = self.planned.server.clone();
        match self.stage {
            Stage::Draining(_) => Move { load: None, ..self.planned.clone() },
            Stage::Loading(_) => {
                Move { server, drop: Vec::new(), load: self.planned.load.clone() }
            }
        }
    }

    /// The model that the runner is to hold in the end.
    pub fn target_model(&self) -> Option<&ModelName> {
        self.planned.load.as_ref()
    }

    /// The model that room is made for.
    pub fn awaiting_room(&self) -> Option<&ModelName> {
        match self.stage {
            Stage::Draining(_) => self.planned.load.as_ref(),
            Stage::Loading(_) => None,
        }
    }

    /// The model that is being loaded, for which there was room.
    pub fn loading(&self) -> Option<&ModelName> {
        match self.stage {
            Stage::Draining(_) => None,
            Stage::Loading(_) => self.planned.load.as_ref(),
        }
    }

    /// Whether what it drops is gone, as far as the registry tells.
    pub fn is_drained(&self, runner: &ServerEntry) -> bool {
        !self.planned.drop.iter().any(|model| runner.has_model(model))
    }

    /// Whether the move is under way still, as far as the registry tells.
    pub fn is_active(&self, runner: &ServerEntry, now: Instant) -> bool {
        match self.stage {
            Stage::Draining(until) => now < until && !self.is_drained(runner),
            Stage::Loading(until) => {
                let loaded = self
                    .planned
                    .load
                    .as_ref()
                    .is_none_or(|model| runner.has_model(model));
                now < until && !loaded
            }
        }
    }
}
