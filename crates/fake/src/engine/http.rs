//! The engine's HTTP interface.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{ConnectInfo, Path, Query, Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};

use super::batch::{BatchError, GenerationRequest};
use super::feed::{Feed, Shape};
use super::orders::{Order, OrderError};
use super::text::prompt_tokens;
use super::{Engine, EngineCounts};
use crate::faults::{self, OrderFault};
use crate::port::Peer;

/// The length of an answer whose request names none.
const MAX_TOKENS: u32 = 16;

type Shared = State<Arc<Engine>>;

pub(super) fn router(engine: Arc<Engine>) -> Router {
    let faults = engine.faults.clone();
    Router::new()
        .route("/v1/completions", post(complete))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/requests/{id}", get(attach).delete(cancel))
        .route("/v1/orders", post(order_model))
        .route("/v1/load_lora_adapter", post(load_adapter))
        .route("/v1/unload_lora_adapter", post(unload_adapter))
        .route("/v1/report", get(report))
        .route("/v1/cache-events", get(cache_events))
        .layer(from_fn_with_state(engine.clone(), wait_thawed))
        .route("/counts", get(counts))
        .with_state(engine)
        .merge(faults::routes(faults))
}

async fn wait_thawed(State(engine): Shared, request: Request, next: Next) -> Response {
    engine.thawed().await;
    next.run(request).await
}

/// A request's body in the fields that matter.
#[derive(Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u32,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

async fn complete(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(ask): Json<Ask>,
) -> Response {
    run(engine, peer, headers, ask, Shape::Completion).await
}

async fn chat(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(mut ask): Json<Ask>,
) -> Response {
    let contents: Vec<_> = ask.messages.iter().map(|m| m.content.as_str()).collect();
    ask.prompt = contents.join("\n");
    run(engine, peer, headers, ask, Shape::Chat).await
}

async fn run(
    engine: Arc<Engine>,
    peer: Peer,
    headers: HeaderMap,
    ask: Ask,
    shape: Shape,
) -> Response {
    let Some(id) = text_header(&headers, "x-request-id") else {
        return refuse(StatusCode::BAD_REQUEST, "id", "send an x-request-id");
    };
    let stream = ask.stream;
    let question = question(&headers, ask);
    let taken = {
        let mut life = engine.life();
        if !life.core.memory.is_ready(&question.model) {
            let why = format!("{} is not loaded", question.model);
            return refuse(StatusCode::NOT_FOUND, "model", &why);
        }
        if life.core.batch.waiting() >= engine.config.max_waiting {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "full", "the queue is full");
        }
        life.core.batch.submit(&id, question.clone())
    };
    let progress = match taken {
        Ok(progress) => progress,
        Err(BatchError::TooLong) => {
            let why = "the request does not fit into the KV cache; shorten it";
            return refuse(StatusCode::BAD_REQUEST, "long", why);
        }
        Err(BatchError::DuplicateId) => {
            return refuse(StatusCode::CONFLICT, "id", "the id is in use");
        }
    };
    engine.work.notify_one();
    let from = question.start_token;
    let feed = Feed::new(engine, peer, id, question, from, shape, progress);
    if stream { feed.stream() } else { feed.whole().await }
}

fn question(headers: &HeaderMap, ask: Ask) -> GenerationRequest {
    let priority = text_header(headers, "x-priority").and_then(|text| text.parse().ok());
    let until = ask.max_tokens.unwrap_or(MAX_TOKENS).max(1);
    GenerationRequest {
        prompt_tokens: prompt_tokens(&ask.prompt),
        model: ask.model,
        prompt: ask.prompt,
        // At least one token is generated, so that every request has an end.
        start_token: ask.resume_from.min(until - 1),
        end_token: until,
        priority: priority.unwrap_or(1),
    }
}

#[derive(Deserialize)]
struct Start {
    #[serde(default)]
    from: u32,
}

async fn attach(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    Path(id): Path<String>,
    Query(query): Query<Start>,
) -> Response {
    let found = engine
        .life()
        .core
        .batch
        .watch(&id)
        .map(|(question, progress)| (question.clone(), progress));
    let Some((question, progress)) = found else {
        return refuse(StatusCode::NOT_FOUND, "id", "no such request");
    };
    let from = query.from;
    Feed::new(engine, peer, id, question, from, Shape::Completion, progress).stream()
}

async fn cancel(State(engine): Shared, Path(id): Path<String>) -> Response {
    if engine.life().core.batch.cancel(&id) {
        StatusCode::NO_CONTENT.into_response()
    } else {
        refuse(StatusCode::NOT_FOUND, "id", "no such request")
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
enum ModelOrder {
    Load { model: String, version: String, bytes: u64 },
    Unload { model: String, version: String },
}

#[derive(Deserialize)]
struct LoadAdapter {
    lora_name: String,
    base_model_name: String,
    bytes: u64,
}

#[derive(Deserialize)]
struct UnloadAdapter {
    lora_name: String,
}

async fn order_model(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(order): Json<ModelOrder>,
) -> Response {
    let order = match order {
        ModelOrder::Load { model, version, bytes } => {
            Order::LoadModel { name: format!("{model}@{version}"), bytes }
        }
        ModelOrder::Unload { model, version } => {
            Order::Unload { name: format!("{model}@{version}") }
        }
    };
    take_order(engine, peer, headers, order).await
}

async fn load_adapter(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(load): Json<LoadAdapter>,
) -> Response {
    let (name, base, bytes) = (load.lora_name, load.base_model_name, load.bytes);
    take_order(engine, peer, headers, Order::LoadAdapter { name, base, bytes }).await
}

async fn unload_adapter(
    State(engine): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    headers: HeaderMap,
    Json(unload): Json<UnloadAdapter>,
) -> Response {
    take_order(engine, peer, headers, Order::Unload { name: unload.lora_name }).await
}

/// Takes an order up, or does with it what the faults say.
async fn take_order(
    engine: Arc<Engine>,
    peer: Peer,
    headers: HeaderMap,
    order: Order,
) -> Response {
    let number = |name| text_header(&headers, name).and_then(|text| text.parse().ok());
    let (Some(id), Some(fence)) = (number("x-order-id"), number("x-fence")) else {
        let why = "send an x-order-id and an x-fence, both whole numbers";
        return refuse(StatusCode::BAD_REQUEST, "order", why);
    };
    let (fault, late) = {
        let faults = engine.faults.lock();
        (faults.orders, Duration::from_millis(faults.late_ms))
    };
    match fault {
        OrderFault::None => {}
        OrderFault::Lost => return peer.hang_up().await,
        OrderFault::Late => {
            order_later(engine, late, id, fence, order);
            return peer.hang_up().await;
        }
        OrderFault::Twice => order_later(engine.clone(), late, id, fence, order.clone()),
    }
    match engine.order(id, fence, order) {
        Ok(()) => StatusCode::ACCEPTED.into_response(),
        Err(OrderError::Fenced(fence)) => {
            let body = json!({"code": "fenced", "fence": fence});
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        Err(OrderError::Memory(error)) => {
            refuse(StatusCode::CONFLICT, "memory", &error.to_string())
        }
    }
}

fn order_later(engine: Arc<Engine>, late: Duration, id: u64, fence: u64, order: Order) {
    tokio::spawn(async move {
        tokio::time::sleep(late).await;
        // A late copy has nobody to tell; the counts show whether it was refused.
        engine.order(id, fence, order).ok();
    });
}

async fn report(State(engine): Shared) -> Json<Value> {
    let mut life = engine.life();
    life.reports += 1;
    let models = life.core.memory.models.iter().map(|(name, held)| {
        let (model, version) = name.split_once('@').unwrap_or((name, ""));
        let (bytes, state) = (held.bytes, held.state);
        json!({"model": model, "version": version, "bytes": bytes, "state": state})
    });
    let adapters = life.core.memory.adapters.iter().map(|(name, (model, held))| {
        let (bytes, state) = (held.bytes, held.state);
        json!({"adapter": name, "model": model, "bytes": bytes, "state": state})
    });
    let orders =
        life.orders.states().map(|(id, state)| json!({"order": id, "state": state}));
    Json(json!({
        "incarnation": life.incarnation,
        "seq": life.reports,
        "capacity": life.core.memory.capacity,
        "used": life.core.memory.used,
        "models": models.collect::<Vec<_>>(),
        "adapters": adapters.collect::<Vec<_>>(),
        "orders": orders.collect::<Vec<_>>(),
        "running": life.load.running,
        "waiting": life.load.waiting,
        "kv_tokens": life.load.tokens,
        "step_us": life.load.step.as_micros() as u64,
    }))
}

#[derive(Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn cache_events(State(engine): Shared, Query(query): Query<Since>) -> Response {
    let (lag, gap) = {
        let faults = engine.faults.lock();
        (Duration::from_millis(faults.cache_lag_ms), faults.cache_gap)
    };
    let life = engine.life();
    Json(life.core.cache.read(Instant::now(), query.since, lag, gap)).into_response()
}

async fn counts(State(engine): Shared) -> Json<EngineCounts> {
    Json(engine.counts.lock().expect("no holder of the counts panics").clone())
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn refuse(status: StatusCode, code: &str, message: &str) -> Response {
    (status, Json(json!({"code": code, "message": message}))).into_response()
}
