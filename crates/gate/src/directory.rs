//! HTTP endpoints for callers, which look up a daemon's address, for the platform's
//! readiness check, and for other daemons, which fetch table changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, RawQuery, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use chestnut_member::MemberRow;
use http_body_util::Full;

use crate::shared::Shared;
use crate::table_sync;

/// How long callers may cache a response.
///
/// Short, so that callers leave a daemon that stops or fails within one to three seconds;
/// a request costs about 30 µs.
const RESPONSE_TTL: Duration = Duration::from_secs(1);

/// The number of addresses in a response; callers read no more.
const MAX_ADDRESSES: usize = 64;

/// Serves the addresses of the daemons that callers can connect to.
pub fn directory_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.directory_path();
    Router::new().route(path, get(list_addresses)).with_state(shared)
}

/// Serves the platform's readiness check.
pub fn readiness_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.readiness_path();
    Router::new().route(path, get(readiness)).with_state(shared)
}

async fn list_addresses(
    State(shared): State<Arc<Shared>>,
    RawQuery(_query): RawQuery,
) -> Response {
    let addresses = usable_addresses(&shared);
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let max_age = RESPONSE_TTL.min(shared.bounds.borrow().directory);
    let response = shared.dialect.write_directory(&addresses, max_age);
    response.map(|body| axum::body::Body::new(Full::new(body))).into_response()
}

/// The addresses of daemons that have joined, are not shutting down, and are alive.
fn usable_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let now = shared.now();
    let membership = shared.membership();
    let me = shared.peers.me;
    let own_ready = shared.is_ready();
    let rows: Vec<&MemberRow> = membership.members.values().map(|(row, _)| row).collect();
    let is_ready = |row: &MemberRow| match row.member == me {
        true => own_ready,
        false => membership.accepts_claims(row) && shared.is_alive(row.member, now),
    };
    let addresses = |filter: &dyn Fn(&MemberRow) -> bool| -> Vec<SocketAddr> {
        let matching = rows.iter().filter(|row| filter(row));
        matching.map(|row| row.caller_addr).take(MAX_ADDRESSES).collect()
    };
    let ready = addresses(&is_ready);
    if !ready.is_empty() {
        return ready;
    }
    // All daemons have just started, or none receives heartbeats of others. Any of them may
    // be able to serve; one that can't sends the caller a retry delay.
    let joined = addresses(&|row| membership.accepts_claims(row));
    if !joined.is_empty() {
        return joined;
    }
    // A daemon that starts while the store is unavailable has neither routes nor the rows
    // of others. Callers directed to it would be refused; with an empty response they try
    // another directory.
    if shared.is_initialized() { vec![shared.settings.caller_addr] } else { Vec::new() }
}

async fn readiness(State(shared): State<Arc<Shared>>) -> StatusCode {
    match shared.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Serves the changes of this daemon's table replicas to other daemons.
pub fn table_changes_router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/changes/{table}/{after}/{limit}", get(table_changes))
        .with_state(shared)
}

async fn table_changes(
    State(shared): State<Arc<Shared>>,
    Path((table, after, max_bytes)): Path<(String, u64, usize)>,
) -> Response {
    let tables = table_sync::tables(&shared);
    let table = tables.into_iter().find(|candidate| candidate.name == table);
    let changes = table.and_then(|table| table.replica().changes_since(after));
    match changes.map(|changes| postcard::to_allocvec(&changes)) {
        // Some sixty daemons that fetch a large configuration over the link of one daemon
        // would get it too late. The store's link has more bandwidth.
        Some(Ok(bytes)) if bytes.len() > max_bytes => {
            StatusCode::PAYLOAD_TOO_LARGE.into_response()
        }
        Some(Ok(bytes)) => bytes.into_response(),
        Some(Err(_)) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
