//! One attempt: a request sent to one backend server, up to the answer's head.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{ModelName, ServerName, ServiceName};
use chestnut_edge::{Attempt, ResponseHead};
use chestnut_pool::{
    AttemptOutcome, DemandCounts, InFlightRequest, Incarnation, PermitOutcome, ServerKey,
};
use http::{Request, response};
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use crate::client::{Connection, SendError};
use crate::job::Job;
use crate::message::FirstEvent;
use crate::permit::Permit;
use crate::shared::Shared;
use crate::{planner, sums};

/// How long a server may be silent, in times of the route's objective.
///
/// Servers that are slow take up to eight times as long as they should, which is half of
/// the objective or less.
const SILENCE: u32 = 4;

/// A request in flight; dropping it takes it out of the count.
pub struct InFlight {
    shared: Arc<Shared>,
    /// The server.
    pub key: ServerKey,
    flight: InFlightRequest,
    sent_at: Instant,
    /// The place in a plain service's queue that it was sent by.
    permit: Option<Permit>,
    /// What came of it.
    outcome: PermitOutcome,
    /// The service and the model that it asks for, if it is a generation.
    model: Option<(ServiceName, ModelName)>,
}

impl InFlight {
    /// Counts a request.
    pub fn new(job: &Job, target: &Target) -> Self {
        let shared = job.shared.clone();
        let flight = InFlightRequest { size: job.estimated_size(), responding: false };
        let key = target.key;
        shared.fleet().begin_request(key, flight);
        sums::tell(&shared, key, job.call.target.clone(), None);
        let sent_at = shared.now();
        let plain = target.number.filter(|_| job.call.target.is_none());
        let permit = plain.map(|number| Permit { service: job.service.clone(), number });
        let model = job.call.target.as_ref();
        let model = model.map(|target| (job.service.clone(), target.model.clone()));
        Self {
            shared,
            key,
            flight,
            sent_at,
            permit,
            outcome: PermitOutcome::Unused,
            model,
        }
    }

    /// Takes note that the answer broke off.
    pub fn record_interruption(&mut self) {
        self.outcome = PermitOutcome::Failed;
    }

    /// Takes note that the server has begun to answer.
    ///
    /// `number` names the request to the runner's holder.
    pub fn record_first_event(&mut self, number: Option<u64>) {
        if self.flight.responding {
            return;
        }
        {
            let mut fleet = self.shared.fleet();
            fleet.end_request(self.key, self.flight);
            self.flight.responding = true;
            fleet.begin_request(self.key, self.flight);
        }
        let after_ms =
            self.shared.now().saturating_duration_since(self.sent_at).as_millis() as u32;
        let begun = number.map(|number| FirstEvent { number, after_ms });
        sums::tell(&self.shared, self.key, None, begun);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.fleet().end_request(self.key, self.flight);
        sums::tell(&self.shared, self.key, None, None);
        if let Some((service, model)) =
            self.model.as_ref().filter(|_| self.flight.responding)
        {
            let stay = self.shared.now().saturating_duration_since(self.sent_at);
            let ended = DemandCounts {
                finished: 1.0,
                service_s: stay.as_secs_f64(),
                ..DemandCounts::default()
            };
            planner::note(&self.shared, service, model, ended);
            self.shared.speeds().record_service_time(stay);
        }
        if let Some(permit) = self.permit.take() {
            permit.release(&self.shared, self.outcome);
        }
    }
}

/// Where a request is sent.
#[derive(Debug, Clone)]
pub struct Target {
    /// The server.
    pub key: ServerKey,
    /// Its name.
    pub name: ServerName,
    /// When its present run began, in Unix milliseconds.
    pub started_at: Option<u64>,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
    /// Names the request to the holder of the server or its queue, if that was asked.
    pub number: Option<u64>,
}

impl Target {
    /// The server's present run.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { server: self.name.clone(), started_at: self.started_at }
    }
}

/// An answer whose head has arrived.
pub struct ServerResponse {
    /// The head.
    pub head: response::Parts,
    /// What it says.
    pub metadata: ResponseHead,
    /// The rest.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The server that answers.
    pub target: Target,
    /// The count in flight.
    pub in_flight: InFlight,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte was sent: the server could not be connected to.
    Unreachable(String),
    /// The server said that it did not run the request and never will.
    Rejected(u16),
    /// It was sent and may have run.
    Lost(String),
    /// It was sent, there is no answer after a while, and it may be sent elsewhere.
    Silent,
    /// The time ran out after it was sent.
    Late,
}

impl AttemptError {
    /// Its name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Rejected(_) => "rejected",
            Self::Lost(_) => "lost",
            Self::Silent => "silent",
            Self::Late => "late",
        }
    }

    /// What it says of the request.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Unreachable(_) => AttemptOutcome::NotSent,
            Self::Rejected(_) => AttemptOutcome::Rejected,
            Self::Lost(_) => AttemptOutcome::ResponseLost,
            Self::Silent => AttemptOutcome::Unresponsive,
            Self::Late => AttemptOutcome::TimedOut,
        }
    }
}

/// Sends a request to a server and waits for the head of its answer.
pub async fn attempt(
    job: &Job,
    target: &Target,
    resume_after: Option<u64>,
) -> Result<ServerResponse, AttemptError> {
    let shared = &job.shared;
    let mut in_flight = InFlight::new(job, target);
    let result = exchange(job, target, resume_after).await;
    let now = shared.now();
    in_flight.outcome = match &result {
        Ok((head, ..)) if head.status.is_server_error() => PermitOutcome::Failed,
        Ok(_) => PermitOutcome::Answered,
        Err(AttemptError::Unreachable(_)) => PermitOutcome::Unreachable,
        Err(AttemptError::Lost(_) | AttemptError::Silent | AttemptError::Late) => {
            PermitOutcome::Failed
        }
        Err(AttemptError::Rejected(_)) => PermitOutcome::Rejected,
    };
    if let Some(server) = shared.fleet().get_mut(target.key) {
        match &result {
            Ok((head, ..)) if head.status.is_server_error() => {
                server.health.record_failure(now)
            }
            Ok(_) => server.health.record_success(now),
            Err(AttemptError::Unreachable(_)) => {
                server.health.record_connection_failure(now)
            }
            Err(AttemptError::Lost(_) | AttemptError::Silent) => {
                server.health.record_failure(now)
            }
            Err(AttemptError::Rejected(_) | AttemptError::Late) => {}
        }
    }
    let (head, metadata, body, connection) = result?;
    Ok(ServerResponse {
        head,
        metadata,
        body,
        connection,
        target: target.clone(),
        in_flight,
    })
}

type Exchanged = (response::Parts, ResponseHead, Incoming, Connection);

async fn exchange(
    job: &Job,
    target: &Target,
    resume_after: Option<u64>,
) -> Result<Exchanged, AttemptError> {
    let shared = &job.shared;
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let connected = timeout_at(deadline, shared.client.connect(target.addr)).await;
    let connected =
        connected.map_err(|_| AttemptError::Unreachable("no time left".into()))?;
    let connection =
        connected.map_err(|fault| AttemptError::Unreachable(fault.to_string()))?;
    let request = write(job, target, resume_after);
    let mut sending = pin!(connection.send(request));
    let mut early = None;
    if let Some(patience) = patience(job) {
        early = timeout(patience, &mut sending).await.ok();
        // It goes on waiting where there is no repeat to be had.
        if early.is_none() && job.shared.take_repeat(&job.service) {
            return Err(AttemptError::Silent);
        }
    }
    let answer = match early {
        Some(answer) => answer,
        None => timeout_at(deadline, sending).await.map_err(|_| AttemptError::Late)?,
    };
    let (response, connection) = match answer {
        Ok(answer) => answer,
        Err(SendError::NotSent(why)) => return Err(AttemptError::Unreachable(why)),
        Err(SendError::Lost(why)) => return Err(AttemptError::Lost(why)),
    };
    let (head, body) = response.into_parts();
    let reply = shared.dialect.read_response_head(&head);
    if reply.id.is_some() && reply.id != job.call.id {
        // An answer to an earlier request on this connection; what became of this
        // one is not known.
        return Err(AttemptError::Lost("the answer is another request's".into()));
    }
    if reply.not_run || reply.misdirected {
        return Err(AttemptError::Rejected(head.status.as_u16()));
    }
    Ok((head, reply, body, connection))
}

/// How long one server's answer is waited for before the request goes elsewhere.
///
/// A server that hangs would hold a request that any other one answers at once. Only
/// what may run again is sent again, and once: a second silence is a slow service.
fn patience(job: &Job) -> Option<Duration> {
    let route = job.route();
    if !job.attempts.may_abandon() {
        return None;
    }
    let limit = job.arrived_at + route.objective * SILENCE;
    let patience = limit.saturating_duration_since(job.shared.now());
    (limit < job.deadline && !patience.is_zero()).then_some(patience)
}

fn write(job: &Job, target: &Target, resume_after: Option<u64>) -> Request<Bytes> {
    let attempt = Attempt {
        server: target.name.clone(),
        budget: job.deadline.saturating_duration_since(job.shared.now()),
        priority: job.route().priority.min(9),
        resume_after,
    };
    let head = job.shared.dialect.write_attempt(&job.head, &attempt);
    Request::from_parts(head, job.body.clone())
}
