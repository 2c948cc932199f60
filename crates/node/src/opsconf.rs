//! The operators' address: reading and changing declarations.
//!
//! Every call names its team in `x-team` and carries the team's key as
//! `authorization: Bearer KEY`. Only the key's SHA-256 is in the settings; the
//! key itself is neither logged nor dumped. Reading is open to every team,
//! changing only to the team whose files change.
//!
//! | call | does |
//! |---|---|
//! | `POST /v1/config/plan` | tells what a [`Change`] would do |
//! | `POST /v1/config/apply` | takes a [`Change`] to its answer |
//! | `GET /v1/config/change/ID` | the answer to the team's earlier change |
//! | `GET /v1/config/files?at=N` | the team's files, now or at a revision |
//! | `GET /v1/config/history?limit=N` | the newest revisions |
//! | `GET /v1/config/show/SUBJECT` | rows, see [`opsrows`] |
//! | `GET /v1/config/explain?...` | what would happen to a request |
//! | `POST /v1/config/drain` | tells a VM to leave |

use std::sync::Arc;

use axum::extract::rejection::JsonRejection;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chestnut_base::{Revision, TeamName, VmName};
use chestnut_config::history::{MAX_ROLLBACK_REVISIONS, roll_back};
use chestnut_config::rows::{HistoryEntry, REVISIONS_PER_BLOCK};
use chestnut_config::{ApplyOutcome, Change, Plan, RefusalReason, Verdict, keys};
use chestnut_member::View;
use chestnut_plat::{PlatformError, Txn};
use serde::Deserialize;
use serde_json::json;

use crate::members::{DRAINS, DrainRow};
use crate::node::Node;
use crate::shared::Shared;
use crate::{confsync, explain, opsrows};

/// The largest body of a change, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// The number of revisions of the history that are shown by default.
const HISTORY: usize = 20;

/// The greatest number of revisions of the history that are shown.
const HISTORY_LIMIT: usize = 1000;

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
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(node)
}

type Body<T> = Result<Json<T>, JsonRejection>;

async fn plan(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: Body<Change>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    let change = own(shared, &headers, body)?;
    // A plan is of use during an outage too, and says at which revision it is.
    let files = match confsync::refresh(shared).await {
        Ok(files) => files,
        Err(_) => confsync::files(shared),
    };
    let revision = files.revision();
    let next = Revision(revision.0 + 1);
    let runners = confsync::runners(shared);
    let (reason, plan): (Option<RefusalReason>, _) =
        match change.evaluate(&files, &runners, next) {
            Ok(new) => (None, Plan::diff(&shared.catalog(), &new)),
            Err(reason) => (Some(reason), Plan::default()),
        };
    Ok(Json(json!({ "revision": revision, "reason": reason, "plan": plan }))
        .into_response())
}

async fn apply(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: Body<Change>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    let change = own(shared, &headers, body)?;
    match confsync::commit(shared, change).await {
        ApplyOutcome::Decided(verdict) => Ok(answer(verdict)),
        ApplyOutcome::Undecided(why) => Err(Fault::undecided(&why)),
        ApplyOutcome::IdReused => Err(Fault::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the change's id was used for another change; choose a new id",
        )),
    }
}

async fn change(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    let team = team(shared, &headers)?;
    match confsync::ruling(shared, &team, &id).await? {
        Some(ruling) => Ok(answer(ruling.verdict)),
        None => Err(Fault::new(
            StatusCode::NOT_FOUND,
            "nothing is decided about this change; apply it again with the same id",
        )),
    }
}

fn answer(verdict: Verdict) -> Response {
    let status = match verdict {
        Verdict::Accepted { .. } => StatusCode::OK,
        Verdict::Refused { .. } => StatusCode::CONFLICT,
    };
    (status, Json(verdict)).into_response()
}

#[derive(Deserialize)]
struct At {
    at: Option<u64>,
}

async fn files(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<At>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    let team = team(shared, &headers)?;
    let read = confsync::refresh(shared).await;
    // During an outage the files in force are still of use for a plan.
    let files = match (read, query.at) {
        (Ok(files), _) => files,
        (Err(_), None) => confsync::files(shared),
        (Err(error), Some(_)) => return Err(error.into()),
    };
    let newest = files.revision();
    let mut text = files.of_team(&team);
    if let Some(at) = query.at {
        let entries = entries(shared, newest, at).await?;
        text = roll_back(&team, text, Revision(at), &entries);
    }
    Ok(Json(json!({ "revision": newest, "files": text.files })).into_response())
}

/// All revisions after `at` up to `newest`, newest first.
async fn entries(
    shared: &Shared,
    newest: Revision,
    at: u64,
) -> Result<Vec<HistoryEntry>, Fault> {
    let count = newest.0.checked_sub(at).ok_or_else(|| {
        Fault::new(
            StatusCode::NOT_FOUND,
            format!("there is no revision {at}; the newest is {newest}"),
        )
    })?;
    if count > MAX_ROLLBACK_REVISIONS {
        return Err(Fault::new(
            StatusCode::NOT_FOUND,
            format!(
                "revision {at} is more than {MAX_ROLLBACK_REVISIONS} back; apply the files \
                 from your version control"
            ),
        ));
    }
    let found = newest_entries(shared, newest, count as usize).await?;
    if found.len() as u64 != count {
        return Err(Fault::new(
            StatusCode::NOT_FOUND,
            format!(
                "the history does not reach back to revision {at}; apply the files from \
                 your version control"
            ),
        ));
    }
    Ok(found)
}

/// The newest `count` revisions up to `newest`, newest first.
async fn newest_entries(
    shared: &Shared,
    newest: Revision,
    count: usize,
) -> Result<Vec<HistoryEntry>, PlatformError> {
    let mut found: Vec<HistoryEntry> = Vec::new();
    let mut block = Some(newest.0 / REVISIONS_PER_BLOCK);
    while let Some(number) = block
        && found.len() < count
    {
        let entries =
            confsync::block(shared, Revision(number * REVISIONS_PER_BLOCK)).await?;
        found.extend(entries.into_iter().filter(|entry| entry.revision <= newest));
        block = number.checked_sub(1);
    }
    found.truncate(count);
    Ok(found)
}

#[derive(Deserialize)]
struct Limit {
    limit: Option<usize>,
}

async fn history(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<Limit>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    team(shared, &headers)?;
    let newest = confsync::refresh(shared).await?.revision();
    let count = query.limit.unwrap_or(HISTORY).min(HISTORY_LIMIT);
    let entries = newest_entries(shared, newest, count).await?;
    let rows: Vec<_> = entries.iter().map(opsrows::entry).collect();
    Ok(Json(json!({ "revision": newest, "rows": rows })).into_response())
}

async fn show(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Path(subject): Path<String>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    team(shared, &headers)?;
    let rows = match subject.as_str() {
        "daemons" => Some(opsrows::daemons(&node).await),
        _ => opsrows::rows(shared, &subject),
    };
    match rows {
        Some(rows) => Ok(Json(json!({
            "revision": shared.catalog().revision,
            "fresh": confsync::is_fresh(shared, shared.clock.now()),
            "rows": rows,
        }))
        .into_response()),
        None => Err(Fault::new(
            StatusCode::NOT_FOUND,
            format!("there is nothing called {subject:?} to show; see docs/LANGUAGE.md"),
        )),
    }
}

async fn explain_request(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    Query(query): Query<explain::Request>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    team(shared, &headers)?;
    Ok(Json(explain::explain(&node, &query).await).into_response())
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Drain {
    vm: VmName,
    author: String,
}

async fn drain(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: Body<Drain>,
) -> Result<Response, Fault> {
    let shared = &node.shared;
    let team = team(shared, &headers)?;
    let Json(drain) = body?;
    let view = shared.view();
    let member = view.members.iter().find(|(_, member)| member.vm == drain.vm);
    let Some((&member, _)) = member else {
        return Err(not_a_daemon(&view, &drain.vm));
    };
    // The row names the daemon's start, so that a VM that is replaced under the
    // same name does not leave at once.
    let row = DrainRow { member, by: format!("{} ({team})", drain.author) };
    let txn = Txn::new().put(DRAINS, drain.vm.as_str(), json!(row));
    match shared.table.commit(&txn).await {
        Ok(_) => {
            Ok(Json(json!({ "vm": drain.vm, "member": member.to_string() }))
                .into_response())
        }
        Err(error) => Err(Fault::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("the drain may not hold ({error}); repeat it"),
        )),
    }
}

fn not_a_daemon(view: &View, vm: &VmName) -> Fault {
    let text = if view.servers.keys().any(|name| name.as_str() == vm.as_str()) {
        format!(
            "{vm} is a backend server; mark its VM as leaving in the platform's list, \
             which the daemons follow"
        )
    } else {
        format!("no daemon runs on a VM {vm}; see `show daemons`")
    };
    Fault::new(StatusCode::NOT_FOUND, text)
}

/// The change of the body, if the call's team may make it.
fn own(
    shared: &Shared,
    headers: &HeaderMap,
    body: Body<Change>,
) -> Result<Change, Fault> {
    let team = team(shared, headers)?;
    let Json(change) = body?;
    if change.team != team {
        return Err(Fault::new(
            StatusCode::FORBIDDEN,
            "a team changes only its own files; use the other team's key",
        ));
    }
    match change.validate() {
        Ok(()) => Ok(change),
        Err(message) => Err(Fault::new(StatusCode::BAD_REQUEST, message)),
    }
}

/// The team whose key the call carries.
fn team(shared: &Shared, headers: &HeaderMap) -> Result<TeamName, Fault> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let name = text("x-team").and_then(|name| TeamName::try_from(name).ok());
    let key = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    if let (Some(name), Some(key)) = (name, key)
        && shared.settings.operators.get(&name) == Some(&keys::sha256_hex(key))
    {
        return Ok(name);
    }
    Err(Fault::new(
        StatusCode::UNAUTHORIZED,
        "the team's key is missing or wrong; send it as `authorization: Bearer KEY` \
         with the team's name in `x-team`",
    ))
}

/// Why a call was not done.
struct Fault {
    status: StatusCode,
    message: String,
}

impl Fault {
    fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { status, message: message.into() }
    }

    fn undecided(why: &str) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("nothing is decided: {why}; repeat the change with the same id"),
        )
    }
}

impl From<PlatformError> for Fault {
    fn from(error: PlatformError) -> Self {
        let text = format!("the table can't be read now ({error}); try again later");
        Self::new(StatusCode::SERVICE_UNAVAILABLE, text)
    }
}

impl From<JsonRejection> for Fault {
    fn from(error: JsonRejection) -> Self {
        Self::new(error.status(), error.body_text())
    }
}

impl IntoResponse for Fault {
    fn into_response(self) -> Response {
        (self.status, Json(json!({ "message": self.message }))).into_response()
    }
}
