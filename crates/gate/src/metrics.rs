//! A daemon's counters and histograms, exported in the Prometheus text format.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chestnut_intake::{CloseReason, Observer};
use indexmap::IndexSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Histogram buckets: the first upper bound in seconds, the factor between bounds, and their
/// number. They cover 5 ms to 20 s.
const BUCKETS: (f64, f64, u16) = (0.005, 2.0, 13);

/// Labels of the counter of ended requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The name of the route; empty if the request was refused before it had one.
    pub route: String,
    /// The outcome, such as "answered" or a refusal code.
    pub end: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    step: Step,
    outcome: String,
}

/// A decision or call whose outcomes are counted; the variant is the metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Step {
    /// A retry of a request, by its cause.
    Repeat,
    /// A failed attempt, by the error.
    Missed,
    /// A request for admission at a runner or for a permit of a plain service.
    Turn,
    /// An order to a runner.
    Order,
    /// A call to the store.
    Store,
    /// A claim that was taken, handed over or lost.
    Claim,
    /// A move of a model by the planner.
    Move,
    /// A charge to an account's limit that got no response.
    Charge,
    /// A limit on requests that a server announced, changed or ended.
    Limit,
    /// A crash of a server, or what was concluded from crashes.
    Crash,
    /// A sample of a runner's speed, or a report to the planner.
    Speed,
    /// A server that this daemon can't connect to, or can again.
    Path,
    /// A response that was not passed on, by why.
    Discard,
    /// A request that was sent through another daemon, or for one.
    Forward,
    /// A bound on a server that has just started or recovered.
    Pace,
    /// A request that was admitted to a runner that is divided, by its class.
    Share,
    /// A latency-tolerant stream that is stopped for urgent requests, and its resume.
    Yield,
    /// A prompt that was denied because it would start too late, at the holder of its
    /// runner, and what its daemon did then.
    EarlyRefusal,
    /// The queues of several runners that one request waits in.
    LateBinding,
    /// A rest that a server asked for, and requests that were held back or refused in it.
    Rest,
    /// A stream that a caller resumes, by how it was found out where it began.
    Resume,
    /// A connection that the daemon closed or refused, by why.
    Close,
    /// A datagram of a sender that has no row, by its kind.
    Stranger,
}

/// A duration with a histogram; the variant is the metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Span {
    /// From the request's head to the first byte of the response.
    FirstByte,
    /// From the request's head to the end of the response.
    WholeAnswer,
    /// A request's wait for admission or a permit.
    Turn,
    /// A request's wait for its charge to the account's limit.
    Charge,
    /// A call to the store; one that waits for changes takes up to its hold time.
    Store,
}

/// The number of accounts that are counted by name; charges to others are counted together.
const MAX_COUNTED_ACCOUNTS: usize = 64;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChargeLabels {
    account: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpanLabels {
    span: Span,
}

/// The daemon's counters and histograms.
pub struct Metrics {
    registry: Mutex<Registry>,
    ends: Family<EndLabels, Counter>,
    steps: Family<StepLabels, Counter>,
    charges: Family<ChargeLabels, Counter>,
    counted_accounts: Mutex<IndexSet<String>>,
    spans: Family<SpanLabels, Histogram>,
    active: Gauge<u64, AtomicU64>,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("chestnut");
        let ends = Family::default();
        let steps = Family::default();
        let charges = Family::default();
        let spans = Family::new_with_constructor(histogram as fn() -> Histogram);
        let active = Gauge::default();
        registry.register("requests", "Requests by their outcome", ends.clone());
        let help = "Decisions and calls by their outcome";
        registry.register("steps", help, steps.clone());
        let help = "Charges to accounts' limits by their outcome";
        registry.register("charges", help, charges.clone());
        registry.register("seconds", "Durations in seconds", spans.clone());
        registry.register("active", "Requests being served", active.clone());
        Self {
            registry: Mutex::new(registry),
            ends,
            steps,
            charges,
            counted_accounts: Mutex::default(),
            spans,
            active,
        }
    }

    /// Counts an ended request by route and outcome.
    pub fn record_end(&self, route: &str, end: &str) {
        let labels = EndLabels { route: route.into(), end: end.into() };
        self.ends.get_or_create(&labels).inc();
    }

    /// Counts the outcome of a step.
    pub fn count(&self, step: Step, outcome: &str) {
        let labels = StepLabels { step, outcome: outcome.into() };
        self.steps.get_or_create(&labels).inc();
    }

    /// Counts a charge to an account's limit.
    pub fn count_charge(&self, account: &str, outcome: &'static str) {
        let mut counted =
            self.counted_accounts.lock().expect("no holder of the lock panics");
        if !counted.contains(account) && counted.len() < MAX_COUNTED_ACCOUNTS {
            counted.insert(account.to_owned());
        }
        let account = if counted.contains(account) { account } else { "" };
        let labels = ChargeLabels { account: account.into(), outcome };
        self.charges.get_or_create(&labels).inc();
    }

    /// Adds a duration to its histogram.
    pub fn observe(&self, span: Span, time: Duration) {
        self.spans.get_or_create(&SpanLabels { span }).observe(time.as_secs_f64());
    }

    /// Encodes all metrics; `active` is the number of requests being served.
    pub fn render(&self, active: usize) -> String {
        self.active.set(active as u64);
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the lock panics");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    }
}

impl Observer for Metrics {
    fn record_close(&self, reason: CloseReason) {
        self.count(Step::Close, reason.label());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram {
    let (start, factor, count) = BUCKETS;
    Histogram::new(exponential_buckets(start, factor, count))
}
