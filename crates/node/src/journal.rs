//! Carries out what the journal wants of the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{AttemptId, MemberId, RequestId, ServerName, SlotId, Target};
use chestnut_member::ClaimKey;
use chestnut_once::{
    Batch, BodyLocation, Change, CommitResult, Condition, Event, JournalRow,
    PAGES_PER_SLOT, Record, Recovered, Response, page_prefix, row_key,
};
use chestnut_plat::{ObjectStore, PlatformError, Row, TableClient, Txn, TxnResponse};
use chestnut_wire::{OnceState, PeerResponse};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::engine::{self, CallOutcome, LivenessProbe};
use crate::members::CLAIMS;
use crate::node::Node;
use crate::single::{self, Gather};
use crate::slotlog;

/// The table of the journal's rows.
pub const JOURNAL: &str = "journal";

/// The largest body that is kept in a row, in bytes.
///
/// Most letters and all bookings are smaller; a batch of 128 such rows stays
/// below 1 MB.
const INLINE: usize = 8 * 1024;

/// The largest body that is kept in a row if the object store can't take it.
const INLINE_AT_NEED: usize = 64 * 1024;

/// How long the answer of an earlier daemon's run is looked for.
///
/// Short, as the caller hears nothing meanwhile; it is told when to ask again, and
/// then it is looked for again.
const SEEK_TIME: Duration = Duration::from_secs(1);

/// How long it is looked for while the earlier daemon still is a member.
///
/// After a planned handover the earlier lead finishes the run and stores its
/// answer. Whoever asks hears nothing meanwhile, so that this stays below the few
/// seconds after which callers give up; they come back as told, and each time it
/// is looked for again. With 10 s, callers that gave up after 4 s never heard a
/// word about a letter that was in doubt.
const SEEK_LIVING: Duration = Duration::from_secs(3);

/// The pause between two looks; each costs the platform two reads.
const SEEK_PAUSE: Duration = Duration::from_millis(400);

/// How long an engine may be silent about a request that is asked for.
const ATTACH_WAIT: Duration = Duration::from_secs(2);

/// Seals a slot's log and reads the slot's rows with their ages.
pub async fn load(
    table: &TableClient,
    objects: &ObjectStore,
    slot: SlotId,
    version: u64,
    me: MemberId,
) -> Event {
    let mark = format!("{me}/{version}");
    let log = slotlog::seal(objects, slot, &mark).await;
    // The rows are read after the log: what is moved from there meanwhile is seen.
    let rows = rows(table, slot).await;
    match (log, rows) {
        (Ok(log), Ok(rows)) => Event::SlotLoaded { slot, version, rows, log },
        _ => Event::LoadFailed { slot, version },
    }
}

async fn rows(
    table: &TableClient,
    slot: SlotId,
) -> Result<Vec<(JournalRow, Duration)>, PlatformError> {
    let mut rows = Vec::new();
    for page in 0..PAGES_PER_SLOT {
        let delta = table.scan(JOURNAL, &page_prefix(slot, page), 0).await?;
        let now = delta.now;
        rows.extend(delta.rows.into_iter().map(|row| {
            let age = Duration::from_millis(now.saturating_sub(row.modified));
            (known(row), age)
        }));
    }
    Ok(rows)
}

/// Commits a batch.
pub async fn commit(table: &TableClient, batch: &Batch) -> CommitResult {
    match table.commit(&transaction(batch)).await {
        Ok(TxnResponse::Committed { version, .. }) => CommitResult::Committed { version },
        Ok(TxnResponse::Conflict { check, row }) => {
            let row = row.filter(|row| row.table == JOURNAL);
            CommitResult::Conflict { condition: check, row: row.map(known).map(Box::new) }
        }
        Err(PlatformError::Unavailable(_)) => CommitResult::Unavailable,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
            CommitResult::Unknown
        }
    }
}

fn transaction(batch: &Batch) -> Txn {
    let mut txn = Txn::new();
    for condition in &batch.conditions {
        txn = match condition {
            Condition::Claim { slot, version } => {
                txn.version(CLAIMS, ClaimKey::Slot(*slot).to_string(), *version)
            }
            Condition::Absent { slot, id } => txn.absent(JOURNAL, row_key(*slot, id)),
            Condition::Version { slot, id, version } => {
                txn.version(JOURNAL, row_key(*slot, id), *version)
            }
        };
    }
    for change in &batch.changes {
        txn = match change {
            Change::Put(record) => {
                let key = row_key(record.slot, &record.id);
                txn.put(JOURNAL, key, record.to_value())
            }
            Change::Delete { slot, id } => txn.delete(JOURNAL, row_key(*slot, id)),
        };
    }
    txn
}

fn known(row: Row) -> JournalRow {
    JournalRow { record: Record::from_value(row.value), version: row.version }
}

/// Puts an answer's body where it is kept: small ones into the row.
pub async fn keep(node: &Node, attempt: AttemptId, answer: &Response) -> BodyLocation {
    let text = std::str::from_utf8(&answer.body).ok();
    if let Some(text) = text.filter(|text| text.len() <= INLINE) {
        return BodyLocation::Inline(text.to_owned());
    }
    let key = format!("once/body/{attempt}");
    let put = node.shared.objects.put(&key, answer.body.clone(), false).await;
    match (put, text) {
        (Ok(_), _) => BodyLocation::Object(key),
        (Err(_), Some(text)) if text.len() <= INLINE_AT_NEED => {
            BodyLocation::Inline(text.to_owned())
        }
        (Err(_), _) => BodyLocation::NotStored,
    }
}

/// Reads a kept body.
pub async fn fetch(node: &Node, key: &str) -> Option<Bytes> {
    node.shared.objects.get(key).await.ok().flatten()
}

/// Tells what the slot's log and an id's row say.
pub async fn confirm(node: &Node, slot: SlotId, id: &RequestId) -> OnceState {
    match slotlog::holds(&node.shared.objects, slot, id).await {
        Ok(true) => return OnceState::InDoubt,
        Ok(false) => {}
        Err(error) => return OnceState::Unreadable(error.to_string()),
    }
    let row = match node.shared.table.get(JOURNAL, &row_key(slot, id)).await {
        Ok(Some(row)) => known(row),
        Ok(None) => return OnceState::Unknown,
        Err(error) => return OnceState::Unreadable(error.to_string()),
    };
    let Some(summary) = row.record.and_then(|record| record.response) else {
        return OnceState::InDoubt;
    };
    let answer = match (&summary.body, summary.inline_response()) {
        (_, Some(answer)) => Some(answer),
        (BodyLocation::Object(key), None) => {
            fetch(node, key).await.map(|body| summary.with_body(body))
        }
        (BodyLocation::Inline(_) | BodyLocation::NotStored, None) => None,
    };
    match answer {
        Some(answer) => single::state(&answer),
        None => OnceState::Unreadable("the answer's body can't be read".into()),
    }
}

/// What is known of a run that an earlier daemon made.
pub struct Sought {
    /// The slot.
    pub slot: SlotId,
    /// The id.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// What the request was sent to.
    pub target: Target,
    /// The backend server, if known.
    pub server: Option<ServerName>,
}

/// Looks for the answer of a run that an earlier daemon made, for a while.
///
/// The earlier daemon may live and store it yet, the lead of the backend server
/// may have kept it, and an engine may still have it under the attempt's id.
pub async fn seek(node: &Arc<Node>, sought: &Sought) -> Recovered {
    let start = node.shared.clock.now();
    loop {
        if let Some(found) = look(node, sought).await {
            return found;
        }
        // Its own runs this daemon knows itself; waiting for itself, it would leave
        // whoever asks again without an answer for ten seconds each time.
        let earlier = sought.attempt.member != node.shared.me;
        let lives =
            earlier && node.shared.view().members.contains_key(&sought.attempt.member);
        let time = if lives { SEEK_LIVING } else { SEEK_TIME };
        if node.shared.clock.now() >= start + time {
            return Recovered::Nothing;
        }
        sleep(SEEK_PAUSE.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

async fn look(node: &Arc<Node>, sought: &Sought) -> Option<Recovered> {
    let key = row_key(sought.slot, &sought.id);
    if let Ok(Some(row)) = node.shared.table.get(JOURNAL, &key).await {
        let known = known(row);
        if let Some(summary) = known.record.and_then(|record| record.response) {
            return Some(Recovered::Row { summary, version: known.version });
        }
    }
    let answer = match single::late_answer(node, sought.attempt).await {
        Some(answer) => answer,
        None => attach(node, sought).await?,
    };
    let kept = keep(node, sought.attempt, &answer).await;
    Some(Recovered::Engine { response: Arc::new(answer), body: kept })
}

/// Asks the engines that may have run the attempt for its whole answer.
async fn attach(node: &Arc<Node>, sought: &Sought) -> Option<Response> {
    let Target::Model { model, version, adapter } = &sought.target else {
        return None;
    };
    let view = node.shared.view();
    let residence = node.shared.residence();
    let serving = residence.serving(model, version, adapter.as_ref());
    for name in sought.server.iter().chain(serving) {
        let Some(server) = view.servers.get(name) else { continue };
        let answer = read_engine(node, server.address, sought.attempt).await;
        if answer.is_some() {
            return answer;
        }
    }
    None
}

async fn read_engine(
    node: &Arc<Node>,
    address: SocketAddr,
    attempt: AttemptId,
) -> Option<Response> {
    let url = format!("http://{address}/v1/requests/{attempt}");
    let call = node.http.get(url).query(&[("from", 0)]).send();
    let stream = tokio::time::timeout(ATTACH_WAIT, call).await.ok()?.ok()?;
    if !stream.status().is_success() {
        return None;
    }
    let (out, mut frames) = mpsc::channel(64);
    let http = node.http.clone();
    let read = tokio::spawn(async move {
        let pulse = LivenessProbe { http: &http, address };
        engine::read_tokens(stream.bytes_stream(), 0, &out, &pulse, |_| {}).await
    });
    let mut gather = Gather::new();
    while let Some(say) = frames.recv().await {
        if let PeerResponse::Tokens { .. } = say {
            gather.push(&say);
        }
    }
    match read.await {
        Ok(CallOutcome::Completed(reason)) => Some(gather.finish(reason)),
        _ => None,
    }
}
