//! A backend server that sends the bytes that it is given.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnut_base::{AttemptId, Digest, Fence, MemberId, RequestSpec, Target, Urgency};
use chestnut_node::engine::{self, CallOutcome};
use chestnut_wire::{AttemptRequest, HttpCall, PeerResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub fn name<T: TryFrom<&'static str, Error: std::fmt::Debug>>(text: &'static str) -> T {
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
pub async fn call(target: &Target, answer: &[u8], reset: bool) -> CallOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(answer).await.unwrap();
        if reset {
            stream.set_zero_linger().unwrap();
        }
    };
    tokio::join!(serve, call_at(target, addr)).1
}

/// Calls the server at an address and reads its whole answer.
pub async fn call_at(target: &Target, addr: SocketAddr) -> CallOutcome {
    let (out, mut frames) = mpsc::channel::<PeerResponse>(64);
    let http = engine::client().unwrap();
    let attempt = attempt(target.clone());
    let call = async move { engine::call(&http, addr, &attempt, &out, |_| ()).await };
    let read = async { while frames.recv().await.is_some() {} };
    tokio::join!(call, read).0
}
