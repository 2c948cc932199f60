//! Client accounts: keys, their removal, and token limits over all daemons.

use std::time::Duration;

use chestnut_platform_stand_in::{CallerRequest, CallerResponse, StoreFault};
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::{Cluster, wait_until};

fn with_key(mut request: CallerRequest, key: &str) -> CallerRequest {
    request.headers.push(("authorization".into(), format!("Bearer {key}")));
    request
}

fn draft(key: &str) -> CallerRequest {
    with_key(CallerRequest::stream("draft", "blue", 3), key)
}

/// Declares an account without a limit, and waits until all daemons know it.
async fn declare(cluster: &mut Cluster, accounts: serde_json::Value, key: &str) {
    cluster.operator.set_accounts(accounts);
    for daemon in 0..cluster.daemons.len() {
        wait_until("the key is known", async || {
            cluster.send(daemon, &draft(key)).await.complete
        })
        .await;
    }
}

fn bank(keys: &[&str]) -> serde_json::Value {
    json!([{ "name": "bank", "api_keys": keys }, { "name": "water", "api_keys": ["k9"] }])
}

#[tokio::test]
async fn servers_receive_the_account_instead_of_the_key() {
    // Guards against passing on keys, and against accounts that callers choose themselves.
    let mut cluster = Cluster::start("tenant", 2).await;
    declare(&mut cluster, bank(&["k1", "k2"]), "k1").await;
    let runner = &cluster.runners[2];
    for (daemon, key, account) in
        [(0, "k1", "bank"), (1, "k2", "bank"), (1, "k9", "water")]
    {
        let mut request = draft(key);
        request.headers.push(("x-tenant".into(), "other".into()));
        let response = cluster.send(daemon, &request).await;
        assert!(response.complete, "{key}");
        assert_eq!(runner.last_request_header("x-tenant").as_deref(), Some(account));
        assert_eq!(runner.last_request_header("authorization"), None);
    }
    // Without a known key a request is not run, except on a public route.
    for request in [draft("k3"), CallerRequest::stream("draft", "blue", 3)] {
        let response = cluster.send(0, &request).await;
        assert_eq!((response.status, cluster.runs(&response)), (401, 0));
    }
    assert_eq!(cluster.send(0, &CallerRequest::plain("lookup")).await.status, 200);
}

#[tokio::test]
async fn keys_appear_in_no_log_and_no_state() {
    // Guards against keys that a person or a file may see.
    let mut cluster = Cluster::start("secret", 1).await;
    declare(&mut cluster, bank(&["very-secret"]), "very-secret").await;
    let unknown = cluster.send(0, &draft("wrong-secret")).await;
    let daemon = &cluster.daemons[0];
    wait_until("the refusal is logged", async || {
        daemon.lines("request refused").iter().any(|line| line["id"] == *unknown.id)
    })
    .await;
    let log = std::fs::read_to_string(&daemon.log).expect("the log can be read");
    assert!(!log.contains("very-secret") && !log.contains("wrong-secret"));
    for path in ["/metrics", "/state"] {
        let text = cluster.caller.get_text(daemon.metrics_addr, path).await;
        assert!(!text.is_empty() && !text.contains("very-secret"), "{path}");
    }
}

#[tokio::test]
async fn a_removed_key_is_refused_by_all_daemons() {
    // Guards against keys that stay valid after their removal.
    let mut cluster = Cluster::start("removed", 3).await;
    declare(&mut cluster, bank(&["k1", "k2"]), "k1").await;
    cluster.operator.set_accounts(bank(&["k2"]));
    for daemon in 0..3 {
        wait_until("the removed key is refused", async || {
            cluster.send(daemon, &draft("k1")).await.status == 401
        })
        .await;
        assert!(cluster.send(daemon, &draft("k2")).await.complete);
    }
}

#[tokio::test]
async fn unconfirmed_keys_are_refused_during_an_outage() {
    // Guards against serving a key that was removed while the daemons can't learn of it.
    let mut cluster = Cluster::start("unproven", 2).await;
    declare(&mut cluster, bank(&["k1"]), "k1").await;
    cluster.store.set_fault(StoreFault::Unresponsive);
    cluster.operator.set_accounts(bank(&["k2"]));
    // The bound of the test's settings.
    sleep(Duration::from_secs(3)).await;
    for daemon in 0..2 {
        let response = cluster.send(daemon, &draft("k1")).await;
        assert_eq!((response.status, cluster.runs(&response)), (503, 0));
        assert!(response.retry_after.is_some());
        let readiness = cluster.daemons[daemon].readiness_addr;
        assert!(!cluster.caller.is_ready(readiness).await);
        // A route that needs no key is served.
        assert_eq!(
            cluster.send(daemon, &CallerRequest::plain("lookup")).await.status,
            200
        );
    }
    cluster.store.set_fault(StoreFault::None);
    for daemon in 0..2 {
        wait_until("the new key is known", async || {
            cluster.send(daemon, &draft("k2")).await.complete
        })
        .await;
        wait_until("the removed key is refused", async || {
            let response = cluster.send(daemon, &draft("k1")).await;
            assert!(cluster.runs(&response) == 0);
            response.status == 401
        })
        .await;
    }
}

/// An account of some thirty requests at once, and another without a limit. The window of
/// the test's settings is 8 s.
fn limited(rate: u32) -> serde_json::Value {
    json!([
        { "name": "bank", "api_keys": ["k1"], "unit": "tokens", "plain_tokens": 100,
          "rate_per_s": rate, "burst": 3000 },
        { "name": "water", "api_keys": ["k9"] },
    ])
}

fn record(key: &str) -> CallerRequest {
    with_key(CallerRequest::plain("record"), key)
}

/// Sends plain requests through all daemons, one after the other.
async fn send_all(cluster: &Cluster, key: &str, count: usize) -> Vec<CallerResponse> {
    let mut responses = Vec::new();
    for number in 0..count {
        let daemon = number % cluster.daemons.len();
        responses.push(cluster.send(daemon, &record(key)).await);
    }
    responses
}

#[tokio::test]
async fn a_limit_holds_over_all_daemons() {
    // Guards against daemons that each grant the whole limit, and against refusals of
    // other accounts.
    let mut cluster = Cluster::start("limit", 3).await;
    declare(&mut cluster, limited(10), "k9").await;
    wait_until("the limit has a holder", async || {
        cluster.send(0, &record("k1")).await.status == 200
    })
    .await;
    let responses = send_all(&cluster, "k1", 90).await;
    let served = responses.iter().filter(|response| response.status == 200).count();
    // (10 x 8 + 3000) x 1.1 + 1000 tokens are at most 43 requests.
    assert!((25..=43).contains(&served), "{served}");
    for response in responses.iter().filter(|response| response.status != 200) {
        assert_eq!((response.status, cluster.runs(response)), (429, 0));
        assert!(response.retry_after.is_some_and(|delay| delay > 0.0));
    }
    for response in send_all(&cluster, "k9", 9).await {
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn a_limit_is_not_granted_again_after_its_holder_was_killed() {
    // Guards against a new holder that grants what the killed one had granted.
    let mut cluster = Cluster::start("limit-kill", 3).await;
    declare(&mut cluster, limited(10), "k9").await;
    wait_until("the limit has a holder", async || {
        cluster.send(0, &record("k1")).await.status == 200
    })
    .await;
    let before = send_all(&cluster, "k1", 60).await;
    let holder = cluster.store.rows("chestnut")["claim:account:bank/0"]["holder"].clone();
    let rows = cluster.store.rows("chestnut");
    let number =
        (0..3).find(|number| rows[&format!("daemon:vm{number}")]["member"] == holder);
    let killed = number.expect("the holder has a row");
    cluster.daemons[killed].kill();
    wait_until("another daemon holds the limit", async || {
        let rows = cluster.store.rows("chestnut");
        rows.get("claim:account:bank/0").is_some_and(|row| row["holder"] != holder)
    })
    .await;
    cluster.daemons[killed].restart();
    cluster.wait_until_ready().await;
    let after = send_all(&cluster, "k1", 30).await;
    let served =
        before.iter().chain(&after).filter(|response| response.status == 200).count();
    assert!(served <= 43, "{served}");
}
