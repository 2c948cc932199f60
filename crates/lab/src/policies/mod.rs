//! Admission and routing under load, against baselines and a bound.
//!
//! A run passes through these stages:
//!
//! 1. [`shape`] describes a deployment and [`traffic`] draws its requests,
//! 2. [`world`] plays them against [`engine`]s in virtual time, with the very
//!    routers and leads that the daemon uses,
//! 3. [`bound`] computes what no schedule could exceed,
//! 4. [`tally`] turns what callers received into figures.

pub mod bound;
pub mod engine;
pub mod shape;
pub mod tally;
pub mod traffic;
pub mod world;

use bpaf::Bpaf;
use chestnut_admit::AdmissionPolicy;
use chestnut_route::RoutingPolicy;

use shape::{Deployment, Pattern, Shape};
use tally::{Figures, Tally};
use traffic::Traffic;
use world::World;

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
pub struct Contender {
    /// Its name in the output.
    pub name: &'static str,
    /// How entries choose.
    pub policy: RoutingPolicy,
    /// How leads decide.
    pub rule: AdmissionPolicy,
    /// Whether it is what the daemon uses.
    pub chosen: bool,
}

/// Runs the comparison and prints it.
pub fn run(options: &Options) {
    if !options.json {
        println!("{}", tally::header());
    }
    for deployment in wanted(&Deployment::ALL, options.deployment) {
        for pattern in wanted(&Pattern::ALL, options.pattern) {
            for contender in contenders() {
                let name = options.policy.as_deref();
                if name.is_none_or(|name| name == contender.name) {
                    let figures = compare(deployment, pattern, contender, options.seeds);
                    println!("{}", tally::line(&figures, options.json));
                }
            }
        }
    }
}

/// The mean figures of a policy over all seeds.
pub fn compare(
    deployment: Deployment,
    pattern: Pattern,
    contender: Contender,
    seeds: u64,
) -> Figures {
    let shape = Shape::of(deployment);
    let mut tally = Tally::default();
    for seed in 0..seeds {
        let traffic = Traffic::draw(&shape, pattern, seed);
        let most = bound::most(&shape, &traffic);
        let world = World::new(&shape, &traffic, contender, seed);
        tally.add(&shape, &traffic, &world.play(), most);
    }
    tally.figures(deployment, pattern, contender)
}

/// The policies that are compared.
pub fn contenders() -> Vec<Contender> {
    let naive = |name, policy| Contender {
        name,
        policy,
        rule: AdmissionPolicy::FIFO,
        chosen: false,
    };
    let led = |name, policy| Contender {
        name,
        policy,
        rule: AdmissionPolicy::default(),
        chosen: false,
    };
    vec![
        naive("round-robin", RoutingPolicy::RoundRobin),
        naive("least-in-flight", RoutingPolicy::LeastInFlight),
        naive("two-choices", RoutingPolicy::TwoChoices),
        naive("k-choice", RoutingPolicy::KChoice(2)),
        led("round-robin+lead", RoutingPolicy::RoundRobin),
        led("k-choice+lead", RoutingPolicy::KChoice(2)),
        Contender { chosen: true, ..led("chosen", RoutingPolicy::Estimate) },
    ]
}

/// All variants, or the one that is named.
fn wanted<T: Copy>(all: &[T], only: Option<T>) -> Vec<T> {
    only.map_or_else(|| all.to_vec(), |only| vec![only])
}
