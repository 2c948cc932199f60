//! Compares the placement planner with baselines under shifting demand.
//!
//! A run passes through these stages:
//!
//! 1. [`deployment`] describes a deployment and [`demand`] generates the demand on its models,
//! 2. [`policy`] decides in every step of 5 s which runner is to hold which models,
//! 3. [`pool`] simulates the loads, the evictions and the served tokens.
//!
//! Demand and service are modelled as flows of tokens, not as single requests; the
//! `policies` experiment simulates requests.

pub mod demand;
pub mod deployment;
pub mod policy;
pub mod pool;

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use chestnut_place::{ModelState, PoolState, RunnerState, plan_placement};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use demand::DemandTrace;
use deployment::{Deployment, DeploymentSpec, Weighting};
use policy::Policy;
use pool::{Outcome, Pool};

/// Selects the runs of a comparison.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print one JSON object per line.
    pub json: bool,
    /// Number of runs, each with its own random seed.
    #[bpaf(argument("N"), fallback(20))]
    pub seeds: u64,
}

/// Figures of a policy, as means over all runs. Fractions are between 0 and 1.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the weighting of attainment and moves.
    pub weighting: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Fraction of the demand that was served in time.
    pub attainment: f64,
    /// Lowest attainment of a single run.
    #[serde(rename = "worst")]
    pub min_attainment: f64,
    /// Served demand divided by what could be served if every runner held every model.
    pub of_bound: f64,
    /// Tokens served in time per accelerator and second.
    pub per_accelerator: f64,
    /// Loads per hour, without the first half hour.
    #[serde(rename = "moves")]
    pub moves_per_hour: f64,
    /// Mean fraction of models without a ready replica, without the first half hour.
    pub unreachable: f64,
    /// Weighted attainment in percent, minus the weighted moves per hour and runner.
    pub score: f64,
}

/// Computing time of the placement planner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlanTime {
    /// Number of runners in the pool.
    pub runners: usize,
    /// Number of models in the pool.
    pub models: usize,
    /// Time of the first plan, which places all models.
    pub first_ms: f64,
    /// Mean time of the later plans, under shifted demand.
    pub later_ms: f64,
    /// Longest time of a later plan.
    pub worst_ms: f64,
}

/// Runs the comparison and prints a line per policy, then the computing time of the planner.
pub fn run(options: &Options) {
    for deployment in Deployment::ALL {
        for weighting in Weighting::ALL {
            for policy in Policy::ALL {
                let summary = compare(deployment, weighting, policy, options.seeds);
                print(&summary, options.json);
            }
        }
    }
    let plan_time = measure_plan_time(1200, 1900);
    match serde_json::to_string(&plan_time) {
        Ok(line) if options.json => println!("{line}"),
        _ => println!("{plan_time:?}"),
    }
}

fn print(summary: &Summary, json: bool) {
    match serde_json::to_string(summary) {
        Ok(line) if json => println!("{line}"),
        _ => println!(
            "{:14} {:10} {:8} attainment {:.4} (worst {:.4}, of bound {:.4}) \
             per accelerator {:7.1}/s moves {:6.1}/h unreachable {:.4} score {:.2}",
            summary.deployment,
            summary.weighting,
            summary.policy,
            summary.attainment,
            summary.min_attainment,
            summary.of_bound,
            summary.per_accelerator,
            summary.moves_per_hour,
            summary.unreachable,
            summary.score,
        ),
    }
}

/// Runs a policy with every seed below `seeds`, at least once, and averages the results.
pub fn compare(
    deployment: Deployment,
    weighting: Weighting,
    policy: Policy,
    seeds: u64,
) -> Summary {
    let spec = DeploymentSpec::of(deployment, weighting);
    let outcomes: Vec<Outcome> = (0..seeds.max(1))
        .map(|seed| Pool::new(&spec, &DemandTrace::generate(&spec, seed), policy).run())
        .collect();
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    let attainment = mean(Outcome::attainment);
    let moves_per_hour = mean(|outcome| outcome.moves_per_hour);
    let min_attainment = outcomes.iter().map(Outcome::attainment).fold(1.0, f64::min);
    Summary {
        deployment: deployment.name(),
        weighting: weighting.name(),
        policy: policy.name(),
        attainment,
        min_attainment,
        of_bound: mean(Outcome::of_bound),
        per_accelerator: mean(|outcome| outcome.tokens_per_s)
            / (spec.runners * spec.accelerators) as f64,
        moves_per_hour,
        unreachable: mean(|outcome| outcome.unreachable),
        score: spec.attainment_weight * 100.0 * attainment
            - spec.move_weight * moves_per_hour / spec.runners as f64,
    }
}

/// Measures the planner on a pool of this size at 55 % utilization.
pub fn measure_plan_time(runners: usize, models: usize) -> PlanTime {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = generate_pool(runners, models, &mut rng);
    let time_plan = |pool: &mut PoolState| {
        let start = Instant::now();
        let placement = plan_placement(pool);
        let elapsed = start.elapsed();
        for (model, placed) in pool.models.iter_mut().zip(placement.placed) {
            model.placed = placed;
        }
        elapsed.as_secs_f64() * 1000.0
    };
    let first_ms = time_plan(&mut pool);
    pool.parallel_loads = runners / 60;
    let mut later_times = Vec::new();
    for _ in 0..5 {
        for model in &mut pool.models {
            if rng.random_bool(0.1) {
                model.demand *= 10.0_f64.powf(rng.random_range(-1.0..1.0));
            }
        }
        later_times.push(time_plan(&mut pool));
    }
    PlanTime {
        runners,
        models,
        first_ms,
        later_ms: later_times.iter().sum::<f64>() / later_times.len() as f64,
        worst_ms: later_times.into_iter().fold(0.0, f64::max),
    }
}

fn generate_pool(runners: usize, models: usize, rng: &mut SmallRng) -> PoolState {
    /// Tokens per second of a runner.
    const THROUGHPUT: f64 = 2_500.0;
    let mean_demand = 0.55 * THROUGHPUT * runners as f64 / models as f64;
    let model = |_| ModelState {
        bytes: rng.random_range(8..34),
        replicas: 1,
        load_time: Duration::from_secs(40),
        // 2.15 is the mean of the random factor.
        demand: mean_demand * 10.0_f64.powf(rng.random_range(-1.0..1.0)) / 2.15,
        placed: Vec::new(),
        loading: 0,
        cached_on: Vec::new(),
    };
    let runner = |index| RunnerState {
        domain: index % 20,
        capacity: 80,
        other_bytes: 0,
        accepts_models: true,
        locked: false,
        lost_throughput: 0.0,
    };
    PoolState {
        models: (0..models).map(model).collect(),
        runners: (0..runners).map(runner).collect(),
        runner_throughput: THROUGHPUT,
        parallel_loads: models * 2,
        frozen: false,
        attainment_weight: 1.0,
        move_weight: 1.0,
        demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
    }
}
