//! Compares the placement planner with its baselines on two seeds.

use chestnut_lab::moves::deployment::{Deployment, Weighting};
use chestnut_lab::moves::policy::Policy;
use chestnut_lab::moves::{Summary, compare};

fn run(policy: Policy) -> Summary {
    compare(Deployment::Adenta, Weighting::Moves, policy, 2)
}

// Demand on each model changes by up to a factor of ten. A static placement leaves callers
// of hot models waiting while other runners are idle; a greedy one causes more loads than
// it gains.
#[test]
fn planner_serves_more_and_moves_less() {
    let planner = run(Policy::Planner);
    let static_placement = run(Policy::Static);
    let greedy = run(Policy::Greedy);
    assert!(planner.attainment > static_placement.attainment);
    assert!(planner.moves_per_hour < greedy.moves_per_hour);
    assert!(planner.score > static_placement.score.max(greedy.score));
    assert_eq!(planner.unreachable, 0.0);
}
