//! What the planner goes by, and what it says.

use std::time::Duration;

/// What is known of a pool.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolState {
    /// Runners.
    pub runners: Vec<RunnerState>,
    /// Declared models.
    pub models: Vec<ModelState>,
    /// What a runner can serve, in tokens a second.
    pub runner_throughput: f64,
    /// Loads that may be under way at the same time.
    pub parallel_loads: usize,
    /// Whether replicas stay where they are, so that only room that is free is used.
    pub frozen: bool,
    /// What one percent of a runner's throughput is worth.
    pub attainment_weight: f64,
    /// What one move costs.
    pub move_weight: f64,
    /// How long a change of demand is expected to last.
    pub demand_horizon: Duration,
}

/// A runner.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerState {
    /// Its failure domain, as a number.
    pub domain: usize,
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// Memory that is taken by what no model in its declared version accounts
    /// for and that can't be freed now, in bytes.
    pub other_bytes: u64,
    /// Whether it may be given models; not if it is leaving.
    pub accepts_models: bool,
    /// Whether nothing can be loaded or dropped there for now.
    pub locked: bool,
}

/// A model in its declared version, with the adapters on top.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelState {
    /// The memory of a replica with its adapters, in bytes.
    pub bytes: u64,
    /// The declared number of replicas, at least 1.
    pub replicas: usize,
    /// How long a load takes.
    pub load_time: Duration,
    /// The demand to plan for, in tokens a second.
    pub demand: f64,
    /// The runners that hold it or are to hold it.
    pub placed: Vec<usize>,
    /// How many of them are still loading it.
    pub loading: usize,
    /// Runners that have a copy of the weights, so that a load there does not need
    /// the weight store.
    pub cached_on: Vec<usize>,
}

/// A plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// For each model, the runners that are to hold it.
    pub placed: Vec<Vec<usize>>,
    /// Models for which there is no room, with the number of missing replicas.
    pub unplaced: Vec<(usize, usize)>,
    /// Replicas that this plan adds, as model and runner, the most urgent first.
    pub added: Vec<(usize, usize)>,
}

impl PoolState {
    /// The memory of a runner that no model takes, in bytes.
    pub fn free_bytes(&self, runner: usize) -> u64 {
        let state = &self.runners[runner];
        let here = self.models.iter().filter(|model| model.placed.contains(&runner));
        let taken: u64 = here.map(|model| model.bytes).sum();
        state.capacity.saturating_sub(state.other_bytes).saturating_sub(taken)
    }
}
