//! Demand that trace without warning.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::deployment::DeploymentSpec;

/// Seconds of a step of a run.
pub const STEP_SECONDS: f64 = 5.0;

/// Steps of a run: two and a half hours.
pub const STEPS: usize = 1800;

/// The mean time for which a model's demand stays on a level, in seconds.
const DWELL: f64 = 600.0;

/// The greatest ratio of two levels of a model.
const RATIO: f64 = 10.0;

/// The mean demand as a part of what all runners can serve.
const LOAD: f64 = 0.55;

/// How unlike models are: demand falls with this power of the rank.
const SKEW: f64 = 0.8;

/// The demand on each model at each step, in tokens a second.
#[derive(Debug, Clone)]
pub struct DemandTrace {
    /// By step, then by model.
    pub actual: Vec<Vec<f64>>,
    /// What an observer sees of it, with the noise of single requests.
    pub observed: Vec<Vec<f64>>,
}

impl DemandTrace {
    /// Draws the demand of a run.
    pub fn generate(spec: &DeploymentSpec, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = spec.models.len();
        let mut order: Vec<usize> = (0..count).collect();
        for index in (1..count).rev() {
            order.swap(index, rng.random_range(0..=index));
        }
        let bases: Vec<f64> =
            order.iter().map(|rank| (*rank as f64 + 1.0).powf(-SKEW)).collect();
        let mut levels: Vec<f64> = (0..count).map(|_| level(&mut rng)).collect();
        let mut demands = Vec::with_capacity(STEPS);
        for _ in 0..STEPS {
            for held in &mut levels {
                if rng.random_bool(STEP_SECONDS / DWELL) {
                    *held = level(&mut rng);
                }
            }
            demands.push(bases.iter().zip(&levels).map(|(b, l)| b * l).collect());
        }
        scale(&mut demands, LOAD * spec.throughput * spec.runners as f64);
        let observed = demands
            .iter()
            .map(|row| row.iter().map(|rate| noisy(*rate, &mut rng)).collect())
            .collect();
        Self { actual: demands, observed }
    }
}

fn level(rng: &mut SmallRng) -> f64 {
    RATIO.powf(rng.random_range(0.0..1.0))
}

/// Scales the demand so that the mean of the sum over the models is `mean`.
fn scale(demands: &mut [Vec<f64>], mean: f64) {
    let sum: f64 = demands.iter().flatten().sum();
    let factor = mean * demands.len() as f64 / sum;
    demands.iter_mut().flatten().for_each(|rate| *rate *= factor);
}

/// A rate as it is seen over a step; requests have some 200 tokens.
fn noisy(rate: f64, rng: &mut SmallRng) -> f64 {
    const TOKENS: f64 = 200.0;
    let requests = rate * STEP_SECONDS / TOKENS;
    let spread = requests.max(0.0).sqrt();
    // The sum of some uniform numbers is close to normal.
    let normal: f64 = (0..6).map(|_| rng.random_range(-0.5..0.5)).sum::<f64>() * 1.41;
    (requests + spread * normal).max(0.0) * TOKENS / STEP_SECONDS
}
