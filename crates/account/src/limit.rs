//! Limits on what client accounts use, and how a limit is divided between daemons.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a limit counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts by its tokens.
    Tokens,
}

impl Unit {
    /// The smallest burst of a slice if there are two; a request that is larger than a slice
    /// would be granted by each.
    fn min_slice_burst(self) -> f64 {
        match self {
            Self::Requests => 10.0,
            Self::Tokens => 1_200.0,
        }
    }

    /// The smallest rate for which a further slice pays off, per second.
    ///
    /// A slice has to hold several requests, since one that can't be served by a nearly
    /// empty slice costs a round trip to the next.
    fn min_slice_rate(self) -> f64 {
        match self {
            Self::Requests => 20.0,
            Self::Tokens => 25_000.0,
        }
    }
}

impl TryFrom<&str> for Unit {
    type Error = UnitError;

    fn try_from(text: &str) -> Result<Self, UnitError> {
        match text {
            "requests" => Ok(Self::Requests),
            "tokens" => Ok(Self::Tokens),
            other => Err(UnitError(other.to_owned())),
        }
    }
}

/// A text that names no unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnitError(String);

impl Display for UnitError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no unit of a limit; write `requests` or `tokens`", self.0)
    }
}

impl std::error::Error for UnitError {}

/// The most that an account may use, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// What is counted.
    pub unit: Unit,
    /// The sustained rate, in units per second; greater than zero and finite.
    pub rate: f64,
    /// What may be used at once beyond the rate, in units; zero or more and finite.
    pub burst: f64,
    /// The tokens that a request without a token count counts as.
    pub plain_tokens: u32,
}

impl Display for Unit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Requests => "requests",
            Self::Tokens => "tokens",
        })
    }
}

/// The form `100 tokens/s, burst 200, plain 40`.
impl Display for Limit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { unit, rate, burst, plain_tokens } = self;
        write!(f, "{rate} {unit}/s, burst {burst}, plain {plain_tokens}")
    }
}

/// A text that has not the form of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitError;

impl FromStr for Limit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<Self, LimitError> {
        let parse = || {
            let (rate, rest) = text.split_once(' ')?;
            let (unit, rest) = rest.split_once("/s, burst ")?;
            let (burst, plain) = rest.split_once(", plain ")?;
            let unit = Unit::try_from(unit).ok()?;
            let (rate, burst) = (rate.parse().ok()?, burst.parse().ok()?);
            Self::checked(unit, rate, burst, plain.parse().ok()?).ok()?
        };
        parse().ok_or(LimitError)
    }
}

impl Display for LimitError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a limit has another form; write `100 tokens/s, burst 200, plain 40`")
    }
}

impl std::error::Error for LimitError {}

/// The most slices that a limit is divided into.
const MAX_SLICES: u32 = 8;

impl Limit {
    /// What a request counts; `tokens` is `None` if it states no token count.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens => {
                tokens.map_or(f64::from(self.plain_tokens), |tokens| tokens as f64)
            }
        }
    }

    /// The number of slices that the limit is divided into.
    ///
    /// It follows from the limit alone, so that all daemons with the same declarations
    /// agree on it. While the holder of one slice fails, the other slices go on.
    pub fn slice_count(&self) -> u32 {
        let by_rate = self.rate / self.unit.min_slice_rate();
        // With two slices, an account at its usual pace is hardly affected while one holder
        // fails.
        let by_burst = (self.burst / self.unit.min_slice_burst()).min(2.0);
        let slices = by_rate.max(by_burst).floor();
        slices.clamp(1.0, f64::from(MAX_SLICES)) as u32
    }

    /// The limit of each slice.
    pub fn slice(&self, tolerance: &Tolerance) -> SliceLimit {
        let slices = f64::from(self.slice_count());
        let allowance = tolerance.allowance(self);
        SliceLimit {
            rate: self.rate / slices,
            capacity: (self.burst + allowance * CAPACITY_SHARE) / slices,
            takeover: allowance * TAKEOVER_SHARE / slices,
            slices,
        }
    }
}

/// The share of the allowance that buckets may hold beyond the burst.
const CAPACITY_SHARE: f64 = 0.25;

/// The share of the allowance that a new holder of a slice starts with.
///
/// Callers that were waiting while all daemons restarted come back at once. With
/// [`CAPACITY_SHARE`], each slice may change its holder twice per window.
const TAKEOVER_SHARE: f64 = 0.35;

/// How far the use in a window may exceed the limit, from the operators' settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window in which use is counted.
    pub window: Duration,
    /// The ratio beyond the limit that a window may reach; zero or more.
    pub overshoot: f64,
    /// What a window may reach beyond that, in tokens; zero or more.
    pub slack: f64,
}

impl Tolerance {
    /// What a window may use beyond `rate` and `burst`.
    pub fn allowance(&self, limit: &Limit) -> f64 {
        let nominal = limit.rate * self.window.as_secs_f64() + limit.burst;
        let slack = match limit.unit {
            Unit::Tokens => self.slack,
            Unit::Requests => 0.0,
        };
        nominal * self.overshoot + slack
    }

    /// The most that a window may use.
    pub fn bound(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst + self.allowance(limit)
    }
}

/// The limit of one slice of an account's limit.
///
/// Over all slices, `capacity` and twice `takeover` stay below the burst and the allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SliceLimit {
    /// Units per second.
    pub rate: f64,
    /// The most that the bucket holds.
    pub capacity: f64,
    /// What the bucket of a new holder starts with.
    pub takeover: f64,
    /// The number of slices; a caller that is refused was refused by each.
    pub slices: f64,
}
