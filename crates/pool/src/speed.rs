//! How fast a service's runners read prompts, learnt from their first events.
//!
//! Runners don't say how fast they are, and models differ threefold. Sent faster
//! than they are read, prompts pile up at the engine, which then reads several at a
//! time and makes all of its streams pause. A line through times of first events
//! over prompt lengths gives the time for each token, whatever else a first event
//! takes.
//!
//! Only prompts that the engine was free for teach anything, and of those only the ones
//! whose kept parts are known. A prompt that waited at the engine has its first event late
//! whatever its length, and one of which the engine keeps more than is known has it early;
//! both make reading look faster than it is, so that more is sent, more waits, and reading
//! looks faster still. Learnt from all prompts while daemons restarted one after another,
//! an eighth of the streams paused too long; learnt from these a twenty-fifth.

use std::time::Duration;

use chestnut_base::ModelName;
use indexmap::IndexMap;

/// The time for a token that is assumed at first, in milliseconds.
///
/// Engines of the users' deployments read 19 to 26 tokens in a millisecond; too slow
/// a guess costs little for the second in which it is corrected.
const FIRST_GUESS: f64 = 1.0 / 17.0;

/// The length at which a prompt takes twice the time for each token.
///
/// Each token is compared with all before it; for prompts of 4,000 tokens this makes
/// up an eighth to a fifth of the time.
const DOUBLE_AT: f64 = 25_000.0;

/// The least and the greatest time for a token that is believed, in milliseconds.
const BOUNDS: (f64, f64) = (1.0 / 100.0, 1.0 / 5.0);

/// What a first event is assumed to take besides reading at first, in milliseconds.
///
/// The way there and back and the step that runs take 15; engines add nothing or up to
/// 80. Assumed too short, each first event makes the engine look as if it were behind,
/// and prompts wait for nothing: with 0 the slowest hundredth of first events took 5 s
/// instead of one.
const FIRST_BASE: f64 = 50.0;

/// The lengths at which the first guess counts, and how many samples it counts for.
const GUESSED_AT: [f64; 2] = [200.0, 2200.0];
const GUESS_WEIGHT: f64 = 3.0;

/// How much of a sample's weight is left when the next one comes.
const FADE: f64 = 0.99;

/// A weighted line through samples.
#[derive(Debug, Clone, Copy)]
struct Line {
    weight: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    product: f64,
}

impl Line {
    fn new() -> Self {
        let zero = Self {
            weight: 0.0,
            tokens: 0.0,
            time: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
        };
        let guess = |line: Self, tokens: f64| {
            line.with(tokens, tokens * FIRST_GUESS + FIRST_BASE, GUESS_WEIGHT, 1.0)
        };
        GUESSED_AT.into_iter().fold(zero, guess)
    }

    fn with(self, tokens: f64, time: f64, weight: f64, fade: f64) -> Self {
        Self {
            weight: self.weight * fade + weight,
            tokens: self.tokens * fade + weight * tokens,
            time: self.time * fade + weight * time,
            tokens_squared: self.tokens_squared * fade + weight * tokens * tokens,
            product: self.product * fade + weight * tokens * time,
        }
    }

    /// The time for a token, in milliseconds.
    fn slope(&self) -> f64 {
        let variance = self.tokens_squared * self.weight - self.tokens * self.tokens;
        let covariance = self.product * self.weight - self.tokens * self.time;
        let (least, most) = BOUNDS;
        if variance <= 0.0 {
            return FIRST_GUESS;
        }
        (covariance / variance).clamp(least, most)
    }
}

impl Line {
    /// The time that a first event takes besides reading, in milliseconds.
    fn base(&self) -> f64 {
        let (tokens, time) = (self.tokens / self.weight, self.time / self.weight);
        (time - tokens * self.slope()).max(0.0)
    }
}

/// How fast a service's runners read prompts of each model.
#[derive(Debug, Default)]
pub struct Speeds {
    models: IndexMap<ModelName, Line>,
}

impl Speeds {
    /// Takes in that a prompt of so many unread tokens, which the engine was free for,
    /// had its first event after `time`.
    pub fn learn(&mut self, model: &ModelName, tokens: u32, time: Duration) {
        let line = self.models.entry(model.clone()).or_insert_with(Line::new);
        let millis = time.as_secs_f64() * 1000.0;
        *line = line.with(effort(tokens), millis, 1.0, FADE);
    }

    /// How long a first event takes besides reading.
    pub fn base(&self, model: &ModelName) -> Duration {
        let base = self.models.get(model).map_or(FIRST_BASE, Line::base);
        Duration::from_secs_f64(base / 1000.0)
    }

    /// How long a runner takes to read one token of a short prompt.
    pub fn token(&self, model: &ModelName) -> Duration {
        let slope = self.models.get(model).map_or(FIRST_GUESS, Line::slope);
        Duration::from_secs_f64(slope / 1000.0)
    }

    /// How long a runner takes to read tokens.
    pub fn reading(&self, model: &ModelName, tokens: u32) -> Duration {
        let slope = self.models.get(model).map_or(FIRST_GUESS, Line::slope);
        Duration::from_secs_f64(effort(tokens) * slope / 1000.0)
    }
}

/// The length of a prompt as far as it takes time.
fn effort(tokens: u32) -> f64 {
    let tokens = f64::from(tokens);
    tokens * (1.0 + tokens / DOUBLE_AT)
}
