//! Asking daemons: the first that answers is used.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reqwest::{Client as Http, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// How long a daemon may take to answer.
///
/// A change takes up to 24 rounds at the platform; more means that it hangs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_secs(2);

/// A question that got no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No daemon is named.
    NoServer,
    /// No daemon answered; the last one's reason.
    NoAnswer(String),
    /// A daemon can't answer now.
    Unavailable(String),
    /// The team's key is missing or wrong.
    Key(String),
    /// A daemon refused the question.
    Refused(StatusCode, String),
}

impl Display for ClientError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => write!(
                f,
                "no daemon is named; use --server ADDR or the variable CHESTNUT_SERVERS"
            ),
            Self::NoAnswer(why) => write!(
                f,
                "no daemon answered ({why}); check --server and that one of them runs"
            ),
            Self::Unavailable(why) | Self::Key(why) | Self::Refused(_, why) => {
                f.write_str(why)
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of the daemons' operators' addresses.
pub struct Client {
    http: Http,
    servers: Vec<String>,
    team: String,
    key: String,
}

impl Client {
    /// Creates a client that asks `servers` in their order.
    pub fn new(
        servers: &[String],
        team: String,
        key: String,
    ) -> Result<Self, ClientError> {
        Ok(Self { http: http()?, servers: bases(servers)?, team, key })
    }

    /// Reads something.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, ClientError> {
        self.call(Method::GET, path, query, None).await
    }

    /// Sends something; other daemons get it too if the first give no answer.
    ///
    /// A change keeps its id, so that it is of no harm to send it twice.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<T, ClientError> {
        self.call(Method::POST, path, &[], Some(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<T, ClientError> {
        let mut last = ClientError::NoServer;
        for server in &self.servers {
            let url = format!("{server}/v1/config/{path}");
            match self.ask(method.clone(), &url, query, body).await {
                Ok(answer) => return Ok(answer),
                // Another daemon may be able to.
                Err(error @ (ClientError::NoAnswer(_) | ClientError::Unavailable(_))) => {
                    last = error;
                }
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        query: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<T, ClientError> {
        let mut call = self
            .http
            .request(method, url)
            .query(query)
            .header("x-team", &self.team)
            .bearer_auth(&self.key);
        if let Some(body) = body {
            call = call.json(body);
        }
        let answer = call.send().await.map_err(no_answer)?;
        let status = answer.status();
        let bytes = answer.bytes().await.map_err(no_answer)?;
        // A refused change is an answer like an accepted one.
        let verdict = status == StatusCode::CONFLICT;
        if (status.is_success() || verdict)
            && let Ok(value) = serde_json::from_slice(&bytes)
        {
            return Ok(value);
        }
        let message = message(&bytes).unwrap_or_else(|| format!("status {status}"));
        Err(match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => ClientError::Key(message),
            StatusCode::SERVICE_UNAVAILABLE => ClientError::Unavailable(message),
            _ => ClientError::Refused(status, message),
        })
    }
}

/// The addresses that options name, as the beginnings of URLs.
pub(crate) fn bases(servers: &[String]) -> Result<Vec<String>, ClientError> {
    let servers: Vec<String> = servers
        .iter()
        .flat_map(|list| list.split(','))
        .map(|one| one.trim().trim_end_matches('/'))
        .filter(|one| !one.is_empty())
        .map(|one| match one.contains("://") {
            true => one.to_owned(),
            false => format!("http://{one}"),
        })
        .collect();
    if servers.is_empty() { Err(ClientError::NoServer) } else { Ok(servers) }
}

/// A client of daemons' HTTP interfaces.
pub(crate) fn http() -> Result<Http, ClientError> {
    let http = Http::builder().timeout(TIMEOUT).connect_timeout(CONNECT).no_proxy();
    http.build().map_err(|error| ClientError::NoAnswer(error.to_string()))
}

pub(crate) fn no_answer(error: reqwest::Error) -> ClientError {
    ClientError::NoAnswer(error.without_url().to_string())
}

fn message(bytes: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    Some(value.get("message")?.as_str()?.to_owned())
}
