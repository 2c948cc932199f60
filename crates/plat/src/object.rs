//! The client of the object store.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Client, StatusCode};

use crate::error::PlatformError;
use crate::receive::{client, receive};
use crate::table::{check_status, parse_json};

/// A client of the object store, which reads and writes complete values by key.
#[derive(Debug, Clone)]
pub struct ObjectStore {
    base_url: String,
    http: Client,
}

impl ObjectStore {
    /// Creates a client of the store at `base_url`, such as `http://10.0.0.5:7000`.
    ///
    /// Calls that take longer than `timeout` fail.
    pub fn new(
        base_url: impl Into<String>,
        timeout: Duration,
    ) -> Result<Self, PlatformError> {
        Ok(Self { base_url: base_url.into(), http: client(timeout)? })
    }

    /// Stores a value; if `create_only`, does not replace an existing one.
    ///
    /// Returns whether the value was stored.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        create_only: bool,
    ) -> Result<bool, PlatformError> {
        let mut request = self.http.put(self.url(key)).body(value);
        if create_only {
            request = request.header("if-none-match", "*");
        }
        let response = receive(request).await?;
        if response.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(false);
        }
        check_status(response.status())?;
        Ok(true)
    }

    /// Reads a value; `None` if the key does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let response = receive(self.http.get(self.url(key))).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(response.status())?;
        Ok(Some(response.into_body()))
    }

    /// Deletes a value if it exists.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let response = receive(self.http.delete(self.url(key))).await?;
        check_status(response.status())
    }

    /// Lists the keys that start with `prefix`, in ascending order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let url = format!("{}/v1/objects", self.base_url);
        let request = self.http.get(url).query(&[("prefix", prefix)]);
        let response = receive(request).await?;
        check_status(response.status())?;
        parse_json(response.body())
    }

    fn url(&self, key: &str) -> String {
        format!("{}/v1/objects/{key}", self.base_url)
    }
}
