//! A slot's log in the object store, used while the table can't be written.
//!
//! Each position of the log is an object, written only if it does not exist. The
//! last position is never removed. A former lead that still appends therefore finds
//! that its position or a later one exists, and knows that the append is void.
//!
//! Each position names the claim under which it was written. A lead whose claim is older
//! than one of these must not seal the log: its seal would void the appends of the
//! current lead, and make its own valid.
//!
//! A void append may take a position that was trimmed, so a trim marks the position that it
//! leaves last, and what precedes a mark doesn't count.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use chestnut_base::{MemberId, RequestId, SlotId};
use chestnut_once::{AppendResult, Record, SlotLog};
use chestnut_plat::{ObjectStore, PlatformError};
use serde_json::{Value, json};

/// Limit on attempts to seal a log that other leads write to at the same time.
const MAX_SEAL_ATTEMPTS: usize = 4;

/// The claim under which a lead writes to a slot's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotClaim {
    /// The lead.
    pub member: MemberId,
    /// The version of the claim's row; it rises with each change of the lead.
    pub version: u64,
}

/// The result of sealing a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealResult {
    /// The log with the seal as its last position.
    Sealed(SlotLog),
    /// A lead with a later claim has written to the log.
    Superseded,
}

/// A position of a log.
struct LogEntry {
    /// The version of the claim under which it was written, if it names that.
    claim: Option<u64>,
    /// Whether positions before this one don't count.
    trimmed: bool,
    /// Empty for a seal or a trimmed position.
    records: Vec<Record>,
}

/// What the positions of a log hold that count.
struct LogContent {
    /// In the order of their positions.
    records: Vec<Record>,
    /// The position after the last one.
    next_position: u64,
    /// The latest claim of any position; `None` if none names its claim.
    last_claim: Option<u64>,
}

/// Reads the log and writes a seal to its next position.
pub async fn seal(
    objects: &ObjectStore,
    slot: SlotId,
    claim: SlotClaim,
) -> Result<SealResult, PlatformError> {
    for _ in 0..MAX_SEAL_ATTEMPTS {
        let LogContent { records, next_position, last_claim } =
            read(objects, slot).await?;
        if last_claim.is_some_and(|last| last > claim.version) {
            return Ok(SealResult::Superseded);
        }
        if put(objects, slot, next_position, encode(claim, false, &[])).await? {
            let next_position = next_position + 1;
            return Ok(SealResult::Sealed(SlotLog { records, next_position }));
        }
    }
    Err(PlatformError::OutcomeUnknown(
        "other daemons write to the slot's log; load the slot again".into(),
    ))
}

/// Writes records to a position, if no other lead has written to it.
pub async fn append(
    objects: &ObjectStore,
    slot: SlotId,
    claim: SlotClaim,
    position: u64,
    records: &[Record],
) -> AppendResult {
    match put(objects, slot, position, encode(claim, false, records)).await {
        Ok(true) => {}
        Ok(false) => return AppendResult::Conflict,
        Err(PlatformError::Unavailable(_)) => return AppendResult::Unavailable,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
            return AppendResult::Unknown;
        }
    }
    // The position may have been free only because the log was trimmed past it.
    match positions(objects, slot).await {
        Ok(positions) if positions.last() == Some(&position) => AppendResult::Appended,
        Ok(_) => AppendResult::Conflict,
        Err(_) => AppendResult::Unknown,
    }
}

/// Empties a position that this lead wrote, and removes those before it.
///
/// The table must have all their records.
pub async fn trim(
    objects: &ObjectStore,
    slot: SlotId,
    claim: SlotClaim,
    position: u64,
) -> Result<(), PlatformError> {
    let body = encode(claim, true, &[]);
    objects.put(&key(slot, position), body, false).await?;
    for stored in positions(objects, slot).await? {
        if stored < position {
            objects.delete(&key(slot, stored)).await?;
        }
    }
    Ok(())
}

/// Whether the log holds a record of the request id.
pub async fn contains(
    objects: &ObjectStore,
    slot: SlotId,
    id: &RequestId,
) -> Result<bool, PlatformError> {
    let LogContent { records, .. } = read(objects, slot).await?;
    Ok(records.iter().any(|record| record.id == *id))
}

async fn read(objects: &ObjectStore, slot: SlotId) -> Result<LogContent, PlatformError> {
    let positions = positions(objects, slot).await?;
    let next_position = positions.last().map_or(0, |position| position + 1);
    let mut content = LogContent { records: Vec::new(), next_position, last_claim: None };
    for position in positions {
        // The records of a position that was trimmed meanwhile are in the table.
        if let Some(bytes) = objects.get(&key(slot, position)).await? {
            let entry = parse(&bytes)?;
            content.last_claim = content.last_claim.max(entry.claim);
            if entry.trimmed {
                content.records.clear();
            }
            content.records.extend(entry.records);
        }
    }
    Ok(content)
}

/// Writes a position if it does not exist; returns whether it now has this content.
///
/// That is also the case if an earlier write succeeded whose acknowledgement was lost.
async fn put(
    objects: &ObjectStore,
    slot: SlotId,
    position: u64,
    body: Bytes,
) -> Result<bool, PlatformError> {
    let key = key(slot, position);
    if objects.put(&key, body.clone(), true).await? {
        return Ok(true);
    }
    Ok(objects.get(&key).await?.is_some_and(|stored| stored == body))
}

async fn positions(
    objects: &ObjectStore,
    slot: SlotId,
) -> Result<Vec<u64>, PlatformError> {
    let prefix = prefix(slot);
    let keys = objects.list(&prefix).await?;
    let mut positions: Vec<u64> =
        keys.iter().filter_map(|key| key.strip_prefix(&prefix)?.parse().ok()).collect();
    positions.sort_unstable();
    Ok(positions)
}

fn encode(claim: SlotClaim, trimmed: bool, records: &[Record]) -> Bytes {
    let records: Vec<Value> = records.iter().map(Record::to_value).collect();
    let entry = json!({
        "seal": claim.to_string(),
        "trimmed": trimmed,
        "records": records,
    });
    Bytes::from(entry.to_string())
}

/// Parses a position. Malformed content is an error, since skipping it could lose the record
/// of a started run.
///
/// Earlier releases name the claim only in seals, and none says that it was trimmed.
fn parse(bytes: &[u8]) -> Result<LogEntry, PlatformError> {
    let malformed = || PlatformError::Protocol("a slot's log is malformed".into());
    let value: Value = serde_json::from_slice(bytes).map_err(|_| malformed())?;
    let claim = value["seal"].as_str().and_then(|claim| claim.split_once('/'));
    let claim = claim.and_then(|(_, version)| version.parse().ok());
    let trimmed = value["trimmed"].as_bool().unwrap_or_default();
    let records = value["records"].as_array().ok_or_else(malformed)?;
    let records: Result<_, _> = records
        .iter()
        .map(|value| Record::from_value(value.clone()).ok_or_else(malformed))
        .collect();
    Ok(LogEntry { claim, trimmed, records: records? })
}

impl Display for SlotClaim {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.member, self.version)
    }
}

fn prefix(slot: SlotId) -> String {
    format!("once/log/{}/", slot.0)
}

fn key(slot: SlotId, position: u64) -> String {
    format!("{}{position:016}", prefix(slot))
}
