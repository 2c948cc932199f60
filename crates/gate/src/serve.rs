//! Serves one request from its head to the end of its response.
//!
//! The request is read ([`read`]), a server is picked, and the request is sent to it. After a
//! failed attempt it is retried if it has not run or may run again. The body of the server's
//! response is passed to the caller unchanged.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnut_base::{Outcome, Refusal, RefusalCode, ServerName};
use chestnut_pool::{AttemptOutcome, RetryDecision};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::info;
use tokio::time::sleep_until;

use crate::attempt::{AttemptError, ServerResponse, Target, attempt};
use crate::job::Job;
use crate::metrics::Step;
use crate::pick::{PickError, pick, wait_before_retry};
use crate::relay::{self, ResponseBody};
use crate::shared::{Shared, StopTimes};
use crate::{charge, crashes, planner, read, resumption, retries};

/// The maximum number of attempts to serve one request, without those at servers that can't be
/// connected to.
const MAX_ATTEMPTS: usize = 6;

/// The maximum number of servers that one request fails to connect to.
///
/// After each failure the server gets no requests for a time, so that the next try meets
/// another one. Without a maximum, requests would wait until their deadline for a service that is
/// gone.
const MAX_CONNECT_FAILURES: usize = 24;

/// The HTTP status of a server that lacks the model or the adapter.
pub const MISDIRECTED_STATUS: u16 = 421;

/// The retry delay sent to callers when no server can accept a request and it is unknown
/// when one can.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The retry delay sent to callers when no server has the requested model.
///
/// The loss of a runner is detected within a second, and a load takes one or two.
const NOT_RESIDENT_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// The longest retry delay sent to callers.
///
/// A stream occupies a runner for some three seconds; then its capacity is free again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The time over which callers return to servers that have rested.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Serves one request; all failures become responses.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (head, body) = request.into_parts();
    let mut job = match read::read_job(shared.clone(), head, body).await {
        Ok(job) => job,
        Err(refused) => return Ok(refused.response(&shared)),
    };
    if let Some(digest) = crashes::blocked_digest(&job) {
        info!(shared.log, "request refused, it crashes servers"; "id" => job.id(),
            "digest" => digest.to_string());
        return Ok(refuse(&shared, &job, &crashes::blocked()));
    }
    if let Err(refusal) = resumption::bind(&mut job).await {
        return Ok(refuse(&shared, &job, &refusal));
    }
    let charge = match charge::charge(&job).await {
        Ok(charge) => charge,
        Err(refusal) => return Ok(refuse(&shared, &job, &refusal)),
    };
    let response = match run(job).await {
        Ok(response) => response,
        Err((refusal, job)) => {
            if let Some(charge) = charge.filter(|_| refusal.outcome == Outcome::NotRun) {
                charge::refund(&shared, charge);
            }
            return Ok(refuse(&shared, &job, &refusal));
        }
    };
    Ok(close_if_shutting_down(&shared, response))
}

/// Records a refusal and builds the response for the caller.
fn refuse(shared: &Shared, job: &Job, refusal: &Refusal) -> Response<ResponseBody> {
    job.record_refusal(refusal);
    let response = shared.dialect.write_refusal(refusal, job.call.id.as_deref());
    close_if_shutting_down(shared, response.map(full_body))
}

/// Closes the caller's connection after the response if the daemon is shutting down, so that
/// the caller connects to another one.
fn close_if_shutting_down(
    shared: &Shared,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if *shared.shutting_down.borrow() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

/// The refusal of a request, and its job to record the end.
type Refused = (Refusal, Box<Job>);

async fn run(job: Job) -> Result<Response<ResponseBody>, Refused> {
    let mut job = Box::new(job);
    retries::record_request(&job);
    if let Some(target) = &job.call.target {
        planner::record_demand(&job.shared, &job.service, &target.model, job.demand());
    }
    let mut failed = Vec::new();
    let mut missing_adapter: Option<ServerName> = None;
    let mut misdirected = Vec::new();
    let (mut attempts, mut connect_failures) = (0, 0);
    while attempts < MAX_ATTEMPTS
        && connect_failures < MAX_CONNECT_FAILURES
        && job.shared.now() < job.deadline
    {
        let missing = missing_adapter.take();
        let picked = tokio::select! {
            biased;
            picked = pick(&job, missing, &failed) => picked,
            () = reach_stop_time(&job.shared, |times| times.wait_end) => {
                Err(PickError::Stopping)
            }
        };
        let target = match picked {
            Ok(target) => target,
            Err(PickError::Stopping) => return Err((stopping(&job), job)),
            Err(PickError::NoServer) => return Err((no_server(&job), job)),
            Err(PickError::Resting(rest)) => return Err((resting(&job, rest), job)),
            Err(PickError::VersionGone) => return Err((version_gone(&job), job)),
            Err(PickError::Full(wait)) => return Err((overloaded(&job, wait), job)),
        };
        wait_before_retry(&target.name, &failed).await;
        job.sent_at = job.shared.now();
        let (shared, resume_after) = (job.shared.clone(), job.call.resume_after);
        let result = tokio::select! {
            biased;
            result = attempt(&mut job, &target, resume_after) => Some(result),
            () = reach_stop_time(&shared, |times| times.response_end) => None,
        };
        let Some(result) = result else { return Err((unanswered(&job, &target), job)) };
        let error = match result {
            Ok(response) => match retry_server_error(&mut job, &response) {
                true => {
                    failed.push(target.name);
                    attempts += 1;
                    continue;
                }
                false => return relay::forward(job, response).await,
            },
            Err(error) => error,
        };
        match error {
            AttemptError::Unreachable(_) => connect_failures += 1,
            _ => attempts += 1,
        }
        job.shared.metrics.count(Step::Missed, error.label());
        info!(job.shared.log, "attempt missed"; "id" => job.id(),
            "server" => target.name.to_string(), "why" => format!("{error:?}"));
        let decision = job.attempts.record(target.incarnation(), error.outcome());
        match error {
            // The server may have evicted the adapter; only a second rejection excludes it.
            AttemptError::Rejected(MISDIRECTED_STATUS)
                if !misdirected.contains(&target.name) =>
            {
                misdirected.push(target.name.clone());
                missing_adapter = Some(target.name);
            }
            AttemptError::Rejected(_) | AttemptError::Lost(_) | AttemptError::Silent => {
                failed.push(target.name);
            }
            AttemptError::Unreachable(_)
            | AttemptError::Late
            | AttemptError::Blocked
            | AttemptError::Quarantined
            | AttemptError::Exhausted
            | AttemptError::Resting => {}
        }
        if !may_retry(&mut job, decision, &error) {
            return Err((failure(&job, &error), job));
        }
    }
    Err((no_server(&job), job))
}

/// Returns at one of the time limits of the shutdown; never unless the daemon is shutting down.
async fn reach_stop_time(shared: &Shared, limit: fn(&StopTimes) -> Instant) {
    let mut stop_times = shared.stop_times.subscribe();
    let times = stop_times.wait_for(Option::is_some).await.ok().and_then(|times| *times);
    match times {
        Some(times) => sleep_until(limit(&times).into()).await,
        None => std::future::pending().await,
    }
}

/// The refusal of a request whose server has not responded when the daemon exits.
fn unanswered(job: &Job, target: &Target) -> Refusal {
    info!(job.shared.log, "no response before the exit"; "id" => job.id(),
        "server" => target.name.as_str(), "admitted" => target.number.is_some(),
        "waited_ms" => job.shared.now().saturating_duration_since(job.sent_at).as_millis() as u64);
    let message = "this daemon shuts down before the server responds; retry the request if it \
        may run twice";
    Refusal::in_doubt(RefusalCode::Broken, message)
}

/// The refusal of a request that waits for a server while the daemon exits.
fn stopping(job: &Job) -> Refusal {
    let message = "this daemon shuts down before a server is free; retry at another one";
    match job.attempts.may_have_run() {
        true => Refusal::in_doubt(RefusalCode::Broken, message),
        false => Refusal::not_run(RefusalCode::Unavailable, message)
            .with_retry_after(Duration::ZERO),
    }
}

/// The refusal of a request to resume a stream of whose software version no server is left.
///
/// A server that has crashed may return, within its caller's time.
fn version_gone(job: &Job) -> Refusal {
    let message = "no server of the software version that began the stream is left; \
        start it anew unless one returns";
    match job.attempts.may_have_run() {
        true => Refusal::in_doubt(RefusalCode::Broken, message),
        false => Refusal::not_run(RefusalCode::Unavailable, message)
            .with_retry_after(NOT_RESIDENT_RETRY_DELAY),
    }
}

/// The refusal of a request while all servers that could run it want no requests.
fn resting(job: &Job, rest: Duration) -> Refusal {
    let message = "all servers for this request have asked for rest; retry after the given \
        delay";
    job.shared.metrics.count(Step::Rest, "refused");
    match job.attempts.may_have_run() {
        true => Refusal::in_doubt(RefusalCode::Broken, message),
        // Callers that were refused together would return together.
        false => Refusal::not_run(RefusalCode::Unavailable, message)
            .with_retry_after(rest + RETURN_SPREAD.mul_f64(rand::random())),
    }
}

/// The refusal of a request whose wait would exceed its caller's wait limit.
///
/// If it waited to the end, its caller would get nothing and would be too late to retry.
/// Refused at once, the caller retries when other streams have ended.
fn overloaded(job: &Job, wait: Duration) -> Refusal {
    if job.attempts.may_have_run() {
        return no_server(job);
    }
    let message = "all servers for this request are full for longer than its caller \
        waits; retry after the given delay";
    Refusal::not_run(RefusalCode::Overloaded, message)
        .with_retry_after(wait.clamp(DEFAULT_RETRY_DELAY, MAX_RETRY_DELAY))
}

/// Whether to retry after a server error; takes the retry from the budget.
fn retry_server_error(job: &mut Job, response: &ServerResponse) -> bool {
    if !response.head.status.is_server_error() {
        return false;
    }
    let decision =
        job.attempts.record(response.target.incarnation(), AttemptOutcome::Failed);
    decision == RetryDecision::RetryWithinBudget && retries::try_take(job, "failed")
}

/// Whether to retry after a failed attempt; takes the retry from the budget where it counts.
fn may_retry(job: &mut Job, decision: RetryDecision, error: &AttemptError) -> bool {
    use AttemptError::{Blocked, Exhausted, Quarantined};
    match decision {
        _ if matches!(error, Blocked | Quarantined | Exhausted) => false,
        RetryDecision::GiveUp => false,
        RetryDecision::RetryWithinBudget => retries::try_take(job, error.label()),
        // An attempt that abandons a server has taken its retry from the budget.
        RetryDecision::Retry => true,
    }
}

/// The refusal after the last attempt failed.
fn failure(job: &Job, error: &AttemptError) -> Refusal {
    match error {
        AttemptError::Late => {
            let message = "timed out before the response started; allow more time";
            Refusal::in_doubt(RefusalCode::Late, message)
        }
        AttemptError::Lost(_) => {
            let message = "the response of the server was lost; retry the request if it \
                may run twice";
            Refusal::in_doubt(RefusalCode::Broken, message)
        }
        AttemptError::Blocked | AttemptError::Quarantined
            if job.attempts.may_have_run() =>
        {
            let message = "the request may have crashed the server that it was sent to; \
                don't retry it";
            Refusal::in_doubt(RefusalCode::Broken, message)
        }
        AttemptError::Blocked => crashes::blocked(),
        AttemptError::Quarantined => crashes::quarantined(),
        AttemptError::Unreachable(_)
        | AttemptError::Rejected(_)
        | AttemptError::Silent
        | AttemptError::Exhausted
        | AttemptError::Resting => no_server(job),
    }
}

fn no_server(job: &Job) -> Refusal {
    if job.shared.now() >= job.deadline {
        let message =
            "timed out before a server could accept the request; allow more time";
        return match job.attempts.may_have_run() {
            true => Refusal::in_doubt(RefusalCode::Late, message),
            false => Refusal::not_run(RefusalCode::Deadline, message)
                .with_retry_after(Duration::ZERO),
        };
    }
    let message = "no server can accept the request now; retry after the given delay";
    match job.attempts.may_have_run() {
        true => Refusal::in_doubt(RefusalCode::Broken, message),
        false => {
            let grace_left = job.shared.fleet().grace_left(job.shared.now());
            let delay = if is_resident(job) {
                DEFAULT_RETRY_DELAY
            } else {
                NOT_RESIDENT_RETRY_DELAY
            };
            Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(grace_left.max(delay))
        }
    }
}

/// Whether an available server has the requested model; `true` if none is requested.
fn is_resident(job: &Job) -> bool {
    let Some(target) = &job.call.target else { return true };
    let fleet = job.shared.fleet();
    let mut available = fleet.available(&job.service, job.shared.now());
    available.any(|(_, server)| server.entry.has_model(&target.model))
}

/// A response body that is complete in memory.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
