//! Backend servers whose answers are not well-formed, or don't end.

mod raw_server;

use chestnut_base::Target;
use chestnut_node::engine::CallOutcome;
use tokio::net::TcpListener;

use raw_server::{call, name};

/// Heads that don't tell a length, or no status that ends a request.
const HEADS: [&str; 11] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding:",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
    "HTTP/1.1 200 OK\r\nContent-Length: 11x",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 11",
    "HTTP/1.1 200 OK\r\nno field",
    "HTTP/1.1 200 OK\r\nX Name: 1",
    "HTTP/1.1 200 OK\r\nX-\x01Name: 1",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 OK",
];

fn targets() -> [Target; 2] {
    let model = Target::Model { model: name("red"), version: name("v1"), adapter: None };
    [model, Target::Service { name: name("ledger") }]
}

/// Guards against an answer whose head is malformed and whose body passes for a server's.
#[tokio::test]
async fn a_malformed_head_is_interrupted() {
    let event = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n\
                 data: [DONE]\n\n";
    let chunks = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    for target in targets() {
        for head in HEADS {
            for body in [&chunks, event] {
                let answer = format!("{head}\r\n\r\n{body}");
                let outcome = call(&target, answer.as_bytes(), false).await;
                let is_none = matches!(outcome, CallOutcome::Interrupted { .. });
                assert!(is_none, "{answer:?}: {outcome:?}");
            }
        }
    }
}

/// Guards against a request that runs at a server that nobody chose, since another one names it.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    for target in targets() {
        for status in ["301 Moved", "302 Found", "307 Temporary", "308 Permanent"] {
            let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let location = other.local_addr().unwrap();
            let answer = format!(
                "HTTP/1.1 {status}\r\nLocation: http://{location}/run\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let outcome = tokio::select! {
                outcome = call(&target, answer.as_bytes(), false) => outcome,
                _ = other.accept() => panic!("{status} was followed"),
            };
            let is_refused = matches!(outcome, CallOutcome::Refused(_));
            assert!(!is_refused, "{status}: {outcome:?}");
        }
    }
}
