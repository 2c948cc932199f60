//! The engine's HTTP interface.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use chestnut_fake::{EngineConfig, EngineCounts, ServerHandle, engine, expected_text};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};

struct TestEngine {
    server: ServerHandle,
    http: Client,
    /// The id of the last order sent.
    last_order_id: u64,
}

impl TestEngine {
    async fn new(config: EngineConfig) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = engine::start(any_port, config).await.unwrap();
        let http = Client::builder().no_proxy().build().unwrap();
        Self { server, http, last_order_id: 0 }
    }

    /// Starts an engine with short steps and loads the model `m@1` of 10 bytes.
    async fn with_model() -> Self {
        let mut engine = Self::new(config_with_short_steps()).await;
        assert_eq!(engine.load("m", 10, 1).await.status(), StatusCode::ACCEPTED);
        engine.wait_for_report(|report| report["models"][0]["state"] == "ready").await;
        engine
    }

    fn post(&self, path: &str, body: Value) -> RequestBuilder {
        self.http.post(format!("{}{path}", self.server.url())).json(&body)
    }

    async fn get(&self, path: &str) -> Response {
        self.http.get(format!("{}{path}", self.server.url())).send().await.unwrap()
    }

    async fn inject_fault(&self, fault: Value) {
        let response = self.post("/faults", fault).send().await.unwrap();
        assert!(response.status().is_success());
    }

    fn order(&mut self, body: Value, fence: u64) -> RequestBuilder {
        self.last_order_id += 1;
        let request = self.post("/v1/orders", body).header("x-fence", fence);
        request.header("x-order-id", self.last_order_id)
    }

    async fn load(&mut self, model: &str, bytes: u64, fence: u64) -> Response {
        let body = json!({"op": "load", "model": model, "version": "1", "bytes": bytes});
        self.order(body, fence).send().await.unwrap()
    }

    async fn unload(&mut self, model: &str, fence: u64) -> Response {
        let body = json!({"op": "unload", "model": model, "version": "1"});
        self.order(body, fence).send().await.unwrap()
    }

    async fn report(&self) -> Value {
        self.get("/v1/report").await.json().await.unwrap()
    }

    async fn wait_for_report(&self, condition: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..1000 {
            let report = self.report().await;
            if condition(&report) {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the report never met the condition: {}", self.report().await);
    }

    async fn counts(&self) -> EngineCounts {
        self.get("/counts").await.json().await.unwrap()
    }

    fn completion(&self, id: &str, body: Value) -> RequestBuilder {
        self.post("/v1/completions", body).header("x-request-id", id)
    }
}

fn config_with_short_steps() -> EngineConfig {
    EngineConfig {
        memory_bytes: 100,
        step_time: Duration::from_millis(1),
        ..Default::default()
    }
}

/// The text of a stream's events and whether the stream has its end marker.
fn read_events(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut has_end_marker = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            has_end_marker = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).unwrap();
        let choice = &event["choices"][0];
        let content = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        text.push_str(content.unwrap());
    }
    (text, has_end_marker)
}

#[tokio::test]
async fn whole_streamed_and_chat_responses_have_the_expected_text() {
    let engine = TestEngine::with_model().await;
    let body = json!({"model": "m@1", "prompt": "hello", "max_tokens": 5});
    let response: Value =
        engine.completion("a", body).send().await.unwrap().json().await.unwrap();
    assert_eq!(response["choices"][0]["text"], expected_text("m@1", "hello", 0, 5));
    let body = json!({
        "model": "m@1", "prompt": "hello", "max_tokens": 5, "stream": true,
        "resume_from": 3,
    });
    let events = engine.completion("b", body).send().await.unwrap().text().await.unwrap();
    assert_eq!(read_events(&events), (expected_text("m@1", "hello", 3, 2), true));
    let messages = json!([{"role": "user", "content": "a"}, {"content": "b"}]);
    let body = json!({"model": "m@1", "messages": messages, "max_tokens": 2});
    let request = engine.post("/v1/chat/completions", body).header("x-request-id", "c");
    let response: Value = request.send().await.unwrap().json().await.unwrap();
    let text = &response["choices"][0]["message"]["content"];
    assert_eq!(text, &json!(expected_text("m@1", "a\nb", 0, 2)));
}

#[tokio::test]
async fn unknown_model_is_not_found() {
    let engine = TestEngine::with_model().await;
    let body = json!({"model": "other@1", "prompt": "hello"});
    let response = engine.completion("a", body).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
}

/// After the connection is reset in mid-stream, the rest can be read by the request's id.
#[tokio::test]
async fn interrupted_stream_can_be_resumed() {
    let engine = TestEngine::with_model().await;
    engine.inject_fault(json!({"cut_after": 2})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9, "stream": true});
    let response = engine.completion("a", body).send().await.unwrap();
    assert!(response.text().await.is_err());
    let rest = engine.get("/v1/requests/a?from=2").await.text().await.unwrap();
    assert_eq!(read_events(&rest), (expected_text("m@1", "hello", 2, 7), true));
    assert_eq!(engine.get("/v1/requests/z").await.status(), StatusCode::NOT_FOUND);
}

/// The body ends without an error but has no end marker.
#[tokio::test]
async fn truncated_stream_has_no_end_marker() {
    let engine = TestEngine::with_model().await;
    engine.inject_fault(json!({"end_after": 2})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9, "stream": true});
    let events = engine.completion("a", body).send().await.unwrap().text().await.unwrap();
    assert_eq!(read_events(&events), (expected_text("m@1", "hello", 0, 2), false));
}

#[tokio::test]
async fn cancelled_stream_has_no_end_marker() {
    let engine = TestEngine::with_model().await;
    engine.inject_fault(json!({"step_ms": 20})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9000, "stream": true});
    let response = engine.completion("a", body).send().await.unwrap();
    let url = format!("{}/v1/requests/a", engine.server.url());
    let cancelled = engine.http.delete(url).send().await.unwrap();
    assert_eq!(cancelled.status(), StatusCode::NO_CONTENT);
    let (_, has_end_marker) = read_events(&response.text().await.unwrap());
    assert!(!has_end_marker);
    engine.wait_for_report(|report| report["running"] == 0).await;
}

/// A crash resets all connections, including those of other requests. The engine restarts
/// on the same port with nothing loaded and another incarnation.
#[tokio::test]
async fn prompt_with_the_crash_pattern_crashes_the_engine() {
    let engine = TestEngine::with_model().await;
    let first_incarnation = engine.report().await["incarnation"].clone();
    engine
        .inject_fault(json!({"crash_on": "BOOM", "restart_ms": 50, "step_ms": 20}))
        .await;
    let long_request =
        json!({"model": "m@1", "prompt": "by", "max_tokens": 9000, "stream": true});
    let other_response = engine.completion("b", long_request).send().await.unwrap();
    let body = json!({"model": "m@1", "prompt": "go BOOM", "max_tokens": 1});
    assert!(engine.completion("a", body).send().await.is_err());
    assert!(other_response.text().await.is_err());
    while tokio::net::TcpStream::connect(engine.server.address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let report = engine.report().await;
    assert_ne!(report["incarnation"], first_incarnation);
    assert_eq!((&report["used"], &report["models"]), (&json!(0), &json!([])));
    let counts = engine.counts().await;
    assert_eq!((counts.crashes, counts.prompts["go BOOM"]), (1, 1));
}

#[tokio::test]
async fn memory_is_never_overcommitted() {
    let mut engine = TestEngine::with_model().await;
    assert_eq!(engine.load("big", 91, 1).await.status(), StatusCode::CONFLICT);
    assert_eq!(engine.load("fits", 90, 1).await.status(), StatusCode::ACCEPTED);
    let adapter = json!({
        "lora_name": "ad", "lora_path": "x", "base_model_name": "m@1", "bytes": 1,
    });
    let load = engine.post("/v1/load_lora_adapter", adapter.clone());
    let load = load.header("x-order-id", 50).header("x-fence", 1);
    assert_eq!(load.send().await.unwrap().status(), StatusCode::CONFLICT);
    engine.unload("fits", 1).await;
    engine.wait_for_report(|report| report["used"] == 10).await;
    let load = engine.post("/v1/load_lora_adapter", adapter);
    let load = load.header("x-order-id", 51).header("x-fence", 1);
    assert_eq!(load.send().await.unwrap().status(), StatusCode::ACCEPTED);
    engine.wait_for_report(|report| report["adapters"][0]["state"] == "ready").await;
    let body = json!({"model": "ad", "prompt": "hello", "max_tokens": 2});
    let response: Value =
        engine.completion("a", body).send().await.unwrap().json().await.unwrap();
    assert_eq!(response["choices"][0]["text"], expected_text("ad", "hello", 0, 2));
    let counts = engine.counts().await;
    assert_eq!((counts.peak, counts.capacity, counts.overfull), (100, 100, 2));
}

#[tokio::test]
async fn unloading_waits_for_running_requests() {
    let mut engine = TestEngine::with_model().await;
    engine.inject_fault(json!({"step_ms": 5})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 40, "stream": true});
    let response = engine.completion("a", body.clone()).send().await.unwrap();
    engine.unload("m", 1).await;
    assert_eq!(
        engine.completion("b", body).send().await.unwrap().status(),
        StatusCode::NOT_FOUND
    );
    let (text, has_end_marker) = read_events(&response.text().await.unwrap());
    assert_eq!((text, has_end_marker), (expected_text("m@1", "hello", 0, 40), true));
    engine.wait_for_report(|report| report["used"] == 0).await;
}

#[tokio::test]
async fn outdated_fence_is_rejected_unless_ignored() {
    let mut engine = TestEngine::with_model().await;
    engine.load("n", 10, 7).await;
    let rejected = engine.unload("m", 6).await;
    assert_eq!(rejected.status(), StatusCode::CONFLICT);
    let body: Value = rejected.json().await.unwrap();
    assert_eq!(body, json!({"code": "fenced", "fence": 7}));
    engine.inject_fault(json!({"ignore_fence": true})).await;
    assert_eq!(engine.unload("m", 6).await.status(), StatusCode::ACCEPTED);
    let counts = engine.counts().await;
    assert_eq!((counts.fenced, counts.stale), (1, 1));
}

#[tokio::test]
async fn orders_can_be_lost_delayed_or_duplicated() {
    let mut engine = TestEngine::with_model().await;
    let load =
        |model: &str| json!({"op": "load", "model": model, "version": "1", "bytes": 10});
    engine.inject_fault(json!({"orders": "lost"})).await;
    assert!(engine.order(load("lost"), 1).send().await.is_err());
    engine.inject_fault(json!({"orders": "late", "late_ms": 50})).await;
    assert!(engine.order(load("late"), 1).send().await.is_err());
    engine.inject_fault(json!({"orders": "twice"})).await;
    assert!(engine.order(load("twice"), 1).send().await.is_ok());
    engine.inject_fault(json!({"orders": "none"})).await;
    let is_ready = |report: &Value, name: &str| {
        let models = report["models"].as_array().unwrap();
        models.iter().any(|entry| entry["model"] == name && entry["state"] == "ready")
    };
    let report = engine
        .wait_for_report(|report| is_ready(report, "late") && is_ready(report, "twice"))
        .await;
    assert!(!is_ready(&report, "lost"));
    assert_eq!(engine.counts().await.orders, 3);
}

#[tokio::test]
async fn urgent_requests_start_before_others() {
    let mut engine =
        TestEngine::new(EngineConfig { max_streams: 1, ..config_with_short_steps() })
            .await;
    engine.load("m", 10, 1).await;
    engine.wait_for_report(|report| report["models"][0]["state"] == "ready").await;
    engine.inject_fault(json!({"step_ms": 20})).await;
    let send = |id: &str, priority: u32, tokens: u32| {
        let body = json!({"model": "m@1", "prompt": id, "max_tokens": tokens});
        let request = engine.completion(id, body).header("x-priority", priority);
        tokio::spawn(async move { request.send().await.unwrap().status() })
    };
    // The first request occupies the only stream until the others wait.
    let first = send("first", 2, 10_000);
    engine.wait_for_report(|report| report["running"] == 1).await;
    let calls = [send("slow", 2, 1), send("normal", 1, 1), send("urgent", 0, 1)];
    engine.wait_for_report(|report| report["waiting"] == 3).await;
    let url = format!("{}/v1/requests/first", engine.server.url());
    engine.http.delete(url).send().await.unwrap();
    for call in calls {
        assert!(call.await.unwrap().is_success());
    }
    first.abort();
    let started: Vec<_> = engine.counts().await.prompts.into_keys().collect();
    assert_eq!(started, ["first", "urgent", "normal", "slow"]);
}

#[tokio::test]
async fn cache_events_are_published_with_lag_and_gaps() {
    let engine = TestEngine::with_model().await;
    let prompt = "x".repeat(64 * 3);
    let body = json!({"model": "m@1", "prompt": prompt, "max_tokens": 1});
    engine.completion("a", body).send().await.unwrap();
    let all_events: Value =
        engine.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!(
        (all_events["events"].as_array().unwrap().len(), &all_events["next"]),
        (3, &json!(4))
    );
    engine.inject_fault(json!({"cache_gap": 2})).await;
    let with_gaps: Value =
        engine.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!(with_gaps["events"].as_array().unwrap().len(), 2);
    engine.inject_fault(json!({"cache_lag_ms": 60_000})).await;
    let delayed: Value =
        engine.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!(delayed["events"], json!([]));
}
