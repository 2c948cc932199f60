//! Validates callers' HTTP requests and turns them into [`RequestSpec`]s.

use std::time::Duration;

use axum::http::HeaderMap;
use chestnut_account::{KeyDigest, bearer_key};
use chestnut_base::{
    CallerName, Digest, KindName, Refusal, RefusalCode, RequestId, RequestSpec,
    ServiceName, Target, TeamName, Urgency, prefix_hashes,
};
use chestnut_config::{Catalog, Kind};
use chestnut_wire::HttpCall;
use serde::Deserialize;

use crate::node::Node;

/// The longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The output limit of a request that sets none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The largest output limit that a caller may set, in tokens.
const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// Bytes of English prompt text per token, roughly; used only for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// The deadline of a request without a declared kind.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// The upper bound of `x-deadline-ms`; longer values are capped.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// A validated call.
pub struct ParsedRequest {
    /// The request with its target, deadline and estimated size.
    pub request: RequestSpec,
    /// The path and query at the backend server.
    pub server_path: String,
    /// The format of the response to the caller.
    pub format: ResponseFormat,
}

/// The format of a response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseFormat {
    /// A completion, with the name that the caller put into `model`.
    Completion(String),
    /// A chat completion, with the name that the caller put into `model`.
    Chat(String),
    /// The plain service's response, unchanged.
    Passthrough,
}

/// The fields of a completion's body that are read here; the engine gets the others as
/// they are.
#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Finds the caller by the key in its `Authorization` header.
pub fn authenticate(
    catalog: &Catalog,
    headers: &HeaderMap,
) -> Result<CallerName, Refusal> {
    let unauthorised =
        |reason: String| Refusal::not_run(RefusalCode::Unauthorised, reason);
    let values = headers.get_all("authorization").iter().map(|value| value.as_bytes());
    let key = bearer_key(values).map_err(|error| unauthorised(error.to_string()))?;
    catalog.key_holders.get(&KeyDigest::of(key)).cloned().ok_or_else(|| {
        unauthorised("no caller with this key is declared; check the key".into())
    })
}

/// Parses a completion or chat completion of a model.
pub fn parse_completion(
    node: &Node,
    caller: CallerName,
    call: &HttpCall,
    headers: &HeaderMap,
) -> Result<ParsedRequest, Refusal> {
    let catalog = node.shared.catalog();
    let body: CompletionBody = serde_json::from_slice(&call.body)
        .map_err(|error| bad_request(format!("the body can't be read: {error}")))?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(bad_request("`n` must be 1: a request has one completion".into()));
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
        Refusal::not_run(
            RefusalCode::UnknownModel,
            "the route's model is no longer declared; use another route",
        )
    })?;
    let target = Target::Model {
        model: route.model.clone(),
        version: model.version.clone(),
        adapter: route.adapter.clone(),
    };
    let output =
        body.max_tokens.or(body.max_completion_tokens).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if output == 0 || output > MAX_OUTPUT_TOKENS {
        return Err(bad_request(format!(
            "`max_tokens` must be 1 to {MAX_OUTPUT_TOKENS}"
        )));
    }
    let attributes = request_attributes(
        &catalog,
        headers,
        route.default_kind.as_ref(),
        &route.team,
        true,
    )?;
    let digest = digest(&target, call);
    let urgency = caller_urgency(&catalog, &caller).unwrap_or(attributes.urgency);
    let name = body.model.clone();
    let format =
        if chat { ResponseFormat::Chat(name) } else { ResponseFormat::Completion(name) };
    let request = RequestSpec {
        id: request_id(&caller, headers)?,
        caller,
        team: attributes.team,
        kind: attributes.kind,
        target,
        urgency,
        budget: attributes.deadline,
        idempotent: attributes.idempotent,
        stream: body.stream,
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN + 1) as u32,
        max_output_tokens: output,
        prefix_hashes: prefix_hashes(&prompt),
        digest,
    };
    let server_path = call.path.clone();
    Ok(ParsedRequest { request, server_path, format })
}

/// Parses a call of a plain service at `/svc/NAME/PATH`.
pub fn parse_service_call(
    node: &Node,
    caller: CallerName,
    call: &HttpCall,
    headers: &HeaderMap,
) -> Result<ParsedRequest, Refusal> {
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
    let attributes = request_attributes(
        &catalog,
        headers,
        service.default_kind.as_ref(),
        &service.team,
        safe,
    )?;
    let target = Target::Service { name };
    let urgency = caller_urgency(&catalog, &caller).unwrap_or(attributes.urgency);
    let request = RequestSpec {
        id: request_id(&caller, headers)?,
        caller,
        team: attributes.team,
        kind: attributes.kind,
        urgency,
        budget: attributes.deadline,
        idempotent: safe || attributes.idempotent,
        stream: true,
        prompt_tokens: 1,
        max_output_tokens: 1,
        prefix_hashes: Vec::new(),
        digest: digest(&target, call),
        target,
    };
    Ok(ParsedRequest {
        request,
        server_path: format!("/{path}"),
        format: ResponseFormat::Passthrough,
    })
}

/// The urgency that a caller's account declares, which goes before that of the kind.
fn caller_urgency(catalog: &Catalog, caller: &CallerName) -> Option<Urgency> {
    let priority = catalog.callers.get(caller)?.account.priority?;
    Some(match priority {
        0 => Urgency::Urgent,
        1 => Urgency::Normal,
        _ => Urgency::Slow,
    })
}

/// The bytes to reserve for a request before its body is read: `Content-Length`, or
/// `limit` if that header is missing.
pub fn body_size(headers: &HeaderMap, limit: usize) -> Result<usize, Refusal> {
    let declared = header_text(headers, "content-length");
    if declared.is_empty() {
        return Ok(limit);
    }
    let size = declared
        .parse()
        .map_err(|_| bad_request("`Content-Length` must be a whole number".into()))?;
    if size > limit { Err(body_too_large(limit)) } else { Ok(size) }
}

/// The refusal of a body of more than `limit` bytes.
pub fn body_too_large(limit: usize) -> Refusal {
    let text = format!("the body is larger than {limit} bytes; send a smaller one");
    Refusal::not_run(RefusalCode::TooLarge, text)
}

/// A header as text; empty if it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// How a request is scheduled and retried.
struct RequestAttributes {
    kind: KindName,
    team: TeamName,
    urgency: Urgency,
    deadline: Duration,
    idempotent: bool,
}

/// Derives the attributes from the kind in the `x-kind` header, else from the route's or
/// service's own kind, and applies the caller's `x-deadline-ms` and `x-idempotent`.
///
/// A request without a kind counts as idempotent only if `safe`.
fn request_attributes(
    catalog: &Catalog,
    headers: &HeaderMap,
    fallback: Option<&KindName>,
    owner: &TeamName,
    safe: bool,
) -> Result<RequestAttributes, Refusal> {
    let (name, kind) = resolve_kind(catalog, headers, fallback)?;
    let mut attributes = match kind {
        Some(kind) => RequestAttributes {
            kind: name,
            team: kind.team.clone(),
            urgency: kind.urgency,
            deadline: kind.deadline,
            idempotent: kind.idempotent,
        },
        None => RequestAttributes {
            kind: name,
            team: owner.clone(),
            urgency: Urgency::Normal,
            deadline: DEFAULT_DEADLINE,
            idempotent: safe,
        },
    };
    let requested = header_text(headers, "x-deadline-ms");
    if !requested.is_empty() {
        let millis = requested
            .parse()
            .map_err(|_| bad_request("`x-deadline-ms` must be a whole number".into()))?;
        attributes.deadline = Duration::from_millis(millis).min(MAX_DEADLINE);
    }
    if header_text(headers, "x-idempotent") == "false" {
        attributes.idempotent = false;
    }
    Ok(attributes)
}

fn resolve_kind<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
    fallback: Option<&KindName>,
) -> Result<(KindName, Option<&'a Kind>), Refusal> {
    let requested = header_text(headers, "x-kind");
    let name = match (requested, fallback) {
        ("", None) => {
            let name = KindName::try_from("default").expect("a valid name");
            return Ok((name, None));
        }
        ("", Some(name)) => name.clone(),
        (requested, _) => KindName::try_from(requested)
            .map_err(|error| bad_request(error.to_string()))?,
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
    let key = header_text(headers, "idempotency-key");
    if key.is_empty() {
        return Ok(None);
    }
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    if key.len() > MAX_KEY_BYTES || !key.chars().all(valid) {
        let text = format!(
            "`Idempotency-Key` must be 1 to {MAX_KEY_BYTES} letters, digits or characters -_.:@"
        );
        return Err(bad_request(text));
    }
    Ok(Some(RequestId { caller: caller.clone(), key: key.to_owned() }))
}

fn prompt_text(chat: bool, body: &CompletionBody) -> Result<String, Refusal> {
    let messages = || {
        let messages = body.messages.as_ref()?;
        let contents: Vec<&str> =
            messages.iter().map(|message| message.content.as_str()).collect();
        (!contents.is_empty()).then(|| contents.join("\n"))
    };
    let prompt = if chat { messages() } else { body.prompt.clone() };
    let field = if chat { "messages" } else { "prompt" };
    prompt.ok_or_else(|| bad_request(format!("`{field}` is missing or empty")))
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

fn bad_request(text: String) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, text)
}
