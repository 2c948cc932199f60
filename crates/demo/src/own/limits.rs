//! A client account that sends more than its limit allows.

use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use reqwest::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::cluster::Cluster;
use crate::error::DemoError;

/// The keys of the account `trial`, which may send one request every ten seconds.
const KEYS: [&str; 2] = ["key-trial", "key-trial-2"];

/// How long to wait until a daemon holds the account's limit.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between requests while none does.
const RETRY_PERIOD: Duration = Duration::from_millis(200);

/// The responses to an account beyond its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedAccount {
    /// The status of the first request.
    pub first: StatusCode,
    /// The status of the second request, sent with the account's other key through another
    /// daemon.
    pub second: StatusCode,
}

/// Sends two requests of the account at once; the second exceeds its limit.
pub async fn run(cluster: &Cluster) -> Result<LimitedAccount, DemoError> {
    let first = send(cluster, 0).await?;
    let second = send(cluster, 1).await?;
    if (first, second) != (StatusCode::OK, StatusCode::TOO_MANY_REQUESTS) {
        let text = format!("a limited account got {first} and {second}, not 200 and 429");
        return Err(DemoError::Call(text));
    }
    Ok(LimitedAccount { first, second })
}

async fn send(cluster: &Cluster, index: usize) -> Result<StatusCode, DemoError> {
    let url = format!("{}/v1/completions", cluster.entries[index]);
    let body = json!({ "model": "proof", "prompt": "Dear Mr Mensah", "max_tokens": 5 });
    let start = Instant::now();
    loop {
        let request = cluster.http.post(&url).bearer_auth(KEYS[index]).json(&body);
        let status = request.send().await?.status();
        // Until a daemon holds the limit, none can check it.
        if status != StatusCode::SERVICE_UNAVAILABLE || start.elapsed() > HOLDER_TIMEOUT {
            return Ok(status);
        }
        sleep(RETRY_PERIOD).await;
    }
}

impl Display for LimitedAccount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { first, second } = self;
        writeln!(f, "account `trial`: {first}, then {second} beyond its limit")
    }
}
