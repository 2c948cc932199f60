//! Bodies that end where their connection is closed.
//!
//! Nothing marks the end of such a body, so that a second response of its server arrives as a
//! part of it.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, response};

/// The length of a status line up to the code.
const STATUS_BYTES: usize = "HTTP/1.1 200".len();

/// Whether the body of a response ends where its connection is closed, since its head names
/// neither a length nor chunks.
pub fn ends_with_connection(head: &response::Parts) -> bool {
    let mut encodings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| {
        let last = value.to_str().ok().and_then(|value| value.rsplit(',').next());
        last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
    };
    !head.headers.contains_key(CONTENT_LENGTH)
        && !encodings.next_back().is_some_and(is_chunked)
}

/// Looks for a second response in a body that ends with its connection.
#[derive(Debug, Default)]
pub struct SecondResponse {
    /// The last bytes of the body so far, fewer than those of a status line.
    tail: Vec<u8>,
}

impl SecondResponse {
    /// Looks for one in the body of a response; `None` if its end is marked.
    pub fn watch(head: &response::Parts) -> Option<Self> {
        ends_with_connection(head).then(Self::default)
    }

    /// Whether a status line ends in these bytes, which follow those before.
    pub fn is_in(&mut self, bytes: &[u8]) -> bool {
        self.tail.extend_from_slice(bytes);
        let is_found = self.tail.windows(STATUS_BYTES).any(is_status);
        let excess = self.tail.len().saturating_sub(STATUS_BYTES - 1);
        self.tail.drain(..excess);
        is_found
    }
}

fn is_status(bytes: &[u8]) -> bool {
    bytes.strip_prefix(b"HTTP/1.").is_some_and(|rest| {
        matches!(rest, [minor, b' ', code @ ..]
            if minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit))
    })
}
