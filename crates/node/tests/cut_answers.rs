//! Backend servers that close their connection at any byte of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{AttemptId, Digest, Fence, MemberId, RequestSpec, Target, Urgency};
use chestnut_node::engine::{self, CallOutcome};
use chestnut_wire::{AttemptRequest, HttpCall, PeerResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

fn name<T: TryFrom<&'static str, Error: std::fmt::Debug>>(text: &'static str) -> T {
    T::try_from(text).unwrap()
}

fn attempt(target: Target) -> AttemptRequest {
    AttemptRequest {
        attempt: AttemptId { member: MemberId(1), number: 1 },
        server: name("s1"),
        fence: Fence(1),
        request: RequestSpec {
            id: None,
            caller: name("caller"),
            team: name("team"),
            kind: name("kind"),
            target,
            urgency: Urgency::Normal,
            budget: Duration::from_secs(5),
            idempotent: true,
            stream: true,
            prompt_tokens: 1,
            max_output_tokens: 2,
            prefix_hashes: Vec::new(),
            digest: Digest(1),
        },
        call: HttpCall {
            method: "POST".into(),
            path: "/v1/completions".into(),
            content_type: "application/json".into(),
            body: Bytes::from_static(b"{}"),
        },
        resume: None,
        suspect: false,
    }
}

/// Calls a server that sends these bytes and closes, or resets, the connection.
async fn call(target: &Target, answer: &[u8], reset: bool) -> CallOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(answer).await.unwrap();
        if reset {
            stream.set_zero_linger().unwrap();
        }
    };
    let (out, mut frames) = mpsc::channel::<PeerResponse>(64);
    let http = engine::client().unwrap();
    let attempt = attempt(target.clone());
    let call = engine::call(&http, addr, &attempt, &out, |_| ());
    let outcome = tokio::join!(serve, call).1;
    frames.close();
    outcome
}

fn answers(content_type: &str, body: &str) -> [String; 3] {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n");
    let (size, chunked) = (body.len(), "Transfer-Encoding: chunked");
    [
        format!("{head}Content-Length: {size}\r\n\r\n{body}"),
        format!("{head}{chunked}\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"),
        format!("{head}\r\n{body}"),
    ]
}

/// Guards against an engine's stream that was cut at any byte and passes for whole.
#[tokio::test]
async fn a_cut_stream_is_interrupted() {
    let target = Target::Model { model: name("red"), version: name("v1"), adapter: None };
    let body = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n\
                data: [DONE]\n\n";
    let end = "data: [DONE]\n\n";
    for answer in answers("text/event-stream", body) {
        let whole_from = answer.find(end).unwrap() + end.len();
        for (sent, reset) in
            (0..whole_from).flat_map(|sent| [(sent, false), (sent, true)])
        {
            let outcome = call(&target, &answer.as_bytes()[..sent], reset).await;
            let is_cut = matches!(outcome, CallOutcome::Interrupted { .. });
            assert!(is_cut, "{sent} of {answer:?}: {outcome:?}");
        }
        let whole = call(&target, answer.as_bytes(), false).await;
        assert_eq!(whole, CallOutcome::Completed("stop".into()));
    }
}

/// Guards against a plain service's answer that was cut at any byte and passes for whole, unless
/// it ends with its connection.
#[tokio::test]
async fn a_cut_plain_answer_is_interrupted() {
    let target = Target::Service { name: name("ledger") };
    for (number, answer) in answers("text/plain", "done letter").iter().enumerate() {
        let head_length = answer.find("\r\n\r\n").unwrap() + 4;
        for (sent, reset) in
            (0..answer.len()).flat_map(|sent| [(sent, false), (sent, true)])
        {
            let outcome = call(&target, &answer.as_bytes()[..sent], reset).await;
            let is_cut = matches!(outcome, CallOutcome::Interrupted { .. });
            // Without a length, a connection that is closed in order ends the body.
            let may_be_whole = number == 2 && !reset && sent >= head_length;
            assert_eq!(is_cut, !may_be_whole, "{sent} of {answer:?}: {outcome:?}");
        }
    }
}
