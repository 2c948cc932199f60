//! What callers connect to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::to_bytes;
use axum::extract::{Path, Request, State};
use axum::http::HeaderMap;
use axum::response::Response;
use axum::routing::{any, get, post};
use chestnut_base::{
    CallerName, MemberId, Refusal, RefusalCode, RequestId, RequestSpec, slot_of,
};
use chestnut_member::ClaimKey;
use chestnut_wire::{HttpCall, OnceRequest, OnceState, PeerRequest, PeerResponse};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::answer;
use crate::node::Node;
use crate::parse::{self, Parsed};
use crate::peer::PeerError;
use crate::relay::{self, Mode};
use crate::slots::Slots;

const FRAMES_AHEAD: usize = 64;

/// How long a request waits for its slot to have a lead before it is refused.
///
/// A planned handover takes some hundred milliseconds until all know of it. After
/// a kill the lease must lapse first; then the caller is told when to return.
const SETTLE: Duration = Duration::from_millis(1200);

/// The pause before the slot's lead is looked for again.
const PAUSE: Duration = Duration::from_millis(50);

/// The routes that callers use.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/entry", get(entries))
        .route("/v1/models", get(models))
        .route("/v1/completions", post(completion))
        .route("/v1/chat/completions", post(completion))
        .route("/v1/requests/{key}", get(lookup))
        .route("/svc/{*path}", any(service))
        .fallback(unknown)
        .with_state(node)
}

/// The requests that the entry holds, bounded in number and bytes.
///
/// Without the bound a burst of large bodies would use up the small VM's memory
/// and the daemon would die with every request that it holds.
#[derive(Debug)]
pub struct Intake {
    held: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    limit: usize,
    memory: usize,
}

/// A request's place in the entry; dropping it frees the place.
#[derive(Debug)]
pub struct Place {
    held: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    size: usize,
}

impl Intake {
    /// Creates an empty intake for `limit` requests with `memory` bytes of bodies.
    pub fn new(limit: usize, memory: usize) -> Self {
        Self { held: Arc::default(), bytes: Arc::default(), limit, memory }
    }

    /// The number of requests that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// Takes a place for a request whose body may have `size` bytes.
    pub fn take(&self, size: usize) -> Option<Place> {
        let place = Place { held: self.held.clone(), bytes: self.bytes.clone(), size };
        let held = self.held.fetch_add(1, Ordering::SeqCst);
        let bytes = self.bytes.fetch_add(size, Ordering::SeqCst);
        (held < self.limit && bytes + size <= self.memory).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.held.fetch_sub(1, Ordering::SeqCst);
        self.bytes.fetch_sub(self.size, Ordering::SeqCst);
    }
}

/// Answers which addresses to use and for how long.
async fn entries(State(node): State<Arc<Node>>) -> Response {
    let keep = node.shared.settings.times.address_ttl.as_millis() as u64;
    let entries: Vec<Value> = node
        .shared
        .entries()
        .into_iter()
        .map(|addr| json!({ "address": addr.to_string(), "keep_ms": keep }))
        .collect();
    let vm = node.shared.settings.vm.as_str();
    answer::json(200, &json!({ "vm": vm, "entries": entries }))
}

/// Lists the names that callers may put into `model`.
async fn models(State(node): State<Arc<Node>>) -> Response {
    let catalog = node.shared.catalog();
    let data: Vec<Value> = catalog
        .routes
        .keys()
        .map(|name| json!({ "id": name, "object": "model" }))
        .collect();
    answer::json(200, &json!({ "object": "list", "data": data }))
}

async fn completion(State(node): State<Arc<Node>>, request: Request) -> Response {
    handle(node, request, parse::completion).await
}

async fn service(State(node): State<Arc<Node>>, request: Request) -> Response {
    handle(node, request, parse::service).await
}

async fn unknown(request: Request) -> Response {
    let text =
        format!("there is nothing at {}; see the API's page", request.uri().path());
    answer::refusal(&Refusal::not_run(RefusalCode::UnknownService, text))
}

/// Answers what became of an earlier non-idempotent request.
async fn lookup(
    State(node): State<Arc<Node>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    let caller = match parse::caller(&node.shared.catalog(), &headers) {
        Ok(caller) => caller,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let id = RequestId { caller, key };
    answer::once_state(&ask_state(&node, id).await)
}

/// Reads a request and hands it to its slot's lead or drives it from here.
async fn handle(
    node: Arc<Node>,
    request: Request,
    parse: fn(&Node, CallerName, &HttpCall, &HeaderMap) -> Result<Parsed, Refusal>,
) -> Response {
    match accept(&node, request, parse).await {
        Ok((parsed, call, place)) => start(node, parsed, call, place).await,
        Err(refusal) => {
            node.shared.metrics.refused(&refusal);
            answer::refusal(&refusal)
        }
    }
}

async fn accept(
    node: &Arc<Node>,
    request: Request,
    parse: fn(&Node, CallerName, &HttpCall, &HeaderMap) -> Result<Parsed, Refusal>,
) -> Result<(Parsed, HttpCall, Place), Refusal> {
    let shared = &node.shared;
    shared.check_open()?;
    let (parts, body) = request.into_parts();
    let caller = parse::caller(&shared.catalog(), &parts.headers)?;
    let limit = shared.settings.limits.max_body_bytes;
    let size = parse::body_size(&parts.headers, limit)?;
    let place = node.intake.take(size).ok_or_else(entry_full)?;
    let body = to_bytes(body, size).await.map_err(|_| parse::too_large(limit))?;
    let call = HttpCall {
        method: parts.method.to_string(),
        path: parts
            .uri
            .path_and_query()
            .map_or_else(String::new, |path| path.to_string()),
        content_type: parse::text(&parts.headers, "content-type").to_owned(),
        body,
    };
    let parsed = parse(node, caller, &call, &parts.headers)?;
    shared.demand.note(&parsed.work);
    if parsed.work.idempotent {
        node.poison.check(parsed.work.digest, shared.clock.now())?;
    }
    Ok((parsed, call, place))
}

async fn start(
    node: Arc<Node>,
    parsed: Parsed,
    call: HttpCall,
    place: Place,
) -> Response {
    let Parsed { work, call_path, form } = parsed;
    let call = HttpCall { path: call_path, ..call };
    let (out, frames) = mpsc::channel(FRAMES_AHEAD);
    let job = node.clone();
    let shown = work.clone();
    tokio::spawn(async move {
        if work.idempotent {
            relay::run(&job, work, call, Mode::Many, out).await;
        } else {
            run_once(&job, work, call, out).await;
        }
    });
    answer::respond(node, shown, form, frames, place).await
}

/// Hands a non-idempotent request to the lead of its slot.
async fn run_once(
    node: &Arc<Node>,
    work: RequestSpec,
    call: HttpCall,
    out: mpsc::Sender<PeerResponse>,
) {
    let Some(id) = work.id.clone() else {
        let text = "a non-idempotent request needs an `Idempotency-Key` header";
        let refusal = Refusal::not_run(RefusalCode::BadRequest, text);
        return refuse(&out, refusal).await;
    };
    let key = ClaimKey::Slot(slot_of(&id, node.shared.settings.limits.journal_slots));
    let now = node.shared.clock.now();
    let (end, settled) = (now + work.budget, now + SETTLE.min(work.budget));
    let once = OnceRequest { request: work, call };
    let served = async {
        while let Some(refusal) = hand_over(node, &key, once.clone(), &out).await {
            if node.shared.clock.now() >= settled {
                return refuse(&out, refusal).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::select! {
        () = served => {}
        () = tokio::time::sleep_until(end.into()) => {
            // The run itself goes on at the slot's lead, and its answer is kept.
            drop(out.send(overdue()).await);
        }
    }
}

/// Hands a request to the lead of its slot and its frames to the caller.
///
/// Returns a refusal if the slot has no lead just now. Asking again is safe: the
/// journal runs an id once, however often it is asked for.
async fn hand_over(
    node: &Arc<Node>,
    key: &ClaimKey,
    once: OnceRequest,
    out: &mpsc::Sender<PeerResponse>,
) -> Option<Refusal> {
    let view = node.shared.view();
    let Some((claim, member)) = view.holder(key) else {
        return Some(leadless("has no lead now"));
    };
    let (holder, addr) = (claim.holder, member.peer_addr);
    let (own, mut frames) = mpsc::channel(FRAMES_AHEAD);
    let job = node.clone();
    tokio::spawn(async move { ask_once(&job, holder, addr, once, &own).await });
    loop {
        let say = tokio::select! {
            say = frames.recv() => say?,
            () = out.closed() => return None,
        };
        if let PeerResponse::Refused { refusal, .. } = &say
            && refusal.code == RefusalCode::Unavailable
        {
            return Some(refusal.clone());
        }
        if out.send(say).await.is_err() {
            return None;
        }
    }
}

/// Passes a non-idempotent request's answer on from the lead of its slot.
async fn ask_once(
    node: &Arc<Node>,
    holder: MemberId,
    addr: SocketAddr,
    once: OnceRequest,
    out: &mpsc::Sender<PeerResponse>,
) {
    if holder == node.shared.me {
        return Slots::run(node, once, out.clone()).await;
    }
    match node.peers.ask(addr, &PeerRequest::Once(once)).await {
        Ok(mut answer) => loop {
            let say = tokio::select! {
                say = answer.next() => say,
                () = out.closed() => return,
            };
            let say = say.unwrap_or_else(|error| {
                node.peers.forget(addr);
                lost(&error)
            });
            let last = say.is_final();
            if out.send(say).await.is_err() || last {
                return;
            }
        },
        Err(PeerError::NotSent(_)) => {
            refuse(out, leadless("can't be reached")).await;
        }
        Err(error) => drop(out.send(lost(&error)).await),
    }
}

async fn ask_state(node: &Arc<Node>, id: RequestId) -> OnceState {
    let key = ClaimKey::Slot(slot_of(&id, node.shared.settings.limits.journal_slots));
    let view = node.shared.view();
    let Some((claim, member)) = view.holder(&key) else {
        return OnceState::Unreadable("the journal has no holder now; ask again".into());
    };
    if claim.holder == node.shared.me {
        return Slots::lookup(node, &id).await;
    }
    match node.peers.ask_once(member.peer_addr, &PeerRequest::Lookup(id)).await {
        Ok(PeerResponse::Once(state)) => state,
        Ok(_) => OnceState::Unreadable("the journal's lead gave no state".into()),
        Err(error) => OnceState::Unreadable(error.to_string()),
    }
}

fn lost(error: &PeerError) -> PeerResponse {
    let text = format!("{error}; ask for the outcome under /v1/requests/KEY");
    let refusal = Refusal::in_doubt(RefusalCode::Started, text);
    PeerResponse::Refused { refusal, hint: Default::default() }
}

fn overdue() -> PeerResponse {
    let text = "no answer came by the deadline; ask for the outcome under \
        /v1/requests/KEY";
    let refusal = Refusal::in_doubt(RefusalCode::Deadline, text);
    PeerResponse::Refused { refusal, hint: Default::default() }
}

/// The refusal of a request whose slot has no lead that can be asked.
///
/// An earlier try under the same key may have run, so that it is in doubt.
fn leadless(why: &str) -> Refusal {
    let text = format!(
        "the journal of the request's key {why}; send it again with the same key"
    );
    Refusal::in_doubt(RefusalCode::Unavailable, text)
        .with_retry_after(Duration::from_secs(1))
}

fn entry_full() -> Refusal {
    let text = "this entry holds as many requests as it may; use another address";
    Refusal::not_run(RefusalCode::EntryFull, text)
        .with_retry_after(Duration::from_millis(500))
}

async fn refuse(out: &mpsc::Sender<PeerResponse>, refusal: Refusal) {
    // The caller may be gone; then nobody needs the answer.
    drop(out.send(PeerResponse::Refused { refusal, hint: Default::default() }).await);
}
