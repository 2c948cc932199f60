//! HTTP client for engine reports and orders to load or unload assets.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::Fence;
use chestnut_place::{Order, OrderKind, Report};
use chestnut_reply::{ReadError, read_response};
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::json;

/// Header with the number of an order.
const ORDER_HEADER: &str = "x-order-id";

/// Header with the fence of the sender's claim.
const FENCE_HEADER: &str = "x-fence";

/// The largest response to a call, in bytes; a report lists some tens of assets.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Client for the report and order calls of engines; clones share its connections.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client,
}

/// The result of sending one copy of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine responded; this copy is no longer in transit.
    Responded(StatusCode),
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// There was no response; the copy may still arrive.
    Unknown,
}

/// Why an engine gave no report.
#[derive(Debug)]
pub enum ReportError {
    /// The call failed.
    Call(reqwest::Error),
    /// The response is malformed, too large or was interrupted.
    Response(ReadError),
    /// The engine responded with this status.
    Status(StatusCode),
    /// The response is no report.
    Content(serde_json::Error),
}

impl Display for ReportError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => write!(f, "the engine can't be asked: {error}"),
            Self::Response(error) => error.fmt(f),
            Self::Status(status) => {
                write!(f, "the engine responded with status {status}; check its log")
            }
            Self::Content(error) => write!(f, "the response is no report: {error}"),
        }
    }
}

impl std::error::Error for ReportError {}

impl EngineClient {
    /// Creates a client; each call fails after `timeout`.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        let builder = Client::builder().timeout(timeout).no_proxy();
        Ok(Self { http: builder.redirect(Policy::none()).build()? })
    }

    /// Fetches an engine's report of its memory, assets and requests.
    pub async fn fetch_report(&self, engine: SocketAddr) -> Result<Report, ReportError> {
        let url = format!("http://{engine}/v1/report");
        let response = self.http.get(url).send().await.map_err(ReportError::Call)?;
        let response = read_response(response, MAX_RESPONSE_BYTES).await;
        let response = response.map_err(ReportError::Response)?;
        if !response.status().is_success() {
            return Err(ReportError::Status(response.status()));
        }
        serde_json::from_slice(response.body()).map_err(ReportError::Content)
    }

    /// Sends one copy of an order under the claim with this fence.
    pub async fn send_order(
        &self,
        engine: SocketAddr,
        order: &Order,
        fence: Fence,
    ) -> SendOutcome {
        let request = self
            .order_request(engine, order)
            .header(ORDER_HEADER, order.id.0)
            .header(FENCE_HEADER, fence.0);
        match request.send().await {
            Ok(response) => match read_response(response, MAX_RESPONSE_BYTES).await {
                Ok(response) => SendOutcome::Responded(response.status()),
                Err(_) => SendOutcome::Unknown,
            },
            Err(error) if error.is_connect() || error.is_builder() => {
                SendOutcome::NotSent
            }
            Err(_) => SendOutcome::Unknown,
        }
    }

    fn order_request(&self, engine: SocketAddr, order: &Order) -> RequestBuilder {
        let post = |path| self.http.post(format!("http://{engine}/v1/{path}"));
        let asset = &order.asset;
        match (&asset.adapter, order.kind) {
            (None, kind) => post("orders").json(&json!({
                "op": match kind {
                    OrderKind::Load => "load",
                    OrderKind::Unload => "unload",
                },
                "model": asset.model,
                "version": asset.version,
                "bytes": order.bytes,
            })),
            (Some(adapter), OrderKind::Load) => post("load_lora_adapter").json(&json!({
                "lora_name": adapter,
                "lora_path": adapter,
                "base_model_name": asset.engine_model_name(),
                "bytes": order.bytes,
            })),
            (Some(adapter), OrderKind::Unload) => {
                post("unload_lora_adapter").json(&json!({ "lora_name": adapter }))
            }
        }
    }
}
