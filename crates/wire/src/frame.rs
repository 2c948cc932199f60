//! Length-prefixed frames of `postcard` bytes.

use std::fmt::{self, Display, Formatter};

use serde::{Serialize, de::DeserializeOwned};

/// The largest frame that is sent or taken in, in bytes.
///
/// A request's body is at most half of it, see the daemon's settings.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

const PREFIX: usize = 4;

/// A frame that can't be sent or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    TooLarge(usize),
    /// The bytes are not a message of the expected type.
    Malformed(String),
}

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => write!(
                f,
                "a message has {len} bytes and the limit is {MAX_FRAME_BYTES}; send a smaller body"
            ),
            Self::Malformed(why) => write!(
                f,
                "a message can't be read ({why}); run the same version on all daemons"
            ),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message as one frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_extend(message, vec![0; PREFIX])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    let len = bytes.len() - PREFIX;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    let mut bytes = bytes;
    bytes[..PREFIX].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(bytes)
}

/// Cuts incoming bytes into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// Bytes that arrived and were not decoded yet; the first `taken` are done.
    buffer: Vec<u8>,
    taken: usize,
}

impl FrameDecoder {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.taken);
        self.taken = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message if it has arrived whole.
    pub fn decode<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.buffer[self.taken..];
        let Some((prefix, body)) = rest.split_first_chunk::<PREFIX>() else {
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
        self.taken += PREFIX + len;
        Ok(Some(message))
    }

    /// Whether all bytes that arrived were decoded.
    pub fn is_empty(&self) -> bool {
        self.taken == self.buffer.len()
    }
}
