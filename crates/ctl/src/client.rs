//! An HTTP client of the daemons, which uses the first that responds.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bytes::Bytes;
use chestnut_reply::read_response;
use reqwest::redirect::Policy;
use reqwest::{Client as Http, Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The timeout of a request.
///
/// Long enough for the up to 24 attempts of a change at the platform; a daemon that
/// takes longer is treated as unresponsive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a request got no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No daemon was named in the options.
    NoServer,
    /// No daemon responded; holds the error of the last one.
    NoResponse(String),
    /// A daemon can't handle the request now.
    Unavailable(String),
    /// The team's key is missing or wrong.
    InvalidKey(String),
    /// A daemon refused the request.
    Refused(StatusCode, String),
}

impl Display for ClientError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => write!(
                f,
                "no daemon is named; use --server ADDR or the variable CHESTNUT_SERVERS"
            ),
            Self::NoResponse(reason) => write!(
                f,
                "no daemon responded ({reason}); check --server and that one of them runs"
            ),
            Self::Unavailable(reason)
            | Self::InvalidKey(reason)
            | Self::Refused(_, reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of the daemons' operator interface.
pub struct Client {
    http: Http,
    servers: Vec<String>,
    team: String,
    key: String,
}

impl Client {
    /// Creates a client that tries `servers` in this order.
    pub fn new(
        servers: &[String],
        team: String,
        key: String,
    ) -> Result<Self, ClientError> {
        Ok(Self { http: http_client()?, servers: base_urls(servers)?, team, key })
    }

    /// Sends a `GET` request to a path under `/v1/config`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, ClientError> {
        self.call(Method::GET, path, query, None).await
    }

    /// Sends a `POST` request to a path under `/v1/config`.
    ///
    /// If a daemon does not respond, the request is sent to the next one, so that several
    /// daemons may handle it. A change is still applied only once, since daemons
    /// recognise it by its id.
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
        let mut last_error = ClientError::NoServer;
        for server in &self.servers {
            let url = format!("{server}/v1/config/{path}");
            match self.send(method.clone(), &url, query, body).await {
                Ok(response) => return Ok(response),
                // Another daemon may be able to respond.
                Err(
                    error @ (ClientError::NoResponse(_) | ClientError::Unavailable(_)),
                ) => {
                    last_error = error;
                }
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        query: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<T, ClientError> {
        let mut request = self
            .http
            .request(method, url)
            .query(query)
            .header("x-team", &self.team)
            .bearer_auth(&self.key);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = receive(request).await?;
        let status = response.status();
        let bytes = response.into_body();
        // The verdict on a refused change is a regular response.
        let is_refusal = status == StatusCode::CONFLICT;
        if (status.is_success() || is_refusal)
            && let Ok(value) = serde_json::from_slice(&bytes)
        {
            return Ok(value);
        }
        let message = error_message(&bytes).unwrap_or_else(|| format!("status {status}"));
        Err(match status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                ClientError::InvalidKey(message)
            }
            StatusCode::SERVICE_UNAVAILABLE => ClientError::Unavailable(message),
            _ => ClientError::Refused(status, message),
        })
    }
}

/// The base URLs of the addresses given in the options.
pub(crate) fn base_urls(servers: &[String]) -> Result<Vec<String>, ClientError> {
    let servers: Vec<String> = servers
        .iter()
        .flat_map(|list| list.split(','))
        .map(|address| address.trim().trim_end_matches('/'))
        .filter(|address| !address.is_empty())
        .map(|address| match address.contains("://") {
            true => address.to_owned(),
            false => format!("http://{address}"),
        })
        .collect();
    if servers.is_empty() { Err(ClientError::NoServer) } else { Ok(servers) }
}

/// Creates an HTTP client for daemons.
pub(crate) fn http_client() -> Result<Http, ClientError> {
    let http = Http::builder()
        .timeout(REQUEST_TIMEOUT)
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(Policy::none())
        .no_proxy();
    http.build().map_err(|error| ClientError::NoResponse(error.to_string()))
}

/// Sends a request and reads the whole response, whatever its status.
pub(crate) async fn receive(
    request: RequestBuilder,
) -> Result<http::Response<Bytes>, ClientError> {
    let response = request.send().await.map_err(no_response)?;
    let response = read_response(response, MAX_RESPONSE_BYTES).await;
    response.map_err(|error| ClientError::NoResponse(error.to_string()))
}

pub(crate) fn no_response(error: reqwest::Error) -> ClientError {
    ClientError::NoResponse(error.without_url().to_string())
}

fn error_message(bytes: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    Some(value.get("message")?.as_str()?.to_owned())
}
