//! The engine as the daemon's clients meet it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use chestnut_fake::{EngineConfig, EngineCounts, ServerHandle, engine, expected_text};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};

struct Rig {
    engine: ServerHandle,
    http: Client,
    orders: u64,
}

impl Rig {
    async fn new(config: EngineConfig) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let engine = engine::start(any, config).await.unwrap();
        let http = Client::builder().no_proxy().build().unwrap();
        Self { engine, http, orders: 0 }
    }

    /// An engine with quick steps and the model `m@1` of 10 bytes.
    async fn with_model() -> Self {
        let mut rig = Self::new(quick()).await;
        assert_eq!(rig.load("m", 10, 1).await.status(), StatusCode::ACCEPTED);
        rig.until(|report| report["models"][0]["state"] == "ready").await;
        rig
    }

    fn post(&self, path: &str, body: Value) -> RequestBuilder {
        self.http.post(format!("{}{path}", self.engine.url())).json(&body)
    }

    async fn get(&self, path: &str) -> Response {
        self.http.get(format!("{}{path}", self.engine.url())).send().await.unwrap()
    }

    async fn fault(&self, fault: Value) {
        let answer = self.post("/faults", fault).send().await.unwrap();
        assert!(answer.status().is_success());
    }

    fn order(&mut self, body: Value, fence: u64) -> RequestBuilder {
        self.orders += 1;
        let order = self.post("/v1/orders", body).header("x-fence", fence);
        order.header("x-order-id", self.orders)
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

    async fn until(&self, done: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..1000 {
            let report = self.report().await;
            if done(&report) {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("never reported: {}", self.report().await);
    }

    async fn counts(&self) -> EngineCounts {
        self.get("/counts").await.json().await.unwrap()
    }

    fn ask(&self, id: &str, body: Value) -> RequestBuilder {
        self.post("/v1/completions", body).header("x-request-id", id)
    }
}

fn quick() -> EngineConfig {
    EngineConfig {
        memory_bytes: 100,
        step_time: Duration::from_millis(1),
        ..Default::default()
    }
}

/// The text of the events of a stream and whether it has its end mark.
fn read_events(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).unwrap();
        let choice = &event["choices"][0];
        let piece = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        text.push_str(piece.unwrap());
    }
    (text, done)
}

#[tokio::test]
async fn whole_streamed_and_chat_answers_have_the_expected_text() {
    let rig = Rig::with_model().await;
    let body = json!({"model": "m@1", "prompt": "hello", "max_tokens": 5});
    let answer: Value = rig.ask("a", body).send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["choices"][0]["text"], expected_text("m@1", "hello", 0, 5));
    let body = json!({
        "model": "m@1", "prompt": "hello", "max_tokens": 5, "stream": true,
        "resume_from": 3,
    });
    let events = rig.ask("b", body).send().await.unwrap().text().await.unwrap();
    assert_eq!(read_events(&events), (expected_text("m@1", "hello", 3, 2), true));
    let messages = json!([{"role": "user", "content": "a"}, {"content": "b"}]);
    let body = json!({"model": "m@1", "messages": messages, "max_tokens": 2});
    let chat = rig.post("/v1/chat/completions", body).header("x-request-id", "c");
    let answer: Value = chat.send().await.unwrap().json().await.unwrap();
    let text = &answer["choices"][0]["message"]["content"];
    assert_eq!(text, &json!(expected_text("m@1", "a\nb", 0, 2)));
}

#[tokio::test]
async fn unknown_model_is_not_found() {
    let rig = Rig::with_model().await;
    let body = json!({"model": "other@1", "prompt": "hello"});
    let answer = rig.ask("a", body).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
}

/// The reader sees the stream break off and reads the rest by the request's id.
#[tokio::test]
async fn cut_stream_can_be_read_on() {
    let rig = Rig::with_model().await;
    rig.fault(json!({"cut_after": 2})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9, "stream": true});
    let answer = rig.ask("a", body).send().await.unwrap();
    assert!(answer.text().await.is_err());
    let rest = rig.get("/v1/requests/a?from=2").await.text().await.unwrap();
    assert_eq!(read_events(&rest), (expected_text("m@1", "hello", 2, 7), true));
    assert_eq!(rig.get("/v1/requests/z").await.status(), StatusCode::NOT_FOUND);
}

/// The reader sees a clean end of the body with no end mark.
#[tokio::test]
async fn short_stream_has_no_end_mark() {
    let rig = Rig::with_model().await;
    rig.fault(json!({"end_after": 2})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9, "stream": true});
    let events = rig.ask("a", body).send().await.unwrap().text().await.unwrap();
    assert_eq!(read_events(&events), (expected_text("m@1", "hello", 0, 2), false));
}

#[tokio::test]
async fn cancelled_stream_ends_with_no_end_mark() {
    let rig = Rig::with_model().await;
    rig.fault(json!({"step_ms": 20})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 9000, "stream": true});
    let answer = rig.ask("a", body).send().await.unwrap();
    let url = format!("{}/v1/requests/a", rig.engine.url());
    let cancelled = rig.http.delete(url).send().await.unwrap();
    assert_eq!(cancelled.status(), StatusCode::NO_CONTENT);
    let (_, done) = read_events(&answer.text().await.unwrap());
    assert!(!done);
    rig.until(|report| report["running"] == 0).await;
}

/// The prompt's sender and a bystander lose their connections; the engine comes
/// back on the same port with nothing loaded and another incarnation.
#[tokio::test]
async fn marked_prompt_crashes_the_engine() {
    let rig = Rig::with_model().await;
    let before = rig.report().await["incarnation"].clone();
    rig.fault(json!({"crash_on": "BOOM", "restart_ms": 50, "step_ms": 20})).await;
    let long =
        json!({"model": "m@1", "prompt": "by", "max_tokens": 9000, "stream": true});
    let bystander = rig.ask("b", long).send().await.unwrap();
    let body = json!({"model": "m@1", "prompt": "go BOOM", "max_tokens": 1});
    assert!(rig.ask("a", body).send().await.is_err());
    assert!(bystander.text().await.is_err());
    while tokio::net::TcpStream::connect(rig.engine.address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let report = rig.report().await;
    assert_ne!(report["incarnation"], before);
    assert_eq!((&report["used"], &report["models"]), (&json!(0), &json!([])));
    let counts = rig.counts().await;
    assert_eq!((counts.crashes, counts.prompts["go BOOM"]), (1, 1));
}

#[tokio::test]
async fn memory_is_never_overcommitted() {
    let mut rig = Rig::with_model().await;
    assert_eq!(rig.load("big", 91, 1).await.status(), StatusCode::CONFLICT);
    assert_eq!(rig.load("fits", 90, 1).await.status(), StatusCode::ACCEPTED);
    let adapter = json!({
        "lora_name": "ad", "lora_path": "x", "base_model_name": "m@1", "bytes": 1,
    });
    let load = rig.post("/v1/load_lora_adapter", adapter.clone());
    let load = load.header("x-order-id", 50).header("x-fence", 1);
    assert_eq!(load.send().await.unwrap().status(), StatusCode::CONFLICT);
    rig.unload("fits", 1).await;
    rig.until(|report| report["used"] == 10).await;
    let load = rig.post("/v1/load_lora_adapter", adapter);
    let load = load.header("x-order-id", 51).header("x-fence", 1);
    assert_eq!(load.send().await.unwrap().status(), StatusCode::ACCEPTED);
    rig.until(|report| report["adapters"][0]["state"] == "ready").await;
    let body = json!({"model": "ad", "prompt": "hello", "max_tokens": 2});
    let answer: Value = rig.ask("a", body).send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["choices"][0]["text"], expected_text("ad", "hello", 0, 2));
    let counts = rig.counts().await;
    assert_eq!((counts.peak, counts.capacity, counts.overfull), (100, 100, 2));
}

#[tokio::test]
async fn unloading_waits_for_running_requests() {
    let mut rig = Rig::with_model().await;
    rig.fault(json!({"step_ms": 5})).await;
    let body =
        json!({"model": "m@1", "prompt": "hello", "max_tokens": 40, "stream": true});
    let answer = rig.ask("a", body.clone()).send().await.unwrap();
    rig.unload("m", 1).await;
    assert_eq!(rig.ask("b", body).send().await.unwrap().status(), StatusCode::NOT_FOUND);
    let (text, done) = read_events(&answer.text().await.unwrap());
    assert_eq!((text, done), (expected_text("m@1", "hello", 0, 40), true));
    rig.until(|report| report["used"] == 0).await;
}

#[tokio::test]
async fn old_fence_is_refused_unless_ignored() {
    let mut rig = Rig::with_model().await;
    rig.load("n", 10, 7).await;
    let refused = rig.unload("m", 6).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    let body: Value = refused.json().await.unwrap();
    assert_eq!(body, json!({"code": "fenced", "fence": 7}));
    rig.fault(json!({"ignore_fence": true})).await;
    assert_eq!(rig.unload("m", 6).await.status(), StatusCode::ACCEPTED);
    let counts = rig.counts().await;
    assert_eq!((counts.fenced, counts.stale), (1, 1));
}

#[tokio::test]
async fn orders_are_lost_late_or_doubled() {
    let mut rig = Rig::with_model().await;
    let load =
        |model: &str| json!({"op": "load", "model": model, "version": "1", "bytes": 10});
    rig.fault(json!({"orders": "lost"})).await;
    assert!(rig.order(load("lost"), 1).send().await.is_err());
    rig.fault(json!({"orders": "late", "late_ms": 50})).await;
    assert!(rig.order(load("late"), 1).send().await.is_err());
    rig.fault(json!({"orders": "twice"})).await;
    assert!(rig.order(load("twice"), 1).send().await.is_ok());
    rig.fault(json!({"orders": "none"})).await;
    let held = |report: &Value, name: &str| {
        let models = report["models"].as_array().unwrap();
        models.iter().any(|held| held["model"] == name && held["state"] == "ready")
    };
    let report = rig.until(|r| held(r, "late") && held(r, "twice")).await;
    assert!(!held(&report, "lost"));
    assert_eq!(rig.counts().await.orders, 3);
}

#[tokio::test]
async fn urgent_requests_start_first() {
    let mut rig = Rig::new(EngineConfig { max_streams: 1, ..quick() }).await;
    rig.load("m", 10, 1).await;
    rig.until(|report| report["models"][0]["state"] == "ready").await;
    rig.fault(json!({"step_ms": 20})).await;
    let ask = |id: &str, priority: u32, tokens: u32| {
        let body = json!({"model": "m@1", "prompt": id, "max_tokens": tokens});
        let call = rig.ask(id, body).header("x-priority", priority);
        tokio::spawn(async move { call.send().await.unwrap().status() })
    };
    // The first one holds the only stream while the others arrive.
    let first = ask("first", 2, 10_000);
    rig.until(|report| report["running"] == 1).await;
    let calls = [ask("slow", 2, 1), ask("normal", 1, 1), ask("urgent", 0, 1)];
    rig.until(|report| report["waiting"] == 3).await;
    let url = format!("{}/v1/requests/first", rig.engine.url());
    rig.http.delete(url).send().await.unwrap();
    for call in calls {
        assert!(call.await.unwrap().is_success());
    }
    first.abort();
    let started: Vec<_> = rig.counts().await.prompts.into_keys().collect();
    assert_eq!(started, ["first", "urgent", "normal", "slow"]);
}

#[tokio::test]
async fn cached_prefixes_are_published_with_lag_and_gaps() {
    let rig = Rig::with_model().await;
    let prompt = "x".repeat(64 * 3);
    let body = json!({"model": "m@1", "prompt": prompt, "max_tokens": 1});
    rig.ask("a", body).send().await.unwrap();
    let all: Value = rig.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!((all["events"].as_array().unwrap().len(), &all["next"]), (3, &json!(4)));
    rig.fault(json!({"cache_gap": 2})).await;
    let some: Value = rig.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!(some["events"].as_array().unwrap().len(), 2);
    rig.fault(json!({"cache_lag_ms": 60_000})).await;
    let none: Value = rig.get("/v1/cache-events?since=0").await.json().await.unwrap();
    assert_eq!(none["events"], json!([]));
}
