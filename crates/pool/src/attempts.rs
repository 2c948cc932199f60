//! Decides what may follow each attempt of a request, and whether it may have run.
//!
//! An attempt is the request sent to one server. If its response is lost, the request may
//! have run, may be running, or may run later: a server that was suspended processes what
//! was sent to it when it resumes. A request that must run at most once is therefore sent
//! again only if no byte was sent or the server itself reported that it did not run it,
//! and only then does its caller get a response that says so.
//!
//! The number of servers on which a request may run is bounded: a request that crashes
//! servers would otherwise reach all of them, and each retry adds to the load that made
//! the last attempt fail.

use chestnut_base::Incarnation;
use chestnut_edge::RouteKind;

/// How an attempt without a complete response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte was sent.
    NotSent,
    /// The server reported that it did not run the request and never will.
    Rejected,
    /// The request was sent, and whether it ran is unknown.
    ResponseLost,
    /// The request was sent, and the server exceeded its response timeout.
    Unresponsive,
    /// The request was sent, and its deadline passed.
    TimedOut,
    /// The server ran it and reported a failure.
    Failed,
    /// The response broke off after the caller had received a part of it.
    Interrupted,
    /// The daemon stopped the stream for more urgent requests, within the retry budget.
    Yielded,
}

/// What may follow an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt.
    Retry,
    /// Another attempt, if the service's retry budget grants one.
    RetryWithinBudget,
    /// No further attempt.
    GiveUp,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RouteKind,
    /// Largest number of servers on which it may run.
    max_runs: u32,
    /// Where it may have run without a complete response, oldest first.
    possible_runs: Vec<Incarnation>,
}

impl Attempts {
    /// Starts without attempts, for a request that may run on `max_runs` servers.
    pub fn new(kind: RouteKind, max_runs: u32) -> Self {
        Self { kind, max_runs, possible_runs: Vec::new() }
    }

    /// Records how an attempt ended, and decides what may follow.
    pub fn record(
        &mut self,
        incarnation: Incarnation,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        match outcome {
            AttemptOutcome::NotSent => return RetryDecision::Retry,
            AttemptOutcome::Rejected => return RetryDecision::RetryWithinBudget,
            AttemptOutcome::ResponseLost
            | AttemptOutcome::Unresponsive
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed
            | AttemptOutcome::Interrupted
            | AttemptOutcome::Yielded => {
                self.possible_runs.push(incarnation);
            }
        }
        match outcome {
            AttemptOutcome::Yielded => RetryDecision::Retry,
            AttemptOutcome::Unresponsive if self.may_run_again() => RetryDecision::Retry,
            AttemptOutcome::ResponseLost if self.may_run_again() => {
                RetryDecision::RetryWithinBudget
            }
            // The failure of a stream is a response that its caller may act on.
            AttemptOutcome::Failed
                if self.kind == RouteKind::Idempotent && self.may_run_again() =>
            {
                RetryDecision::RetryWithinBudget
            }
            // [`Self::restricted_to`] bounds where it continues.
            AttemptOutcome::Interrupted if self.kind.is_repeatable() => {
                RetryDecision::RetryWithinBudget
            }
            _ => RetryDecision::GiveUp,
        }
    }

    /// Whether the current attempt may be abandoned as unresponsive and followed by
    /// another.
    pub fn may_abandon(&self) -> bool {
        self.kind == RouteKind::Idempotent
            && self.possible_runs.len() as u32 + 1 < self.max_runs
    }

    /// Whether its stream, which runs on `current`, may be stopped and resumed later.
    ///
    /// The resume may need another server. Incarnations for which `is_up` is false have
    /// ended and do not count.
    pub fn may_yield(
        &self,
        current: &Incarnation,
        is_up: impl Fn(&Incarnation) -> bool,
    ) -> bool {
        let is_stream = matches!(self.kind, RouteKind::Stream { .. });
        let up = self.possible_runs.iter().filter(|run| is_up(run));
        let mut servers: Vec<&Incarnation> = up.chain([current]).collect();
        servers.sort();
        servers.dedup();
        is_stream && self.kind.is_repeatable() && servers.len() < self.max_runs as usize
    }

    /// Whether a server may have run it without a complete response.
    pub fn may_have_run(&self) -> bool {
        !self.possible_runs.is_empty()
    }

    /// The only incarnations on which it may still run; `None` if it may run anywhere.
    ///
    /// Once a stream that is interrupted repeatedly was on as many servers as its route
    /// allows, it continues only on these; a stream that crashes servers would otherwise
    /// reach all of them. Incarnations for which `is_up` is false have ended and do not
    /// count.
    pub fn restricted_to(
        &self,
        is_up: impl Fn(&Incarnation) -> bool,
    ) -> Option<&[Incarnation]> {
        if self.possible_runs.len() < self.max_runs as usize {
            return None;
        }
        let mut up: Vec<&Incarnation> =
            self.possible_runs.iter().filter(|run| is_up(run)).collect();
        up.sort_by(|a, b| a.server.cmp(&b.server));
        up.dedup();
        (up.len() >= self.max_runs as usize).then_some(&self.possible_runs)
    }

    fn may_run_again(&self) -> bool {
        self.kind.is_repeatable() && (self.possible_runs.len() as u32) < self.max_runs
    }
}
