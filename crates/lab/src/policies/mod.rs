//! Compares admission and routing policies under load with baselines and an upper bound.
//!
//! A run passes through these stages:
//!
//! 1. [`scenario`] describes a deployment and [`traffic`] generates its requests,
//! 2. [`simulation`] runs them against [`engine`]s in virtual time, with the routers and
//!    admission controllers of the daemon,
//! 3. [`bound`] computes an upper bound that no schedule can exceed,
//! 4. [`results`] aggregates the results of the requests.

pub mod bound;
pub mod engine;
pub mod results;
pub mod scenario;
pub mod simulation;
pub mod traffic;

use bpaf::Bpaf;
use chestnut_admit::AdmissionPolicy;
use chestnut_route::RoutingPolicy;

use results::{Aggregator, Summary};
use scenario::{Deployment, DeploymentSpec, Pattern};
use simulation::Simulation;
use traffic::Traffic;

/// Selects the runs of a comparison.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print one JSON object per line.
    pub json: bool,
    /// Number of runs, each with its own random seed.
    #[bpaf(argument("N"), fallback(20))]
    pub seeds: u64,
    /// Run only this load pattern.
    #[bpaf(argument("P"))]
    pub pattern: Option<Pattern>,
    /// Run only this deployment.
    #[bpaf(argument("D"))]
    pub deployment: Option<Deployment>,
    /// Run only the policy of this name.
    #[bpaf(argument("NAME"))]
    pub policy: Option<String>,
}

/// A policy under comparison: routing at the entries, admission at the leads.
#[derive(Debug, Clone, Copy)]
pub struct PolicyConfig {
    /// Name in the output.
    pub name: &'static str,
    /// How entries select a server.
    pub routing: RoutingPolicy,
    /// How leads admit requests.
    pub admission: AdmissionPolicy,
    /// Whether the daemon uses this policy.
    pub is_default: bool,
}

/// Runs the comparison and prints a line per deployment, pattern and policy.
pub fn run(options: &Options) {
    if !options.json {
        println!("{}", results::table_header());
    }
    for deployment in selected(&Deployment::ALL, options.deployment) {
        for pattern in selected(&Pattern::ALL, options.pattern) {
            for config in policy_configs() {
                let name = options.policy.as_deref();
                if name.is_none_or(|name| name == config.name) {
                    let summary = compare(deployment, pattern, config, options.seeds);
                    println!("{}", results::format_summary(&summary, options.json));
                }
            }
        }
    }
}

/// Runs a policy with every seed below `seeds` and aggregates the results.
pub fn compare(
    deployment: Deployment,
    pattern: Pattern,
    config: PolicyConfig,
    seeds: u64,
) -> Summary {
    let spec = DeploymentSpec::of(deployment);
    let mut aggregator = Aggregator::default();
    for seed in 0..seeds {
        let traffic = Traffic::generate(&spec, pattern, seed);
        let upper_bound = bound::max_served(&spec, &traffic);
        let simulation = Simulation::new(&spec, &traffic, config, seed);
        aggregator.add(&spec, &traffic, &simulation.run(), upper_bound);
    }
    aggregator.summary(deployment, pattern, config)
}

/// All policies, baselines first.
pub fn policy_configs() -> Vec<PolicyConfig> {
    let without_admission = |name, routing| PolicyConfig {
        name,
        routing,
        admission: AdmissionPolicy::FIFO,
        is_default: false,
    };
    let with_admission = |name, routing| PolicyConfig {
        name,
        routing,
        admission: AdmissionPolicy::default(),
        is_default: false,
    };
    vec![
        without_admission("round-robin", RoutingPolicy::RoundRobin),
        without_admission("least-in-flight", RoutingPolicy::LeastInFlight),
        without_admission("two-choices", RoutingPolicy::TwoChoices),
        without_admission("k-choice", RoutingPolicy::KChoice(2)),
        with_admission("round-robin+lead", RoutingPolicy::RoundRobin),
        with_admission("k-choice+lead", RoutingPolicy::KChoice(2)),
        PolicyConfig {
            is_default: true,
            ..with_admission("chosen", RoutingPolicy::Estimate)
        },
    ]
}

/// All values, or only the selected one.
fn selected<T: Copy>(all: &[T], only: Option<T>) -> Vec<T> {
    only.map_or_else(|| all.to_vec(), |only| vec![only])
}
