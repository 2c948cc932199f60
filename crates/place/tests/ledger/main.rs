//! The ledger against an engine that counts real bytes at every step.

mod engine;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng};

use world::{Guard, Setup, World};

/// Steps of a long run.
const STEPS: usize = 100_000;

/// Seeds of the long runs.
const SEEDS: [u8; 4] = [1, 2, 3, 4];

fn setups() -> impl Strategy<Value = Setup> {
    (any::<bool>(), 2usize..6, 2u64..6).prop_map(|(fenced, assets, room)| Setup {
        fenced,
        assets,
        room,
        guard: Guard::On,
    })
}

proptest! {
    #![proptest_config(Config { cases: 400, failure_persistence: None, ..Config::default() })]

    // The caller sees all requests on a runner die when the engine takes more
    // memory than the accelerator has. Orders are lost, late and doubled, the
    // engine restarts, leads are paused and replaced, in any order. The ledger
    // must reserve whatever can still land, so that no order lands on too little.
    #[test]
    fn memory_is_never_overcommitted(
        setup in setups(),
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..400),
    ) {
        let mut world = World::new(setup);
        for (kind, first, second) in steps {
            world.step(kind, first, second);
            prop_assert_eq!(world.fault(), None);
        }
    }

    // After any such history the faults end. Without progress a model that was
    // being moved would stay unreachable for ever; the ledger must come to hold
    // what is wanted and nothing else.
    #[test]
    fn wanted_models_are_resident_in_the_end(
        setup in setups(),
        steps in prop::collection::vec(any::<(u8, u8, u8)>(), 1..200),
    ) {
        let mut world = World::new(setup);
        for (kind, first, second) in steps {
            world.step(kind, first, second);
        }
        world.settle();
        prop_assert_eq!(world.fault(), None);
        prop_assert_eq!(world.missing(), None);
    }
}

fn long_run(seed: u8, fenced: bool, guard: Guard) -> Option<(usize, String)> {
    let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut world = World::new(Setup { fenced, assets: 6, room: 3, guard });
    for step in 0..STEPS {
        let [kind, first, second, _] = rng.next_u32().to_le_bytes();
        world.step(kind, first, second);
        if let Some(fault) = world.fault() {
            return Some((step, fault));
        }
    }
    world.check_busy(STEPS);
    None
}

#[test]
fn long_runs_hold_with_engines_that_check_fences() {
    for seed in SEEDS {
        assert_eq!(long_run(seed, true, Guard::On), None, "seed {seed}");
    }
}

#[test]
fn long_runs_hold_with_engines_that_ignore_fences() {
    for seed in SEEDS {
        assert_eq!(long_run(seed, false, Guard::On), None, "seed {seed}");
    }
}

// Each safeguard is switched off in turn; the run must then find the engine
// overcommitted, else it would prove nothing.
#[test]
fn each_safeguard_is_needed() {
    for guard in [Guard::NoCommit, Guard::NoConfirm, Guard::NoLate] {
        let fault = long_run(SEEDS[0], false, guard);
        assert!(fault.is_some(), "{guard:?} makes no difference");
        println!("{guard:?}: {fault:?}");
    }
}
