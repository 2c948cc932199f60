//! Input and output of the planner.

use std::time::Duration;

/// The state of a pool that a plan starts from.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PoolState {
    /// Runners of the pool; others refer to them by index.
    pub runners: Vec<RunnerState>,
    /// Declared models; others refer to them by index.
    pub models: Vec<ModelState>,
    /// The throughput of a runner, in tokens per second.
    pub runner_throughput: f64,
    /// The number of loads that may be in progress at the same time.
    pub parallel_loads: usize,
    /// Whether existing replicas stay where they are, so that only free memory is used.
    pub frozen: bool,
    /// The value of serving one more percent of a runner's throughput in time.
    pub attainment_weight: f64,
    /// The cost of one move.
    pub move_weight: f64,
    /// How long a change of demand is expected to last.
    pub demand_horizon: Duration,
}

/// A runner as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerState {
    /// Index of its failure domain.
    pub domain: usize,
    /// The memory for models and adapters, in bytes.
    pub capacity: u64,
    /// Memory that no model in its declared version accounts for and that can't be freed
    /// now, in bytes.
    pub other_bytes: u64,
    /// Whether it may get models; false if it is leaving.
    pub accepts_models: bool,
    /// Whether nothing can be loaded or dropped there for now.
    pub locked: bool,
    /// The throughput that no model can use, in tokens per second; negative if the runner
    /// has more than others.
    pub lost_throughput: f64,
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
    /// The demand to plan for, in tokens per second.
    pub demand: f64,
    /// The runners that hold it or are planned to hold it.
    pub placed: Vec<usize>,
    /// The number of runners in `placed` that are still loading it.
    pub loading: usize,
    /// Runners that have a copy of the weights, so that a load there does not need
    /// the weight store.
    pub cached_on: Vec<usize>,
}

/// The planned placement of a pool's models.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// For each model, the runners that should hold it.
    pub placed: Vec<Vec<usize>>,
    /// Models that do not fit, with the number of missing replicas.
    pub unplaced: Vec<(usize, usize)>,
    /// Replicas that this plan adds, as model and runner, the most urgent first.
    pub added: Vec<(usize, usize)>,
}

impl PoolState {
    /// The memory of a runner that no model occupies, in bytes.
    pub fn free_bytes(&self, runner: usize) -> u64 {
        let state = &self.runners[runner];
        let held = self.models.iter().filter(|model| model.placed.contains(&runner));
        let used: u64 = held.map(|model| model.bytes).sum();
        state.capacity.saturating_sub(state.other_bytes).saturating_sub(used)
    }
}
