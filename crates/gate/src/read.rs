//! Reads a request: its head, its route, its body.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{Refusal, RefusalCode, ServiceName};
use chestnut_edge::{Call, Declarations, Route};
use chestnut_pool::Attempts;
use chestnut_pool::fleet::RELIST_GRACE;
use http::{Response, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::{Rng, RngExt};
use slog::info;
use tokio::time::timeout;

use crate::answer::OutBody;
use crate::job::Job;
use crate::serve::whole;
use crate::shared::Shared;

/// How long a daemon that has just started looks for what it needs, and how long a
/// caller is told to stay away if that was in vain.
///
/// Two reads of the store take some 10 ms.
const START_TIME: Duration = Duration::from_millis(300);

/// How long after its start a daemon that knows nothing takes the store for silent.
const STORE_TIME: Duration = Duration::from_secs(1);

/// A request that is refused before it has a route.
pub struct Unread {
    refusal: Refusal,
    id: Option<String>,
}

impl Unread {
    /// The answer to the caller.
    pub fn response(&self, shared: &Shared) -> Response<OutBody> {
        let code = format!("{:?}", self.refusal.code);
        shared.metrics.ended("", &code);
        info!(shared.log, "request refused"; "id" => self.id.as_deref().unwrap_or("-"),
            "code" => code, "why" => &self.refusal.message);
        let id = self.id.as_deref();
        shared.dialect.write_refusal(&self.refusal, id).map(whole)
    }
}

/// Reads a request whole.
pub async fn job(
    shared: Arc<Shared>,
    head: request::Parts,
    body: Incoming,
) -> Result<Job, Unread> {
    let arrived = shared.now();
    let active = shared.active.start();
    let call = match shared.dialect.read_call(&head) {
        Ok(call) => call,
        Err(fault) => {
            let refusal = Refusal::not_run(RefusalCode::BadRequest, fault.to_string());
            return Err(Unread { refusal, id: None });
        }
    };
    let refused = |refusal| Unread { refusal, id: call.id.clone() };
    if shared.is_refusing_requests() {
        return Err(refused(closing()));
    }
    let declared =
        declared(&shared).await.ok_or_else(|| refused(unknown_yet(&shared)))?;
    let route = find_route(&declared, &call).ok_or_else(|| refused(no_route(&call)))?;
    let body = read_body(body, declared.limits.body_bytes).await.map_err(&refused)?;
    let budget = call.budget.unwrap_or(Duration::MAX).min(declared.routes[route].timeout);
    let service = draw_service(&declared.routes[route], &mut rand::rng());
    let deadline = arrived + budget;
    let chosen = &declared.routes[route];
    let attempts = Attempts::new(chosen.kind, chosen.max_attempts);
    Ok(Job {
        shared,
        head,
        body,
        call,
        declared,
        route,
        service,
        active,
        arrived,
        deadline,
        sent: arrived,
        attempts,
        begun: false,
        done: AtomicBool::new(false),
    })
}

/// The declarations in force; a daemon that has just started waits for them.
async fn declared(shared: &Shared) -> Option<Arc<Declarations>> {
    if !shared.is_initialized() {
        let mut declared = shared.declarations.subscribe();
        let mut listed = shared.server_updates.subscribe();
        let known = async {
            declared.wait_for(Option::is_some).await.is_ok()
                && listed.wait_for(|count| *count > 0).await.is_ok()
        };
        // What is not known by then is refused.
        let _ = timeout(START_TIME, known).await;
    }
    shared.declarations()
}

fn closing() -> Refusal {
    let message = "the daemon is about to end; use another address";
    Refusal::not_run(RefusalCode::Leaving, message).with_retry_after(Duration::ZERO)
}

fn find_route(declared: &Declarations, call: &Call) -> Option<usize> {
    let route = declared.match_route(&call.host, &call.path)?;
    declared.routes.iter().position(|one| std::ptr::eq(one, route))
}

fn unknown_yet(shared: &Shared) -> Refusal {
    let message = "the daemon has just started and knows no routes yet; use another";
    // The store does not answer; entries of servers come back after it has.
    let away = shared.uptime() > STORE_TIME;
    let after = if away { RELIST_GRACE } else { START_TIME };
    Refusal::not_run(RefusalCode::Leaving, message).with_retry_after(after)
}

fn no_route(call: &Call) -> Refusal {
    let message = format!("no route for {}{}; check host and path", call.host, call.path);
    Refusal::not_run(RefusalCode::UnknownRoute, message)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {limit} bytes; send less");
            Err(Refusal::not_run(RefusalCode::TooLarge, message))
        }
        Err(error) => {
            let message = format!("the body broke off ({error}); send it whole");
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        }
    }
}

/// Draws one of the route's services by their weights.
fn draw_service(route: &Route, rng: &mut impl Rng) -> ServiceName {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let mut at = rng.random::<f64>() * total;
    for share in &route.shares {
        at -= share.weight;
        if at < 0.0 {
            return share.service.clone();
        }
    }
    // Rounding may leave `at` at zero; a route has at least one share.
    route.shares[route.shares.len() - 1].service.clone()
}
