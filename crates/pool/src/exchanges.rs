//! Which request a response belongs to.
//!
//! A faulty server may respond to a request twice, the second time when the next request on
//! the connection waits for its response. HTTP/1.1 matches responses to requests by their
//! order alone, so that such a copy shifts all later responses. What tells them apart is the
//! id that servers echo.

use chestnut_base::Digest;
use chestnut_edge::EchoedId;

/// The number of requests that one connection carries.
///
/// Bounds the memory for their ids.
const MAX_REQUESTS: usize = 512;

/// Which request a response is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// The response echoes the request's id, which no earlier request had.
    Echoed,
    /// The response names no request, and the connection has carried only this one.
    OnlyRequest,
    /// The response may be a late one to an earlier request: it names none, or one whose id the
    /// connection has carried twice.
    Unidentified,
    /// The response names another request, or more than one.
    Foreign,
}

impl Attribution {
    /// Whether the response is certainly the one to the request.
    pub fn is_own(self) -> bool {
        matches!(self, Self::Echoed | Self::OnlyRequest)
    }

    /// The label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Echoed => "echoed",
            Self::OnlyRequest => "only request",
            Self::Unidentified => "unidentified",
            Self::Foreign => "foreign",
        }
    }
}

/// The requests that a connection has carried, one after another.
#[derive(Debug, Default)]
pub struct Exchanges {
    /// The ids of the requests, in order; `None` for a request without one.
    ids: Vec<Option<Digest>>,
    /// Whether the last request has the id of an earlier one.
    is_repeated: bool,
    /// Whether a later response could not be told from one to the last request.
    is_spent: bool,
}

impl Exchanges {
    /// Whether the response to a request with this id could be told from responses to the
    /// earlier requests.
    pub fn may_carry(&self, id: Option<&str>) -> bool {
        match id {
            _ if self.is_spent || self.ids.len() >= MAX_REQUESTS => false,
            Some(id) => !self.ids.contains(&Some(digest(id))),
            None => self.ids.is_empty(),
        }
    }

    /// Records a request that is about to be sent.
    pub fn begin(&mut self, id: Option<&str>) {
        // Until the response echoes an id, the connection can carry no other request.
        self.is_spent = true;
        let id = id.map(digest);
        self.is_repeated = self.ids.contains(&id);
        self.ids.push(id);
    }

    /// Tells whether a response is the one to the last request.
    pub fn attribute(&mut self, echoed: &EchoedId) -> Attribution {
        let is_last = |id: &str| self.ids.last() == Some(&Some(digest(id)));
        let attribution = match echoed {
            EchoedId::One(id) if is_last(id) && !self.is_repeated => Attribution::Echoed,
            EchoedId::One(id) if is_last(id) => Attribution::Unidentified,
            EchoedId::One(_) | EchoedId::Ambiguous => Attribution::Foreign,
            EchoedId::Missing if self.ids.len() == 1 => Attribution::OnlyRequest,
            EchoedId::Missing => Attribution::Unidentified,
        };
        self.is_spent = attribution != Attribution::Echoed;
        attribution
    }

    /// The number of requests, the last one included.
    pub fn count(&self) -> usize {
        self.ids.len()
    }

    /// Whether the connection can carry another request.
    pub fn is_reusable(&self) -> bool {
        !self.is_spent && self.ids.len() < MAX_REQUESTS
    }
}

fn digest(id: &str) -> Digest {
    Digest::of([id.as_bytes()])
}
