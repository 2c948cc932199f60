//! An entry's estimate of a backend server's load.
//!
//! Load pattern: six entries share the backend servers, and each learns of the others'
//! requests only through the leads. Used as it is, an old report sends all
//! entries to the server that was idle a moment ago. So a report is corrected by the
//! attempts that this entry started since, is averaged with a projection from this
//! entry's own attempts in flight, and expires after [`REPORT_MAX_AGE`]. The waits that
//! leads report are not used, since they make the choice worse: they depend more on a
//! single long stream than on the spare capacity of a server.

use std::time::{Duration, Instant};

/// The age at which a report is no longer used to estimate the load.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// The age at which a reported step time is no longer used.
///
/// A slow server gets next to no requests, so no report shows when it has recovered. Over
/// this time its assumed step time returns to the declared one, until a request is sent
/// there again and brings a report.
pub const STEP_TIME_MAX_AGE: Duration = Duration::from_secs(20);

/// The load of a backend server as reported by its lead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The estimated wait of a request that arrived at the time of the report.
    pub estimated_wait: Duration,
    /// The measured time of an engine step; zero if unknown.
    pub step_time: Duration,
}

/// The estimated load of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerLoad {
    /// The last report and when it arrived.
    report: Option<(LoadReport, Instant)>,
    /// This entry's attempts in flight; exact.
    in_flight: u32,
    /// The change of `in_flight` since the report.
    change_since_report: i64,
}

impl ServerLoad {
    /// Counts an attempt of this entry as in flight.
    pub fn begin_attempt(&mut self) {
        self.in_flight += 1;
        self.change_since_report += 1;
    }

    /// Ends an attempt of this entry.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.change_since_report -= 1;
    }

    /// Replaces the report by a new one.
    pub fn update(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
        self.change_since_report = 0;
    }

    /// This entry's attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The report and its weight, above 0 and at most 1; `None` if it has expired.
    pub fn weighted_report(&self, now: Instant) -> Option<(LoadReport, f64)> {
        self.weighted(now, REPORT_MAX_AGE)
    }

    /// The step time, interpolated by the age of the report from the reported to the
    /// `declared` one; both in seconds.
    pub fn step_time(&self, now: Instant, declared: f64) -> f64 {
        match self.weighted(now, STEP_TIME_MAX_AGE) {
            Some((report, weight)) if !report.step_time.is_zero() => {
                weight * report.step_time.as_secs_f64() + (1.0 - weight) * declared
            }
            _ => declared,
        }
    }

    /// The report with a weight that decreases linearly to 0 at `max_age`.
    fn weighted(&self, now: Instant, max_age: Duration) -> Option<(LoadReport, f64)> {
        let (report, at) = self.report?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = 1.0 - age / max_age.as_secs_f64();
        (weight > 0.0).then_some((report, weight))
    }

    /// The estimated number of requests at the server.
    ///
    /// The mean of the corrected report and of this entry's attempts in flight,
    /// projected to all entries: the former is complete and old, the latter is current
    /// and a sample. The mean leads to better choices than either alone
    /// (`docs/POLICY.md`).
    pub fn estimated_requests(&self, now: Instant, entry_count: f64) -> f64 {
        let own = f64::from(self.in_flight);
        match self.weighted_report(now) {
            Some((report, _)) => {
                let reported = f64::from(report.running + report.queued);
                let reported = (reported + self.change_since_report as f64).max(own);
                0.5 * (reported + own * entry_count)
            }
            None => own * entry_count,
        }
    }
}
