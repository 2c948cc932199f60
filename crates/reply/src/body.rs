//! Reads whole responses, as far as they keep to a size.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::pin::pin;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;

use crate::head::{MalformedHead, check_head};

/// Why no whole response was read; the request may have been processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The head can't be believed.
    Malformed(MalformedHead),
    /// The body is larger than this number of bytes; the rest was not read.
    TooLarge(usize),
    /// The connection was lost within the body, or the body is malformed.
    Interrupted(String),
}

impl Display for ReadError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(head) => head.fmt(f),
            Self::TooLarge(max) => {
                write!(f, "the response is larger than {max} bytes; check the server")
            }
            Self::Interrupted(why) => {
                write!(f, "the response was interrupted ({why}); try again")
            }
        }
    }
}

impl Error for ReadError {}

/// Checks the head of a response and reads its body, of at most `max_bytes`.
pub async fn read_response<B>(
    response: impl Into<Response<B>>,
    max_bytes: usize,
) -> Result<Response<Bytes>, ReadError>
where
    B: BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (head, body) = response.into().into_parts();
    check_head(head.status, &head.headers).map_err(ReadError::Malformed)?;
    let body = read_body(body, max_bytes).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads a body of at most `max_bytes`.
///
/// The parts are copied: one that is kept holds on to the buffer that it was read into, which may
/// be thousands of times its size.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, ReadError>
where
    B: BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLarge(max_bytes));
    }
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| ReadError::Interrupted(error.into().to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge(max_bytes));
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.into())
}
