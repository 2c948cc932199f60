//! Distribution of demand over the runners that hold the models.
//!
//! Holders send each request to the replica that can serve it soonest, which evens out
//! the load of runners that share models. The planner needs only the resulting loads,
//! so they are computed directly instead of simulating requests.

/// Rounds of even distribution; further rounds change the loads by less than a percent.
const ROUNDS: usize = 12;

/// The fraction of the difference to the even distribution that each round removes; below
/// 1 to avoid oscillation.
const DAMPING: f64 = 0.5;

/// The load of runners and the demand at each replica, in tokens per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadDistribution {
    /// The load of each runner, by runner index: the demand that is sent to it, and its other
    /// load.
    pub loads: Vec<f64>,
    /// For each model, the demand that each of its replicas gets, in the order of
    /// the replicas.
    pub shares: Vec<Vec<f64>>,
}

/// Spreads each model's demand over the runners that hold it.
///
/// `demands` is in tokens per second and `placed` lists each model's runners, both by
/// model index. `other_loads` is the load of each runner that no model causes.
pub fn distribute_load(
    demands: &[f64],
    placed: &[Vec<usize>],
    other_loads: &[f64],
) -> LoadDistribution {
    let mut shares: Vec<Vec<f64>> = demands
        .iter()
        .zip(placed)
        .map(|(demand, hosts)| vec![demand / hosts.len().max(1) as f64; hosts.len()])
        .collect();
    let mut loads = sum_by_runner(&shares, placed, other_loads);
    for _ in 0..ROUNDS {
        for (model, hosts) in placed.iter().enumerate() {
            if hosts.len() > 1 {
                equalize(&mut shares[model], hosts, demands[model], &mut loads);
            }
        }
    }
    LoadDistribution { loads, shares }
}

/// Shifts a model's demand from its more loaded runners to its less loaded ones.
fn equalize(shares: &mut [f64], hosts: &[usize], demand: f64, loads: &mut [f64]) {
    for (share, runner) in shares.iter().zip(hosts) {
        loads[*runner] -= share;
    }
    let level = water_level(hosts.iter().map(|runner| loads[*runner]).collect(), demand);
    for (share, runner) in shares.iter_mut().zip(hosts) {
        let target = (level - loads[*runner]).max(0.0);
        *share += (target - *share) * DAMPING;
    }
    // Damping preserves the total, as the old and the target shares have the same sum.
    for (share, runner) in shares.iter().zip(hosts) {
        loads[*runner] += share;
    }
}

/// The common load to which `demand` raises the least loaded runners (water-filling).
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

fn sum_by_runner(
    shares: &[Vec<f64>],
    placed: &[Vec<usize>],
    other_loads: &[f64],
) -> Vec<f64> {
    let mut loads = other_loads.to_vec();
    for (shares, hosts) in shares.iter().zip(placed) {
        for (share, runner) in shares.iter().zip(hosts) {
            loads[*runner] += share;
        }
    }
    loads
}
