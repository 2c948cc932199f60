//! The clients against the stand-in, above all when answers are lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use chestnut_fake::{Handle, WeightSpeed, platform};
use chestnut_plat::{ObjectStore, PlatformError, TableClient, Txn, TxnResponse};
use serde_json::{Value, json};

/// Longer than any call takes that is answered.
const PATIENT: Duration = Duration::from_secs(20);

async fn platform() -> Handle {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    platform::start(any, WeightSpeed::default()).await.unwrap()
}

async fn fault(platform: &Handle, fault: Value) {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("{}/faults", platform.url());
    let answer = http.post(url).json(&fault).send().await.unwrap();
    assert!(answer.status().is_success());
}

fn put(value: &str) -> Txn {
    Txn::new().absent("t", "k").put("t", "k", json!(value))
}

#[tokio::test]
async fn commit_checks_and_writes_together() {
    let platform = platform().await;
    let table = TableClient::new(platform.url(), PATIENT).unwrap();
    let TxnResponse::Committed { version, .. } = table.commit(&put("one")).await.unwrap()
    else {
        panic!("the row is new")
    };
    let answer = table.commit(&put("two")).await.unwrap();
    let TxnResponse::Conflict { check: 0, row: Some(row) } = answer else {
        panic!("the row exists: {answer:?}")
    };
    assert_eq!((row.value, row.version), (json!("one"), version));
    let txn = Txn::new().version("t", "k", version).delete("t", "k");
    assert!(matches!(table.commit(&txn).await, Ok(TxnResponse::Committed { .. })));
    let delta = table.scan("t", "", version).await.unwrap();
    assert_eq!((delta.rows.len(), delta.deleted), (0, vec!["k".to_owned()]));
}

#[tokio::test]
async fn get_reads_the_key_and_not_its_namesakes() {
    let platform = platform().await;
    let table = TableClient::new(platform.url(), PATIENT).unwrap();
    table.commit(&Txn::new().put("t", "slot:11", json!(11))).await.unwrap();
    assert_eq!(table.get("t", "slot:1").await.unwrap(), None);
    assert_eq!(table.get("t", "slot:11").await.unwrap().unwrap().value, json!(11));
}

/// The caller of the client sees `OutcomeUnknown`, although the write took effect.
///
/// First the commit takes effect, then the connection is cut before the answer.
/// A client that called this `Unavailable` would let its caller write, or run, again.
#[tokio::test]
async fn lost_acknowledgement_is_unknown_and_read_back() {
    let platform = platform().await;
    let table = TableClient::new(platform.url(), PATIENT).unwrap();
    fault(&platform, json!({"table": {"lose_acks": 1}})).await;
    let error = table.commit(&put("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
    assert_eq!(table.get("t", "k").await.unwrap().unwrap().value, json!("one"));
    assert!(matches!(table.commit(&put("two")).await, Ok(TxnResponse::Conflict { .. })));
}

/// The caller of the client sees `OutcomeUnknown` when it gave up waiting.
///
/// The service is slow, the client's time passes, and the commit takes effect
/// after that: giving up is no proof that nothing happened.
#[tokio::test]
async fn timeout_is_unknown() {
    let platform = platform().await;
    let hasty = TableClient::new(platform.url(), Duration::from_millis(50)).unwrap();
    fault(&platform, json!({"table": {"delay_ms": 2000}})).await;
    let error = hasty.commit(&put("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
}

/// The caller of the client sees `Unavailable`: a refusal and a closed port did nothing.
#[tokio::test]
async fn refusal_and_closed_port_are_down() {
    let platform = platform().await;
    let table = TableClient::new(platform.url(), PATIENT).unwrap();
    fault(&platform, json!({"table": {"down": true}})).await;
    let error = table.commit(&put("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable(_)), "{error}");
    fault(&platform, json!({"table": {"down": false}})).await;
    assert_eq!(table.get("t", "k").await.unwrap(), None);
    let address = platform.address;
    platform.stop();
    // The port closes when the stand-in's task has ended.
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let error = table.commit(&put("one")).await.unwrap_err();
    assert!(matches!(error, PlatformError::Unavailable(_)), "{error}");
}

#[tokio::test]
async fn objects_are_stored_once_when_fresh() {
    let platform = platform().await;
    let objects = ObjectStore::new(platform.url(), PATIENT).unwrap();
    let (one, two) = (Bytes::from_static(b"one"), Bytes::from_static(b"two"));
    assert!(objects.put("a/b c", one.clone(), true).await.unwrap());
    assert!(!objects.put("a/b c", two, true).await.unwrap());
    assert_eq!(objects.get("a/b c").await.unwrap(), Some(one));
    assert_eq!(objects.list("a/").await.unwrap(), ["a/b c"]);
    fault(&platform, json!({"objects": {"lose_acks": 1}})).await;
    let error = objects.delete("a/b c").await.unwrap_err();
    assert!(matches!(error, PlatformError::OutcomeUnknown(_)), "{error}");
    assert_eq!(objects.get("a/b c").await.unwrap(), None);
}
