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

use crate::client::{Connection, SendFault};
use crate::enqueue::Ticket;
use crate::job::Job;
use crate::message::Begun;
use crate::shared::Shared;
use crate::{planner, usage_reports};

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
    sent: Instant,
    /// The place in a plain service's queue that it was sent by.
    place: Option<Ticket>,
    /// What came of it.
    outcome: PermitOutcome,
    /// The service and the model that it asks for, if it is a generation.
    target: Option<(ServiceName, ModelName)>,
}

impl InFlight {
    /// Counts a request.
    pub fn new(job: &Job, place: &Place) -> Self {
        let shared = job.shared.clone();
        let flight = InFlightRequest { size: job.size(), responding: false };
        let key = place.key;
        shared.fleet().begin_request(key, flight);
        usage_reports::report(&shared, key, job.call.target.clone(), None);
        let sent = shared.now();
        let plain = place.number.filter(|_| job.call.target.is_none());
        let place = plain.map(|number| Ticket { service: job.service.clone(), number });
        let target = job.call.target.as_ref();
        let target = target.map(|target| (job.service.clone(), target.model.clone()));
        Self { shared, key, flight, sent, place, outcome: PermitOutcome::Unused, target }
    }

    /// Takes note that the answer broke off.
    pub fn broke(&mut self) {
        self.outcome = PermitOutcome::Failed;
    }

    /// Takes note that the server has begun to answer.
    ///
    /// `number` names the request to the runner's holder.
    pub fn begun(&mut self, number: Option<u64>) {
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
            self.shared.now().saturating_duration_since(self.sent).as_millis() as u32;
        let begun = number.map(|number| Begun { number, after_ms });
        usage_reports::report(&self.shared, self.key, None, begun);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.fleet().end_request(self.key, self.flight);
        usage_reports::report(&self.shared, self.key, None, None);
        if let Some((service, model)) =
            self.target.as_ref().filter(|_| self.flight.responding)
        {
            let stay = self.shared.now().saturating_duration_since(self.sent);
            let ended = DemandCounts {
                finished: 1.0,
                service_s: stay.as_secs_f64(),
                ..DemandCounts::default()
            };
            planner::record_demand(&self.shared, service, model, ended);
            self.shared.engine_timings().record_service_time(stay);
        }
        if let Some(place) = self.place.take() {
            place.give_back(&self.shared, self.outcome);
        }
    }
}

/// Where a request is sent.
#[derive(Debug, Clone)]
pub struct Place {
    /// The server.
    pub key: ServerKey,
    /// Its name.
    pub name: ServerName,
    /// When its present run began, in Unix milliseconds.
    pub born: Option<u64>,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
    /// Names the request to the holder of the server or its queue, if that was asked.
    pub number: Option<u64>,
}

impl Place {
    /// The server's present run.
    pub fn run(&self) -> Incarnation {
        Incarnation { server: self.name.clone(), started_at: self.born }
    }
}

/// An answer whose head has arrived.
pub struct Answered {
    /// The head.
    pub head: response::Parts,
    /// What it says.
    pub reply: ResponseHead,
    /// The rest.
    pub body: Incoming,
    /// The connection that it comes on.
    pub connection: Connection,
    /// The server that answers.
    pub place: Place,
    /// The count in flight.
    pub flight: InFlight,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Missed {
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

impl Missed {
    /// Its name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Rejected(_) => "rejected",
            Self::Lost(_) => "lost",
            Self::Silent => "silent",
            Self::Late => "late",
        }
    }

    /// What it says of the request.
    pub fn ended(&self) -> AttemptOutcome {
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
    place: &Place,
    resume_after: Option<u64>,
) -> Result<Answered, Missed> {
    let shared = &job.shared;
    let mut flight = InFlight::new(job, place);
    let result = exchange(job, place, resume_after).await;
    let now = shared.now();
    flight.outcome = match &result {
        Ok((head, ..)) if head.status.is_server_error() => PermitOutcome::Failed,
        Ok(_) => PermitOutcome::Answered,
        Err(Missed::Unreachable(_)) => PermitOutcome::Unreachable,
        Err(Missed::Lost(_) | Missed::Silent | Missed::Late) => PermitOutcome::Failed,
        Err(Missed::Rejected(_)) => PermitOutcome::Rejected,
    };
    if let Some(server) = shared.fleet().get_mut(place.key) {
        match &result {
            Ok((head, ..)) if head.status.is_server_error() => {
                server.health.record_failure(now)
            }
            Ok(_) => server.health.record_success(now),
            Err(Missed::Unreachable(_)) => server.health.record_connection_failure(now),
            Err(Missed::Lost(_) | Missed::Silent) => server.health.record_failure(now),
            Err(Missed::Rejected(_) | Missed::Late) => {}
        }
    }
    let (head, reply, body, connection) = result?;
    Ok(Answered { head, reply, body, connection, place: place.clone(), flight })
}

type Exchanged = (response::Parts, ResponseHead, Incoming, Connection);

async fn exchange(
    job: &Job,
    place: &Place,
    resume_after: Option<u64>,
) -> Result<Exchanged, Missed> {
    let shared = &job.shared;
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let connected = timeout_at(deadline, shared.client.connect(place.addr)).await;
    let connected = connected.map_err(|_| Missed::Unreachable("no time left".into()))?;
    let connection = connected.map_err(|fault| Missed::Unreachable(fault.to_string()))?;
    let request = write(job, place, resume_after);
    let mut sending = pin!(connection.send(request));
    let mut early = None;
    if let Some(patience) = patience(job) {
        early = timeout(patience, &mut sending).await.ok();
        // It goes on waiting where there is no repeat to be had.
        if early.is_none() && job.shared.try_take_retry(&job.service) {
            return Err(Missed::Silent);
        }
    }
    let answer = match early {
        Some(answer) => answer,
        None => timeout_at(deadline, sending).await.map_err(|_| Missed::Late)?,
    };
    let (response, connection) = match answer {
        Ok(answer) => answer,
        Err(SendFault::NotSent(why)) => return Err(Missed::Unreachable(why)),
        Err(SendFault::Lost(why)) => return Err(Missed::Lost(why)),
    };
    let (head, body) = response.into_parts();
    let reply = shared.dialect.read_response_head(&head);
    if reply.id.is_some() && reply.id != job.call.id {
        // An answer to an earlier request on this connection; what became of this
        // one is not known.
        return Err(Missed::Lost("the answer is another request's".into()));
    }
    if reply.not_run || reply.misdirected {
        return Err(Missed::Rejected(head.status.as_u16()));
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
    let limit = job.arrived + route.objective * SILENCE;
    let patience = limit.saturating_duration_since(job.shared.now());
    (limit < job.deadline && !patience.is_zero()).then_some(patience)
}

fn write(job: &Job, place: &Place, resume_after: Option<u64>) -> Request<Bytes> {
    let attempt = Attempt {
        server: place.name.clone(),
        budget: job.deadline.saturating_duration_since(job.shared.now()),
        priority: job.route().priority.min(9),
        resume_after,
    };
    let head = job.shared.dialect.write_attempt(&job.head, &attempt);
    Request::from_parts(head, job.body.clone())
}
