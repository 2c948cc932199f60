//! Serves one request from its head to the end of its answer.
//!
//! The request is read ([`read`]), a server is picked, and the request is sent; as
//! long as no server has run it, or it may run again, another one is tried. What a
//! server answers goes to the caller unchanged.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{Refusal, RefusalCode, ServerName};
use chestnut_pool::{AttemptOutcome, RetryDecision};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::info;

use crate::answer::{self, OutBody};
use crate::attempt::{Answered, Missed, attempt};
use crate::job::Job;
use crate::metrics::Step;
use crate::pick::{NoPlace, pause_before, pick};
use crate::shared::Shared;
use crate::{planner, read};

/// Servers that are tried for one request, at most.
const TRIES: usize = 6;

/// The status by which a server says that it lacks the model or the adapter.
const MISDIRECTED: u16 = 421;

/// How long callers are told to stay away when no server can take a request, and
/// nothing is known of when one can.
const AWAY: Duration = Duration::from_millis(500);

/// How long callers are told to stay away when no server holds the model that they ask for.
///
/// That its runner is gone is noticed within a second, and a load takes one or two.
const NOT_RESIDENT: Duration = Duration::from_millis(1500);

/// The longest that callers are told to stay away.
///
/// Streams stay at a runner for some three seconds; after that room is found again.
const LONGEST_AWAY: Duration = Duration::from_secs(3);

/// Serves one request.
pub async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<OutBody>, Infallible> {
    let (head, body) = request.into_parts();
    let job = match read::job(shared.clone(), head, body).await {
        Ok(job) => job,
        Err(refused) => return Ok(refused.response(&shared)),
    };
    let response = match run(job).await {
        Ok(response) => response,
        Err((refusal, job)) => {
            job.refused(&refusal);
            let id = job.call.id.as_deref();
            let response = shared.dialect.write_refusal(&refusal, id);
            response.map(whole)
        }
    };
    Ok(closing(&shared, response))
}

/// Asks callers to open another connection, elsewhere, if the daemon is leaving.
fn closing(shared: &Shared, mut response: Response<OutBody>) -> Response<OutBody> {
    if *shared.shutting_down.borrow() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

type Refused = (Refusal, Box<Job>);

async fn run(job: Job) -> Result<Response<OutBody>, Refused> {
    let mut job = Box::new(job);
    job.shared.record_request(&job.service);
    if let Some(target) = &job.call.target {
        planner::record_demand(&job.shared, &job.service, &target.model, job.asked());
    }
    let mut tried = Vec::new();
    let mut lacking: Option<ServerName> = None;
    let mut missing = Vec::new();
    for _ in 0..TRIES {
        let place = match pick(&job, lacking.take(), &tried).await {
            Ok(place) => place,
            Err(NoPlace::Nowhere) => return Err((no_server(&job), job)),
            Err(NoPlace::Full(wait)) => return Err((full(&job, wait), job)),
        };
        pause_before(&place.name, &tried).await;
        job.sent = job.shared.now();
        let missed = match attempt(&job, &place, job.call.resume_after).await {
            Ok(answered) => match again(&mut job, &answered) {
                true => {
                    tried.push(place.name);
                    continue;
                }
                false => return answer::forward(job, answered).await,
            },
            Err(missed) => missed,
        };
        job.shared.metrics.count(Step::Missed, missed.name());
        info!(job.shared.log, "attempt missed"; "id" => job.id(),
            "server" => place.name.to_string(), "why" => format!("{missed:?}"));
        let follow = job.attempts.record(place.run(), missed.ended());
        match missed {
            // Its adapter may have been dropped; one that says so twice is left alone.
            Missed::Rejected(MISDIRECTED) if !missing.contains(&place.name) => {
                missing.push(place.name.clone());
                lacking = Some(place.name);
            }
            Missed::Rejected(_) | Missed::Lost(_) | Missed::Silent => {
                tried.push(place.name);
            }
            Missed::Unreachable(_) | Missed::Late => {}
        }
        if !allow_another(&job, follow, &missed) {
            return Err((unserved(&job, &missed), job));
        }
    }
    Err((no_server(&job), job))
}

/// Refuses a request that would wait for longer than its caller does.
///
/// Held to the end, its caller leaves with nothing and too late to ask again; told at
/// once, it comes back when streams have ended.
fn full(job: &Job, wait: Duration) -> Refusal {
    if job.attempts.may_have_run() {
        return no_server(job);
    }
    let message = "all servers that could serve it are full for longer than its caller \
        waits; come back when told";
    Refusal::not_run(RefusalCode::Overloaded, message)
        .with_retry_after(wait.clamp(AWAY, LONGEST_AWAY))
}

/// Whether a server's own failure is worth another try elsewhere.
fn again(job: &mut Job, answered: &Answered) -> bool {
    if !answered.head.status.is_server_error() {
        return false;
    }
    let follow = job.attempts.record(answered.place.run(), AttemptOutcome::Failed);
    follow == RetryDecision::RetryWithinBudget && take_repeat(job, "failed")
}

/// Whether another server is tried after one brought no answer.
fn allow_another(job: &Job, follow: RetryDecision, missed: &Missed) -> bool {
    match follow {
        RetryDecision::GiveUp => false,
        RetryDecision::RetryWithinBudget => take_repeat(job, missed.name()),
        RetryDecision::Retry => {
            // Its repeat was taken when the server was given up.
            if *missed == Missed::Silent {
                job.shared.metrics.count(Step::Repeat, missed.name());
            }
            true
        }
    }
}

/// Takes a repeat out of the service's budget, if there is one.
fn take_repeat(job: &Job, cause: &'static str) -> bool {
    let granted = job.shared.try_take_retry(&job.service);
    if granted {
        job.shared.metrics.count(Step::Repeat, cause);
    }
    granted
}

/// What is told to the caller after the last attempt brought no answer.
fn unserved(job: &Job, missed: &Missed) -> Refusal {
    match missed {
        Missed::Late => {
            let message = "the time ran out before the answer began; allow more time";
            Refusal::in_doubt(RefusalCode::Late, message)
        }
        Missed::Lost(_) => {
            let message = "the server broke off and may have run the request";
            Refusal::in_doubt(RefusalCode::Broken, message)
        }
        Missed::Unreachable(_) | Missed::Rejected(_) | Missed::Silent => no_server(job),
    }
}

fn no_server(job: &Job) -> Refusal {
    if job.shared.now() >= job.deadline {
        let message = "the time ran out before a server could take the request";
        return match job.attempts.may_have_run() {
            true => Refusal::in_doubt(RefusalCode::Late, message),
            false => Refusal::not_run(RefusalCode::Deadline, message)
                .with_retry_after(Duration::ZERO),
        };
    }
    let message = "no server can take the request now; come back when told";
    match job.attempts.may_have_run() {
        true => Refusal::in_doubt(RefusalCode::Broken, message),
        false => {
            let returns = job.shared.fleet().grace_left(job.shared.now());
            let away = if is_resident(job) { AWAY } else { NOT_RESIDENT };
            Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(returns.max(away))
        }
    }
}

/// Whether a server that may get requests holds the model, where one is asked for.
fn is_resident(job: &Job) -> bool {
    let Some(target) = &job.call.target else { return true };
    let fleet = job.shared.fleet();
    let mut open = fleet.available(&job.service, job.shared.now());
    open.any(|(_, server)| server.entry.has_model(&target.model))
}

/// A body of bytes that are all there.
pub fn whole(bytes: Bytes) -> OutBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
