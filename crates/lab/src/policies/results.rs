//! Aggregates the results of requests into the figures of a policy.

use std::time::Duration;

use chestnut_base::Urgency;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::PolicyConfig;
use super::scenario::{Deployment, DeploymentSpec, Pattern};
use super::traffic::{ARRIVAL_DURATION, Traffic};

/// Result of one request; times count from the start of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestResult {
    /// When the caller received the complete response; `None` if it never did.
    pub completed_at: Option<Duration>,
    /// When the caller received the first token; `None` if it never did.
    pub first_token_at: Option<Duration>,
    /// Refusals that reached the caller.
    pub refusals: u32,
    /// Sum of the times from sending to the refusals.
    pub refusal_wait: Duration,
    /// Tokens that engines generated for it, over all attempts.
    pub tokens: u64,
    /// How often its stream was preempted.
    pub preemptions: u32,
    /// Whether its deadline passed while it was generating tokens.
    pub timed_out_running: bool,
}

/// Figures of a policy over all runs. Fractions are between 0 and 1.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the load pattern.
    pub pattern: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Whether the daemon uses this policy.
    #[serde(rename = "chosen")]
    pub is_default: bool,
    /// Fraction of all requests that were served in time.
    pub attainment: f64,
    /// Fraction of the urgent requests that were served in time.
    pub urgent: f64,
    /// Fraction of the normal requests that were served in time.
    pub normal: f64,
    /// Fraction of the slow requests that were served in time.
    pub slow: f64,
    /// Upper bound of `attainment` for any schedule.
    pub bound: f64,
    /// `attainment` divided by `bound`.
    pub of_bound: f64,
    /// Requests served in time per accelerator and second of arrivals.
    pub per_accelerator: f64,
    /// Median time to first token, in milliseconds.
    #[serde(rename = "wait_p50")]
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    #[serde(rename = "wait_p95")]
    pub first_token_p95_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    #[serde(rename = "wait_p99")]
    pub first_token_p99_ms: f64,
    /// 95th percentile for urgent requests, in milliseconds.
    #[serde(rename = "urgent_p95")]
    pub urgent_first_token_p95_ms: f64,
    /// Refusals per request.
    pub refusals: f64,
    /// Mean time from sending a request to its refusal, in milliseconds.
    #[serde(rename = "told_ms")]
    pub refusal_wait_ms: f64,
    /// Fraction of all generated tokens that are not part of a response in time.
    pub wasted: f64,
    /// Preemptions per 1,000 requests.
    #[serde(rename = "preempted")]
    pub preemptions: f64,
    /// Fraction of all requests whose deadline passed while they were generating tokens.
    #[serde(rename = "cut")]
    pub timed_out_running: f64,
    /// Jain's fairness index of the callers' shares, relative to a max-min fair allocation.
    #[serde(rename = "jain")]
    pub fairness: f64,
    /// Mean number of requests per run.
    pub requests: f64,
}

/// Sums over the runs of a policy, from which [`Summary`] is computed.
#[derive(Debug, Clone)]
pub struct Aggregator {
    runs: f64,
    requests: f64,
    in_time: f64,
    bound: f64,
    /// Requests and requests served in time, by urgency.
    by_urgency: [(f64, f64); 3],
    /// Times to first token, in microseconds.
    first_token: Histogram<u64>,
    urgent_first_token: Histogram<u64>,
    refusals: f64,
    refusal_wait: Duration,
    tokens: f64,
    tokens_in_time: f64,
    preemptions: f64,
    timed_out_running: f64,
    fairness: f64,
    rate_per_accelerator: f64,
}

impl Default for Aggregator {
    fn default() -> Self {
        let mut histogram = Histogram::new(3).expect("three digits are supported");
        histogram.auto(true);
        Self {
            runs: 0.0,
            requests: 0.0,
            in_time: 0.0,
            bound: 0.0,
            by_urgency: [(0.0, 0.0); 3],
            first_token: histogram.clone(),
            urgent_first_token: histogram,
            refusals: 0.0,
            refusal_wait: Duration::ZERO,
            tokens: 0.0,
            tokens_in_time: 0.0,
            preemptions: 0.0,
            timed_out_running: 0.0,
            fairness: 0.0,
            rate_per_accelerator: 0.0,
        }
    }
}

impl Aggregator {
    /// Adds the results of a run, in the order of its requests.
    pub fn add(
        &mut self,
        spec: &DeploymentSpec,
        traffic: &Traffic,
        results: &[RequestResult],
        upper_bound: f64,
    ) {
        let mut callers = vec![(0.0, 0.0); spec.callers];
        let in_time_before = self.in_time;
        for (request, result) in traffic.requests.iter().zip(results) {
            let in_time = result
                .completed_at
                .is_some_and(|completed_at| completed_at <= request.deadline);
            let increment = f64::from(u8::from(in_time));
            self.in_time += increment;
            let class = &mut self.by_urgency[request.urgency as usize];
            *class = (class.0 + 1.0, class.1 + increment);
            let caller = &mut callers[request.caller];
            *caller = (caller.0 + 1.0, caller.1 + increment);
            if let Some(first) = result.first_token_at {
                let wait = (first - request.arrival).as_micros() as u64;
                self.first_token.record(wait).expect("the histogram grows");
                if request.urgency == Urgency::Urgent {
                    self.urgent_first_token.record(wait).expect("the histogram grows");
                }
            }
            self.refusals += f64::from(result.refusals);
            self.refusal_wait += result.refusal_wait;
            self.tokens += result.tokens as f64;
            self.tokens_in_time += increment * f64::from(request.output_tokens);
            self.preemptions += f64::from(result.preemptions);
            self.timed_out_running += f64::from(u8::from(result.timed_out_running));
        }
        self.runs += 1.0;
        self.requests += traffic.requests.len() as f64;
        self.bound += upper_bound;
        self.fairness += jain_index(&callers);
        let accelerators = (spec.servers * spec.accelerators) as f64;
        self.rate_per_accelerator += (self.in_time - in_time_before)
            / accelerators
            / ARRIVAL_DURATION.as_secs_f64();
    }

    /// Returns the figures of all runs added so far.
    pub fn summary(
        &self,
        deployment: Deployment,
        pattern: Pattern,
        config: PolicyConfig,
    ) -> Summary {
        let class = |urgency: Urgency| {
            let (count, in_time) = self.by_urgency[urgency as usize];
            ratio(in_time, count)
        };
        let millis = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1e3;
        Summary {
            pattern: pattern.to_string(),
            deployment: deployment.to_string(),
            policy: config.name,
            is_default: config.is_default,
            attainment: ratio(self.in_time, self.requests),
            urgent: class(Urgency::Urgent),
            normal: class(Urgency::Normal),
            slow: class(Urgency::Slow),
            bound: ratio(self.bound, self.requests),
            of_bound: ratio(self.in_time, self.bound),
            per_accelerator: round(self.rate_per_accelerator / self.runs),
            first_token_p50_ms: millis(&self.first_token, 0.50),
            first_token_p95_ms: millis(&self.first_token, 0.95),
            first_token_p99_ms: millis(&self.first_token, 0.99),
            urgent_first_token_p95_ms: millis(&self.urgent_first_token, 0.95),
            refusals: ratio(self.refusals, self.requests),
            refusal_wait_ms: ratio(self.refusal_wait.as_secs_f64() * 1e3, self.refusals),
            wasted: ratio(self.tokens - self.tokens_in_time, self.tokens),
            preemptions: ratio(self.preemptions * 1e3, self.requests),
            timed_out_running: ratio(self.timed_out_running, self.requests),
            fairness: round(self.fairness / self.runs),
            requests: round(self.requests / self.runs),
        }
    }
}

/// Column headings for [`format_summary`].
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

/// Formats the summary as a table row or as a JSON object.
pub fn format_summary(summary: &Summary, json: bool) -> String {
    if json {
        return serde_json::to_string(summary).expect("figures are plain numbers");
    }
    let name = format!("{}{}", summary.policy, if summary.is_default { "*" } else { "" });
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
        summary.first_token_p95_ms,
        summary.urgent_first_token_p95_ms,
        summary.refusal_wait_ms,
        summary.wasted,
        summary.preemptions,
        summary.timed_out_running,
        summary.refusals,
        summary.fairness,
    )
}

/// Jain's fairness index of the callers' shares: requests served in time, divided by the
/// max-min fair allocation of all requests served in time.
///
/// `callers` holds the requests of each caller and how many of them were served in time.
fn jain_index(callers: &[(f64, f64)]) -> f64 {
    let served: f64 = callers.iter().map(|caller| caller.1).sum();
    let fair_limit = max_min_level(callers, served);
    let shares: Vec<f64> = callers
        .iter()
        .filter(|caller| caller.0 > 0.0)
        .map(|&(demand, served)| served / demand.min(fair_limit).max(1e-9))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (squares * shares.len() as f64) } else { 0.0 }
}

/// Limit per caller at which the demands, capped at it, add up to `capacity`.
fn max_min_level(callers: &[(f64, f64)], capacity: f64) -> f64 {
    let mut demands: Vec<f64> = callers.iter().map(|caller| caller.0).collect();
    demands.sort_by(f64::total_cmp);
    let (mut remaining, mut count) = (capacity, demands.len() as f64);
    for demand in demands {
        if demand * count >= remaining {
            return remaining / count;
        }
        remaining -= demand;
        count -= 1.0;
    }
    f64::MAX
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { round(part / whole) } else { 0.0 }
}

/// Rounds to four decimal places.
fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
