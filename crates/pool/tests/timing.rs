//! How soon it is known how fast engines read.

mod support;

use std::time::Duration;

use chestnut_pool::EngineTimings;
use chestnut_pool::timing::LearnedTimings;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use support::model;

/// Reading speeds of engines, in tokens a millisecond.
const RATES: [f64; 3] = [13.0, 25.0, 60.0];

/// Prompts that are read before the speed has to be known.
const PROMPTS: usize = 25;

/// Lets prompts of usual lengths be read at a rate.
fn read(speeds: &mut EngineTimings, name: &str, rate: f64, prompts: usize) {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..prompts {
        let tokens: u32 = rng.random_range(100..2500);
        // Each token is compared with those before it.
        let effort = f64::from(tokens) * (1.0 + f64::from(tokens) / 25_000.0);
        let time = 60.0 + effort / rate + rng.random_range(0.0..6.0);
        speeds.record_first_event(
            &model(name),
            tokens,
            Duration::from_secs_f64(time / 1000.0),
        );
    }
}

/// How fast prompts of a model are read, in tokens a millisecond.
fn rate(speeds: &EngineTimings, name: &str) -> f64 {
    0.001 / speeds.token_time(&model(name)).as_secs_f64()
}

fn assert_near(speeds: &EngineTimings, name: &str, truth: f64) {
    let known = rate(speeds, name);
    assert!((known / truth - 1.0).abs() < 0.2, "{known} tokens/ms, really {truth}");
}

#[test]
fn engines_of_any_speed_are_known_after_a_few_prompts() {
    // Guards against going by the first guess for long: prompts wait at an idle engine, or
    // pile up at a slow one.
    for truth in RATES {
        let mut speeds = EngineTimings::default();
        read(&mut speeds, "m", truth, PROMPTS);
        assert_near(&speeds, "m", truth);
    }
}

#[test]
fn a_daemon_that_starts_goes_by_what_others_learnt() {
    // Guards against the first guess after all daemons lost their power.
    for truth in RATES {
        let mut before = EngineTimings::default();
        read(&mut before, "m", truth, PROMPTS * 4);
        let mut fresh = EngineTimings::default();
        fresh.merge(&before.learned());
        assert_near(&fresh, "m", truth);
    }
}

#[test]
fn a_model_that_was_not_read_yet_is_expected_to_be_like_others() {
    // Guards against the first guess for the model that callers have just turned to.
    let mut speeds = EngineTimings::default();
    read(&mut speeds, "m", 60.0, PROMPTS * 4);
    assert_near(&speeds, "n", 60.0);
    read(&mut speeds, "n", 20.0, PROMPTS * 2);
    assert_near(&speeds, "n", 20.0);
}

#[test]
fn what_was_learnt_is_told_when_it_changes() {
    // Guards against a write to the store with every prompt.
    let mut speeds = EngineTimings::default();
    read(&mut speeds, "m", 20.0, PROMPTS * 4);
    let told = speeds.learned();
    assert!(told.differs_from(&Default::default()));
    read(&mut speeds, "m", 20.0, PROMPTS);
    assert!(!speeds.learned().differs_from(&told));
    read(&mut speeds, "m", 30.0, PROMPTS * 4);
    assert!(speeds.learned().differs_from(&told));
}

#[test]
fn a_step_is_told_from_pauses_in_which_prompts_were_read() {
    // Guards against taking the reading between two events for the engine's own step, or
    // events that arrive together for a fast one.
    for (step, tokens) in [(4.0, 9), (6.0, 6), (30.0, 3)] {
        let mut speeds = EngineTimings::default();
        let mut rng = SmallRng::seed_from_u64(11);
        for _ in 0..400 {
            let read =
                if rng.random_bool(0.6) { rng.random_range(10.0..150.0) } else { 0.0 };
            let bare = step * f64::from(tokens) * rng.random_range(0.95..1.05);
            let pause = if rng.random_bool(0.1) { 0.1 } else { bare + read };
            speeds.record_event_gap(Duration::from_secs_f64(pause / 1000.0), tokens);
        }
        let known = speeds.step_time().as_secs_f64() * 1000.0;
        assert!((1.0..1.4).contains(&(known / step)), "{known} ms, really {step}");
    }
}

#[test]
fn how_long_requests_stay_is_learnt() {
    // Guards against refusing a caller because streams are taken to stay for longer than
    // they do.
    let mut speeds = EngineTimings::default();
    for _ in 0..150 {
        speeds.record_service_time(Duration::from_millis(500));
    }
    assert!(speeds.service_time() < Duration::from_millis(650));
}

#[test]
fn a_daemon_that_starts_keeps_what_others_learnt() {
    // Guards against a planner that has just started and writes that nothing is known.
    let mut before = EngineTimings::default();
    read(&mut before, "m", 40.0, PROMPTS * 4);
    let mut fresh = EngineTimings::default();
    fresh.merge(&before.learned());
    assert!(fresh.learned().models.is_empty());
    read(&mut fresh, "n", 20.0, PROMPTS * 4);
    let kept = fresh.learned_by_all();
    assert_eq!(kept.models.len(), 2);
    assert!(!kept.differs_from(&fresh.learned_by_all()));
}

#[test]
fn times_that_no_engine_has_are_not_believed() {
    // Guards against a row in the store with figures that a daemon can't reckon with.
    let mut speeds = EngineTimings::default();
    let most = Duration::from_micros(u64::MAX);
    speeds.merge(&LearnedTimings {
        step_time: most,
        service_time: most,
        ..LearnedTimings::default()
    });
    assert!(speeds.step_time() < Duration::from_secs(2));
    speeds.merge(&LearnedTimings {
        step_time: Duration::ZERO,
        ..LearnedTimings::default()
    });
    assert!(speeds.step_time() > Duration::ZERO);
}
