//! The client of the object store.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, StatusCode};

use crate::error::PlatformError;
use crate::table::{check_status, read_json, response_lost};

/// The client of the object store: whole values under keys.
#[derive(Debug, Clone)]
pub struct ObjectStore {
    base: String,
    http: Client,
}

impl ObjectStore {
    /// Creates a client of the store at `base`, such as `http://10.0.0.5:7000`.
    ///
    /// Calls that take longer than `timeout` fail.
    pub fn new(
        base: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        let http = Client::builder().timeout(timeout).no_proxy().build()?;
        Ok(Self { base: base.into(), http })
    }

    /// Stores a value; with `fresh` only if the key does not exist.
    ///
    /// Returns whether the value was stored.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        fresh: bool,
    ) -> Result<bool, PlatformError> {
        let mut call = self.http.put(self.url(key)).body(value);
        if fresh {
            call = call.header("if-none-match", "*");
        }
        let answer = call.send().await?;
        if answer.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(false);
        }
        check_status(answer.status())?;
        Ok(true)
    }

    /// Reads a value.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let answer = self.http.get(self.url(key)).send().await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(answer.status())?;
        Ok(Some(answer.bytes().await.map_err(response_lost)?))
    }

    /// Removes a value if it exists.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let answer = self.http.delete(self.url(key)).send().await?;
        check_status(answer.status())
    }

    /// Lists the keys that start with `prefix`, in order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let url = format!("{}/v1/objects", self.base);
        let answer = self.http.get(url).query(&[("prefix", prefix)]).send().await?;
        check_status(answer.status())?;
        read_json(answer).await
    }

    fn url(&self, key: &str) -> String {
        format!("{}/v1/objects/{key}", self.base)
    }
}
