//! Why the demo could not be carried out.

use std::fmt::{self, Display, Formatter};

/// Why the demo could not be carried out.
#[derive(Debug)]
pub enum StageError {
    /// The temporary folder can't be used.
    Files(String),
    /// A stand-in or a daemon does not start.
    Start(String),
    /// A call to a stand-in or a daemon failed.
    Call(String),
    /// Standard output is closed.
    Output(String),
    /// The declarations were refused.
    Refused(String),
    /// Not everything was served in time.
    NotServed(String),
    /// There is no such kind of request; the second text names those that there are.
    Kind(String, String),
}

impl Display for StageError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files(why) => {
                write!(f, "the temporary folder can't be used ({why}); make it writable")
            }
            Self::Start(why) => write!(f, "a part does not start ({why}); free its port"),
            Self::Call(why) => write!(f, "a part does not answer ({why}); report it"),
            Self::Output(why) => {
                write!(f, "the result can't be printed ({why}); keep the output open")
            }
            Self::Refused(why) => write!(f, "the declarations were refused: {why}"),
            Self::Kind(kind, known) => {
                write!(f, "no kind of request is named {kind}; choose among {known}")
            }
            Self::NotServed(why) => {
                write!(f, "not everything was served in time ({why}); is the VM busy?")
            }
        }
    }
}

impl std::error::Error for StageError {}

impl From<reqwest::Error> for StageError {
    fn from(error: reqwest::Error) -> Self {
        Self::Call(error.to_string())
    }
}
