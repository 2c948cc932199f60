//! Exit codes for scripts.

use std::process::ExitCode;

/// The result of a command; docs/LANGUAGE.md documents the exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command was carried out.
    Done,
    /// The change was refused; it has no effect and never will.
    Refused,
    /// The command or an option is invalid.
    Usage,
    /// The files are invalid or can't be read.
    InvalidFiles,
    /// The verdict is unknown; the change can be sent again with the same id.
    Undecided,
    /// The change is accepted but was not in force everywhere within the timeout.
    NotInForce,
    /// The team's key is missing or wrong.
    InvalidKey,
    /// No daemon could be reached, or none can respond now.
    NoResponse,
    /// The operator did not confirm the command.
    Declined,
}

impl Exit {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::InvalidFiles => 3,
            Self::Undecided => 4,
            Self::NotInForce => 5,
            Self::InvalidKey => 6,
            Self::NoResponse => 7,
            Self::Declined => 8,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
