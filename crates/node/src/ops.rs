//! What operators connect to.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::response::Response;
use axum::routing::get;
use serde_json::{Value, json};

use crate::answer;
use crate::node::Node;
use crate::opsconf;

/// The routes that operators use.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/debug/state", get(state))
        .with_state(node.clone())
        .merge(opsconf::router(node.clone()))
}

async fn metrics(State(node): State<Arc<Node>>) -> String {
    node.shared.metrics.render()
}

async fn state(State(node): State<Arc<Node>>) -> Response {
    answer::json(200, &dump(&node))
}

/// The whole state of the process, without keys.
pub fn dump(node: &Node) -> Value {
    let shared = &node.shared;
    let settings = &shared.settings;
    let now = shared.clock.now();
    json!({
        "vm": settings.vm,
        "domain": settings.domain,
        "member": shared.me.to_string(),
        "leaving": shared.is_leaving(),
        "closed": *shared.closed.borrow(),
        "fresh": shared.is_fresh(),
        "lease_holds": shared.lease_holds(now),
        "revision": shared.catalog().revision,
        "requests": node.intake.held(),
        "serving": node.serving.load(std::sync::atomic::Ordering::SeqCst),
        "limits": {
            "body": settings.limits.max_body_bytes,
            "requests": settings.limits.max_requests,
            "memory": settings.limits.max_buffered_bytes,
            "slots": settings.limits.journal_slots,
        },
        "leads": leads(node),
        "retries_left": node.picker.retries_left(),
        "journal": node.slots.state(),
        "poison": poison(node),
        "view": view(node),
        "residence": residence(node),
        "ledgers": ledgers(node),
        "unplaced": shared.rows.borrow().unplaced,
    })
}

/// The load of each backend server that this daemon leads.
fn leads(node: &Node) -> Value {
    let loads = node.leads.loads();
    let row = |load: chestnut_wire::ServerLoad| {
        json!({
            "running": load.running,
            "queued": load.queued,
            "tokens": load.tokens,
            "wait_ms": load.wait_ms,
            "step_us": load.step_us,
        })
    };
    loads.into_iter().map(|(name, load)| (name.to_string(), row(load))).collect()
}

/// How many digests are suspect and how many convicted.
fn poison(node: &Node) -> Value {
    let (suspects, convicted) = node.poison.counts();
    json!({ "suspects": suspects, "convicted": convicted })
}

/// Members, servers and claims, with claims as `server:NAME` and the like.
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

/// What is resident where.
fn residence(node: &Node) -> Value {
    let residence = node.shared.residence();
    let runners: serde_json::Map<String, Value> = residence
        .runners()
        .iter()
        .map(|(name, held)| {
            let models: Vec<String> = held
                .models
                .iter()
                .map(|(model, version)| format!("{model}@{version}"))
                .collect();
            (name.to_string(), json!({ "models": models, "adapters": held.adapters }))
        })
        .collect();
    Value::Object(runners)
}

/// What each runner's memory is reserved for, and in which state.
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
