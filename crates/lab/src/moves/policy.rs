//! Placement policies: the planner and its baselines.

use std::time::Duration;

use chestnut_place::balance::distribute_load;
use chestnut_place::planner::MAX_UTILIZATION;
use chestnut_place::{
    DemandEstimate, ModelState, PoolState, RunnerState, plan_placement,
};

use super::demand::STEP_SECONDS;
use super::deployment::DeploymentSpec;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The daemon's placement planner.
    Planner,
    /// Fills all memory evenly at the start and never moves a model.
    Static,
    /// Adds a replica of the most overloaded model to the least loaded runner in each step
    /// with an overload, and evicts the models with the least demand there.
    Greedy,
    /// Like `Greedy`, but evicts the least recently used replicas, also the last one of a
    /// model.
    LeastRecentlyUsed,
}

impl Policy {
    /// All policies, in output order.
    pub const ALL: [Self; 4] =
        [Self::Planner, Self::Static, Self::Greedy, Self::LeastRecentlyUsed];

    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner => "planner",
            Self::Static => "static",
            Self::Greedy => "greedy",
            Self::LeastRecentlyUsed => "lru",
        }
    }
}

/// A policy with its state between decisions.
pub struct PolicyState {
    policy: Policy,
    estimates: Vec<DemandEstimate>,
    /// Step in which each model was last used on each runner, by model, then by runner; 0
    /// if never.
    last_used: Vec<Vec<u64>>,
    step: u64,
}

impl PolicyState {
    /// Creates the state before the first decision.
    pub fn new(policy: Policy, spec: &DeploymentSpec) -> Self {
        Self {
            policy,
            estimates: vec![DemandEstimate::default(); spec.models.len()],
            last_used: vec![vec![0; spec.runners]; spec.models.len()],
            step: 0,
        }
    }

    /// Returns the next placement, as the runners of each model.
    ///
    /// `observed` is the demand on each model in this step, in tokens per second, `placed`
    /// the current placement, and `loading` the number of loads in progress per model.
    pub fn decide(
        &mut self,
        spec: &DeploymentSpec,
        observed: &[f64],
        placed: &[Vec<usize>],
        loading: &[usize],
    ) -> Vec<Vec<usize>> {
        self.step += 1;
        let time = Duration::from_secs_f64(STEP_SECONDS);
        for (estimate, rate) in self.estimates.iter_mut().zip(observed) {
            estimate.record(rate * STEP_SECONDS, time);
        }
        match self.policy {
            Policy::Planner => self.run_planner(spec, placed, loading),
            Policy::Static if self.step == 1 => fill_memory(spec),
            Policy::Static => placed.to_vec(),
            Policy::Greedy => update_or_fill(spec, placed, |placement| {
                place_greedily(spec, observed, placement)
            }),
            Policy::LeastRecentlyUsed => update_or_fill(spec, placed, |placement| {
                self.place_by_recency(spec, observed, placement)
            }),
        }
    }

    fn run_planner(
        &self,
        spec: &DeploymentSpec,
        placed: &[Vec<usize>],
        loading: &[usize],
    ) -> Vec<Vec<usize>> {
        let model = |index: usize| ModelState {
            bytes: spec.models[index].memory_gb,
            replicas: 1,
            load_time: spec.models[index].load_time,
            demand: self.estimates[index].estimate(),
            placed: placed[index].clone(),
            loading: loading[index],
            cached_on: Vec::new(),
        };
        let runner = |index| RunnerState {
            domain: index % spec.domains,
            capacity: spec.memory_gb,
            other_bytes: 0,
            accepts_models: true,
            locked: false,
            lost_throughput: 0.0,
        };
        let pool = PoolState {
            runners: (0..spec.runners).map(runner).collect(),
            models: (0..spec.models.len()).map(model).collect(),
            runner_throughput: spec.runner_throughput,
            parallel_loads: spec.max_parallel_loads,
            frozen: false,
            attainment_weight: spec.attainment_weight,
            move_weight: spec.move_weight,
            demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
        };
        plan_placement(&pool).placed
    }

    /// Replaces the least recently used replicas of a runner by one of the most overloaded
    /// model.
    fn place_by_recency(
        &mut self,
        spec: &DeploymentSpec,
        observed: &[f64],
        placement: &mut [Vec<usize>],
    ) {
        let distribution = distribute_load(observed, placement, &vec![0.0; spec.runners]);
        for (model, runners) in placement.iter().enumerate() {
            for (share, runner) in distribution.shares[model].iter().zip(runners) {
                // Less than 2 % of a runner's throughput doesn't count as use.
                if *share > 0.02 * spec.runner_throughput {
                    self.last_used[model][*runner] = self.step;
                }
            }
        }
        let Some(model) = most_overloaded_model(spec, observed, placement) else {
            return;
        };
        let runner = (0..spec.runners)
            .filter(|runner| !placement[model].contains(runner))
            .min_by(|a, b| distribution.loads[*a].total_cmp(&distribution.loads[*b]));
        let Some(runner) = runner else { return };
        while free_memory_gb(spec, placement, runner) < spec.models[model].memory_gb {
            let victim = (0..placement.len())
                .filter(|other| placement[*other].contains(&runner))
                .min_by_key(|other| self.last_used[*other][runner]);
            let Some(victim) = victim else { return };
            placement[victim].retain(|other| *other != runner);
        }
        placement[model].push(runner);
    }
}

/// Applies `update` to the placement. An empty pool gets the static placement instead, so
/// that all baselines start with full memory.
fn update_or_fill(
    spec: &DeploymentSpec,
    placed: &[Vec<usize>],
    update: impl FnOnce(&mut [Vec<usize>]),
) -> Vec<Vec<usize>> {
    if placed.iter().all(Vec::is_empty) {
        return fill_memory(spec);
    }
    let mut placement = placed.to_vec();
    update(&mut placement);
    placement
}

/// Places one replica of each model in turn, largest first, until none fits.
fn fill_memory(spec: &DeploymentSpec) -> Vec<Vec<usize>> {
    let mut placement = vec![Vec::new(); spec.models.len()];
    let mut order: Vec<usize> = (0..spec.models.len()).collect();
    order.sort_by_key(|model| std::cmp::Reverse(spec.models[*model].memory_gb));
    loop {
        let mut added = false;
        for model in &order {
            let runner = (0..spec.runners)
                .filter(|runner| !placement[*model].contains(runner))
                .filter(|runner| {
                    free_memory_gb(spec, &placement, *runner)
                        >= spec.models[*model].memory_gb
                })
                .max_by_key(|runner| free_memory_gb(spec, &placement, *runner));
            if let Some(runner) = runner {
                placement[*model].push(runner);
                added = true;
            }
        }
        if !added {
            return placement;
        }
    }
}

/// Adds a replica of the most overloaded model; evicts the models with the least demand on
/// its runner, but no last replica. Changes nothing if there is no room.
fn place_greedily(spec: &DeploymentSpec, observed: &[f64], placement: &mut [Vec<usize>]) {
    let Some(model) = most_overloaded_model(spec, observed, placement) else { return };
    let distribution = distribute_load(observed, placement, &vec![0.0; spec.runners]);
    let runner = (0..spec.runners)
        .filter(|runner| !placement[model].contains(runner))
        .min_by(|a, b| distribution.loads[*a].total_cmp(&distribution.loads[*b]));
    let Some(runner) = runner else { return };
    let mut next = placement.to_vec();
    while free_memory_gb(spec, &next, runner) < spec.models[model].memory_gb {
        let victim = (0..next.len())
            .filter(|other| next[*other].contains(&runner) && next[*other].len() > 1)
            .min_by(|a, b| observed[*a].total_cmp(&observed[*b]));
        let Some(victim) = victim else { return };
        next[victim].retain(|other| *other != runner);
    }
    next[model].push(runner);
    placement.clone_from_slice(&next);
}

/// The model with the most excess load on its runners; a model without a replica comes
/// first. `None` if every model has a replica and no runner is overloaded.
fn most_overloaded_model(
    spec: &DeploymentSpec,
    observed: &[f64],
    placement: &[Vec<usize>],
) -> Option<usize> {
    let distribution = distribute_load(observed, placement, &vec![0.0; spec.runners]);
    let limit = MAX_UTILIZATION * spec.runner_throughput;
    let excess = |model: usize| {
        if placement[model].is_empty() {
            return f64::MAX;
        }
        let excess_loads = placement[model]
            .iter()
            .map(|runner| (distribution.loads[*runner] - limit).max(0.0));
        excess_loads.sum::<f64>().min(observed[model])
    };
    (0..placement.len())
        .map(|model| (excess(model), model))
        .filter(|(excess, _)| *excess > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, model)| model)
}

fn free_memory_gb(spec: &DeploymentSpec, placement: &[Vec<usize>], runner: usize) -> u64 {
    let models =
        placement.iter().enumerate().filter(|(_, runners)| runners.contains(&runner));
    let used: u64 = models.map(|(model, _)| spec.models[model].memory_gb).sum();
    spec.memory_gb - used
}
