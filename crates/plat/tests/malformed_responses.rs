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
