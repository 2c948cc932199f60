//! Reads the body of a request into memory that is accounted for.

use std::fmt::{self, Display, Formatter};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout_at;

use crate::intake::{CloseReason, Connection};
use crate::quota::Phase;

/// The least memory that is requested at a time, in bytes.
const MIN_STEP: usize = 4 * 1024;

/// Why a body was not read to its end; the request has not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than this number of bytes.
    TooLarge(usize),
    /// Its memory was needed for other requests.
    OutOfMemory,
    /// It had not arrived by the deadline.
    Late,
    /// The client broke it off, or it is no valid body.
    Invalid(String),
}

impl Display for BodyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => {
                write!(f, "the body is larger than {limit} bytes; send less")
            }
            Self::OutOfMemory => f.write_str(
                "the memory for the body is needed for other requests; retry after the \
                 given delay",
            ),
            Self::Late => f.write_str(
                "the body did not arrive before the deadline; send it faster or allow \
                 more time",
            ),
            Self::Invalid(why) => {
                write!(f, "the body is incomplete ({why}); send the request again")
            }
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `limit` bytes that has to end by `deadline`.
///
/// The bytes are copied together, since what the connection hands over may keep far more memory
/// than it has bytes.
pub async fn read<B>(
    mut body: B,
    connection: &Connection,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let max_bytes = size.exact().map_or(limit, |exact| exact as usize);
    let collected = collect(&mut body, connection, limit, max_bytes);
    let result = tokio::select! {
        biased;
        () = connection.evicted() => Err(BodyError::OutOfMemory),
        result = timeout_at(deadline.into(), collected) => result.unwrap_or(Err(BodyError::Late)),
    };
    match &result {
        Ok(_) => connection.set_phase(Phase::Serving),
        Err(BodyError::OutOfMemory) => {
            connection.intake().record_close(CloseReason::OutOfMemory);
        }
        Err(BodyError::Late) => {
            connection.intake().record_close(CloseReason::BodyTimeout);
        }
        Err(BodyError::TooLarge(_) | BodyError::Invalid(_)) => {}
    }
    result
}

/// Collects a body of at most `limit` bytes that is expected to have at most `max_bytes`.
async fn collect<B>(
    body: &mut B,
    connection: &Connection,
    limit: usize,
    max_bytes: usize,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Invalid(error.to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if needed > bytes.capacity() {
            let doubled = (bytes.capacity() * 2).max(MIN_STEP).min(max_bytes);
            let capacity = doubled.max(needed);
            if !connection.reserve(capacity - bytes.capacity()) {
                return Err(BodyError::OutOfMemory);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
        connection.record_progress();
    }
    Ok(bytes.into())
}
