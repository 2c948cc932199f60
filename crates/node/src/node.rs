//! The parts of a daemon that handle requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use chestnut_account::ChargeId;
use chestnut_wire::{DaemonStatus, PeerRequest, PeerResponse};
use reqwest::Client;
use tokio::sync::mpsc;

use crate::account_limits::{self, AccountLimits};
use crate::config_sync;
use crate::entry::RequestLimiter;
use crate::lead::{self, LedServers};
use crate::peer::{Peers, RequestHandler};
use crate::pick::Picker;
use crate::poison::PoisonGuard;
use crate::shared::Shared;
use crate::slots::JournalSlots;

/// The parts of a daemon that handle requests.
pub struct Node {
    /// State shared by all parts.
    pub shared: Arc<Shared>,
    /// Connections to other daemons.
    pub peers: Peers,
    /// Admission and queues of the backend servers that this daemon leads.
    pub led_servers: LedServers,
    /// Chooses backend servers for requests.
    pub picker: Picker,
    /// The journal slots that this daemon leads.
    pub slots: JournalSlots,
    /// Isolates requests that crash backend servers.
    pub poison: Arc<PoisonGuard>,
    /// Admission of callers' requests at this entry.
    pub request_limiter: RequestLimiter,
    /// The slices of callers' limits.
    pub account_limits: AccountLimits,
    /// The HTTP client for calls to backend servers.
    pub http: Client,
    /// The number of jobs that have to finish before the daemon stops: requests of other
    /// daemons and detached runs.
    pub active_jobs: Arc<AtomicUsize>,
}

impl RequestHandler for Node {
    async fn handle(
        self: Arc<Self>,
        request: PeerRequest,
        out: mpsc::Sender<PeerResponse>,
    ) {
        let _job = ActiveJob::new(&self.active_jobs);
        let response = match request {
            PeerRequest::Run(run) => return lead::serve(&self, run, out).await,
            PeerRequest::Once(once) => {
                return JournalSlots::submit(&self, once, out).await;
            }
            PeerRequest::Lookup(id) => {
                PeerResponse::Once(JournalSlots::lookup(&self, &id).await)
            }
            PeerRequest::Config(revision) => PeerResponse::Config(Some(
                config_sync::encode_update(&self.shared, revision),
            )),
            PeerRequest::Status => PeerResponse::Status(self.status()),
            PeerRequest::ReportSuspects(suspects) => {
                self.poison.apply_reports(&suspects, self.shared.clock.now());
                PeerResponse::Acknowledged
            }
            PeerRequest::Charge(charge) => {
                let id = ChargeId { member: charge.member, number: charge.number };
                let verdict =
                    account_limits::charge_held(&self, id, &charge.slice, charge.cost);
                PeerResponse::Charged(verdict)
            }
            PeerRequest::Refund(charge) => {
                let id = ChargeId { member: charge.member, number: charge.number };
                account_limits::refund_held(&self, id, &charge.slice);
                PeerResponse::Acknowledged
            }
            PeerRequest::ShuttingDown(member) => {
                self.shared.record_shutdown(member);
                PeerResponse::Acknowledged
            }
        };
        // The requesting daemon may have disconnected.
        drop(out.send(response).await);
    }
}

/// A job that counts as active until it is dropped.
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
    /// Registers a job that has to finish before the daemon stops.
    pub fn start_job(&self) -> ActiveJob {
        ActiveJob::new(&self.active_jobs)
    }

    /// Whether no request of a caller and no job is active.
    pub fn is_idle(&self) -> bool {
        self.request_limiter.in_flight() == 0
            && self.active_jobs.load(Ordering::SeqCst) == 0
            && self.slots.is_idle()
    }

    /// The status that is sent to other daemons.
    pub fn status(&self) -> DaemonStatus {
        DaemonStatus {
            vm: self.shared.settings.vm.clone(),
            member: self.shared.me,
            revision: self.shared.catalog().revision,
            shutting_down: self.shared.is_shutting_down(),
            requests: self.request_limiter.in_flight() as u32,
        }
    }
}
