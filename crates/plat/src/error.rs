//! Why a call to the platform failed.

use std::fmt::{self, Display, Formatter};

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatError {
    /// The service refused the call or could not be reached; nothing was done.
    Down(String),
    /// The answer was lost, so that a write may or may not have taken effect.
    ///
    /// Whoever gets this for a write reads back before it decides anything.
    Unknown(String),
    /// The service does not understand the call or its answer can't be read.
    Protocol(String),
}

impl Display for PlatError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down(why) => {
                write!(f, "the platform did nothing ({why}); try again later")
            }
            Self::Unknown(why) => {
                write!(f, "the platform's answer was lost ({why}); read back what holds")
            }
            Self::Protocol(why) => write!(
                f,
                "the platform's answer can't be read ({why}); check the service's address"
            ),
        }
    }
}

impl std::error::Error for PlatError {}

impl From<reqwest::Error> for PlatError {
    fn from(error: reqwest::Error) -> Self {
        let text = error.to_string();
        // Nothing was sent over a connection that never stood.
        if error.is_connect() || error.is_builder() {
            Self::Down(text)
        } else {
            Self::Unknown(text)
        }
    }
}
