//! Backend servers that answer a call twice, the second time late.
//!
//! On the connection of a [proxy](crate::proxy) requests and responses alternate. What the
//! server sent since the last request is one response, and a copy of it is sent to the client
//! as a whole, never within another response.

use std::future::pending;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Which responses are sent twice, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Repeat {
    /// The calls whose responses are sent twice.
    pub of: &'static [Call],
    /// One in so many of these responses is sent twice.
    pub one_in: usize,
    /// When the copy is sent.
    pub moment: Moment,
    /// Whether the copy has the `x-request-id` of the response.
    pub has_id: bool,
}

/// When the copy of a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// After the next of these calls on the connection has been passed on, before its response.
    Before(&'static [Call]),
    /// This long after the response, unless there is another call on the connection by then; zero
    /// for right behind it.
    Idle(Duration),
}

/// A call to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// An order to a runner.
    Order,
    /// A request for a runner's report.
    Report,
    /// A caller's request; among responses, one that was not rejected.
    Request,
    /// A caller's request that was rejected.
    Rejection,
}

impl Call {
    /// All calls.
    pub const ALL: &[Self] = &[Self::Order, Self::Report, Self::Request, Self::Rejection];

    /// The calls that daemons make on their own behalf.
    pub const OWN: &[Self] = &[Self::Order, Self::Report];

    fn of_request(bytes: &[u8]) -> Self {
        match bytes {
            _ if bytes.starts_with(b"POST /v1/order ") => Self::Order,
            _ if bytes.starts_with(b"GET /v1/report ") => Self::Report,
            _ => Self::Request,
        }
    }

    fn with_response(self, response: &[u8]) -> Self {
        let rejections = [b"HTTP/1.1 421", b"HTTP/1.1 429", b"HTTP/1.1 503"];
        let is_rejected = rejections.iter().any(|start| response.starts_with(*start));
        match self {
            Self::Request if is_rejected => Self::Rejection,
            call => call,
        }
    }
}

/// Which responses a proxy sends twice.
#[derive(Default)]
pub struct Repeats {
    repeat: Mutex<Option<Repeat>>,
    /// The number of responses that could be sent twice.
    candidates: AtomicUsize,
    copies: AtomicUsize,
    /// The number of copies whose client closed the connection before they were sent.
    unsent: AtomicUsize,
}

impl Repeats {
    /// Sets which responses are sent twice from now on; `None` for none.
    pub fn set(&self, repeat: Option<Repeat>) {
        *self.repeat.lock().expect("no holder of the lock panics") = repeat;
    }

    /// The number of copies sent.
    pub fn copies(&self) -> usize {
        self.copies.load(Ordering::Relaxed)
    }

    /// The number of copies whose client closed the connection before they were sent.
    pub fn unsent(&self) -> usize {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Counts a copy that was sent.
    pub fn count_copy(&self) {
        self.copies.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> Option<Repeat> {
        *self.repeat.lock().expect("no holder of the lock panics")
    }

    /// The copy to send of a response, if it is to be sent twice.
    fn copy(&self, call: Call, response: &[u8]) -> Option<PendingCopy> {
        let repeat = self.get()?;
        if !repeat.of.contains(&call) || !is_whole(response) {
            return None;
        }
        let earlier = self.candidates.fetch_add(1, Ordering::Relaxed);
        let bytes = match repeat.has_id {
            true => response.to_vec(),
            false => without_id(response),
        };
        let is_chosen = earlier.is_multiple_of(repeat.one_in);
        is_chosen.then_some(PendingCopy { bytes, moment: repeat.moment })
    }
}

/// The calls on one connection.
pub struct Exchange<'a> {
    repeats: &'a Repeats,
    state: Mutex<ExchangeState>,
    /// Notified when a copy is due because of a call.
    due: Notify,
}

/// The last call, and the copy that is still to be sent.
struct ExchangeState {
    call: Call,
    /// Whether the server has sent nothing since the call.
    awaits_response: bool,
    response: Vec<u8>,
    copy: Option<PendingCopy>,
}

struct PendingCopy {
    bytes: Vec<u8>,
    moment: Moment,
}

impl<'a> Exchange<'a> {
    /// A connection without a call.
    pub fn new(repeats: &'a Repeats) -> Self {
        let state = ExchangeState {
            call: Call::Request,
            awaits_response: false,
            response: Vec::new(),
            copy: None,
        };
        Self { repeats, state: Mutex::new(state), due: Notify::new() }
    }

    /// Records what was passed to the server; nothing if the client has closed.
    pub fn record_request(&self, bytes: &[u8]) {
        let mut state = self.state();
        let is_body = state.awaits_response && !bytes.is_empty();
        if is_body {
            return;
        }
        state.awaits_response = true;
        state.call = Call::of_request(bytes);
        state.response.clear();
        let (is_open, call) = (!bytes.is_empty(), state.call);
        let is_on = is_open && self.repeats.get().is_some();
        if !is_open && state.copy.is_some() {
            self.repeats.unsent.fetch_add(1, Ordering::Relaxed);
        }
        match state.copy.as_ref().map(|copy| copy.moment) {
            Some(Moment::Before(calls)) if is_on => {
                if calls.contains(&call) {
                    self.due.notify_one();
                }
            }
            _ => state.copy = None,
        }
    }

    /// Records what was passed to the client.
    pub fn record_response(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.awaits_response = false;
        state.response.extend_from_slice(bytes);
        if state.copy.is_none() {
            let call = state.call.with_response(&state.response);
            state.copy = self.repeats.copy(call, &state.response);
        }
    }

    /// Waits for the next copy to send; to be called again after each response.
    pub async fn next_copy(&self) -> Vec<u8> {
        let moment = self.state().copy.as_ref().map(|copy| copy.moment);
        match moment {
            Some(Moment::Before(_)) => self.due.notified().await,
            Some(Moment::Idle(Duration::ZERO)) => {}
            Some(Moment::Idle(delay)) => sleep(delay).await,
            None => pending().await,
        }
        let copy = self.state().copy.take();
        match copy {
            Some(copy) => copy.bytes,
            None => pending().await,
        }
    }

    fn state(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Whether these bytes are one response, with a length or in chunks, and all of it.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    });
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => has_last_chunk(body) == Some(true),
    }
}

/// Whether a body ends with its last chunk; `None` if a chunk is incomplete.
fn has_last_chunk(body: &str) -> Option<bool> {
    let mut rest = body;
    loop {
        let (size, chunk) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        rest = chunk.get(size..)?.strip_prefix("\r\n")?;
        if size == 0 {
            return Some(rest.is_empty());
        }
    }
}

fn without_id(response: &[u8]) -> Vec<u8> {
    let lines = response.split_inclusive(|byte| *byte == b'\n');
    let is_id = |line: &[u8]| line.to_ascii_lowercase().starts_with(b"x-request-id:");
    lines.filter(|line| !is_id(line)).flatten().copied().collect()
}
