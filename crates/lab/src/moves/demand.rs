//! Generates demand on models that shifts abruptly.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::deployment::DeploymentSpec;

/// Duration of a simulation step.
pub const STEP_SECONDS: f64 = 5.0;

/// Steps of a run, which is two and a half hours.
pub const RUN_STEPS: usize = 1800;

/// Mean time between changes of the demand on a model.
const MEAN_DWELL_SECONDS: f64 = 600.0;

/// Largest ratio between two demand levels of a model.
const MAX_LEVEL_RATIO: f64 = 10.0;

/// Mean total demand as a fraction of the throughput of all runners.
const MEAN_UTILIZATION: f64 = 0.55;

/// Zipf exponent: mean demand falls with this power of the popularity rank.
const ZIPF_EXPONENT: f64 = 0.8;

/// Demand on each model at each step, in tokens per second.
#[derive(Debug, Clone)]
pub struct DemandTrace {
    /// Actual demand, by step, then by model.
    pub actual: Vec<Vec<f64>>,
    /// Observed demand, which adds the noise of discrete requests.
    pub observed: Vec<Vec<f64>>,
}

impl DemandTrace {
    /// Generates the demand of a run; the same seed gives the same demand.
    pub fn generate(spec: &DeploymentSpec, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = spec.models.len();
        let mut ranks: Vec<usize> = (0..count).collect();
        for index in (1..count).rev() {
            ranks.swap(index, rng.random_range(0..=index));
        }
        let bases: Vec<f64> =
            ranks.iter().map(|rank| (*rank as f64 + 1.0).powf(-ZIPF_EXPONENT)).collect();
        let mut levels: Vec<f64> = (0..count).map(|_| sample_level(&mut rng)).collect();
        let mut demands = Vec::with_capacity(RUN_STEPS);
        for _ in 0..RUN_STEPS {
            for current in &mut levels {
                if rng.random_bool(STEP_SECONDS / MEAN_DWELL_SECONDS) {
                    *current = sample_level(&mut rng);
                }
            }
            demands.push(bases.iter().zip(&levels).map(|(b, l)| b * l).collect());
        }
        scale_to_mean(
            &mut demands,
            MEAN_UTILIZATION * spec.runner_throughput * spec.runners as f64,
        );
        let observed = demands
            .iter()
            .map(|row| row.iter().map(|rate| add_noise(*rate, &mut rng)).collect())
            .collect();
        Self { actual: demands, observed }
    }
}

fn sample_level(rng: &mut SmallRng) -> f64 {
    MAX_LEVEL_RATIO.powf(rng.random_range(0.0..1.0))
}

/// Scales the demand so that the total over all models is `mean` on average.
fn scale_to_mean(demands: &mut [Vec<f64>], mean: f64) {
    let sum: f64 = demands.iter().flatten().sum();
    let factor = mean * demands.len() as f64 / sum;
    demands.iter_mut().flatten().for_each(|rate| *rate *= factor);
}

/// Rate observed over a step, with the noise of requests of 200 tokens each.
fn add_noise(rate: f64, rng: &mut SmallRng) -> f64 {
    const TOKENS_PER_REQUEST: f64 = 200.0;
    let requests = rate * STEP_SECONDS / TOKENS_PER_REQUEST;
    let std_dev = requests.max(0.0).sqrt();
    // The sum of six uniform variables approximates a normal distribution; 1.41 scales its
    // variance from 1/2 to 1.
    let normal: f64 = (0..6).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>() * 1.41;
    (requests + std_dev * normal).max(0.0) * TOKENS_PER_REQUEST / STEP_SECONDS
}
