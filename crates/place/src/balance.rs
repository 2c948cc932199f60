//! How demand spreads over the runners that hold the models.
//!
//! Leads send each request to the replica that can serve it soonest, which
//! evens out the load of the runners that share models. The planner needs the
//! result, not the way there.

/// Rounds of evening out; more change the loads by less than a percent for the
/// pools in the experiments.
const ROUNDS: usize = 12;

/// How far a round goes towards the evened out share, to avoid swinging.
const DAMPING: f64 = 0.5;

/// The load of runners and the share of each replica, in tokens a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadDistribution {
    /// For each runner, the demand that is sent to it.
    pub loads: Vec<f64>,
    /// For each model, the demand that each of its replicas gets, in the order of
    /// the replicas.
    pub shares: Vec<Vec<f64>>,
}

/// Spreads each model's demand over the runners that hold it.
pub fn distribute_load(
    demands: &[f64],
    placed: &[Vec<usize>],
    runners: usize,
) -> LoadDistribution {
    let mut shares: Vec<Vec<f64>> = demands
        .iter()
        .zip(placed)
        .map(|(demand, at)| vec![demand / at.len().max(1) as f64; at.len()])
        .collect();
    let mut loads = sum(&shares, placed, runners);
    for _ in 0..ROUNDS {
        for (model, at) in placed.iter().enumerate() {
            if at.len() > 1 {
                even_out(&mut shares[model], at, demands[model], &mut loads);
            }
        }
    }
    LoadDistribution { loads, shares }
}

/// Moves a model's demand from its fuller runners to its emptier ones.
fn even_out(shares: &mut [f64], at: &[usize], demand: f64, loads: &mut [f64]) {
    for (share, runner) in shares.iter().zip(at) {
        loads[*runner] -= share;
    }
    let level = water_level(at.iter().map(|runner| loads[*runner]).collect(), demand);
    for (share, runner) in shares.iter_mut().zip(at) {
        let wanted = (level - loads[*runner]).max(0.0);
        *share += (wanted - *share) * DAMPING;
    }
    // Damping keeps the sum, as both the old and the wanted shares sum to it.
    for (share, runner) in shares.iter().zip(at) {
        loads[*runner] += share;
    }
}

/// The level to which `demand` fills up runners with these loads.
fn water_level(mut loads: Vec<f64>, demand: f64) -> f64 {
    loads.sort_by(f64::total_cmp);
    let mut sum = demand;
    let mut level = demand;
    for (index, load) in loads.iter().enumerate() {
        if index > 0 && *load >= level {
            break;
        }
        sum += load;
        level = sum / (index + 1) as f64;
    }
    level
}

fn sum(shares: &[Vec<f64>], placed: &[Vec<usize>], runners: usize) -> Vec<f64> {
    let mut loads = vec![0.0; runners];
    for (shares, at) in shares.iter().zip(placed) {
        for (share, runner) in shares.iter().zip(at) {
            loads[*runner] += share;
        }
    }
    loads
}
