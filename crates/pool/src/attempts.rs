//! What may follow each attempt of a request, and what may be said of it in the end.
//!
//! An attempt is the request sent to one server. One whose answer is lost may have run,
//! may be running, or may run later: a server that stood still reads what was sent to it
//! when it goes on. So a request that must run once at most is sent again only while no
//! byte was sent or a server itself said that it did not run it, and only then its caller
//! is told that it has not run.
//!
//! What may run again is bounded: a request that breaks servers would otherwise go round
//! all of them, and each repeat adds to the load that made the last attempt fail.

use chestnut_base::ServerName;
use chestnut_edge::RouteKind;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte was sent.
    NotSent,
    /// The server said that it did not run the request and never will.
    Rejected,
    /// It was sent, and what became of it is not known.
    ResponseLost,
    /// It was sent, and its server was silent for longer than it should be.
    Unresponsive,
    /// It was sent, and the time ran out.
    TimedOut,
    /// The server ran it and says that it failed.
    Failed,
    /// The answer broke off when the caller had a part of it.
    Interrupted,
}

/// What may follow an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt.
    Retry,
    /// Another attempt, if the service's budget has a repeat left.
    RetryWithinBudget,
    /// None.
    GiveUp,
}

/// A run of a server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// The server.
    pub server: ServerName,
    /// Its start, in Unix milliseconds; the next run under its name has another.
    pub started_at: Option<u64>,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RouteKind,
    /// On how many servers it may run.
    most: u32,
    /// Where it may have run without bringing a whole answer, in order.
    runs: Vec<Incarnation>,
}

impl Attempts {
    /// No attempt yet of a request that may run on so many servers.
    pub fn new(kind: RouteKind, most: u32) -> Self {
        Self { kind, most, runs: Vec::new() }
    }

    /// Takes in how an attempt ended, and says what may follow.
    pub fn record(&mut self, run: Incarnation, ended: AttemptOutcome) -> RetryDecision {
        match ended {
            AttemptOutcome::NotSent => return RetryDecision::Retry,
            AttemptOutcome::Rejected => return RetryDecision::RetryWithinBudget,
            AttemptOutcome::ResponseLost
            | AttemptOutcome::Unresponsive
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed
            | AttemptOutcome::Interrupted => {
                self.runs.push(run);
            }
        }
        match ended {
            AttemptOutcome::Unresponsive if self.may_run() => RetryDecision::Retry,
            AttemptOutcome::ResponseLost if self.may_run() => {
                RetryDecision::RetryWithinBudget
            }
            // A stream's own failure is an answer, which its caller may act on.
            AttemptOutcome::Failed
                if self.kind == RouteKind::Idempotent && self.may_run() =>
            {
                RetryDecision::RetryWithinBudget
            }
            // Where it goes on is bounded by [`Self::only_on`].
            AttemptOutcome::Interrupted if self.kind.is_repeatable() => {
                RetryDecision::RetryWithinBudget
            }
            _ => RetryDecision::GiveUp,
        }
    }

    /// Whether an attempt may be given up as silent, with another one to follow.
    pub fn may_abandon(&self) -> bool {
        self.kind == RouteKind::Idempotent && self.runs.len() as u32 + 1 < self.most
    }

    /// Whether a server may have run it without bringing an answer.
    pub fn may_have_run(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Where alone it may still run; nothing if it may run anywhere.
    ///
    /// A stream that breaks off again and again goes on at the servers that had it before,
    /// once it was on as many as its route allows; otherwise one that breaks servers would
    /// reach all of them. Servers that have ended since, by `is_up`, do not count.
    pub fn restricted_to(
        &self,
        is_up: impl Fn(&Incarnation) -> bool,
    ) -> Option<&[Incarnation]> {
        if self.runs.len() < self.most as usize {
            return None;
        }
        let mut up: Vec<&Incarnation> =
            self.runs.iter().filter(|one| is_up(one)).collect();
        up.sort_by(|a, b| a.server.cmp(&b.server));
        up.dedup();
        (up.len() >= self.most as usize).then_some(&self.runs)
    }

    fn may_run(&self) -> bool {
        self.kind.is_repeatable() && (self.runs.len() as u32) < self.most
    }
}
