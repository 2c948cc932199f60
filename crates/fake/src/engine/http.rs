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
use super::orders::{Order, OrderError};
use super::response::{GenerationResponse, ResponseFormat};
use super::text::prompt_tokens;
use super::{Engine, EngineCounts};
use crate::faults::{self, OrderFault};
use crate::listener::Connection;

/// The length of a response if the request doesn't specify `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

type SharedEngine = State<Arc<Engine>>;

pub(super) fn router(engine: Arc<Engine>) -> Router {
    let faults = engine.faults.clone();
    Router::new()
        .route("/v1/completions", post(create_completion))
        .route("/v1/chat/completions", post(create_chat_completion))
        .route("/v1/requests/{id}", get(read_response).delete(cancel))
        .route("/v1/orders", post(order_model))
        .route("/v1/load_lora_adapter", post(load_adapter))
        .route("/v1/unload_lora_adapter", post(unload_adapter))
        .route("/v1/report", get(get_report))
        .route("/v1/cache-events", get(get_cache_events))
        .layer(from_fn_with_state(engine.clone(), delay_while_frozen))
        .route("/counts", get(get_counts))
        .with_state(engine)
        .merge(faults::routes(faults))
}

async fn delay_while_frozen(
    State(engine): SharedEngine,
    request: Request,
    next: Next,
) -> Response {
    engine.wait_while_frozen().await;
    next.run(request).await
}

/// The body of a completion or chat request.
#[derive(Deserialize)]
struct CompletionBody {
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

async fn create_completion(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    headers: HeaderMap,
    Json(body): Json<CompletionBody>,
) -> Response {
    generate(engine, connection, headers, body, ResponseFormat::Completion).await
}

async fn create_chat_completion(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    headers: HeaderMap,
    Json(mut body): Json<CompletionBody>,
) -> Response {
    let contents: Vec<_> = body.messages.iter().map(|m| m.content.as_str()).collect();
    body.prompt = contents.join("\n");
    generate(engine, connection, headers, body, ResponseFormat::Chat).await
}

async fn generate(
    engine: Arc<Engine>,
    connection: Connection,
    headers: HeaderMap,
    body: CompletionBody,
    format: ResponseFormat,
) -> Response {
    let Some(id) = header_text(&headers, "x-request-id") else {
        return reject(
            StatusCode::BAD_REQUEST,
            "id",
            "the header x-request-id is required",
        );
    };
    let stream = body.stream;
    let request = generation_request(&headers, body);
    let submitted = {
        let mut state = engine.state();
        if !state.core.memory.is_ready(&request.model) {
            let message = format!("{} is not loaded; load it first", request.model);
            return reject(StatusCode::NOT_FOUND, "model", &message);
        }
        if state.core.batch.waiting() >= engine.config.max_waiting {
            return reject(
                StatusCode::SERVICE_UNAVAILABLE,
                "full",
                "the queue is full; retry later",
            );
        }
        state.core.batch.submit(&id, request.clone())
    };
    let progress = match submitted {
        Ok(progress) => progress,
        Err(BatchError::TooLong) => {
            let message = "the request exceeds the capacity of the KV cache; shorten it";
            return reject(StatusCode::BAD_REQUEST, "long", message);
        }
        Err(BatchError::DuplicateId) => {
            return reject(
                StatusCode::CONFLICT,
                "id",
                "the request id is in use; choose another",
            );
        }
    };
    engine.work_arrived.notify_one();
    let start = request.start_token;
    let response =
        GenerationResponse::new(engine, connection, id, request, start, format, progress);
    if stream { response.into_stream() } else { response.into_whole().await }
}

fn generation_request(headers: &HeaderMap, body: CompletionBody) -> GenerationRequest {
    let priority = header_text(headers, "x-priority").and_then(|text| text.parse().ok());
    let end_token = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    GenerationRequest {
        prompt_tokens: prompt_tokens(&body.prompt),
        model: body.model,
        prompt: body.prompt,
        // At least one token is generated, so that every request finishes.
        start_token: body.resume_from.min(end_token - 1),
        end_token,
        priority: priority.unwrap_or(1),
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u32,
}

async fn read_response(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Path(id): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let found = engine
        .state()
        .core
        .batch
        .subscribe(&id)
        .map(|(request, progress)| (request.clone(), progress));
    let Some((request, progress)) = found else {
        return reject(StatusCode::NOT_FOUND, "id", "no request has this id");
    };
    let format = ResponseFormat::Completion;
    GenerationResponse::new(engine, connection, id, request, query.from, format, progress)
        .into_stream()
}

async fn cancel(State(engine): SharedEngine, Path(id): Path<String>) -> Response {
    if engine.state().core.batch.cancel(&id) {
        StatusCode::NO_CONTENT.into_response()
    } else {
        reject(StatusCode::NOT_FOUND, "id", "no request has this id")
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "op")]
enum ModelOrderBody {
    Load { model: String, version: String, bytes: u64 },
    Unload { model: String, version: String },
}

#[derive(Deserialize)]
struct LoadAdapterBody {
    lora_name: String,
    base_model_name: String,
    bytes: u64,
}

#[derive(Deserialize)]
struct UnloadAdapterBody {
    lora_name: String,
}

async fn order_model(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    headers: HeaderMap,
    Json(order): Json<ModelOrderBody>,
) -> Response {
    let order = match order {
        ModelOrderBody::Load { model, version, bytes } => {
            Order::LoadModel { name: format!("{model}@{version}"), bytes }
        }
        ModelOrderBody::Unload { model, version } => {
            Order::Unload { name: format!("{model}@{version}") }
        }
    };
    accept_order(engine, connection, headers, order).await
}

async fn load_adapter(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    headers: HeaderMap,
    Json(body): Json<LoadAdapterBody>,
) -> Response {
    let (name, base, bytes) = (body.lora_name, body.base_model_name, body.bytes);
    accept_order(engine, connection, headers, Order::LoadAdapter { name, base, bytes })
        .await
}

async fn unload_adapter(
    State(engine): SharedEngine,
    ConnectInfo(connection): ConnectInfo<Connection>,
    headers: HeaderMap,
    Json(body): Json<UnloadAdapterBody>,
) -> Response {
    accept_order(engine, connection, headers, Order::Unload { name: body.lora_name })
        .await
}

/// Accepts an order, subject to the faults.
async fn accept_order(
    engine: Arc<Engine>,
    connection: Connection,
    headers: HeaderMap,
    order: Order,
) -> Response {
    let number_header =
        |name| header_text(&headers, name).and_then(|text| text.parse().ok());
    let (Some(id), Some(fence)) = (number_header("x-order-id"), number_header("x-fence"))
    else {
        let message =
            "the headers x-order-id and x-fence are required and must be integers";
        return reject(StatusCode::BAD_REQUEST, "order", message);
    };
    let (fault, delay) = {
        let faults = engine.faults.lock();
        (faults.orders, Duration::from_millis(faults.late_ms))
    };
    match fault {
        OrderFault::None => {}
        OrderFault::Lost => return connection.reset_and_never_respond().await,
        OrderFault::Late => {
            accept_later(engine, delay, id, fence, order);
            return connection.reset_and_never_respond().await;
        }
        OrderFault::Twice => {
            accept_later(engine.clone(), delay, id, fence, order.clone())
        }
    }
    match engine.accept_order(id, fence, order) {
        Ok(()) => StatusCode::ACCEPTED.into_response(),
        Err(OrderError::Fenced(fence)) => {
            let body = json!({"code": "fenced", "fence": fence});
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        Err(OrderError::Memory(error)) => {
            reject(StatusCode::CONFLICT, "memory", &error.to_string())
        }
    }
}

fn accept_later(engine: Arc<Engine>, delay: Duration, id: u64, fence: u64, order: Order) {
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        // Nobody waits for the result; the counts show whether the order was rejected.
        engine.accept_order(id, fence, order).ok();
    });
}

async fn get_report(State(engine): SharedEngine) -> Json<Value> {
    let mut state = engine.state();
    state.report_count += 1;
    let models = state.core.memory.models.iter().map(|(name, allocation)| {
        let (model, version) = name.split_once('@').unwrap_or((name, ""));
        let (bytes, state) = (allocation.bytes, allocation.state);
        json!({"model": model, "version": version, "bytes": bytes, "state": state})
    });
    let adapters =
        state.core.memory.adapters.iter().map(|(name, (model, allocation))| {
            let (bytes, state) = (allocation.bytes, allocation.state);
            json!({"adapter": name, "model": model, "bytes": bytes, "state": state})
        });
    let orders =
        state.orders.states().map(|(id, state)| json!({"order": id, "state": state}));
    Json(json!({
        "incarnation": state.incarnation,
        "seq": state.report_count,
        "capacity": state.core.memory.capacity,
        "used": state.core.memory.used,
        "models": models.collect::<Vec<_>>(),
        "adapters": adapters.collect::<Vec<_>>(),
        "orders": orders.collect::<Vec<_>>(),
        "running": state.load.running,
        "waiting": state.load.waiting,
        "kv_tokens": state.load.kv_tokens,
        "step_us": state.load.step_time.as_micros() as u64,
    }))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    since: u64,
}

async fn get_cache_events(
    State(engine): SharedEngine,
    Query(query): Query<EventsQuery>,
) -> Response {
    let (lag, gap) = {
        let faults = engine.faults.lock();
        (Duration::from_millis(faults.cache_lag_ms), faults.cache_gap)
    };
    let state = engine.state();
    Json(state.core.cache.read_events(Instant::now(), query.since, lag, gap))
        .into_response()
}

async fn get_counts(State(engine): SharedEngine) -> Json<EngineCounts> {
    Json(engine.counts.lock().expect("the counts' lock is not poisoned").clone())
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn reject(status: StatusCode, code: &str, message: &str) -> Response {
    (status, Json(json!({"code": code, "message": message}))).into_response()
}
