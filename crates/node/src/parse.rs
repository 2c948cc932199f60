//! Turns callers' calls into checked work.

use std::time::Duration;

use axum::http::HeaderMap;
use chestnut_base::{
    CallerName, Digest, KindName, Refusal, RefusalCode, RequestId, RequestSpec,
    ServiceName, Target, TeamName, Urgency, prefix_hashes,
};
use chestnut_config::{Catalog, Kind};
use chestnut_wire::HttpCall;
use serde::Deserialize;
use sha2::{Digest as _, Sha256};

use crate::node::Node;

/// The longest `Idempotency-Key`, in bytes.
const KEY_LIMIT: usize = 128;

/// The length of an answer that the caller did not limit, in tokens.
const DEFAULT_OUTPUT: u32 = 256;

/// The greatest length of an answer, in tokens.
const OUTPUT_LIMIT: u32 = 32_768;

/// Bytes of English prompt text to a token, roughly; only estimates rest on it.
const BYTES_PER_TOKEN: usize = 4;

/// The deadline of requests of no declared kind.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// The longest deadline that a caller may ask for.
const DEADLINE_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// A call that was understood.
pub struct Parsed {
    /// The work.
    pub work: RequestSpec,
    /// The path at the backend server.
    pub call_path: String,
    /// The form in which the answer is given.
    pub form: Form,
}

/// The form in which an answer is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Form {
    /// As a completion, with the name that the caller put into `model`.
    Completion(String),
    /// As a chat completion, with the name that the caller put into `model`.
    Chat(String),
    /// As the plain service gave it.
    Plain,
}

/// What is read of a completion's body; the engine gets the rest as it is.
#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

/// A message of a chat.
#[derive(Deserialize)]
struct Message {
    content: String,
}

/// Finds the caller by the key that it sent.
pub fn caller(catalog: &Catalog, headers: &HeaderMap) -> Result<CallerName, Refusal> {
    let key = text(headers, "authorization").strip_prefix("Bearer ").unwrap_or("");
    let unauthorised = |why| Refusal::not_run(RefusalCode::Unauthorised, why);
    if key.is_empty() {
        return Err(unauthorised(
            "send `Authorization: Bearer KEY` with the caller's key",
        ));
    }
    let hash = hex(&Sha256::digest(key.as_bytes()));
    let known = catalog.callers.iter().find(|(_, caller)| caller.key_sha256 == hash);
    known
        .map(|(name, _)| name.clone())
        .ok_or_else(|| unauthorised("no caller with this key is declared; check the key"))
}

/// Understands a call of a model.
pub fn completion(
    node: &Node,
    caller: CallerName,
    call: &HttpCall,
    headers: &HeaderMap,
) -> Result<Parsed, Refusal> {
    let catalog = node.shared.catalog();
    let body: Body = serde_json::from_slice(&call.body)
        .map_err(|error| bad(format!("the body can't be read: {error}")))?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(bad("`n` must be 1: a request has one answer".into()));
    }
    let chat = call.path.starts_with("/v1/chat/");
    let prompt = prompt_text(chat, &body)?;
    let route = catalog.routes.get(&body.model).ok_or_else(|| {
        let text = format!(
            "no route {:?} is declared; GET /v1/models lists the names",
            body.model
        );
        Refusal::not_run(RefusalCode::UnknownModel, text)
    })?;
    let model = catalog.models.get(&route.model).ok_or_else(|| {
        Refusal::not_run(RefusalCode::UnknownModel, "the route's model is gone")
    })?;
    let target = Target::Model {
        model: route.model.clone(),
        version: model.version.clone(),
        adapter: route.adapter.clone(),
    };
    let output = body.max_tokens.or(body.max_completion_tokens).unwrap_or(DEFAULT_OUTPUT);
    if output == 0 || output > OUTPUT_LIMIT {
        return Err(bad(format!("`max_tokens` must be 1 to {OUTPUT_LIMIT}")));
    }
    let terms = terms(&catalog, headers, route.default_kind.as_ref(), &route.team, true)?;
    let digest = digest(&target, call);
    let name = body.model.clone();
    let form = if chat { Form::Chat(name) } else { Form::Completion(name) };
    let work = RequestSpec {
        id: request_id(&caller, headers)?,
        caller,
        team: terms.team,
        kind: terms.name,
        target,
        urgency: terms.urgency,
        budget: terms.deadline,
        idempotent: terms.idempotent,
        stream: body.stream,
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN + 1) as u32,
        max_output_tokens: output,
        prefix_hashes: prefix_hashes(&prompt),
        digest,
    };
    let call_path = call.path.clone();
    Ok(Parsed { work, call_path, form })
}

/// Understands a call of a plain service.
pub fn service(
    node: &Node,
    caller: CallerName,
    call: &HttpCall,
    headers: &HeaderMap,
) -> Result<Parsed, Refusal> {
    let catalog = node.shared.catalog();
    let rest = call.path.strip_prefix("/svc/").unwrap_or("");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = || {
        let text = format!("no plain service {name:?} is declared; check the path");
        Refusal::not_run(RefusalCode::UnknownService, text)
    };
    let name = ServiceName::try_from(name).map_err(|_| unknown())?;
    let service = catalog.services.get(&name).ok_or_else(unknown)?;
    let safe = matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS" | "TRACE");
    let terms =
        terms(&catalog, headers, service.default_kind.as_ref(), &service.team, safe)?;
    let target = Target::Service { name };
    let work = RequestSpec {
        id: request_id(&caller, headers)?,
        caller,
        team: terms.team,
        kind: terms.name,
        urgency: terms.urgency,
        budget: terms.deadline,
        idempotent: safe || terms.idempotent,
        stream: true,
        prompt_tokens: 1,
        max_output_tokens: 1,
        prefix_hashes: Vec::new(),
        digest: digest(&target, call),
        target,
    };
    Ok(Parsed { work, call_path: format!("/{path}"), form: Form::Plain })
}

/// The size for which a request takes memory before its body is read.
pub fn body_size(headers: &HeaderMap, limit: usize) -> Result<usize, Refusal> {
    let declared = text(headers, "content-length");
    if declared.is_empty() {
        return Ok(limit);
    }
    let size = declared.parse().map_err(|_| bad("content-length is no number".into()))?;
    if size > limit { Err(too_large(limit)) } else { Ok(size) }
}

/// The refusal of a body over the limit.
pub fn too_large(limit: usize) -> Refusal {
    let text = format!("the body is larger than {limit} bytes; send a smaller one");
    Refusal::not_run(RefusalCode::TooLarge, text)
}

/// A header as text; empty if it is absent or no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// The terms on which a request is served.
struct Terms {
    name: KindName,
    team: TeamName,
    urgency: Urgency,
    deadline: Duration,
    idempotent: bool,
}

/// Finds the terms by the kind that the caller names or the route's own kind.
///
/// Calls of no declared kind count as idempotent only if `safe`.
fn terms(
    catalog: &Catalog,
    headers: &HeaderMap,
    fallback: Option<&KindName>,
    owner: &TeamName,
    safe: bool,
) -> Result<Terms, Refusal> {
    let (name, kind) = find_kind(catalog, headers, fallback)?;
    let mut terms = match kind {
        Some(kind) => Terms {
            name,
            team: kind.team.clone(),
            urgency: kind.urgency,
            deadline: kind.deadline,
            idempotent: kind.idempotent,
        },
        None => Terms {
            name,
            team: owner.clone(),
            urgency: Urgency::Normal,
            deadline: DEFAULT_DEADLINE,
            idempotent: safe,
        },
    };
    let asked = text(headers, "x-deadline-ms");
    if !asked.is_empty() {
        let millis = asked
            .parse()
            .map_err(|_| bad("`x-deadline-ms` must be a whole number".into()))?;
        terms.deadline = Duration::from_millis(millis).min(DEADLINE_LIMIT);
    }
    if text(headers, "x-idempotent") == "false" {
        terms.idempotent = false;
    }
    Ok(terms)
}

fn find_kind<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
    fallback: Option<&KindName>,
) -> Result<(KindName, Option<&'a Kind>), Refusal> {
    let asked = text(headers, "x-kind");
    let name = match (asked, fallback) {
        ("", None) => {
            let name = KindName::try_from("default").expect("a valid name");
            return Ok((name, None));
        }
        ("", Some(name)) => name.clone(),
        (asked, _) => {
            KindName::try_from(asked).map_err(|error| bad(error.to_string()))?
        }
    };
    let kind = catalog.kinds.get(&name).ok_or_else(|| {
        let text = format!("no kind {name} is declared; check the `x-kind` header");
        Refusal::not_run(RefusalCode::UnknownKind, text)
    })?;
    Ok((name, Some(kind)))
}

fn request_id(
    caller: &CallerName,
    headers: &HeaderMap,
) -> Result<Option<RequestId>, Refusal> {
    let key = text(headers, "idempotency-key");
    if key.is_empty() {
        return Ok(None);
    }
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    if key.len() > KEY_LIMIT || !key.chars().all(valid) {
        let text = format!(
            "`Idempotency-Key` must be 1 to {KEY_LIMIT} letters, digits or signs -_.:@"
        );
        return Err(bad(text));
    }
    Ok(Some(RequestId { caller: caller.clone(), key: key.to_owned() }))
}

fn prompt_text(chat: bool, body: &Body) -> Result<String, Refusal> {
    let messages = || {
        let messages = body.messages.as_ref()?;
        let contents: Vec<&str> =
            messages.iter().map(|message| message.content.as_str()).collect();
        (!contents.is_empty()).then(|| contents.join("\n"))
    };
    let prompt = if chat { messages() } else { body.prompt.clone() };
    let field = if chat { "messages" } else { "prompt" };
    prompt.ok_or_else(|| bad(format!("`{field}` is missing or empty")))
}

fn digest(target: &Target, call: &HttpCall) -> Digest {
    let target = format!("{target:?}");
    Digest::of([
        target.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body[..],
    ])
}

fn bad(text: String) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, text)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
