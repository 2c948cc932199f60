//! Admission and routing under load, against baselines and a bound.
//!
//! A run passes through these stages:
//!
//! 1. [`scenario`] describes a deployment and [`traffic`] draws its requests,
//! 2. [`simulation`] plays them against [`engine`]s in virtual time, with the very
//!    routers and leads that the daemon uses,
//! 3. [`bound`] computes what no schedule could exceed,
//! 4. [`results`] turns what callers received into summary.

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

/// What to compare.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Print one JSON object a line.
    pub json: bool,
    /// Runs with different random numbers.
    #[bpaf(argument("N"), fallback(20))]
    pub seeds: u64,
    /// Only this pattern.
    #[bpaf(argument("P"))]
    pub pattern: Option<Pattern>,
    /// Only this deployment.
    #[bpaf(argument("D"))]
    pub deployment: Option<Deployment>,
    /// Only this policy.
    #[bpaf(argument("NAME"))]
    pub policy: Option<String>,
}

/// A policy under comparison: how entries choose and how leads decide.
#[derive(Debug, Clone, Copy)]
pub struct PolicyConfig {
    /// Its name in the output.
    pub name: &'static str,
    /// How entries choose.
    pub routing: RoutingPolicy,
    /// How leads decide.
    pub admission: AdmissionPolicy,
    /// Whether it is what the daemon uses.
    pub is_default: bool,
}

/// Runs the comparison and prints it.
pub fn run(options: &Options) {
    if !options.json {
        println!("{}", results::table_header());
    }
    for deployment in wanted(&Deployment::ALL, options.deployment) {
        for pattern in wanted(&Pattern::ALL, options.pattern) {
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

/// The mean summary of a policy over all seeds.
pub fn compare(
    deployment: Deployment,
    pattern: Pattern,
    config: PolicyConfig,
    seeds: u64,
) -> Summary {
    let spec = DeploymentSpec::of(deployment);
    let mut tally = Aggregator::default();
    for seed in 0..seeds {
        let traffic = Traffic::generate(&spec, pattern, seed);
        let most = bound::max_served(&spec, &traffic);
        let world = Simulation::new(&spec, &traffic, config, seed);
        tally.add(&spec, &traffic, &world.run(), most);
    }
    tally.summary(deployment, pattern, config)
}

/// The policies that are compared.
pub fn policy_configs() -> Vec<PolicyConfig> {
    let naive = |name, policy| PolicyConfig {
        name,
        routing: policy,
        admission: AdmissionPolicy::FIFO,
        is_default: false,
    };
    let led = |name, policy| PolicyConfig {
        name,
        routing: policy,
        admission: AdmissionPolicy::default(),
        is_default: false,
    };
    vec![
        naive("round-robin", RoutingPolicy::RoundRobin),
        naive("least-in-flight", RoutingPolicy::LeastInFlight),
        naive("two-choices", RoutingPolicy::TwoChoices),
        naive("k-choice", RoutingPolicy::KChoice(2)),
        led("round-robin+lead", RoutingPolicy::RoundRobin),
        led("k-choice+lead", RoutingPolicy::KChoice(2)),
        PolicyConfig { is_default: true, ..led("chosen", RoutingPolicy::Estimate) },
    ]
}

/// All variants, or the one that is named.
fn wanted<T: Copy>(all: &[T], only: Option<T>) -> Vec<T> {
    only.map_or_else(|| all.to_vec(), |only| vec![only])
}
