//! The form in which the journal is kept in the platform's services.

use std::sync::Arc;

use bytes::Bytes;
use chestnut_base::{
    AttemptId, CallerName, Digest, MemberId, RequestId, ServerName, SlotId, Target,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The pages in which a slot's rows are read.
///
/// The journal keeps ids for a day, which may be ten thousands in a slot. Read at
/// once they take some 5 KB each for a moment, as text and as parsed values; ten
/// thousand would be most of a daemon's 64 MB.
pub const PAGES_PER_SLOT: u8 = 16;

/// The start of the keys of a page of a slot's rows.
pub fn page_prefix(slot: SlotId, page: u8) -> String {
    format!("{}:{page:x}:", slot.0)
}

/// The key of an id's row.
///
/// A caller's name holds no `/`, so that two ids never share a key.
pub fn row_key(slot: SlotId, id: &RequestId) -> String {
    let hash = Digest::of([id.caller.as_str().as_bytes(), id.key.as_bytes()]);
    let page = (hash.0 % u128::from(PAGES_PER_SLOT)) as u8;
    format!("{}{}/{}", page_prefix(slot, page), id.caller, id.key)
}

/// What the journal keeps of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The slot.
    pub slot: SlotId,
    /// The caller's name for the request.
    pub id: RequestId,
    /// A hash of the target and the body.
    pub digest: Digest,
    /// The only attempt at the request.
    pub attempt: AttemptId,
    /// What the request is sent to.
    pub target: Target,
    /// The mark of the transaction that wrote the record.
    pub transaction_id: u64,
    /// The backend server, if it was known when the record was written.
    pub server: Option<ServerName>,
    /// The answer; a request without one was started and may have run.
    pub response: Option<ResponseSummary>,
}

/// What is known of a whole answer, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseSummary {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The tokens of a model's answer; absent for plain services.
    pub tokens: Option<u32>,
    /// Why the model stopped.
    #[serde(rename = "reason")]
    pub finish_reason: String,
    /// Where the body is.
    #[serde(rename = "kept")]
    pub body: BodyLocation,
}

/// Where the body of a stored answer is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BodyLocation {
    /// In the row.
    Inline(String),
    /// In the object store under this key.
    Object(String),
    /// Nowhere: the object store could not take it.
    #[serde(rename = "nowhere")]
    NotStored,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The tokens of a model's answer; absent for plain services.
    pub tokens: Option<u32>,
    /// Why the model stopped.
    pub finish_reason: String,
    /// The body; a model's answer is its text.
    pub body: Bytes,
}

impl Response {
    /// What is kept of the answer when its body is at `body`.
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
    /// The answer with its body.
    pub fn with_body(&self, body: Bytes) -> Arc<Response> {
        Arc::new(Response {
            status: self.status,
            content_type: self.content_type.clone(),
            tokens: self.tokens,
            finish_reason: self.finish_reason.clone(),
            body,
        })
    }

    /// The answer, if its body is in the row.
    pub fn inline_response(&self) -> Option<Arc<Response>> {
        match &self.body {
            BodyLocation::Inline(text) => Some(self.with_body(Bytes::from(text.clone()))),
            BodyLocation::Object(_) | BodyLocation::NotStored => None,
        }
    }
}

/// A row that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRow {
    /// The record; absent if the row can't be read, which counts as started.
    pub record: Option<Record>,
    /// The row's version.
    pub version: u64,
}

/// A record as a row's content.
#[derive(Serialize, Deserialize)]
struct Content {
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
        let content = Content {
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

    /// Reads a record from a row's content; nothing if it is malformed.
    pub fn from_value(value: Value) -> Option<Self> {
        let content: Content = serde_json::from_value(value).ok()?;
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
