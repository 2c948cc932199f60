//! What a daemon knows of the speeds of a service's runners, whether it holds them or not.
//!
//! A daemon relays streams of all runners. Their mean step is what the steps of a single
//! runner are compared with; a holder alone would compare its runners with themselves.
//! What was observed of a runner is where its next holder starts from. The planner gets the
//! ratios of all runners from their holders.

use std::time::{Duration, Instant};

use chestnut_base::{Incarnation, ServerName};
use indexmap::IndexMap;

use crate::speed::{MeanStep, StepSample, clamp_ratio};

/// Share of a stream's weight that is left when the next one is added to the mean step of a
/// runner, of which one daemon relays few streams.
const OBSERVED_DECAY: f64 = 0.7;

/// Number of runners that the expectation for the mean step of a service counts for.
///
/// It is the step time of the engine timings, which a daemon has before its first stream has
/// ended.
const NOMINAL_PRIOR_WEIGHT: f64 = 2.0;

/// The largest number of runners that are remembered for a service.
const MAX_OBSERVED: usize = 1024;

/// How long a runner without streams counts in the mean step of a service.
///
/// Runners that have left, perhaps slower ones than those in use, must not count forever. A daemon
/// of deployment B relays a stream of each runner every 24 s, by its rates and numbers.
const OBSERVED_TTL: Duration = Duration::from_secs(300);

/// Relative change of a ratio that is reported at once.
const REPORTED_CHANGE: f64 = 0.1;

/// How often a ratio that has not changed is reported.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// How long a reported ratio counts without being repeated.
///
/// A runner that has no holder for some seconds is as slow as before; one that has left must
/// not count forever.
const REPORT_TTL: Duration = Duration::from_secs(20);

/// What this daemon observed of one incarnation of a runner.
#[derive(Debug)]
struct ObservedRunner {
    started_at: Option<u64>,
    steps: MeanStep,
    /// When its last stream ended.
    seen_at: Instant,
}

/// What this daemon knows of the speeds of one service's runners.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    /// The steps of single runners, by name, for their current incarnations, and when the last
    /// stream ended.
    ///
    /// In their mean each runner counts once. Fast ones have more streams, and a mean over
    /// streams would make all runners seem slow.
    observed: IndexMap<ServerName, ObservedRunner>,
    /// The ratios that this daemon last reported to the planner, and when.
    reported: IndexMap<ServerName, (f64, Instant)>,
    /// The ratios that holders reported to this daemon as the planner, and when.
    received: IndexMap<ServerName, (f64, Instant)>,
}

impl ServiceSpeeds {
    /// Records what a stream that this daemon relayed measured.
    pub fn record_relayed(
        &mut self,
        server: &Incarnation,
        sample: StepSample,
        now: Instant,
    ) {
        let is_current = |seen_at| now.saturating_duration_since(seen_at) < OBSERVED_TTL;
        self.observed.retain(|_, runner| is_current(runner.seen_at));
        if self.observed.len() >= MAX_OBSERVED
            && !self.observed.contains_key(&server.server)
        {
            self.observed.swap_remove_index(0);
        }
        let started_at = server.started_at;
        let new =
            || ObservedRunner { started_at, steps: MeanStep::default(), seen_at: now };
        let runner = self.observed.entry(server.server.clone()).or_insert_with(new);
        if runner.started_at != started_at {
            *runner = new();
        }
        runner.seen_at = now;
        runner.steps.record(sample, OBSERVED_DECAY);
    }

    /// The mean duration of a step over all runners, of which `expected` is known before.
    pub fn nominal_step(&self, expected: Duration) -> Duration {
        let expected = expected.max(Duration::from_micros(1)).as_secs_f64();
        let steps = self.observed.values().filter_map(|runner| runner.steps.mean());
        let (mut weight, mut sum) =
            (NOMINAL_PRIOR_WEIGHT, NOMINAL_PRIOR_WEIGHT * expected.ln());
        for step in steps {
            weight += 1.0;
            sum += step.as_secs_f64().ln();
        }
        Duration::from_secs_f64((sum / weight).exp())
    }

    /// The steps that this daemon observed of one incarnation of a runner.
    pub fn observed(&self, server: &Incarnation) -> MeanStep {
        let observed = self.observed.get(&server.server);
        let current = observed.filter(|runner| runner.started_at == server.started_at);
        current.map(|runner| runner.steps).unwrap_or_default()
    }

    /// The ratio of a runner's steps to the mean, of which `expected` is known before, by
    /// this daemon's own observations; 1 if it has none.
    pub fn observed_ratio(&self, server: &Incarnation, expected: Duration) -> f64 {
        let steps = self.observed(server);
        let nominal = self.nominal_step(expected);
        let step = steps.pulled_to(nominal);
        step.map_or(1.0, |step| clamp_ratio(step.div_duration_f64(nominal)))
    }

    /// Those of the ratios of held runners that are to be reported to the planner now;
    /// records that they are.
    pub fn due_reports(
        &mut self,
        held: Vec<(ServerName, f64)>,
        now: Instant,
    ) -> Vec<(ServerName, f64)> {
        self.reported.retain(|server, _| held.iter().any(|(name, _)| name == server));
        let is_due = |(server, ratio): &(ServerName, f64)| {
            self.reported.get(server).is_none_or(|(before, at)| {
                (ratio / before - 1.0).abs() > REPORTED_CHANGE
                    || now.saturating_duration_since(*at) >= REPORT_PERIOD
            })
        };
        let due: Vec<(ServerName, f64)> = held.into_iter().filter(is_due).collect();
        for (server, ratio) in &due {
            self.reported.insert(server.clone(), (*ratio, now));
        }
        due
    }

    /// Applies a ratio that a holder reported to the planner.
    pub fn apply_report(&mut self, server: ServerName, ratio: f64, now: Instant) {
        if self.received.len() < MAX_OBSERVED || self.received.contains_key(&server) {
            self.received.insert(server, (clamp_ratio(ratio), now));
        }
    }

    /// The reported ratios of all runners.
    pub fn planned_ratios(&mut self, now: Instant) -> IndexMap<ServerName, f64> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_TTL;
        self.received.retain(|_, (_, at)| is_recent(*at));
        self.received.iter().map(|(name, (ratio, _))| (name.clone(), *ratio)).collect()
    }
}
