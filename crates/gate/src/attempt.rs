//! One attempt: sends a request to one backend server and waits for the response head.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{
    Incarnation, MemberId, ModelName, ServerName, ServiceName, SoftwareVersion,
};
use chestnut_edge::{Attempt, EchoedId, ResponseHead, RouteKind};
use chestnut_pool::{
    AttemptOutcome, Attribution, DemandCounts, InFlightRequest, Path, PermitOutcome,
    ServerKey,
};
use http::{Request, StatusCode, response};
use slog::{info, warn};
use tokio::time::{timeout, timeout_at};

use crate::client::{Connection, ResponseAndConnection, SendError};
use crate::crashes::Dispatch;
use crate::forward::{ForwardOutcome, ForwardTo};
use crate::framing::SecondResponse;
use crate::job::Job;
use crate::message::FirstEvent;
use crate::metrics::Step;
use crate::permit::Permit;
use crate::read_limit::LimitedBody;
use crate::serve::MISDIRECTED_STATUS;
use crate::shared::Shared;
use crate::{
    accounts, bidding, crashes, pace, paths, planner, retries, server_limits,
    usage_reports,
};

/// How long after its arrival a request waits for the response of one server before another
/// is tried, as a multiple of the route's objective.
///
/// A server normally responds within half of the objective; slow servers take up to eight
/// times as long.
const ABANDON_AFTER_OBJECTIVES: u32 = 4;

/// The statuses by which callers take a request for not run.
const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The label of responses that are not well-formed, in logs and metrics.
pub const MALFORMED: &str = "malformed";

/// A request in flight; stops being counted when dropped.
pub struct InFlight {
    shared: Arc<Shared>,
    /// The server that it was sent to.
    pub key: ServerKey,
    request: InFlightRequest,
    sent_at: Instant,
    /// The permit from a plain service's queue that it was sent with.
    permit: Option<Permit>,
    /// Identifies a streamed generation to the runner's holder that admitted it.
    admission: Option<u64>,
    /// How the permit was used.
    outcome: PermitOutcome,
    /// Counts the request as in flight in case the server crashes; `None` before it is sent.
    dispatch: Option<Dispatch>,
    /// The service and the requested model of a generation.
    model: Option<(ServiceName, ModelName)>,
}

impl InFlight {
    /// Counts a request as in flight and reports the usage to the runner's holder.
    pub fn new(job: &Job, target: &Target) -> Self {
        let shared = job.shared.clone();
        let request = InFlightRequest { size: job.estimated_size(), responding: false };
        let key = target.key;
        shared.fleet().begin_request(key, request);
        usage_reports::report(&shared, key, job.call.target.clone(), None);
        let sent_at = shared.now();
        let number = target.number.filter(|_| job.call.target.is_none());
        let permit = number.map(|number| Permit { service: job.service.clone(), number });
        let admission = target.number.filter(|_| job.call.target.is_some());
        let is_stream = matches!(job.route().kind, RouteKind::Stream { .. });
        if let Some(number) = admission.filter(|_| !is_stream) {
            // A plain response has no first event. The holder would take it for overdue, and
            // five of them in a row for a failing runner.
            pace::report_end(&shared, key, number, PermitOutcome::Unused);
        }
        let model = job.call.target.as_ref();
        let model = model.map(|target| (job.service.clone(), target.model.clone()));
        Self {
            shared,
            key,
            request,
            sent_at,
            permit,
            admission: admission.filter(|_| is_stream),
            outcome: PermitOutcome::Unused,
            dispatch: None,
            model,
        }
    }

    /// Records that the response was interrupted, and reports the crash of the server if
    /// that is why.
    pub async fn record_interruption(&mut self) {
        self.outcome = PermitOutcome::Failed;
        if let Some(dispatch) = self.dispatch.take() {
            dispatch.interrupted().await;
        }
    }

    /// Whether the server has sent its first event.
    pub fn has_first_event(&self) -> bool {
        self.request.responding
    }

    /// Records that the response is complete.
    pub fn record_completion(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            dispatch.complete();
        }
    }

    /// Records that the server has started to respond; only the first call has an effect.
    ///
    /// `number` identifies the request to the runner's holder.
    pub fn record_first_event(&mut self, number: Option<u64>) {
        if self.request.responding {
            return;
        }
        if let Some(dispatch) = &self.dispatch {
            dispatch.record_response();
        }
        {
            let mut fleet = self.shared.fleet();
            fleet.end_request(self.key, self.request);
            self.request.responding = true;
            fleet.begin_request(self.key, self.request);
        }
        let after_ms =
            self.shared.now().saturating_duration_since(self.sent_at).as_millis() as u32;
        let first_event = number.map(|number| FirstEvent { number, after_ms });
        usage_reports::report(&self.shared, self.key, None, first_event);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.fleet().end_request(self.key, self.request);
        usage_reports::report(&self.shared, self.key, None, None);
        if let Some((service, model)) =
            self.model.as_ref().filter(|_| self.request.responding)
        {
            let service_time = self.shared.now().saturating_duration_since(self.sent_at);
            let demand = DemandCounts {
                finished: 1.0,
                service_s: service_time.as_secs_f64(),
                ..DemandCounts::default()
            };
            planner::record_demand(&self.shared, service, model, demand);
            self.shared.engine_timings().record_service_time(service_time);
        }
        if let Some(number) = self.admission.filter(|_| !self.request.responding) {
            pace::report_end(&self.shared, self.key, number, self.outcome);
        }
        if let Some(permit) = self.permit.take() {
            permit.release(&self.shared, self.outcome);
        }
    }
}

/// The server that a request is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The key in the daemon's fleet.
    pub key: ServerKey,
    /// The name in the registry.
    pub name: ServerName,
    /// When its current incarnation started, in Unix milliseconds; `None` if unknown.
    pub started_at: Option<u64>,
    /// The version of its software; `None` if it names none.
    pub software: Option<SoftwareVersion>,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Identifies the request to the holder of the runner or queue that admitted it; `None`
    /// if no holder did.
    pub number: Option<u64>,
}

impl Target {
    /// The server's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { server: self.name.clone(), started_at: self.started_at }
    }
}

/// A response whose head has arrived.
pub struct ServerResponse {
    /// The HTTP head.
    pub head: response::Parts,
    /// What the deployment's adapter reads from the head.
    pub metadata: ResponseHead,
    /// The body as it arrives.
    pub body: LimitedBody,
    /// Looks for a second response in the body; `None` if the end of the body is marked.
    pub second: Option<SecondResponse>,
    /// The connection that the body arrives on.
    pub connection: Connection,
    /// The address that the connection leads to: the server's, or that of the daemon that
    /// forwards.
    pub addr: SocketAddr,
    /// The responding server.
    pub target: Target,
    /// Counts the request as in flight until dropped.
    pub in_flight: InFlight,
}

impl ServerResponse {
    /// Fails if a second response begins in the next bytes of the body.
    pub fn check_end(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        let is_second = self.second.as_mut().is_some_and(|second| second.is_in(bytes));
        match is_second {
            true => Err("a second response follows without an end of the first"),
            false => Ok(()),
        }
    }
}

/// Why an attempt failed.
///
/// The names of the variants are logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte was sent: connecting to the server failed.
    Unreachable(String),
    /// The server reported, with this status, that it did not run the request and never will.
    Rejected(u16),
    /// The request was sent and may have run; the response was lost.
    Lost(String),
    /// The request was sent, the server did not respond in time, and another may be tried.
    Silent,
    /// The request was sent, and its deadline passed.
    Late,
    /// No byte was sent: the request crashes servers.
    Blocked,
    /// No byte was sent: the request may crash servers, and another copy of it is running.
    Quarantined,
    /// No byte was sent: the request is a retry that has waited for a server, and the retry
    /// budget is used up by now.
    Exhausted,
    /// No byte was sent: the server has asked for rest since it was picked.
    Resting,
}

impl AttemptError {
    /// The label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Rejected(_) => "rejected",
            Self::Lost(_) => "lost",
            Self::Silent => "silent",
            Self::Late => "late",
            Self::Blocked => "blocked",
            Self::Quarantined => "quarantined",
            Self::Exhausted => "exhausted",
            Self::Resting => "resting",
        }
    }

    /// The outcome for the decision on a retry.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Unreachable(_)
            | Self::Blocked
            | Self::Quarantined
            | Self::Exhausted
            | Self::Resting => AttemptOutcome::NotSent,
            Self::Rejected(_) => AttemptOutcome::Rejected,
            Self::Lost(_) => AttemptOutcome::ResponseLost,
            Self::Silent => AttemptOutcome::Unresponsive,
            Self::Late => AttemptOutcome::TimedOut,
        }
    }
}

/// Sends a request to a server and waits for the response head.
pub async fn attempt(
    job: &mut Job,
    target: &Target,
    resume_after: Option<u64>,
) -> Result<ServerResponse, AttemptError> {
    let shared = &job.shared.clone();
    let mut in_flight = InFlight::new(job, target);
    let result = exchange(job, target, resume_after, &mut in_flight).await;
    let now = shared.now();
    in_flight.outcome = match &result {
        Ok(got) if got.head.status.is_server_error() => PermitOutcome::Failed,
        Ok(_) => PermitOutcome::Answered,
        Err(AttemptError::Unreachable(_)) => PermitOutcome::Unreachable,
        Err(AttemptError::Lost(_) | AttemptError::Silent | AttemptError::Late) => {
            PermitOutcome::Failed
        }
        Err(AttemptError::Rejected(_)) => PermitOutcome::Rejected,
        Err(
            AttemptError::Blocked
            | AttemptError::Quarantined
            | AttemptError::Exhausted
            | AttemptError::Resting,
        ) => PermitOutcome::Unused,
    };
    if in_flight.outcome == PermitOutcome::Unused {
        bidding::give_back(job, target);
    }
    // A runner without the model or adapter has said nothing about how it fares.
    if matches!(result, Err(AttemptError::Rejected(MISDIRECTED_STATUS)))
        && in_flight.admission.is_some()
    {
        in_flight.outcome = PermitOutcome::Unused;
    }
    if matches!(result, Err(AttemptError::Lost(_))) {
        in_flight.record_interruption().await;
    }
    if let Some(server) = shared.fleet().get_mut(target.key) {
        match &result {
            Ok(got) if got.head.status.is_server_error() => {
                server.health.record_failure(now)
            }
            Ok(_) => server.health.record_success(now),
            Err(AttemptError::Unreachable(_)) => {
                server.health.record_connection_failure(now)
            }
            Err(AttemptError::Lost(_) | AttemptError::Silent) => {
                server.health.record_failure(now)
            }
            Err(
                AttemptError::Rejected(_)
                | AttemptError::Late
                | AttemptError::Blocked
                | AttemptError::Quarantined
                | AttemptError::Exhausted
                | AttemptError::Resting,
            ) => {}
        }
    }
    let Exchange { head, metadata, body, connection, addr } = result?;
    Ok(ServerResponse {
        second: SecondResponse::watch(&head),
        head,
        metadata,
        body,
        connection,
        addr,
        target: target.clone(),
        in_flight,
    })
}

/// What a request got from its server: the response, and the connection that leads to the
/// server with its address.
struct Exchange {
    head: response::Parts,
    metadata: ResponseHead,
    body: LimitedBody,
    connection: Connection,
    addr: SocketAddr,
}

/// Sends a request on one path to its server after the other, until a byte of it was sent.
async fn exchange(
    job: &mut Job,
    target: &Target,
    resume_after: Option<u64>,
    in_flight: &mut InFlight,
) -> Result<Exchange, AttemptError> {
    let shared = &job.shared.clone();
    let mut tried = Vec::new();
    let mut failure = "no path to the server".to_owned();
    while let Some(path) = paths::next(shared, target, &tried) {
        let result = exchange_along(job, target, path, resume_after, in_flight).await;
        if path != Path::Direct {
            log_forwarded(job, target, path, result.as_ref().err());
        }
        let Err(AttemptError::Unreachable(why)) = result else { return result };
        paths::record_failure(shared, target, path, &why);
        failure = why;
        tried.push(path);
        if shared.now() >= job.deadline {
            break;
        }
    }
    Err(AttemptError::Unreachable(failure))
}

async fn exchange_along(
    job: &mut Job,
    target: &Target,
    path: Path,
    resume_after: Option<u64>,
    in_flight: &mut InFlight,
) -> Result<Exchange, AttemptError> {
    let shared = &job.shared.clone();
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let id = job.call.id.clone();
    let connecting = paths::connect_along(shared, target, path, id.as_deref());
    let connected = timeout_at(deadline, connecting).await.map_err(|_| {
        AttemptError::Unreachable("the deadline passed while connecting".into())
    })?;
    let (connection, addr) = connected.map_err(|error| {
        record_refusal(shared, path);
        AttemptError::Unreachable(error.to_string())
    })?;
    in_flight.dispatch = Some(crashes::begin_dispatch(job, target).await?);
    if !retries::may_send(job) {
        return Err(AttemptError::Exhausted);
    }
    let sent_at = shared.now();
    if !shared.fleet().rest_left(&target.incarnation(), sent_at).is_zero() {
        shared.metrics.count(Step::Rest, "held back");
        return Err(AttemptError::Resting);
    }
    let request = build_request(job, target, path, resume_after);
    let (response, mut connection) = send(job, target, path, connection, request).await?;
    let (mut head, body) = response.into_parts();
    if let Path::Forwarded(member) = path {
        check_forwarded(shared, target, member, &mut head)?;
    }
    let metadata = shared.dialect.read_response_head(&head);
    let attribution = match (path, &metadata.id) {
        // A forwarder responds once, and has matched the server's response itself.
        (Path::Forwarded(_), EchoedId::Missing) => Attribution::OnlyRequest,
        _ => connection.attribute(&metadata.id),
    };
    if let Some(why) = discard_reason(head.status, &metadata, attribution) {
        shared.metrics.count(Step::Discard, why);
        warn!(shared.log, "response discarded"; "id" => job.id(),
            "server" => target.name.as_str(), "path" => format!("{path:?}"), "why" => why,
            "status" => head.status.as_u16(), "echoed" => format!("{:?}", metadata.id),
            "requests_on_connection" => connection.request_count());
        return Err(AttemptError::Lost(format!("the response was discarded: {why}")));
    }
    if !metadata.misdirected {
        server_limits::observe(job, target, &metadata, sent_at);
    }
    if let Some(rest) = metadata.rest {
        shared.metrics.count(Step::Rest, "asked for");
        shared.fleet().record_rest(&target.incarnation(), rest, shared.now());
    }
    let is_new_leave = metadata.leaving
        && shared.fleet().record_leaving(&target.incarnation(), shared.now());
    if metadata.rest.is_some() || is_new_leave {
        info!(shared.log, "server wants no requests"; "id" => job.id(),
            "server" => target.name.as_str(), "path" => format!("{path:?}"),
            "rest_ms" => metadata.rest.map(|rest| rest.as_millis() as u64),
            "leaving" => metadata.leaving);
    }
    if metadata.not_run || metadata.misdirected {
        return Err(AttemptError::Rejected(head.status.as_u16()));
    }
    Ok(Exchange { head, metadata, body, connection, addr })
}

/// Why a response can't be passed on; `None` if it can.
///
/// It may be for another request, or its head may lack what its server meant to send. The request
/// may have run.
fn discard_reason(
    status: StatusCode,
    metadata: &ResponseHead,
    attribution: Attribution,
) -> Option<&'static str> {
    let is_guaranteed = metadata.not_run || metadata.misdirected;
    match attribution {
        Attribution::Unidentified | Attribution::Foreign => Some(attribution.label()),
        _ if metadata.signed => None,
        _ if status.is_success() => Some("unsigned"),
        // Callers would take the request for not run.
        _ if NOT_RUN_STATUSES.contains(&status) && !is_guaranteed => Some("no guarantee"),
        Attribution::Echoed | Attribution::OnlyRequest => None,
    }
}

/// Sends a request and waits for the response head; abandons an unresponsive server where
/// another may be tried.
async fn send(
    job: &mut Job,
    target: &Target,
    path: Path,
    connection: Connection,
    request: Request<Bytes>,
) -> Result<ResponseAndConnection, AttemptError> {
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let id = job.call.id.clone();
    let mut sending = pin!(connection.send(request, id.as_deref()));
    let mut early_result = None;
    if let Some(abandon_after) = abandon_timeout(job) {
        early_result = timeout(abandon_after, &mut sending).await.ok();
        // If the retry budget is used up, the attempt continues until the deadline.
        if early_result.is_none() && retries::try_take(job, AttemptError::Silent.label())
        {
            return Err(AttemptError::Silent);
        }
    }
    let result = match early_result {
        Some(result) => result,
        None => timeout_at(deadline, sending).await.map_err(|_| AttemptError::Late)?,
    };
    result.map_err(|error| match error {
        SendError::NotSent(why) => AttemptError::Unreachable(why),
        SendError::Lost(why) => AttemptError::Lost(why),
        SendError::Malformed(why) => {
            job.shared.metrics.count(Step::Discard, MALFORMED);
            warn!(job.shared.log, "response discarded"; "id" => job.id(),
                "server" => target.name.as_str(), "path" => format!("{path:?}"),
                "why" => MALFORMED, "error" => &why);
            AttemptError::Lost(why)
        }
    })
}

/// Reads from a forwarder's response what became of the request.
fn check_forwarded(
    shared: &Shared,
    target: &Target,
    member: MemberId,
    head: &mut response::Parts,
) -> Result<(), AttemptError> {
    match ForwardOutcome::take(&mut head.headers) {
        Some(ForwardOutcome::Responded) => {
            paths::record_confirmed(shared, &target.incarnation(), member);
            Ok(())
        }
        Some(ForwardOutcome::Unreachable) => {
            let why = format!("daemon {member} can't connect to the server either");
            Err(AttemptError::Unreachable(why))
        }
        Some(ForwardOutcome::Refused) => {
            record_refusal(shared, Path::Forwarded(member));
            let why = format!("daemon {member} doesn't forward the request");
            Err(AttemptError::Unreachable(why))
        }
        Some(ForwardOutcome::Lost) => {
            let why = format!("daemon {member} lost the connection to the server");
            Err(AttemptError::Lost(why))
        }
        None => Err(AttemptError::Lost("the response is not a forwarder's".into())),
    }
}

/// Records that a forwarder accepted no request.
fn record_refusal(shared: &Shared, path: Path) {
    if let Path::Forwarded(member) = path {
        shared.paths().record_refused(member, shared.now());
    }
}

fn log_forwarded(job: &Job, target: &Target, path: Path, error: Option<&AttemptError>) {
    let outcome = error.map_or("responded", AttemptError::label);
    job.shared.metrics.count(Step::Forward, outcome);
    info!(job.shared.log, "request sent through another daemon"; "id" => job.id(),
        "server" => target.name.as_str(), "path" => format!("{path:?}"),
        "outcome" => outcome, "why" => error.map(|error| format!("{error:?}")));
}

/// How long to wait for this server's response before trying another one; `None` to wait
/// until the deadline.
///
/// An unresponsive server would hold up a request that any other server could serve at once.
/// Only requests that may run again are abandoned, and only once: a second timeout points to
/// a slow service.
fn abandon_timeout(job: &Job) -> Option<Duration> {
    let route = job.route();
    if !job.attempts.may_abandon() {
        return None;
    }
    let limit = job.arrived_at + route.objective * ABANDON_AFTER_OBJECTIVES;
    let remaining = limit.saturating_duration_since(job.shared.now());
    (limit < job.deadline && !remaining.is_zero()).then_some(remaining)
}

fn build_request(
    job: &Job,
    target: &Target,
    path: Path,
    resume_after: Option<u64>,
) -> Request<Bytes> {
    let attempt = Attempt {
        server: target.name.clone(),
        budget: job.deadline.saturating_duration_since(job.shared.now()),
        caller: accounts::caller(&job.declarations, job.account),
        priority: job.priority().min(9),
        resume_after,
    };
    let mut head = job.shared.dialect.write_attempt(&job.head, &attempt);
    if path != Path::Direct {
        let (server, time_left) = (target.incarnation(), attempt.budget);
        ForwardTo { server, time_left }.write(&mut head.headers);
    }
    Request::from_parts(head, job.body.clone())
}
