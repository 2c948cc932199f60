//! The state of daemons on the users' platform.
//!
//! Each daemon reports its own view; where views differ, a daemon lags behind or is
//! partitioned. So all daemons named in the options are queried, and each row names the
//! VM of the daemon that reported it.

use futures::future::join_all;
use reqwest::Client as Http;
use serde_json::{Map, Value};

use crate::client::{ClientError, base_urls, http_client, receive};
use crate::query::Row;
use crate::schema::Section;

/// The responses of the queried daemons.
#[derive(Debug, Default)]
pub struct GateRows {
    /// The rows of all daemons that responded.
    pub rows: Vec<Row>,
    /// The base URLs of the daemons that did not respond, with the error.
    pub failed: Vec<(String, ClientError)>,
}

/// Queries all daemons for a section of their state; fails if none responds.
pub async fn query(
    servers: &[String],
    section: Section,
) -> Result<GateRows, ClientError> {
    let (urls, http) = (base_urls(servers)?, http_client()?);
    let responses = join_all(urls.iter().map(|url| fetch_state(&http, url))).await;
    let queried = urls.len();
    let mut result = GateRows::default();
    for (url, response) in urls.into_iter().zip(responses) {
        match response {
            Ok(state) => result.rows.extend(rows(&state, section)),
            Err(error) => result.failed.push((url, error)),
        }
    }
    match result.failed.first() {
        Some((_, error)) if result.failed.len() == queried => Err(error.clone()),
        _ => Ok(result),
    }
}

async fn fetch_state(http: &Http, url: &str) -> Result<Value, ClientError> {
    let response = receive(http.get(format!("{url}/state"))).await?;
    let status = response.status();
    if !status.is_success() {
        return Err(ClientError::NoResponse(format!("{url}/state: status {status}")));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| ClientError::NoResponse(format!("{url}/state: {error}")))
}

/// The rows of a section of a daemon's state.
pub fn rows(state: &Value, section: Section) -> Vec<Row> {
    let vm = &state["vm"];
    match section {
        Section::TopLevel => {
            let mut row = state.as_object().cloned().unwrap_or_default();
            row.insert("name".into(), vm.clone());
            vec![row]
        }
        Section::List(key) => {
            let list = state[key].as_array().into_iter().flatten();
            list.filter_map(Value::as_object)
                .map(|row| with_seen_by(row.clone(), vm))
                .collect()
        }
        Section::Map(key) => {
            let map = state[key].as_object().into_iter().flatten();
            map.map(|(name, value)| named_row(state, name, value)).collect()
        }
    }
}

/// A row of a map, with its name and, if it has a holder, the holder's VM.
///
/// In the map of queues, the value is the number of waiting requests.
fn named_row(state: &Value, name: &str, value: &Value) -> Row {
    let mut row = match value {
        Value::Object(row) => row.clone(),
        count => Map::from_iter([("waiting".to_owned(), count.clone())]),
    };
    row.insert("name".into(), name.into());
    if let Some(holder) = row.get("holder").cloned() {
        let members = state["members"].as_array().into_iter().flatten();
        let mut members = members.filter(|member| member["member"] == holder);
        let vm = members.next().map_or(Value::Null, |member| member["vm"].clone());
        row.insert("holder_vm".into(), vm);
    }
    with_seen_by(row, &state["vm"])
}

fn with_seen_by(mut row: Row, vm: &Value) -> Row {
    row.insert("seen_by".into(), vm.clone());
    row
}
