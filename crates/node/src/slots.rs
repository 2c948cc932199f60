//! The slots of the journal that this daemon leads.

use std::sync::Arc;

use chestnut_base::RequestId;
use chestnut_wire::{Once, OnceState, Say};
use tokio::sync::mpsc;

use crate::node::Node;
use crate::relay::{self, Mode};

/// The slots of the journal that this daemon leads.
#[derive(Default)]
pub struct Slots {}

impl Slots {
    /// Creates the slots of a daemon that leads none yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Runs a non-idempotent request at most once.
    pub async fn run(node: &Arc<Node>, once: Once, out: mpsc::Sender<Say>) {
        relay::run(node, once.work, once.call, Mode::Single, out).await;
    }

    /// Tells what became of a non-idempotent request.
    pub async fn lookup(_node: &Arc<Node>, _id: &RequestId) -> OnceState {
        OnceState::Unreadable("the journal is not kept yet".into())
    }
}
