//! Plans place every model that fits, respect memory limits and make only worthwhile
//! moves.

use std::time::Duration;

use chestnut_place::{ModelState, Placement, PoolState, RunnerState, plan_placement};
use proptest::prelude::*;
use proptest::test_runner::Config;

/// The number of successive plans after which a placement is stable.
const ROUNDS: usize = 40;

fn runner(domain: usize, capacity: u64) -> RunnerState {
    RunnerState {
        domain,
        capacity,
        other_bytes: 0,
        accepts_models: true,
        locked: false,
        lost_throughput: 0.0,
    }
}

fn model(bytes: u64, replicas: usize, demand: f64) -> ModelState {
    let load_time = Duration::from_secs(30);
    let (placed, cached_on) = (Vec::new(), Vec::new());
    ModelState { bytes, replicas, load_time, demand, placed, loading: 0, cached_on }
}

fn pool(runners: Vec<RunnerState>, models: Vec<ModelState>) -> PoolState {
    PoolState {
        runners,
        models,
        runner_throughput: 1_000.0,
        parallel_loads: 2,
        frozen: false,
        attainment_weight: 1.0,
        move_weight: 1.0,
        demand_horizon: chestnut_place::planner::DEMAND_HORIZON,
    }
}

/// Executes [`ROUNDS`] successive plans; returns the last one and the number of all
/// moves.
fn execute_plans(pool: &mut PoolState) -> (Placement, usize) {
    let mut moves = 0;
    let mut last = Placement::default();
    for _ in 0..ROUNDS {
        last = plan_placement(pool);
        moves += last.added.len();
        for (model, placed) in pool.models.iter_mut().zip(&last.placed) {
            model.placed.clone_from(placed);
        }
    }
    (last, moves)
}

fn used_bytes(pool: &PoolState, runner: usize) -> u64 {
    let placed = pool.models.iter().filter(|model| model.placed.contains(&runner));
    placed.map(|model| model.bytes).sum()
}

proptest! {
    #![proptest_config(Config {
        cases: 200, failure_persistence: None, ..Config::default()
    })]

    // Teams declare models of any size, and demand changes in any way. A model that is
    // neither placed nor reported as unplaced would be unreachable without notice. A
    // runner with too many models would refuse its loads.
    #[test]
    fn models_are_placed_or_reported(
        capacities in prop::collection::vec(50u64..100, 1..6),
        models in prop::collection::vec((1u64..60, 1usize..3, 0.0..2_000.0), 1..12),
        demand_factors in prop::collection::vec(0.1..10.0, 12),
    ) {
        let runners = capacities
            .iter()
            .enumerate()
            .map(|(index, capacity)| runner(index % 3, *capacity));
        let models = models
            .iter()
            .map(|(bytes, replicas, demand)| model(*bytes, *replicas, *demand))
            .collect();
        let mut pool = pool(runners.collect(), models);
        execute_plans(&mut pool);
        for (model, factor) in pool.models.iter_mut().zip(demand_factors) {
            model.demand *= factor;
        }
        let (last, _) = execute_plans(&mut pool);
        for (index, model) in pool.models.iter().enumerate() {
            let missing = model.replicas.saturating_sub(model.placed.len());
            let reported = last.unplaced.iter().any(|(model, _)| *model == index);
            prop_assert_eq!(missing > 0, reported, "model {}", index);
        }
        for (index, runner) in pool.runners.iter().enumerate() {
            prop_assert!(used_bytes(&pool, index) <= runner.capacity);
        }
    }

    // A plan for a stable placement must change nothing. Otherwise models would move
    // forever, and each move stalls a runner.
    #[test]
    fn stable_placements_do_not_change(
        models in prop::collection::vec((5u64..30, 0.0..800.0), 1..12),
    ) {
        let models = models.iter().map(|(bytes, demand)| model(*bytes, 1, *demand));
        let mut pool = pool(
            (0..4).map(|index| runner(index % 2, 80)).collect(),
            models.collect(),
        );
        execute_plans(&mut pool);
        let placement = plan_placement(&pool);
        prop_assert_eq!(placement.added.len(), 0);
    }
}

#[test]
fn models_do_not_replace_each_other_endlessly_within_a_plan() {
    // Demand shifts from one model to another and is equal for a moment. Both have copies
    // of their weights on most runners, where loads are not limited. A planner that
    // replaced one by the other there endlessly would make its daemon unresponsive, and
    // then each daemon that takes over.
    let gigabytes: [u64; 13] = [73, 73, 73, 65, 73, 34, 65, 73, 34, 66, 65, 73, 34];
    let demands = [
        0.0, 33_917.0, 0.0, 1_057.0, 33_917.0, 19_076.0, 657.0, 473.0, 231.0, 971.0,
        77.0, 310.0, 2_108.0,
    ];
    let placed: [&[usize]; 13] = [
        &[8],
        &[0, 1, 2, 6, 7],
        &[8],
        &[1],
        &[0, 3, 4, 5, 7],
        &[0],
        &[5],
        &[6],
        &[3],
        &[4],
        &[2],
        &[3],
        &[5],
    ];
    let copies: [&[usize]; 13] = [
        &[0, 1, 3, 5, 6, 7, 8],
        &[0, 1, 2, 3, 4, 6, 7],
        &[0, 8],
        &[1, 5],
        &[0, 1, 2, 3, 4, 5, 6, 7],
        &[0, 1, 4, 5, 7],
        &[2, 3, 5, 6, 7, 8],
        &[4, 6],
        &[0, 2, 3],
        &[1, 2, 4, 8],
        &[2, 4, 7, 8],
        &[3],
        &[0, 5],
    ];
    let models = (0..13).map(|index| ModelState {
        placed: placed[index].to_vec(),
        cached_on: copies[index].to_vec(),
        load_time: Duration::from_millis(1200),
        ..model(gigabytes[index], 1, demands[index])
    });
    let mut pool =
        pool((0..9).map(|index| runner(index % 3, 199)).collect(), models.collect());
    pool.runner_throughput = 16_000.0;
    pool.parallel_loads = 2;
    pool.move_weight = 2.0;
    pool.demand_horizon = Duration::from_secs(20);
    let placement = plan_placement(&pool);
    assert!(placement.added.len() <= 9);
}

#[test]
fn the_most_overloaded_model_gets_the_replica() {
    // Two models have more demand than their runners can serve, one of them far more.
    // There is room for one further replica, which either of them would fill. It goes to
    // the model whose callers wait longest, independent of the order of declaration.
    for busiest in [0, 1] {
        let runners = vec![runner(0, 50), runner(0, 50), runner(0, 50)];
        let mut models = vec![model(40, 1, 1_900.0), model(40, 1, 1_900.0)];
        models[busiest].demand = 9_000.0;
        models[0].placed = vec![0];
        models[1].placed = vec![1];
        let pool = PoolState { parallel_loads: 1, ..pool(runners, models) };
        let placed = plan_placement(&pool).placed;
        assert_eq!(placed[busiest], [busiest, 2], "the busiest model is {busiest}");
    }
}

#[test]
fn replicas_on_a_leaving_runner_are_replaced_first() {
    // Callers of a model on a leaving runner must find it elsewhere before the runner is
    // gone, even while other models are overloaded.
    let mut pool = pool(
        vec![runner(0, 20), runner(1, 20), runner(2, 20)],
        vec![model(10, 1, 10.0), model(10, 1, 5_000.0)],
    );
    pool.models[0].placed = vec![0];
    pool.models[1].placed = vec![1];
    pool.runners[0].accepts_models = false;
    pool.parallel_loads = 1;
    let placement = plan_placement(&pool);
    assert_eq!(placement.added.len(), 1);
    assert!(placement.placed[0].iter().any(|runner| *runner != 0));
}

#[test]
fn replicas_are_spread_over_domains() {
    // With both replicas in one failure domain, its loss would make the model
    // unavailable.
    let runners = vec![runner(0, 90), runner(0, 90), runner(1, 30)];
    let mut pool = pool(runners, vec![model(20, 2, 10.0)]);
    let (last, _) = execute_plans(&mut pool);
    let mut domains: Vec<_> =
        last.placed[0].iter().map(|runner| pool.runners[*runner].domain).collect();
    domains.sort();
    assert_eq!(domains, [0, 1]);
}

#[test]
fn an_overloaded_model_gets_replicas_if_worthwhile() {
    let replicas = |move_weight| {
        let runners = (0..3).map(|index| runner(index, 40)).collect();
        let mut pool = pool(runners, vec![model(10, 1, 1_900.0), model(10, 1, 10.0)]);
        pool.move_weight = move_weight;
        execute_plans(&mut pool);
        pool.models[0].placed.len()
    };
    assert_eq!(replicas(1.0), 3);
    // A move that costs more than it gains is not made.
    assert_eq!(replicas(100.0), 1);
}

#[test]
fn a_smaller_model_is_relocated_to_make_room() {
    // With the current placement of the small models the large one fits on no runner. One
    // of the small ones has to be loaded elsewhere before its replica can be dropped.
    let mut pool = pool(
        vec![runner(0, 50), runner(0, 50)],
        vec![model(20, 1, 1.0), model(20, 1, 1.0), model(45, 1, 1.0)],
    );
    pool.models[0].placed = vec![0];
    pool.models[1].placed = vec![1];
    let (last, moves) = execute_plans(&mut pool);
    assert_eq!(last.unplaced, []);
    assert_eq!(moves, 2);
}

#[test]
fn replicas_that_do_not_fit_are_reported() {
    let mut pool = pool(vec![runner(0, 50)], vec![model(40, 1, 1.0), model(30, 2, 1.0)]);
    let (last, _) = execute_plans(&mut pool);
    assert_eq!(last.unplaced, [(1, 2)]);
}

#[test]
fn without_demand_the_most_replicated_model_makes_room() {
    // Before the first request, the planner must not drop replicas of the second busiest
    // model, which has few: its callers would then all queue at one runner.
    let runners = (0..4).map(|index| runner(index % 2, 100)).collect();
    let mut busy = model(50, 1, 0.0);
    busy.placed = vec![0, 1, 2, 3];
    let mut second = model(50, 1, 0.0);
    second.placed = vec![0, 1];
    let mut third = model(50, 1, 0.0);
    third.placed = vec![2, 3];
    let mut pool = pool(runners, vec![second, busy, third, model(50, 1, 0.0)]);
    let (last, _) = execute_plans(&mut pool);
    let replicas: Vec<usize> = last.placed.iter().map(Vec::len).collect();
    assert_eq!(replicas, [2, 3, 2, 1]);
}

#[test]
fn a_model_beside_an_overloaded_one_is_not_taken_for_overloaded() {
    // A model may share one runner with an overloaded model and have enough throughput on
    // its other runners. Further replicas of it would take the memory and the loads that
    // the overloaded model needs.
    let mut hot = model(55, 1, 3_000.0);
    let mut small = model(10, 1, 300.0);
    hot.placed = vec![0];
    small.placed = vec![0, 1];
    // No runner has room for another replica of the overloaded model.
    let mut runners: Vec<_> = (0..8).map(|_| runner(0, 60)).collect();
    (runners[0].capacity, runners[1].other_bytes) = (80, 10);
    let mut rest = model(30, 6, 0.0);
    rest.placed = (2..8).collect();
    let pool = PoolState { parallel_loads: 4, ..pool(runners, vec![hot, small, rest]) };
    let added = plan_placement(&pool).added;
    assert!(added.is_empty(), "{added:?}");
}
