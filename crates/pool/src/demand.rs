//! How much callers ask for of each model of a service.
//!
//! Load pattern: within five seconds callers turn from one model to another. A long
//! average is late by seconds; a short one lets go of a model in each lull, and it is
//! dropped and loaded in turns. The greater of both rises soon and falls late.
//!
//! Every daemon counts what its own callers ask for and tells its sum since its
//! start, so that a lost message only delays what it says.

use std::time::{Duration, Instant};

use chestnut_base::{MemberId, ModelName};
use indexmap::IndexMap;

/// How far back the two averages look.
const FAST: Duration = Duration::from_millis(500);
const SLOW: Duration = Duration::from_millis(1500);

/// How long requests have to be seen before a model counts as not asked for.
const KNOWN: Duration = Duration::from_millis(2500);

/// The averages of one model's demand, in tokens a second.
#[derive(Debug, Clone, Copy, Default)]
struct Averages {
    fast: f64,
    slow: f64,
}

impl Averages {
    fn add(&mut self, tokens: f64, time: Duration) {
        if time.is_zero() {
            return;
        }
        let rate = tokens / time.as_secs_f64();
        let weight =
            |span: Duration| 1.0 - (-time.as_secs_f64() / span.as_secs_f64()).exp();
        self.fast += (rate - self.fast) * weight(FAST);
        self.slow += (rate - self.slow) * weight(SLOW);
    }

    /// The demand to plan for.
    fn estimate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

/// How much callers ask for of each model.
#[derive(Debug)]
pub struct Demands {
    /// The last count of each daemon, by model.
    counts: IndexMap<MemberId, IndexMap<ModelName, f64>>,
    /// Tokens that were asked for since the last average.
    fresh: IndexMap<ModelName, f64>,
    averages: IndexMap<ModelName, Averages>,
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
            self.averages.entry(model.clone()).or_default().add(tokens, time);
        }
    }

    /// Whether what is asked for has been seen for long enough to tell what is not.
    pub fn is_known(&self) -> bool {
        self.known >= KNOWN
    }

    /// The demand to plan for, in tokens a second.
    pub fn estimate(&self, model: &ModelName) -> f64 {
        self.averages.get(model).map_or(0.0, Averages::estimate)
    }
}
