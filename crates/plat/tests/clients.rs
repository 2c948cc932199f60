//! The clients against the stand-in platform, especially when responses are lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use chestnut_fake::{ServerHandle, WeightStoreConfig, platform};
use chestnut_plat::{ObjectStore, PlatformError, TableClient, Txn, TxnResponse};
use serde_json::{Value, json};

/// The clients' timeout, longer than any call in these tests takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_platform() -> ServerHandle {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    platform::start(any_port, WeightStoreConfig::default()).await.unwrap()
}

async fn inject_fault(platform: &ServerHandle, fault: Value) {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("{}/faults", platform.url());
    let response = http.post(url).json(&fault).send().await.unwrap();
    assert!(response.status().is_success());
}

fn create_row(value: &str) -> Txn {
    Txn::new().require_absent("t", "k").put("t", "k", json!(value))
}

#[tokio::test]
async fn commit_checks_and_writes_atomically() {
    let platform = start_platform().await;
    let table = TableClient::new(platform.url(), CALL_TIMEOUT).unwrap();
    let TxnResponse::Committed { version, .. } =
        table.commit(&create_row("one")).await.unwrap()
    else {
        panic!("the row is new")
    };
    let response = table.commit(&create_row("two")).await.unwrap();
    let TxnResponse::Conflict { check: 0, row: Some(row) } = response else {
        panic!("the row exists: {response:?}")
    };
    assert_eq!((row.value, row.version), (json!("one"), version));
    let txn = Txn::new().require_version("t", "k", version).delete("t", "k");
    assert!(matches!(table.commit(&txn).await, Ok(TxnResponse::Committed { .. })));
    let delta = table.scan("t", "", version).await.unwrap();
    assert_eq!((delta.rows.len(), delta.deleted), (0, vec!["k".to_owned()]));
}

#[tokio::test]
async fn get_reads_the_exact_key_only() {
    let platform = start_platform().await;
    let table = TableClient::new(platform.url(), CALL_TIMEOUT).unwrap();
    table.commit(&Txn::new().put("t", "slot:11", json!(11))).await.unwrap();
    assert_eq!(table.get("t", "slot:1").await.unwrap(), None);
    assert_eq!(table.get("t", "slot:11").await.unwrap().unwrap().value, json!(11));
}

/// A write that took effect, but whose response was lost, fails with `OutcomeUnknown`.
///
/// The platform commits and then closes the connection before it responds. If the client
/// reported `Unavailable`, its user would repeat the write, or run a request again.
#[tokio::test]
async fn lost_response_is_outcome_unknown() {
    let platform = start_platform().await;
    let table = TableClient::new(platform.url(), CALL_TIMEOUT).unwrap();
    inject_fault(&platform, json!({"table": {"lose_acks": 1}})).await;
    let error = table.commit(&create_row("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
    assert_eq!(table.get("t", "k").await.unwrap().unwrap().value, json!("one"));
    assert!(matches!(
        table.commit(&create_row("two")).await,
        Ok(TxnResponse::Conflict { .. })
    ));
}

/// A call that timed out fails with `OutcomeUnknown`.
///
/// The service is slow and the commit takes effect after the client's timeout, so that a
/// timeout does not mean that nothing was written.
#[tokio::test]
async fn timeout_is_outcome_unknown() {
    let platform = start_platform().await;
    let client = TableClient::new(platform.url(), Duration::from_millis(50)).unwrap();
    inject_fault(&platform, json!({"table": {"delay_ms": 2000}})).await;
    let error = client.commit(&create_row("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
}

/// A rejected call and a refused connection have no effect and fail with `Unavailable`.
#[tokio::test]
async fn rejection_and_closed_port_are_unavailable() {
    let platform = start_platform().await;
    let table = TableClient::new(platform.url(), CALL_TIMEOUT).unwrap();
    inject_fault(&platform, json!({"table": {"down": true}})).await;
    let error = table.commit(&create_row("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable(_)), "{error}");
    inject_fault(&platform, json!({"table": {"down": false}})).await;
    assert_eq!(table.get("t", "k").await.unwrap(), None);
    let address = platform.address;
    platform.stop();
    // The port closes only once the stand-in's task has ended.
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let error = table.commit(&create_row("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable(_)), "{error}");
}

#[tokio::test]
async fn create_only_keeps_existing_object() {
    let platform = start_platform().await;
    let objects = ObjectStore::new(platform.url(), CALL_TIMEOUT).unwrap();
    let (first, second) = (Bytes::from_static(b"one"), Bytes::from_static(b"two"));
    assert!(objects.put("a/b c", first.clone(), true).await.unwrap());
    assert!(!objects.put("a/b c", second, true).await.unwrap());
    assert_eq!(objects.get("a/b c").await.unwrap(), Some(first));
    assert_eq!(objects.list("a/").await.unwrap(), ["a/b c"]);
    inject_fault(&platform, json!({"objects": {"lose_acks": 1}})).await;
    let error = objects.delete("a/b c").await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
    assert_eq!(objects.get("a/b c").await.unwrap(), None);
}
