//! Carries out the journal's effects on the table, the object store and engines.

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
use chestnut_reply::check_head;
use chestnut_wire::{OnceState, PeerResponse};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::engine::{self, CallOutcome, LivenessProbe, TokenRange};
use crate::members::CLAIMS;
use crate::node::Node;
use crate::single::{self, ResponseBuilder};
use crate::slotlog::{self, SealResult, SlotClaim};

/// The table of the journal's rows.
pub const JOURNAL: &str = "journal";

/// The largest body that is stored in its row, in bytes.
///
/// Most generated letters and all responses to bookings are smaller; a batch of 128
/// rows of this size is about 1 MB.
const MAX_INLINE_BYTES: usize = 8 * 1024;

/// The largest body that is stored in its row if the object store is unavailable.
const MAX_FALLBACK_INLINE_BYTES: usize = 64 * 1024;

/// How long to try to recover the response of another daemon's run.
///
/// Short, as the caller gets no response meanwhile. It then gets a retry delay, and
/// its retry starts another recovery.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to try while the daemon that started the run is still a member.
///
/// After a planned handover the former lead finishes the run and stores its
/// response. The caller gets no response meanwhile, so this stays below the few
/// seconds after which callers time out; each retry starts another recovery. With
/// 10 s, a caller that times out after 4 s would never get the response that its
/// request is in doubt.
const MEMBER_RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The mean interval between two attempts to recover a response; each costs the
/// platform two reads.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(400);

/// The timeout for an engine's response head when it is queried for an attempt.
const ENGINE_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The most tokens of a response that is recovered from an engine; the limit of its request is
/// not in the journal.
const MAX_RECOVERED_TOKENS: u32 = 1 << 20;

/// Seals a slot's log and reads the slot's rows with their ages.
///
/// `version` is that of the slot's claim.
pub async fn load(
    table: &TableClient,
    objects: &ObjectStore,
    slot: SlotId,
    version: u64,
    me: MemberId,
) -> Event {
    let log = slotlog::seal(objects, slot, SlotClaim { member: me, version }).await;
    // Read after the log, so that records that move from the log to the table
    // meanwhile are not missed.
    let rows = read_rows(table, slot).await;
    match (log, rows) {
        (Ok(SealResult::Superseded), _) => Event::ClaimSuperseded { slot, version },
        (Ok(SealResult::Sealed(log)), Ok(rows)) => {
            Event::SlotLoaded { slot, version, rows, log }
        }
        _ => Event::LoadFailed { slot, version },
    }
}

async fn read_rows(
    table: &TableClient,
    slot: SlotId,
) -> Result<Vec<(JournalRow, Duration)>, PlatformError> {
    let mut rows = Vec::new();
    for page in 0..PAGES_PER_SLOT {
        let delta = table.scan(JOURNAL, &page_prefix(slot, page), 0).await?;
        let now = delta.now;
        rows.extend(delta.rows.into_iter().map(|row| {
            let age = Duration::from_millis(now.saturating_sub(row.modified));
            (journal_row(row), age)
        }));
    }
    Ok(rows)
}

/// Commits a batch in one transaction.
pub async fn commit(table: &TableClient, batch: &Batch) -> CommitResult {
    match table.commit(&transaction(batch)).await {
        Ok(TxnResponse::Committed { version, .. }) => CommitResult::Committed { version },
        Ok(TxnResponse::Conflict { check, row }) => {
            let row = row.filter(|row| row.table == JOURNAL);
            CommitResult::Conflict {
                condition: check,
                row: row.map(journal_row).map(Box::new),
            }
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
                txn.require_version(CLAIMS, ClaimKey::Slot(*slot).to_string(), *version)
            }
            Condition::Absent { slot, id } => {
                txn.require_absent(JOURNAL, row_key(*slot, id))
            }
            Condition::Version { slot, id, version } => {
                txn.require_version(JOURNAL, row_key(*slot, id), *version)
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

fn journal_row(row: Row) -> JournalRow {
    JournalRow { record: Record::from_value(row.value), version: row.version }
}

/// Stores a response's body, or returns it for the row if it is small.
pub async fn store_body(
    node: &Node,
    attempt: AttemptId,
    response: &Response,
) -> BodyLocation {
    let text = std::str::from_utf8(&response.body).ok();
    if let Some(text) = text.filter(|text| text.len() <= MAX_INLINE_BYTES) {
        return BodyLocation::Inline(text.to_owned());
    }
    let key = format!("once/body/{attempt}");
    let put = node.shared.objects.put(&key, response.body.clone(), false).await;
    match (put, text) {
        (Ok(_), _) => BodyLocation::Object(key),
        (Err(_), Some(text)) if text.len() <= MAX_FALLBACK_INLINE_BYTES => {
            BodyLocation::Inline(text.to_owned())
        }
        (Err(_), _) => BodyLocation::NotStored,
    }
}

/// Reads a body from the object store; none if it is missing or can't be read.
pub async fn fetch_body(node: &Node, key: &str) -> Option<Bytes> {
    node.shared.objects.get(key).await.ok().flatten()
}

/// Reads a request's state from the slot's log and the request's row.
pub async fn read_state(node: &Node, slot: SlotId, id: &RequestId) -> OnceState {
    match slotlog::contains(&node.shared.objects, slot, id).await {
        Ok(true) => return OnceState::InDoubt,
        Ok(false) => {}
        Err(error) => return OnceState::Unreadable(error.to_string()),
    }
    let row = match node.shared.table.get(JOURNAL, &row_key(slot, id)).await {
        Ok(Some(row)) => journal_row(row),
        Ok(None) => return OnceState::Unknown,
        Err(error) => return OnceState::Unreadable(error.to_string()),
    };
    let Some(summary) = row.record.and_then(|record| record.response) else {
        return OnceState::InDoubt;
    };
    let response = match (&summary.body, summary.inline_response()) {
        (_, Some(response)) => Some(response),
        (BodyLocation::Object(key), None) => {
            fetch_body(node, key).await.map(|body| summary.with_body(body))
        }
        (BodyLocation::Inline(_) | BodyLocation::NotStored, None) => None,
    };
    match response {
        Some(response) => single::response_state(&response),
        None => OnceState::Unreadable("the response's body can't be read".into()),
    }
}

/// A run, usually started by another daemon, whose response is to be recovered.
pub struct RecoveryRequest {
    /// The slot of the request.
    pub slot: SlotId,
    /// The id that the caller gave the request.
    pub id: RequestId,
    /// The attempt, which names the daemon that started the run.
    pub attempt: AttemptId,
    /// The model or service that the request is for.
    pub target: Target,
    /// The backend server that ran it, if known.
    pub server: Option<ServerName>,
}

/// Tries to recover the response of a run until a timeout.
///
/// The daemon that started the run may be alive and still store the response, the lead of the backend
/// server may have stored it, and an engine may still hold it under the attempt's id.
pub async fn recover(node: &Arc<Node>, request: &RecoveryRequest) -> Recovered {
    let start = node.shared.clock.now();
    loop {
        if let Some(recovered) = try_recover(node, request).await {
            return recovered;
        }
        // A run of this daemon that is to be recovered is no longer running here. With the
        // longer timeout each retry of the caller would only wait longer for a response.
        let foreign = request.attempt.member != node.shared.me;
        let is_member =
            foreign && node.shared.view().members.contains_key(&request.attempt.member);
        let timeout = if is_member { MEMBER_RECOVERY_TIMEOUT } else { RECOVERY_TIMEOUT };
        if node.shared.clock.now() >= start + timeout {
            return Recovered::Nothing;
        }
        sleep(RECOVERY_INTERVAL.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

async fn try_recover(node: &Arc<Node>, request: &RecoveryRequest) -> Option<Recovered> {
    let key = row_key(request.slot, &request.id);
    if let Ok(Some(row)) = node.shared.table.get(JOURNAL, &key).await {
        let JournalRow { record, version } = journal_row(row);
        if let Some(Record { attempt, response: Some(summary), .. }) = record {
            return Some(Recovered::Row { attempt, summary, version });
        }
    }
    let response = match single::read_detached_response(node, request.attempt).await {
        Some(response) => response,
        None => query_engines(node, request).await?,
    };
    let body = store_body(node, request.attempt, &response).await;
    Some(Recovered::Engine { response: Arc::new(response), body })
}

/// Queries the engines that may have run the attempt for its whole response.
async fn query_engines(node: &Arc<Node>, request: &RecoveryRequest) -> Option<Response> {
    let Target::Model { model, version, adapter } = &request.target else {
        return None;
    };
    let view = node.shared.view();
    let residency = node.shared.residency();
    let serving = residency.serving(model, version, adapter.as_ref());
    for name in request.server.iter().chain(serving) {
        let Some(server) = view.servers.get(name) else { continue };
        let response = query_engine(node, server.address, request.attempt).await;
        if response.is_some() {
            return response;
        }
    }
    None
}

async fn query_engine(
    node: &Arc<Node>,
    address: SocketAddr,
    attempt: AttemptId,
) -> Option<Response> {
    let url = format!("http://{address}/v1/requests/{attempt}");
    let call = node.http.get(url).query(&[("from", 0)]).send();
    let response = tokio::time::timeout(ENGINE_QUERY_TIMEOUT, call).await.ok()?.ok()?;
    let is_believed = check_head(response.status(), response.headers()).is_ok();
    if !is_believed || !response.status().is_success() {
        return None;
    }
    let (out, mut frames) = mpsc::channel(64);
    let http = node.http.clone();
    let read = tokio::spawn(async move {
        let probe = LivenessProbe { http: &http, address };
        let tokens = TokenRange { first: 0, max: MAX_RECOVERED_TOKENS };
        engine::read_tokens(response.bytes_stream(), tokens, &out, &probe, |_| {}).await
    });
    let mut builder = ResponseBuilder::new();
    while let Some(frame) = frames.recv().await {
        if let PeerResponse::Tokens { .. } = frame {
            builder.push(&frame);
        }
    }
    match read.await {
        Ok(CallOutcome::Completed(reason)) => builder.finish_whole(reason),
        _ => None,
    }
}
