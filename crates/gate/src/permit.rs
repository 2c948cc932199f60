//! Requests a permit to send a request to a server of a plain service.
//!
//! The daemon that holds the service's queue decides which server a request goes to. If it
//! does not respond, the permit request is sent again. If it stays unresponsive, this daemon
//! picks a server by its own counts, as if no daemon held the queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{MemberId, ServerName, ServiceName};
use chestnut_pool::{PermitOutcome, PlainRequest};
use slog::info;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::claims::pool_key;
use crate::job::Job;
use crate::message::{Message, PermitVerdict};
use crate::metrics::{Span, Step};
use crate::peers::ReplyTo;
use crate::shared::Shared;
use crate::{permit_queue, server_limits};

/// How long the holder of a queue may take to respond.
///
/// Most requests get a permit within that time; the others have to queue. Callers of plain
/// services expect a response within 100 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(30);

/// How long the holder may take to send anything about a queued request.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(60);

/// Consecutive permit requests without a response after which the holder counts as
/// unresponsive.
const MAX_UNANSWERED: usize = 2;

/// The delay before a release is sent a second time.
///
/// A permit whose release is lost stays taken for as long as its caller would wait, thirty
/// times as long as requests run. With one datagram in two hundred lost, that blocks a
/// seventh of all permits.
const RELEASE_REPEAT_DELAY: Duration = Duration::from_millis(10);

/// How long a request that was told of a moved queue waits for a response of the next holder.
///
/// The next holder learns of its claim within a heartbeat period.
const MOVE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after such a response the permit is requested again.
const MOVED_DELAY: Duration = Duration::from_millis(15);

/// How long an unresponsive holder is sent no permit requests.
///
/// A request loses 60 ms on an unresponsive holder. After two seconds another daemon takes
/// over the queue of a holder that failed.
const UNRESPONSIVE_HOLDER_BACKOFF: Duration = Duration::from_millis(1000);

/// The result of a permit request.
///
/// The names of the variants are logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent to this server now; the number identifies its permit.
    Send(u64, ServerName),
    /// No permit is free before the caller times out; the estimated wait.
    Full(Duration),
    /// No server accepts requests.
    Nowhere,
    /// No daemon holds the queue, or its holder does not respond.
    Silent,
    /// The daemon that received the request no longer holds the queue, or does not know yet
    /// that it does.
    Moved,
}

impl PermitDecision {
    /// The label in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Send(..) => "sent",
            Self::Full(_) => "full",
            Self::Nowhere => "nowhere",
            Self::Silent => "silent",
            Self::Moved => "moved",
        }
    }
}

/// A permit of a plain service, as its holder identifies it.
#[derive(Debug, Clone)]
pub struct Permit {
    /// The service whose queue granted it.
    pub service: ServiceName,
    /// The number of the request, unique at this daemon.
    pub number: u64,
}

impl Permit {
    /// Returns the permit to the queue, or withdraws a request for it.
    pub fn release(self, shared: &Arc<Shared>, outcome: PermitOutcome) {
        let Self { service, number } = self;
        match holder(shared, &service) {
            Some((member, _)) if member == shared.peers.me => {
                permit_queue::release(shared, &service, (member, number), outcome);
            }
            Some((_, addr)) => {
                let message = Message::PermitRelease { number, service, outcome };
                shared.peers.send(addr, message.clone());
                let shared = shared.clone();
                tokio::spawn(async move {
                    sleep(RELEASE_REPEAT_DELAY).await;
                    shared.peers.send(addr, message);
                });
            }
            None => {}
        }
    }
}

/// The daemon that holds a service's queue, or plans its models, and where it receives
/// datagrams.
pub fn holder(shared: &Shared, service: &ServiceName) -> Option<(MemberId, SocketAddr)> {
    let membership = shared.membership();
    let (claim, _) = membership.claims.get(&pool_key(service)?)?;
    let row = membership.member_row(claim.holder?)?;
    Some((row.member, row.peer_addr))
}

/// Waits for a permit; servers in `avoid` failed to serve the request.
pub async fn request_permit(job: &Job, avoid: &[ServerName]) -> PermitDecision {
    let shared = &job.shared;
    let started = shared.now();
    if shared.is_queue_holder_unresponsive(&job.service, started) {
        return PermitDecision::Silent;
    }
    let mut moved_at = None;
    let (member, decision) = loop {
        let Some((member, addr)) = holder(shared, &job.service) else {
            return PermitDecision::Silent;
        };
        let decision = request_from(job, avoid, (member, addr)).await;
        let now = shared.now();
        let waits_until = *moved_at.get_or_insert(now) + MOVE_TIMEOUT;
        if decision != PermitDecision::Moved || now + MOVED_DELAY > waits_until {
            break (member, decision);
        }
        sleep(MOVED_DELAY).await;
    };
    if decision == PermitDecision::Silent {
        shared.mark_queue_holder_unresponsive(
            &job.service,
            shared.now() + UNRESPONSIVE_HOLDER_BACKOFF,
        );
    }
    shared.metrics.count(Step::Turn, decision.label());
    let waited = shared.now().saturating_duration_since(started);
    shared.metrics.observe(Span::Turn, waited);
    info!(shared.log, "place"; "id" => job.id(), "holder" => member.to_string(),
        "place" => format!("{decision:?}"), "waited_ms" => waited.as_millis() as u64);
    decision
}

/// Waits for a permit from one daemon.
async fn request_from(
    job: &Job,
    avoid: &[ServerName],
    (member, addr): (MemberId, SocketAddr),
) -> PermitDecision {
    let shared = &job.shared;
    let (number, receiver) = shared.peers.open_request();
    let request = plain_request(job, avoid);
    let mut pending = PendingPermit { job, number, granted: false };
    if member != shared.peers.me {
        server_limits::announce_all(shared, &job.service, (member, addr));
    }
    let decision = match member == shared.peers.me {
        true => pending.request_local(request).await,
        false => pending.request_remote(addr, receiver, request).await,
    };
    pending.granted = matches!(decision, PermitDecision::Send(..));
    decision
}

fn plain_request(job: &Job, avoid: &[ServerName]) -> PlainRequest {
    let now = job.shared.now();
    let fleet = job.shared.fleet();
    let servers = fleet.iter().filter(|(_, server)| server.entry.service == job.service);
    let unavailable = servers.filter(|(_, server)| {
        !fleet.accepts_requests(server, now)
            || !job.software.permits(server.entry.software.as_ref())
    });
    let unavailable = unavailable.map(|(_, server)| server.entry.name.clone());
    let target_time = job.arrived_at + job.route().objective;
    PlainRequest {
        urgency: job.priority(),
        target_time: target_time.saturating_duration_since(now),
        wait_limit: job.deadline.saturating_duration_since(now),
        domain: job.shared.settings.domain.clone(),
        avoid: avoid.iter().cloned().chain(unavailable).collect(),
    }
}

/// A permit request without a decision; withdraws itself if dropped before a grant.
struct PendingPermit<'a> {
    job: &'a Job,
    number: u64,
    granted: bool,
}

impl PendingPermit<'_> {
    /// Waits for a permit from a queue of this daemon.
    async fn request_local(&self, request: PlainRequest) -> PermitDecision {
        let shared = &self.job.shared;
        let (sender, receiver) = oneshot::channel();
        let key = (shared.peers.me, self.number);
        permit_queue::enqueue(
            shared,
            &self.job.service,
            key,
            request,
            ReplyTo::Local(sender),
        );
        match receiver.await {
            Ok(verdict) => self.decision(verdict).unwrap_or(PermitDecision::Silent),
            // The claim was lost.
            Err(_) => PermitDecision::Moved,
        }
    }

    /// Waits for a permit from another daemon.
    async fn request_remote(
        &self,
        addr: SocketAddr,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        request: PlainRequest,
    ) -> PermitDecision {
        let (shared, number) = (&self.job.shared, self.number);
        let service = &self.job.service;
        let mut unanswered = 0;
        while unanswered < MAX_UNANSWERED {
            let (service, request) = (service.clone(), request.clone());
            shared.peers.send(addr, Message::PermitRequest { number, service, request });
            unanswered += 1;
            let mut wait = RESPONSE_TIMEOUT;
            loop {
                let response = timeout(wait, receiver.recv()).await;
                let Ok(Some(Message::PermitResponse { verdict, .. })) = response else {
                    break;
                };
                let Some(decision) = self.decision(verdict) else {
                    // The permit for a queued request is requested as often as necessary.
                    (unanswered, wait) = (0, QUEUED_TIMEOUT);
                    continue;
                };
                return decision;
            }
        }
        PermitDecision::Silent
    }

    /// The decision in a verdict; `None` while the request is queued.
    fn decision(&self, verdict: PermitVerdict) -> Option<PermitDecision> {
        match verdict {
            PermitVerdict::Queued => None,
            PermitVerdict::Send(server) => {
                Some(PermitDecision::Send(self.number, server))
            }
            PermitVerdict::Full(millis) => {
                Some(PermitDecision::Full(Duration::from_millis(millis.into())))
            }
            PermitVerdict::Nowhere => Some(PermitDecision::Nowhere),
            PermitVerdict::Moved => Some(PermitDecision::Moved),
        }
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        if !self.granted {
            let (service, number) = (self.job.service.clone(), self.number);
            Permit { service, number }.release(&self.job.shared, PermitOutcome::Unused);
        }
    }
}
