//! Requests as the admission controller sees them, and its decisions about them.

use std::time::{Duration, Instant};

use chestnut_base::{CallerName, RefusalCode, TeamName, Urgency};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a request at a controller from its offer to its end.
    ///
    /// Tickets are never reused, so a late event about a finished request is ignored.
    pub struct Ticket;
}

/// A request as it is offered to a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The caller that sent the request.
    pub caller: CallerName,
    /// The caller's team.
    pub team: TeamName,
    /// The caller's weight in the fair share; 0 counts as 1.
    pub share: u32,
    /// The priority class.
    pub urgency: Urgency,
    /// The time by which the response must be complete.
    pub deadline: Instant,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the remaining response, in tokens.
    pub max_output_tokens: u32,
    /// Whether the request can be cancelled and resumed after the tokens already sent.
    pub resumable: bool,
    /// Whether the caller has already received the first part of the response.
    ///
    /// An open controller never refuses such a request, since the caller would be left
    /// with an incomplete response; a closed one refuses it like any other.
    pub resumed: bool,
}

impl Job {
    /// The most tokens of the engine's KV cache that the request can occupy.
    pub fn cache_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// An action that the daemon carries out for the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the request to the backend server.
    Dispatch(Ticket),
    /// Report to the caller that the request was not run; the ticket is no longer valid.
    Refuse(Ticket, Rejection),
    /// Cancel the stream, report its end, and offer the remainder again.
    Preempt(Ticket),
}

/// Why a request was refused and when to retry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The cause.
    pub reason: RejectReason,
    /// The delay before the caller retries; `None` if a retry can't succeed.
    pub retry_after: Option<Duration>,
}

/// The cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Even an idle backend server could not finish the request in time.
    Infeasible,
    /// The requests queued ahead would delay it beyond its deadline.
    DeadlineMissed,
    /// The queue is full.
    QueueFull,
    /// It was removed from the queue in favour of requests that are more urgent, shorter,
    /// or from callers with less usage.
    Displaced,
    /// The caller exceeds its share while the server is overloaded.
    ShareExceeded,
    /// The daemon is handing over the lead of the backend server.
    Closed,
}

impl RejectReason {
    /// The error code for the caller.
    pub fn code(self) -> RefusalCode {
        match self {
            Self::Infeasible | Self::DeadlineMissed => RefusalCode::Deadline,
            Self::QueueFull | Self::Displaced => RefusalCode::Overloaded,
            Self::ShareExceeded => RefusalCode::CallerLimit,
            Self::Closed => RefusalCode::Unavailable,
        }
    }

    /// Whether another backend server may accept the request.
    pub fn may_retry_elsewhere(self) -> bool {
        !matches!(self, Self::Infeasible)
    }

    /// The error message for the caller, with the remedy.
    pub fn message(self) -> &'static str {
        match self {
            Self::Infeasible => {
                "the deadline is shorter than the request takes; allow more time or request fewer tokens"
            }
            Self::DeadlineMissed => {
                "the request can't be finished by its deadline; retry after the given delay"
            }
            Self::QueueFull => "the queue is full; retry after the given delay",
            Self::Displaced => {
                "other requests were served first; retry after the given delay"
            }
            Self::ShareExceeded => {
                "the caller has used its share; retry after the given delay"
            }
            Self::Closed => {
                "the backend server is moving to another daemon; send the request again"
            }
        }
    }
}
