//! The HTTP server for operators: metrics, debug state and the configuration API.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::response::Response;
use axum::routing::get;
use serde_json::{Value, json};

use crate::config_api;
use crate::node::Node;
use crate::response;

/// The routes served at the operators' address.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/debug/state", get(debug_state))
        .with_state(node.clone())
        .merge(config_api::router(node.clone()))
}

async fn metrics(State(node): State<Arc<Node>>) -> String {
    node.shared.metrics.render()
}

async fn debug_state(State(node): State<Arc<Node>>) -> Response {
    response::json(200, &dump(&node))
}

/// The state of the process as JSON; contains no keys.
pub fn dump(node: &Node) -> Value {
    let shared = &node.shared;
    let settings = &shared.settings;
    let now = shared.clock.now();
    json!({
        "vm": settings.vm,
        "domain": settings.domain,
        "member": shared.me.to_string(),
        "leaving": shared.is_shutting_down(),
        "closed": *shared.intake_closed.borrow(),
        "fresh": shared.is_config_fresh(),
        "lease_holds": shared.is_lease_valid(now),
        "revision": shared.catalog().revision,
        "requests": node.request_limiter.in_flight(),
        "serving": node.active_jobs.load(std::sync::atomic::Ordering::SeqCst),
        "limits": {
            "body": settings.limits.max_body_bytes,
            "requests": settings.limits.max_requests,
            "memory": settings.limits.max_buffered_bytes,
            "slots": settings.limits.journal_slots,
        },
        "leads": leads(node),
        "retries_left": node.picker.retries_left(),
        "journal": node.slots.status(),
        "poison": poison(node),
        "view": view(node),
        "residence": residency(node),
        "ledgers": ledgers(node),
        "unplaced": shared.rows.borrow().unplaced,
    })
}

/// The load of each backend server that this daemon leads, by the server's name.
fn leads(node: &Node) -> Value {
    let loads = node.led_servers.loads();
    let to_json = |load: chestnut_wire::ServerLoad| {
        json!({
            "running": load.running,
            "queued": load.queued,
            "tokens": load.tokens,
            "wait_ms": load.wait_ms,
            "step_us": load.step_us,
        })
    };
    loads.into_iter().map(|(name, load)| (name.to_string(), to_json(load))).collect()
}

/// The numbers of suspect and of blocked request digests.
fn poison(node: &Node) -> Value {
    let (suspects, blocked) = node.poison.counts();
    json!({ "suspects": suspects, "convicted": blocked })
}

/// Members, servers and claims; the key of a claim is `server:NAME` or similar.
fn view(node: &Node) -> Value {
    let view = node.shared.view();
    let members: serde_json::Map<String, Value> =
        view.members.iter().map(|(id, row)| (id.to_string(), json!(row))).collect();
    let claims: serde_json::Map<String, Value> = view
        .claims
        .iter()
        .map(|(key, claim)| {
            let row = json!({ "holder": claim.holder.to_string(), "fence": claim.fence });
            (key.to_string(), row)
        })
        .collect();
    json!({ "members": members, "servers": view.servers, "claims": claims })
}

/// The resident models and adapters of each runner.
fn residency(node: &Node) -> Value {
    let residency = node.shared.residency();
    let runners: serde_json::Map<String, Value> = residency
        .runners()
        .iter()
        .map(|(name, assets)| {
            let models: Vec<String> = assets
                .models
                .iter()
                .map(|(model, version)| format!("{model}@{version}"))
                .collect();
            (name.to_string(), json!({ "models": models, "adapters": assets.adapters }))
        })
        .collect();
    Value::Object(runners)
}

/// Each runner's memory reservations and their states.
fn ledgers(node: &Node) -> Value {
    let rows = node.shared.rows.borrow();
    let runners: serde_json::Map<String, Value> = rows
        .ledgers
        .iter()
        .map(|(name, (ledger, _))| {
            let items: serde_json::Map<String, Value> = ledger
                .reservations
                .iter()
                .map(|item| (item.asset.to_string(), json!(item.state)))
                .collect();
            let row = json!({
                "capacity": ledger.capacity,
                "reserved": ledger.reserved_bytes(),
                "down": ledger.down,
                "items": items,
            });
            (name.to_string(), row)
        })
        .collect();
    Value::Object(runners)
}
