//! The planner against its baselines, on few seeds.

use chestnut_lab::moves::deployment::{Deployment, Weighting};
use chestnut_lab::moves::policy::Policy;
use chestnut_lab::moves::{Summary, compare};

fn figures(policy: Policy) -> Summary {
    compare(Deployment::Adenta, Weighting::Moves, policy, 2)
}

// Demand on each model moves tenfold. The static placement leaves callers of hot
// models waiting beside idle runners; a greedy one moves more than it gains.
#[test]
fn planner_serves_more_and_moves_less() {
    let planner = figures(Policy::Planner);
    let fixed = figures(Policy::Static);
    let greedy = figures(Policy::Greedy);
    assert!(planner.attainment > fixed.attainment);
    assert!(planner.moves < greedy.moves);
    assert!(planner.score > fixed.score.max(greedy.score));
    assert_eq!(planner.unreachable, 0.0);
}
