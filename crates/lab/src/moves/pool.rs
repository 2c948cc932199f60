//! Simulates a pool of runners that load, hold and serve models.

use chestnut_place::balance::distribute_load;
use chestnut_place::planner::MAX_UTILIZATION;

use super::demand::{DemandTrace, RUN_STEPS, STEP_SECONDS};
use super::deployment::DeploymentSpec;
use super::policy::{Policy, PolicyState};

/// Total speed of the weight store beyond its limit of concurrent loads, as a fraction of
/// its full speed.
const OVERLOADED_STORE_SPEED: f64 = 0.8;

/// Fraction of its throughput that a runner loses while it loads; an assumption.
const LOADING_THROUGHPUT_LOSS: f64 = 0.15;

/// Steps at the start of a run that the results leave out: half an hour for the first
/// loads.
const WARM_UP_STEPS: usize = 360;

/// A simulated pool.
pub struct Pool<'a> {
    spec: &'a DeploymentSpec,
    trace: &'a DemandTrace,
    policy_state: PolicyState,
    /// Runners that hold or load each model.
    placed: Vec<Vec<usize>>,
    loads: Vec<LoadJob>,
    outcome: Outcome,
}

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct LoadJob {
    model: usize,
    runner: usize,
    /// Seconds that remain at full speed.
    remaining_s: f64,
    /// Whether the weight store has started to serve it.
    started: bool,
}

/// Result of a run, without the warm-up.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Demand, summed over the steps, in tokens per second.
    demand: f64,
    /// Demand served in time, summed likewise.
    served: f64,
    /// Demand that could be served if every runner held every model, summed likewise.
    servable: f64,
    /// Tokens served in time per second.
    pub tokens_per_s: f64,
    /// Loads per hour.
    pub moves_per_hour: f64,
    /// Mean fraction of models without a ready replica.
    pub unreachable: f64,
}

impl Outcome {
    /// Fraction of the demand that was served in time.
    pub fn attainment(&self) -> f64 {
        self.served / self.demand
    }

    /// Served demand divided by what could have been served if every runner had held every
    /// model.
    pub fn of_bound(&self) -> f64 {
        self.served / self.servable
    }
}

impl<'a> Pool<'a> {
    /// Creates a pool of empty runners.
    pub fn new(spec: &'a DeploymentSpec, trace: &'a DemandTrace, policy: Policy) -> Self {
        Self {
            spec,
            trace,
            policy_state: PolicyState::new(policy, spec),
            placed: vec![Vec::new(); spec.models.len()],
            loads: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Simulates the run.
    pub fn run(mut self) -> Outcome {
        for step in 0..RUN_STEPS {
            self.update_placement(step);
            self.advance_loads();
            self.serve(step);
        }
        let steps = (RUN_STEPS - WARM_UP_STEPS) as f64;
        let hours = steps * STEP_SECONDS / 3600.0;
        self.outcome.tokens_per_s = self.outcome.served / steps;
        self.outcome.moves_per_hour /= hours;
        self.outcome.unreachable /= steps * self.spec.models.len() as f64;
        self.outcome
    }

    fn update_placement(&mut self, step: usize) {
        let mut loading = vec![0; self.placed.len()];
        self.loads.iter().for_each(|job| loading[job.model] += 1);
        let observed = &self.trace.observed[step];
        let next = self.policy_state.decide(self.spec, observed, &self.placed, &loading);
        self.loads.retain(|job| next[job.model].contains(&job.runner));
        for (model, runners) in next.iter().enumerate() {
            for runner in
                runners.iter().filter(|runner| !self.placed[model].contains(runner))
            {
                let remaining_s = self.spec.models[model].load_time.as_secs_f64();
                self.loads.push(LoadJob {
                    model,
                    runner: *runner,
                    remaining_s,
                    started: false,
                });
                if step >= WARM_UP_STEPS {
                    // Divided by the hours at the end of the run.
                    self.outcome.moves_per_hour += 1.0;
                }
            }
        }
        self.placed = next;
        self.check_memory();
    }

    fn check_memory(&self) {
        let mut used = vec![0; self.spec.runners];
        for (model, runners) in self.placed.iter().enumerate() {
            runners
                .iter()
                .for_each(|runner| used[*runner] += self.spec.models[model].memory_gb);
        }
        assert!(used.iter().all(|used| *used <= self.spec.memory_gb), "overcommitted");
    }

    /// Advances all started loads, which share the speed of the weight store equally.
    fn advance_loads(&mut self) {
        let mut start_budget = (self.spec.loads_per_s * STEP_SECONDS).max(1.0) as usize;
        for job in self.loads.iter_mut().filter(|job| !job.started) {
            if start_budget == 0 {
                break;
            }
            job.started = true;
            start_budget -= 1;
        }
        let started = self.loads.iter().filter(|job| job.started).count();
        let limit = self.spec.max_parallel_loads;
        let speed = if started <= limit {
            1.0
        } else {
            OVERLOADED_STORE_SPEED * limit as f64 / started as f64
        };
        for job in self.loads.iter_mut().filter(|job| job.started) {
            job.remaining_s -= speed * STEP_SECONDS;
        }
        self.loads.retain(|job| job.remaining_s > 0.0);
    }

    fn serve(&mut self, step: usize) {
        if step < WARM_UP_STEPS {
            return;
        }
        let is_loading = |model: usize, runner: usize| {
            self.loads.iter().any(|job| job.model == model && job.runner == runner)
        };
        let ready: Vec<Vec<usize>> = self
            .placed
            .iter()
            .enumerate()
            .map(|(model, runners)| {
                runners
                    .iter()
                    .copied()
                    .filter(|runner| !is_loading(model, *runner))
                    .collect()
            })
            .collect();
        let demands = &self.trace.actual[step];
        let distribution =
            distribute_load(demands, &ready, &vec![0.0; self.spec.runners]);
        for (runner, load) in distribution.loads.iter().enumerate() {
            let is_loading =
                self.loads.iter().any(|job| job.runner == runner && job.started);
            let fraction = if is_loading { 1.0 - LOADING_THROUGHPUT_LOSS } else { 1.0 };
            self.outcome.served +=
                load.min(MAX_UTILIZATION * fraction * self.spec.runner_throughput);
        }
        let total: f64 = demands.iter().sum();
        let limit =
            MAX_UTILIZATION * self.spec.runner_throughput * self.spec.runners as f64;
        self.outcome.demand += total;
        self.outcome.servable += total.min(limit);
        let unreachable = ready.iter().filter(|runners| runners.is_empty()).count();
        self.outcome.unreachable += unreachable as f64;
    }
}
