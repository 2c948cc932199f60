//! Validated names of declared objects.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_NAME_BYTES`].
    TooLong(usize),
    /// The text contains this character, which names must not contain.
    InvalidChar(char),
}

impl Display for NameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name is empty; write at least one character"),
            Self::TooLong(len) => {
                write!(
                    f,
                    "a name has {len} bytes; shorten it to {MAX_NAME_BYTES} or fewer"
                )
            }
            Self::InvalidChar(c) => write!(
                f,
                "a name holds {c:?}; use letters, digits and the signs `-`, `_`, `.`, `:`, `@`"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    match text.chars().find(|&c| !is_valid(c)) {
        Some(c) => Err(NameError::InvalidChar(c)),
        None => Ok(()),
    }
}

macro_rules! define_names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        ///
        /// Has 1 to [`MAX_NAME_BYTES`] ASCII letters, digits and characters out of
        /// `-_.:@`.
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                validate(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                Self::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

define_names! {
    /// The name of a VM.
    VmName
    /// The name of a failure domain.
    DomainName
    /// The name of a backend server, which is a model runner or a server of a plain
    /// service.
    ServerName
    /// The name of a pool of runners.
    PoolName
    /// The name of a model.
    ModelName
    /// The name of a version of a model.
    VersionName
    /// The name of an adapter.
    AdapterName
    /// The name of a plain service.
    ServiceName
    /// The name of a caller.
    CallerName
    /// The name of a team of operators.
    TeamName
    /// The name of a declared kind of request.
    KindName
}
