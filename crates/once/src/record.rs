//! How the journal is stored in the platform's services.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, RequestId, ServerName, SlotId, Target,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The number of pages in which a slot's rows are read.
///
/// The journal retains ids for a day, which may be tens of thousands per slot. A
/// row takes about 5 KB while it is read, as text and as parsed values, so ten
/// thousand rows in one read would take most of a daemon's 64 MB.
pub const PAGES_PER_SLOT: u8 = 16;

/// The common prefix of the keys of one page of a slot's rows.
pub fn page_prefix(slot: SlotId, page: u8) -> String {
    format!("{}:{page:x}:", slot.0)
}

/// The key of an id's row.
///
/// A caller's name contains no `/`, so two ids never share a key.
pub fn row_key(slot: SlotId, id: &RequestId) -> String {
    let hash = Digest::of([id.caller.as_str().as_bytes(), id.key.as_bytes()]);
    let page = (hash.0 % u128::from(PAGES_PER_SLOT)) as u8;
    format!("{}{}/{}", page_prefix(slot, page), id.caller, id.key)
}

/// The journal's record of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The slot of the id.
    pub slot: SlotId,
    /// The caller and its idempotency key.
    pub id: RequestId,
    /// A hash of the target and the body.
    pub digest: Digest,
    /// The only attempt at the request.
    pub attempt: AttemptId,
    /// The model or service that the request is for.
    pub target: Target,
    /// Identifies the transaction that wrote the record; 0 if it was not set.
    pub transaction_id: u64,
    /// The backend server, if it was known when the record was written.
    pub server: Option<ServerName>,
    /// The response; a request without one was started and may have run.
    pub response: Option<ResponseSummary>,
}

/// A complete response without its body, as stored in the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseSummary {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The number of tokens in a model's response; `None` for plain services.
    pub tokens: Option<u32>,
    /// Why the model stopped; empty for plain services.
    #[serde(rename = "reason")]
    pub finish_reason: String,
    /// Where the body is stored.
    #[serde(rename = "kept")]
    pub body: BodyLocation,
}

/// Where the body of a response is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyLocation {
    /// In the row.
    Inline(String),
    /// In the object store under this key.
    Object(String),
    /// Not stored: the body is too large, or the object store failed to store it.
    #[serde(rename = "nowhere")]
    NotStored,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The number of tokens in a model's response; `None` for plain services.
    pub tokens: Option<u32>,
    /// Why the model stopped; empty for plain services.
    pub finish_reason: String,
    /// The body; for a model its generated text.
    pub body: Bytes,
}

impl Response {
    /// Builds the summary to store, with the body stored at `body`.
    pub fn summary(&self, body: BodyLocation) -> ResponseSummary {
        ResponseSummary {
            status: self.status,
            content_type: self.content_type.clone(),
            tokens: self.tokens,
            finish_reason: self.finish_reason.clone(),
            body,
        }
    }
}

impl ResponseSummary {
    /// Builds the complete response from a body that was read.
    pub fn with_body(&self, body: Bytes) -> Arc<Response> {
        Arc::new(Response {
            status: self.status,
            content_type: self.content_type.clone(),
            tokens: self.tokens,
            finish_reason: self.finish_reason.clone(),
            body,
        })
    }

    /// The complete response, if its body is in the row.
    pub fn inline_response(&self) -> Option<Arc<Response>> {
        match &self.body {
            BodyLocation::Inline(text) => Some(self.with_body(Bytes::from(text.clone()))),
            BodyLocation::Object(_) | BodyLocation::NotStored => None,
        }
    }
}

/// A row of the journal's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRow {
    /// `None` if the row can't be parsed; its request counts as started.
    pub record: Option<Record>,
    /// The row's version in the table.
    pub version: u64,
}

/// The stored form of a record; its field names are part of the format.
#[derive(Serialize, Deserialize)]
struct RowContent {
    slot: u16,
    caller: CallerName,
    key: String,
    digest: String,
    member: String,
    number: u64,
    #[serde(default)]
    stamp: u64,
    target: Target,
    server: Option<ServerName>,
    answer: Option<ResponseSummary>,
}

impl Record {
    /// The content of the record's row.
    pub fn to_value(&self) -> Value {
        let content = RowContent {
            slot: self.slot.0,
            caller: self.id.caller.clone(),
            key: self.id.key.clone(),
            digest: self.digest.to_string(),
            member: self.attempt.member.to_string(),
            number: self.attempt.number,
            stamp: self.transaction_id,
            target: self.target.clone(),
            server: self.server.clone(),
            answer: self.response.clone(),
        };
        serde_json::to_value(content).expect("a record holds only text and small numbers")
    }

    /// Parses a row's content; `None` if it is malformed.
    pub fn from_value(value: Value) -> Option<Self> {
        let content: RowContent = serde_json::from_value(value).ok()?;
        let digest = u128::from_str_radix(&content.digest, 16).ok()?;
        let member = u64::from_str_radix(&content.member, 16).ok()?;
        Some(Self {
            slot: SlotId(content.slot),
            id: RequestId { caller: content.caller, key: content.key },
            digest: Digest(digest),
            attempt: AttemptId { member: MemberId(member), number: content.number },
            target: content.target,
            transaction_id: content.stamp,
            server: content.server,
            response: content.answer,
        })
    }
}
