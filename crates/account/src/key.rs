//! Hashes of client accounts' keys.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;

/// The SHA-256 of a key; the key itself is not stored.
///
/// Its text form is 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

/// A text that is not the SHA-256 of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The first digits, which identify a key to people without revealing it.
    pub fn fingerprint(&self) -> String {
        let mut digits = self.to_string();
        digits.truncate(FINGERPRINT_DIGITS);
        digits
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        let is_digit = |digit: &u8| matches!(digit, b'0'..=b'9' | b'a'..=b'f');
        if digits.len() != 64 || !digits.iter().all(is_digit) {
            return Err(DigestError);
        }
        let value = |digit: u8| match digit {
            b'0'..=b'9' => digit - b'0',
            _ => digit - b'a' + 10,
        };
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
            *byte = value(pair[0]) << 4 | value(pair[1]);
        }
        Ok(Self(bytes))
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        Self::try_from(text.to_owned())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl Display for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Shows the fingerprint alone, so that debug output doesn't list whole digests.
impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({})", self.fingerprint())
    }
}

impl Display for DigestError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(
            "a key's digest is not 64 lower-case hexadecimal digits; write its SHA-256",
        )
    }
}

impl std::error::Error for DigestError {}
