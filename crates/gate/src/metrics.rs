//! Counters and histograms of a daemon, in the text form of Prometheus.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The first bucket's upper bound in seconds, the factor between bounds, and their
/// number: 5 ms to 20 s.
const BUCKETS: (f64, f64, u16) = (0.005, 2.0, 13);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The route's name.
    pub route: String,
    /// How it ended.
    pub end: String,
}

/// Something that was decided or came back, by what came of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepLabels {
    step: Step,
    outcome: String,
}

/// A step whose outcomes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Step {
    /// A request was sent again, by the cause.
    Repeat,
    /// A server brought no answer to a request, by the reason.
    Missed,
    /// A request waited for its turn at a runner.
    Turn,
    /// A runner was given an order.
    Order,
    /// The store was called.
    Store,
    /// A claim was taken, handed over or lost.
    Claim,
    /// The planner had a model moved.
    Move,
}

/// A time whose distribution is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Span {
    /// From a request's head to the answer's first byte.
    FirstByte,
    /// From a request's head to the answer's end.
    WholeAnswer,
    /// A request's wait for its turn at a runner.
    Turn,
    /// A call of the store; those that wait for changes take up to their hold.
    Store,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpanLabels {
    span: Span,
}

/// Counters and histograms of a daemon.
pub struct Metrics {
    registry: Mutex<Registry>,
    ends: Family<EndLabels, Counter>,
    steps: Family<StepLabels, Counter>,
    spans: Family<SpanLabels, Histogram>,
    active: Gauge<u64, AtomicU64>,
}

impl Metrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("chestnut");
        let ends = Family::default();
        let steps = Family::default();
        let spans = Family::new_with_constructor(histogram as fn() -> Histogram);
        let active = Gauge::default();
        registry.register("requests", "Requests by how they ended", ends.clone());
        let help = "Decisions and calls by what came of them";
        registry.register("steps", help, steps.clone());
        registry.register("seconds", "Times in seconds", spans.clone());
        registry.register("active", "Requests that are being served", active.clone());
        Self { registry: Mutex::new(registry), ends, steps, spans, active }
    }

    /// Counts a request's end.
    pub fn record_end(&self, route: &str, end: &str) {
        let labels = EndLabels { route: route.into(), end: end.into() };
        self.ends.get_or_create(&labels).inc();
    }

    /// Counts what came of a step.
    pub fn count(&self, step: Step, outcome: &str) {
        let labels = StepLabels { step, outcome: outcome.into() };
        self.steps.get_or_create(&labels).inc();
    }

    /// Records a time.
    pub fn observe(&self, span: Span, time: Duration) {
        self.spans.get_or_create(&SpanLabels { span }).observe(time.as_secs_f64());
    }

    /// Writes everything as text.
    pub fn render(&self, active: usize) -> String {
        self.active.set(active as u64);
        let mut text = String::new();
        let registry = self.registry.lock().expect("no holder of the lock panics");
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
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
