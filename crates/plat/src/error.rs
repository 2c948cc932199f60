//! Why a call to the platform failed.

use std::fmt::{self, Display, Formatter};

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The service refused the call or could not be reached; nothing was done.
    Unavailable(String),
    /// The answer was lost, so that a write may or may not have taken effect.
    ///
    /// Whoever gets this for a write reads back before it decides anything.
    OutcomeUnknown(String),
    /// The service does not understand the call or its answer can't be read.
    Protocol(String),
}

impl Display for PlatformError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => {
                write!(f, "the platform did nothing ({why}); try again later")
            }
            Self::OutcomeUnknown(why) => {
                write!(f, "the platform's answer was lost ({why}); read back what holds")
            }
            Self::Protocol(why) => write!(
                f,
                "the platform's answer can't be read ({why}); check the service's address"
            ),
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<reqwest::Error> for PlatformError {
    fn from(error: reqwest::Error) -> Self {
        let text = error.to_string();
        // Nothing was sent over a connection that never stood.
        if error.is_connect() || error.is_builder() {
            Self::Unavailable(text)
        } else {
            Self::OutcomeUnknown(text)
        }
    }
}
