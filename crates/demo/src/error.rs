//! Errors that prevent the demo from completing.

use std::fmt::{self, Display, Formatter};

/// Why the demo could not be completed.
#[derive(Debug)]
pub enum DemoError {
    /// The temporary directory can't be created or written.
    Files(String),
    /// A stand-in or a daemon failed to start.
    Start(String),
    /// A call to a stand-in or a daemon failed.
    Call(String),
    /// Writing to standard output or standard error failed.
    Output(String),
    /// The declarations were rejected.
    Rejected(String),
    /// Not everything that is declared was served in time.
    NotServed(String),
    /// A kind of request is unknown; the second text lists the known kinds.
    UnknownKind(String, String),
}

impl Display for DemoError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files(reason) => {
                write!(
                    f,
                    "can't write to the temporary directory ({reason}); make it writable"
                )
            }
            Self::Start(reason) => write!(
                f,
                "a process failed to start ({reason}); check that its port is free"
            ),
            Self::Call(reason) => write!(
                f,
                "a stand-in or daemon did not respond as expected ({reason}); report this"
            ),
            Self::Output(reason) => {
                write!(f, "can't print the result ({reason}); keep the output open")
            }
            Self::Rejected(reason) => {
                write!(f, "the declarations were rejected ({reason}); report this")
            }
            Self::UnknownKind(kind, known) => {
                write!(f, "unknown kind of request: {kind}; choose one of {known}")
            }
            Self::NotServed(reason) => {
                write!(
                    f,
                    "not everything was served in time ({reason}); check the VM's load"
                )
            }
        }
    }
}

impl std::error::Error for DemoError {}

impl From<reqwest::Error> for DemoError {
    fn from(error: reqwest::Error) -> Self {
        Self::Call(error.to_string())
    }
}
