//! Counters and histograms of a daemon, in the text form of Prometheus.

use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
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

/// Something that happened, by its cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause.
    pub cause: String,
}

/// Counters and histograms of a daemon.
pub struct Metrics {
    registry: Mutex<Registry>,
    ends: Family<EndLabels, Counter>,
    repeats: Family<CauseLabels, Counter>,
    first: Histogram,
    whole: Histogram,
}

impl Metrics {
    /// Creates an empty set.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("chestnut");
        let (start, factor, count) = BUCKETS;
        let histogram = || Histogram::new(exponential_buckets(start, factor, count));
        let (first, whole) = (histogram(), histogram());
        let ends = Family::default();
        let repeats = Family::default();
        registry.register("requests", "Requests by how they ended", ends.clone());
        registry.register("repeats", "Requests sent again, by cause", repeats.clone());
        let help = "Seconds from a request's head to the answer's first byte";
        registry.register("first_byte_seconds", help, first.clone());
        let help = "Seconds from a request's head to the answer's end";
        registry.register("whole_answer_seconds", help, whole.clone());
        Self { registry: Mutex::new(registry), ends, repeats, first, whole }
    }

    /// Counts a request's end.
    pub fn ended(&self, route: &str, end: &str) {
        let labels = EndLabels { route: route.into(), end: end.into() };
        self.ends.get_or_create(&labels).inc();
    }

    /// Counts a request that is sent again.
    pub fn repeated(&self, cause: &str) {
        self.repeats.get_or_create(&CauseLabels { cause: cause.into() }).inc();
    }

    /// Records the time to an answer's first byte.
    pub fn first_byte(&self, time: Duration) {
        self.first.observe(time.as_secs_f64());
    }

    /// Records the time to an answer's end.
    pub fn whole_answer(&self, time: Duration) {
        self.whole.observe(time.as_secs_f64());
    }

    /// Writes everything as text.
    pub fn render(&self) -> String {
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
