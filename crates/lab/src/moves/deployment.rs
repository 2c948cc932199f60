//! The deployments whose placements are compared.

use std::time::Duration;

/// Gigabytes of accelerator memory of a runner for models and adapters.
const MEMORY: u64 = 80;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Letters: 9 runners, 12 models, 55 adapters.
    Adenta,
    /// Cue sheets and seat checks: 18 runners, 25 models, 100 adapters.
    Gwiazdozbior,
}

/// What counts more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weighting {
    /// Attainment.
    Attainment,
    /// Moves.
    Moves,
}

/// The sizes of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentSpec {
    /// Runners.
    pub runners: usize,
    /// Failure domains.
    pub domains: usize,
    /// Accelerators of a runner; an assumption.
    pub accelerators: usize,
    /// Memory of a runner, in gigabytes; an assumption.
    pub memory_gb: u64,
    /// Tokens a second that a runner generates.
    pub throughput: f64,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Loads that the weight store serves at full speed at the same time.
    pub max_parallel_loads: usize,
    /// Loads a second that the weight store starts.
    pub loads_per_s: f64,
    /// What one percent of attainment is worth.
    pub attainment_weight: f64,
    /// What one move costs.
    pub move_weight: f64,
}

/// A model of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelSpec {
    /// Memory with the adapters on top, in gigabytes.
    pub memory_gb: u64,
    /// How long a load takes at full speed.
    pub load_time: Duration,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Adenta, Self::Gwiazdozbior];

    /// The name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Adenta => "adenta",
            Self::Gwiazdozbior => "gwiazdozbior",
        }
    }
}

impl Weighting {
    /// All weightings.
    pub const ALL: [Self; 2] = [Self::Attainment, Self::Moves];

    /// The name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Attainment => "attainment",
            Self::Moves => "moves",
        }
    }

    /// The weights of attainment and moves.
    fn weights(self) -> (f64, f64) {
        match self {
            Self::Attainment => (1.0, 0.5),
            Self::Moves => (0.5, 1.0),
        }
    }
}

impl DeploymentSpec {
    /// The sizes of a deployment under a weighting.
    ///
    /// Numbers of runners, domains, models and adapters, cold starts, engine
    /// steps and the weight store's limits are the deployments' own. Memory,
    /// models' sizes, accelerators and streams are assumptions.
    pub fn of(deployment: Deployment, weighting: Weighting) -> Self {
        let (attainment_weight, move_weight) = weighting.weights();
        let (runners, models, cold, parallel, rate, step) = match deployment {
            Deployment::Adenta => (9, 12, (30, 75), 2, 1.0, 0.010),
            Deployment::Gwiazdozbior => (18, 25, (15, 35), 3, 2.0, 0.010),
        };
        let model = |index: usize| {
            // Sizes from 12 to 34 gigabytes; the larger load longer.
            let part = index as f64 / (models - 1) as f64;
            let cold = cold.0 as f64 + (cold.1 - cold.0) as f64 * part;
            ModelSpec {
                memory_gb: 12 + (22.0 * part) as u64,
                load_time: Duration::from_secs_f64(cold),
            }
        };
        Self {
            runners,
            domains: 3,
            accelerators: 4,
            memory_gb: MEMORY,
            throughput: 32.0 / step,
            models: (0..models).map(model).collect(),
            max_parallel_loads: parallel,
            loads_per_s: rate,
            attainment_weight,
            move_weight,
        }
    }
}
