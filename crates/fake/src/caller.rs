//! A caller: sends requests, comes back when told, and judges the answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::{Value, json};

use crate::engine::text::expected_text;

/// The length of one token's text of the stand-in engine.
const TOKEN_LEN: usize = 5;

/// How long a patient caller waits when it was not told how long.
const PAUSE: Duration = Duration::from_millis(200);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The base URLs that the caller knows, tried in turn.
    pub base_urls: Vec<String>,
    /// The caller's name.
    pub caller: String,
    /// The caller's key for the request.
    pub idempotency_key: Option<String>,
    /// What is asked.
    pub operation: Operation,
    /// The kind of request, if the caller names one.
    pub kind: Option<String>,
    /// The time in which the answer is needed, in milliseconds.
    pub deadline_ms: Option<String>,
    /// Whether sending it again does no harm, also if it may have run.
    pub idempotent: bool,
    /// For how long the caller comes back by itself.
    pub wait_limit: Duration,
    /// How long the caller waits for an answer before it asks elsewhere.
    pub attempt_timeout: Duration,
}

/// What is asked.
#[derive(Debug, Clone)]
pub enum Operation {
    /// A completion.
    Completion(Completion),
    /// A call of a plain service.
    Service {
        /// The service's name.
        name: String,
        /// The path within the service.
        path: String,
        /// The method.
        method: String,
        /// The body.
        body: String,
    },
    /// A body that is sent to the completions as it is.
    Raw(String),
    /// What became of the request with this key.
    Outcome(String),
}

/// A completion.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The name that the caller puts into `model`.
    pub route: String,
    /// The engine's name of what should answer.
    pub model: String,
    /// The engine's name of an earlier version, which may still answer while the
    /// newer one is being loaded.
    pub previous_model: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The length of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether it is a chat.
    pub chat: bool,
}

impl Completion {
    /// The text of the whole answer.
    pub fn expected_text(&self) -> String {
        self.answer_of(&self.model)
    }

    /// The texts of all answers that are this request's own.
    pub fn possible_texts(&self) -> Vec<String> {
        let models = [Some(&self.model), self.previous_model.as_ref()];
        models.into_iter().flatten().map(|model| self.answer_of(model)).collect()
    }

    fn answer_of(&self, model: &str) -> String {
        expected_text(model, &self.prompt, 0, self.max_tokens)
    }
}

/// What a caller got in the end.
#[derive(Debug, Clone, Default)]
pub struct CallerResponse {
    /// The status, if there was one.
    pub status: Option<u16>,
    /// The answer's text so far, of a completion.
    pub text: String,
    /// Whether the answer had its end mark.
    pub complete: bool,
    /// The answer's body, unless it was a stream.
    pub body: Value,
    /// What the system says became of the request.
    pub outcome: Option<String>,
    /// Why it was refused.
    pub code: Option<String>,
    /// How long to wait before coming back.
    pub retry_after: Option<Duration>,
    /// Whether the `Retry-After` header was there.
    pub has_retry_after_header: bool,
    /// Why there is no whole answer, seen from the connection.
    pub failure: Option<&'static str>,
    /// How often the request was sent.
    pub attempts: u32,
}

impl CallerRequest {
    /// The request with another prompt or body and key, for one of a burst.
    pub fn numbered(&self, index: usize) -> Self {
        let mut ask = self.clone();
        ask.idempotency_key = ask.idempotency_key.map(|key| format!("{key}-{index}"));
        ask.base_urls.rotate_left(index % self.base_urls.len().max(1));
        match &mut ask.operation {
            Operation::Completion(completion) => {
                completion.prompt = format!("{} {index}", completion.prompt);
            }
            Operation::Service { body, .. } => *body = format!("{body} {index}"),
            Operation::Raw(_) | Operation::Outcome(_) => {}
        }
        ask
    }

    /// Sends the request and, if the caller is patient, comes back when told.
    ///
    /// A patient caller goes to another address when one does not answer, and
    /// sends the same key again when the answer was lost.
    pub async fn send_with_retries(
        self,
        http: Client,
        seen: Arc<AtomicUsize>,
    ) -> CallerResponse {
        let start = Instant::now();
        let mut tries = 0;
        let mut doubt = None;
        loop {
            let base = &self.base_urls[tries as usize % self.base_urls.len()];
            tries += 1;
            let mut reply = self.once(&http, base, &seen).await;
            reply.attempts = tries;
            let again =
                reply.may_come_back(self.idempotent || self.idempotency_key.is_some());
            if !again {
                return reply;
            }
            if start.elapsed() >= self.wait_limit {
                // Whether the last address answered or not, what was in doubt is.
                let unheard = reply.outcome.is_none();
                return doubt.filter(|_| unheard).unwrap_or(reply);
            }
            if reply.outcome.as_deref() == Some("in_doubt") {
                doubt = Some(reply.clone());
            }
            tokio::time::sleep(reply.retry_after.unwrap_or(PAUSE)).await;
        }
    }

    async fn once(
        &self,
        http: &Client,
        base: &str,
        seen: &AtomicUsize,
    ) -> CallerResponse {
        let mut reply = CallerResponse::default();
        let read = async {
            match self.request(http, base).send().await {
                Ok(answer) => self.read(answer, &mut reply, seen).await,
                Err(error) if error.is_connect() => reply.failure = Some("unreached"),
                Err(_) => reply.failure = Some("broken"),
            }
        };
        if tokio::time::timeout(self.attempt_timeout, read).await.is_err() {
            reply.failure = Some("silent");
        }
        reply
    }

    fn request(&self, http: &Client, base: &str) -> RequestBuilder {
        let mut call = match &self.operation {
            Operation::Completion(ask) => {
                let mut body = json!({
                    "model": ask.route, "max_tokens": ask.max_tokens, "stream": ask.stream,
                });
                let path = if ask.chat {
                    body["messages"] = json!([{"role": "user", "content": ask.prompt}]);
                    "chat/completions"
                } else {
                    body["prompt"] = ask.prompt.as_str().into();
                    "completions"
                };
                http.post(format!("{base}/v1/{path}")).json(&body)
            }
            Operation::Service { name, path, method, body } => {
                let method =
                    Method::from_bytes(method.as_bytes()).unwrap_or(Method::POST);
                http.request(method, format!("{base}/svc/{name}{path}"))
                    .body(body.clone())
            }
            Operation::Raw(body) => {
                http.post(format!("{base}/v1/completions")).body(body.clone())
            }
            Operation::Outcome(key) => http.get(format!("{base}/v1/requests/{key}")),
        };
        call = call.header("authorization", format!("Bearer key-{}", self.caller));
        let headers = [
            ("idempotency-key", &self.idempotency_key),
            ("x-kind", &self.kind),
            ("x-deadline-ms", &self.deadline_ms),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                call = call.header(name, value);
            }
        }
        call
    }

    async fn read(
        &self,
        answer: Response,
        reply: &mut CallerResponse,
        seen: &AtomicUsize,
    ) {
        reply.status = Some(answer.status().as_u16());
        reply.has_retry_after_header = answer.headers().contains_key("retry-after");
        let kind = answer.headers().get("content-type").cloned();
        if kind.is_some_and(|kind| kind == "text/event-stream") {
            read_events(answer, reply, seen).await;
            return;
        }
        let Ok(text) = answer.text().await else {
            reply.failure = Some("broken");
            return;
        };
        reply.body = serde_json::from_str(&text).unwrap_or(Value::from(text));
        let choice = &reply.body["choices"][0];
        let content = choice["text"].as_str().or(choice["message"]["content"].as_str());
        reply.text = content.unwrap_or_default().to_owned();
        reply.complete = choice["finish_reason"] == "length";
        let refusal = reply.body.clone();
        reply.take_refusal(&refusal);
        seen.store(reply.text.len() / TOKEN_LEN, Ordering::SeqCst);
    }
}

async fn read_events(answer: Response, reply: &mut CallerResponse, seen: &AtomicUsize) {
    let mut body = answer.bytes_stream();
    let mut rest = String::new();
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            reply.failure = Some("broken");
            return;
        };
        rest.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((line, tail)) = rest.split_once('\n') {
            if let Some(data) = line.trim().strip_prefix("data: ") {
                reply.take_event(data);
            }
            rest = tail.to_owned();
        }
        seen.store(reply.text.len() / TOKEN_LEN, Ordering::SeqCst);
    }
    if !reply.complete {
        reply.failure = Some("broken");
    }
}

impl CallerResponse {
    fn take_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.complete = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        let choice = &event["choices"][0];
        let piece = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        self.text.push_str(piece.unwrap_or_default());
        self.take_refusal(&event["error"]);
    }

    fn take_refusal(&mut self, refusal: &Value) {
        let text = |name: &str| refusal[name].as_str().map(str::to_owned);
        self.outcome = self.outcome.take().or(text("outcome"));
        self.code = self.code.take().or(text("code"));
        self.retry_after = refusal["retry_after_ms"].as_u64().map(Duration::from_millis);
    }

    /// Whether the caller may send the request again.
    ///
    /// With neither a key nor a harmless request only what certainly did not run.
    fn may_come_back(&self, repeatable: bool) -> bool {
        let not_run =
            self.outcome.as_deref() == Some("not_run") && self.retry_after.is_some();
        let in_doubt = self.outcome.as_deref() == Some("in_doubt");
        not_run
            || self.failure == Some("unreached")
            || repeatable && (self.failure.is_some() || in_doubt)
    }

    /// Whether the reply is the whole answer to just this request.
    pub fn is_complete(&self, ask: &CallerRequest) -> bool {
        if self.status != Some(200) || self.failure.is_some() {
            return false;
        }
        match &ask.operation {
            Operation::Completion(completion) => {
                self.complete && self.text == completion.expected_text()
            }
            Operation::Service { body, path, .. } => {
                self.body["echo"] == body.as_str() && self.body["path"] == path.as_str()
            }
            Operation::Raw(_) | Operation::Outcome(_) => false,
        }
    }

    /// Why the reply is none that this request may get; none if it is fine.
    pub fn mismatch(&self, ask: &CallerRequest) -> Option<String> {
        match &ask.operation {
            Operation::Completion(completion) => {
                let own = completion.possible_texts();
                if !own.iter().any(|answer| answer.starts_with(&self.text)) {
                    return Some(format!("another's answer: {:?}", self.text));
                }
                (self.complete && !own.contains(&self.text))
                    .then(|| format!("an answer that is not whole: {:?}", self.text))
            }
            Operation::Service { body, .. } => {
                let echo = self.body["echo"].as_str();
                echo.filter(|echo| echo != body)
                    .map(|echo| format!("another's answer: {echo:?}"))
            }
            Operation::Raw(_) | Operation::Outcome(_) => None,
        }
    }
}
