//! Versions of the software that backend servers run.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The maximum length of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 96;

/// The version of the software that a backend server runs, which is not that of its models.
///
/// Opaque: versions are equal or not, and have no order. Has 1 to [`MAX_VERSION_BYTES`]
/// bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(String);

/// Why a text is not a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoftwareVersionError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_VERSION_BYTES`].
    TooLong(usize),
}

impl SoftwareVersion {
    /// The version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = SoftwareVersionError;

    fn try_from(text: String) -> Result<Self, SoftwareVersionError> {
        match text.len() {
            0 => Err(SoftwareVersionError::Empty),
            len if len > MAX_VERSION_BYTES => Err(SoftwareVersionError::TooLong(len)),
            _ => Ok(Self(text)),
        }
    }
}

impl TryFrom<&str> for SoftwareVersion {
    type Error = SoftwareVersionError;

    fn try_from(text: &str) -> Result<Self, SoftwareVersionError> {
        Self::try_from(text.to_owned())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0
    }
}

impl Display for SoftwareVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Display for SoftwareVersionError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => {
                write!(f, "a software version is empty; leave it out or name one")
            }
            Self::TooLong(len) => write!(
                f,
                "a software version has {len} bytes; shorten it to {MAX_VERSION_BYTES} or fewer"
            ),
        }
    }
}

impl std::error::Error for SoftwareVersionError {}
