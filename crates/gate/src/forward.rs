//! Forwards requests of other daemons to backend servers that these can't connect to.
//!
//! The request of the other daemon is the one that it would have sent to the server, with a
//! few headers that name the server. It is never forwarded a second time. All decisions are
//! those of the daemon that received the request from its caller, which counts it as in
//! flight; this one only passes on bytes, and closes each connection when the other closes.

use std::convert::Infallible;
use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{Incarnation, ServerName};
use chestnut_intake::{Connection, body};
use futures::stream::unfold;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use slog::{info, warn};

use crate::attempt::MALFORMED;
use crate::client::{self, SendError};
use crate::framing::{SecondResponse, ends_with_connection};
use crate::metrics::Step;
use crate::paths;
use crate::read_limit::LimitedBody;
use crate::relay::{Interrupted, ResponseBody, is_event_stream};
use crate::serve::full_body;
use crate::shared::{ActiveRequests, Shared};

/// Names the server that a request is to be forwarded to.
const SERVER: HeaderName = HeaderName::from_static("chestnut-forward-to");

/// When that server started, in Unix milliseconds; absent if unknown.
const STARTED_AT: HeaderName = HeaderName::from_static("chestnut-forward-started-at");

/// The milliseconds that are left for the request.
const TIME_LEFT: HeaderName = HeaderName::from_static("chestnut-forward-time-left-ms");

/// What became of the request, in the response.
const OUTCOME: HeaderName = HeaderName::from_static("chestnut-forward-outcome");

/// Concerns the connection between a server and the forwarder.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How long the body of a request may take to arrive.
///
/// With the time to connect less than half a second: the request names the time that was left
/// when the other daemon sent it.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);

/// The most whole requests in progress with which a daemon forwards another one.
const MAX_ACTIVE: usize = 512;

/// Why a request is not forwarded when too many are.
const TOO_MANY: &str = "too many requests are in progress; try another";

/// What became of a request that another daemon was to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The server responded.
    Responded,
    /// No byte was sent to the server, which the daemon can't connect to.
    Unreachable,
    /// No byte was sent to the server, since the daemon forwards nothing now.
    Refused,
    /// It was sent and may have run; the response was lost.
    Lost,
}

impl ForwardOutcome {
    const ALL: [Self; 4] =
        [Self::Responded, Self::Unreachable, Self::Refused, Self::Lost];

    /// The value of the header, and the label in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Responded => "responded",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }

    /// Takes the outcome from a response; `None` if it is not that of a forwarder.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(OUTCOME)?;
        Self::ALL.into_iter().find(|outcome| outcome.name() == value)
    }
}

/// Where a request is to be forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardTo {
    /// The server.
    pub server: Incarnation,
    /// The time that is left for the request.
    pub time_left: Duration,
}

/// Why the headers of a request to forward can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidHeader(&'static str);

impl Display for InvalidHeader {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the header `{}` is missing or invalid; send a valid one", self.0)
    }
}

impl std::error::Error for InvalidHeader {}

impl ForwardTo {
    /// Adds the headers for the forwarder to a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        if let Ok(name) = HeaderValue::from_str(self.server.server.as_str()) {
            headers.insert(SERVER, name);
        }
        if let Some(started_at) = self.server.started_at {
            headers.insert(STARTED_AT, started_at.into());
        }
        headers.insert(TIME_LEFT, (self.time_left.as_millis() as u64).into());
    }

    /// Takes the headers for the forwarder from a request.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, InvalidHeader> {
        let mut text = |name: &HeaderName| -> Option<String> {
            headers.remove(name)?.to_str().ok().map(str::to_owned)
        };
        let server = text(&SERVER).and_then(|text| ServerName::try_from(&*text).ok());
        let server = server.ok_or(InvalidHeader("chestnut-forward-to"))?;
        let started_at = text(&STARTED_AT).map(|text| text.parse()).transpose();
        let started_at =
            started_at.map_err(|_| InvalidHeader("chestnut-forward-started-at"))?;
        let time_left = text(&TIME_LEFT).and_then(|text| text.parse().ok());
        let time_left = time_left.map(Duration::from_millis);
        let time_left =
            time_left.ok_or(InvalidHeader("chestnut-forward-time-left-ms"))?;
        Ok(Self { server: Incarnation { server, started_at }, time_left })
    }
}

/// A request that is not forwarded, or whose response was lost.
struct Failure {
    outcome: ForwardOutcome,
    why: String,
}

impl Failure {
    fn refused(why: impl Into<String>) -> Self {
        Self { outcome: ForwardOutcome::Refused, why: why.into() }
    }

    fn unreachable(why: impl Into<String>) -> Self {
        Self { outcome: ForwardOutcome::Unreachable, why: why.into() }
    }

    fn lost(why: impl Into<String>) -> Self {
        Self { outcome: ForwardOutcome::Lost, why: why.into() }
    }
}

/// Forwards one request of another daemon; all failures become responses.
pub async fn handle(
    shared: Arc<Shared>,
    from: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (mut head, body) = request.into_parts();
    let started = shared.now();
    let id = shared.dialect.read_call(&head).ok().and_then(|call| call.id);
    let to = ForwardTo::take(&mut head.headers);
    let server = to.as_ref().map(|to| to.server.server.to_string()).unwrap_or_default();
    let request = Request::from_parts(head, body);
    let result = match to {
        Ok(to) => forward(&shared, from, &to, id.as_deref(), request).await,
        Err(error) => Err(Failure::refused(error.to_string())),
    };
    let (outcome, why) = match &result {
        Ok(_) => (ForwardOutcome::Responded, ""),
        Err(failure) => (failure.outcome, failure.why.as_str()),
    };
    shared.metrics.count(Step::Forward, outcome.name());
    let waited = shared.now().saturating_duration_since(started);
    info!(shared.log, "request forwarded"; "id" => id.as_deref().unwrap_or("-"),
        "from" => from.to_string(), "server" => server, "outcome" => outcome.name(),
        "why" => why, "waited_ms" => waited.as_millis() as u64);
    Ok(result.unwrap_or_else(|failure| failure_response(&failure)))
}

async fn forward(
    shared: &Arc<Shared>,
    from: IpAddr,
    to: &ForwardTo,
    id: Option<&str>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Failure> {
    let deadline = shared.now() + to.time_left;
    let active = shared.active.start();
    check_sender(shared, from)?;
    let addr = server_addr(shared, &to.server)?;
    let (mut head, body) = request.into_parts();
    let connection = head.extensions.remove::<Arc<Connection>>();
    let connection = connection.filter(|connection| !connection.is_refusing());
    let connection = connection.ok_or_else(|| Failure::refused(TOO_MANY))?;
    let body = read_body(shared, &connection, body).await?;
    let connection = paths::connect(shared, &to.server, addr, id).await;
    let connection =
        connection.map_err(|error| Failure::unreachable(error.to_string()))?;
    let now = shared.now();
    if now >= deadline {
        return Err(Failure::refused("the deadline passed before it was sent"));
    }
    if !shared.fleet().rest_left(&to.server, now).is_zero() {
        return Err(Failure::refused("the server has asked for rest"));
    }
    let sent = connection.send(Request::from_parts(head, body), id).await;
    let (response, mut connection) = sent.map_err(|error| match error {
        SendError::NotSent(why) => Failure::unreachable(why),
        SendError::Lost(why) => Failure::lost(why),
        SendError::Malformed(why) => {
            shared.metrics.count(Step::Discard, MALFORMED);
            warn!(shared.log, "response discarded"; "id" => id.unwrap_or("-"),
                "server" => to.server.server.as_str(), "from" => from.to_string(),
                "why" => MALFORMED, "error" => &why);
            Failure::lost(why)
        }
    })?;
    let (head, body) = response.into_parts();
    let metadata = shared.dialect.read_response_head(&head);
    let attribution = connection.attribute(&metadata.id);
    if !attribution.is_own() {
        shared.metrics.count(Step::Discard, attribution.label());
        warn!(shared.log, "response discarded"; "id" => id.unwrap_or("-"),
            "server" => to.server.server.as_str(), "from" => from.to_string(),
            "why" => attribution.label(), "status" => head.status.as_u16(),
            "echoed" => format!("{:?}", metadata.id),
            "requests_on_connection" => connection.request_count());
        return Err(Failure::lost("the response may be for another request"));
    }
    if let Some(rest) = metadata.rest {
        shared.fleet().record_rest(&to.server, rest, shared.now());
    }
    if metadata.leaving {
        shared.fleet().record_leaving(&to.server, shared.now());
    }
    let body = ForwardedBody {
        shared: shared.clone(),
        body,
        needs_bytes: is_event_stream(&head) && ends_with_connection(&head),
        second: SecondResponse::watch(&head),
        connection: Some((addr, connection, metadata.keep_alive)),
        _active: active,
    };
    Ok(pass_on(head, body))
}

/// Only daemons that have a row may have requests forwarded.
fn check_sender(shared: &Shared, from: IpAddr) -> Result<(), Failure> {
    if shared.is_refusing_requests() {
        return Err(Failure::refused("the daemon is shutting down; use another one"));
    }
    let is_daemon = {
        let membership = shared.membership();
        membership.members.values().any(|(row, _)| row.peer_addr.ip() == from)
    };
    if !is_daemon {
        let why = "the sender is no daemon of the cluster; send requests to the address \
            for callers";
        return Err(Failure::refused(why));
    }
    // One request is this one's own. Clients may leave any number of bodies unfinished.
    let whole = shared.active.count().saturating_sub(shared.arriving.count());
    match whole > MAX_ACTIVE {
        true => Err(Failure::refused(TOO_MANY)),
        false => Ok(()),
    }
}

/// The address of a server that accepts new requests, as far as the registry tells.
fn server_addr(shared: &Shared, server: &Incarnation) -> Result<SocketAddr, Failure> {
    let now = shared.now();
    let fleet = shared.fleet();
    let listed = fleet.key(&server.server).and_then(|key| fleet.get(key));
    let listed = listed.filter(|listed| listed.incarnation() == *server);
    let listed =
        listed.ok_or_else(|| Failure::refused("the server is not in the registry"))?;
    if !fleet.is_listed(listed, now) {
        return Err(Failure::refused("the server accepts no new requests"));
    }
    let (addr, allows_requests) =
        (listed.entry.address, listed.health.allows_requests(now));
    drop(fleet);
    if !allows_requests || !shared.paths().is_direct(server) {
        return Err(Failure::unreachable("connections to the server failed recently"));
    }
    Ok(addr)
}

async fn read_body(
    shared: &Shared,
    connection: &Connection,
    body: Incoming,
) -> Result<Bytes, Failure> {
    let limit = shared.declarations().map(|declared| declared.limits.body_bytes);
    let limit = limit.ok_or_else(|| Failure::refused("no declarations were read"))?;
    let deadline = shared.now() + BODY_TIMEOUT;
    let body = body::read(body, connection, limit, deadline).await;
    body.map_err(|error| Failure::refused(error.to_string()))
}

/// Builds the response to the other daemon from the server's.
fn pass_on(mut head: response::Parts, body: ForwardedBody) -> Response<ResponseBody> {
    for name in [CONNECTION, TRANSFER_ENCODING, KEEP_ALIVE] {
        head.headers.remove(name);
    }
    let outcome = HeaderValue::from_static(ForwardOutcome::Responded.name());
    head.headers.insert(OUTCOME, outcome);
    let body = StreamBody::new(unfold(body, ForwardedBody::next_frame));
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

fn failure_response(failure: &Failure) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from(failure.why.clone())));
    *response.status_mut() = match failure.outcome {
        ForwardOutcome::Lost => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let outcome = HeaderValue::from_static(failure.outcome.name());
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

/// The body of a response that is passed on.
struct ForwardedBody {
    shared: Arc<Shared>,
    body: LimitedBody,
    /// Whether an end is an interruption, since a stream without a length has sent nothing. The
    /// other daemon gets the body in chunks and can't tell.
    needs_bytes: bool,
    /// Looks for a second response in the body; `None` if the end of the body is marked.
    second: Option<SecondResponse>,
    /// The connection to the server at this address, and its idle timeout; `None` after the
    /// end of the body.
    connection: Option<(SocketAddr, client::Connection, Option<Duration>)>,
    /// Counts the request as active.
    _active: ActiveRequests,
}

impl ForwardedBody {
    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, Interrupted>, Self)> {
        self.connection.as_ref()?;
        match self.body.frame().await {
            Some(Ok(frame)) if !self.has_second_response(&frame) => {
                self.needs_bytes = false;
                Some((Ok(frame), self))
            }
            None if !self.needs_bytes => {
                if let Some((addr, connection, keep_alive)) = self.connection.take() {
                    self.shared.client.release(addr, connection, keep_alive);
                }
                None
            }
            None | Some(_) => {
                self.connection = None;
                Some((Err(Interrupted), self))
            }
        }
    }

    fn has_second_response(&mut self, frame: &Frame<Bytes>) -> bool {
        let bytes = frame.data_ref();
        let second = self.second.as_mut();
        second.zip(bytes).is_some_and(|(second, bytes)| second.is_in(bytes))
    }
}
