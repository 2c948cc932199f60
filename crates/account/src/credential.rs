//! Reads a caller's key from the value of an `Authorization` header.

use std::fmt::{self, Display, Formatter};

/// The longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// Why a request has no usable key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CredentialError {
    /// The header is missing.
    Missing,
    /// The header occurs more than once.
    Repeated,
    /// The header has another scheme than `Bearer`.
    Scheme,
    /// The key is empty, longer than 1024 bytes, or has characters that no key has.
    Malformed,
}

/// The key of an `Authorization` header with the scheme `Bearer`.
///
/// `values` are all values of the header. The scheme's case doesn't matter, and spaces
/// around the key are ignored.
pub fn bearer_key<'a>(
    mut values: impl Iterator<Item = &'a [u8]>,
) -> Result<&'a str, CredentialError> {
    let value = values.next().ok_or(CredentialError::Missing)?;
    if values.next().is_some() {
        return Err(CredentialError::Repeated);
    }
    let value = str::from_utf8(value).map_err(|_| CredentialError::Malformed)?;
    let (scheme, key) = value.trim().split_once(' ').ok_or(CredentialError::Scheme)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(CredentialError::Scheme);
    }
    let key = key.trim();
    let is_valid = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid { Ok(key) } else { Err(CredentialError::Malformed) }
}

impl Display for CredentialError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => {
                "the request has no key; send it as `Authorization: Bearer KEY`"
            }
            Self::Repeated => "the request has several Authorization headers; send one",
            Self::Scheme => {
                "the Authorization header has another scheme; send `Bearer KEY`"
            }
            Self::Malformed => {
                "the key can't be read; send 1 to 1024 printable characters without spaces"
            }
        })
    }
}

impl std::error::Error for CredentialError {}
