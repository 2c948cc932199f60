//! Frames: a message encoded by `postcard`, prefixed with its length.

use std::fmt::{self, Display, Formatter};

use serde::{Serialize, de::DeserializeOwned};

/// The maximum length of an encoded message that is sent or accepted, in bytes.
///
/// The daemon's settings limit a request's body separately, by default to a quarter of
/// this.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The length of the prefix: a little-endian `u32`.
const LEN_PREFIX_BYTES: usize = 4;

/// Why a message can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The message has this many bytes, more than [`MAX_FRAME_BYTES`].
    TooLarge(usize),
    /// The message can't be encoded, or the bytes are not a message of the expected
    /// type; holds the reason.
    Malformed(String),
}

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => write!(
                f,
                "a message has {len} bytes and the limit is {MAX_FRAME_BYTES}; send a smaller body"
            ),
            Self::Malformed(reason) => write!(
                f,
                "a message is malformed ({reason}); run the same version on all daemons"
            ),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message as one frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_extend(message, vec![0; LEN_PREFIX_BYTES])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    let len = bytes.len() - LEN_PREFIX_BYTES;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    let mut bytes = bytes;
    bytes[..LEN_PREFIX_BYTES].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(bytes)
}

/// Splits a stream of bytes into frames and decodes them.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// The length of the already decoded start of `buffer`, which the next
    /// [`push`](Self::push) removes.
    consumed: usize,
}

impl FrameDecoder {
    /// Creates a decoder without any buffered bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes; their boundaries need not be those of frames.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message; `None` if its frame is not complete yet.
    ///
    /// After an error the rest of the stream can't be decoded.
    pub fn decode<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let remaining = &self.buffer[self.consumed..];
        let Some((prefix, body)) = remaining.split_first_chunk::<LEN_PREFIX_BYTES>()
        else {
            return Ok(None);
        };
        let len = u32::from_le_bytes(*prefix) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(len));
        }
        let Some(body) = body.get(..len) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(body)
            .map_err(|error| FrameError::Malformed(error.to_string()))?;
        self.consumed += LEN_PREFIX_BYTES + len;
        Ok(Some(message))
    }

    /// Whether all received bytes have been decoded.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.buffer.len()
    }
}
