//! Errors of calls to the platform.

use std::fmt::{self, Display, Formatter};

/// Why a call to the platform failed, and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The service rejected the call or was unreachable; the call had no effect.
    Unavailable(String),
    /// The response was lost, so that a write may or may not have taken effect.
    ///
    /// After a write, read the current state before relying on either outcome.
    OutcomeUnknown(String),
    /// The service rejected the call as invalid, or a message can't be encoded or
    /// decoded.
    Protocol(String),
}

impl Display for PlatformError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => {
                write!(
                    f,
                    "the platform is unavailable; the call had no effect ({reason}); try again later"
                )
            }
            Self::OutcomeUnknown(reason) => {
                write!(
                    f,
                    "the platform's response was lost ({reason}); check whether the call took effect"
                )
            }
            Self::Protocol(reason) => write!(
                f,
                "the platform rejected the call, or a message is malformed ({reason}); check the service's address"
            ),
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<reqwest::Error> for PlatformError {
    fn from(error: reqwest::Error) -> Self {
        let reason = error.to_string();
        // Without a connection, nothing was sent.
        if error.is_connect() || error.is_builder() {
            Self::Unavailable(reason)
        } else {
            Self::OutcomeUnknown(reason)
        }
    }
}
