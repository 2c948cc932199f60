//! Looking into daemons on the users' platform.
//!
//! Each of them tells what it believes; where they differ, one is behind or cut off. So
//! all that are named are asked, and each row says who sees it so.

use futures::future::join_all;
use reqwest::Client as Http;
use serde_json::{Map, Value};

use crate::client::{ClientError, bases, http, no_answer};
use crate::query::Row;
use crate::schema::Section;

/// What daemons say.
#[derive(Debug, Default)]
pub struct Seen {
    /// The rows of all that answered.
    pub rows: Vec<Row>,
    /// Those that did not answer, and why.
    pub silent: Vec<(String, ClientError)>,
}

/// Asks all daemons for a part of their state; fails if none answers.
pub async fn ask(servers: &[String], section: Section) -> Result<Seen, ClientError> {
    let (bases, http) = (bases(servers)?, http()?);
    let answers = join_all(bases.iter().map(|base| state(&http, base))).await;
    let asked = bases.len();
    let mut seen = Seen::default();
    for (base, answer) in bases.into_iter().zip(answers) {
        match answer {
            Ok(state) => seen.rows.extend(rows(&state, section)),
            Err(error) => seen.silent.push((base, error)),
        }
    }
    match seen.silent.first() {
        Some((_, error)) if seen.silent.len() == asked => Err(error.clone()),
        _ => Ok(seen),
    }
}

async fn state(http: &Http, base: &str) -> Result<Value, ClientError> {
    let answer = http.get(format!("{base}/state")).send().await.map_err(no_answer)?;
    let status = answer.status();
    if !status.is_success() {
        return Err(ClientError::NoAnswer(format!("{base}/state: status {status}")));
    }
    answer.json().await.map_err(no_answer)
}

/// The rows of a part of a daemon's state.
pub fn rows(state: &Value, section: Section) -> Vec<Row> {
    let vm = &state["vm"];
    match section {
        Section::Own => {
            let mut row = state.as_object().cloned().unwrap_or_default();
            row.insert("name".into(), vm.clone());
            vec![row]
        }
        Section::List(part) => {
            let list = state[part].as_array().into_iter().flatten();
            list.filter_map(Value::as_object)
                .map(|row| seen_by(row.clone(), vm))
                .collect()
        }
        Section::Map(part) => {
            let map = state[part].as_object().into_iter().flatten();
            map.map(|(name, value)| named(state, name, value)).collect()
        }
    }
}

/// A row with its name in it, and with the VM of who holds what it names.
fn named(state: &Value, name: &str, value: &Value) -> Row {
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
    seen_by(row, &state["vm"])
}

fn seen_by(mut row: Row, vm: &Value) -> Row {
    row.insert("seen_by".into(), vm.clone());
    row
}
