//! The deployments and load patterns that are compared.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use chestnut_base::Urgency;

/// A deployment whose spec is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Letters: 9 runners.
    Adenta,
    /// Seat checks beside drafting: 18 runners.
    Gwiazdozbior,
}

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// 0.7 of the capacity, with urgent bursts of three times that for 4 s.
    Burst,
    /// One caller sends 1.3 times the capacity on top of 0.7 of all others.
    HotCaller,
    /// Half of the requests share one prefix, at 0.85 of the capacity.
    HotPrefix,
    /// One server in nine takes five times as long for 12 s, at 0.8.
    SlowServer,
    /// One request in twenty is six times as long, at 1.0.
    LongShort,
    /// 1.2 times the capacity.
    Overload12,
    /// 2 times the capacity.
    Overload2,
    /// 5 times the capacity.
    Overload5,
    /// Half of the servers die for 10 s, at 0.8.
    HalfLost,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Adenta, Self::Gwiazdozbior];
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 9] = [
        Self::Burst,
        Self::HotCaller,
        Self::HotPrefix,
        Self::SlowServer,
        Self::LongShort,
        Self::Overload12,
        Self::Overload2,
        Self::Overload5,
        Self::HalfLost,
    ];

    /// The load of all callers but a hot one, as a part of the capacity.
    pub fn load(self) -> f64 {
        match self {
            Self::Burst | Self::HotCaller => 0.7,
            Self::SlowServer | Self::HalfLost => 0.8,
            Self::HotPrefix => 0.85,
            Self::LongShort => 1.0,
            Self::Overload12 => 1.2,
            Self::Overload2 => 2.0,
            Self::Overload5 => 5.0,
        }
    }
}

impl Display for Deployment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Adenta => "adenta",
            Self::Gwiazdozbior => "gwiazdozbior",
        })
    }
}

impl Display for Pattern {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Burst => "burst",
            Self::HotCaller => "hot-caller",
            Self::HotPrefix => "hot-prefix",
            Self::SlowServer => "slow-server",
            Self::LongShort => "long-among-short",
            Self::Overload12 => "overload-1.2",
            Self::Overload2 => "overload-2",
            Self::Overload5 => "overload-5",
            Self::HalfLost => "half-lost",
        })
    }
}

/// A name that is not in the list of variants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownName {
    /// The names that are.
    known: Vec<String>,
}

impl Display for UnknownName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "there is no such name; use one of {}", self.known.join(", "))
    }
}

impl std::error::Error for UnknownName {}

impl FromStr for Deployment {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        find(&Self::ALL, text)
    }
}

impl FromStr for Pattern {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        find(&Self::ALL, text)
    }
}

fn find<T: Copy + Display>(all: &[T], text: &str) -> Result<T, UnknownName> {
    let found = all.iter().copied().find(|one| one.to_string() == text);
    found.ok_or_else(|| UnknownName { known: all.iter().map(T::to_string).collect() })
}

/// One class of a deployment's requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// How urgent it is.
    pub urgency: Urgency,
    /// Its part of the requests.
    pub fraction: f64,
    /// The time in which a caller needs the answer.
    pub deadline: Duration,
    /// The least and the greatest length of prompts, in tokens.
    pub prompt_tokens: (u32, u32),
    /// The least and the greatest length that is asked for, in tokens.
    pub output_tokens: (u32, u32),
}

/// A deployment in numbers.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Runners.
    pub servers: usize,
    /// Accelerators of a runner.
    pub accelerators: usize,
    /// Streams that a runner batches.
    pub max_streams: usize,
    /// Tokens that a runner's cache holds.
    pub kv_tokens: u64,
    /// The time of a step with no stream.
    pub base_step_time: Duration,
    /// What each stream adds to a step.
    pub step_time_per_stream: Duration,
    /// The time of a token of a prompt that is not cached.
    pub prefill_time_per_token: Duration,
    /// Models; each is resident on `replicas` runners.
    pub models: usize,
    /// Runners that hold a model.
    pub replicas: usize,
    /// Callers, in teams of four.
    pub callers: usize,
    /// Shared starts of prompts.
    pub prefixes: usize,
    /// Entries.
    pub entries: usize,
    /// The way from a caller to an entry.
    pub caller_latency: Duration,
    /// The way from an entry to a lead.
    pub lead_latency: Duration,
    /// The classes of requests.
    pub classes: [RequestClass; 3],
}

impl DeploymentSpec {
    /// The spec of a deployment.
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Adenta => Self {
                servers: 9,
                models: 12,
                replicas: 5,
                callers: 24,
                prefixes: 55,
                caller_latency: Duration::from_millis(3),
                lead_latency: Duration::from_micros(500),
                classes: [
                    class(Urgency::Urgent, 0.2, 3_000, (200, 600), (40, 120)),
                    class(Urgency::Normal, 0.5, 8_000, (300, 900), (150, 400)),
                    class(Urgency::Slow, 0.3, 20_000, (300, 1_200), (300, 800)),
                ],
                ..Self::common()
            },
            Deployment::Gwiazdozbior => Self {
                servers: 18,
                models: 25,
                replicas: 6,
                callers: 32,
                prefixes: 100,
                caller_latency: Duration::from_millis(1),
                lead_latency: Duration::from_millis(1),
                classes: [
                    class(Urgency::Urgent, 0.5, 1_500, (100, 300), (12, 48)),
                    class(Urgency::Normal, 0.2, 8_000, (300, 900), (150, 400)),
                    class(Urgency::Slow, 0.3, 30_000, (400, 1_500), (400, 1_200)),
                ],
                ..Self::common()
            },
        }
    }

    fn common() -> Self {
        Self {
            servers: 0,
            accelerators: 4,
            max_streams: 32,
            kv_tokens: 64_000,
            base_step_time: Duration::from_millis(9),
            step_time_per_stream: Duration::from_micros(120),
            prefill_time_per_token: Duration::from_micros(60),
            models: 0,
            replicas: 0,
            callers: 0,
            prefixes: 0,
            entries: 6,
            caller_latency: Duration::ZERO,
            lead_latency: Duration::ZERO,
            classes: [class(Urgency::Slow, 0.0, 0, (0, 0), (0, 0)); 3],
        }
    }

    /// The time of a step with `streams` streams.
    pub fn step_time(&self, streams: usize) -> Duration {
        self.base_step_time + self.step_time_per_stream * streams as u32
    }

    /// The time that a token costs at full batch.
    pub fn time_per_token(&self) -> Duration {
        self.step_time(self.max_streams) / self.max_streams as u32
    }

    /// Whether a runner holds a model.
    pub fn hosts_model(&self, server: usize, model: usize) -> bool {
        (0..self.replicas).any(|copy| {
            // Strides without a factor in common with the number of servers.
            (model + copy * [7, 11, 13][model % 3]) % self.servers == server
        })
    }
}

fn class(
    urgency: Urgency,
    fraction: f64,
    deadline: u64,
    prompt_tokens: (u32, u32),
    output_tokens: (u32, u32),
) -> RequestClass {
    let deadline = Duration::from_millis(deadline);
    RequestClass { urgency, fraction, deadline, prompt_tokens, output_tokens }
}
