//! The HTTP server that callers connect to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, Request, State};
use axum::http::HeaderMap;
use axum::response::Response;
use axum::routing::{any, get, post};
use chestnut_base::{
    CallerName, MemberId, Refusal, RefusalCode, RequestId, RequestSpec, slot_of,
};
use chestnut_intake::{BodyError, Connection, body};
use chestnut_member::ClaimKey;
use chestnut_wire::{HttpCall, OnceRequest, OnceState, PeerRequest, PeerResponse};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::account_limits::{self, Charge};
use crate::node::Node;
use crate::parse::{self, ParsedRequest};
use crate::peer::PeerError;
use crate::relay::{self, DispatchMode};
use crate::response;
use crate::slots::JournalSlots;

/// Frames of a response that may be buffered ahead of the caller.
const FRAME_BUFFER: usize = 64;

/// How long a request waits for its journal slot to have a lead before it is refused.
///
/// A planned handover reaches all daemons within some hundred milliseconds. After a
/// crash the lease must expire first, which takes longer; the caller then gets a
/// `Retry-After`.
const LEAD_WAIT_LIMIT: Duration = Duration::from_millis(1200);

/// How long a request waits for this daemon to join before it is refused.
///
/// Callers may know the address from before a restart, and other daemons may list it before
/// this one learns that its row was written. Joining takes some polls of the table.
const JOIN_WAIT_LIMIT: Duration = Duration::from_millis(1200);

/// How long the body of a request may take to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// The time between two lookups of a slot's lead.
const LEAD_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The routes of the caller API.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/entry", get(entries))
        .route("/v1/models", get(models))
        .route("/v1/completions", post(completion))
        .route("/v1/chat/completions", post(completion))
        .route("/v1/requests/{key}", get(lookup))
        .route("/svc/{*path}", any(service))
        .fallback(unknown_path)
        .with_state(node)
}

/// Limits the requests in flight at this entry, in number and in bytes of their bodies.
///
/// Without the limit a burst of large bodies would exhaust the memory of a small VM, and
/// the daemon would die with all its requests.
#[derive(Debug)]
pub struct RequestLimiter {
    in_flight: Arc<AtomicUsize>,
    body_bytes: Arc<AtomicUsize>,
    max_requests: usize,
    max_body_bytes: usize,
}

/// Permission to keep one request in flight; dropping it releases its share of the limit.
#[derive(Debug)]
pub struct RequestPermit {
    in_flight: Arc<AtomicUsize>,
    body_bytes: Arc<AtomicUsize>,
    size: usize,
}

impl RequestLimiter {
    /// Allows `max_requests` requests at a time, with `max_body_bytes` in all bodies.
    pub fn new(max_requests: usize, max_body_bytes: usize) -> Self {
        Self {
            in_flight: Arc::default(),
            body_bytes: Arc::default(),
            max_requests,
            max_body_bytes,
        }
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Reserves room for a request whose body may have `size` bytes; `None` if either
    /// limit is reached.
    pub fn try_acquire(&self, size: usize) -> Option<RequestPermit> {
        let permit = RequestPermit {
            in_flight: self.in_flight.clone(),
            body_bytes: self.body_bytes.clone(),
            size,
        };
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let body_bytes = self.body_bytes.fetch_add(size, Ordering::SeqCst);
        (in_flight < self.max_requests && body_bytes + size <= self.max_body_bytes)
            .then_some(permit)
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.body_bytes.fetch_sub(self.size, Ordering::SeqCst);
    }
}

/// Returns the addresses that callers may use, and how long they may cache them.
async fn entries(State(node): State<Arc<Node>>) -> Response {
    let ttl_ms = node.shared.settings.times.address_ttl.as_millis() as u64;
    let entries: Vec<Value> = node
        .shared
        .caller_addresses()
        .into_iter()
        .map(|addr| json!({ "address": addr.to_string(), "keep_ms": ttl_ms }))
        .collect();
    let vm = node.shared.settings.vm.as_str();
    response::json(200, &json!({ "vm": vm, "entries": entries }))
}

/// Lists the declared routes: the names that callers may put into `model`.
async fn models(State(node): State<Arc<Node>>) -> Response {
    let catalog = node.shared.catalog();
    let data: Vec<Value> = catalog
        .routes
        .keys()
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    response::json(200, &json!({ "object": "list", "data": data }))
}

async fn completion(State(node): State<Arc<Node>>, request: Request) -> Response {
    handle_request(node, request, parse::parse_completion).await
}

async fn service(State(node): State<Arc<Node>>, request: Request) -> Response {
    handle_request(node, request, parse::parse_service_call).await
}

async fn unknown_path(request: Request) -> Response {
    let text =
        format!("no such path: {}; see the API documentation", request.uri().path());
    response::refusal(&Refusal::not_run(RefusalCode::UnknownService, text))
}

/// Returns the state of an earlier non-idempotent request.
async fn lookup(
    State(node): State<Arc<Node>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    let caller = match parse::authenticate(&node.shared.catalog(), &headers) {
        Ok(caller) => caller,
        Err(refusal) => return response::refusal(&refusal),
    };
    let id = RequestId { caller, key };
    response::once_state(&lookup_state(&node, id).await)
}

/// Accepts a request and runs it: an idempotent one directly, any other one through the
/// lead of its journal slot.
async fn handle_request(
    node: Arc<Node>,
    request: Request,
    parse: fn(&Node, CallerName, &HttpCall, &HeaderMap) -> Result<ParsedRequest, Refusal>,
) -> Response {
    match accept_request(&node, request, parse).await {
        Ok(accepted) => start_request(node, accepted).await,
        Err(refusal) => {
            node.shared.metrics.record_refused(&refusal);
            response::refusal(&refusal)
        }
    }
}

/// A request that is about to run.
struct Accepted {
    parsed: ParsedRequest,
    call: HttpCall,
    permit: RequestPermit,
    /// The charge to its caller's limit, if the caller has one.
    charge: Option<Charge>,
}

async fn accept_request(
    node: &Arc<Node>,
    request: Request,
    parse: fn(&Node, CallerName, &HttpCall, &HeaderMap) -> Result<ParsedRequest, Refusal>,
) -> Result<Accepted, Refusal> {
    let shared = &node.shared;
    shared.wait_until_joined(JOIN_WAIT_LIMIT).await;
    shared.check_accepts_requests()?;
    let (parts, body) = request.into_parts();
    let caller = parse::authenticate(&shared.catalog(), &parts.headers)?;
    let limit = shared.settings.limits.max_body_bytes;
    let size = parse::body_size(&parts.headers, limit)?;
    let connection = parts.extensions.get::<Arc<Connection>>();
    let connection = connection.filter(|connection| !connection.is_refusing());
    let connection = connection.ok_or_else(entry_full)?;
    let deadline = shared.clock.now() + BODY_TIMEOUT;
    let body = body::read(body, connection, size, deadline).await;
    let body = body.map_err(|error| unread_body(&error, limit))?;
    let permit = node.request_limiter.try_acquire(body.len()).ok_or_else(entry_full)?;
    let call = HttpCall {
        method: parts.method.to_string(),
        path: parts
            .uri
            .path_and_query()
            .map_or_else(String::new, |path| path.to_string()),
        content_type: parse::header_text(&parts.headers, "content-type").to_owned(),
        body,
    };
    let parsed = parse(node, caller, &call, &parts.headers)?;
    if parsed.request.idempotent {
        node.poison.check(parsed.request.digest, shared.clock.now())?;
    }
    let charge = account_limits::charge(node, &parsed.request).await?;
    shared.demand.record(&parsed.request);
    Ok(Accepted { parsed, call, permit, charge })
}

async fn start_request(
    node: Arc<Node>,
    Accepted { parsed, call, permit, charge }: Accepted,
) -> Response {
    let ParsedRequest { request, server_path, format } = parsed;
    let call = HttpCall { path: server_path, ..call };
    let (out, frames) = mpsc::channel(FRAME_BUFFER);
    let task_node = node.clone();
    let spec = request.clone();
    tokio::spawn(async move {
        if request.idempotent {
            relay::run(&task_node, request, call, DispatchMode::Repeatable, out).await;
        } else {
            run_once(&task_node, request, call, out).await;
        }
    });
    response::respond(node, spec, format, frames, permit, charge).await
}

/// Runs a non-idempotent request through the lead of its slot, waiting for a lead for up
/// to [`LEAD_WAIT_LIMIT`].
async fn run_once(
    node: &Arc<Node>,
    request: RequestSpec,
    call: HttpCall,
    out: mpsc::Sender<PeerResponse>,
) {
    let Some(id) = request.id.clone() else {
        let text = "a non-idempotent request needs an `Idempotency-Key` header";
        let refusal = Refusal::not_run(RefusalCode::BadRequest, text);
        return refuse(&out, refusal).await;
    };
    let key = ClaimKey::Slot(slot_of(&id, node.shared.settings.limits.journal_slots));
    let now = node.shared.clock.now();
    let (deadline, lead_deadline) =
        (now + request.budget, now + LEAD_WAIT_LIMIT.min(request.budget));
    let once = OnceRequest { request, call };
    let run = async {
        while let Some(refusal) = send_to_lead(node, &key, once.clone(), &out).await {
            if node.shared.clock.now() >= lead_deadline {
                return refuse(&out, refusal).await;
            }
            tokio::time::sleep(LEAD_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = run => {}
        () = tokio::time::sleep_until(deadline.into()) => {
            // The run continues at the slot's lead, and its response is stored.
            drop(out.send(deadline_exceeded()).await);
        }
    }
}

/// Sends a request to the lead of its slot and forwards the frames to the caller.
///
/// Returns a refusal if the slot has no lead now. Sending again is safe, since the journal
/// runs an id once however often it is submitted.
async fn send_to_lead(
    node: &Arc<Node>,
    key: &ClaimKey,
    once: OnceRequest,
    out: &mpsc::Sender<PeerResponse>,
) -> Option<Refusal> {
    let view = node.shared.view();
    let Some((claim, member)) = view.holder(key) else {
        return Some(lead_unavailable("has no lead now"));
    };
    let (holder, addr) = (claim.holder, member.peer_addr);
    let (lead_out, mut frames) = mpsc::channel(FRAME_BUFFER);
    let task_node = node.clone();
    tokio::spawn(
        async move { forward_once(&task_node, holder, addr, once, &lead_out).await },
    );
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame?,
            () = out.closed() => return None,
        };
        if let PeerResponse::Refused { refusal, .. } = &frame
            && refusal.code == RefusalCode::Unavailable
        {
            return Some(refusal.clone());
        }
        if out.send(frame).await.is_err() {
            return None;
        }
    }
}

/// Forwards the response to a non-idempotent request from the lead of its slot.
async fn forward_once(
    node: &Arc<Node>,
    holder: MemberId,
    addr: SocketAddr,
    once: OnceRequest,
    out: &mpsc::Sender<PeerResponse>,
) {
    if holder == node.shared.me {
        return JournalSlots::submit(node, once, out.clone()).await;
    }
    match node.peers.request_stream(addr, &PeerRequest::Once(once)).await {
        Ok(mut response) => loop {
            let frame = tokio::select! {
                frame = response.next() => frame,
                () = out.closed() => return,
            };
            let frame = frame.unwrap_or_else(|error| connection_lost(&error));
            let last = frame.is_final();
            if out.send(frame).await.is_err() || last {
                return;
            }
        },
        Err(PeerError::NotSent(_)) => {
            refuse(out, lead_unavailable("can't be reached")).await;
        }
        Err(error) => drop(out.send(connection_lost(&error)).await),
    }
}

async fn lookup_state(node: &Arc<Node>, id: RequestId) -> OnceState {
    let key = ClaimKey::Slot(slot_of(&id, node.shared.settings.limits.journal_slots));
    let view = node.shared.view();
    let Some((claim, member)) = view.holder(&key) else {
        return OnceState::Unreadable("the journal slot has no lead now".into());
    };
    if claim.holder == node.shared.me {
        return JournalSlots::lookup(node, &id).await;
    }
    match node.peers.request(member.peer_addr, &PeerRequest::Lookup(id)).await {
        Ok(PeerResponse::Once(state)) => state,
        Ok(_) => OnceState::Unreadable(
            "the journal slot's lead sent an unexpected response".into(),
        ),
        Err(error) => OnceState::Unreadable(error.to_string()),
    }
}

fn connection_lost(error: &PeerError) -> PeerResponse {
    let text = format!("{error}; look up the outcome under /v1/requests/KEY");
    let refusal = Refusal::in_doubt(RefusalCode::Started, text);
    PeerResponse::Refused { refusal, hint: Default::default() }
}

fn deadline_exceeded() -> PeerResponse {
    let text = "no response came by the deadline; look up the outcome under \
        /v1/requests/KEY";
    let refusal = Refusal::in_doubt(RefusalCode::Deadline, text);
    PeerResponse::Refused { refusal, hint: Default::default() }
}

/// The refusal of a request whose slot has no reachable lead.
///
/// The outcome is in doubt, since an earlier attempt under the same key may have run.
fn lead_unavailable(reason: &str) -> Refusal {
    let text = format!(
        "the journal slot of the request's key {reason}; send it again with the same key"
    );
    Refusal::in_doubt(RefusalCode::Unavailable, text)
        .with_retry_after(Duration::from_secs(1))
}

/// The refusal of a request whose body was not read to its end.
fn unread_body(error: &BodyError, limit: usize) -> Refusal {
    match error {
        BodyError::TooLarge(_) => parse::body_too_large(limit),
        BodyError::OutOfMemory => entry_full(),
        BodyError::Late => Refusal::not_run(RefusalCode::Deadline, error.to_string())
            .with_retry_after(Duration::ZERO),
        BodyError::Invalid(_) => {
            Refusal::not_run(RefusalCode::BadRequest, error.to_string())
        }
    }
}

fn entry_full() -> Refusal {
    let text = "this entry has as many requests in flight as it may; use another address";
    Refusal::not_run(RefusalCode::EntryFull, text)
        .with_retry_after(Duration::from_millis(500))
}

async fn refuse(out: &mpsc::Sender<PeerResponse>, refusal: Refusal) {
    // Fails only if the caller has disconnected.
    drop(out.send(PeerResponse::Refused { refusal, hint: Default::default() }).await);
}
