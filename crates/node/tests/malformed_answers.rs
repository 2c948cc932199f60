//! Backend servers whose answers are not well-formed, or don't end.

mod raw_server;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnut_base::{Fence, OrderId, Target};
use chestnut_node::engine::CallOutcome;
use chestnut_node::orders::engine_client::{EngineClient, SendOutcome};
use chestnut_place::{Asset, Order, OrderKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use raw_server::{call, call_at, name};

/// The most bytes of an answer without end that a daemon may read, for an engine and a service.
const MAX_READ: [usize; 2] = [16_000_000, 80_000_000];

/// The bytes after which a server gives up; far more than may be read.
const ENDLESS_BYTES: usize = 200_000_000;

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

/// Guards against a rejection that was cut, and passes for a guarantee that nothing ran.
#[tokio::test]
async fn a_cut_rejection_guarantees_nothing() {
    let [engine, _] = targets();
    for status in ["503 Service Unavailable", "400 Bad Request"] {
        let cut = format!("HTTP/1.1 {status}\r\nContent-Length: 11\r\n\r\nbus");
        let outcome = call(&engine, cut.as_bytes(), false).await;
        let is_none = matches!(outcome, CallOutcome::Interrupted { .. });
        assert!(is_none, "{cut:?}: {outcome:?}");
        let whole = format!("HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\nbusy");
        let outcome = call(&engine, whole.as_bytes(), false).await;
        assert!(matches!(outcome, CallOutcome::Refused(_)), "{outcome:?}");
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

/// Guards against answers without end that a daemon keeps.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_are_not_kept() {
    let [engine, service] = targets();
    let token = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    for (start, repeated) in [
        ("HTTP/1.1 200 OK\r\nX-Name: ", "v"),
        ("HTTP/1.1 200 OK\r\n", "X-Name: v\r\n"),
        ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "x"),
        ("HTTP/1.1 503 Busy\r\n\r\n", "x"),
        ("HTTP/1.1 500 Failed\r\nContent-Length: 900000000\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\n\r\ndata: ", "x"),
        ("HTTP/1.1 200 OK\r\n\r\n", "data: x\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", ": comment\n\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", token),
        ("HTTP/1.1 200 OK\r\n\r\n", "data: {\"choices\":[{\"text\":\"\"}]}\n\n"),
    ] {
        let sent = Arc::new(AtomicUsize::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let counted = sent.clone();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let piece = repeated.repeat(16_384 / repeated.len());
            let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
            while is_open && counted.load(Ordering::Relaxed) < ENDLESS_BYTES {
                is_open = stream.write_all(piece.as_bytes()).await.is_ok();
                counted.fetch_add(piece.len(), Ordering::Relaxed);
            }
        });
        let (target, max_read) = match start.contains("text/plain") {
            true => (&service, MAX_READ[1]),
            false => (&engine, MAX_READ[0]),
        };
        let outcome = call_at(target, addr).await;
        server.abort();
        let is_none = matches!(outcome, CallOutcome::Interrupted { .. });
        assert!(is_none, "{start:?}, {repeated:?}: {outcome:?}");
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < max_read, "{start:?}, {repeated:?}: {sent} bytes were read");
    }
}

/// Guards against an order that passes for received, or is sent a second time, because of a
/// malformed answer or one that names another server.
#[tokio::test]
async fn an_order_with_a_malformed_answer_is_in_doubt() {
    let engines = EngineClient::new(Duration::from_secs(5)).unwrap();
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let location = other.local_addr().unwrap();
    let redirect = format!("HTTP/1.1 307 Temporary\r\nLocation: http://{location}/");
    let asset = Asset { model: name("red"), version: name("v1"), adapter: None };
    let order = Order { id: OrderId(1), asset, kind: OrderKind::Load, bytes: 1 };
    let heads = HEADS.iter().map(|&head| head.to_owned());
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 11".to_owned();
    for head in heads.chain([cut, redirect]) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let serve = async {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 4096]).await;
                let answer = format!("{head}\r\n\r\n{{}}");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        };
        let calls = async {
            let outcome = engines.send_order(addr, &order, Fence(1)).await;
            (outcome, engines.fetch_report(addr).await)
        };
        let (outcome, report) = tokio::select! {
            (_, results) = async { tokio::join!(serve, calls) } => results,
            _ = other.accept() => panic!("{head:?} was followed"),
        };
        let is_redirect = head.starts_with("HTTP/1.1 307");
        let is_responded = matches!(outcome, SendOutcome::Responded(_));
        assert_eq!(is_responded, is_redirect, "{head:?}: {outcome:?}");
        assert!(report.is_err(), "{head:?}");
    }
}
