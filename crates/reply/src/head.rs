//! Checks the head of a response.

use std::fmt::{self, Display, Formatter};

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Why the head of a response can't be believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedHead {
    /// The status is none that ends a request: below 200 or above 599.
    Status(StatusCode),
    /// The body is framed by something else than chunks, or by chunks twice.
    ///
    /// An HTTP library may take such a body for one that ends with its connection, and deliver
    /// the sizes of its chunks as a part of it.
    TransferEncoding,
    /// The length of the body is told more than once, or not by digits alone.
    ///
    /// Callers may read a list of equal lengths in another way than the HTTP library.
    Length,
    /// The body has a length and chunks.
    TwoLengths,
    /// A response that has no body by its status tells the length of one.
    UnexpectedBody,
}

impl Display for MalformedHead {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let why = match self {
            Self::Status(status) => {
                return write!(
                    f,
                    "the status {} doesn't end a request; check the server",
                    status.as_u16()
                );
            }
            Self::TransferEncoding => "its transfer encoding is not `chunked`",
            Self::Length => "the length of its body is no single number",
            Self::TwoLengths => "its body has both a length and chunks",
            Self::UnexpectedBody => "it has a body, which its status excludes",
        };
        write!(f, "the head of the response is malformed: {why}; check the server")
    }
}

impl std::error::Error for MalformedHead {}

/// Checks the head of a response that an HTTP library has parsed.
///
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), MalformedHead> {
    if !(200..600).contains(&status.as_u16()) {
        return Err(MalformedHead::Status(status));
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let encoding = encodings.next();
    if encodings.next().is_some() || !encoding.is_none_or(is_chunked) {
        return Err(MalformedHead::TransferEncoding);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    let is_number = |length: &HeaderValue| {
        !length.is_empty() && length.as_bytes().iter().all(u8::is_ascii_digit)
    };
    if lengths.next().is_some() || !length.is_none_or(is_number) {
        return Err(MalformedHead::Length);
    }
    if encoding.is_some() && length.is_some() {
        return Err(MalformedHead::TwoLengths);
    }
    let is_empty = length.is_none_or(|length| length == "0");
    if status == StatusCode::NO_CONTENT && (encoding.is_some() || !is_empty) {
        return Err(MalformedHead::UnexpectedBody);
    }
    Ok(())
}

fn is_chunked(encoding: &HeaderValue) -> bool {
    let text = encoding.to_str().unwrap_or_default();
    text.trim().eq_ignore_ascii_case("chunked")
}
