//! Who decides where models are: the planner and its baselines.

use std::time::Duration;

use chestnut_place::balance::distribute_load;
use chestnut_place::planner::MAX_UTILIZATION;
use chestnut_place::{
    DemandEstimate, ModelState, PoolState, RunnerState, plan_placement,
};

use super::demand::STEP_SECONDS;
use super::deployment::DeploymentSpec;

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The planner of the daemon.
    Planner,
    /// All memory is filled once, evenly, and nothing moves.
    Static,
    /// The model that lacks most gets a replica on the emptiest runner, at once.
    Greedy,
    /// A model that lacks throughput gets a replica in place of the one that
    /// was least recently needed; nothing is kept back.
    LeastRecentlyUsed,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] =
        [Self::Planner, Self::Static, Self::Greedy, Self::LeastRecentlyUsed];

    /// The name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planner => "planner",
            Self::Static => "static",
            Self::Greedy => "greedy",
            Self::LeastRecentlyUsed => "lru",
        }
    }
}

/// The state of a policy between its decisions.
pub struct PolicyState {
    policy: Policy,
    averages: Vec<DemandEstimate>,
    /// For each model and runner, the step at which the replica was last needed.
    needed: Vec<Vec<u64>>,
    step: u64,
}

impl PolicyState {
    /// Creates a decider that knows nothing yet.
    pub fn new(policy: Policy, spec: &DeploymentSpec) -> Self {
        Self {
            policy,
            averages: vec![DemandEstimate::default(); spec.models.len()],
            needed: vec![vec![0; spec.runners]; spec.models.len()],
            step: 0,
        }
    }

    /// The placement that is wanted next.
    pub fn decide(
        &mut self,
        spec: &DeploymentSpec,
        observed: &[f64],
        placed: &[Vec<usize>],
        loading: &[usize],
    ) -> Vec<Vec<usize>> {
        self.step += 1;
        let time = Duration::from_secs_f64(STEP_SECONDS);
        for (average, rate) in self.averages.iter_mut().zip(observed) {
            average.record(rate * STEP_SECONDS, time);
        }
        match self.policy {
            Policy::Planner => self.planned(spec, placed, loading),
            Policy::Static if self.step == 1 => filled(spec),
            Policy::Static => placed.to_vec(),
            Policy::Greedy => {
                first_then(spec, placed, |held| greedy(spec, observed, held))
            }
            Policy::LeastRecentlyUsed => {
                first_then(spec, placed, |held| self.least_recent(spec, observed, held))
            }
        }
    }

    fn planned(
        &self,
        spec: &DeploymentSpec,
        placed: &[Vec<usize>],
        loading: &[usize],
    ) -> Vec<Vec<usize>> {
        let model = |index: usize| ModelState {
            bytes: spec.models[index].memory_gb,
            replicas: 1,
            load_time: spec.models[index].load_time,
            demand: self.averages[index].estimate(),
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
        };
        let pool = PoolState {
            runners: (0..spec.runners).map(runner).collect(),
            models: (0..spec.models.len()).map(model).collect(),
            runner_throughput: spec.throughput,
            parallel_loads: spec.max_parallel_loads,
            frozen: false,
            attainment_weight: spec.attainment_weight,
            move_weight: spec.move_weight,
            demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
        };
        plan_placement(&pool).placed
    }

    /// Replaces the least recently needed replicas by one of the neediest model.
    fn least_recent(
        &mut self,
        spec: &DeploymentSpec,
        observed: &[f64],
        held: &mut [Vec<usize>],
    ) {
        let spread = distribute_load(observed, held, spec.runners);
        for (model, at) in held.iter().enumerate() {
            for (share, runner) in spread.shares[model].iter().zip(at) {
                if *share > 0.02 * spec.throughput {
                    self.needed[model][*runner] = self.step;
                }
            }
        }
        let Some(model) = neediest(spec, observed, held) else { return };
        let runner = (0..spec.runners)
            .filter(|runner| !held[model].contains(runner))
            .min_by(|a, b| spread.loads[*a].total_cmp(&spread.loads[*b]));
        let Some(runner) = runner else { return };
        while room(spec, held, runner) < spec.models[model].memory_gb {
            let victim = (0..held.len())
                .filter(|other| held[*other].contains(&runner))
                .min_by_key(|other| self.needed[*other][runner]);
            let Some(victim) = victim else { return };
            held[victim].retain(|at| *at != runner);
        }
        held[model].push(runner);
    }
}

/// Starts as the static placement does, so that all start with full memory.
fn first_then(
    spec: &DeploymentSpec,
    placed: &[Vec<usize>],
    step: impl FnOnce(&mut [Vec<usize>]),
) -> Vec<Vec<usize>> {
    if placed.iter().all(Vec::is_empty) {
        return filled(spec);
    }
    let mut held = placed.to_vec();
    step(&mut held);
    held
}

/// One replica of each model after the other until nothing fits any more.
fn filled(spec: &DeploymentSpec) -> Vec<Vec<usize>> {
    let mut held = vec![Vec::new(); spec.models.len()];
    let mut order: Vec<usize> = (0..spec.models.len()).collect();
    order.sort_by_key(|model| std::cmp::Reverse(spec.models[*model].memory_gb));
    loop {
        let mut placed = false;
        for model in &order {
            let runner = (0..spec.runners)
                .filter(|runner| !held[*model].contains(runner))
                .filter(|runner| {
                    room(spec, &held, *runner) >= spec.models[*model].memory_gb
                })
                .max_by_key(|runner| room(spec, &held, *runner));
            if let Some(runner) = runner {
                held[*model].push(runner);
                placed = true;
            }
        }
        if !placed {
            return held;
        }
    }
}

/// Gives the neediest model a replica, dropping whatever has least demand there.
fn greedy(spec: &DeploymentSpec, observed: &[f64], held: &mut [Vec<usize>]) {
    let Some(model) = neediest(spec, observed, held) else { return };
    let spread = distribute_load(observed, held, spec.runners);
    let runner = (0..spec.runners)
        .filter(|runner| !held[model].contains(runner))
        .min_by(|a, b| spread.loads[*a].total_cmp(&spread.loads[*b]));
    let Some(runner) = runner else { return };
    let mut next = held.to_vec();
    while room(spec, &next, runner) < spec.models[model].memory_gb {
        let victim = (0..next.len())
            .filter(|other| next[*other].contains(&runner) && next[*other].len() > 1)
            .min_by(|a, b| observed[*a].total_cmp(&observed[*b]));
        let Some(victim) = victim else { return };
        next[victim].retain(|at| *at != runner);
    }
    next[model].push(runner);
    held.clone_from_slice(&next);
}

/// The model whose runners are overloaded most, if any is; one that is nowhere
/// goes first.
fn neediest(
    spec: &DeploymentSpec,
    observed: &[f64],
    held: &[Vec<usize>],
) -> Option<usize> {
    let spread = distribute_load(observed, held, spec.runners);
    let limit = MAX_UTILIZATION * spec.throughput;
    let lack = |model: usize| {
        if held[model].is_empty() {
            return f64::MAX;
        }
        let over = held[model].iter().map(|at| (spread.loads[*at] - limit).max(0.0));
        over.sum::<f64>().min(observed[model])
    };
    (0..held.len())
        .map(|model| (lack(model), model))
        .filter(|(lack, _)| *lack > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, model)| model)
}

fn room(spec: &DeploymentSpec, held: &[Vec<usize>], runner: usize) -> u64 {
    let models = held.iter().enumerate().filter(|(_, at)| at.contains(&runner));
    let used: u64 = models.map(|(model, _)| spec.models[model].memory_gb).sum();
    spec.memory_gb - used
}
