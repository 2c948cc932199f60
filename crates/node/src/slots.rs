//! The journal slots that this daemon leads.
//!
//! One task, the driver, owns the journal and processes all messages to it. I/O and
//! runs have tasks of their own, which report their results to the driver. The
//! response frames of a run go to the caller directly.

mod driver;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_base::{Refusal, RefusalCode, RequestId};
use chestnut_once::Event;
use chestnut_wire::{OnceRequest, OnceState, PeerResponse};
use serde::Serialize;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Semaphore, oneshot};

use self::driver::Driver;
use crate::node::Node;

/// Limit on the request bodies that wait for the journal at the same time, in bytes.
///
/// A quarter of a daemon's 64 MB of memory: the entries hold the bodies a second time.
const MAX_WAITING_BODY_BYTES: usize = 16 << 20;

/// Limit on the slots that are loaded at the same time.
///
/// A daemon that starts or takes over loads about ten slots; their rows are held in
/// memory twice while they load.
const MAX_PARALLEL_LOADS: usize = 2;

/// The longest time between two ticks of the journal, and the retry delay that
/// callers are sent.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Access to the journal of this daemon.
pub struct JournalSlots {
    sender: UnboundedSender<Message>,
    /// Taken by the driver when it starts.
    receiver: Mutex<Option<UnboundedReceiver<Message>>>,
    body_bytes: Arc<AtomicUsize>,
    /// Limits the slots that are loaded at the same time.
    load_permits: Semaphore,
    status: Mutex<JournalStatus>,
}

/// The journal's state, shown to operators.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JournalStatus {
    /// Slots that accept requests.
    #[serde(rename = "open")]
    pub open_slots: usize,
    /// Request ids in memory.
    #[serde(rename = "ids")]
    pub id_count: usize,
    /// Bytes of responses in memory.
    #[serde(rename = "answers")]
    pub cached_bytes: usize,
    /// Row changes that wait to be written.
    #[serde(rename = "queued")]
    pub queued_changes: usize,
    /// Requests that run or whose response is not recorded yet.
    pub running: usize,
    /// Whether the last call to the table service succeeded.
    #[serde(rename = "up")]
    pub is_table_up: bool,
}

/// A message to the driver.
enum Message {
    /// A request to run.
    Submit { once: Box<OnceRequest>, out: UnboundedSender<PeerResponse> },
    /// A query for the state of a request.
    Lookup { id: RequestId, reply: oneshot::Sender<OnceState> },
    /// The result of an effect.
    Event(Event),
}

impl JournalSlots {
    /// Creates the slots of a daemon that leads none yet.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
            body_bytes: Arc::default(),
            load_permits: Semaphore::new(MAX_PARALLEL_LOADS),
            status: Mutex::default(),
        }
    }

    /// Runs a non-idempotent request at most once and sends the frames of its
    /// response.
    pub async fn submit(
        node: &Arc<Node>,
        once: OnceRequest,
        out: mpsc::Sender<PeerResponse>,
    ) {
        let Some(_body) = node.slots.reserve_body(once.call.body.len()) else {
            return drop(out.send(refused(too_many_bodies())).await);
        };
        let (frame_sender, mut frames) = mpsc::unbounded_channel();
        let message = Message::Submit { once: Box::new(once), out: frame_sender };
        if node.slots.sender.send(message).is_err() {
            return drop(out.send(refused(shutting_down())).await);
        }
        loop {
            let response = tokio::select! {
                frame = frames.recv() => frame.unwrap_or_else(|| refused(shutting_down())),
                () = out.closed() => return,
            };
            let last = response.is_final();
            if out.send(response).await.is_err() || last {
                return;
            }
        }
    }

    /// Returns the state of a non-idempotent request.
    pub async fn lookup(node: &Arc<Node>, id: &RequestId) -> OnceState {
        let (reply, state) = oneshot::channel();
        let message = Message::Lookup { id: id.clone(), reply };
        // If the driver has stopped, `reply` is dropped and awaiting the state fails.
        drop(node.slots.sender.send(message));
        let unreadable = || {
            OnceState::Unreadable("the daemon is shutting down; use another one".into())
        };
        state.await.unwrap_or_else(|_| unreadable())
    }

    /// The journal's state after the last message or tick that the driver processed.
    pub fn status(&self) -> JournalStatus {
        self.status.lock().expect("no holder of the status panics").clone()
    }

    /// Whether no request runs and no response waits to be recorded.
    pub fn is_idle(&self) -> bool {
        self.status().running == 0
    }

    fn reserve_body(&self, size: usize) -> Option<BodyReservation> {
        let reserved = self.body_bytes.fetch_add(size, Ordering::SeqCst);
        let reservation = BodyReservation { total: self.body_bytes.clone(), size };
        (reserved + size <= MAX_WAITING_BODY_BYTES).then_some(reservation)
    }
}

impl Default for JournalSlots {
    fn default() -> Self {
        Self::new()
    }
}

/// Memory reserved for a request body, released on drop.
struct BodyReservation {
    total: Arc<AtomicUsize>,
    size: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.total.fetch_sub(self.size, Ordering::SeqCst);
    }
}

/// Runs the journal until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let receiver = node.slots.receiver.lock().expect("no holder panics").take();
    if let Some(receiver) = receiver {
        Driver::new(node).run(receiver).await;
    }
}

fn refused(refusal: Refusal) -> PeerResponse {
    PeerResponse::Refused { refusal, hint: Default::default() }
}

fn too_many_bodies() -> Refusal {
    let text = "too many request bodies wait for the journal; send the request again \
                with the same key";
    Refusal::in_doubt(RefusalCode::EntryFull, text).with_retry_after(TICK_INTERVAL)
}

fn shutting_down() -> Refusal {
    let text = "the journal's daemon is shutting down; send the request again with the \
                same key";
    Refusal::in_doubt(RefusalCode::Unavailable, text).with_retry_after(TICK_INTERVAL)
}
