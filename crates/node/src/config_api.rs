//! The HTTP API with which operators read and change declarations.
//!
//! Every call names its team in `x-team` and carries the team's key as
//! `authorization: Bearer KEY`. The settings hold only the key's SHA-256; the key
//! itself is never logged or written to the debug state. Any team may read; only
//! the team that owns the files may change them.
//!
//! | call | result |
//! |---|---|
//! | `POST /v1/config/plan` | the effect of a [`Change`], without applying it |
//! | `POST /v1/config/apply` | applies a [`Change`] and returns the verdict |
//! | `GET /v1/config/change/ID` | the verdict on an earlier change of the team |
//! | `GET /v1/config/files?at=N` | the team's files, now or at a revision |
//! | `GET /v1/config/history?limit=N` | the newest revisions |
//! | `GET /v1/config/show/SUBJECT` | rows, see [`show_rows`] |
//! | `GET /v1/config/explain?...` | how a request would be handled |
//! | `POST /v1/config/drain` | drains a VM |

use std::sync::Arc;

use axum::extract::rejection::JsonRejection;
use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chestnut_base::{Revision, TeamName, VmName};
use chestnut_config::history::{MAX_ROLLBACK_REVISIONS, roll_back};
use chestnut_config::rows::{HistoryEntry, REVISIONS_PER_BLOCK};
use chestnut_config::{ApplyOutcome, Change, Plan, RefusalReason, Verdict, keys};
use chestnut_intake::{BodyError, Connection, body};
use chestnut_member::View;
use chestnut_plat::{PlatformError, Txn};
use serde::Deserialize;
use serde_json::json;

use crate::entry::BODY_TIMEOUT;
use crate::members::{DRAINS, DrainRow};
use crate::node::Node;
use crate::shared::Shared;
use crate::{config_sync, explain, show_rows};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Number of revisions that the history returns by default.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of revisions that the history returns.
const MAX_HISTORY_LIMIT: usize = 1000;

/// The routes under `/v1/config`.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/config/plan", post(plan))
        .route("/v1/config/apply", post(apply))
        .route("/v1/config/change/{id}", get(change))
        .route("/v1/config/files", get(files))
        .route("/v1/config/history", get(history))
        .route("/v1/config/show/{subject}", get(show))
        .route("/v1/config/explain", get(explain_request))
        .route("/v1/config/drain", post(drain))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(from_fn_with_state(node.clone(), read_body))
        .with_state(node)
}

/// Reads the body of a call before its handler, into memory that is accounted for.
async fn read_body(
    State(node): State<Arc<Node>>,
    request: Request,
    next: Next,
) -> Result<Response, ApiError> {
    let (parts, body) = request.into_parts();
    let connection = parts.extensions.get::<Arc<Connection>>();
    let connection =
        connection.ok_or_else(|| ApiError::unread(&BodyError::OutOfMemory))?;
    let deadline = node.shared.clock.now() + BODY_TIMEOUT;
    let body = body::read(body, connection, MAX_BODY_BYTES, deadline).await;
    let body = body.map_err(|error| ApiError::unread(&error))?;
    Ok(next.run(Request::from_parts(parts, body.into())).await)
}

type JsonBody<T> = Result<Json<T>, JsonRejection>;

async fn plan(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: JsonBody<Change>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    let change = authorized_change(shared, &headers, body)?;
    // A plan is useful during an outage too; it states the revision it is based on.
    let files = match config_sync::refresh(shared).await {
        Ok(files) => files,
        Err(_) => config_sync::files(shared),
    };
    let revision = files.revision();
    let next = Revision(revision.0 + 1);
    let runners = config_sync::runner_counts(shared);
    let (refusal, plan): (Option<RefusalReason>, _) =
        match change.evaluate(&files, &runners, next) {
            Ok(new) => (None, Plan::diff(&shared.catalog(), &new)),
            Err(reason) => (Some(reason), Plan::default()),
        };
    Ok(Json(json!({ "revision": revision, "reason": refusal, "plan": plan }))
        .into_response())
}

async fn apply(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: JsonBody<Change>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    let change = authorized_change(shared, &headers, body)?;
    match config_sync::apply_change(shared, change).await {
        ApplyOutcome::Decided(verdict) => Ok(verdict_response(verdict)),
        ApplyOutcome::Undecided(reason) => Err(ApiError::undecided(&reason)),
        ApplyOutcome::IdReused => Err(ApiError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the id was already used for a different change; choose a new id",
        )),
    }
}

async fn change(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    let team = authenticate(shared, &headers)?;
    match config_sync::stored_verdict(shared, &team, &id).await? {
        Some(stored) => Ok(verdict_response(stored.verdict)),
        None => Err(ApiError::new(
            StatusCode::NOT_FOUND,
            "this change is not decided yet; apply it again with the same id",
        )),
    }
}

fn verdict_response(verdict: Verdict) -> Response {
    let status = match verdict {
        Verdict::Accepted { .. } => StatusCode::OK,
        Verdict::Refused { .. } => StatusCode::CONFLICT,
    };
    (status, Json(verdict)).into_response()
}

#[derive(Deserialize)]
struct FilesQuery {
    at: Option<u64>,
}

async fn files(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<FilesQuery>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    let team = authenticate(shared, &headers)?;
    let refreshed = config_sync::refresh(shared).await;
    // During an outage the files in force are still useful for a plan.
    let files = match (refreshed, query.at) {
        (Ok(files), _) => files,
        (Err(_), None) => config_sync::files(shared),
        (Err(error), Some(_)) => return Err(error.into()),
    };
    let newest = files.revision();
    let mut text = files.of_team(&team);
    if let Some(at) = query.at {
        let entries = entries_after(shared, newest, at).await?;
        text = roll_back(&team, text, Revision(at), &entries);
    }
    Ok(Json(json!({ "revision": newest, "files": text.files })).into_response())
}

/// All revisions after `at` up to `newest`, newest first.
async fn entries_after(
    shared: &Shared,
    newest: Revision,
    at: u64,
) -> Result<Vec<HistoryEntry>, ApiError> {
    let count = newest.0.checked_sub(at).ok_or_else(|| {
        ApiError::new(
            StatusCode::NOT_FOUND,
            format!("there is no revision {at}; the newest is {newest}"),
        )
    })?;
    if count > MAX_ROLLBACK_REVISIONS {
        return Err(ApiError::new(
            StatusCode::NOT_FOUND,
            format!(
                "revision {at} is more than {MAX_ROLLBACK_REVISIONS} revisions back; apply the files \
                 from your version control"
            ),
        ));
    }
    let entries = newest_entries(shared, newest, count as usize).await?;
    if entries.len() as u64 != count {
        return Err(ApiError::new(
            StatusCode::NOT_FOUND,
            format!(
                "the history does not reach back to revision {at}; apply the files from \
                 your version control"
            ),
        ));
    }
    Ok(entries)
}

/// The newest `count` revisions up to `newest`, newest first.
async fn newest_entries(
    shared: &Shared,
    newest: Revision,
    count: usize,
) -> Result<Vec<HistoryEntry>, PlatformError> {
    let mut newest_first: Vec<HistoryEntry> = Vec::new();
    let mut block = Some(newest.0 / REVISIONS_PER_BLOCK);
    while let Some(number) = block
        && newest_first.len() < count
    {
        let entries =
            config_sync::history_block(shared, Revision(number * REVISIONS_PER_BLOCK))
                .await?;
        newest_first.extend(entries.into_iter().filter(|entry| entry.revision <= newest));
        block = number.checked_sub(1);
    }
    newest_first.truncate(count);
    Ok(newest_first)
}

#[derive(Deserialize)]
struct HistoryQuery {
    limit: Option<usize>,
}

async fn history(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<HistoryQuery>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    authenticate(shared, &headers)?;
    let newest = config_sync::refresh(shared).await?.revision();
    let count = query.limit.unwrap_or(DEFAULT_HISTORY_LIMIT).min(MAX_HISTORY_LIMIT);
    let entries = newest_entries(shared, newest, count).await?;
    let rows: Vec<_> = entries.iter().map(show_rows::history_entry).collect();
    Ok(Json(json!({ "revision": newest, "rows": rows })).into_response())
}

async fn show(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Path(subject): Path<String>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    authenticate(shared, &headers)?;
    let rows = match subject.as_str() {
        "daemons" => Some(show_rows::daemons(&node).await),
        _ => show_rows::rows(shared, &subject),
    };
    match rows {
        Some(rows) => Ok(Json(json!({
            "revision": shared.catalog().revision,
            "fresh": config_sync::is_fresh(shared, shared.clock.now()),
            "rows": rows,
        }))
        .into_response()),
        None => Err(ApiError::new(
            StatusCode::NOT_FOUND,
            format!("{subject:?} can't be shown; see docs/LANGUAGE.md for the subjects"),
        )),
    }
}

async fn explain_request(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<explain::ExplainQuery>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    authenticate(shared, &headers)?;
    Ok(Json(explain::explain(&node, &query).await).into_response())
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    vm: VmName,
    author: String,
}

async fn drain(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: JsonBody<DrainRequest>,
) -> Result<Response, ApiError> {
    let shared = &node.shared;
    let team = authenticate(shared, &headers)?;
    let Json(request) = body?;
    let view = shared.view();
    let member = view.members.iter().find(|(_, member)| member.vm == request.vm);
    let Some((&member, _)) = member else {
        return Err(no_such_daemon(&view, &request.vm));
    };
    // The row names the daemon's incarnation, so that a replacement VM with the same
    // name is not drained.
    let row = DrainRow { member, requested_by: format!("{} ({team})", request.author) };
    let txn = Txn::new().put(DRAINS, request.vm.as_str(), json!(row));
    match shared.table.commit(&txn).await {
        Ok(_) => Ok(Json(json!({ "vm": request.vm, "member": member.to_string() }))
            .into_response()),
        Err(error) => Err(ApiError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("the drain may not have been recorded ({error}); repeat it"),
        )),
    }
}

fn no_such_daemon(view: &View, vm: &VmName) -> ApiError {
    let message = if view.servers.keys().any(|name| name.as_str() == vm.as_str()) {
        format!(
            "{vm} is a backend server; mark its VM as leaving in the platform's list, \
             which the daemons read"
        )
    } else {
        format!("no daemon runs on a VM {vm}; see `show daemons`")
    };
    ApiError::new(StatusCode::NOT_FOUND, message)
}

/// The change in the body, provided that the calling team owns its files.
fn authorized_change(
    shared: &Shared,
    headers: &HeaderMap,
    body: JsonBody<Change>,
) -> Result<Change, ApiError> {
    let team = authenticate(shared, headers)?;
    let Json(change) = body?;
    if change.team != team {
        return Err(ApiError::new(
            StatusCode::FORBIDDEN,
            "a team may change only its own files; use the key of the team that owns them",
        ));
    }
    match change.validate() {
        Ok(()) => Ok(change),
        Err(message) => Err(ApiError::new(StatusCode::BAD_REQUEST, message)),
    }
}

/// The calling team, if the call carries its key.
fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<TeamName, ApiError> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let name = header("x-team").and_then(|name| TeamName::try_from(name).ok());
    let key = header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    if let (Some(name), Some(key)) = (name, key)
        && shared.settings.operators.get(&name) == Some(&keys::sha256_hex(key))
    {
        return Ok(name);
    }
    Err(ApiError::new(
        StatusCode::UNAUTHORIZED,
        "the team's key is missing or wrong; send it as `authorization: Bearer KEY` \
         with the team's name in `x-team`",
    ))
}

/// An error response.
struct ApiError {
    status: StatusCode,
    message: String,
}

impl ApiError {
    fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { status, message: message.into() }
    }

    /// The error for a body that was not read to its end; nothing was changed.
    fn unread(error: &BodyError) -> Self {
        let status = match error {
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::OutOfMemory | BodyError::Late => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Invalid(_) => StatusCode::BAD_REQUEST,
        };
        Self::new(status, error.to_string())
    }

    fn undecided(reason: &str) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("the change is undecided: {reason}; repeat it with the same id"),
        )
    }
}

impl From<PlatformError> for ApiError {
    fn from(error: PlatformError) -> Self {
        let message = format!("the table can't be read now ({error}); try again later");
        Self::new(StatusCode::SERVICE_UNAVAILABLE, message)
    }
}

impl From<JsonRejection> for ApiError {
    fn from(error: JsonRejection) -> Self {
        Self::new(error.status(), error.body_text())
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status, Json(json!({ "message": self.message }))).into_response()
    }
}
