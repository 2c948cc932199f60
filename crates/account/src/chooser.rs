//! The entry daemon's side of the slices of accounts' limits: which slices to ask.
//!
//! Under load beyond a limit nearly all requests are refused. A daemon remembers for some
//! milliseconds which slices are empty, and refuses without asking their holders.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::slice::Slice;

/// How long a slice whose holder does not respond is not asked.
const SILENT_TIME: Duration = Duration::from_millis(500);

/// What an entry daemon knows of a slice.
#[derive(Debug, Clone, Copy)]
struct SliceState {
    /// Until when the slice is nearly empty.
    empty_until: Instant,
    /// When refused callers may return.
    retry_at: Instant,
    /// Until when the holder is not asked.
    silent_until: Instant,
}

/// What to do about a charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Ask the holders of these slices, one after the other.
    Ask(Vec<u32>),
    /// All slices whose holders respond are empty; callers may return after this time.
    Empty(Duration),
    /// No holder of a slice responds.
    Silent,
}

/// What an entry daemon knows of the slices of accounts' limits.
#[derive(Debug, Default)]
pub struct SliceChooser {
    states: IndexMap<Slice, SliceState>,
}

impl SliceChooser {
    /// Chooses among the `count` slices of an account, beginning at `first`, which callers
    /// pick at random so that all slices are used.
    pub fn choose(
        &self,
        account: &chestnut_base::CallerName,
        count: u32,
        first: u32,
        now: Instant,
    ) -> Choice {
        let order = (0..count).map(|step| (first + step) % count);
        let mut asked = Vec::new();
        let mut empty: Option<Duration> = None;
        for index in order {
            let slice = Slice { account: account.clone(), index };
            match self.states.get(&slice) {
                Some(state) if now < state.silent_until => {}
                Some(state) if now < state.empty_until => {
                    let delay = state.retry_at.saturating_duration_since(now);
                    empty = Some(empty.map_or(delay, |other| other.min(delay)));
                }
                Some(_) | None => asked.push(index),
            }
        }
        match (asked.is_empty(), empty) {
            (false, _) => Choice::Ask(asked),
            (true, Some(delay)) => Choice::Empty(delay),
            (true, None) => Choice::Silent,
        }
    }

    /// Records that a slice's holder refused a charge.
    pub fn record_refusal(
        &mut self,
        slice: Slice,
        empty: Duration,
        retry: Duration,
        now: Instant,
    ) {
        let state = self.state(slice, now);
        state.empty_until = now + empty;
        state.retry_at = now + retry;
    }

    /// Records that a slice's holder did not respond, or that there is none.
    pub fn record_silence(&mut self, slice: Slice, now: Instant) {
        self.state(slice, now).silent_until = now + SILENT_TIME;
    }

    fn state(&mut self, slice: Slice, now: Instant) -> &mut SliceState {
        let new = SliceState { empty_until: now, retry_at: now, silent_until: now };
        self.states.entry(slice).or_insert(new)
    }

    /// Forgets the slices of accounts that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Slice) -> bool) {
        self.states.retain(|slice, _| exists(slice));
    }
}
