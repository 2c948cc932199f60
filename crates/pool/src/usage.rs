//! What is in flight at a backend server.

use std::ops::{AddAssign, SubAssign};

use chestnut_edge::GenerationSize;
use serde::{Deserialize, Serialize};

/// One request in flight, as far as it takes room at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flight {
    /// The size of the generation; zero for plain requests.
    pub size: GenerationSize,
    /// Whether the server has begun to answer.
    pub begun: bool,
}

/// The sum of what is in flight at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests that have no first event yet.
    pub unread: u64,
    /// Tokens that the requests may take in the KV cache.
    pub tokens: u64,
}

impl From<Flight> for Usage {
    fn from(flight: Flight) -> Self {
        let prompt = u64::from(flight.size.prompt);
        Self {
            requests: 1,
            unread: if flight.begun { 0 } else { prompt },
            tokens: prompt + u64::from(flight.size.output),
        }
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread += other.unread;
        self.tokens += other.tokens;
    }
}

impl SubAssign for Usage {
    /// Saturates: a server that started again was counted anew.
    fn sub_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
        self.tokens = self.tokens.saturating_sub(other.tokens);
    }
}
