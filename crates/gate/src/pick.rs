//! Picks the server that a request is sent to.
//!
//! A plain request waits for a permit from its service's queue. If the queue's holder does
//! not respond, the request goes to the server with the fewest requests of this daemon in
//! flight. For a generation, the daemon requests admission at the runner with the lowest
//! estimated cost ([`bidding`]). While the request waits for admission, it regularly compares
//! the runners again. The request is refused once no runner can start it before its caller
//! times out.

use std::time::Duration;

use chestnut_base::ServerName;
use chestnut_pool::{Bid, Candidate, PermitOutcome, choose};
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::attempt::Target;
use crate::bidding::{self, Admission};
use crate::crashes;
use crate::eligible::{is_version_listed, request_model, rest_end, shortest_rest};
use crate::job::Job;
use crate::late_binding;
use crate::metrics::Step;
use crate::permit::{self, PermitDecision};
use crate::server_limits;

/// The delay before the first retry at the same server; it doubles with each further one.
///
/// Plain requests run for 30 to 60 ms in some six slots, so that a slot becomes free every
/// 10 ms.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The longest wait for a server that has the request's model.
///
/// A load from the weight store takes one to two seconds. A load that was due when the
/// request arrived has finished after four seconds.
const MAX_RESIDENCY_WAIT: Duration = Duration::from_secs(4);

/// The fraction of the caller's wait limit that a request waits for a server with its model.
///
/// If it waited to the end, its caller would leave, though the model may be loaded a second
/// later. Refused before that, the caller retries.
const RESIDENCY_WAIT_FRACTION: f64 = 0.5;

/// How many permits are requested for one request if this daemon can't use the granted ones.
const MAX_PERMIT_REQUESTS: usize = 3;

/// The number of runners by whose forecasts a request has no prospect before it is refused.
///
/// They are those with the best bids, each of which has made two forecasts.
const MAX_FULL_RUNNERS: usize = 2;

/// Why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// No server can accept the request.
    NoServer,
    /// All suitable servers are full until after the caller's wait limit; the estimated wait.
    Full(Duration),
    /// The daemon exits before a server is free.
    Stopping,
    /// No server of the software version that began the stream is listed.
    VersionGone,
    /// All servers that could run the request want none; for how long at least.
    Resting(Duration),
}

/// Picks a server. A generation waits for a runner if none can accept it.
///
/// `missing_adapter` is a server that has just rejected the request for lack of its adapter.
/// Servers in `failed` could not serve the request and are used only as a last resort.
pub async fn pick(
    job: &Job,
    missing_adapter: Option<ServerName>,
    failed: &[ServerName],
) -> Result<Target, PickError> {
    let limit = Instant::from_std(residency_deadline(job));
    let mut listed = job.shared.server_updates.subscribe();
    let mut avoid = failed.to_vec();
    loop {
        listed.borrow_and_update();
        if !is_version_listed(job) {
            return Err(PickError::VersionGone);
        }
        if let Some(rest) = shortest_rest(job) {
            let end =
                Instant::from_std(rest_end(job, rest).ok_or(PickError::Resting(rest))?);
            if limit <= end {
                return Err(PickError::NoServer);
            }
            // A server that is listed meanwhile may be free.
            let _ = timeout_at(end, listed.changed()).await;
            continue;
        }
        match pick_now(job, &mut avoid, missing_adapter.as_ref()).await {
            // Copies that waited at several daemons would all be sent at the same time.
            Err(PickError::NoServer) if crashes::is_quarantined(job) => {
                return Err(PickError::NoServer);
            }
            Err(PickError::NoServer) if job.call.target.is_some() => avoid.clear(),
            result => return result,
        }
        if shortest_rest(job).is_some() {
            continue;
        }
        request_model(job);
        let changed = timeout_at(limit, listed.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Err(PickError::NoServer);
        }
    }
}

/// Picks a server for a stream whose caller has part of it.
///
/// If the daemon begins to shut down meanwhile, the stream joins the queues anew: it has
/// precedence from then on.
pub async fn pick_to_resume(job: &Job) -> Result<Target, PickError> {
    if !job.must_continue() {
        let mut shutting_down = job.shared.shutting_down.subscribe();
        tokio::select! {
            biased;
            picked = pick(job, None, &[]) => return picked,
            // `shared` owns the sender, so the channel can't be closed.
            _ = shutting_down.wait_for(|is_leaving| *is_leaving) => {}
        }
    }
    info!(job.shared.log, "resume before the exit"; "id" => job.id(),
        "age_ms" => job.age().as_millis() as u64);
    pick(job, None, &[]).await
}

/// Until when a request waits for a server with its model.
fn residency_deadline(job: &Job) -> std::time::Instant {
    if job.response_started {
        // The caller has part of the response and can't be asked to retry.
        return job.wait_deadline();
    }
    let wait_limit = job.wait_deadline().saturating_duration_since(job.arrived_at);
    job.arrived_at + MAX_RESIDENCY_WAIT.min(wait_limit.mul_f64(RESIDENCY_WAIT_FRACTION))
}

/// Picks a server that accepts the request now; runners that deny admission are added to
/// `avoid`.
async fn pick_now(
    job: &Job,
    avoid: &mut Vec<ServerName>,
    missing_adapter: Option<&ServerName>,
) -> Result<Target, PickError> {
    if job.call.target.is_some() && job.shared.policy(&job.service).late_binding {
        return late_binding::pick(job, avoid, missing_adapter).await;
    }
    let mut full_waits = Vec::new();
    loop {
        if job.call.target.is_none() {
            return pick_plain(job, avoid).await;
        }
        let Some(chosen) = bidding::pick(job, avoid).await else {
            return Err(match full_waits.iter().min() {
                Some(least) => refuse_early(job, *least, full_waits.len()),
                None => PickError::NoServer,
            });
        };
        let wait = Duration::from_secs_f64(chosen.bid.wait_ms.max(0.0) / 1000.0);
        // A stopped stream is not refused; it waits for capacity until its caller leaves.
        if job.paused_since.is_none() && job.shared.now() + wait > job.wait_deadline() {
            return Err(PickError::Full(wait));
        }
        let mut target = build_target(job, chosen).ok_or(PickError::NoServer)?;
        let missing = missing_adapter == Some(&target.name);
        match bidding::request_admission(job, &target.incarnation(), missing).await {
            Admission::Send(number) => {
                target.number = Some(number);
                return Ok(target);
            }
            // Without a verdict, the request is sent by this daemon's own counts. If such
            // runners were avoided, those whose holders have just started would get no
            // requests until the holders have joined.
            Admission::Silent | Admission::Moved => {
                match server_limits::try_send_share(&job.shared, &target.incarnation()) {
                    Ok(()) => return Ok(target),
                    Err(_) => avoid.push(target.name),
                }
            }
            Admission::Denied => avoid.push(target.name),
            Admission::Full(wait) => {
                full_waits.push(wait);
                if full_waits.len() >= MAX_FULL_RUNNERS {
                    let least = full_waits.iter().min().copied().unwrap_or(wait);
                    return Err(refuse_early(job, least, full_waits.len()));
                }
                avoid.push(target.name);
            }
            Admission::Again if job.shared.now() < job.wait_deadline() => {}
            Admission::Again => return Err(PickError::NoServer),
        }
    }
}

/// Logs that a request is refused by the forecasts of `runners` runners; `wait` is the least
/// expected one.
pub fn refuse_early(job: &Job, wait: Duration, runners: usize) -> PickError {
    let left = job.wait_deadline().saturating_duration_since(job.shared.now());
    job.shared.metrics.count(Step::EarlyRefusal, "refused");
    info!(job.shared.log, "request refused by forecasts"; "id" => job.id(),
        "runners" => runners, "expected_ms" => wait.as_millis() as u64,
        "left_ms" => left.as_millis() as u64, "age_ms" => job.age().as_millis() as u64);
    PickError::Full(wait)
}

/// Waits for a permit from the service's queue; without one, picks by this daemon's own
/// counts.
async fn pick_plain(job: &Job, avoid: &mut Vec<ServerName>) -> Result<Target, PickError> {
    // After a permit for a server that accepts no requests, that server is avoided.
    for _ in 0..MAX_PERMIT_REQUESTS {
        match permit::request_permit(job, avoid).await {
            PermitDecision::Send(number, server) => {
                match permitted_target(job, number, &server) {
                    Some(target) => return Ok(target),
                    None => avoid.push(server),
                }
            }
            PermitDecision::Full(wait) => return Err(PickError::Full(wait)),
            PermitDecision::Nowhere | PermitDecision::Silent | PermitDecision::Moved => {
                break;
            }
        }
    }
    pick_plain_by_own_usage(job, avoid)
}

/// Picks the server with the fewest requests of this daemon in flight among those whose
/// limits allow a request.
fn pick_plain_by_own_usage(job: &Job, avoid: &[ServerName]) -> Result<Target, PickError> {
    let mut exhausted = Vec::new();
    let mut shortest_wait: Option<Duration> = None;
    while let Some(chosen) = pick_by_own_usage(job, avoid, &exhausted) {
        let target = build_target(job, chosen).ok_or(PickError::NoServer)?;
        match server_limits::try_send_share(&job.shared, &target.incarnation()) {
            Ok(()) => return Ok(target),
            Err(wait) => {
                shortest_wait = Some(shortest_wait.map_or(wait, |least| least.min(wait)));
                exhausted.push(target.name);
            }
        }
    }
    Err(shortest_wait.map_or(PickError::NoServer, PickError::Full))
}

/// The server that a permit is for; releases the permit if the server accepts no requests.
fn permitted_target(job: &Job, number: u64, server: &ServerName) -> Option<Target> {
    let now = job.shared.now();
    let chosen = {
        let fleet = job.shared.fleet();
        let key = fleet.key(server);
        let listed = key.and_then(|key| Some((key, fleet.get(key)?)));
        let accepting = listed.filter(|(_, server)| fleet.accepts_requests(server, now));
        accepting.map(|(key, server)| {
            let requests = server.own_usage.requests;
            Candidate { key, bid: Bid { wait_ms: 0.0, cost_ms: 0.0, requests } }
        })
    };
    let target = chosen.and_then(|chosen| build_target(job, chosen));
    if target.is_none() {
        permit::Permit { service: job.service.clone(), number }
            .release(&job.shared, PermitOutcome::Unused);
    }
    Some(Target { number: Some(number), ..target? })
}

/// The server with the fewest requests of this daemon in flight, without those in
/// `exhausted`.
fn pick_by_own_usage(
    job: &Job,
    avoid: &[ServerName],
    exhausted: &[ServerName],
) -> Option<Candidate> {
    let shared = &job.shared;
    let (now, domain) = (shared.now(), &shared.settings.domain);
    let fleet = shared.fleet();
    let available = || {
        let servers = fleet.available(&job.service, now);
        servers
            .filter(|(_, server)| job.software.permits(server.entry.software.as_ref()))
            .filter(|(_, server)| !exhausted.contains(&server.entry.name))
    };
    let preferred = available().filter(|(_, server)| !avoid.contains(&server.entry.name));
    // If all servers have rejected the request, one of them may have free capacity by now.
    choose(preferred, domain, now).or_else(|| choose(available(), domain, now))
}

fn build_target(job: &Job, chosen: Candidate) -> Option<Target> {
    let target = target_of(job, chosen)?;
    log_picked(job, &target, chosen.bid);
    Some(target)
}

/// The target of a request at a server; `None` if it is no longer listed or may not run the
/// request.
pub fn target_of(job: &Job, chosen: Candidate) -> Option<Target> {
    let fleet = job.shared.fleet();
    let server = fleet.get(chosen.key)?;
    if !job.software.permits(server.entry.software.as_ref()) {
        return None;
    }
    let (name, started_at) = (server.entry.name.clone(), server.entry.started_at_ms);
    let (addr, software) = (server.entry.address, server.entry.software.clone());
    Some(Target { key: chosen.key, name, started_at, software, addr, number: None })
}

/// Logs the server that was picked for a request, with the bid that decided.
pub fn log_picked(job: &Job, target: &Target, bid: Bid) {
    let registry = job.shared.tables.servers.announcement(job.shared.now());
    let name = target.name.to_string();
    info!(job.shared.log, "server picked"; "id" => job.id(), "server" => name,
        "target" => job.call.target.as_ref().map(|target| target.to_string()),
        "software" => target.software.as_ref().map(|version| version.as_str()),
        "resumes" => job.call.resumed_id.as_deref(), "after" => job.call.resume_after,
        "cost_ms" => bid.cost_ms as u64, "requests" => bid.requests,
        "registry_version" => registry.map(|(version, _)| version),
        "registry_age_ms" => registry.map(|(_, age)| age));
}

/// Delays a retry at a server that has already failed to serve the request.
///
/// A full server has a free slot only when one of its requests ends. Retried at once, a
/// request would use up its attempts, and part of the retry budget, within milliseconds.
///
/// The request keeps its permit during the delay: a server that rejects requests would not
/// run another one instead.
pub async fn wait_before_retry(server: &ServerName, failed: &[ServerName]) {
    let failures = failed.iter().filter(|name| *name == server).count() as u32;
    if let Some(doublings) = failures.checked_sub(1) {
        tokio::time::sleep(INITIAL_RETRY_DELAY * 2u32.pow(doublings)).await;
    }
}
