//! Sends calls to the platform and reads the responses.

use std::time::Duration;

use bytes::Bytes;
use chestnut_reply::{ReadError, read_response};
use http::Response;
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder};

use crate::error::PlatformError;

/// The largest response that is read, in bytes; bounds what one without an end takes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Creates a client whose calls fail after `timeout`, and that follows no redirects: a write
/// would be repeated at another server.
pub(crate) fn client(timeout: Duration) -> Result<Client, PlatformError> {
    let builder = Client::builder().timeout(timeout).no_proxy();
    Ok(builder.redirect(Policy::none()).build()?)
}

/// Sends a call and reads the whole response, whatever its status.
pub(crate) async fn receive(
    request: RequestBuilder,
) -> Result<Response<Bytes>, PlatformError> {
    let response = read_response(request.send().await?, MAX_RESPONSE_BYTES).await;
    response.map_err(PlatformError::from)
}

impl From<ReadError> for PlatformError {
    fn from(error: ReadError) -> Self {
        Self::OutcomeUnknown(error.to_string())
    }
}
