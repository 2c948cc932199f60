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
pub struct Events {
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
pub struct Repeated {
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
    pub fn pass(&mut self, event: &Event) -> Result<(), Repeated> {
        if let (Some(last), Some(id)) = (self.last, event.id)
            && id <= last
        {
            return Err(Repeated { id, last });
        }
        self.last = event.id.or(self.last);
        Ok(())
    }
}

/// An event that is too large to be one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

impl Events {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        self.pending.extend_from_slice(bytes);
        let limit = self.pending.len() > EVENT_LIMIT && self.end().is_none();
        if limit { Err(TooLarge) } else { Ok(()) }
    }

    /// Takes the next whole event.
    pub fn take_next(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.pending.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event has arrived.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets part of an event, before another server goes on.
    pub fn reset(&mut self) {
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
