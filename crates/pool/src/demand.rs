//! How much callers ask for of each model of a service.
//!
//! Every daemon counts what its own callers ask for and tells its sum since its
//! start, so that a lost message only delays what it says.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ModelName};
use chestnut_place::Demand;
use indexmap::IndexMap;

/// The time in which the fast average of demand forgets half.
///
/// Loads take about a second: a rise that lasts as long is worth following.
const FAST_HALF: Duration = Duration::from_millis(700);

/// The time in which the slow average of demand forgets half.
const SLOW_HALF: Duration = Duration::from_millis(1500);

/// The span of what was asked for lately.
const LATELY: Duration = Duration::from_millis(1200);

/// How long requests have to be seen before a model counts as not asked for.
const KNOWN: Duration = Duration::from_millis(2500);

/// How much callers ask for of each model.
#[derive(Debug)]
pub struct Demands {
    /// The last count of each daemon, by model.
    counts: IndexMap<MemberId, IndexMap<ModelName, f64>>,
    /// Tokens that were asked for since the last average.
    fresh: IndexMap<ModelName, f64>,
    averages: IndexMap<ModelName, Demand>,
    /// What was asked for in each span between averages, the last ones.
    lately: VecDeque<(Instant, IndexMap<ModelName, f64>)>,
    /// For how long anything was asked for.
    known: Duration,
    at: Instant,
}

impl Demands {
    /// Starts with no demand.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: IndexMap::new(),
            fresh: IndexMap::new(),
            averages: IndexMap::new(),
            lately: VecDeque::new(),
            known: Duration::ZERO,
            at: now,
        }
    }

    /// Takes in a daemon's count of tokens asked for since its start.
    pub fn count(&mut self, from: MemberId, tokens: Vec<(ModelName, f64)>) {
        let first = !self.counts.contains_key(&from);
        let known = self.counts.entry(from).or_default();
        for (model, tokens) in tokens {
            let before = known.insert(model.clone(), tokens).unwrap_or_default();
            // What was counted before this planner took over is of the past.
            if !first && tokens > before {
                *self.fresh.entry(model).or_default() += tokens - before;
            }
        }
    }

    /// Takes what was counted since the last call into the averages.
    pub fn average<'a>(
        &mut self,
        models: impl Iterator<Item = &'a ModelName>,
        now: Instant,
    ) {
        let time = now.saturating_duration_since(self.at);
        self.at = now;
        let fresh = std::mem::take(&mut self.fresh);
        if !fresh.is_empty() {
            self.known += time;
        }
        for model in models {
            let tokens = fresh.get(model).copied().unwrap_or_default();
            let average = self.averages.entry(model.clone());
            let average =
                average.or_insert_with(|| Demand::with_halves(FAST_HALF, SLOW_HALF));
            average.add(tokens, time);
        }
        self.lately.push_back((now, fresh));
        let old = |at: Instant| now.saturating_duration_since(at) > LATELY;
        while self.lately.front().is_some_and(|(at, _)| old(*at)) {
            self.lately.pop_front();
        }
    }

    /// Whether what is asked for has been seen for long enough to tell what is not.
    pub fn is_known(&self) -> bool {
        self.known >= KNOWN
    }

    /// The demand to plan for, in tokens a second.
    pub fn estimate(&self, model: &ModelName) -> f64 {
        self.averages.get(model).map_or(0.0, Demand::estimate)
    }

    /// What was asked for in the last second or so, in tokens a second.
    pub fn lately(&self, model: &ModelName) -> f64 {
        let tokens = self.lately.iter().filter_map(|(_, tokens)| tokens.get(model));
        tokens.sum::<f64>() / LATELY.as_secs_f64()
    }
}
