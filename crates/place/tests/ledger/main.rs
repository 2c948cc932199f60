//! Random tests of the ledger against a simulated engine that counts its memory.

mod engine;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};

use world::{Safeguards, Setup, World};

/// The number of steps of a long run.
const STEPS: usize = 100_000;

/// Seeds of the long runs.
const SEEDS: [u8; 4] = [1, 2, 3, 4];

fn setups() -> impl Strategy<Value = Setup> {
    (any::<bool>(), 2usize..6, 2u64..6).prop_map(|(fenced, assets, room)| Setup {
        fenced,
        assets,
        room,
        safeguards: Safeguards::All,
    })
}

proptest! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]

    // All requests on a runner fail when the engine needs more memory than the
    // accelerator has. Orders are lost, delayed and duplicated, the engine restarts,
    // holders are suspended and replaced, in any order. The ledger must reserve memory
    // for every order that can still arrive.
    #[test]
    fn memory_is_never_overcommitted(
        setup in setups(),
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..400),
    ) {
        let mut world = World::new(setup);
        for (kind, first, second) in steps {
            world.step(kind, first, second);
            prop_assert_eq!(world.violation(), None);
        }
    }

    // Once the faults end after any such history, the engine must come to hold the
    // desired models and nothing else. Without progress, a model that was being moved
    // would stay unreachable forever.
    #[test]
    fn desired_models_are_resident_in_the_end(
        setup in setups(),
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..200),
    ) {
        let mut world = World::new(setup);
        for (kind, first, second) in steps {
            world.step(kind, first, second);
        }
        world.run_without_faults();
        prop_assert_eq!(world.violation(), None);
        prop_assert_eq!(world.difference(), None);
    }
}

fn long_run(seed: u8, fenced: bool, safeguards: Safeguards) -> Option<(usize, String)> {
    let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut world = World::new(Setup { fenced, assets: 6, room: 3, safeguards });
    for step in 0..STEPS {
        let [kind, first, second, _] = rng.next_u32().to_le_bytes();
        world.step(kind, first, second);
        if let Some(violation) = world.violation() {
            return Some((step, violation));
        }
    }
    world.assert_progress(STEPS);
    None
}

#[test]
fn long_runs_hold_with_engines_that_check_fences() {
    for seed in SEEDS {
        assert_eq!(long_run(seed, true, Safeguards::All), None, "seed {seed}");
    }
}

#[test]
fn long_runs_hold_with_engines_that_ignore_fences() {
    for seed in SEEDS {
        assert_eq!(long_run(seed, false, Safeguards::All), None, "seed {seed}");
    }
}

// Each safeguard is disabled in turn. The run must then find the engine overcommitted,
// otherwise it could not detect a missing safeguard.
#[test]
fn each_safeguard_is_needed() {
    for safeguards in
        [Safeguards::NoCommitFirst, Safeguards::NoUnloadReport, Safeguards::NoExpiryWait]
    {
        let violation = long_run(SEEDS[0], false, safeguards);
        assert!(violation.is_some(), "{safeguards:?} makes no difference");
        println!("{safeguards:?}: {violation:?}");
    }
}
