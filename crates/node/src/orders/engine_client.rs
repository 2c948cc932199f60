//! HTTP client for engine reports and orders to load or unload assets.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::Fence;
use chestnut_place::{Order, OrderKind, Report};
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::json;

/// Header with the number of an order.
const ORDER_HEADER: &str = "x-order-id";

/// Header with the fence of the sender's claim.
const FENCE_HEADER: &str = "x-fence";

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

impl EngineClient {
    /// Creates a client; each call fails after `timeout`.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        let builder = Client::builder().timeout(timeout).no_proxy();
        Ok(Self { http: builder.redirect(Policy::none()).build()? })
    }

    /// Fetches an engine's report of its memory, assets and requests.
    pub async fn fetch_report(
        &self,
        engine: SocketAddr,
    ) -> Result<Report, reqwest::Error> {
        let url = format!("http://{engine}/v1/report");
        self.http.get(url).send().await?.error_for_status()?.json().await
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
            Ok(response) => SendOutcome::Responded(response.status()),
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
