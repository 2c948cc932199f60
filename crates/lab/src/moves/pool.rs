//! A pool of runners that load, hold and serve models.

use chestnut_place::balance::distribute_load;
use chestnut_place::planner::MAX_UTILIZATION;

use super::demand::{DemandTrace, STEP_SECONDS, STEPS};
use super::deployment::DeploymentSpec;
use super::policy::{Policy, PolicyState};

/// What the weight store still serves beyond its limit, as a part of full speed.
const SLOWED: f64 = 0.8;

/// The part of its throughput that a runner loses while it loads; an assumption.
const STALL: f64 = 0.15;

/// Steps at the start of a run that don't count: half an hour for the first loads.
const WARM_UP: usize = 360;

/// A pool in a run.
pub struct Pool<'a> {
    spec: &'a DeploymentSpec,
    trace: &'a DemandTrace,
    policy_state: PolicyState,
    /// For each model, the runners that hold or load it.
    placed: Vec<Vec<usize>>,
    loads: Vec<LoadJob>,
    outcome: Outcome,
}

/// A load under way.
#[derive(Debug, Clone, Copy)]
struct LoadJob {
    model: usize,
    runner: usize,
    /// Seconds at full speed that remain.
    rest: f64,
    /// Whether the weight store has begun.
    begun: bool,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    demand: f64,
    served: f64,
    possible: f64,
    /// Tokens served in time a second.
    pub rate: f64,
    /// Loads an hour.
    pub moves: f64,
    /// The part of all models' time without a replica.
    pub unreachable: f64,
}

impl Outcome {
    /// The part of the demand that was served in time.
    pub fn attainment(&self) -> f64 {
        self.served / self.demand
    }

    /// The same as a part of what could have been served if every runner had held
    /// every model.
    pub fn of_bound(&self) -> f64 {
        self.served / self.possible
    }
}

impl<'a> Pool<'a> {
    /// Creates a pool whose runners are empty.
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

    /// Plays the run.
    pub fn run(mut self) -> Outcome {
        for step in 0..STEPS {
            self.decide(step);
            self.load();
            self.serve(step);
        }
        let steps = (STEPS - WARM_UP) as f64;
        let hours = steps * STEP_SECONDS / 3600.0;
        self.outcome.rate = self.outcome.served / steps;
        self.outcome.moves /= hours;
        self.outcome.unreachable /= steps * self.spec.models.len() as f64;
        self.outcome
    }

    fn decide(&mut self, step: usize) {
        let mut loading = vec![0; self.placed.len()];
        self.loads.iter().for_each(|job| loading[job.model] += 1);
        let observed = &self.trace.observed[step];
        let next = self.policy_state.decide(self.spec, observed, &self.placed, &loading);
        self.loads.retain(|job| next[job.model].contains(&job.runner));
        for (model, at) in next.iter().enumerate() {
            for runner in at.iter().filter(|at| !self.placed[model].contains(at)) {
                let rest = self.spec.models[model].load_time.as_secs_f64();
                self.loads.push(LoadJob { model, runner: *runner, rest, begun: false });
                if step >= WARM_UP {
                    self.outcome.moves += 1.0;
                }
            }
        }
        self.placed = next;
        self.check_memory();
    }

    fn check_memory(&self) {
        let mut used = vec![0; self.spec.runners];
        for (model, at) in self.placed.iter().enumerate() {
            at.iter()
                .for_each(|runner| used[*runner] += self.spec.models[model].memory_gb);
        }
        assert!(used.iter().all(|used| *used <= self.spec.memory_gb), "overcommitted");
    }

    /// The weight store shares its speed among all loads that have begun.
    fn load(&mut self) {
        let mut starts = (self.spec.loads_per_s * STEP_SECONDS).max(1.0) as usize;
        for job in self.loads.iter_mut().filter(|job| !job.begun) {
            if starts == 0 {
                break;
            }
            job.begun = true;
            starts -= 1;
        }
        let begun = self.loads.iter().filter(|job| job.begun).count();
        let limit = self.spec.max_parallel_loads;
        let speed =
            if begun <= limit { 1.0 } else { SLOWED * limit as f64 / begun as f64 };
        for job in self.loads.iter_mut().filter(|job| job.begun) {
            job.rest -= speed * STEP_SECONDS;
        }
        self.loads.retain(|job| job.rest > 0.0);
    }

    fn serve(&mut self, step: usize) {
        if step < WARM_UP {
            return;
        }
        let loading = |model: usize, runner: usize| {
            self.loads.iter().any(|job| job.model == model && job.runner == runner)
        };
        let ready: Vec<Vec<usize>> = self
            .placed
            .iter()
            .enumerate()
            .map(|(model, at)| {
                at.iter().copied().filter(|runner| !loading(model, *runner)).collect()
            })
            .collect();
        let demands = &self.trace.actual[step];
        let spread = distribute_load(demands, &ready, self.spec.runners);
        for (runner, load) in spread.loads.iter().enumerate() {
            let busy = self.loads.iter().any(|job| job.runner == runner && job.begun);
            let part = if busy { 1.0 - STALL } else { 1.0 };
            self.outcome.served +=
                load.min(MAX_UTILIZATION * part * self.spec.throughput);
        }
        let sum: f64 = demands.iter().sum();
        let limit = MAX_UTILIZATION * self.spec.throughput * self.spec.runners as f64;
        self.outcome.demand += sum;
        self.outcome.possible += sum.min(limit);
        let lacking = ready.iter().filter(|at| at.is_empty()).count();
        self.outcome.unreachable += lacking as f64;
    }
}
