//! What an entry knows of a backend server's load.
//!
//! Load pattern: six entries share the backend servers, and each hears of the
//! others' requests only through the leads. Taken as it is, an old report sends
//! all entries to the server that was idle a moment ago. So a report is corrected
//! by what this entry sent since, counts only half beside what this entry has in
//! flight there, and after [`FADE`] it is no longer believed at all. The waits that
//! leads told were tried as well and made it worse: they differ more with the one
//! long stream at hand than with what a server can still take.

use std::time::{Duration, Instant};

/// The age at which a report is no longer believed.
pub const FADE: Duration = Duration::from_secs(5);

/// The age at which a reported step time is no longer believed.
///
/// A slow server gets next to nothing, so that no report tells when it is well
/// again. Over this time it is taken for faster little by little, until a request
/// is worth trying there and brings a report.
pub const RETURN: Duration = Duration::from_secs(20);

/// How loaded a backend server is, as its lead last said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The estimated wait of a request that came then.
    pub estimated_wait: Duration,
    /// The measured time of an engine step; zero if not known.
    pub step_time: Duration,
}

/// What an entry knows of a backend server's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known {
    report: Option<(LoadReport, Instant)>,
    /// Own attempts in flight; exact.
    own: u32,
    /// Own attempts begun less those ended since the report.
    since: i64,
}

impl Known {
    /// Counts an attempt in flight.
    pub fn begin(&mut self) {
        self.own += 1;
        self.since += 1;
    }

    /// Ends an attempt in flight.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
        self.since -= 1;
    }

    /// Takes a report.
    pub fn set(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
        self.since = 0;
    }

    /// Own attempts in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// The report if it is still believed, and how much, from 0 to 1.
    pub fn fresh(&self, now: Instant) -> Option<(LoadReport, f64)> {
        self.believed(now, FADE)
    }

    /// The time of a step, between the reported and the declared one.
    pub fn step(&self, now: Instant, declared: f64) -> f64 {
        match self.believed(now, RETURN) {
            Some((report, belief)) if !report.step_time.is_zero() => {
                belief * report.step_time.as_secs_f64() + (1.0 - belief) * declared
            }
            _ => declared,
        }
    }

    fn believed(&self, now: Instant, fade: Duration) -> Option<(LoadReport, f64)> {
        let (report, at) = self.report?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        let belief = 1.0 - age / fade.as_secs_f64();
        (belief > 0.0).then_some((report, belief))
    }

    /// Requests at the server, as far as can be told.
    ///
    /// The mean of what its lead told and of what this entry has there, taken for
    /// all entries: the former is exact and old, the latter is new and a sample.
    /// Together they beat either alone (`docs/POLICY.md`).
    pub fn requests(&self, now: Instant, entries: f64) -> f64 {
        let own = f64::from(self.own);
        match self.fresh(now) {
            Some((report, _)) => {
                let told = f64::from(report.running + report.queued);
                let told = (told + self.since as f64).max(own);
                0.5 * (told + own * entries)
            }
            None => own * entries,
        }
    }
}
