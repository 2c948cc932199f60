//! Moves, which change the models that runners hold, and their progress.
//!
//! A model is dropped only after the requests that run on it have finished, and the load
//! takes seconds after that. The registry lists the old state meanwhile; a planner that
//! relied on it alone would plan the same move again elsewhere, or drop the last replica
//! of a model.
//!
//! Freed room is not reserved for the model for which it was freed: requests take seconds
//! to finish, and demand may have shifted by then.

use std::time::{Duration, Instant};

use chestnut_base::{ModelName, ServerName};
use chestnut_edge::ServerEntry;
use serde::{Deserialize, Serialize};

/// How long a load counts as in progress beyond its expected time.
const LOAD_SLACK: Duration = Duration::from_millis(1500);

/// How long a dropped model may stay listed before the drop counts as failed.
///
/// The requests that run on it finish first, which takes as long as the longest streams. If
/// the drop were forgotten earlier, the replica would count as one that stays, and the
/// last one could be dropped elsewhere.
const DROP_TIMEOUT: Duration = Duration::from_secs(12);

/// A change of the models that a runner holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The runner that carries it out.
    pub server: ServerName,
    /// Models to drop; each has other replicas.
    pub drop: Vec<ModelName>,
    /// The model to load; `None` if the move only frees room.
    pub load: Option<ModelName>,
}

/// Progress of a move, with the deadline of its current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The dropped models may still be listed until then.
    Draining(Instant),
    /// The loaded model may be missing from the listing until then.
    Loading(Instant),
}

/// A move in progress.
#[derive(Debug)]
pub struct ActiveMove {
    /// The whole move, of which [`Self::current_step`] is a part.
    pub planned: Move,
    stage: Stage,
}

impl ActiveMove {
    /// Starts to free room.
    pub fn start_drain(planned: Move, now: Instant) -> Self {
        Self { planned, stage: Stage::Draining(now + DROP_TIMEOUT) }
    }

    /// Starts a load into free room, which is expected to take `load_time`.
    pub fn start_load(planned: Move, load_time: Duration, now: Instant) -> Self {
        Self { planned, stage: Stage::Loading(now + load_time + LOAD_SLACK) }
    }

    /// What the runner is to do now: drop or load, never both.
    pub fn current_step(&self) -> Move {
        let server = self.planned.server.clone();
        match self.stage {
            Stage::Draining(_) => Move { load: None, ..self.planned.clone() },
            Stage::Loading(_) => {
                Move { server, drop: Vec::new(), load: self.planned.load.clone() }
            }
        }
    }

    /// The model that the runner holds at the end of the move.
    pub fn target_model(&self) -> Option<&ModelName> {
        self.planned.load.as_ref()
    }

    /// The model for which room is being freed.
    pub fn awaiting_room(&self) -> Option<&ModelName> {
        match self.stage {
            Stage::Draining(_) => self.planned.load.as_ref(),
            Stage::Loading(_) => None,
        }
    }

    /// The model that is being loaded into free room.
    pub fn loading(&self) -> Option<&ModelName> {
        match self.stage {
            Stage::Draining(_) => None,
            Stage::Loading(_) => self.planned.load.as_ref(),
        }
    }

    /// Whether the runner's registry entry no longer lists the dropped models.
    pub fn is_drained(&self, runner: &ServerEntry) -> bool {
        !self.planned.drop.iter().any(|model| runner.has_model(model))
    }

    /// Whether the move is neither finished, by the runner's registry entry, nor timed out.
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
