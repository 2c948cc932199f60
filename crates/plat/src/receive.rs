//! Sends calls to the platform.

use std::time::Duration;

use reqwest::Client;
use reqwest::redirect::Policy;

use crate::error::PlatformError;

/// Creates a client whose calls fail after `timeout`, and that follows no redirects: a write
/// would be repeated at another server.
pub(crate) fn client(timeout: Duration) -> Result<Client, PlatformError> {
    let builder = Client::builder().timeout(timeout).no_proxy();
    Ok(builder.redirect(Policy::none()).build()?)
}
