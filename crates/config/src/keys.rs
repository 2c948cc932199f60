//! Keys of callers and operators, of which only hashes are kept.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// The SHA-256 of a key, in lower-case hexadecimal digits.
pub fn sha256_hex(key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a text never fails");
    }
    text
}

/// Whether the text has the form of [`sha256_hex`]'s result.
pub fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
