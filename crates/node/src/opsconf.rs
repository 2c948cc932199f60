//! The operators' address: reading and changing declarations.
//!
//! Every call names its team in `x-team` and carries the team's key as
//! `authorization: Bearer KEY`. Only the key's SHA-256 is in the settings; the
//! key itself is neither logged nor dumped.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chestnut_base::TeamName;
use chestnut_config::change::{Answer, Change};
use chestnut_config::{Verdict, keys};
use serde_json::json;

use crate::confsync;
use crate::shared::Shared;

/// The routes under `/v1/config`.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/config/apply", post(apply))
        .route("/v1/config/catalog", get(catalog))
        .with_state(shared)
}

async fn apply(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(change): Json<Change>,
) -> Result<Response, Fault> {
    let team = team(&shared, &headers)?;
    if change.team != team {
        return Err(Fault::new(
            StatusCode::FORBIDDEN,
            "a team changes only its own files; use the other team's key",
        ));
    }
    Ok(match confsync::commit(&shared, change).await {
        Answer::Final(verdict) => {
            let status = match verdict {
                Verdict::Accepted { .. } => StatusCode::OK,
                Verdict::Refused { .. } => StatusCode::CONFLICT,
            };
            (status, Json(verdict)).into_response()
        }
        Answer::Undecided(why) => {
            let text =
                format!("nothing is decided: {why}; repeat the change with the same id");
            return Err(Fault::new(StatusCode::SERVICE_UNAVAILABLE, text));
        }
    })
}

async fn catalog(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Response, Fault> {
    team(&shared, &headers)?;
    Ok(Json(&*shared.catalog()).into_response())
}

/// The team whose key the call carries.
fn team(shared: &Shared, headers: &HeaderMap) -> Result<TeamName, Fault> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let name = text("x-team").and_then(|name| TeamName::try_from(name).ok());
    let key = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    if let (Some(name), Some(key)) = (name, key)
        && shared.settings.operators.get(&name) == Some(&keys::sha256(key))
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
}

impl IntoResponse for Fault {
    fn into_response(self) -> Response {
        (self.status, Json(json!({ "message": self.message }))).into_response()
    }
}
