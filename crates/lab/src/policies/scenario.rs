//! Deployments and load patterns of the comparison.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use chestnut_base::Urgency;

/// A deployment to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Serves letters with 9 runners.
    Adenta,
    /// Serves seat checks and drafting with 18 runners.
    Gwiazdozbior,
}

/// A load pattern; loads are fractions of the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// Load 0.7; two bursts of urgent requests raise it to three times that for 4 s each.
    Burst,
    /// Load 1.3 from a single caller on top of 0.7 from all callers.
    HotCaller,
    /// Load 0.85; half of the requests share one prefix.
    HotPrefix,
    /// Load 0.8; steps of one server in nine take five times as long for 12 s.
    SlowServer,
    /// Load 1.0; one request in twenty is six times as long.
    LongShort,
    /// Load 1.2.
    Overload12,
    /// Load 2.
    Overload2,
    /// Load 5.
    Overload5,
    /// Load 0.8; half of the servers are down for 10 s.
    HalfLost,
}

impl Deployment {
    /// All deployments, in output order.
    pub const ALL: [Self; 2] = [Self::Adenta, Self::Gwiazdozbior];
}

impl Pattern {
    /// All patterns, in output order.
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

    /// Base load as a fraction of the capacity, without bursts and the hot caller.
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

/// Error of parsing a name that is not one of the valid ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownName {
    valid: Vec<String>,
}

impl Display for UnknownName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "unknown name; expected one of {}", self.valid.join(", "))
    }
}

impl std::error::Error for UnknownName {}

impl FromStr for Deployment {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        parse_name(&Self::ALL, text)
    }
}

impl FromStr for Pattern {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, UnknownName> {
        parse_name(&Self::ALL, text)
    }
}

fn parse_name<T: Copy + Display>(all: &[T], text: &str) -> Result<T, UnknownName> {
    let found = all.iter().copied().find(|value| value.to_string() == text);
    found.ok_or_else(|| UnknownName { valid: all.iter().map(T::to_string).collect() })
}

/// A class of requests with the same urgency.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Urgency of all requests of the class.
    pub urgency: Urgency,
    /// Fraction of all requests.
    pub fraction: f64,
    /// Time from the arrival of a request until its response is due.
    pub deadline: Duration,
    /// Range of prompt lengths, both ends included.
    pub prompt_tokens: (u32, u32),
    /// Range of requested output lengths, both ends included.
    pub output_tokens: (u32, u32),
}

/// Sizes, speeds and request classes of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Number of runners.
    pub servers: usize,
    /// Accelerators per runner.
    pub accelerators: usize,
    /// Streams in a full batch of a runner.
    pub max_streams: usize,
    /// KV cache capacity of a runner, in tokens.
    pub kv_tokens: u64,
    /// Duration of a step without streams.
    pub base_step_time: Duration,
    /// Time that each stream adds to a step.
    pub step_time_per_stream: Duration,
    /// Prefill time of a prompt token that is not cached.
    pub prefill_time_per_token: Duration,
    /// Number of models, each loaded on `replicas` runners.
    pub models: usize,
    /// Replicas per model.
    pub replicas: usize,
    /// Number of callers; each team has four.
    pub callers: usize,
    /// Number of distinct shared prompt prefixes.
    pub prefixes: usize,
    /// Number of entries.
    pub entries: usize,
    /// One-way latency between a caller and an entry.
    pub caller_latency: Duration,
    /// One-way latency between an entry and a lead.
    pub lead_latency: Duration,
    /// Request classes, from urgent to slow.
    pub classes: [RequestClass; 3],
}

impl DeploymentSpec {
    /// The parameters of a deployment.
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
                ..Self::defaults()
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
                ..Self::defaults()
            },
        }
    }

    fn defaults() -> Self {
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

    /// Duration of a decoding step of `streams` streams.
    pub fn step_time(&self, streams: usize) -> Duration {
        self.base_step_time + self.step_time_per_stream * streams as u32
    }

    /// Engine time per output token in a full batch.
    pub fn time_per_token(&self) -> Duration {
        self.step_time(self.max_streams) / self.max_streams as u32
    }

    /// Whether the model has a replica on the server.
    pub fn hosts_model(&self, server: usize, model: usize) -> bool {
        (0..self.replicas).any(|replica| {
            // Strides that are coprime to the number of servers give distinct servers.
            (model + replica * [7, 11, 13][model % 3]) % self.servers == server
        })
    }
}

fn class(
    urgency: Urgency,
    fraction: f64,
    deadline_ms: u64,
    prompt_tokens: (u32, u32),
    output_tokens: (u32, u32),
) -> RequestClass {
    let deadline = Duration::from_millis(deadline_ms);
    RequestClass { urgency, fraction, deadline, prompt_tokens, output_tokens }
}
