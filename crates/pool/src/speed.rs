//! How fast a service's runners read prompts, learnt from their first events.
//!
//! Runners don't say how fast they are, and models differ threefold. Until a few prompts of
//! a model were read, others tell: what another daemon has learnt of it, or other models. Sent faster
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
use serde::{Deserialize, Serialize};

/// The time for a token that is assumed at first, in milliseconds.
///
/// On the slow side: prompts wait somewhat longer until the first ones have been read.
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

/// The lengths at which an expectation counts, and how many samples it counts for: the
/// first guess, what was learnt from other models, and what was learnt before of the same.
const EXPECTED_AT: [f64; 2] = [200.0, 2200.0];
const GUESS_WEIGHT: f64 = 0.3;
const OTHERS_WEIGHT: f64 = 2.0;
const KNOWN_WEIGHT: f64 = 5.0;

/// From how many samples on a line is worth telling.
const TOLD_FROM: f64 = 12.0;

/// By how much a time has to change to be worth telling again.
const TOLD_CHANGE: f64 = 0.1;

/// Models that are told of, at most.
const TOLD_MODELS: usize = 256;

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
    /// Starts with what is expected, which counts for so many samples.
    fn new(expected: Reading, weight: f64) -> Self {
        let zero = Self {
            weight: 0.0,
            tokens: 0.0,
            time: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
        };
        let expect = |line: Self, tokens: f64| {
            line.with(tokens, tokens * expected.token + expected.base, weight, 1.0)
        };
        EXPECTED_AT.into_iter().fold(zero, expect)
    }

    fn reading(&self) -> Reading {
        Reading { token: self.slope(), base: self.base() }
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

/// How fast prompts are read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The time for a token, in milliseconds.
    pub token: f64,
    /// What a first event takes besides, in milliseconds.
    pub base: f64,
}

impl Reading {
    const GUESS: Self = Self { token: FIRST_GUESS, base: FIRST_BASE };

    fn differs(self, other: Self) -> bool {
        (self.token - other.token).abs() > TOLD_CHANGE * other.token
    }
}

/// What was learnt of a service's runners, for daemons that have learnt nothing yet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Learnt {
    /// How fast prompts of any model are read.
    pub all: Option<Reading>,
    /// How fast those of each model are.
    pub models: IndexMap<ModelName, Reading>,
}

impl Learnt {
    /// Whether this tells something that an earlier account does not.
    pub fn is_news(&self, before: &Self) -> bool {
        let news = |now: Reading, before: Option<&Reading>| {
            before.is_none_or(|before| now.differs(*before))
        };
        let all = self.all.is_some_and(|now| news(now, before.all.as_ref()));
        let mut models = self.models.iter();
        all || models.any(|(model, now)| news(*now, before.models.get(model)))
    }
}

/// How fast runners read prompts of each model.
#[derive(Debug)]
pub struct Speeds {
    models: IndexMap<ModelName, Line>,
    /// Prompts of all models.
    all: Line,
    /// What others have learnt.
    known: IndexMap<ModelName, Reading>,
}

impl Default for Speeds {
    fn default() -> Self {
        let all = Line::new(Reading::GUESS, GUESS_WEIGHT);
        Self { models: IndexMap::new(), all, known: IndexMap::new() }
    }
}

impl Speeds {
    /// Takes in that a prompt of so many unread tokens, which the engine was free for,
    /// had its first event after `time`.
    pub fn learn(&mut self, model: &ModelName, tokens: u32, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        let expected = self.expected(model);
        let line = self.models.entry(model.clone()).or_insert(expected);
        *line = line.with(effort(tokens), millis, 1.0, FADE);
        self.all = self.all.with(effort(tokens), millis, 1.0, FADE);
    }

    /// Takes in what another daemon has learnt.
    pub fn hear(&mut self, learnt: &Learnt) {
        if let Some(all) = learnt.all
            && self.all.weight < TOLD_FROM
        {
            self.all = Line::new(all, KNOWN_WEIGHT);
        }
        self.known.extend(learnt.models.clone());
    }

    /// What is worth telling others.
    pub fn learnt(&self) -> Learnt {
        let told = |line: &Line| line.weight >= TOLD_FROM;
        let models = self.models.iter().filter(|(_, line)| told(line));
        let models = models.map(|(model, line)| (model.clone(), line.reading()));
        Learnt {
            all: told(&self.all).then(|| self.all.reading()),
            models: models.take(TOLD_MODELS).collect(),
        }
    }

    /// How long a first event takes besides reading.
    pub fn base(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).base() / 1000.0)
    }

    /// How long a runner takes to read one token of a short prompt.
    pub fn token(&self, model: &ModelName) -> Duration {
        Duration::from_secs_f64(self.line(model).slope() / 1000.0)
    }

    /// How long a runner takes to read tokens.
    pub fn reading(&self, model: &ModelName, tokens: u32) -> Duration {
        Duration::from_secs_f64(effort(tokens) * self.line(model).slope() / 1000.0)
    }

    fn line(&self, model: &ModelName) -> Line {
        self.models.get(model).copied().unwrap_or_else(|| self.expected(model))
    }

    /// What is expected of a model of which nothing was learnt here.
    fn expected(&self, model: &ModelName) -> Line {
        match self.known.get(model) {
            Some(known) => Line::new(*known, KNOWN_WEIGHT),
            // A guess counts for no more in a model than by itself.
            None => {
                let samples = self.all.weight / EXPECTED_AT.len() as f64;
                Line::new(self.all.reading(), samples.min(OTHERS_WEIGHT))
            }
        }
    }
}

/// The length of a prompt as far as it takes time.
fn effort(tokens: u32) -> f64 {
    let tokens = f64::from(tokens);
    tokens * (1.0 + tokens / DOUBLE_AT)
}
