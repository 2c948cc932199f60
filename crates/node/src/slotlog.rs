//! The log of a slot in the object store, for when the table can't be written.
//!
//! Each place of the log is an object that is written only if it does not exist.
//! The last place is never removed, so that whoever led the slot before finds
//! either its place taken or a later one there.

use bytes::Bytes;
use chestnut_base::{RequestId, SlotId};
use chestnut_once::{AppendResult, Record, SlotLog};
use chestnut_plat::{ObjectStore, PlatformError};
use serde_json::{Value, json};

/// How often the seal is tried when other leads write at the same time.
const SEAL_TRIES: usize = 4;

/// Reads the log and takes its next place for the seal.
///
/// `mark` tells this lead's seal from another's.
pub async fn seal(
    objects: &ObjectStore,
    slot: SlotId,
    mark: &str,
) -> Result<SlotLog, PlatformError> {
    for _ in 0..SEAL_TRIES {
        let (records, next) = read(objects, slot).await?;
        if put(objects, slot, next, body(mark, &[])).await? {
            return Ok(SlotLog { records, next_position: next + 1 });
        }
    }
    Err(PlatformError::OutcomeUnknown(
        "other daemons write the slot's log; read it again".into(),
    ))
}

/// Writes records to a place that nobody else has.
pub async fn append(
    objects: &ObjectStore,
    slot: SlotId,
    place: u64,
    records: &[Record],
) -> AppendResult {
    match put(objects, slot, place, body("", records)).await {
        Ok(true) => {}
        Ok(false) => return AppendResult::Conflict,
        Err(PlatformError::Unavailable(_)) => return AppendResult::Unavailable,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Protocol(_)) => {
            return AppendResult::Unknown;
        }
    }
    // The place may be free because the log was trimmed beyond it since.
    match places(objects, slot).await {
        Ok(places) if places.last() == Some(&place) => AppendResult::Appended,
        Ok(_) => AppendResult::Conflict,
        Err(_) => AppendResult::Unknown,
    }
}

/// Removes the places before `place`.
pub async fn trim(
    objects: &ObjectStore,
    slot: SlotId,
    place: u64,
) -> Result<(), PlatformError> {
    for old in places(objects, slot).await? {
        if old < place {
            objects.delete(&key(slot, old)).await?;
        }
    }
    Ok(())
}

/// Whether the log holds a record of the id.
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
    let places = places(objects, slot).await?;
    let mut records = Vec::new();
    for place in &places {
        // A place that was trimmed meanwhile is in the table.
        if let Some(bytes) = objects.get(&key(slot, *place)).await? {
            records.extend(parse(&bytes)?);
        }
    }
    Ok((records, places.last().map_or(0, |place| place + 1)))
}

/// Puts an object that does not exist, or finds that it was put by this very call.
async fn put(
    objects: &ObjectStore,
    slot: SlotId,
    place: u64,
    body: Bytes,
) -> Result<bool, PlatformError> {
    let key = key(slot, place);
    if objects.put(&key, body.clone(), true).await? {
        return Ok(true);
    }
    Ok(objects.get(&key).await?.is_some_and(|held| held == body))
}

async fn places(objects: &ObjectStore, slot: SlotId) -> Result<Vec<u64>, PlatformError> {
    let prefix = prefix(slot);
    let keys = objects.list(&prefix).await?;
    let mut places: Vec<u64> =
        keys.iter().filter_map(|key| key.strip_prefix(&prefix)?.parse().ok()).collect();
    places.sort_unstable();
    Ok(places)
}

fn body(mark: &str, records: &[Record]) -> Bytes {
    let records: Vec<Value> = records.iter().map(Record::to_value).collect();
    Bytes::from(json!({ "seal": mark, "records": records }).to_string())
}

/// Reads a place; one that can't be read may hold starts, so that it is an error.
fn parse(bytes: &[u8]) -> Result<Vec<Record>, PlatformError> {
    let bad = || PlatformError::Protocol("a slot's log is malformed".into());
    let value: Value = serde_json::from_slice(bytes).map_err(|_| bad())?;
    let records = value["records"].as_array().ok_or_else(bad)?;
    records.iter().map(|one| Record::from_value(one.clone()).ok_or_else(bad)).collect()
}

fn prefix(slot: SlotId) -> String {
    format!("once/log/{}/", slot.0)
}

fn key(slot: SlotId, place: u64) -> String {
    format!("{}{place:016}", prefix(slot))
}
