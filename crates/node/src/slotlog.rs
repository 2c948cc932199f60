//! A slot's log in the object store, used while the table can't be written.
//!
//! Each position of the log is an object, written only if it does not exist. The
//! last position is never removed. A former lead that still appends therefore finds
//! that its position or a later one exists, and knows that the append is void.

use bytes::Bytes;
use chestnut_base::{RequestId, SlotId};
use chestnut_once::{AppendResult, Record, SlotLog};
use chestnut_plat::{ObjectStore, PlatformError};
use serde_json::{Value, json};

/// Limit on attempts to seal a log that other leads write to at the same time.
const MAX_SEAL_ATTEMPTS: usize = 4;

/// Reads the log and writes a seal to its next position.
///
/// `seal_id` distinguishes this lead's seal from those of other leads.
pub async fn seal(
    objects: &ObjectStore,
    slot: SlotId,
    seal_id: &str,
) -> Result<SlotLog, PlatformError> {
    for _ in 0..MAX_SEAL_ATTEMPTS {
        let (records, next_position) = read(objects, slot).await?;
        if put(objects, slot, next_position, encode(seal_id, &[])).await? {
            return Ok(SlotLog { records, next_position: next_position + 1 });
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
    position: u64,
    records: &[Record],
) -> AppendResult {
    match put(objects, slot, position, encode("", records)).await {
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

/// Removes the positions before `position`.
pub async fn trim(
    objects: &ObjectStore,
    slot: SlotId,
    position: u64,
) -> Result<(), PlatformError> {
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
    let (records, _) = read(objects, slot).await?;
    Ok(records.iter().any(|record| record.id == *id))
}

async fn read(
    objects: &ObjectStore,
    slot: SlotId,
) -> Result<(Vec<Record>, u64), PlatformError> {
    let positions = positions(objects, slot).await?;
    let mut records = Vec::new();
    for position in &positions {
        // The records of a position that was trimmed meanwhile are in the table.
        if let Some(bytes) = objects.get(&key(slot, *position)).await? {
            records.extend(parse(&bytes)?);
        }
    }
    Ok((records, positions.last().map_or(0, |position| position + 1)))
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

fn encode(seal_id: &str, records: &[Record]) -> Bytes {
    let records: Vec<Value> = records.iter().map(Record::to_value).collect();
    Bytes::from(json!({ "seal": seal_id, "records": records }).to_string())
}

/// Parses the records of a position. Malformed content is an error, since skipping it could
/// lose the record of a started run.
fn parse(bytes: &[u8]) -> Result<Vec<Record>, PlatformError> {
    let malformed = || PlatformError::Protocol("a slot's log is malformed".into());
    let value: Value = serde_json::from_slice(bytes).map_err(|_| malformed())?;
    let records = value["records"].as_array().ok_or_else(malformed)?;
    records
        .iter()
        .map(|value| Record::from_value(value.clone()).ok_or_else(malformed))
        .collect()
}

fn prefix(slot: SlotId) -> String {
    format!("once/log/{}/", slot.0)
}

fn key(slot: SlotId, position: u64) -> String {
    format!("{}{position:016}", prefix(slot))
}
