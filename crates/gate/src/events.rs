//! Cuts a stream of bytes into numbered events.

use bytes::{Bytes, BytesMut};

/// The largest event that is read, in bytes.
///
/// Some hundred times what an event of a few tokens takes; it bounds the memory that
/// a faulty server's endless event takes.
const EVENT_LIMIT: usize = 64 * 1024;

/// A whole event, with the empty line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Bytes that arrived and form no whole event yet.
#[derive(Debug, Default)]
pub struct EventDecoder {
    pending: BytesMut,
}

/// The events of one stream that its caller has.
///
/// A server that goes on where another one broke off may begin too early. Passed on, the
/// caller would have those events twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

/// An event that the caller has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DuplicateEvent {
    /// Its number.
    pub id: u64,
    /// The last one that the caller has.
    pub last: u64,
}

impl Sequence {
    /// A stream whose caller has everything up to an event.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// The last event that the caller has; another server goes on after it.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes in that an event is passed on; fails if the caller has it.
    pub fn accept(&mut self, event: &Event) -> Result<(), DuplicateEvent> {
        if let (Some(last), Some(id)) = (self.last, event.id)
            && id <= last
        {
            return Err(DuplicateEvent { id, last });
        }
        self.last = event.id.or(self.last);
        Ok(())
    }
}

/// An event that is too large to be one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventDecoder {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        let limit = self.pending.len() > EVENT_LIMIT && self.end().is_none();
        if limit { Err(EventTooLarge) } else { Ok(()) }
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.pending.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event has arrived.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets part of an event, before another server goes on.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Where the first whole event ends.
    fn end(&self) -> Option<usize> {
        let find = |mark: &[u8]| {
            let at = self.pending.windows(mark.len()).position(|part| part == mark)?;
            Some(at + mark.len())
        };
        match (find(b"\n\n"), find(b"\r\n\r\n")) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

fn read_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut fields = text.lines().filter_map(|line| line.split_once(':'));
    let (_, id) = fields.find(|(name, _)| *name == "id")?;
    id.trim().parse().ok()
}
