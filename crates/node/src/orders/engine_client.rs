//! The calls to engines that concern what they hold.

use std::net::SocketAddr;
use std::time::Duration;

use chestnut_base::Fence;
use chestnut_place::{Order, OrderKind, Report};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::json;

/// The header that names an order.
const ORDER_HEADER: &str = "x-order-id";

/// The header with the fencing number of the sender's claim.
const FENCE_HEADER: &str = "x-fence";

/// The client of engines for reports and orders.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: Client,
}

/// What became of one copy of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine answered; this copy is not under way any more.
    Responded(StatusCode),
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// No answer came; the copy may still arrive.
    Unknown,
}

impl EngineClient {
    /// Creates a client whose calls fail after `timeout`.
    pub fn new(timeout: Duration) -> Result<Self, reqwest::Error> {
        Ok(Self { http: Client::builder().timeout(timeout).no_proxy().build()? })
    }

    /// Reads an engine's report.
    pub async fn fetch_report(
        &self,
        engine: SocketAddr,
    ) -> Result<Report, reqwest::Error> {
        let url = format!("http://{engine}/v1/report");
        self.http.get(url).send().await?.error_for_status()?.json().await
    }

    /// Sends one copy of an order.
    pub async fn send_order(
        &self,
        engine: SocketAddr,
        order: &Order,
        fence: Fence,
    ) -> SendOutcome {
        let call = self
            .call(engine, order)
            .header(ORDER_HEADER, order.id.0)
            .header(FENCE_HEADER, fence.0);
        match call.send().await {
            Ok(answer) => SendOutcome::Responded(answer.status()),
            Err(error) if error.is_connect() || error.is_builder() => {
                SendOutcome::NotSent
            }
            Err(_) => SendOutcome::Unknown,
        }
    }

    fn call(&self, engine: SocketAddr, order: &Order) -> RequestBuilder {
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
