//! Picks the server that a request is sent to.
//!
//! A plain request waits in its service's queue for a place; where that does not answer,
//! it goes to the server with the least in flight. A generation goes to the runner whose
//! holder expects its first event soonest, and waits there for its turn; it looks at all
//! runners again while it waits, and is refused once none can begin before its caller
//! leaves.

use std::time::Duration;

use chestnut_base::ServerName;
use chestnut_pool::{Bid, Candidate, PermitOutcome, choose};
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::ask::{self, Turn};
use crate::attempt::Place;
use crate::enqueue::{self, Queued};
use crate::job::Job;

/// The pause before a server is asked for the second time; it doubles then.
///
/// Plain requests run for 30 to 60 ms on some six places, so that one is free in ten.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// How long a request waits for a server that holds its model, at most.
///
/// A load from the weight store takes one to two seconds; later than that another
/// one would not have been missed.
const RESIDENCE_WAIT: Duration = Duration::from_secs(4);

/// The part of its caller's patience that a request waits for a server with its model.
///
/// Held for longer its caller leaves with nothing, though the model may be there a second
/// later; told by then, it comes back.
const RESIDENCE_PART: f64 = 0.5;

/// How often a request asks for another place where it can't use the one that it got.
const ROUNDS: usize = 3;

/// Why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// No server can take the request.
    Nowhere,
    /// Those that could have room in this time, after the caller's patience has ended.
    Full(Duration),
}

/// Picks a server; waits for one if none can take the request.
///
/// `lacking` is a server that turned out not to have the request's adapter;
/// servers on `tried` did not serve the request and are asked only at last.
pub async fn pick(
    job: &Job,
    lacking: Option<ServerName>,
    tried: &[ServerName],
) -> Result<Place, NoPlace> {
    let limit = Instant::from_std(residence_limit(job));
    let mut listed = job.shared.server_updates.subscribe();
    let mut avoid = tried.to_vec();
    loop {
        listed.borrow_and_update();
        match pick_now(job, &mut avoid, lacking.as_ref()).await {
            Err(NoPlace::Nowhere) if job.call.target.is_some() => avoid.clear(),
            decided => return decided,
        }
        let changed = timeout_at(limit, listed.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Err(NoPlace::Nowhere);
        }
    }
}

/// Until when a request waits for a server with its model.
fn residence_limit(job: &Job) -> std::time::Instant {
    if job.begun {
        // Its caller has a part of the answer and can't be told to come back.
        return job.patience();
    }
    let patience = job.patience().saturating_duration_since(job.arrived);
    job.arrived + RESIDENCE_WAIT.min(patience.mul_f64(RESIDENCE_PART))
}

/// Picks a server that can take the request now; those whose adapter can't be
/// loaded go to `avoid`.
async fn pick_now(
    job: &Job,
    avoid: &mut Vec<ServerName>,
    lacking: Option<&ServerName>,
) -> Result<Place, NoPlace> {
    loop {
        if job.call.target.is_none() {
            return pick_plain(job, avoid).await;
        }
        let chosen = ask::pick(job, avoid).await.ok_or(NoPlace::Nowhere)?;
        let wait = Duration::from_secs_f64(chosen.bid.wait_ms.max(0.0) / 1000.0);
        if job.shared.now() + wait > job.patience() {
            return Err(NoPlace::Full(wait));
        }
        let mut place = place(job, chosen).ok_or(NoPlace::Nowhere)?;
        let missed = lacking == Some(&place.name);
        match ask::turn(job, &place.name, missed).await {
            Turn::Send(number) => {
                place.number = Some(number);
                return Ok(place);
            }
            // Nobody knows what is in flight there but this daemon; avoided, runners whose
            // holders have just started would get nothing until these have joined.
            Turn::Silent | Turn::Moved => return Ok(place),
            Turn::Denied => avoid.push(place.name),
            Turn::Again if job.shared.now() < job.patience() => {}
            Turn::Again => return Err(NoPlace::Nowhere),
        }
    }
}

/// Waits for a place in the service's queue; goes by the own counts where none is given.
async fn pick_plain(job: &Job, avoid: &mut Vec<ServerName>) -> Result<Place, NoPlace> {
    // Each round leaves one server out that this daemon knows to be leaving.
    for _ in 0..ROUNDS {
        match enqueue::wait(job, avoid).await {
            Queued::Send(number, server) => match granted(job, number, &server) {
                Some(place) => return Ok(place),
                None => avoid.push(server),
            },
            Queued::Full(wait) => return Err(NoPlace::Full(wait)),
            Queued::Nowhere | Queued::Silent => break,
        }
    }
    let chosen = pick_by_own(job, avoid).ok_or(NoPlace::Nowhere)?;
    place(job, chosen).ok_or(NoPlace::Nowhere)
}

/// The place that a service's queue has given, unless the server takes no requests.
fn granted(job: &Job, number: u64, server: &ServerName) -> Option<Place> {
    let now = job.shared.now();
    let chosen = {
        let fleet = job.shared.fleet();
        let key = fleet.key(server);
        let known = key.and_then(|key| Some((key, fleet.get(key)?)));
        let open = known.filter(|(_, server)| fleet.accepts_requests(server, now));
        open.map(|(key, server)| {
            let requests = server.own_usage.requests;
            Candidate { key, bid: Bid { wait_ms: 0.0, cost_ms: 0.0, requests } }
        })
    };
    let place = chosen.and_then(|chosen| place(job, chosen));
    if place.is_none() {
        enqueue::Ticket { service: job.service.clone(), number }
            .give_back(&job.shared, PermitOutcome::Unused);
    }
    Some(Place { number: Some(number), ..place? })
}

/// The server with the least in flight by this daemon's own counts.
fn pick_by_own(job: &Job, avoid: &[ServerName]) -> Option<Candidate> {
    let shared = &job.shared;
    let (now, domain) = (shared.now(), &shared.settings.domain);
    let fleet = shared.fleet();
    let open = || fleet.available(&job.service, now);
    let fresh = open().filter(|(_, server)| !avoid.contains(&server.entry.name));
    // Where all have rejected it, one may have room by now.
    choose(fresh, domain, now).or_else(|| choose(open(), domain, now))
}

fn place(job: &Job, chosen: Candidate) -> Option<Place> {
    let fleet = job.shared.fleet();
    let server = fleet.get(chosen.key)?;
    let (name, born) = (server.entry.name.clone(), server.entry.started_at_ms);
    let addr = server.entry.address;
    let registry = job.shared.tables.servers.announcement(job.shared.now());
    info!(job.shared.log, "server picked"; "id" => job.id(), "server" => name.to_string(),
        "target" => job.call.target.as_ref().map(|target| target.to_string()),
        "cost_ms" => chosen.bid.cost_ms as u64, "requests" => chosen.bid.requests,
        "registry_version" => registry.map(|(version, _)| version),
        "registry_age_ms" => registry.map(|(_, age)| age));
    Some(Place { key: chosen.key, name, born, addr, number: None })
}

/// Waits before a server that did not serve the request is asked once more.
///
/// A server that is full has room when one of its requests ends. Asked again at once, a
/// request uses up its tries, and a part of all callers' repeats, within milliseconds.
///
/// It keeps its place meanwhile: a server that rejects runs nothing that could use it.
pub async fn pause_before(server: &ServerName, tried: &[ServerName]) {
    let before = tried.iter().filter(|one| *one == server).count() as u32;
    if let Some(doublings) = before.checked_sub(1) {
        tokio::time::sleep(FIRST_PAUSE * 2u32.pow(doublings)).await;
    }
}
