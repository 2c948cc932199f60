//! Placements of models under shifting demand, against baselines.
//!
//! A run passes through these stages:
//!
//! 1. [`deployment`] describes a deployment, [`demand`] draws the demand on its models,
//! 2. [`policy`] decides every few seconds which runner is to hold what,
//! 3. [`pool`] plays the decisions: loads through the weight store, evictions,
//!    and what callers get.
//!
//! Demand and service are flows of tokens, not single requests; the experiment
//! is about where models are, `policies` is about requests.

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

/// What to compare.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print one JSON object a line.
    pub json: bool,
    /// Runs with different random numbers.
    #[bpaf(argument("N"), fallback(20))]
    pub seeds: u64,
}

/// The figures of a policy, as means over the seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The deployment.
    pub deployment: &'static str,
    /// How attainment and moves are weighed.
    pub weighting: &'static str,
    /// The policy.
    pub policy: &'static str,
    /// The part of the demand that was served in time.
    pub attainment: f64,
    /// The least of all seeds.
    pub worst: f64,
    /// `attainment` as a part of what runners that hold everything could serve.
    pub of_bound: f64,
    /// Tokens served in time for each accelerator and second.
    pub per_accelerator: f64,
    /// Loads an hour, after the first half hour.
    pub moves: f64,
    /// The part of all models' time, after the first half hour, without a replica.
    pub unreachable: f64,
    /// Points of attainment less moves an hour for each runner, as weighed.
    pub score: f64,
}

/// The time that a plan takes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlanTime {
    /// Runners.
    pub runners: usize,
    /// Models.
    pub models: usize,
    /// Milliseconds of the first plan, which places everything.
    pub first_ms: f64,
    /// Milliseconds of a later plan under shifted demand: the mean.
    pub later_ms: f64,
    /// Milliseconds of the longest later plan.
    pub worst_ms: f64,
}

/// Runs the comparison and prints it.
pub fn run(options: &Options) {
    for deployment in Deployment::ALL {
        for weighting in Weighting::ALL {
            for policy in Policy::ALL {
                let figures = compare(deployment, weighting, policy, options.seeds);
                print(&figures, options.json);
            }
        }
    }
    let time = plan_time(1200, 1900);
    match serde_json::to_string(&time) {
        Ok(line) if options.json => println!("{line}"),
        _ => println!("{time:?}"),
    }
}

fn print(figures: &Summary, json: bool) {
    match serde_json::to_string(figures) {
        Ok(line) if json => println!("{line}"),
        _ => println!(
            "{:14} {:10} {:8} attainment {:.4} (worst {:.4}, of bound {:.4}) \
             per accelerator {:7.1}/s moves {:6.1}/h unreachable {:.4} score {:.2}",
            figures.deployment,
            figures.weighting,
            figures.policy,
            figures.attainment,
            figures.worst,
            figures.of_bound,
            figures.per_accelerator,
            figures.moves,
            figures.unreachable,
            figures.score,
        ),
    }
}

/// The mean figures of a policy over all seeds.
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
    let moves = mean(|outcome| outcome.moves);
    let worst = outcomes.iter().map(Outcome::attainment).fold(1.0, f64::min);
    Summary {
        deployment: deployment.name(),
        weighting: weighting.name(),
        policy: policy.name(),
        attainment,
        worst,
        of_bound: mean(Outcome::of_bound),
        per_accelerator: mean(|outcome| outcome.rate)
            / (spec.runners * spec.accelerators) as f64,
        moves,
        unreachable: mean(|outcome| outcome.unreachable),
        score: spec.attainment_weight * 100.0 * attainment
            - spec.move_weight * moves / spec.runners as f64,
    }
}

/// Measures plans for a pool of this size, at 55 % load.
pub fn plan_time(runners: usize, models: usize) -> PlanTime {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = large_pool(runners, models, &mut rng);
    let lap = |pool: &mut PoolState| {
        let start = Instant::now();
        let placement = plan_placement(pool);
        let time = start.elapsed();
        for (model, placed) in pool.models.iter_mut().zip(placement.placed) {
            model.placed = placed;
        }
        time.as_secs_f64() * 1000.0
    };
    let first_ms = lap(&mut pool);
    pool.parallel_loads = runners / 60;
    let mut later = Vec::new();
    for _ in 0..5 {
        for model in &mut pool.models {
            if rng.random_bool(0.1) {
                model.demand *= 10.0_f64.powf(rng.random_range(-1.0..1.0));
            }
        }
        later.push(lap(&mut pool));
    }
    PlanTime {
        runners,
        models,
        first_ms,
        later_ms: later.iter().sum::<f64>() / later.len() as f64,
        worst_ms: later.into_iter().fold(0.0, f64::max),
    }
}

fn large_pool(runners: usize, models: usize, rng: &mut SmallRng) -> PoolState {
    const THROUGHPUT: f64 = 2_500.0;
    let demand = 0.55 * THROUGHPUT * runners as f64 / models as f64;
    let model = |_| ModelState {
        bytes: rng.random_range(8..34),
        replicas: 1,
        load_time: Duration::from_secs(40),
        demand: demand * 10.0_f64.powf(rng.random_range(-1.0..1.0)) / 2.15,
        placed: Vec::new(),
        loading: 0,
        cached_on: Vec::new(),
    };
    let state = |runner| RunnerState {
        domain: runner % 20,
        capacity: 80,
        other_bytes: 0,
        accepts_models: true,
        locked: false,
    };
    PoolState {
        models: (0..models).map(model).collect(),
        runners: (0..runners).map(state).collect(),
        runner_throughput: THROUGHPUT,
        parallel_loads: models * 2,
        frozen: false,
        attainment_weight: 1.0,
        move_weight: 1.0,
        demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
    }
}
