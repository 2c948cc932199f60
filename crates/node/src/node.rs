//! The parts of a daemon that requests pass through.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use chestnut_wire::{DaemonStatus, PeerRequest, PeerResponse};
use reqwest::Client;
use tokio::sync::mpsc;

use crate::confsync;
use crate::entry::Intake;
use crate::lead::{self, Leads};
use crate::peer::{Peers, Serve};
use crate::pick::Picker;
use crate::poison::PoisonGuard;
use crate::shared::Shared;
use crate::slots::JournalSlots;

/// The parts of a daemon that requests pass through.
pub struct Node {
    /// What all parts share.
    pub shared: Arc<Shared>,
    /// The connections to other daemons.
    pub peers: Peers,
    /// The queues of the backend servers that this daemon leads.
    pub leads: Leads,
    /// The choice of backend servers.
    pub picker: Picker,
    /// The slots of the journal that this daemon leads.
    pub slots: JournalSlots,
    /// The requests that crash backend servers.
    pub poison: Arc<PoisonGuard>,
    /// The requests that the entry holds.
    pub intake: Intake,
    /// The client for calls to backend servers.
    pub http: Client,
    /// Questions of other daemons that are being carried out.
    pub active_jobs: Arc<AtomicUsize>,
}

impl Serve for Node {
    async fn serve(self: Arc<Self>, ask: PeerRequest, out: mpsc::Sender<PeerResponse>) {
        let _busy = ActiveJob::new(&self.active_jobs);
        let say = match ask {
            PeerRequest::Run(run) => return lead::serve(&self, run, out).await,
            PeerRequest::Once(once) => {
                return JournalSlots::submit(&self, once, out).await;
            }
            PeerRequest::Lookup(id) => {
                PeerResponse::Once(JournalSlots::lookup(&self, &id).await)
            }
            PeerRequest::Config(have) => {
                PeerResponse::Config(Some(confsync::tell(&self.shared, have)))
            }
            PeerRequest::Status => PeerResponse::Status(self.status()),
            PeerRequest::ReportSuspects(blames) => {
                self.poison.apply_reports(&blames, self.shared.clock.now());
                PeerResponse::Acknowledged
            }
            PeerRequest::ShuttingDown(member) => {
                self.shared.record_shutdown(member);
                PeerResponse::Acknowledged
            }
        };
        // The daemon that asked may be gone; then nobody needs the answer.
        drop(out.send(say).await);
    }
}

/// Counts a piece of work while it is being carried out.
pub struct ActiveJob(Arc<AtomicUsize>);

impl ActiveJob {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for ActiveJob {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Node {
    /// Counts a piece of work that the daemon must not leave behind when it stops.
    pub fn start_job(&self) -> ActiveJob {
        ActiveJob::new(&self.active_jobs)
    }

    /// Whether no caller and no other daemon waits for anything from this one.
    pub fn is_idle(&self) -> bool {
        self.intake.held() == 0
            && self.active_jobs.load(Ordering::SeqCst) == 0
            && self.slots.is_idle()
    }

    /// How this daemon is.
    pub fn status(&self) -> DaemonStatus {
        DaemonStatus {
            vm: self.shared.settings.vm.clone(),
            member: self.shared.me,
            revision: self.shared.catalog().revision,
            shutting_down: self.shared.is_shutting_down(),
            requests: self.intake.held() as u32,
        }
    }
}
