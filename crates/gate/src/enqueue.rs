//! Waits for a place at a server of a plain service.
//!
//! The daemon that holds the service's queue says where a request goes. It is asked again
//! while it is silent, and done without when that does not help: the request is sent by
//! this daemon's own counts, as it would be before anybody holds the queue.

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
use crate::message::{Message, Placed};
use crate::metrics::{Span, Step};
use crate::peers::Reply;
use crate::queue;
use crate::shared::Shared;

/// How long the holder of a queue may take to answer.
///
/// Most requests have a place within that time, or have to wait; callers of plain services
/// expect an answer within 100 ms.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// How long the holder may be silent about a request that waits.
const QUEUE_TIME: Duration = Duration::from_millis(60);

/// Questions in a row without an answer after which a holder is done without.
const TRIES: usize = 2;

/// When the end of a request is told for the second time.
///
/// A place whose end is not heard of stays taken for as long as its caller would wait,
/// thirty times as long as requests run; with one datagram in two hundred lost that takes a
/// seventh of all places.
const REPEAT: Duration = Duration::from_millis(10);

/// How long a holder that was silent is not asked.
///
/// A request that asks in vain loses 60 ms. A holder that died is followed by another one
/// after two seconds.
const SILENT_TIME: Duration = Duration::from_millis(1000);

/// What came of waiting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Queued {
    /// It is to be sent to this server now; the number names its place.
    Send(u64, ServerName),
    /// There is room only after its caller has left.
    Full(Duration),
    /// No server takes requests.
    Nowhere,
    /// Nobody holds the queue, or its holder does not answer.
    Silent,
}

impl Queued {
    /// Its name in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Send(..) => "sent",
            Self::Full(_) => "full",
            Self::Nowhere => "nowhere",
            Self::Silent => "silent",
        }
    }
}

/// Names a request's place to the holder of its service's queue.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The service.
    pub service: ServiceName,
    /// The request's number.
    pub number: u64,
}

impl Ticket {
    /// Tells the queue that the request needs its place no more.
    pub fn give_back(self, shared: &Arc<Shared>, outcome: PermitOutcome) {
        let Self { service, number } = self;
        match holder(shared, &service) {
            Some((member, _)) if member == shared.peers.me => {
                queue::finish(shared, &service, (member, number), outcome);
            }
            Some((_, addr)) => {
                let message = Message::Finished { number, service, outcome };
                shared.peers.send(addr, message.clone());
                let shared = shared.clone();
                tokio::spawn(async move {
                    sleep(REPEAT).await;
                    shared.peers.send(addr, message);
                });
            }
            None => {}
        }
    }
}

/// The daemon that holds a service's queue.
fn holder(shared: &Shared, service: &ServiceName) -> Option<(MemberId, SocketAddr)> {
    let known = shared.membership();
    let (claim, _) = known.claims.get(&pool_key(service)?)?;
    let row = known.member_row(claim.holder?)?;
    Some((row.member, row.peer_addr))
}

/// Waits for a place; servers on `avoid` did not serve the request.
pub async fn wait(job: &Job, avoid: &[ServerName]) -> Queued {
    let shared = &job.shared;
    let began = shared.now();
    if shared.is_queue_holder_unresponsive(&job.service, began) {
        return Queued::Silent;
    }
    let Some((member, addr)) = holder(shared, &job.service) else {
        return Queued::Silent;
    };
    let (number, receiver) = shared.peers.expect();
    let want = want(job, avoid);
    let mut asked = Asked { job, number, placed: false };
    let queued = match member == shared.peers.me {
        true => asked.here(want).await,
        false => asked.there(addr, receiver, want).await,
    };
    asked.placed = matches!(queued, Queued::Send(..));
    if queued == Queued::Silent {
        shared.mark_queue_holder_unresponsive(&job.service, shared.now() + SILENT_TIME);
    }
    shared.metrics.count(Step::Turn, queued.name());
    let waited = shared.now().saturating_duration_since(began);
    shared.metrics.observe(Span::Turn, waited);
    info!(shared.log, "place"; "id" => job.id(), "holder" => member.to_string(),
        "place" => format!("{queued:?}"), "waited_ms" => waited.as_millis() as u64);
    queued
}

fn want(job: &Job, avoid: &[ServerName]) -> PlainRequest {
    let now = job.shared.now();
    let fleet = job.shared.fleet();
    let ours = fleet.iter().filter(|(_, server)| server.entry.service == job.service);
    let shut = ours.filter(|(_, server)| !fleet.accepts_requests(server, now));
    let shut = shut.map(|(_, server)| server.entry.name.clone());
    let on_time = job.arrived + job.route().objective;
    PlainRequest {
        urgency: job.route().priority,
        target_time: on_time.saturating_duration_since(now),
        wait_limit: job.deadline.saturating_duration_since(now),
        domain: job.shared.settings.domain.clone(),
        avoid: avoid.iter().cloned().chain(shut).collect(),
    }
}

/// A request that asked for a place; given up when dropped before it has one.
struct Asked<'a> {
    job: &'a Job,
    number: u64,
    placed: bool,
}

impl Asked<'_> {
    async fn here(&self, want: PlainRequest) -> Queued {
        let shared = &self.job.shared;
        let (sender, receiver) = oneshot::channel();
        let asker = (shared.peers.me, self.number);
        queue::take(shared, &self.job.service, asker, want, Reply::Here(sender));
        match receiver.await {
            Ok(placed) => self.read(placed).unwrap_or(Queued::Silent),
            // The claim was lost.
            Err(_) => Queued::Silent,
        }
    }

    async fn there(
        &self,
        addr: SocketAddr,
        mut receiver: mpsc::UnboundedReceiver<Message>,
        want: PlainRequest,
    ) -> Queued {
        let (shared, number) = (&self.job.shared, self.number);
        let service = &self.job.service;
        let mut silent = 0;
        while silent < TRIES {
            let (service, want) = (service.clone(), want.clone());
            shared.peers.send(addr, Message::Enqueue { number, service, want });
            silent += 1;
            let mut wait = ANSWER_TIME;
            loop {
                let answer = timeout(wait, receiver.recv()).await;
                let Ok(Some(Message::Dequeued { verdict, .. })) = answer else { break };
                let Some(queued) = self.read(verdict) else {
                    // It waits, and is asked for again as often as need be.
                    (silent, wait) = (0, QUEUE_TIME);
                    continue;
                };
                return queued;
            }
        }
        Queued::Silent
    }

    /// What an answer means; nothing while the request waits.
    fn read(&self, placed: Placed) -> Option<Queued> {
        match placed {
            Placed::Queued => None,
            Placed::Send(server) => Some(Queued::Send(self.number, server)),
            Placed::Full(millis) => {
                Some(Queued::Full(Duration::from_millis(millis.into())))
            }
            Placed::Nowhere => Some(Queued::Nowhere),
            Placed::Moved => Some(Queued::Silent),
        }
    }
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        if !self.placed {
            let (service, number) = (self.job.service.clone(), self.number);
            Ticket { service, number }.give_back(&self.job.shared, PermitOutcome::Unused);
        }
    }
}
