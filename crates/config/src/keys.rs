//! Hashes of the keys of callers and operators; the keys themselves are not stored.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// The SHA-256 of a key, in lower-case hexadecimal digits.
pub fn sha256_hex(key: &str) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(hex, "{byte:02x}").expect("writing to a string never fails");
    }
    hex
}

/// Whether the text has the form of [`sha256_hex`]'s result.
pub fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
