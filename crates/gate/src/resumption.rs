//! Streams that callers resume, and records of where streams began.
//!
//! What is recorded where is decided by [`chestnut_pool::origins`], and how a request to resume
//! a stream goes on by [`chestnut_pool::software`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnut_base::{Digest, MemberId, Refusal, RefusalCode, ServiceName};
use chestnut_pool::SoftwareBinding;
use chestnut_pool::origins::{OriginRecord, StreamOrigin, record_keepers};
use chestnut_pool::software::{
    Answers, KnownVersions, OriginKnowledge, Resolution, resolve,
};
use slog::info;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::job::Job;
use crate::message::Message;
use crate::metrics::Step;
use crate::shared::Shared;
use crate::{accounts, table_sync};

/// The number of other daemons that keep the record of a stream.
const KEEPERS: usize = 3;

/// The number of other daemons that are asked for the record of a stream.
///
/// More than keep it: some may have ended, and those that replaced them come in between.
const ASKED: usize = 6;

/// How long daemons have to answer, each time that they are asked.
///
/// The record may still be on its way when its caller already resumes the stream.
const ANSWER_TIMES: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(100), Duration::from_millis(150)];

/// The retry delay sent to callers whose stream can't be resumed by what is known now.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The most records in one datagram.
const MAX_RECORDS: usize = 32;

/// The pause after each group of datagrams with records.
const SEND_PAUSE: Duration = Duration::from_millis(5);

/// The number of records that are sent without a pause.
const SENT_AT_ONCE: usize = 20;

/// Binds a request that resumes a stream to the service and software version that began it.
pub async fn bind(job: &mut Job) -> Result<(), Refusal> {
    if !job.resumes() {
        return Ok(());
    }
    if !job.is_resumable_stream() {
        return match job.call.resumed_id {
            Some(_) => Err(bad_request("streams of this route can't be resumed")),
            None => Ok(()),
        };
    }
    if job.call.resume_after.is_none() {
        return Err(bad_request("name the number of the last event to resume a stream"));
    }
    let attempt = resumed_attempt(job);
    let own = knowledge(&job.shared, attempt, &job.service);
    let is_named = attempt.is_some();
    let mut answers = Answers::default();
    let mut resolution = resolve(is_named, &own, None);
    if let (Resolution::AskOthers, Some(attempt)) = (&resolution, attempt) {
        answers = ask_others(job, attempt, &own).await;
        resolution = resolve(is_named, &own, Some(&answers));
    }
    let result = apply(job, &resolution);
    record_resolution(job, &resolution, &own, &answers);
    result
}

/// Sets the service and the version of a request, or refuses it.
fn apply(job: &mut Job, resolution: &Resolution) -> Result<(), Refusal> {
    match resolution {
        Resolution::Bound(service, binding) => {
            if let Some(service) = service {
                let shares = &job.route().shares;
                if !shares.iter().any(|share| share.service == *service) {
                    return Err(unknown());
                }
                job.service = service.clone();
            }
            job.software = binding.clone();
            Ok(())
        }
        Resolution::Unnamed => Err(bad_request(
            "servers of several software versions serve this route; name the attempt that \
             got the first event of the stream",
        )),
        Resolution::AskOthers | Resolution::Unknown => Err(unknown()),
    }
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

fn unknown() -> Refusal {
    let message = "no daemon knows now which software version began the stream; retry, or \
        start it anew";
    Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(RETRY_DELAY)
}

/// Records where the stream of a request began, before its caller gets the first event.
pub fn record_origin(job: &Job) {
    let SoftwareBinding::Only(software) = &job.software else { return };
    let attempt = match (job.resumes(), &job.call.id) {
        (true, _) => resumed_attempt(job),
        (false, Some(id)) => Some(attempt_digest(job, id)),
        (false, None) => None,
    };
    let Some(attempt) = attempt.filter(|_| job.is_resumable_stream()) else { return };
    let (shared, now) = (&job.shared, job.shared.now());
    // A caller may resume the stream when its attempt is over, and name a budget for each.
    let budget = job.call.budget.unwrap_or_default().max(job.route().timeout);
    let lifetime = budget + job.route().timeout;
    let origin =
        StreamOrigin { service: job.service.clone(), software: software.clone() };
    let lifetime_ms = lifetime.as_millis().try_into().unwrap_or(u32::MAX);
    let record = OriginRecord { attempt, origin, lifetime_ms };
    shared.stream_origins().record(record.clone(), now);
    if shared.software_history().known(&job.service) == KnownVersions::Several {
        send_record(shared, record);
    }
}

/// Sends a record to the daemons that keep it.
fn send_record(shared: &Shared, record: OriginRecord) {
    for (_, addr) in keepers(shared, record.attempt, KEEPERS) {
        shared.peers.send(addr, Message::StreamOrigins(vec![record.clone()]));
    }
}

/// Sends the records of services that have several versions from now on.
pub fn send_mixed(shared: &Arc<Shared>) {
    let mixed = shared.software_history().take_mixed();
    if !mixed.is_empty() {
        tokio::spawn(send_services(shared.clone(), mixed));
    }
}

async fn send_services(shared: Arc<Shared>, services: Vec<ServiceName>) {
    for service in services {
        let records = shared.stream_origins().of_service(&service, shared.now());
        info!(shared.log, "service has several software versions";
            "service" => service.as_str(), "streams" => records.len());
        for group in records.chunks(SENT_AT_ONCE) {
            group.iter().for_each(|record| send_record(&shared, record.clone()));
            sleep(SEND_PAUSE).await;
        }
    }
}

/// Records what another daemon sent.
pub fn apply_records(shared: &Shared, records: Vec<OriginRecord>) {
    let now = shared.now();
    for record in records.into_iter().take(MAX_RECORDS) {
        shared.stream_origins().record(record, now);
    }
}

/// Answers what this daemon knows of an attempt's stream.
pub fn answer(
    shared: &Shared,
    from: SocketAddr,
    number: u64,
    attempt: Digest,
    service: &ServiceName,
) {
    let knowledge = knowledge(shared, Some(attempt), service);
    shared.peers.send(from, Message::OriginResponse { number, knowledge });
}

/// What this daemon knows that may tell where a stream of a service began.
fn knowledge(
    shared: &Shared,
    attempt: Option<Digest>,
    service: &ServiceName,
) -> OriginKnowledge {
    let now = shared.now();
    // Detects a suspension of the daemon, which the age of the tables may not show.
    shared.is_resuming();
    let tables = [&shared.tables.servers, &shared.tables.system];
    let is_loaded = *shared.system_table_loaded.borrow();
    let current =
        is_loaded && tables.iter().all(|table| table_sync::is_current(shared, table));
    // Without the rows of the system table there may have been others than are listed.
    let versions = match shared.software_history().known(service) {
        KnownVersions::One(_) if !is_loaded => KnownVersions::None,
        versions => versions,
    };
    let origin = attempt.and_then(|it| shared.stream_origins().get(it, now).cloned());
    OriginKnowledge { origin, versions, current }
}

/// Asks other daemons what they know, until that decides where the stream began.
async fn ask_others(job: &Job, attempt: Digest, own: &OriginKnowledge) -> Answers {
    let shared = &job.shared;
    let asked = keepers(shared, attempt, ASKED);
    let mut answers = Answers { asked: asked.len(), received: Vec::new() };
    for answer_time in ANSWER_TIMES {
        let round_end = Instant::now() + answer_time;
        let (number, mut receiver) = shared.peers.open_request();
        for (_, addr) in &asked {
            let service = job.service.clone();
            let request = Message::OriginRequest { number, attempt, service };
            shared.peers.send(*addr, request);
        }
        answers.received.clear();
        while !answers.are_enough(own)
            && let Ok(Some(Message::OriginResponse { knowledge, .. })) =
                timeout_at(round_end, receiver.recv()).await
        {
            answers.received.push(knowledge);
        }
        let is_decided = resolve(true, own, Some(&answers)) != Resolution::Unknown;
        if is_decided || asked.is_empty() {
            break;
        }
        sleep_until(round_end).await;
    }
    answers
}

/// The other daemons that may keep the record of an attempt, and their addresses.
fn keepers(
    shared: &Shared,
    attempt: Digest,
    count: usize,
) -> Vec<(MemberId, SocketAddr)> {
    let membership = shared.membership();
    let others = membership
        .members
        .values()
        .map(|(row, _)| row)
        .filter(|row| row.member != shared.peers.me);
    let members = others.map(|row| (row.member, &row.domain));
    let kept_at = record_keepers(attempt, members, count);
    let addr =
        |member: &MemberId| Some((*member, membership.member_row(*member)?.peer_addr));
    kept_at.iter().filter_map(addr).collect()
}

/// Identifies the attempt that a request names as the one that got the first event.
fn resumed_attempt(job: &Job) -> Option<Digest> {
    job.call.resumed_id.as_deref().map(|id| attempt_digest(job, id))
}

/// Identifies an attempt of the request's account.
fn attempt_digest(job: &Job, id: &str) -> Digest {
    let account = accounts::account_name(&job.declarations, job.account);
    Digest::of([account.as_bytes(), id.as_bytes()])
}

fn record_resolution(
    job: &Job,
    resolution: &Resolution,
    own: &OriginKnowledge,
    answers: &Answers,
) {
    let shared = &job.shared;
    let outcome = match resolution {
        Resolution::Bound(Some(_), _) => "recorded",
        Resolution::Bound(None, _) => "single version",
        Resolution::AskOthers | Resolution::Unknown => "unknown",
        Resolution::Unnamed => "unnamed",
    };
    shared.metrics.count(Step::Resume, outcome);
    let now = shared.now();
    let age = |table: &table_sync::SyncedTable| {
        table.age(now).map(|age| age.as_millis() as u64)
    };
    info!(shared.log, "resumed stream looked up"; "id" => job.id(),
        "resumes" => job.call.resumed_id.as_deref(), "after" => job.call.resume_after,
        "outcome" => outcome, "service" => job.service.as_str(),
        "software" => job.software.name(), "versions" => format!("{:?}", own.versions),
        "current" => own.current, "asked" => answers.asked, "answers" => answers.received.len(),
        "registry_age_ms" => age(&shared.tables.servers),
        "system_age_ms" => age(&shared.tables.system),
        "ms" => job.age().as_millis() as u64);
}
