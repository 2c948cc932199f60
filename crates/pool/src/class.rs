//! What the holder of a runner's claim knows of a request besides its size and urgency.

use serde::{Deserialize, Serialize};

/// What distinguishes requests of the same urgency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestClass {
    /// The name of the client account; `None` if requests need no key.
    pub account: Option<String>,
    /// Whether the request may wait for all others and, once it runs, be stopped and
    /// resumed later.
    pub patient: bool,
    /// Whether it goes before all others: its caller has part of the response, which only this
    /// daemon can continue, and the daemon is shutting down. Not part of the serialized class,
    /// which older daemons read.
    #[serde(skip)]
    pub must_continue: bool,
}
