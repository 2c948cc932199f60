//! What callers received, in summary.

use std::time::Duration;

use chestnut_base::Urgency;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::PolicyConfig;
use super::scenario::{Deployment, DeploymentSpec, Pattern};
use super::traffic::{ARRIVAL_DURATION, Traffic};

/// What became of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestResult {
    /// When the whole answer was at the caller, if it was.
    pub completed_at: Option<Duration>,
    /// When the first token was at the caller, if one was.
    pub first_token_at: Option<Duration>,
    /// Refusals that the caller was told of.
    pub refusals: u32,
    /// How long the caller waited for each refusal, in total.
    pub refusal_wait: Duration,
    /// Tokens that engines gave for it, over all attempts.
    pub tokens: u64,
    /// Preemptions of its stream.
    pub preemptions: u32,
    /// Whether its time was up while it ran.
    pub timed_out_running: bool,
}

/// The summary of a policy, as means over the seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The load pattern.
    pub pattern: String,
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: &'static str,
    /// Whether it is what the daemon uses.
    pub chosen: bool,
    /// The part of all requests that were served in time.
    pub attainment: f64,
    /// The part of the urgent ones.
    pub urgent: f64,
    /// The part of the normal ones.
    pub normal: f64,
    /// The part of the slow ones.
    pub slow: f64,
    /// What no schedule could exceed, as a part of all requests.
    pub bound: f64,
    /// `attainment` as a part of `bound`.
    pub of_bound: f64,
    /// Requests served in time for each accelerator and second of arrivals.
    pub per_accelerator: f64,
    /// Milliseconds to the first token: the median.
    pub wait_p50: f64,
    /// 95 in 100 are below.
    pub wait_p95: f64,
    /// 99 in 100 are below.
    pub wait_p99: f64,
    /// The same for urgent requests, 95 in 100.
    pub urgent_p95: f64,
    /// Refusals for each request.
    pub refusals: f64,
    /// Milliseconds from a request to its refusal, on average.
    pub told_ms: f64,
    /// The part of all tokens that were not part of an answer in time.
    pub wasted: f64,
    /// Preemptions for each 1,000 requests.
    pub preempted: f64,
    /// The part of all requests whose time was up while they ran.
    pub cut: f64,
    /// Jain's index over callers of what they got by their fair part.
    pub jain: f64,
    /// Requests a run.
    pub requests: f64,
}

/// Sums over the runs of a policy.
#[derive(Debug, Clone)]
pub struct Aggregator {
    runs: f64,
    requests: f64,
    met: f64,
    bound: f64,
    /// Requests and those in time, by urgency.
    classes: [(f64, f64); 3],
    waits: Histogram<u64>,
    urgent: Histogram<u64>,
    refusals: f64,
    told: Duration,
    tokens: f64,
    useful: f64,
    preempted: f64,
    cut: f64,
    jain: f64,
    rate: f64,
}

impl Default for Aggregator {
    fn default() -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are supported");
        histogram.auto(true);
        Self {
            runs: 0.0,
            requests: 0.0,
            met: 0.0,
            bound: 0.0,
            classes: [(0.0, 0.0); 3],
            waits: histogram.clone(),
            urgent: histogram,
            refusals: 0.0,
            told: Duration::ZERO,
            tokens: 0.0,
            useful: 0.0,
            preempted: 0.0,
            cut: 0.0,
            jain: 0.0,
            rate: 0.0,
        }
    }
}

impl Aggregator {
    /// Adds a run.
    pub fn add(
        &mut self,
        spec: &DeploymentSpec,
        traffic: &Traffic,
        results: &[RequestResult],
        most: f64,
    ) {
        let mut callers = vec![(0.0, 0.0); spec.callers];
        let before = self.met;
        for (request, result) in traffic.requests.iter().zip(results) {
            let met = result
                .completed_at
                .is_some_and(|completed_at| completed_at <= request.deadline);
            let one = f64::from(u8::from(met));
            self.met += one;
            let class = &mut self.classes[request.urgency as usize];
            *class = (class.0 + 1.0, class.1 + one);
            let caller = &mut callers[request.caller];
            *caller = (caller.0 + 1.0, caller.1 + one);
            if let Some(first) = result.first_token_at {
                let wait = (first - request.arrival).as_micros() as u64;
                self.waits.record(wait).expect("the histogram grows");
                if request.urgency == Urgency::Urgent {
                    self.urgent.record(wait).expect("the histogram grows");
                }
            }
            self.refusals += f64::from(result.refusals);
            self.told += result.refusal_wait;
            self.tokens += result.tokens as f64;
            self.useful += one * f64::from(request.output_tokens);
            self.preempted += f64::from(result.preemptions);
            self.cut += f64::from(u8::from(result.timed_out_running));
        }
        self.runs += 1.0;
        self.requests += traffic.requests.len() as f64;
        self.bound += most;
        self.jain += jain(&callers);
        let accelerators = (spec.servers * spec.accelerators) as f64;
        self.rate += (self.met - before) / accelerators / ARRIVAL_DURATION.as_secs_f64();
    }

    /// The means over all runs.
    pub fn summary(
        &self,
        deployment: Deployment,
        pattern: Pattern,
        config: PolicyConfig,
    ) -> Summary {
        let class = |urgency: Urgency| {
            let (count, met) = self.classes[urgency as usize];
            part(met, count)
        };
        let millis = |waits: &Histogram<u64>, q| waits.value_at_quantile(q) as f64 / 1e3;
        Summary {
            pattern: pattern.to_string(),
            deployment: deployment.to_string(),
            policy: config.name,
            chosen: config.is_default,
            attainment: part(self.met, self.requests),
            urgent: class(Urgency::Urgent),
            normal: class(Urgency::Normal),
            slow: class(Urgency::Slow),
            bound: part(self.bound, self.requests),
            of_bound: part(self.met, self.bound),
            per_accelerator: round(self.rate / self.runs),
            wait_p50: millis(&self.waits, 0.50),
            wait_p95: millis(&self.waits, 0.95),
            wait_p99: millis(&self.waits, 0.99),
            urgent_p95: millis(&self.urgent, 0.95),
            refusals: part(self.refusals, self.requests),
            told_ms: part(self.told.as_secs_f64() * 1e3, self.refusals),
            wasted: part(self.tokens - self.useful, self.tokens),
            preempted: part(self.preempted * 1e3, self.requests),
            cut: part(self.cut, self.requests),
            jain: round(self.jain / self.runs),
            requests: round(self.requests / self.runs),
        }
    }
}

/// The heads of the columns of [`format_summary`].
pub fn table_header() -> String {
    format!(
        "{:<13}{:<17}{:<18}{:>7}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}{:>9}{:>9}{:>8}{:>7}{:>7}{:>7}{:>7}{:>7}",
        "deployment",
        "pattern",
        "policy",
        "attain",
        "urgent",
        "normal",
        "slow",
        "bound",
        "ofbound",
        "acc/s",
        "p95 ms",
        "urg p95",
        "told ms",
        "waste",
        "preem",
        "cut",
        "refus",
        "jain",
    )
}

/// The summary as a line, of a table or of JSON.
pub fn format_summary(summary: &Summary, json: bool) -> String {
    if json {
        return serde_json::to_string(summary).expect("figures are plain numbers");
    }
    let name = format!("{}{}", summary.policy, if summary.chosen { "*" } else { "" });
    format!(
        "{:<13}{:<17}{:<18}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>8.3}{:>8.3}{:>9.0}{:>9.0}{:>8.1}{:>7.3}{:>7.1}{:>7.3}{:>7.2}{:>7.3}",
        summary.deployment,
        summary.pattern,
        name,
        summary.attainment,
        summary.urgent,
        summary.normal,
        summary.slow,
        summary.bound,
        summary.of_bound,
        summary.per_accelerator,
        summary.wait_p95,
        summary.urgent_p95,
        summary.told_ms,
        summary.wasted,
        summary.preempted,
        summary.cut,
        summary.refusals,
        summary.jain,
    )
}

/// Jain's index of what callers got by their fair part of all that was given.
fn jain(callers: &[(f64, f64)]) -> f64 {
    let given: f64 = callers.iter().map(|caller| caller.1).sum();
    let level = level(callers, given);
    let parts: Vec<f64> = callers
        .iter()
        .filter(|caller| caller.0 > 0.0)
        .map(|&(asked, got)| got / asked.min(level).max(1e-9))
        .collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    if squares > 0.0 { sum * sum / (squares * parts.len() as f64) } else { 0.0 }
}

/// The level at which callers who ask for more are cut so that all is given.
fn level(callers: &[(f64, f64)], given: f64) -> f64 {
    let mut asked: Vec<f64> = callers.iter().map(|caller| caller.0).collect();
    asked.sort_by(f64::total_cmp);
    let (mut left, mut count) = (given, asked.len() as f64);
    for ask in asked {
        if ask * count >= left {
            return left / count;
        }
        left -= ask;
        count -= 1.0;
    }
    f64::MAX
}

fn part(some: f64, all: f64) -> f64 {
    if all > 0.0 { round(some / all) } else { 0.0 }
}

/// Four digits after the point.
fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
