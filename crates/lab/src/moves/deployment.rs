//! Deployments of the placement comparison.

use std::time::Duration;

/// Accelerator memory of a runner for models and adapters.
const RUNNER_MEMORY_GB: u64 = 80;

/// A deployment to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Serves letters with 9 runners, 12 models and 55 adapters.
    Adenta,
    /// Serves cue sheets and seat checks with 18 runners, 25 models and 100 adapters.
    Gwiazdozbior,
}

/// Which weighs more in the score, attainment or moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weighting {
    /// A percentage point of attainment weighs twice as much as a move per hour and runner.
    Attainment,
    /// A move per hour and runner weighs twice as much as a percentage point of attainment.
    Moves,
}

/// Sizes and limits of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentSpec {
    /// Number of runners.
    pub runners: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Accelerators per runner; an assumption.
    pub accelerators: usize,
    /// Memory per runner, in gigabytes; an assumption.
    pub memory_gb: u64,
    /// Tokens per second that a runner generates.
    pub runner_throughput: f64,
    /// Models, from the smallest to the largest.
    pub models: Vec<ModelSpec>,
    /// Concurrent loads that the weight store serves at full speed.
    pub max_parallel_loads: usize,
    /// Loads per second that the weight store starts.
    pub loads_per_s: f64,
    /// Score of one percentage point of attainment.
    pub attainment_weight: f64,
    /// Cost in score of one move per hour and runner.
    pub move_weight: f64,
}

/// A model of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelSpec {
    /// Memory including the adapters.
    pub memory_gb: u64,
    /// Duration of a load at the full speed of the weight store.
    pub load_time: Duration,
}

impl Deployment {
    /// All deployments, in output order.
    pub const ALL: [Self; 2] = [Self::Adenta, Self::Gwiazdozbior];

    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Adenta => "adenta",
            Self::Gwiazdozbior => "gwiazdozbior",
        }
    }
}

impl Weighting {
    /// All weightings, in output order.
    pub const ALL: [Self; 2] = [Self::Attainment, Self::Moves];

    /// Name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Attainment => "attainment",
            Self::Moves => "moves",
        }
    }

    /// Returns the weights of attainment and of moves.
    fn weights(self) -> (f64, f64) {
        match self {
            Self::Attainment => (1.0, 0.5),
            Self::Moves => (0.5, 1.0),
        }
    }
}

impl DeploymentSpec {
    /// Returns the parameters of a deployment under a weighting.
    ///
    /// The numbers of runners, domains, models and adapters, the cold start times, the
    /// engine's step time and the limits of the weight store are those of the real
    /// deployments. Memory, model sizes, accelerators and streams are assumptions.
    pub fn of(deployment: Deployment, weighting: Weighting) -> Self {
        let (attainment_weight, move_weight) = weighting.weights();
        let (runners, models, load_s, max_parallel_loads, loads_per_s, step_s) =
            match deployment {
                Deployment::Adenta => (9, 12, (30, 75), 2, 1.0, 0.010),
                Deployment::Gwiazdozbior => (18, 25, (15, 35), 3, 2.0, 0.010),
            };
        let model = |index: usize| {
            // Sizes grow from 12 to 34 GB, and load times with them.
            let position = index as f64 / (models - 1) as f64;
            let load_s = load_s.0 as f64 + (load_s.1 - load_s.0) as f64 * position;
            ModelSpec {
                memory_gb: 12 + (22.0 * position) as u64,
                load_time: Duration::from_secs_f64(load_s),
            }
        };
        Self {
            runners,
            domains: 3,
            accelerators: 4,
            memory_gb: RUNNER_MEMORY_GB,
            // Each of 32 streams generates one token per step.
            runner_throughput: 32.0 / step_s,
            models: (0..models).map(model).collect(),
            max_parallel_loads,
            loads_per_s,
            attainment_weight,
            move_weight,
        }
    }
}
