//! Splits a byte stream into server-sent events and tracks their numbers.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes.
///
/// Some hundred times the size of an event of a few tokens. Bounds the memory that an event
/// without an end, sent by a faulty server, can take.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// A complete event, including the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as received.
    pub bytes: Bytes,
    /// The number in its `id` field, if any.
    pub id: Option<u64>,
}

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
}

/// The position of a caller in one stream of numbered events.
///
/// A server that resumes a stream may start too early. Without this check the caller would
/// get those events twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
    /// Whether events without a number were sent after `last`.
    has_unnumbered: bool,
}

/// An event that the caller already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DuplicateEvent {
    /// The number of the duplicate.
    pub id: u64,
    /// The last number that the caller has.
    pub last: u64,
}

impl Sequence {
    /// A stream whose caller has all events up to `last`; `None` if it has none.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, has_unnumbered: false }
    }

    /// The number of the last event that the caller has; a stream is resumed after it.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Advances to an event that is about to be sent; fails if the caller already has it.
    pub fn accept(&mut self, event: &Event) -> Result<(), DuplicateEvent> {
        if let (Some(last), Some(id)) = (self.last, event.id)
            && id <= last
        {
            return Err(DuplicateEvent { id, last });
        }
        self.last = event.id.or(self.last);
        self.has_unnumbered = event.id.is_none();
        Ok(())
    }

    /// Whether a stream that is resumed after [`Self::last`] repeats no event.
    ///
    /// An event without a number, such as the one at the end of a stream, would be repeated.
    pub fn is_resumable(&self) -> bool {
        self.last.is_some() && !self.has_unnumbered
    }
}

/// An event exceeds 64 KiB without ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let too_large = self.buffer.len() > MAX_EVENT_BYTES && self.event_end().is_none();
        if too_large { Err(EventTooLarge) } else { Ok(()) }
    }

    /// Removes the next event from the buffer; `None` if none is complete.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the bytes of an incomplete event before another server resumes the stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// The offset after the first complete event.
    fn event_end(&self) -> Option<usize> {
        let find = |delimiter: &[u8]| {
            let at = self
                .buffer
                .windows(delimiter.len())
                .position(|part| part == delimiter)?;
            Some(at + delimiter.len())
        };
        match (find(b"\n\n"), find(b"\r\n\r\n")) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut fields = text.lines().filter_map(|line| line.split_once(':'));
    let (_, id) = fields.find(|(name, _)| *name == "id")?;
    id.trim().parse().ok()
}
