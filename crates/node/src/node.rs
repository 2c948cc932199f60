//! The parts of a daemon that requests pass through.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use chestnut_wire::{DaemonStatus, PeerRequest, PeerResponse};
use reqwest::Client;
use tokio::sync::mpsc;

use crate::confsync;
use crate::entry::RequestLimiter;
use crate::lead::{self, LedServers};
use crate::peer::{Peers, RequestHandler};
use crate::pick::Picker;
use crate::poison::Poison;
use crate::shared::Shared;
use crate::slots::Slots;

/// The parts of a daemon that requests pass through.
pub struct Node {
    /// What all parts share.
    pub shared: Arc<Shared>,
    /// The connections to other daemons.
    pub peers: Peers,
    /// The queues of the backend servers that this daemon leads.
    pub leads: LedServers,
    /// The choice of backend servers.
    pub picker: Picker,
    /// The slots of the journal that this daemon leads.
    pub slots: Slots,
    /// The requests that crash backend servers.
    pub poison: Arc<Poison>,
    /// The requests that the entry holds.
    pub intake: RequestLimiter,
    /// The client for calls to backend servers.
    pub http: Client,
    /// Questions of other daemons that are being carried out.
    pub serving: Arc<AtomicUsize>,
}

impl RequestHandler for Node {
    async fn handle(self: Arc<Self>, ask: PeerRequest, out: mpsc::Sender<PeerResponse>) {
        let _busy = Busy::new(&self.serving);
        let say = match ask {
            PeerRequest::Run(run) => return lead::serve(&self, run, out).await,
            PeerRequest::Once(once) => return Slots::run(&self, once, out).await,
            PeerRequest::Lookup(id) => {
                PeerResponse::Once(Slots::lookup(&self, &id).await)
            }
            PeerRequest::Config(have) => {
                PeerResponse::Config(Some(confsync::tell(&self.shared, have)))
            }
            PeerRequest::Status => PeerResponse::Status(self.status()),
            PeerRequest::ReportSuspects(blames) => {
                self.poison.learn(&blames, self.shared.clock.now());
                PeerResponse::Acknowledged
            }
            PeerRequest::ShuttingDown(member) => {
                self.shared.note_leaving(member);
                PeerResponse::Acknowledged
            }
        };
        // The daemon that asked may be gone; then nobody needs the answer.
        drop(out.send(say).await);
    }
}

/// Counts a piece of work while it is being carried out.
pub struct Busy(Arc<AtomicUsize>);

impl Busy {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Node {
    /// Counts a piece of work that the daemon must not leave behind when it stops.
    pub fn busy(&self) -> Busy {
        Busy::new(&self.serving)
    }

    /// Whether no caller and no other daemon waits for anything from this one.
    pub fn is_idle(&self) -> bool {
        self.intake.in_flight() == 0
            && self.serving.load(Ordering::SeqCst) == 0
            && self.slots.is_idle()
    }

    /// How this daemon is.
    pub fn status(&self) -> DaemonStatus {
        DaemonStatus {
            vm: self.shared.settings.vm.clone(),
            member: self.shared.me,
            revision: self.shared.catalog().revision,
            shutting_down: self.shared.is_leaving(),
            requests: self.intake.in_flight() as u32,
        }
    }
}
