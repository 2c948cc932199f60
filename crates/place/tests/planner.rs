//! Plans keep every model reachable, fit the memory and move only what pays.

use std::time::Duration;

use chestnut_place::{ModelState, Placement, PoolState, RunnerState, plan_placement};
use proptest::prelude::*;
use proptest::test_runner::Config;

/// Plans that follow each other until nothing is left to do.
const ROUNDS: usize = 40;

fn runner(domain: usize, capacity: u64) -> RunnerState {
    RunnerState { domain, capacity, other_bytes: 0, accepts_models: true, locked: false }
}

fn model(bytes: u64, replicas: usize, demand: f64) -> ModelState {
    let cold = Duration::from_secs(30);
    let (placed, copies) = (Vec::new(), Vec::new());
    ModelState {
        bytes,
        replicas,
        load_time: cold,
        demand,
        placed,
        loading: 0,
        cached_on: copies,
    }
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

/// Carries plans out at once; returns the last one and all moves.
fn settle(pool: &mut PoolState) -> (Placement, usize) {
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

fn used(pool: &PoolState, runner: usize) -> u64 {
    let held = pool.models.iter().filter(|model| model.placed.contains(&runner));
    held.map(|model| model.bytes).sum()
}

proptest! {
    #![proptest_config(Config {
        cases: 200, failure_persistence: None, ..Config::default()
    })]

    // Teams declare models of any size and demand shifts at will. A model left
    // out without a word would be unreachable and nobody would know; a runner
    // given too much would refuse its loads.
    #[test]
    fn models_are_placed_or_named(
        capacities in prop::collection::vec(50u64..100, 1..6),
        models in prop::collection::vec((1u64..60, 1usize..3, 0.0..2_000.0), 1..12),
        shift in prop::collection::vec(0.1..10.0, 12),
    ) {
        let runners = capacities.iter().enumerate().map(|(at, c)| runner(at % 3, *c));
        let models = models.iter().map(|(b, r, d)| model(*b, *r, *d)).collect();
        let mut pool = pool(runners.collect(), models);
        settle(&mut pool);
        for (model, factor) in pool.models.iter_mut().zip(shift) {
            model.demand *= factor;
        }
        let (last, _) = settle(&mut pool);
        for (index, model) in pool.models.iter().enumerate() {
            let missing = model.replicas.saturating_sub(model.placed.len());
            let named = last.unplaced.iter().any(|(at, _)| *at == index);
            prop_assert_eq!(missing > 0, named, "model {}", index);
        }
        for (at, runner) in pool.runners.iter().enumerate() {
            prop_assert!(used(&pool, at) <= runner.capacity);
        }
    }

    // A plan for what is in place already must change nothing, else models would
    // move for ever and each move stalls a runner.
    #[test]
    fn settled_pools_stay(
        models in prop::collection::vec((5u64..30, 0.0..800.0), 1..12),
    ) {
        let models = models.iter().map(|(bytes, demand)| model(*bytes, 1, *demand));
        let mut pool = pool((0..4).map(|at| runner(at % 2, 80)).collect(), models.collect());
        settle(&mut pool);
        let again = plan_placement(&pool);
        prop_assert_eq!(again.added.len(), 0);
    }
}

#[test]
fn models_do_not_take_turns_within_a_plan() {
    // Callers turn from one model to another and ask for both alike for a moment. Both
    // have copies of their weights on most runners, where loads are not limited. The
    // daemon that planned exchanged them there without end, answered nobody, and the
    // next one that took over did the same.
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
    let mut pool = pool((0..9).map(|at| runner(at % 3, 199)).collect(), models.collect());
    pool.runner_throughput = 16_000.0;
    pool.parallel_loads = 2;
    pool.move_weight = 2.0;
    pool.demand_horizon = Duration::from_secs(20);
    let placement = plan_placement(&pool);
    assert!(placement.added.len() <= 9);
}

#[test]
fn the_neediest_model_gets_the_place() {
    // Two models are asked for more than their runners serve, one of them by far more.
    // There is room for one further replica. It goes to the one whose callers wait most,
    // whichever is declared first: the other one's would fill it as well.
    for needy in [0, 1] {
        let runners = vec![runner(0, 50), runner(0, 50), runner(0, 50)];
        let mut models = vec![model(40, 1, 1_900.0), model(40, 1, 1_900.0)];
        models[needy].demand = 9_000.0;
        models[0].placed = vec![0];
        models[1].placed = vec![1];
        let pool = PoolState { parallel_loads: 1, ..pool(runners, models) };
        let placed = plan_placement(&pool).placed;
        assert_eq!(placed[needy], [needy, 2], "the needy one is {needy}");
    }
}

#[test]
fn leaving_runner_is_replaced_first() {
    // Callers of the model on a VM that leaves must find it elsewhere before the
    // VM goes, even while other models are overloaded.
    let mut pool = pool(
        vec![runner(0, 20), runner(1, 20), runner(2, 20)],
        vec![model(10, 1, 10.0), model(10, 1, 5_000.0)],
    );
    pool.models[0].placed = vec![0];
    pool.models[1].placed = vec![1];
    pool.runners[0].accepts_models = false;
    pool.parallel_loads = 1;
    let next = plan_placement(&pool);
    assert_eq!(next.added.len(), 1);
    assert!(next.placed[0].iter().any(|at| *at != 0));
}

#[test]
fn replicas_are_spread_over_domains() {
    // With both replicas in one failure domain its loss would take the model.
    let runners = vec![runner(0, 90), runner(0, 90), runner(1, 30)];
    let mut pool = pool(runners, vec![model(20, 2, 10.0)]);
    let (last, _) = settle(&mut pool);
    let mut domains: Vec<_> =
        last.placed[0].iter().map(|at| pool.runners[*at].domain).collect();
    domains.sort();
    assert_eq!(domains, [0, 1]);
}

#[test]
fn overloaded_model_gets_replicas_if_that_pays() {
    let overloaded = |move_weight| {
        let runners = (0..3).map(|at| runner(at, 40)).collect();
        let mut pool = pool(runners, vec![model(10, 1, 1_900.0), model(10, 1, 10.0)]);
        pool.move_weight = move_weight;
        settle(&mut pool);
        pool.models[0].placed.len()
    };
    assert_eq!(overloaded(1.0), 3);
    // A move that costs more than all it gains is not made.
    assert_eq!(overloaded(100.0), 1);
}

#[test]
fn room_is_made_through_another_runner() {
    // The large model fits on no runner as the small ones lie; one of them has
    // to be loaded elsewhere before it can go.
    let mut pool = pool(
        vec![runner(0, 50), runner(0, 50)],
        vec![model(20, 1, 1.0), model(20, 1, 1.0), model(45, 1, 1.0)],
    );
    pool.models[0].placed = vec![0];
    pool.models[1].placed = vec![1];
    let (last, moves) = settle(&mut pool);
    assert_eq!(last.unplaced, []);
    assert_eq!(moves, 2);
}

#[test]
fn what_does_not_fit_is_named() {
    let mut pool = pool(vec![runner(0, 50)], vec![model(40, 1, 1.0), model(30, 2, 1.0)]);
    let (last, _) = settle(&mut pool);
    assert_eq!(last.unplaced, [(1, 2)]);
}

#[test]
fn without_demand_the_most_replicated_model_makes_room() {
    // Guards against dropping the scarce replicas of the second busiest model before the
    // first request comes: its callers then all queue at one runner.
    let runners = (0..4).map(|at| runner(at % 2, 100)).collect();
    let mut busy = model(50, 1, 0.0);
    busy.placed = vec![0, 1, 2, 3];
    let mut second = model(50, 1, 0.0);
    second.placed = vec![0, 1];
    let mut third = model(50, 1, 0.0);
    third.placed = vec![2, 3];
    let mut pool = pool(runners, vec![second, busy, third, model(50, 1, 0.0)]);
    let (last, _) = settle(&mut pool);
    let replicas: Vec<usize> = last.placed.iter().map(Vec::len).collect();
    assert_eq!(replicas, [2, 3, 2, 1]);
}

#[test]
fn a_model_beside_an_overloaded_one_is_not_taken_for_overloaded() {
    // Guards against replicas of a model that has all it needs elsewhere, since one of its
    // runners is overloaded by another model: they take the room and the loads that the
    // other one needs.
    let mut hot = model(55, 1, 3_000.0);
    let mut small = model(10, 1, 300.0);
    hot.placed = vec![0];
    small.placed = vec![0, 1];
    // No runner has room for another replica of the one that is overloaded.
    let mut runners: Vec<_> = (0..8).map(|_| runner(0, 60)).collect();
    (runners[0].capacity, runners[1].other_bytes) = (80, 10);
    let mut rest = model(30, 6, 0.0);
    rest.placed = (2..8).collect();
    let pool = PoolState { parallel_loads: 4, ..pool(runners, vec![hot, small, rest]) };
    let added = plan_placement(&pool).added;
    assert!(added.is_empty(), "{added:?}");
}
