//! Which connection yields when a quota is used up.
//!
//! Load pattern: many clients that open connections or begin requests and never end them, among
//! ordinary callers. Without a quota they use up memory or descriptors and the process ends; with
//! one that serves whoever came first they keep what they have taken and nobody else is served.
//! So what is unfinished or unread yields to what is finished, a client without progress to one
//! that makes some, and of unfinished and unread messages that which has held the most memory for
//! the longest.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// A connection in a [`Quota`].
    pub struct ConnectionKey;
}

/// The largest message in bytes that may use the last quarter of a quota, so that small
/// requests are served beside large ones.
const SMALL_MESSAGE: usize = 64 * 1024;

/// The largest response in bytes that counts as a part of its connection.
const SMALL_RESPONSE: usize = 4 * 1024;

/// How long the request of a new connection may be on its way; it is not evicted until then.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// The limits of a [`Quota`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaLimits {
    /// The most open connections, without those that were told to close.
    pub connections: usize,
    /// The most bytes of messages, without those of connections that were told to close.
    pub bytes: usize,
}

impl QuotaLimits {
    /// The most connections with those that were told to close.
    pub fn max_open(self) -> usize {
        self.connections.saturating_add(self.connections / 4)
    }

    /// The most bytes with those of connections that were told to close.
    pub fn max_bytes(self) -> usize {
        self.bytes.saturating_add(self.bytes / 4)
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the next request has arrived.
    Idle,
    /// A head is arriving.
    Head,
    /// A body is arriving.
    Body,
    /// A request was read to its end.
    Serving,
    /// A response of which the process has all bytes is being sent.
    Responding,
    /// The response was sent, and what still arrives is discarded.
    Closing,
}

impl Phase {
    /// Whether its message may yield: the client has yet to send the rest, or to read it.
    const fn may_yield(self) -> bool {
        matches!(self, Self::Head | Self::Body | Self::Responding)
    }
}

/// Whether requests on a connection are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// They are served.
    Served,
    /// They are refused, since requests in progress use up the quota.
    Refused,
}

/// A connection that was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened {
    /// Its key.
    pub key: ConnectionKey,
    /// Whether its requests are served.
    pub admission: Admission,
}

/// Memory that was requested for a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserved {
    /// Whether the memory may be used.
    pub granted: bool,
    /// The connections that have to give up their messages.
    pub evicted: Vec<ConnectionKey>,
}

/// A connection and what it holds.
#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// The bytes of its message.
    bytes: usize,
    opened_at: Instant,
    /// When its message began.
    begun_at: Instant,
    /// When its last byte arrived, or its last response ended.
    progress_at: Instant,
    /// Whether it has had a response.
    has_served: bool,
    /// Whether it was told to close; neither it nor its bytes count any more.
    is_evicted: bool,
}

impl Entry {
    /// How much memory its message has held for how long, in byte milliseconds.
    fn cost(&self, more: usize, now: Instant) -> u128 {
        let age = now.saturating_duration_since(self.begun_at).as_millis().max(1);
        (self.bytes + more) as u128 * age
    }
}

/// The connections of some listeners and the memory of their messages.
#[derive(Debug)]
pub struct Quota {
    limits: QuotaLimits,
    entries: SlotMap<ConnectionKey, Entry>,
    /// The number of entries that are not evicted.
    open: usize,
    /// The sum of the bytes of entries that are not evicted.
    bytes: usize,
    /// The sum of the bytes of evicted entries, which are freed when these close.
    evicted_bytes: usize,
}

impl Quota {
    /// Creates a quota without connections.
    pub fn new(limits: QuotaLimits) -> Self {
        Self { limits, entries: SlotMap::with_key(), open: 0, bytes: 0, evicted_bytes: 0 }
    }

    /// The open connections and the bytes of their messages, without those that were told to
    /// close.
    pub fn usage(&self) -> QuotaLimits {
        QuotaLimits { connections: self.open, bytes: self.bytes }
    }

    /// Evicts a connection if there is no place for another one; `None` if there is, or if none
    /// may close for it.
    pub fn make_room(&mut self, now: Instant) -> Option<ConnectionKey> {
        match self.open < self.limits.connections {
            true => None,
            false => self.evict_stalled(now),
        }
    }

    /// Adds a connection; `None` as long as too many have yet to close.
    pub fn open(&mut self, now: Instant) -> Option<Opened> {
        if self.entries.len() >= self.limits.max_open() {
            return None;
        }
        let admission = match self.open < self.limits.connections {
            true => Admission::Served,
            false => Admission::Refused,
        };
        let key = self.entries.insert(Entry {
            phase: Phase::Idle,
            bytes: 0,
            opened_at: now,
            begun_at: now,
            progress_at: now,
            has_served: false,
            is_evicted: false,
        });
        self.open += 1;
        Some(Opened { key, admission })
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        match entry.is_evicted {
            true => self.evicted_bytes -= entry.bytes,
            false => {
                self.open -= 1;
                self.bytes -= entry.bytes;
            }
        }
    }

    /// Records what a connection does now.
    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match (entry.phase, phase) {
            (_, Phase::Idle) => {
                entry.has_served = true;
                let bytes = std::mem::take(&mut entry.bytes);
                match entry.is_evicted {
                    true => self.evicted_bytes -= bytes,
                    false => self.bytes -= bytes,
                }
            }
            (Phase::Idle, _) => entry.begun_at = now,
            _ => {}
        }
        entry.phase = phase;
        entry.progress_at = now;
    }

    /// Records that bytes have arrived on a connection.
    pub fn record_progress(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.progress_at = now;
        }
    }

    /// Requests memory for the message of a connection.
    ///
    /// If there is too little, unfinished and unread messages give up theirs; that of the
    /// connection itself if it is one of them and has cost the most.
    pub fn reserve(&mut self, key: ConnectionKey, more: usize, now: Instant) -> Reserved {
        let mut evicted = Vec::new();
        let Some(entry) = self.entries.get(key).filter(|entry| !entry.is_evicted) else {
            return Reserved { granted: false, evicted };
        };
        let own_cost = match entry.phase.may_yield() {
            true => entry.cost(more, now),
            false => 0,
        };
        let limit = match entry.bytes + more > SMALL_MESSAGE {
            true => self.limits.bytes / 4 * 3,
            false => self.limits.bytes,
        };
        if self.bytes + self.evicted_bytes + more > self.limits.max_bytes() {
            // What was evicted is not freed yet.
            return Reserved { granted: false, evicted };
        }
        while self.bytes + more > limit {
            let victim = self.costliest(key, now).filter(|(_, cost)| *cost > own_cost);
            let Some((victim, _)) = victim else {
                return Reserved { granted: false, evicted };
            };
            self.evict(victim);
            evicted.push(victim);
        }
        self.bytes += more;
        if let Some(entry) = self.entries.get_mut(key) {
            entry.bytes += more;
        }
        Reserved { granted: true, evicted }
    }

    /// Replaces the message of a connection by a response of that many bytes.
    ///
    /// Without room for it, the connection itself has to close; small responses have theirs in
    /// what a connection takes.
    pub fn begin_response(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: Instant,
    ) -> Reserved {
        let Some(entry) = self.entries.get_mut(key) else {
            return Reserved { granted: false, evicted: Vec::new() };
        };
        let before = std::mem::take(&mut entry.bytes);
        match entry.is_evicted {
            true => self.evicted_bytes -= before,
            false => self.bytes -= before,
        }
        entry.phase = Phase::Serving;
        let is_small = bytes <= SMALL_RESPONSE;
        let reserved = match is_small {
            true => Reserved { granted: true, evicted: Vec::new() },
            false => self.reserve(key, bytes, now),
        };
        if let Some(entry) = self.entries.get_mut(key) {
            entry.phase = Phase::Responding;
            (entry.begun_at, entry.progress_at) = (now, now);
        }
        reserved
    }

    /// The unfinished message, other than that of `but`, that has cost the most.
    fn costliest(
        &self,
        but: ConnectionKey,
        now: Instant,
    ) -> Option<(ConnectionKey, u128)> {
        let unfinished = self.entries.iter().filter(|(key, entry)| {
            *key != but && !entry.is_evicted && entry.phase.may_yield() && entry.bytes > 0
        });
        let costs = unfinished.map(|(key, entry)| (key, entry.cost(0, now)));
        costs.max_by_key(|(_, cost)| *cost)
    }

    /// Evicts the connection that has made no progress for the longest; `None` if requests are
    /// being served on all.
    ///
    /// One that has had a response goes after those that have not: its client may reuse it. Last
    /// goes one whose client has yet to read a response. A newcomer's request may be on its way,
    /// so that it stays for a moment.
    pub fn evict_stalled(&mut self, now: Instant) -> Option<ConnectionKey> {
        let may_close = |entry: &Entry| match entry.phase {
            Phase::Serving => false,
            Phase::Closing => true,
            _ => now.saturating_duration_since(entry.opened_at) >= ARRIVAL_TIME,
        };
        let candidates = self.entries.iter();
        let candidates =
            candidates.filter(|(_, entry)| !entry.is_evicted && may_close(entry));
        let (key, _) = candidates.min_by_key(|(_, entry)| {
            let is_closing = entry.phase == Phase::Closing;
            let is_responding = entry.phase == Phase::Responding;
            (!is_closing, is_responding, entry.has_served, entry.progress_at)
        })?;
        self.evict(key);
        Some(key)
    }

    /// Tells a connection to close; neither it nor its bytes count any more.
    pub fn evict(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| !entry.is_evicted) {
            entry.is_evicted = true;
            self.open -= 1;
            self.bytes -= entry.bytes;
            self.evicted_bytes += entry.bytes;
        }
    }
}
