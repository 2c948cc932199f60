//! Stops latency-tolerant streams for more urgent requests, and resumes them later.
//!
//! The holder of a runner asks a daemon to stop streams there. The daemon stops a stream by
//! closing its connection to the runner, keeps the caller's response open, and waits for
//! admission like any latency-tolerant request. The stream continues after the last event
//! that its caller has. Its resume is a retry, which is taken from the retry budget before
//! the stream is stopped.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use chestnut_base::Incarnation;
use chestnut_pool::{AttemptOutcome, RequestClass};
use indexmap::IndexMap;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::attempt::{AttemptError, ServerResponse, attempt};
use crate::job::Job;
use crate::metrics::Step;
use crate::pick::{PickError, pick_to_resume};
use crate::relay::is_event_stream;
use crate::retries;
use crate::settings::Policy;
use crate::shared::Shared;

/// How long a request to stop a stream holds.
///
/// A stream whose caller reads slowly may see it late, when the urgent request has started
/// or its holder has asked again.
const REQUEST_TTL: Duration = Duration::from_millis(300);

/// The least time that a stream must have left to be stopped.
///
/// A burst of urgent requests lasts for up to five seconds, and a stream runs for three. One
/// that can't wait for the former and then finish would lose what its caller has.
const MIN_TIME_LEFT: Duration = Duration::from_secs(8);

/// The retries that a stop leaves in the budget, besides the one for the resume and one for
/// each stream that is stopped already.
///
/// A resume that waits for a slot is decided on again, as any retry, and requests whose
/// servers fail at the same time must not lack retries because streams were stopped. A
/// daemon has some five retries.
const RESERVED_RETRIES: f64 = 2.0;

/// The pause between two attempts to resume a stream.
const RESUME_PAUSE: Duration = Duration::from_millis(250);

/// A stream that may be stopped.
struct PatientStream {
    server: Incarnation,
    deadline: Instant,
    /// Tells the task that relays the stream when the request to stop it arrived.
    stop: oneshot::Sender<Instant>,
}

#[derive(Default)]
struct Streams {
    last_id: u64,
    by_id: IndexMap<u64, PatientStream>,
    /// Streams that are stopped and wait to be resumed.
    paused: u32,
}

/// The daemon's latency-tolerant streams that may be stopped: their callers have an event,
/// and they were not stopped before.
#[derive(Clone, Default)]
pub struct PatientStreams(Arc<Mutex<Streams>>);

impl PatientStreams {
    /// Lists a stream until the returned guard is dropped.
    pub fn register(&self, server: Incarnation, deadline: Instant) -> StreamRegistration {
        let (stop, stopped) = oneshot::channel();
        let mut streams = self.streams();
        streams.last_id += 1;
        let id = streams.last_id;
        streams.by_id.insert(id, PatientStream { server, deadline, stop });
        StreamRegistration { streams: self.clone(), id, stopped }
    }

    /// Requests at most `count` streams at a server to stop, those with the most time left
    /// first; returns how many.
    pub fn stop(&self, server: &Incarnation, count: u32, now: Instant) -> u32 {
        let mut streams = self.streams();
        let has_time = |stream: &PatientStream| now + MIN_TIME_LEFT <= stream.deadline;
        for stopped in 0..count {
            let candidates = streams.by_id.iter();
            let at_server = candidates
                .filter(|(_, stream)| stream.server == *server && has_time(stream));
            let longest = at_server.max_by_key(|(_, stream)| stream.deadline);
            let Some(id) = longest.map(|(id, _)| *id) else { return stopped };
            if let Some(stream) = streams.by_id.swap_remove(&id) {
                // The stream may have ended at the same time.
                let _ = stream.stop.send(now);
            }
        }
        count
    }

    /// Counts a stream as stopped until the returned guard is dropped.
    fn pause(&self) -> PausedStream {
        self.streams().paused += 1;
        PausedStream(self.clone())
    }

    /// The number of listed streams.
    pub fn count(&self) -> usize {
        self.streams().by_id.len()
    }

    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// A stream that is listed until this is dropped.
pub struct StreamRegistration {
    streams: PatientStreams,
    id: u64,
    stopped: oneshot::Receiver<Instant>,
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        self.streams.streams().by_id.swap_remove(&self.id);
    }
}

/// Counts a stream as stopped until this is dropped.
struct PausedStream(PatientStreams);

impl Drop for PausedStream {
    fn drop(&mut self) {
        self.0.streams().paused -= 1;
    }
}

/// Waits until a listed stream is requested to stop; returns when that was.
///
/// A stream that is not listed is never requested to.
pub async fn requested(registration: &mut Option<StreamRegistration>) -> Instant {
    if let Some(registration) = registration
        && let Ok(at) = (&mut registration.stopped).await
    {
        return at;
    }
    std::future::pending().await
}

/// Whether a request to stop a stream still holds.
pub fn is_current(requested_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(requested_at) < REQUEST_TTL
}

/// Whether the stream of a request may be stopped at all.
pub fn is_eligible(job: &Job) -> bool {
    may_stop(job.shared.policy(&job.service), &job.class())
}

/// Whether the streams of a class of requests may be stopped under a policy.
pub fn may_stop(policy: Policy, class: &RequestClass) -> bool {
    policy.yielding && class.patient
}

/// Stops streams at a runner, as its holder asks.
///
/// A daemon that is shutting down stops none: they are to end before it does.
pub fn stop_streams(shared: &Shared, server: &Incarnation, count: u32) {
    let is_leaving = *shared.shutting_down.borrow();
    let stopped = match is_leaving {
        true => 0,
        false => shared.patient_streams.stop(server, count, shared.now()),
    };
    if stopped < count {
        shared.metrics.count(Step::Yield, "no stream");
    }
    info!(shared.log, "streams requested to yield"; "server" => server.server.as_str(),
        "started_at" => server.started_at, "count" => count, "found" => stopped,
        "leaving" => is_leaving);
}

/// Whether a stream is stopped for more urgent requests.
///
/// The names of the variants are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopDecision {
    /// It is stopped; its resume is taken from the retry budget.
    Stopped,
    /// It runs on; it may be on no other server.
    NoServerLeft,
    /// It runs on; the retry budget has too little left.
    NoBudget,
}

impl StopDecision {
    /// The label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::NoServerLeft => "no server left",
            Self::NoBudget => "no budget",
        }
    }
}

/// Decides whether a stream is stopped: if it may run on another server and the retry budget
/// grants its resume.
pub fn try_stop(job: &mut Job, server: &Incarnation, after: Option<u64>) -> StopDecision {
    let may_yield = {
        let fleet = job.shared.fleet();
        job.attempts.may_yield(server, |incarnation| {
            let listed = fleet.key(&incarnation.server).and_then(|key| fleet.get(key));
            listed.is_some_and(|server| server.incarnation() == *incarnation)
        })
    };
    let decision = match may_yield {
        false => StopDecision::NoServerLeft,
        true if has_budget(job) && retries::try_take(job, "yielded") => {
            StopDecision::Stopped
        }
        true => StopDecision::NoBudget,
    };
    record(job, decision.label(), server, after);
    if decision == StopDecision::Stopped {
        let _ = job.attempts.record(server.clone(), AttemptOutcome::Yielded);
    }
    decision
}

/// Whether the retry budget will also grant the resume when it has waited for a slot.
///
/// The part of a daemon that has just joined, or whose replica of the members is outdated,
/// may be nothing by then.
fn has_budget(job: &Job) -> bool {
    if !retries::has_share(job) {
        return false;
    }
    let paused = job.shared.patient_streams.streams().paused;
    retries::left(job) >= 1.0 + RESERVED_RETRIES + f64::from(paused)
}

/// Resumes a stopped stream when a runner has capacity; `None` if there is none until its
/// caller disconnects.
///
/// `last_event` is the last event that the caller has, and when it got it.
pub async fn resume(
    job: &mut Job,
    last_event: (Option<u64>, Instant),
) -> Option<ServerResponse> {
    let (after, last_event_at) = last_event;
    job.response_started = true;
    job.paused_since = Some(last_event_at);
    let _paused = job.shared.patient_streams.pause();
    let response = wait_for_resume(job, after).await;
    job.paused_since = None;
    match &response {
        Some(response) => record(job, "resumed", &response.target.incarnation(), after),
        None => {
            job.shared.metrics.count(Step::Yield, "not resumed");
            info!(job.shared.log, "stream not resumed"; "id" => job.id(), "after" => after);
        }
    }
    response
}

async fn wait_for_resume(job: &mut Job, after: Option<u64>) -> Option<ServerResponse> {
    // The resume was granted before the stream was stopped.
    let mut is_granted = true;
    while job.shared.now() < job.wait_deadline() {
        is_granted = is_granted || retries::try_take(job, "resumed");
        let picked = match is_granted {
            true => pick_to_resume(job).await,
            false => Err(PickError::NoServer),
        };
        if matches!(picked, Err(PickError::VersionGone)) {
            return None;
        }
        if let Ok(target) = picked {
            let error = match attempt(job, &target, after).await {
                Ok(response) if is_event_stream(&response.head) => return Some(response),
                Ok(_)
                | Err(
                    AttemptError::Late
                    | AttemptError::Blocked
                    | AttemptError::Quarantined,
                ) => return None,
                Err(error) => error,
            };
            let _ = job.attempts.record(target.incarnation(), error.outcome());
            is_granted = false;
        }
        sleep(RESUME_PAUSE).await;
    }
    None
}

fn record(job: &Job, outcome: &'static str, server: &Incarnation, after: Option<u64>) {
    let now = job.shared.now();
    let left = job.wait_deadline().saturating_duration_since(now);
    job.shared.metrics.count(Step::Yield, outcome);
    info!(job.shared.log, "stream yields"; "id" => job.id(), "outcome" => outcome,
        "server" => server.server.as_str(), "after" => after,
        "age_ms" => job.age().as_millis() as u64, "left_ms" => left.as_millis() as u64);
}
