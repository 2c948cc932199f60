//! Tells callers where to connect, and the platform whether the daemon is ready.

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

/// How long callers keep an answer.
///
/// Short, so that callers leave a daemon that stops or died within a second or
/// three; a question costs some 30 µs.
const HOLD: Duration = Duration::from_secs(1);

/// The addresses that one answer holds at most; callers read no more.
const ADDRESS_LIMIT: usize = 64;

/// Tells callers where to connect.
pub fn directory_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.directory_path();
    Router::new().route(path, get(addresses)).with_state(shared)
}

/// Tells the platform whether the daemon is ready.
pub fn readiness_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.readiness_path();
    Router::new().route(path, get(ready)).with_state(shared)
}

async fn addresses(
    State(shared): State<Arc<Shared>>,
    RawQuery(_query): RawQuery,
) -> Response {
    let addresses = ready_addresses(&shared);
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let hold = HOLD.min(shared.bounds.borrow().directory);
    let answer = shared.dialect.write_directory(&addresses, hold);
    answer.map(|body| axum::body::Body::new(Full::new(body))).into_response()
}

/// Where callers can connect: daemons that have joined and neither leave nor are
/// silent.
fn ready_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let now = shared.now();
    let known = shared.membership();
    let me = shared.peers.me;
    let own = shared.is_ready();
    let rows: Vec<&MemberRow> = known.members.values().map(|(row, _)| row).collect();
    let ready = |row: &MemberRow| match row.member == me {
        true => own,
        false => known.accepts_claims(row) && shared.is_alive(row.member, now),
    };
    let addresses = |which: &dyn Fn(&MemberRow) -> bool| -> Vec<SocketAddr> {
        let open = rows.iter().filter(|row| which(row));
        open.map(|row| row.caller_addr).take(ADDRESS_LIMIT).collect()
    };
    let open = addresses(&ready);
    if !open.is_empty() {
        return open;
    }
    // All have just started, or none hears the others: any may serve, and says when
    // to come back if it can't.
    let listed = addresses(&|row| known.accepts_claims(row));
    if !listed.is_empty() {
        return listed;
    }
    // A daemon that has started while the store is away knows neither routes nor others.
    // Callers that it sends to itself are refused; those that it tells nothing ask another.
    if shared.is_initialized() { vec![shared.settings.caller_addr] } else { Vec::new() }
}

async fn ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    match shared.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Tells other daemons what changed in the copies of the store's tables.
pub fn table_changes_router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/changes/{table}/{after}/{limit}", get(changes))
        .with_state(shared)
}

async fn changes(
    State(shared): State<Arc<Shared>>,
    Path((table, after, limit)): Path<(String, u64, usize)>,
) -> Response {
    let tables = table_sync::tables(&shared);
    let table = tables.into_iter().find(|one| one.name == table);
    let changes = table.and_then(|table| table.replica().changes_since(after));
    match changes.map(|changes| postcard::to_allocvec(&changes)) {
        // Some sixty daemons that fetch a large configuration from one over a thin link
        // have it long after its time; the store's link is wide.
        Some(Ok(bytes)) if bytes.len() > limit => {
            StatusCode::PAYLOAD_TOO_LARGE.into_response()
        }
        Some(Ok(bytes)) => bytes.into_response(),
        Some(Err(_)) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
