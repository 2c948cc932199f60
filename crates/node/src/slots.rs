//! The slots of the journal that this daemon leads.
//!
//! One task owns the journal and is told everything; it hands what takes time to
//! tasks of their own, which tell it the outcome. Streams of answers do not pass
//! through it.

mod keeper;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnut_base::{Refusal, RefusalCode, RequestId};
use chestnut_once::Event;
use chestnut_wire::{OnceRequest, OnceState, PeerResponse};
use serde::Serialize;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Semaphore, oneshot};

use self::keeper::Keeper;
use crate::node::Node;

/// Bytes of bodies that wait for the journal at the same time.
///
/// A quarter of a daemon's 64 MB; the entries hold the bodies a second time.
const BODIES: usize = 16 << 20;

/// JournalSlots that are read at the same time.
///
/// A daemon that starts or takes over has about ten to read; their rows are held
/// twice for a moment.
const LOADS: usize = 2;

/// How often the journal is looked after when nothing happens.
const IDLE: Duration = Duration::from_secs(1);

/// The slots of the journal that this daemon leads.
pub struct JournalSlots {
    inbox: UnboundedSender<Told>,
    told: Mutex<Option<UnboundedReceiver<Told>>>,
    bodies: Arc<AtomicUsize>,
    /// Bounds the slots that are read at the same time.
    loads: Semaphore,
    state: Mutex<JournalStatus>,
}

/// How the journal of a daemon is, to look at.
#[derive(Debug, Clone, Default, Serialize)]
pub struct JournalStatus {
    /// JournalSlots of which requests are taken.
    pub open: usize,
    /// Ids in memory.
    pub ids: usize,
    /// Bytes of answers in memory.
    pub answers: usize,
    /// Changes that wait to be written.
    pub queued: usize,
    /// Requests that run or whose answer is not recorded yet.
    pub running: usize,
    /// Whether the table service answered last.
    pub up: bool,
}

/// What the owner of the journal is told.
enum Told {
    /// A request came.
    Run { once: Box<OnceRequest>, out: UnboundedSender<PeerResponse> },
    /// Somebody wants to know what became of an id.
    Lookup { id: RequestId, reply: oneshot::Sender<OnceState> },
    /// Something that was to be done is done.
    Done(Event),
}

impl JournalSlots {
    /// Creates the slots of a daemon that leads none yet.
    pub fn new() -> Self {
        let (inbox, told) = mpsc::unbounded_channel();
        Self {
            inbox,
            told: Mutex::new(Some(told)),
            bodies: Arc::default(),
            loads: Semaphore::new(LOADS),
            state: Mutex::default(),
        }
    }

    /// Runs a non-idempotent request at most once, and sends the frames of its
    /// one answer.
    pub async fn submit(
        node: &Arc<Node>,
        once: OnceRequest,
        out: mpsc::Sender<PeerResponse>,
    ) {
        let Some(_bodies) = node.slots.take_bodies(once.call.body.len()) else {
            return drop(out.send(refused(full())).await);
        };
        let (asker, mut frames) = mpsc::unbounded_channel();
        let told = Told::Run { once: Box::new(once), out: asker };
        if node.slots.inbox.send(told).is_err() {
            return drop(out.send(refused(stopped())).await);
        }
        loop {
            let say = tokio::select! {
                say = frames.recv() => say.unwrap_or_else(|| refused(stopped())),
                () = out.closed() => return,
            };
            let last = say.is_final();
            if out.send(say).await.is_err() || last {
                return;
            }
        }
    }

    /// Tells what became of a non-idempotent request.
    pub async fn lookup(node: &Arc<Node>, id: &RequestId) -> OnceState {
        let (reply, state) = oneshot::channel();
        let told = Told::Lookup { id: id.clone(), reply };
        // Whether the owner is gone shows when the state is awaited.
        drop(node.slots.inbox.send(told));
        let gone = || OnceState::Unreadable("the daemon stops; ask another".into());
        state.await.unwrap_or_else(|_| gone())
    }

    /// How the journal is.
    pub fn status(&self) -> JournalStatus {
        self.state.lock().expect("no holder of the state panics").clone()
    }

    /// Whether no request runs and no answer waits to be recorded.
    pub fn is_idle(&self) -> bool {
        self.status().running == 0
    }

    fn take_bodies(&self, size: usize) -> Option<Bodies> {
        let held = self.bodies.fetch_add(size, Ordering::SeqCst);
        let bodies = Bodies { held: self.bodies.clone(), size };
        (held + size <= BODIES).then_some(bodies)
    }
}

impl Default for JournalSlots {
    fn default() -> Self {
        Self::new()
    }
}

/// Room that a body takes; dropping it frees the room.
struct Bodies {
    held: Arc<AtomicUsize>,
    size: usize,
}

impl Drop for Bodies {
    fn drop(&mut self) {
        self.held.fetch_sub(self.size, Ordering::SeqCst);
    }
}

/// Keeps the journal until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let told = node.slots.told.lock().expect("no holder of the inbox panics").take();
    if let Some(told) = told {
        Keeper::new(node).run(told).await;
    }
}

fn refused(refusal: Refusal) -> PeerResponse {
    PeerResponse::Refused { refusal, hint: Default::default() }
}

fn full() -> Refusal {
    let text = "the journal holds as many bodies as it may; send it again with the \
                same key";
    Refusal::in_doubt(RefusalCode::EntryFull, text).with_retry_after(IDLE)
}

fn stopped() -> Refusal {
    let text = "the journal's daemon stops; send the request again with the same key";
    Refusal::in_doubt(RefusalCode::Unavailable, text).with_retry_after(IDLE)
}
