//! Counts of what is in flight at a backend server.

use std::ops::{AddAssign, SubAssign};

use chestnut_edge::GenerationSize;
use serde::{Deserialize, Serialize};

/// What one request in flight takes of a server's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Prompt and output tokens of a generation; zero for plain requests.
    pub size: GenerationSize,
    /// Whether the server has begun to respond.
    pub responding: bool,
}

/// Total of the requests in flight at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens of requests that have no first event yet.
    #[serde(rename = "unread")]
    pub pending_prompt_tokens: u64,
    /// Tokens that the requests may take in the KV cache.
    #[serde(rename = "tokens")]
    pub kv_tokens: u64,
}

impl From<InFlightRequest> for Usage {
    fn from(request: InFlightRequest) -> Self {
        let prompt = u64::from(request.size.prompt_tokens);
        Self {
            requests: 1,
            pending_prompt_tokens: if request.responding { 0 } else { prompt },
            kv_tokens: prompt + u64::from(request.size.max_output_tokens),
        }
    }
}

impl AddAssign for Usage {
    /// Saturates, since other daemons report what they have in flight.
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_add(other.pending_prompt_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }
}

impl SubAssign for Usage {
    /// Saturates, since a restarted server starts again from zero.
    fn sub_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_sub(other.pending_prompt_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}
