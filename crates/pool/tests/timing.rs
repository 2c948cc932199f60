//! How fast the timings of engines are learned.

mod support;

use std::time::Duration;

use chestnut_pool::EngineTimings;
use chestnut_pool::timing::{LearnedTimings, PrefillTiming};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use support::model;

/// Prefill rates of engines, in tokens a millisecond.
const RATES: [f64; 3] = [13.0, 25.0, 60.0];

/// Number of samples after which the rate has to be known.
const SAMPLES: usize = 25;

/// Records first events of prompts of usual lengths at a prefill rate.
fn record_prompts(timings: &mut EngineTimings, name: &str, rate: f64, prompts: usize) {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..prompts {
        let tokens: u32 = rng.random_range(100..2500);
        // Attention compares each token with those before it.
        let effort = f64::from(tokens) * (1.0 + f64::from(tokens) / 25_000.0);
        let time = 60.0 + effort / rate + rng.random_range(0.0..6.0);
        timings.record_first_event(
            &model(name),
            tokens,
            Duration::from_secs_f64(time / 1000.0),
        );
    }
}

/// Estimated prefill rate of a model, in tokens a millisecond.
fn rate(timings: &EngineTimings, name: &str) -> f64 {
    0.001 / timings.token_time(&model(name)).as_secs_f64()
}

fn assert_near(timings: &EngineTimings, name: &str, actual: f64) {
    let estimate = rate(timings, name);
    assert!(
        (estimate / actual - 1.0).abs() < 0.2,
        "{estimate} tokens/ms instead of {actual}"
    );
}

#[test]
fn any_prefill_rate_is_learned_after_a_few_prompts() {
    // Guards against relying on the initial assumption for long: prompts wait at an idle
    // engine, or pile up at a slow one.
    for actual in RATES {
        let mut timings = EngineTimings::default();
        record_prompts(&mut timings, "m", actual, SAMPLES);
        assert_near(&timings, "m", actual);
    }
}

#[test]
fn a_daemon_that_starts_uses_shared_timings() {
    // Guards against using the initial assumption after all daemons lost power.
    for actual in RATES {
        let mut before = EngineTimings::default();
        record_prompts(&mut before, "m", actual, SAMPLES * 4);
        let mut fresh = EngineTimings::default();
        fresh.merge(&before.learned());
        assert_near(&fresh, "m", actual);
    }
}

#[test]
fn a_model_without_samples_is_expected_to_be_like_others() {
    // Guards against using the initial assumption for a model whose demand has just begun.
    let mut timings = EngineTimings::default();
    record_prompts(&mut timings, "m", 60.0, SAMPLES * 4);
    assert_near(&timings, "n", 60.0);
    record_prompts(&mut timings, "n", 20.0, SAMPLES * 2);
    assert_near(&timings, "n", 20.0);
}

#[test]
fn timings_are_shared_when_they_change() {
    // Guards against a write to the store after every prompt.
    let mut timings = EngineTimings::default();
    record_prompts(&mut timings, "m", 20.0, SAMPLES * 4);
    let shared = timings.learned();
    assert!(shared.differs_from(&Default::default()));
    record_prompts(&mut timings, "m", 20.0, SAMPLES);
    assert!(!timings.learned().differs_from(&shared));
    record_prompts(&mut timings, "m", 30.0, SAMPLES * 4);
    assert!(timings.learned().differs_from(&shared));
}

#[test]
fn the_step_time_excludes_gaps_with_prefill() {
    // Guards against counting prefill between two events as part of the engine's step time,
    // or events that arrive together as a fast step.
    for (step, tokens) in [(4.0, 9), (6.0, 6), (30.0, 3)] {
        let mut timings = EngineTimings::default();
        let mut rng = SmallRng::seed_from_u64(11);
        for _ in 0..400 {
            let prefill =
                if rng.random_bool(0.6) { rng.random_range(10.0..150.0) } else { 0.0 };
            let steps = step * f64::from(tokens) * rng.random_range(0.95..1.05);
            let gap = if rng.random_bool(0.1) { 0.1 } else { steps + prefill };
            timings.record_event_gap(Duration::from_secs_f64(gap / 1000.0), tokens);
        }
        let estimate = timings.step_time().as_secs_f64() * 1000.0;
        assert!(
            (1.0..1.4).contains(&(estimate / step)),
            "{estimate} ms instead of {step}"
        );
    }
}

#[test]
fn the_service_time_is_learned() {
    // Guards against refusing a caller because service times are overestimated.
    let mut timings = EngineTimings::default();
    for _ in 0..150 {
        timings.record_service_time(Duration::from_millis(500));
    }
    assert!(timings.service_time() < Duration::from_millis(650));
}

#[test]
fn a_daemon_that_starts_keeps_shared_timings() {
    // Guards against a planner that has just started and overwrites the stored timings with
    // its empty ones.
    let mut before = EngineTimings::default();
    record_prompts(&mut before, "m", 40.0, SAMPLES * 4);
    let mut fresh = EngineTimings::default();
    fresh.merge(&before.learned());
    assert!(fresh.learned().models.is_empty());
    record_prompts(&mut fresh, "n", 20.0, SAMPLES * 4);
    let all = fresh.learned_by_all();
    assert_eq!(all.models.len(), 2);
    assert!(!all.differs_from(&fresh.learned_by_all()));
}

#[test]
fn implausible_shared_times_are_clamped() {
    // Guards against stored values so large or small that estimates made from them are
    // useless.
    let mut timings = EngineTimings::default();
    let huge = Duration::from_micros(u64::MAX);
    timings.merge(&LearnedTimings {
        step_time: huge,
        service_time: huge,
        ..LearnedTimings::default()
    });
    assert!(timings.step_time() < Duration::from_secs(2));
    timings.merge(&LearnedTimings {
        step_time: Duration::ZERO,
        ..LearnedTimings::default()
    });
    assert!(timings.step_time() > Duration::ZERO);
}

/// Guards against a daemon that ends because a row or another daemon names impossible timings.
#[test]
fn any_timings_can_be_merged() {
    for value in [1e30, 1e200, 1e308, -1e308, f64::INFINITY, f64::NAN] {
        let timing = PrefillTiming { token_ms: value, overhead_ms: value };
        let models = [(model("a"), timing)].into_iter().collect();
        let learned = LearnedTimings {
            models,
            step_time: Duration::MAX,
            service_time: Duration::MAX,
        };
        let mut timings = EngineTimings::default();
        timings.merge(&learned);
        for name in ["a", "b"] {
            let overhead = timings.first_event_overhead(&model(name));
            let prefill = timings.prefill_time(&model(name), 1_000);
            let total = overhead + prefill + timings.step_time() + timings.service_time();
            assert!(total < Duration::from_secs(3600), "{value} {total:?}");
        }
    }
}
