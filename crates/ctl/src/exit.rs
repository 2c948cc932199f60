//! How a command ended, for scripts.

use std::process::ExitCode;

/// How a command ended; the numbers are promised in docs/LANGUAGE.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It was done.
    Done,
    /// The change was refused; it has and will have no effect.
    Refused,
    /// The command or an option can't be read.
    Usage,
    /// The files have problems or can't be read.
    Files,
    /// Nothing is known; the same change may be repeated with its id.
    Undecided,
    /// The change is accepted and not in force everywhere within the time.
    NotInForce,
    /// The team's key is missing or wrong.
    Key,
    /// No daemon could be reached or it can't answer now.
    NoAnswer,
    /// The operator declined.
    Declined,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Files => 3,
            Self::Undecided => 4,
            Self::NotInForce => 5,
            Self::Key => 6,
            Self::NoAnswer => 7,
            Self::Declined => 8,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
