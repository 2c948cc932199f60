//! Reads a request: its head, its route and its body.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{Digest, Refusal, RefusalCode, Revision, ServiceName};
use chestnut_edge::{Call, Declarations, Route};
use chestnut_intake::{BodyError, Connection, body};
use chestnut_pool::fleet::RELIST_GRACE;
use chestnut_pool::{Attempts, SoftwareBinding};
use http::header::CONNECTION;
use http::{HeaderValue, Response, request};
use hyper::body::Incoming;
use rand::{Rng, RngExt};
use slog::info;
use tokio::time::timeout;

use crate::accounts::{self, Proof};
use crate::job::Job;
use crate::relay::ResponseBody;
use crate::serve::full_body;
use crate::shared::Shared;

/// How long a request waits for declarations and servers at a daemon that has just
/// started, and the retry delay for its caller if they don't arrive.
///
/// Two reads of the store take some 10 ms.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// The age from which a daemon without declarations or servers considers the store
/// unavailable.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// The retry delay sent to callers whose requests there is no room for.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request that is refused before it becomes a [`Job`].
pub struct EarlyRefusal {
    refusal: Refusal,
    /// The caller's id for the request; `None` if it sent none or its head is invalid.
    id: Option<String>,
    /// The revision of the declarations that decided it; `None` if none did.
    revision: Option<Revision>,
}

impl EarlyRefusal {
    /// Logs and counts the refusal, and builds the response for the caller.
    pub fn response(&self, shared: &Shared) -> Response<ResponseBody> {
        let code = format!("{:?}", self.refusal.code);
        shared.metrics.record_end("", &code);
        let declared = shared.tables.declarations.announcement(shared.now());
        let confirmed_by = shared.tables.declarations.origins().confirmation;
        info!(shared.log, "request refused"; "id" => self.id.as_deref().unwrap_or("-"),
            "code" => code, "why" => &self.refusal.message,
            "revision" => self.revision.map(|revision| revision.0),
            "table_version" => declared.map(|(version, _)| version),
            "table_age_ms" => declared.map(|(_, age)| age),
            "table_confirmed_by" => confirmed_by.map(|origin| origin.to_string()));
        let id = self.id.as_deref();
        let mut response = shared.dialect.write_refusal(&self.refusal, id).map(full_body);
        if matches!(self.refusal.code, RefusalCode::EntryFull | RefusalCode::Deadline) {
            // The rest of the body is not read, and the descriptor is needed for others.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Reads a request and assigns it a route and a service.
pub async fn read_job(
    shared: Arc<Shared>,
    mut head: request::Parts,
    body: Incoming,
) -> Result<Job, EarlyRefusal> {
    let arrived_at = shared.now();
    let active = shared.active.start();
    let call = match shared.dialect.read_call(&head) {
        Ok(call) => call,
        Err(error) => {
            let refusal = Refusal::not_run(RefusalCode::BadRequest, error.to_string());
            return Err(EarlyRefusal { refusal, id: None, revision: None });
        }
    };
    let refused = |refusal| EarlyRefusal { refusal, id: call.id.clone(), revision: None };
    if shared.is_refusing_requests() {
        return Err(refused(shutting_down()));
    }
    let connection = head.extensions.remove::<Arc<Connection>>();
    let connection = connection.filter(|connection| !connection.is_refusing());
    let connection = connection.ok_or_else(|| refused(entry_full()))?;
    wait_for_declarations(&shared).await;
    // The proof is taken first: of declarations that are read after it, it is true.
    let proof = accounts::wait_for_proof(&shared).await;
    let declarations =
        shared.declarations().ok_or_else(|| refused(not_ready(&shared)))?;
    let revision = Some(declarations.revision);
    let refused = |refusal| EarlyRefusal { refusal, id: call.id.clone(), revision };
    let route = find_route(&declarations, &call)
        .ok_or_else(|| refused(unknown_route(&shared, &call, proof)))?;
    let matched = &declarations.routes[route];
    let account = accounts::authenticate(&shared, &declarations, matched, &call, proof)
        .map_err(&refused)?;
    let budget =
        call.budget.unwrap_or(Duration::MAX).min(declarations.routes[route].timeout);
    let (limit, body_deadline) = (declarations.limits.body_bytes, arrived_at + budget);
    let arriving = shared.arriving.start();
    let body = body::read(body, &connection, limit, body_deadline).await;
    drop(arriving);
    let body = body.map_err(|error| refused(unread_body(&error)))?;
    // The body may have taken longer than the time in which the daemon accepts requests.
    if shared.is_refusing_requests() {
        return Err(refused(shutting_down()));
    }
    let service = sample_service(&declarations.routes[route], &mut rand::rng());
    let deadline = arrived_at + budget;
    let matched = &declarations.routes[route];
    let attempts = Attempts::new(matched.kind, matched.max_attempts);
    let digest =
        digest(&head, &call.host, accounts::account_name(&declarations, account), &body);
    Ok(Job {
        shared,
        head,
        body,
        call,
        digest,
        connection,
        declarations,
        route,
        service,
        account,
        active,
        arrived_at,
        deadline,
        sent_at: arrived_at,
        attempts,
        retry: None,
        software: SoftwareBinding::default(),
        response_started: false,
        paused_since: None,
        end_recorded: AtomicBool::new(false),
    })
}

/// Waits up to [`STARTUP_WAIT`] for declarations and servers.
async fn wait_for_declarations(shared: &Shared) {
    if !shared.is_initialized() {
        let mut declared = shared.declarations.subscribe();
        let mut listed = shared.server_updates.subscribe();
        let available = async {
            declared.wait_for(Option::is_some).await.is_ok()
                && listed.wait_for(|count| *count > 0).await.is_ok()
        };
        // If the declarations are still missing after a timeout, the request is refused.
        let _ = timeout(STARTUP_WAIT, available).await;
    }
}

fn shutting_down() -> Refusal {
    let message = "the daemon is shutting down; use another address";
    Refusal::not_run(RefusalCode::Leaving, message).with_retry_after(Duration::ZERO)
}

fn find_route(declarations: &Declarations, call: &Call) -> Option<usize> {
    let route = declarations.match_route(&call.host, &call.path)?;
    declarations.routes.iter().position(|candidate| std::ptr::eq(candidate, route))
}

fn not_ready(shared: &Shared) -> Refusal {
    let message =
        "the daemon has just started and has no routes yet; use another address";
    // While the store is unavailable, callers retry after the time that servers have to
    // register again.
    let store_unavailable = shared.uptime() > STORE_TIMEOUT;
    let retry_after = if store_unavailable { RELIST_GRACE } else { STARTUP_WAIT };
    Refusal::not_run(RefusalCode::Leaving, message).with_retry_after(retry_after)
}

/// The refusal of a request without a route. Only current declarations decide that there is
/// none: it may have been added.
fn unknown_route(shared: &Shared, call: &Call, proof: Proof) -> Refusal {
    if !proof.is_current {
        return accounts::unconfirmed(shared);
    }
    let message = format!("no route for {}{}; check host and path", call.host, call.path);
    Refusal::not_run(RefusalCode::UnknownRoute, message)
}

/// The refusal of a request whose body was not read to its end.
fn unread_body(error: &BodyError) -> Refusal {
    let message = error.to_string();
    match error {
        BodyError::TooLarge(_) => Refusal::not_run(RefusalCode::TooLarge, message),
        BodyError::Invalid(_) => Refusal::not_run(RefusalCode::BadRequest, message),
        BodyError::Late => Refusal::not_run(RefusalCode::Deadline, message)
            .with_retry_after(Duration::ZERO),
        BodyError::OutOfMemory => Refusal::not_run(RefusalCode::EntryFull, message)
            .with_retry_after(FULL_RETRY_DELAY),
    }
}

/// The refusal of a request for which the daemon has no room.
fn entry_full() -> Refusal {
    let message = "the daemon serves as many requests as it can; use another address";
    Refusal::not_run(RefusalCode::EntryFull, message).with_retry_after(FULL_RETRY_DELAY)
}

/// Hashes what two copies of a request have in common.
///
/// Callers send a copy with another id, and may use another key of their account.
fn digest(head: &request::Parts, host: &str, account: &str, body: &Bytes) -> Digest {
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    Digest::of([
        head.method.as_str().as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        account.as_bytes(),
        body,
    ])
}

/// Picks one of the route's services at random, in proportion to their weights.
fn sample_service(route: &Route, rng: &mut impl Rng) -> ServiceName {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    for share in &route.shares {
        remaining -= share.weight;
        if remaining < 0.0 {
            return share.service.clone();
        }
    }
    // Rounding may leave `remaining` at zero; a route has at least one share.
    route.shares[route.shares.len() - 1].service.clone()
}
