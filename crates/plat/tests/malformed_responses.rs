//! Responses of the platform that are not well-formed, or don't end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chestnut_plat::{ObjectStore, PlatformError, TableClient, Txn, VmList};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The clients' timeout, longer than any call in these tests takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The most bytes of a response without end that may be read.
const MAX_READ: usize = 64_000_000;

/// The bytes after which the server gives up; far more than may be read.
const ENDLESS_BYTES: usize = 300_000_000;

/// Starts a server that sends a text to each connection, and another one again and again.
async fn start(text: String, repeated: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, sent) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let counted = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let mut is_open = stream.write_all(text.as_bytes()).await.is_ok();
            let piece = repeated.repeat(16_384 / repeated.len().max(1));
            let limit = counted.load(Ordering::Relaxed) + ENDLESS_BYTES;
            while is_open && !piece.is_empty() && counted.load(Ordering::Relaxed) < limit
            {
                is_open = stream.write_all(piece.as_bytes()).await.is_ok();
                counted.fetch_add(piece.len(), Ordering::Relaxed);
            }
        }
    });
    (addr, sent)
}

/// Calls each service; returns the errors.
async fn call_all(addr: SocketAddr) -> Vec<Option<PlatformError>> {
    let url = format!("http://{addr}");
    let table = TableClient::new(&url, CALL_TIMEOUT).unwrap();
    let objects = ObjectStore::new(&url, CALL_TIMEOUT).unwrap();
    let vms = VmList::new(&url, CALL_TIMEOUT).unwrap();
    let txn = Txn::new().require_absent("t", "k").put("t", "k", json!("v"));
    vec![
        table.commit(&txn).await.err(),
        table.get("t", "k").await.err(),
        objects.put("k", "v".into(), false).await.err(),
        objects.get("k").await.err(),
        objects.delete("k").await.err(),
        vms.read().await.err(),
    ]
}

fn check(text: &str, errors: &[Option<PlatformError>]) {
    let is_unknown = |error: &Option<PlatformError>| {
        matches!(error, Some(PlatformError::OutcomeUnknown(_)))
    };
    assert!(errors.iter().all(is_unknown), "{text:?}: {errors:?}");
}

/// Guards against a response whose head is malformed and that passes for a call's outcome.
#[tokio::test]
async fn a_malformed_head_leaves_the_outcome_unknown() {
    for head in [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
        "HTTP/1.1 200 OK\r\nContent-Length: 2x",
        "HTTP/1.1 200 OK\r\nno field",
        "HTTP/1.1 000 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunke",
        "HTTP/1.1 503 Busy\r\nContent-Length: 11",
    ] {
        let text = format!("{head}\r\n\r\n{{}}");
        let (addr, _) = start(text.clone(), "").await;
        check(&text, &call_all(addr).await);
    }
}

/// Guards against a write that is repeated at a server that a response names.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    let (other, _) =
        start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".into(), "").await;
    for status in ["301 Moved", "307 Temporary", "308 Permanent"] {
        let text = format!(
            "HTTP/1.1 {status}\r\nLocation: http://{other}/x\r\nContent-Length: 0\r\n\r\n"
        );
        let (addr, _) = start(text, "").await;
        let errors = call_all(addr).await;
        let is_protocol = |error: &Option<PlatformError>| {
            matches!(error, Some(PlatformError::Protocol(_)))
        };
        assert!(errors.iter().all(is_protocol), "{status}: {errors:?}");
    }
}

/// Guards against a response without end that takes all memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_without_end_is_not_kept() {
    for (text, repeated) in [
        ("HTTP/1.1 200 OK\r\nX-Name: ", "v"),
        ("HTTP/1.1 200 OK\r\n\r\n", " "),
        ("HTTP/1.1 503 Busy\r\n\r\n", " "),
        ("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", " "),
    ] {
        let (addr, sent) = start(text.into(), repeated).await;
        let vms = VmList::new(format!("http://{addr}"), CALL_TIMEOUT).unwrap();
        let error = vms.read().await.err();
        check(text, &[error]);
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MAX_READ, "{text:?}: {sent} bytes were read");
    }
}
