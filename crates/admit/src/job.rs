//! What a lead knows of a request, and what it decides about it.

use std::time::{Duration, Instant};

use chestnut_base::{CallerName, RefusalCode, TeamName, Urgency};
use slotmap::new_key_type;

new_key_type! {
    /// A request at a lead, from its offer to its end.
    ///
    /// Tickets are never reused, so that a late event about a request that has
    /// ended changes nothing.
    pub struct Ticket;
}

/// A request as it is offered to a lead.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Who sent it.
    pub caller: CallerName,
    /// The caller's team.
    pub team: TeamName,
    /// The weight of the caller's share; 0 counts as 1.
    pub share: u32,
    /// How urgent it is.
    pub urgency: Urgency,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The greatest length of the answer that is still to come, in tokens.
    pub max_output_tokens: u32,
    /// Whether it can be cancelled and go on from the tokens already sent.
    pub resumable: bool,
    /// Whether the caller already holds the first part of the answer.
    ///
    /// Such a request is never refused by the lead: the caller would be left
    /// with half an answer.
    pub resumed: bool,
}

impl Job {
    /// The tokens that it may occupy in the engine's cache.
    pub fn cache_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}

/// Something that the lead wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Hand the request to the backend server.
    Dispatch(Ticket),
    /// Tell the caller that the request was not run; the ticket has ended.
    Refuse(Ticket, Rejection),
    /// Cancel the stream, report its end, and offer the rest again.
    Preempt(Ticket),
}

/// Why a request is refused and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// When the caller should come back; absent if that is of no use.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Even an idle backend server could not finish it in time.
    Short,
    /// It would finish too late behind the requests before it.
    Late,
    /// The queue is full.
    Full,
    /// A more urgent or shorter request, or one of a caller that has had less,
    /// took its place.
    Displaced,
    /// The caller is over its share, and there is not room for all.
    Share,
    /// The lead hands the backend server over.
    Closed,
}

impl RejectReason {
    /// The code that the caller is told.
    pub fn code(self) -> RefusalCode {
        match self {
            Self::Short | Self::Late => RefusalCode::Deadline,
            Self::Full | Self::Displaced => RefusalCode::Overloaded,
            Self::Share => RefusalCode::CallerLimit,
            Self::Closed => RefusalCode::Unavailable,
        }
    }

    /// Whether another backend server may take the request.
    pub fn may_retry_elsewhere(self) -> bool {
        !matches!(self, Self::Short)
    }

    /// A sentence for the caller that names the remedy.
    pub fn message(self) -> &'static str {
        match self {
            Self::Short => {
                "the deadline is shorter than the request takes; allow more time or ask for fewer tokens"
            }
            Self::Late => {
                "the request can't be finished by its deadline; come back after the time given"
            }
            Self::Full => "the queue is full; come back after the time given",
            Self::Displaced => {
                "other requests were served first; come back after the time given"
            }
            Self::Share => {
                "the caller has used its share; come back after the time given"
            }
            Self::Closed => "the backend server changes its lead; send the request again",
        }
    }
}
